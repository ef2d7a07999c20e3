package placement

import (
	"math"
	"time"

	"cyclamenhitch/core/fleet"
)

// Parameters of the cost model for model engines.
const (
	// runningCostTokens is the delay that each generating request adds to a prompt, in
	// prompt tokens: it lengthens every step of the engine.
	runningCostTokens = 40
	// queuedCostTokens is the cost of each request queued for a slot, in prompt tokens.
	queuedCostTokens = 4000
	// rankCost is the cost of each rank in the order of the prompt's hash, up to
	// maxRanks. It keeps a prompt on few engines while their loads differ little.
	rankCost = 4 * time.Millisecond
	maxRanks = 4
	// baseFirstTokenTime is the part of the time to the first token that does not depend
	// on the prompt.
	baseFirstTokenTime = 20 * time.Millisecond
	// defaultObjective applies to requests that state no objective.
	defaultObjective = 500 * time.Millisecond
)

// Weights of the wait time in waitCost.
const (
	waitWeight = 0.05
	lateWeight = 4
)

// meanLatencyWindow is the inverse weight of a new sample in a service's mean
// latency.
const meanLatencyWindow = 16

// Bounds of a server's load relative to the mean of its pool.
const (
	// loadFactor and loadSlack stay below the users' bound of twice the mean plus 3,
	// because peer reports are about 100 ms old.
	loadFactor = 1.85
	loadSlack  = 2.5
	// evenFactor bounds the load relative to the mean of the servers that take requests when
	// loadFactor leaves them no room.
	evenFactor = 1.25
)

// Candidate is a server that may run a request.
type Candidate struct {
	ID      fleet.ServerID
	Address string
	// Cost is the estimated cost of running the request there, in ms for engines.
	Cost float64
	// Cached is the number of prompt tokens that the server is expected to have cached.
	Cached int
	// Wait is the expected time to the first part of the answer.
	Wait time.Duration
	// Source is the address of a server that has more of the prompt cached and from which
	// Fetched tokens can be fetched; empty if there is none.
	Source  string
	Fetched int
	// sourceServer is the server at Source, and transferTime the time of the transfer on
	// its link.
	sourceServer *serverState
	transferTime time.Duration
	// Running is the number of requests that the server runs, and Slowdown its time for a
	// request as a multiple of the usual one.
	Running  int
	Slowdown float64
	// Suspect marks a server that recent requests or peers found to be failing.
	Suspect bool
	// AnsweredAt is when the server last answered this instance; zero if it never did or has
	// failed since.
	AnsweredAt time.Time
	// Full means that the request would queue for a slot.
	Full bool
	// RoomAt is when a plain server that refused a request as full is expected to have room;
	// zero if it has not refused one lately.
	RoomAt time.Time
	// tieBreak orders servers of equal cost differently for each request.
	tieBreak uint64
	// readTokens is the number of tokens that the engine processes before the first
	// output token.
	readTokens int
	// pace is the expected time of work at the server relative to the usual one.
	pace float64
	// unread is the number of tokens of the prompt that the engine processes.
	unread int
}

// MissesDeadline reports whether the request would have to queue for a slot and is
// expected to get its first token only after the time left.
func (c *Candidate) MissesDeadline(left time.Duration) bool { return c.Full && c.Wait > left }

// RankStatus is the result of Rank, or the reason why it found no candidate.
type RankStatus int

const (
	// Found means that there is at least one candidate.
	Found RankStatus = iota
	// NoServers means that the pool has no server that may receive work.
	NoServers
	// ColdLimited means that only cold servers remain and their request rate is
	// exhausted.
	ColdLimited
	// AtLoadBound means that all servers have reached the load bound.
	AtLoadBound
	// BrittleBound means that this instance may send nothing more to brittle servers now.
	BrittleBound
	// AllPaused means that all servers that may receive work asked for a pause.
	AllPaused
)

