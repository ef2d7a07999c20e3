// Package rollout decides how requests are divided between the versions of a pool's servers
// while the operator replaces one version by another, and whether the new version is good.
// It addresses versions that fail or slow down at once, later, only under load or on one
// route. A Tracker belongs to one instance; it holds an independent state for each pool,
// guarded by a lock of the pool. It performs no I/O and is safe for concurrent use.
package rollout

import (
	"math/rand/v2"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// Config holds the limits that callers need.
type Config struct {
	// Share is the fraction of a pool's requests, from an order to its deadline, that a bad
	// version may get, summed over the fleet; Slack is the number that it may get beyond that.
	Share, Slack float64
	// RollbackLimit is the time after the 50th bad answer from which a version gets nothing.
	RollbackLimit time.Duration
	// MoveShare is the last fraction of an order's duration, which is used to move all
	// requests to the new version. The move takes MaxMove at most.
	MoveShare float64
	MaxMove   time.Duration
}

// Order is the operator's order to move a pool to a version.
type Order struct {
	// Row is the version of the order's row in the store, which identifies the order.
	Row uint64
	// To is the version of the servers' software.
	To string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
}

// Phase is the progress of an order. It never decreases for the same order.
type Phase int

const (
	// None means that no phase has been stored yet.
	None Phase = iota
	// Observing means that the new version gets the limited share.
	Observing
	// Moving means that all requests are moved to the new version in steps.
	Moving
	// Completed means that the old servers have been given up.
	Completed
	// RolledBack means that the new version was found to be bad.
	RolledBack
)

// final reports whether the phase is the last one of its order.
func (p Phase) final() bool { return p >= Completed }

// Server is a server of a pool.
type Server struct {
	ID      fleet.ServerID
	Version string
	// StartMillis is when it started, in Unix ms.
	StartMillis int64
	// Taking is set if it accepts requests; its cold start ends at ColdUntil.
	Taking    bool
	ColdUntil time.Time
}

// Tracker is the state of the roll-outs of all pools.
type Tracker struct {
	cfg Config
	// random returns a number from 0 to below 1.
	random func() float64

	mu    sync.RWMutex
	pools map[fleet.PoolID]*pool
	// ordersRead is when the last read of the operator's table started; zero before the first.
	ordersRead time.Time
	// sameUntil is the time until which a row with known content repeats a known order.
	sameUntil time.Time
}

// New returns a tracker that knows no orders. random returns the starts of credits, from 0
// to below 1; nil selects the default generator.
func New(cfg Config, random func() float64) *Tracker {
	if random == nil {
		random = rand.Float64
	}
	return &Tracker{cfg: cfg, random: random, pools: map[fleet.PoolID]*pool{}}
}

// class is how a server is treated.
type class uint8

const (
	classOld  class = iota // not of the order's version
	classNew               // of the order's version, not used while it is observed, or started after completion
	classTest              // of the order's version, gets the limited share
	classHeld              // of a version that gets nothing
)

// pool is the state of one pool.
type pool struct {
	mu sync.Mutex

	// previous is the order before, of which an older copy of the store may have the row.
	order, previous Order
	// ordered is set if there is an order, removed once its row was removed before its end.
	ordered, removed bool
	// known is set once the stored phase of the order is known.
	known bool
	// started is the earliest known time of the order, phaseAt that of the phase.
	started, phaseAt time.Time
	phase            Phase
	// fresh is set if the instance saw the order arrive.
	fresh bool
	// heardAt is when the store or a peer last told of the order.
	heardAt time.Time
	// peerAt is when a peer last told of a pool's order.
	peerAt time.Time
	// bad is set once the version was found to be bad; reason states by what.
	bad    bool
	reason string
	// doubtful is set while the evidence against the version is too weak for a verdict and too
	// strong for a larger part of the requests.
	doubtful bool
	// doubtUntil is the time until which a peer's doubt holds.
	doubtUntil time.Time
	// excluded are versions that were rolled back.
	excluded map[string]bool

	credit float64
	// fraction is the part of the share that is used.
	fraction float64

	servers map[fleet.ServerID]Server
	// classes is replaced, never changed.
	classes map[fleet.ServerID]class
	// restricted is set if some server may not get every request.
	restricted bool
	// inUse are the versions that may get requests without an order; firstSeen is when the
	// first server of another version was seen.
	inUse     map[string]bool
	firstSeen map[string]time.Time
	// severalFirst is set if the first read contained servers of several versions.
	severalFirst bool

	ev    evidence
	write writeState
}

func (t *Tracker) pool(id fleet.PoolID) *pool {
	t.mu.RLock()
	p := t.pools[id]
	t.mu.RUnlock()
	if p != nil {
		return p
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p = t.pools[id]; p == nil {
		p = &pool{
			excluded: map[string]bool{}, servers: map[fleet.ServerID]Server{}, inUse: map[string]bool{},
			firstSeen: map[string]time.Time{}, ev: newEvidence(),
		}
		t.pools[id] = p
	}
	return p
}

// each calls f for each pool under the pool's lock.
func (t *Tracker) each(f func(fleet.PoolID, *pool)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for id, p := range t.pools {
		p.mu.Lock()
		f(id, p)
		p.mu.Unlock()
	}
}

// rewindWindow is the time after the return of an older store in which the operator writes
// the rows again that were lost.
const rewindWindow = 15 * time.Second

// StoreRewound states that the store returned as an older copy. Stored phases are written
// again, and an order that the operator writes again is the one known before.
func (t *Tracker) StoreRewound(now time.Time) {
	t.mu.Lock()
	t.sameUntil = now.Add(rewindWindow)
	t.mu.Unlock()
	t.each(func(_ fleet.PoolID, p *pool) { p.write.again = p.ordered && p.phase != None })
}

// maxReadGap is the time between the starts of two reads of the operator's table within which an
// order that appears is new. An instance that was cut off for longer learns the stored state first.
const maxReadGap = 3 * time.Second

// SetOrders states the orders that a read of the operator's table found. changed contains the
// rows that the read has, nil for a removed one; with full, rows that are missing are removed.
// readStart is when the read started.
func (t *Tracker) SetOrders(now, readStart time.Time, changed map[fleet.PoolID]*Order, full bool) {
	t.mu.Lock()
	fresh, same := !t.ordersRead.IsZero() && readStart.Sub(t.ordersRead) < maxReadGap, now.Before(t.sameUntil)
	if readStart.After(t.ordersRead) {
		t.ordersRead = readStart
	}
	t.mu.Unlock()
	for id, o := range changed {
		p := t.pool(id)
		p.mu.Lock()
		if o == nil {
			p.remove()
		} else {
			p.setOrder(now, *o, fresh, same, t.startCredit())
		}
		p.mu.Unlock()
	}
	t.each(func(id fleet.PoolID, p *pool) {
		if _, ok := changed[id]; full && !ok {
			p.remove()
		}
		p.release(readStart)
		p.classify(t.cfg)
	})
}

// startCredit returns the credit at the start of an order. Its mean makes up for the credit that
// is left over at the end, so that the instances together send the share and not less.
func (t *Tracker) startCredit() float64 {
	if t.cfg.Slack < 1 {
		return t.random() - 1 // no instance may round up
	}
	return t.random()
}

// remove removes the order. One that has ended stays in effect: the servers that were given
// up have stopped, and a version that was rolled back stays excluded.
func (p *pool) remove() {
	if p.ordered && !p.phase.final() {
		p.removed = true
	}
}

// setOrder puts an order in force. fresh is set if the instance knows that the order is new.
func (p *pool) setOrder(now time.Time, o Order, fresh, same bool, credit float64) {
	switch {
	case p.ordered && p.order.Row == o.Row:
		p.removed = false
		return
	case p.ordered && same && p.previous.To == o.To && p.previous.Duration == o.Duration:
		return // the older copy has the row of the order before
	case p.ordered && same && p.order.To == o.To && p.order.Duration == o.Duration:
		// The operator has written the row again after the store lost it.
		p.order.Row, p.removed = o.Row, false
		p.write.again = p.phase != None
		return
	}
	if p.ordered && p.phase == Completed {
		p.inUse[p.order.To] = true
	}
	if p.isUnproven(now) {
		p.excluded[p.order.To] = true
	}
	delete(p.excluded, o.To)
	p.previous = p.order
	p.order, p.ordered, p.removed, p.known = o, true, false, fresh && !same
	p.started, p.phase, p.phaseAt, p.fresh = now, None, now, fresh
	p.doubtUntil = time.Time{}
	p.bad, p.doubtful, p.reason, p.credit = false, false, "", credit
	p.ev.reset()
	p.write = writeState{}
}

// isUnproven reports whether the order's version was bad or under observation beside servers of
// other versions, so that it may not get all requests without an order of its own. An instance
// that has not heard of the order lately may have missed its completion.
func (p *pool) isUnproven(now time.Time) bool {
	if !p.ordered || p.phase.final() || p.inUse[p.order.To] {
		return false
	}
	return p.bad || p.known && p.restricted && now.Sub(p.heardAt) < peerTimeout
}

// holdMargin is how long after the first entry of a version a read of the operator's table has
// to start to show that there is no order for it. Operators write both within this time.
const holdMargin = time.Second

// release lets versions take requests for which a read that started at readStart shows no
// order.
func (p *pool) release(readStart time.Time) {
	for v, at := range p.firstSeen {
		if p.excluded[v] || p.ordered && v == p.order.To {
			continue
		}
		if readStart.Sub(at) > holdMargin {
			p.inUse[v] = true
			delete(p.firstSeen, v)
		}
	}
}

// HoldsFromStart reports whether servers of some version that the first read contained get
// nothing until it is known whether there is an order for it.
func (t *Tracker) HoldsFromStart() bool {
	held := false
	t.each(func(_ fleet.PoolID, p *pool) { held = held || p.severalFirst && len(p.firstSeen) > 0 })
	return held
}

// SetServers replaces the servers of a pool. Of the versions in the first read, the one with
// the oldest server is in use.
func (t *Tracker) SetServers(now time.Time, id fleet.PoolID, servers []Server) {
	p := t.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	first := len(p.servers) == 0
	p.servers = make(map[fleet.ServerID]Server, len(servers))
	oldest, found := Server{}, false
	for _, s := range servers {
		p.servers[s.ID] = s
		if !found || s.StartMillis < oldest.StartMillis || s.StartMillis == oldest.StartMillis && s.ID < oldest.ID {
			oldest, found = s, true
		}
	}
	if found && len(p.inUse) == 0 && !(p.ordered && oldest.Version == p.order.To) {
		p.inUse[oldest.Version] = true
	}
	for _, s := range servers {
		if _, ok := p.firstSeen[s.Version]; !ok && !p.inUse[s.Version] {
			p.firstSeen[s.Version] = now
			p.severalFirst = p.severalFirst || first
		}
	}
	p.classify(t.cfg)
}
