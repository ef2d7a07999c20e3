package placement

import (
	"time"

	"cyclamenhitch/core/brittle"
	"cyclamenhitch/core/fleet"
)

// brittlePool is the state of a pool some of whose servers are brittle.
type brittlePool struct {
	statements brittle.Statements
	// limit is the lowest one of the pool as of limitAt.
	limit   int
	limitAt time.Time
	// refusedAt is when a server last turned a request of this instance away.
	refusedAt time.Time
}

// limitTTL is how long the lowest limit of a pool is used before it is derived again.
const limitTTL = 50 * time.Millisecond

// update derives the lowest limit of the pool.
func (p *brittlePool) update(now time.Time) {
	p.limit, _ = p.statements.Known(now)
	p.limitAt = now
}

// BrittlePool is a pool some of whose servers are brittle.
type BrittlePool struct {
	Pool fleet.PoolID
	// Limit is the lowest number of refusals within one second that one of the servers bears.
	Limit int
	// Remaining is the time for which the pool counts as brittle without further answers.
	Remaining time.Duration
}

// NoteAnswer records that a server answered this instance, with the number of refusals per
// second that it bears; 0 means that it does not say that it is brittle.
func (b *Balancer) NoteAnswer(now time.Time, id fleet.PoolID, server fleet.ServerID, limit int) {
	if limit <= 0 && b.brittlePools.Load() == 0 {
		return
	}
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit <= 0 && p.brittle == nil || p.servers[server] == nil {
		return
	}
	b.trackBrittle(p).statements.Hear(now, server, limit)
	if limit > 0 {
		p.brittle.update(now)
	}
}

// trackBrittle returns the state of a pool that may be brittle. The caller holds the lock of
// the pool.
func (b *Balancer) trackBrittle(p *pool) *brittlePool {
	if p.brittle == nil {
		p.brittle = &brittlePool{}
		b.brittlePools.Add(1)
	}
	return p.brittle
}

// NoteStatedLoad records the running and waiting requests and the slots that a server stated,
// each negative if unknown.
func (b *Balancer) NoteStatedLoad(now time.Time, id fleet.PoolID, server fleet.ServerID, running, waiting, slots int) {
	if b.brittlePools.Load() == 0 {
		return
	}
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil && s.brittle != nil {
		s.brittle.Stated(now, max(0, running)+max(0, waiting)-s.ownLoad.Running, slots)
	}
}

// ApplyPeerBrittle applies what a peer reports on brittle pools.
func (b *Balancer) ApplyPeerBrittle(now time.Time, list []BrittlePool) {
	for _, x := range list {
		b.mu.RLock()
		p := b.pools[x.Pool] // a report does not create pools
		b.mu.RUnlock()
		if p == nil || x.Limit <= 0 {
			continue
		}
		p.mu.Lock()
		t := b.trackBrittle(p)
		t.statements.HearPeer(now, x.Limit, x.Remaining)
		t.update(now)
		p.mu.Unlock()
	}
}

// BrittlePools returns the brittle pools, and drops the state of those that are no longer.
func (b *Balancer) BrittlePools(now time.Time) []BrittlePool {
	if b.brittlePools.Load() == 0 {
		return nil
	}
	var out []BrittlePool
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, p := range b.pools {
		p.mu.Lock()
		if p.brittle != nil {
			limit, remaining := p.brittle.statements.Known(now)
			if limit > 0 {
				out = append(out, BrittlePool{id, limit, remaining})
			} else {
				p.brittle = nil
				b.brittlePools.Add(-1)
				for _, s := range p.list {
					s.brittle = nil
				}
				p.notifyWaiters()
			}
		}
		p.mu.Unlock()
	}
	return out
}

// brittleGate decides which brittle servers may get a request.
type brittleGate struct {
	pool  *brittlePool
	fleet brittle.Fleet
	// idle is set if this instance has no request at the servers of the pool, and none was
	// turned away lately.
	idle bool
	// heldBack is set once a server was passed over.
	heldBack bool
}

// brittleGate returns nil if no server of the pool is brittle. The caller holds the lock.
func (p *pool) brittleGate(now time.Time, b *Balancer) *brittleGate {
	if p.brittle == nil {
		return nil
	}
	if now.Sub(p.brittle.limitAt) >= limitTTL {
		p.brittle.update(now)
	}
	if p.brittle.limit == 0 {
		return nil
	}
	g := &brittleGate{pool: p.brittle, idle: now.Sub(p.brittle.refusedAt) >= brittle.HoldBackTime}
	b.fleetMu.Lock()
	g.fleet = b.brittleFleet
	b.fleetMu.Unlock()
	for _, s := range p.list {
		g.idle = g.idle && s.ownLoad.Running == 0
	}
	return g
}

// mayTake reports whether the server may get a request of this instance now.
func (g *brittleGate) mayTake(now time.Time, s *serverState) bool {
	limit := g.pool.statements.Limit(now, s.ID, g.pool.limit)
	if limit == 0 {
		s.brittle = nil
		return true
	}
	if s.brittle == nil {
		s.brittle = brittle.NewServer(now, s.hash, s.ownLoad.Running)
	}
	ok := s.brittle.MayTake(now, &g.fleet, brittle.Room{Slots: s.Slots, Own: s.ownLoad.Running, Others: s.peerLoad.Running, Idle: g.idle, Limit: limit})
	g.heldBack = g.heldBack || !ok
	return ok
}

// brittleTook records that a request is sent to the server.
func (s *serverState) brittleTook(now time.Time) {
	if s.brittle != nil {
		s.brittle.Took(now, s.ownLoad.Running)
	}
}

// brittleRefused records that the server turned a request away.
func (t *Reservation) brittleRefused(now time.Time) {
	if t.server.brittle != nil {
		t.server.brittle.Refused(now, t.server.ownLoad.Running)
	}
	if t.pool.brittle != nil {
		t.pool.brittle.refusedAt = now
	}
}

// reportedLoad is the own load of the server as peers are told: at a brittle server, with the
// places that this instance holds.
func (s *serverState) reportedLoad(round time.Time) Load {
	l := s.ownLoad
	if s.brittle != nil {
		l.Running = s.brittle.Held(round, l.Running)
	}
	return l
}

// roundTime returns the time of the present round of reports.
func (b *Balancer) roundTime() time.Time {
	b.fleetMu.Lock()
	defer b.fleetMu.Unlock()
	return b.brittleFleet.Round()
}