// Rank returns the servers that may run the request now, lowest cost first.
func (b *Balancer) Rank(now time.Time, id fleet.PoolID, req *Request, exclude func(fleet.ServerID) bool) ([]Candidate, RankStatus) {
	p := b.pool(id)
	share := b.coldLimiter()
	p.mu.Lock()
	defer p.mu.Unlock()
	eligible := make([]*serverState, 0, len(p.list))
	status := NoServers
	// takers is the number of servers that take requests, outOfService that of servers which
	// operators took out but which still belong to the pool; running is the load of both.
	takers, outOfService, running, paused := 0, 0, 0, false
	for _, s := range p.list {
		if s.Out && !s.Draining {
			outOfService++
			running += s.load().Running
		}
		if !s.takesRequests(now) {
			paused = paused || !s.Out && !s.notices.leaving
			continue
		}
		takers++
		running += s.load().Running
		if exclude != nil && exclude(s.ID) {
			continue
		}
		if p.policy.On(ColdRamp) && s.cold(now) {
			if _, ok := share.minInterval(s.hash, s.ColdRate); !ok || now.Before(s.coldNextAt) {
				status = max(status, ColdLimited)
				continue
			}
		}
		eligible = append(eligible, s)
	}
	if len(eligible) == 0 {
		if status == NoServers && paused {
			status = AllPaused
		}
		return nil, status
	}
	bound := loadBound(running, takers, takers+outOfService)
	r := ranking{
		now: now, req: req, policy: p.policy, paced: p.paced, bound: bound, meanErrors: meanErrorRate(now, eligible), readRate: p.tokensPerMs(),
	}
	if p.policy.On(Fetching) {
		r.source = p.fetchSource(now, req)
	}
	if p.policy.On(HashOrder) {
		r.order = hashOrder(eligible, req)
	} else {
		r.order = make([]int, len(eligible))
	}
	var indexes []int
	if p.policy.On(Shortlist) {
		indexes = shortlist(eligible, r.order, req)
	}
	r.longSpent = p.policy.On(PromptIsolation) && p.longLimit.spent(now)
	r.shares, r.self = p.sendLimit(eligible, running, takers, takers+outOfService, &share), share.selfHash
	r.brittle = p.brittleGate(now, b)
	out := r.search(eligible, indexes)
	if len(out) == 0 && r.brittle != nil && r.brittle.heldBack {
		return nil, BrittleBound
	}
	if len(out) == 0 {
		return nil, AtLoadBound
	}
	return out, Found
}

// ranking holds the inputs for comparing the candidates of one request.
type ranking struct {
	now    time.Time
	req    *Request
	policy *Policy
	// paced is that of the pool.
	paced      bool
	bound      float64
	order      []int
	source     fetchSource
	meanErrors float64
	// readRate is the prompt processing rate of the engines, in tokens per ms.
	readRate float64
	// shares limits the requests of this instance to each engine; nil means no limit.
	shares *sendShares
	// longSpent is set if no long prompt may be sent now.
	longSpent bool
	// isolated is set once a server was passed over for a long prompt, anyWait if a long
	// prompt may go to any server.
	isolated, anyWait bool
	// self is the hash of this instance.
	self uint64
	// brittle limits the requests to brittle servers; nil means no limit.
	brittle *brittleGate
	// passedSound is set once an engine that is neither suspect nor full was passed over
	// because it lacks credit.
	passedSound bool
}

// avoidable reports whether a server with load l is suspect or full.
func (s *serverState) avoidable(r *ranking, l Load) bool {
	return s.Slots > 0 && l.Running >= s.Slots || r.policy.On(AvoidSuspects) && s.suspect(r.now)
}

// search returns the best candidates of the shortlist, or of all servers if that leaves too
// little slack.
func (r *ranking) search(servers []*serverState, shortlist []int) []Candidate {
	out := make([]Candidate, 0, min(len(servers), maxCandidates))
	out = r.best(out, servers, shortlist)
	if len(out) == 0 && r.shares != nil && shortlist != nil {
		r.shares.least = partCredit
		out = r.best(out, servers, shortlist)
		r.shares.least = 1
	}
	if len(out) == 0 || !out[0].leavesSlack(r.req) {
		out = r.best(out[:0], servers, nil)
	}
	if r.isolated && !r.longSpent && (len(out) == 0 || out[0].Suspect) {
		r.anyWait = true
		out = r.best(out[:0], servers, nil)
	}
	// A suspect engine, or a full one at which the request is late, is no replacement for a
	// sound one that lacks credit.
	for i := 0; r.shares != nil && i < len(fallbackCredits) && (len(out) == 0 || r.passedSound && (out[0].Suspect || out[0].Full && out[0].Wait > r.req.target())); i++ {
		r.shares.least, r.passedSound = fallbackCredits[i], false
		out = r.best(out[:0], servers, nil)
	}
	return out
}

// best appends the best candidates among the servers at the indexes to out, which is empty;
// nil selects all servers.
func (r *ranking) best(out []Candidate, servers []*serverState, indexes []int) []Candidate {
	try := func(i int) {
		s := servers[i]
		l := s.load()
		share := s.rampShare(r.now)
		if (s.Engine || share < 1) && r.policy.On(LoadBound) && l.Running > 0 && float64(l.Running+1) > share*r.bound {
			return
		}
		if r.brittle != nil && !r.brittle.mayTake(r.now, s) {
			return
		}
		if !r.mayGet(s) {
			r.passedSound = r.passedSound || !s.avoidable(r, l)
			return
		}
		c := s.candidate(r, l, r.order[i])
		if r.isolates(s, &c) {
			r.isolated = true
			return
		}
		if r.policy.On(ErrorCost) {
			c.addErrorCost(s, max(0, s.errors.now(r.now)-r.meanErrors), r.req)
		}
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

// maxCandidates limits the servers that Rank returns. A reservation at the first ones
// fails only if they became cold or left in the meantime.
const maxCandidates = 8

// insertCandidate inserts c into the sorted list, which keeps the best maxCandidates.
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

// before orders candidates by cost, suspect servers last.
func (c *Candidate) before(o *Candidate) bool {
	if c.Suspect != o.Suspect {
		return o.Suspect
	}
	if !c.RoomAt.Equal(o.RoomAt) {
		return c.RoomAt.Before(o.RoomAt)
	}
	if c.Cost != o.Cost {
		return c.Cost < o.Cost
	}
	return c.tieBreak < o.tieBreak
}

// leavesSlack reports whether the wait takes at most shortlistWaitFraction of the
// objective at a server that is neither suspect nor full.
func (c *Candidate) leavesSlack(req *Request) bool {
	objective := req.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return !c.Suspect && !c.Full && float64(c.Wait) <= shortlistWaitFraction*float64(objective)
}

// meanErrorRate is the mean error rate of the servers. Errors that all servers return
// are attributed to the requests.
func meanErrorRate(now time.Time, servers []*serverState) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += s.errors.now(now)
	}
	return sum / float64(len(servers))
}

