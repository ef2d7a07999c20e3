// Package placement decides which backend server runs a request, from what this
// instance sent, what its peers report and what answers showed. A Board keeps the
// state of all pools, each under its own lock. It performs no I/O.
package placement

import (
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// Server is a backend server as discovered.
type Server struct {
	ID         fleet.ServerID
	Address    string
	DataCentre fleet.DataCentreID
	// Slots is how many requests run at once; 0 means unknown.
	Slots int
	// Engine says that it is a model engine, with a cache of CacheTokens.
	Engine      bool
	CacheTokens int
	// Out says that it may receive no new work.
	Out bool
	// ColdUntil is when it stops being cold; zero means that it is not.
	ColdUntil time.Time
	// ColdRate is how many requests a second it bears while cold, all instances
	// together; 0 means no bound.
	ColdRate float64
	// FetchTokensPerMs is how many prompt tokens a ms the server fetches from another
	// one that keeps them; 0 means that it cannot.
	FetchTokensPerMs float64
	// Incarnation tells lives of one id apart; a new one has an empty cache.
	Incarnation int64
}

// Request is what a request needs.
type Request struct {
	// Parts is the prompt's chain; empty for plain services.
	Parts []Part
	// PromptTokens is the size of the prompt, in tokens.
	PromptTokens int
	// Objective is the time to the first token that counts as on time; 0 means that
	// none is stated.
	Objective time.Duration
	// Key ranks servers for requests without parts.
	Key uint64
}

// Load is the work that one instance has at a server.
type Load struct {
	// Running is the number of requests that have not ended.
	Running int
	// Unread is the number of prompt tokens sent and not yet read, as far as known.
	Unread int
}

// Balancer holds the state of all servers.
type Balancer struct {
	mu    sync.RWMutex
	pools map[fleet.PoolID]*pool

	fleetMu    sync.Mutex
	cold       coldLimiter
	lastReport map[fleet.InstanceID]time.Time // the last report of each instance
	// peerLoads are the loads of each instance in its last report. The maps are not
	// changed.
	peerLoads map[fleet.InstanceID]map[fleet.ServerID]Load
	// reportMu is held while a report is taken, so that one of them ends before the next.
	reportMu sync.Mutex
}

type pool struct {
	mu      sync.Mutex
	servers map[fleet.ServerID]*serverState
	list    []*serverState // in discovery order
	changed chan struct{}
	// meanLatency is the usual time of a plain service to its answer.
	meanLatency time.Duration
	readRate    readRate
}

// serverState is what is known of one server; its pool's lock guards it.
type serverState struct {
	Server
	hash    uint64
	ownLoad Load
	// loadByPeer are the loads that other instances report, others is their sum.
	loadByPeer map[fleet.InstanceID]Load
	peerLoad   Load
	cache      *prefixCache
	speed      speed
	failures   failures
	errors     errorRate
	// ownSuspectUntil is the end of the suspicion that this instance's own requests gave.
	ownSuspectUntil time.Time
	coldNextAt      time.Time
	// linkFree is when the fetches that this instance began on the server's link, to it
	// and from it, are expected to have ended: an engine transfers one after another.
	linkFree time.Time
	placed   [][]Part // since the last TakeReport
}

// NewBalancer returns a board without servers.
func NewBalancer() *Balancer {
	return &Balancer{
		pools: map[fleet.PoolID]*pool{}, lastReport: map[fleet.InstanceID]time.Time{},
		peerLoads: map[fleet.InstanceID]map[fleet.ServerID]Load{},
	}
}

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
		p = &pool{servers: map[fleet.ServerID]*serverState{}, changed: make(chan struct{})}
		b.pools[id] = p
	}
	return p
}

