package placement

import (
	"math"
	"time"

	"cyclamenhitch/core/fleet"
)

// Estimates of a model engine's work.
const (
	// runningCost is how much longer a prompt waits for each request that generates,
	// in prompt tokens; each one makes every step of the engine a little longer.
	runningCost = 40
	// fullCost is the cost of a request that has to wait for a slot, in prompt tokens.
	fullCost = 4000
	// rankCost is the cost of each rank in the order of the prompt's own hash, up
	// to maxRanks. It keeps a prompt on few engines while their loads differ little.
	rankCost = 4 * time.Millisecond
	maxRanks = 4
	// baseTime is the time to a first token that does not depend on the prompt.
	baseTime = 20 * time.Millisecond
	// defaultObjective applies to requests that state none.
	defaultObjective = 500 * time.Millisecond
)

// Weights of a wait, see waitCost.
const (
	waitWeight = 0.2
	lateWeight = 4
)

// typicalWeight is the inverse weight of a new sample in the usual time of a service.
const typicalWeight = 16

// Bounds of the load of one server against the mean of its pool.
const (
	// loadFactor and loadSlack stay below the users' bound of twice the mean and 3,
	// because reports of peers are some 100 ms old.
	loadFactor = 1.85
	loadSlack  = 2.5
)

// Candidate is a server that may run a request.
type Candidate struct {
	ID      fleet.ServerID
	Address string
	// Cost is what running there would cost, in ms for engines.
	Cost float64
	// Cached is the part of the prompt that the server is expected to keep, in tokens.
	Cached int
	// Wait is the expected time to the first part of the answer.
	Wait time.Duration
	// Source is the address of a server that keeps more of the prompt and from which
	// Fetched tokens can be fetched; empty means none.
	Source  string
	Fetched int
	// donor is the server of Source, and transfer the time on its link.
	donor    *state
	transfer time.Duration
	// Suspect says that the last requests to it failed.
	Suspect bool
	// Full says that a request would wait at the server for a slot.
	Full bool
	// tie orders servers of equal cost differently for each request.
	tie uint64
	// reading is what the engine reads until the first token, in tokens.
	reading int
}

// Hopeless reports whether a request that has to wait for a slot there would not get
// its first token in time.
func (c *Candidate) Hopeless(left time.Duration) bool { return c.Full && c.Wait > left }

// Verdict says why Rank returned no candidate.
type Verdict int

// Verdicts.
const (
	// Found means that there is a candidate.
	Found Verdict = iota
	// Empty means that the pool has no server that may get work.
	Empty
	// Cold means that only cold servers are left, whose rate is used up.
	Cold
	// AtBound means that all servers are at the load bound.
	AtBound
)

// Rank returns the servers that may run the request now, best first.
func (b *Board) Rank(now time.Time, id fleet.PoolID, ask *Ask, exclude func(fleet.ServerID) bool) ([]Candidate, Verdict) {
	p := b.pool(id)
	share := b.coldShare()
	p.mu.Lock()
	defer p.mu.Unlock()
	eligible := make([]*state, 0, len(p.list))
	verdict := Empty
	running := 0
	for _, s := range p.list {
		if s.Out {
			continue
		}
		running += s.load().Running
		if exclude != nil && exclude(s.ID) {
			continue
		}
		if s.cold(now) {
			if _, ok := share.spacing(s.hash, s.ColdRate); !ok || now.Before(s.coldNext) {
				verdict = max(verdict, Cold)
				continue
			}
		}
		eligible = append(eligible, s)
	}
	if len(eligible) == 0 {
		return nil, verdict
	}
	bound := boundOf(running, p.countIn())
	r := ranking{
		now: now, ask: ask, bound: bound, order: hashOrder(eligible, ask), from: p.donor(now, ask), usual: usualErrors(now, eligible),
		pace: p.pace.tokensPerMilli(),
	}
	out := r.best(eligible, shortlist(eligible, r.order, ask))
	if len(out) == 0 || !out[0].soon(ask) {
		out = r.best(eligible, nil)
	}
	if len(out) == 0 {
		return nil, AtBound
	}
	return out, Found
}