// suspectErrorExcess is the excess over the mean error rate at which a server becomes
// suspect.
const suspectErrorExcess = 0.1

// errorCost is the cost of one error, in units of the objective for engines and of
// one request's time for services.
const errorCost = 4

// addErrorCost adds the cost of a server's error rate in excess of the mean.
func (c *Candidate) addErrorCost(s *serverState, excess float64, req *Request) {
	if !s.Engine {
		c.Cost += errorCost * excess
		return
	}
	objective := req.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	c.Cost += errorCost * excess * float64(objective) / float64(time.Millisecond)
}

// loadBound is the maximum load of a server when the members of a pool run the given number
// of requests and takers of them take new ones. The users' bound refers to the mean of all
// members; if most of them take nothing it cannot be kept, and load is spread evenly.
func loadBound(running, takers, members int) float64 {
	load := float64(running + 1)
	return max(loadFactor*load/float64(max(1, members)), evenFactor*load/float64(max(1, takers))) + loadSlack
}

// candidate estimates the cost of running the request at the server with load l.
func (s *serverState) candidate(r *ranking, l Load, rank int) Candidate {
	now, req := r.now, r.req
	c := Candidate{ID: s.ID, Address: s.Address, Suspect: r.policy.On(AvoidSuspects) && s.suspect(now), Full: s.Slots > 0 && l.Running >= s.Slots, tieBreak: fleet.Mix(req.Key, s.hash)}
	if s.failures.consecutive == 0 {
		c.AnsweredAt = s.failures.lastAnswer
	}
	slowdown := 1.0
	if r.policy.On(Slowdown) {
		slowdown = s.speed.slowdown(now)
	}
	c.pace = s.pace.factor(now)
	slowdown *= c.pace
	c.Running, c.Slowdown = l.Running, slowdown
	if !s.Engine {
		// Expected time, in units of the time of one request.
		slots := float64(max(1, s.Slots))
		if r.paced {
			// The loads of peers are older than the requests that they count.
			l.Running = s.ownLoad.Running
			if now.Before(s.fullUntil) {
				c.RoomAt = s.fullUntil
			}
		}
		c.Cost = slowdown * (1 + float64(l.Running)/slots + 4*math.Max(0, float64(l.Running+1)-slots)/slots)
		c.Cost += 0.01 * float64(rank)
		return c
	}
	c.Cached = s.cache.cachedTokens(req.Parts)
	n, transferTime, fetchTime := s.fetch(now, c.Cached, r.source)
	if n > 0 {
		c.Source, c.Fetched, c.sourceServer, c.transferTime = r.source.s.Address, n, r.source.s, transferTime
	}
	unread := max(0, req.PromptTokens-c.Cached-n)
	c.readTokens = l.Unread + unread
	work := float64(c.readTokens)
	work += float64(runningCostTokens * l.Running)
	if c.Full {
		work += queuedCostTokens * float64(1+l.Running-s.Slots)
	}
	c.Wait = baseFirstTokenTime + fetchTime + time.Duration(slowdown*work/r.readRate*float64(time.Millisecond))
	c.unread = unread
	cost := waitCost(c.Wait, req.Objective) + time.Duration(r.policy.FetchWeight*float64(fetchTime)) + scaled(readTime(unread, r.readRate), c.pace) + rankCost*time.Duration(rank)
	c.Cost = float64(cost) / float64(time.Millisecond)
	return c
}

// readTime is the time in which an engine processes prompt tokens. Processing tokens
// that another engine has cached delays the requests that follow.
func readTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(max(0, tokens)) / rate * float64(time.Millisecond))
}

// waitCost is the cost of a wait for the first token. A wait well below the objective
// costs little, so that a prompt stays where its parts are cached; close to the
// objective the cost grows with the fifth power.
func waitCost(wait, objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	r := float64(wait) / float64(objective)
	return time.Duration(float64(wait) * (waitWeight + lateWeight*r*r*r*r))
}
