// Package placement selects the backend server for each request, based on the
// requests that this instance sent, the loads that its peers report and the observed
// responses. A Balancer keeps the state of all pools, each under its own lock. The
// package performs no I/O.
package placement

import (
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhitch/core/brittle"
	"cyclamenhitch/core/fleet"
)

// Server is a discovered backend server.
type Server struct {
	ID         fleet.ServerID
	Address    string
	DataCentre fleet.DataCentreID
	// Slots is the number of requests that the server runs concurrently; 0 means unknown.
	Slots int
	// Engine marks a model engine, which has a prefix cache of CacheTokens.
	Engine      bool
	CacheTokens int
	// Out excludes the server from new requests.
	Out bool
	// Draining is set while the list shows that the server leaves.
	Draining bool
	// ColdUntil is the end of the cold start; zero means that the server is not cold.
	ColdUntil time.Time
	// ColdRate is the number of requests per second that the server sustains while cold,
	// summed over all instances; 0 means unlimited.
	ColdRate float64
	// FetchTokensPerMs is the rate at which the server fetches cached prompt tokens from
	// another server; 0 means that it cannot fetch.
	FetchTokensPerMs float64
	// Incarnation distinguishes restarts of a server with the same ID; a new incarnation
	// has an empty cache.
	Incarnation int64
}

// Request describes what a request needs from a server.
type Request struct {
	// Parts is the sequence of prompt parts; empty for plain services.
	Parts []Part
	// PromptTokens is the prompt size.
	PromptTokens int
	// Objective is the target time to the first token; 0 selects the default.
	Objective time.Duration
	// Key is the hash key that ranks servers for requests without parts.
	Key uint64
	// Account is the hash of the client account; 0 for a request without one.
	Account uint64
}

// Load is the outstanding work of one or more instances at a server.
type Load struct {
	// Running is the number of requests in progress.
	Running int
	// Unread is the estimated number of prompt tokens that were sent but not yet
	// processed.
	Unread int
}

// Balancer tracks the state of all servers and assigns requests to them.
type Balancer struct {
	policy Policy

	mu    sync.RWMutex
	pools map[fleet.PoolID]*pool

	fleetMu    sync.Mutex
	cold       coldLimiter
	lastReport map[fleet.InstanceID]time.Time // time of the last report of each instance
	// peerLoads holds the loads of the last report of each instance. The inner maps are
	// immutable.
	peerLoads map[fleet.InstanceID]map[fleet.ServerID]Load
	// brittleFleet is what the shares at brittle servers derive from.
	brittleFleet brittle.Fleet
	// brittlePools is the number of pools that may be brittle.
	brittlePools atomic.Int32
	// reportMu serializes the processing of peer reports.
	reportMu sync.Mutex
}

type pool struct {
	mu      sync.Mutex
	servers map[fleet.ServerID]*serverState
	list    []*serverState // in discovery order
	changed chan struct{}
	// meanLatency is the moving average of the time to the first output of a plain
	// service.
	meanLatency time.Duration
	readRate    readRate
	policy      *Policy
	callers     callers
	longLimit   longLimit
	sendShares  sendShares
	// leaving holds the servers that announced their leaving.
	leaving map[fleet.ServerID]leavingNote
	// paced is set for pools whose servers are all plain and state their slots, with the
	// mechanism service_pacing.
	paced bool
	// brittle is nil unless servers of the pool may be brittle.
	brittle *brittlePool
}

// serverState is the state of one server, guarded by the lock of its pool.
type serverState struct {
	Server
	hash    uint64
	ownLoad Load
	// loadByPeer holds the loads that other instances report; peerLoad is their sum.
	loadByPeer map[fleet.InstanceID]Load
	peerLoad   Load
	cache      *prefixCache
	speed      speed
	sendCredit sendCredit
	pace       pace
	failures   failures
	notices    notices
	errors     errorRate
	oversize   oversize
	// ownSuspectUntil is the end of the suspicion caused by this instance's own requests.
	ownSuspectUntil time.Time
	coldNextAt      time.Time
	// fullUntil is the end of the time in which a plain server is taken to be full.
	fullUntil time.Time
	// fullRefusals counts the refusals as full since the last answer.
	fullRefusals int
	// linkFree is the expected end of the fetches from and to this server that this
	// instance started. An engine performs its transfers one at a time.
	linkFree time.Time
	// brittle is this instance's share at a brittle server, nil at others.
	brittle *brittle.Server
	placed  [][]Part // sent since the last DrainReport
}

// NewBalancer returns a Balancer without servers.
func NewBalancer(policy Policy) *Balancer {
	return &Balancer{
		policy: policy,
		pools:  map[fleet.PoolID]*pool{}, lastReport: map[fleet.InstanceID]time.Time{},
		peerLoads: map[fleet.InstanceID]map[fleet.ServerID]Load{},
	}
}

// Policy returns the policy.
func (b *Balancer) Policy() *Policy { return &b.policy }

