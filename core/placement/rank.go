package placement

import (
	"math"
	"time"

	"cyclamenhitch/core/fleet"
)

// Estimates of a model engine's work.
const (
	// runningCostTokens is how much longer a prompt waits for each request that generates,
	// in prompt tokens; each one makes every step of the engine a little longer.
	runningCostTokens = 40
	// queuedCostTokens is the cost of a request that has to wait for a slot, in prompt tokens.
	queuedCostTokens = 4000
	// rankCost is the cost of each rank in the order of the prompt's own hash, up
	// to maxRanks. It keeps a prompt on few engines while their loads differ little.
	rankCost = 4 * time.Millisecond
	maxRanks = 4
	// baseFirstTokenTime is the time to a first token that does not depend on the prompt.
	baseFirstTokenTime = 20 * time.Millisecond
	// defaultObjective applies to requests that state none.
	defaultObjective = 500 * time.Millisecond
)

// Weights of a wait, see waitCost.
const (
	waitWeight = 0.2
	lateWeight = 4
)

// meanLatencyWindow is the inverse weight of a new sample in the usual time of a service.
const meanLatencyWindow = 16

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
	// sourceServer is the server of Source, and transfer the time on its link.
	sourceServer *serverState
	transferTime time.Duration
	// Suspect says that the last requests to it failed.
	Suspect bool
	// Full says that a request would wait at the server for a slot.
	Full bool
	// tieBreak orders servers of equal cost differently for each request.
	tieBreak uint64
	// readTokens is what the engine reads until the first token, in tokens.
	readTokens int
}

// MissesDeadline reports whether a request that has to wait for a slot there would not get
// its first token in time.
func (c *Candidate) MissesDeadline(left time.Duration) bool { return c.Full && c.Wait > left }

// RankStatus says why Rank returned no candidate.
type RankStatus int

// Verdicts.
const (
	// Found means that there is a candidate.
	Found RankStatus = iota
	// NoServers means that the pool has no server that may get work.
	NoServers
	// ColdLimited means that only cold servers are left, whose rate is used up.
	ColdLimited
	// AtLoadBound means that all servers are at the load bound.
	AtLoadBound
)

// Rank returns the servers that may run the request now, best first.
func (b *Balancer) Rank(now time.Time, id fleet.PoolID, ask *Request, exclude func(fleet.ServerID) bool) ([]Candidate, RankStatus) {
	p := b.pool(id)
	share := b.coldLimiter()
	p.mu.Lock()
	defer p.mu.Unlock()
	eligible := make([]*serverState, 0, len(p.list))
	verdict := NoServers
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
			if _, ok := share.minInterval(s.hash, s.ColdRate); !ok || now.Before(s.coldNextAt) {
				verdict = max(verdict, ColdLimited)
				continue
			}
		}
		eligible = append(eligible, s)
	}
	if len(eligible) == 0 {
		return nil, verdict
	}
	bound := loadBound(running, p.eligibleCount())
	r := ranking{
		now: now, ask: ask, bound: bound, order: hashOrder(eligible, ask), source: p.fetchSource(now, ask), meanErrors: meanErrorRate(now, eligible),
		readRate: p.readRate.tokensPerMs(),
	}
	out := r.best(eligible, shortlist(eligible, r.order, ask))
	if len(out) == 0 || !out[0].leavesSlack(ask) {
		out = r.best(eligible, nil)
	}
	if len(out) == 0 {
		return nil, AtLoadBound
	}
	return out, Found
}

// ranking is what the candidates for one request are compared by.
type ranking struct {
	now        time.Time
	ask        *Request
	bound      float64
	order      []int
	source     fetchSource
	meanErrors float64
	// readRate is how many prompt tokens a ms an engine reads.
	readRate float64
}

// best returns the best of the servers with the indexes, of all with nil.
func (r *ranking) best(servers []*serverState, indexes []int) []Candidate {
	out := make([]Candidate, 0, min(len(servers), maxCandidates))
	try := func(i int) {
		s := servers[i]
		l := s.load()
		if s.Engine && float64(l.Running+1) > r.bound {
			return
		}
		c := s.candidate(r, l, r.order[i])
		c.addErrorCost(s, max(0, s.errors.now(r.now)-r.meanErrors), r.ask)
		out = insertCandidate(out, &c)
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

// insertCandidate puts c into the sorted list, which keeps the best maxCandidates.
func insertCandidate(list []Candidate, c *Candidate) []Candidate {
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
	return c.tieBreak < o.tieBreak
}

// leavesSlack reports whether the wait leaves most of the objective.
func (c *Candidate) leavesSlack(ask *Request) bool {
	objective := ask.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return !c.Suspect && !c.Full && float64(c.Wait) <= shortlistWaitFraction*float64(objective)
}

// meanErrorRate is the mean share of errors of the servers: errors that all of them
// answer are the requests' own.
func meanErrorRate(now time.Time, servers []*serverState) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += s.errors.now(now)
	}
	return sum / float64(len(servers))
}