// ranking is what the candidates for one request are compared by.
type ranking struct {
	now   time.Time
	ask   *Ask
	bound float64
	order []int
	from  donor
	usual float64
	// pace is how many prompt tokens a ms an engine reads.
	pace float64
}

// best returns the best of the servers with the indexes, of all with nil.
func (r *ranking) best(servers []*state, indexes []int) []Candidate {
	out := make([]Candidate, 0, min(len(servers), maxCandidates))
	try := func(i int) {
		s := servers[i]
		l := s.load()
		if s.Engine && float64(l.Running+1) > r.bound {
			return
		}
		c := s.candidate(r, l, r.order[i])
		c.addErrors(s, max(0, s.errors.now(r.now)-r.usual), r.ask)
		out = insert(out, &c)
	}
	if indexes == nil {
		for i := range servers {
			try(i)
		}
	}
	for _, i := range indexes {
		try(i)
	}
	return out
}

// maxCandidates bounds the servers that Rank returns; a place at the first ones is
// refused only when they turned cold or left in between.
const maxCandidates = 8

// insert puts c into the sorted list, which keeps the best maxCandidates.
func insert(list []Candidate, c *Candidate) []Candidate {
	pos := len(list)
	for pos > 0 && c.before(&list[pos-1]) {
		pos--
	}
	if pos == maxCandidates {
		return list
	}
	if len(list) < maxCandidates {
		list = append(list, Candidate{})
	}
	copy(list[pos+1:], list[pos:])
	list[pos] = *c
	return list
}

// before orders candidates: those that fail come last.
func (c *Candidate) before(o *Candidate) bool {
	if c.Suspect != o.Suspect {
		return o.Suspect
	}
	if c.Cost != o.Cost {
		return c.Cost < o.Cost
	}
	return c.tie < o.tie
}

// soon reports whether the wait leaves most of the objective.
func (c *Candidate) soon(ask *Ask) bool {
	objective := ask.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return !c.Suspect && !c.Full && float64(c.Wait) <= shortlistPatience*float64(objective)
}

// usualErrors is the mean share of errors of the servers: errors that all of them
// answer are the requests' own.
func usualErrors(now time.Time, servers []*state) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += s.errors.now(now)
	}
	return sum / float64(len(servers))
}

// suspectErrors is the excess of errors above the usual at which a server is passed
// over for a while.
const suspectErrors = 0.1

// errorCost is the cost of an error, in objectives for engines and in requests' times
// for services.
const errorCost = 4

// addErrors adds the cost of the errors that the server answers above the usual.
func (c *Candidate) addErrors(s *state, excess float64, ask *Ask) {
	if !s.Engine {
		c.Cost += errorCost * excess
		return
	}
	objective := ask.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	c.Cost += errorCost * excess * float64(objective) / float64(time.Millisecond)
}

// boundOf is the largest load of a server when n servers run that many requests.
func boundOf(running, n int) float64 {
	return loadFactor*float64(running+1)/float64(max(1, n)) + loadSlack
}

// countIn is the number of servers that may get work.
func (p *pool) countIn() int {
	n := 0
	for _, s := range p.list {
		if !s.Out {
			n++
		}
	}
	return n
}

// hashOrder gives each server its rank for the request's key, maxRanks for all that
// are not among the first: all instances agree on it without a message.
func hashOrder(servers []*state, ask *Ask) []int {
	key := ask.Key
	if n := len(ask.Parts); n > 1 {
		key = ask.Parts[n-2].ID // the last part is the request's own
	} else if n == 1 {
		key = ask.Parts[0].ID
	}
	order := make([]int, len(servers))
	var best [maxRanks]uint64
	var at [maxRanks]int
	found := 0
	for i, s := range servers {
		order[i] = maxRanks
		score := fleet.Mix(key, s.hash)
		pos := found
		for pos > 0 && best[pos-1] < score {
			pos--
		}
		if pos == maxRanks {
			continue
		}
		found = min(found+1, maxRanks)
		copy(best[pos+1:found], best[pos:found-1])
		copy(at[pos+1:found], at[pos:found-1])
		best[pos], at[pos] = score, i
	}
	for r := range found {
		order[at[r]] = r
	}
	return order
}