func (b *Balancer) pool(id fleet.PoolID) *pool {
	b.mu.RLock()
	p := b.pools[id]
	b.mu.RUnlock()
	if p != nil {
		return p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p = b.pools[id]; p == nil {
		p = &pool{servers: map[fleet.ServerID]*serverState{}, changed: make(chan struct{}), policy: &b.policy, leaving: map[fleet.ServerID]leavingNote{}}
		b.pools[id] = p
	}
	return p
}

// SetServers replaces the discovered servers of a pool. The state of servers that
// remain is kept.
func (b *Balancer) SetServers(id fleet.PoolID, servers []Server) {
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.servers = make(map[fleet.ServerID]*serverState, len(servers))
	p.list = p.list[:0]
	p.paced = p.policy.On(ServicePacing)
	for _, s := range servers {
		p.paced = p.paced && !s.Engine && s.Slots > 0
		st := old[s.ID]
		before := st
		if st == nil || st.Address != s.Address || st.Incarnation != s.Incarnation {
			st = &serverState{hash: fleet.HashID(string(s.ID)), loadByPeer: map[fleet.InstanceID]Load{}, cache: newPrefixCache(cacheLimit(s.CacheTokens))}
			before = nil
		}
		p.restoreNotices(st, before, s)
		st.Server = s
		st.cache.limit = cacheLimit(s.CacheTokens)
		p.servers[s.ID] = st
		p.list = append(p.list, st)
	}
	p.notifyWaiters()
}

// prefixCacheFraction is the fraction of an engine's token memory assumed to hold
// cached prefixes; running requests use the rest.
const prefixCacheFraction = 0.75

func cacheLimit(tokens int) int { return int(prefixCacheFraction * float64(tokens)) }

// notifyWaiters wakes requests that wait for a change of the pool. The caller holds
// the lock.
func (p *pool) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the pool that may
// allow a waiting request to be placed.
func (b *Balancer) Changed(id fleet.PoolID) <-chan struct{} {
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// load returns the work of all instances at the server.
func (s *serverState) load() Load {
	return Load{s.ownLoad.Running + s.peerLoad.Running, s.ownLoad.Unread + s.peerLoad.Unread}
}

// AddPeerPlacement records that another instance sent a prompt with these parts to a
// server.
func (b *Balancer) AddPeerPlacement(now time.Time, server fleet.ServerID, parts []Part) {
	b.forServer(server, func(p *pool, s *serverState) {
		s.cache.add(parts, now.Add(readTime(totalTokens(parts), p.tokensPerMs())))
	})
}

// AddPeerCached records parts that another instance knows to be cached by a server.
func (b *Balancer) AddPeerCached(now time.Time, server fleet.ServerID, parts []Part) {
	b.forServer(server, func(_ *pool, s *serverState) { s.cache.add(parts, now) })
}

// forServer calls f with the state of a server in each pool that has it, under the lock of
// the pool.
func (b *Balancer) forServer(id fleet.ServerID, f func(*pool, *serverState)) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		if s := p.servers[id]; s != nil {
			f(p, s)
		}
		p.mu.Unlock()
	}
}

// tokensPerMs returns the rate at which the engines process prompts. The caller holds the
// lock.
func (p *pool) tokensPerMs() float64 {
	if !p.policy.On(LearnedRate) {
		return defaultReadRate
	}
	return p.readRate.tokensPerMs()
}

func totalTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Suspicion is a suspected server and the remaining time for which to avoid it.
type Suspicion struct {
	Server    fleet.ServerID
	Remaining time.Duration
}

// Suspicions returns the servers that this instance's own requests found to be
// failing.
func (b *Balancer) Suspicions(now time.Time) []Suspicion {
	var out []Suspicion
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if s.notices.leaving {
				// A hint for the other instances; their list decides.
				out = append(out, Suspicion{s.ID, maxSuspicion})
				continue
			}
			if rest := s.ownSuspectUntil.Sub(now); rest >= minSharedSuspicion && s.suspect(now) {
				out = append(out, Suspicion{s.ID, rest})
			}
		}
		p.mu.Unlock()
	}
	return out
}

// ForgetFailures forgets the failures of a server: they were those of the link to it.
func (b *Balancer) ForgetFailures(server fleet.ServerID) {
	b.forServer(server, func(_ *pool, s *serverState) {
		s.failures.forget()
		s.ownSuspectUntil = time.Time{}
	})
}

// ApplyPeerSuspicions merges the suspicions of another instance.
func (b *Balancer) ApplyPeerSuspicions(now time.Time, list []Suspicion) {
	if len(list) == 0 {
		return
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, x := range list {
			if s := p.servers[x.Server]; s != nil {
				s.failures.applyPeer(now, x.Remaining)
			}
		}
		p.mu.Unlock()
	}
}

// Placement is a prompt that was sent to a server.
type Placement struct {
	Server fleet.ServerID
	Parts  []Part
}

// DrainReport returns the loads of this instance and the placements since the last call,
// of up to mostParts parts. Further ones stay for the next call.
func (b *Balancer) DrainReport(mostParts int) (map[fleet.ServerID]Load, []Placement) {
	loads := map[fleet.ServerID]Load{}
	var placed []Placement
	round := b.roundTime()
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if l := s.reportedLoad(round); l.Running > 0 {
				loads[s.ID] = l
			}
			n := 0
			for n < len(s.placed) && len(s.placed[n]) <= mostParts {
				mostParts -= len(s.placed[n])
				placed = append(placed, Placement{s.ID, s.placed[n]})
				n++
			}
			s.placed = append([][]Part(nil), s.placed[n:]...)
		}
		p.mu.Unlock()
	}
	return loads, placed
}

// AddCached records parts that a server was found to cache and adds them to the next
// report, so that the other instances learn of them.
func (b *Balancer) AddCached(now time.Time, server fleet.ServerID, parts []Part) {
	b.forServer(server, func(_ *pool, s *serverState) {
		s.cache.add(parts, now)
		s.placed = append(s.placed, parts)
	})
}

// Engines returns all model engines, in no particular order.
func (b *Balancer) Engines() []Server {
	var out []Server
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if s.Engine {
				out = append(out, s.Server)
			}
		}
		p.mu.Unlock()
	}
	return out
}

// CachedParts returns the parts that each engine is expected to cache, limited to
// most parts per engine.
func (b *Balancer) CachedParts(most int) []Placement {
	var out []Placement
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if parts := s.cache.mostRecent(most); len(parts) > 0 {
				out = append(out, Placement{s.ID, parts})
			}
		}
		p.mu.Unlock()
	}
	return out
}
