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
	// FetchPerMilli is how many prompt tokens a ms the server fetches from another
	// one that keeps them; 0 means that it cannot.
	FetchPerMilli float64
	// Born tells lives of one id apart; a new one has an empty cache.
	Born int64
}

// Ask is what a request needs.
type Ask struct {
	// Parts is the prompt's chain; empty for plain services.
	Parts []Part
	// Prompt is the size of the prompt, in tokens.
	Prompt int
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

// Board holds the state of all servers.
type Board struct {
	mu    sync.RWMutex
	pools map[fleet.PoolID]*pool

	fleetMu sync.Mutex
	share   coldShare
	heard   map[fleet.InstanceID]time.Time // the last report of each instance
	// reported are the loads of each instance in its last report. The maps are not
	// changed.
	reported map[fleet.InstanceID]map[fleet.ServerID]Load
	// reportMu is held while a report is taken, so that one of them ends before the next.
	reportMu sync.Mutex
}

type pool struct {
	mu      sync.Mutex
	servers map[fleet.ServerID]*state
	list    []*state // in discovery order
	freed   chan struct{}
	// typical is the usual time of a plain service to its answer.
	typical time.Duration
	pace    pace
}

// state is what is known of one server; its pool's lock guards it.
type state struct {
	Server
	hash uint64
	own  Load
	// peers are the loads that other instances report, others is their sum.
	peers  map[fleet.InstanceID]Load
	others Load
	cache  *prefixCache
	speed  speed
	fault  fault
	errors errorRate
	// ownFault is the end of the suspicion that this instance's own requests gave.
	ownFault time.Time
	coldNext time.Time
	// linkFree is when the fetches that this instance began on the server's link, to it
	// and from it, are expected to have ended: an engine transfers one after another.
	linkFree time.Time
	placed   [][]Part // since the last TakeReport
}

// NewBoard returns a board without servers.
func NewBoard() *Board {
	return &Board{
		pools: map[fleet.PoolID]*pool{}, heard: map[fleet.InstanceID]time.Time{},
		reported: map[fleet.InstanceID]map[fleet.ServerID]Load{},
	}
}

func (b *Board) pool(id fleet.PoolID) *pool {
	b.mu.RLock()
	p := b.pools[id]
	b.mu.RUnlock()
	if p != nil {
		return p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p = b.pools[id]; p == nil {
		p = &pool{servers: map[fleet.ServerID]*state{}, freed: make(chan struct{})}
		b.pools[id] = p
	}
	return p
}

// SetServers replaces the discovered servers of a pool. State of servers that stay
// is kept.
func (b *Board) SetServers(id fleet.PoolID, servers []Server) {
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.servers = make(map[fleet.ServerID]*state, len(servers))
	p.list = p.list[:0]
	for _, s := range servers {
		st := old[s.ID]
		if st == nil || st.Address != s.Address || st.Born != s.Born {
			st = &state{hash: fleet.HashID(string(s.ID)), peers: map[fleet.InstanceID]Load{}, cache: newPrefixCache(cacheLimit(s.CacheTokens))}
		}
		st.Server = s
		st.cache.limit = cacheLimit(s.CacheTokens)
		p.servers[s.ID] = st
		p.list = append(p.list, st)
	}
	p.wake()
}

// cacheShare is the part of an engine's memory that is assumed to hold prefixes;
// running requests use the rest.
const cacheShare = 0.75

func cacheLimit(tokens int) int { return int(cacheShare * float64(tokens)) }

// wake tells waiting requests that something changed. The caller holds the lock.
func (p *pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the pool that
// may let a waiting request go on.
func (b *Board) Changed(id fleet.PoolID) <-chan struct{} {
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freed
}

// load is the work of all instances at a server.
func (s *state) load() Load {
	return Load{s.own.Running + s.others.Running, s.own.Unread + s.others.Unread}
}

// PeerPlaced notes that another instance has sent prompts with the parts to a server.
func (b *Board) PeerPlaced(server fleet.ServerID, parts []Part) {
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
	Server fleet.ServerID
	Rest   time.Duration
}

// Suspects returns what this instance's own requests showed of failing servers.
func (b *Board) Suspects(now time.Time) []Suspicion {
	var out []Suspicion
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if rest := s.ownFault.Sub(now); rest >= sharedLeast && s.fault.suspect(now) {
				out = append(out, Suspicion{s.ID, rest})
			}
		}
		p.mu.Unlock()
	}
	return out
}

// PeerSuspects takes what another instance's requests showed.
func (b *Board) PeerSuspects(now time.Time, list []Suspicion) {
	if len(list) == 0 {
		return
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, x := range list {
			if s := p.servers[x.Server]; s != nil {
				s.fault.told(now, x.Rest)
			}
		}
		p.mu.Unlock()
	}
}

// Placed is a prompt that was sent to a server.
type Placed struct {
	Server fleet.ServerID
	Parts  []Part
}

// TakeReport returns the loads of this instance and the prompts sent since the
// last call.
func (b *Board) TakeReport() (map[fleet.ServerID]Load, []Placed) {
	loads := map[fleet.ServerID]Load{}
	var placed []Placed
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if s.own.Running > 0 {
				loads[s.ID] = s.own
			}
			for _, parts := range s.placed {
				placed = append(placed, Placed{s.ID, parts})
			}
			s.placed = nil
		}
		p.mu.Unlock()
	}
	return loads, placed
}

// Announce notes parts that a server was found to keep and puts them into the next
// report, so that the other instances learn of them too.
func (b *Board) Announce(server fleet.ServerID, parts []Part) {
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
func (b *Board) Engines() []Server {
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

// Kept returns what the engines are believed to keep, at most most parts of each.
func (b *Board) Kept(most int) []Placed {
	var out []Placed
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if parts := s.cache.kept(most); len(parts) > 0 {
				out = append(out, Placed{s.ID, parts})
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
func (b *Board) Summary(now time.Time) map[fleet.PoolID]PoolSummary {
	out := map[fleet.PoolID]PoolSummary{}
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, p := range b.pools {
		p.mu.Lock()
		sum := PoolSummary{Servers: len(p.list)}
		for _, s := range p.list {
			sum.Running += s.load().Running
			if s.Engine {
				sum.TokensPerMilli = p.pace.tokensPerMilli()
			}
			if s.Out {
				sum.Out++
			}
			if s.cold(now) {
				sum.Cold++
			}
			if s.fault.suspect(now) {
				sum.Suspect++
			}
		}
		p.mu.Unlock()
		out[id] = sum
	}
	return out
}