// suspectErrorExcess is the excess of errors above the usual at which a server is passed
// over for a while.
const suspectErrorExcess = 0.1

// errorCost is the cost of an error, in objectives for engines and in requests' times
// for services.
const errorCost = 4

// addErrorCost adds the cost of the errors that the server answers above the usual.
func (c *Candidate) addErrorCost(s *serverState, excess float64, ask *Request) {
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

// loadBound is the largest load of a server when n servers run that many requests.
func loadBound(running, n int) float64 {
	return loadFactor*float64(running+1)/float64(max(1, n)) + loadSlack
}

// eligibleCount is the number of servers that may get work.
func (p *pool) eligibleCount() int {
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
func hashOrder(servers []*serverState, ask *Request) []int {
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

// fetchSource is the server from which a prompt can be fetched.
type fetchSource struct {
	s            *serverState
	cachedTokens int
}

// fetchSource returns the server that keeps most of the prompt. Of several it is the one whose
// link is free first, and else one by the request's hash: with a fixed order all fetches
// of a shared part queue at one engine. Servers that may get no new work can still be
// fetched from.
func (p *pool) fetchSource(now time.Time, ask *Request) fetchSource {
	var best fetchSource
	var free time.Duration
	var hash uint64
	for _, s := range p.list {
		if !s.Engine || s.FetchTokensPerMs == 0 || s.failures.suspect(now) {
			continue
		}
		n := s.cache.cachedTokens(ask.Parts)
		if n == 0 || n < best.cachedTokens {
			continue
		}
		f, h := max(0, s.linkFree.Sub(now)), fleet.Mix(ask.Key, s.hash)
		if n == best.cachedTokens && (f > free || f == free && h < hash) {
			continue
		}
		best, free, hash = fetchSource{s, n}, f, h
	}
	return best
}

// minFetchTokens is the least number of tokens that are worth a fetch.
const minFetchTokens = 256

// fetch returns how many tokens s would fetch, how long the transfer takes and after
// which time it ends. Transfers between data centres take twice as long.
func (s *serverState) fetch(now time.Time, cachedTokens int, from fetchSource) (tokens int, transfer, total time.Duration) {
	n := from.cachedTokens - cachedTokens
	if from.s == nil || from.s == s || n < minFetchTokens || s.FetchTokensPerMs == 0 {
		return 0, 0, 0
	}
	took := time.Duration(float64(n) / s.FetchTokensPerMs * float64(time.Millisecond))
	if from.s.DataCentre != s.DataCentre {
		took *= 2
	}
	queue := max(0, from.s.linkFree.Sub(now), s.linkFree.Sub(now))
	return n, took, queue + took
}

// candidate estimates the cost of the request at a server with the load.
func (s *serverState) candidate(r *ranking, l Load, rank int) Candidate {
	now, ask := r.now, r.ask
	c := Candidate{ID: s.ID, Address: s.Address, Suspect: s.failures.suspect(now), Full: s.Slots > 0 && l.Running >= s.Slots, tieBreak: fleet.Mix(ask.Key, s.hash)}
	slowdown := s.speed.slowdown(now)
	if !s.Engine {
		// The expected time in units of one request's work.
		slots := float64(max(1, s.Slots))
		c.Cost = slowdown * (1 + float64(l.Running)/slots + 4*math.Max(0, float64(l.Running+1)-slots)/slots)
		c.Cost += 0.01 * float64(rank)
		return c
	}
	c.Cached = s.cache.cachedTokens(ask.Parts)
	n, transferTime, fetchTime := s.fetch(now, c.Cached, r.source)
	if n > 0 {
		c.Source, c.Fetched, c.sourceServer, c.transferTime = r.source.s.Address, n, r.source.s, transferTime
	}
	unread := max(0, ask.PromptTokens-c.Cached-n)
	c.readTokens = l.Unread + unread
	work := float64(c.readTokens)
	work += float64(runningCostTokens * l.Running)
	if c.Full {
		work += queuedCostTokens * float64(1+l.Running-s.Slots)
	}
	c.Wait = baseFirstTokenTime + fetchTime + time.Duration(slowdown*work/r.readRate*float64(time.Millisecond))
	cost := waitCost(c.Wait, ask.Objective) + fetchTime + readTime(unread, r.readRate) + rankCost*time.Duration(rank)
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