// SetServers replaces the discovered servers of a pool. State of servers that stay
// is kept.
func (b *Balancer) SetServers(id fleet.PoolID, servers []Server) {
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.servers = make(map[fleet.ServerID]*serverState, len(servers))
	p.list = p.list[:0]
	for _, s := range servers {
		st := old[s.ID]
		if st == nil || st.Address != s.Address || st.Incarnation != s.Incarnation {
			st = &serverState{hash: fleet.HashID(string(s.ID)), loadByPeer: map[fleet.InstanceID]Load{}, cache: newPrefixCache(cacheLimit(s.CacheTokens))}
		}
		st.Server = s
		st.cache.limit = cacheLimit(s.CacheTokens)
		p.servers[s.ID] = st
		p.list = append(p.list, st)
	}
	p.notifyWaiters()
}

// prefixCacheFraction is the part of an engine's memory that is assumed to hold prefixes;
// running requests use the rest.
const prefixCacheFraction = 0.75

func cacheLimit(tokens int) int { return int(prefixCacheFraction * float64(tokens)) }

// notifyWaiters tells waiting requests that something changed. The caller holds the lock.
func (p *pool) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the pool that
// may let a waiting request go on.
func (b *Balancer) Changed(id fleet.PoolID) <-chan struct{} {
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// load is the work of all instances at a server.
func (s *serverState) load() Load {
	return Load{s.ownLoad.Running + s.peerLoad.Running, s.ownLoad.Unread + s.peerLoad.Unread}
}

// AddPeerPlacement notes that another instance has sent prompts with the parts to a server.
func (b *Balancer) AddPeerPlacement(server fleet.ServerID, parts []Part) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		if s := p.servers[server]; s != nil {
			s.cache.add(parts)
		}
		p.mu.Unlock()
	}
}

// Suspicion is how much longer a server is to be passed over.
type Suspicion struct {
	Server    fleet.ServerID
	Remaining time.Duration
}

// Suspicions returns what this instance's own requests showed of failing servers.
func (b *Balancer) Suspicions(now time.Time) []Suspicion {
	var out []Suspicion
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if rest := s.ownSuspectUntil.Sub(now); rest >= minSharedSuspicion && s.failures.suspect(now) {
				out = append(out, Suspicion{s.ID, rest})
			}
		}
		p.mu.Unlock()
	}
	return out
}

// ApplyPeerSuspicions takes what another instance's requests showed.
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

// DrainReport returns the loads of this instance and the prompts sent since the
// last call.
func (b *Balancer) DrainReport() (map[fleet.ServerID]Load, []Placement) {
	loads := map[fleet.ServerID]Load{}
	var placed []Placement
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if s.ownLoad.Running > 0 {
				loads[s.ID] = s.ownLoad
			}
			for _, parts := range s.placed {
				placed = append(placed, Placement{s.ID, parts})
			}
			s.placed = nil
		}
		p.mu.Unlock()
	}
	return loads, placed
}

// AddCached notes parts that a server was found to keep and puts them into the next
// report, so that the other instances learn of them too.
func (b *Balancer) AddCached(server fleet.ServerID, parts []Part) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		if s := p.servers[server]; s != nil {
			s.cache.add(parts)
			s.placed = append(s.placed, parts)
		}
		p.mu.Unlock()
	}
}

// Engines returns the model engines, in no order.
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

// CachedParts returns what the engines are believed to keep, at most most parts of each.
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

// PoolSummary counts the servers of a pool.
type PoolSummary struct {
	Servers, Out, Cold, Suspect int
	// TokensPerMilli is how fast the engines read prompts, 0 for plain services.
	TokensPerMilli float64 `json:",omitempty"`
	// Running is the number of requests of all instances, as far as known.
	Running int
}

// Summary returns the counts of all pools, for operators.
func (b *Balancer) Summary(now time.Time) map[fleet.PoolID]PoolSummary {
	out := map[fleet.PoolID]PoolSummary{}
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, p := range b.pools {
		p.mu.Lock()
		sum := PoolSummary{Servers: len(p.list)}
		for _, s := range p.list {
			sum.Running += s.load().Running
			if s.Engine {
				sum.TokensPerMilli = p.readRate.tokensPerMs()
			}
			if s.Out {
				sum.Out++
			}
			if s.cold(now) {
				sum.Cold++
			}
			if s.failures.suspect(now) {
				sum.Suspect++
			}
		}
		p.mu.Unlock()
		out[id] = sum
	}
	return out
}