// donor is the server from which a prompt can be fetched.
type donor struct {
	s      *state
	cached int
}

// donor returns the server that keeps most of the prompt. Of several it is the one whose
// link is free first, and else one by the request's hash: with a fixed order all fetches
// of a shared part queue at one engine. Servers that may get no new work can still be
// fetched from.
func (p *pool) donor(now time.Time, ask *Ask) donor {
	var best donor
	var free time.Duration
	var hash uint64
	for _, s := range p.list {
		if !s.Engine || s.FetchPerMilli == 0 || s.fault.suspect(now) {
			continue
		}
		n := s.cache.cached(ask.Parts)
		if n == 0 || n < best.cached {
			continue
		}
		f, h := max(0, s.linkFree.Sub(now)), fleet.Mix(ask.Key, s.hash)
		if n == best.cached && (f > free || f == free && h < hash) {
			continue
		}
		best, free, hash = donor{s, n}, f, h
	}
	return best
}

// minFetch is the least number of tokens that are worth a fetch.
const minFetch = 256

// fetch returns how many tokens s would fetch, how long the transfer takes and after
// which time it ends. Transfers between data centres take twice as long.
func (s *state) fetch(now time.Time, cached int, from donor) (tokens int, transfer, total time.Duration) {
	n := from.cached - cached
	if from.s == nil || from.s == s || n < minFetch || s.FetchPerMilli == 0 {
		return 0, 0, 0
	}
	took := time.Duration(float64(n) / s.FetchPerMilli * float64(time.Millisecond))
	if from.s.DataCentre != s.DataCentre {
		took *= 2
	}
	queue := max(0, from.s.linkFree.Sub(now), s.linkFree.Sub(now))
	return n, took, queue + took
}

// candidate estimates the cost of the request at a server with the load.
func (s *state) candidate(r *ranking, l Load, rank int) Candidate {
	now, ask := r.now, r.ask
	c := Candidate{ID: s.ID, Address: s.Address, Suspect: s.fault.suspect(now), Full: s.Slots > 0 && l.Running >= s.Slots, tie: fleet.Mix(ask.Key, s.hash)}
	factor := s.speed.factor(now)
	if !s.Engine {
		// The expected time in units of one request's work.
		slots := float64(max(1, s.Slots))
		c.Cost = factor * (1 + float64(l.Running)/slots + 4*math.Max(0, float64(l.Running+1)-slots)/slots)
		c.Cost += 0.01 * float64(rank)
		return c
	}
	c.Cached = s.cache.cached(ask.Parts)
	n, transfer, fetchTime := s.fetch(now, c.Cached, r.from)
	if n > 0 {
		c.Source, c.Fetched, c.donor, c.transfer = r.from.s.Address, n, r.from.s, transfer
	}
	unread := max(0, ask.Prompt-c.Cached-n)
	c.reading = l.Unread + unread
	work := float64(c.reading)
	work += float64(runningCost * l.Running)
	if c.Full {
		work += fullCost * float64(1+l.Running-s.Slots)
	}
	c.Wait = baseTime + fetchTime + time.Duration(factor*work/r.pace*float64(time.Millisecond))
	cost := waitCost(c.Wait, ask.Objective) + fetchTime + readTime(unread, r.pace) + rankCost*time.Duration(rank)
	c.Cost = float64(cost) / float64(time.Millisecond)
	return c
}

// readTime is how long an engine reads prompt tokens. Reading what another engine
// keeps takes this time from the requests that come after.
func readTime(tokens int, pace float64) time.Duration {
	return time.Duration(float64(max(0, tokens)) / pace * float64(time.Millisecond))
}

// waitCost is the cost of a wait for the first token. A wait well below the
// objective costs little, so that a prompt stays where its parts are cached; near
// the objective it grows with the third power.
func waitCost(wait, objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	r := float64(wait) / float64(objective)
	return time.Duration(float64(wait) * (waitWeight + lateWeight*r*r))
}
