package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhitch/core/fleet"
)

// poolState is an admitter's view of the load of a pool. The mean is computed from
// the load of the other instances at the last exchange and the current local load.
type poolState struct {
	local  atomic.Int64 // load of the engines that this instance admits to
	remote atomic.Pointer[remoteLoad]
	// waiting is the load of the requests that wait for a permit at this instance.
	waiting atomic.Int64
	// grantedRemote is the sum of all grants to other instances, and
	// grantedRemoteSent its value when loads were last read for an exchange.
	grantedRemote, grantedRemoteSent atomic.Int64
	// expected is the declared weight of the eligible engines, as float bits. It is
	// the lower bound of the total's weight until partialTotalGrace after the first
	// total, because the first totals of a fleet cover only some of the engines.
	expected atomic.Uint64
	firstAt  atomic.Int64 // UnixNano of the first total
}

// remoteLoad is the result of the last exchange, less the loads sent in it.
type remoteLoad struct {
	load   int64
	weight float64 // of all engines of the pool, including those of this instance
	at     time.Time
	// waiting is the load that waits for permits at other instances.
	waiting       int64
	grantedRemote int64 // poolState.lent when the loads were sent
	// slope is the change of load per second; 0 when the load grows.
	slope float64
}

// partialTotalGrace is how long a total that covers less than half of the known
// weight is ignored, because a new aggregator has not received the loads of all
// engines yet. After that, the missing engines are taken as not reporting.
const partialTotalGrace = 2 * time.Second

// maxProjectionTime and maxProjectedDrop limit the time and the fraction by which
// the load of the other engines is extrapolated. In a pool with few requests, two
// exchanges in quick succession can yield an arbitrary slope.
const (
	maxProjectionTime = 2 * time.Second
	maxProjectedDrop  = 0.1
)

// waitingLoadTTL is how long reported waiting load counts: the longest wait of a
// request for its first engine. A request that waits longer is reported again.
const waitingLoadTTL = boundWaitAttempts * BoundWait

// waitingLoadTolerance is the fraction of the granted load up to which waiting load
// is ignored, so that the few requests that wait in steady state do not raise the
// bound.
const waitingLoadTolerance = 0.05

// total estimates the current granted load of the pool plus the waiting load beyond
// waitingLoadTolerance. Without the waiting load, a surge from idle could grow by
// only one request per engine and exchange, and would be refused.
func (p *poolState) total(now time.Time) int64 {
	granted, waiting := p.granted(now), max(p.waiting.Load(), 0)
	if r := p.remote.Load(); r != nil && now.Sub(r.at) <= waitingLoadTTL {
		// Grants to other instances since then already count as granted load.
		waiting += max(r.waiting-(p.grantedRemote.Load()-r.grantedRemote), 0)
	}
	return granted + max(waiting-int64(waitingLoadTolerance*float64(granted)), 0)
}

// granted estimates the current granted load of the pool. A falling total is
// extrapolated to now, because a stale mean would let engines exceed the bound. A
// growing total is not.
func (p *poolState) granted(now time.Time) int64 {
	r := p.remote.Load()
	if r == nil {
		return max(p.local.Load(), 0)
	}
	age := min(max(now.Sub(r.at), 0), maxProjectionTime)
	drop := min(-r.slope*age.Seconds(), maxProjectedDrop*float64(max(r.load, 0)))
	return max(r.load-int64(drop)+p.local.Load(), 0)
}

func (p *poolState) mean(now time.Time) float64 {
	r := p.remote.Load()
	if r == nil || r.weight <= 0 {
		return 0
	}
	return float64(p.total(now)) / r.weight
}

// set stores the load of the other engines, the waiting load at other instances
// and the weight of the pool.
func (p *poolState) set(now time.Time, load, waiting int64, weight float64) {
	old := p.remote.Load()
	p.firstAt.CompareAndSwap(0, now.UnixNano())
	if now.UnixNano()-p.firstAt.Load() < int64(partialTotalGrace) {
		weight = max(weight, math.Float64frombits(p.expected.Load()))
	}
	next := &remoteLoad{load: load, waiting: waiting, grantedRemote: p.grantedRemoteSent.Load(), weight: weight, at: now}
	if old != nil {
		if weight < old.weight/2 && now.Sub(old.at) < partialTotalGrace {
			return
		}
		if dt := now.Sub(old.at).Seconds(); dt > 0 && weight == old.weight {
			next.slope = min(float64(load-old.load)/dt, 0)
		}
	}
	p.remote.Store(next)
}

// MembersLost lowers the last totals after instances failed. Their streams broke,
// and most streams of an engine pass through its admitter, so the load of the
// engines that they admitted to counts as ended until the next exchange. With the
// old total, an engine reached 1.5 times the mean within 200 ms.
func (l *Ledger) MembersLost(old, next *Table) {
	lost, all := map[fleet.PoolID]float64{}, map[fleet.PoolID]float64{}
	for i := range next.Index.Manifest.Servers {
		if s := &next.Index.Manifest.Servers[i]; next.Index.AcceptsNewRequests(s) {
			all[s.Pool] += s.Weight
			if lostAdmitter(old, next, s.Name) {
				lost[s.Pool] += s.Weight
			}
		}
	}
	for id, w := range lost {
		p := l.pool(id)
		if r := p.remote.Load(); r != nil {
			less := *r
			less.load -= int64(w / all[id] * float64(max(r.load+p.local.Load(), 0)))
			p.remote.Store(&less)
		}
	}
}

// lostAdmitter reports whether the primary admitter of a server left the view.
func lostAdmitter(old, next *Table, s fleet.ServerID) bool {
	a := old.Of(s)
	return len(a) > 0 && next.View.Find(a[0].ID) == nil
}

// MembersLost clears the loads of engines whose primary admitter failed.
func (t *Totals) MembersLost(old, next *Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.pools {
		for s, e := range m {
			if lostAdmitter(old, next, s) {
				e.load = 0
				m[s] = e
			}
		}
	}
}

// Total is the sum over the reporting engines of a pool.
type Total struct {
	Load   int64
	Weight float64
	// Waiting is the waiting load at instances other than the receiver.
	Waiting int64
}

// EngineLoad is the load of one engine in an exchange.
type EngineLoad struct {
	Server fleet.ServerID
	Load   int64
	Weight float64
}

// engineLoadTTL is how long the last load of an engine counts without an update.
// After that, the mean covers only the engines that still report. It spans a lost
// exchange and the handover between two admitters.
const engineLoadTTL = HandoverWait + time.Second

type totalEntry struct {
	load   int64
	weight float64
	at     time.Time
}

// Totals sums the loads of pools at their aggregator. A single lock suffices: each
// admitter calls once per exchange interval.
type Totals struct {
	mu    sync.Mutex
	pools map[fleet.PoolID]map[fleet.ServerID]totalEntry
	waits map[fleet.PoolID]map[fleet.InstanceID]waitingEntry
}

type waitingEntry struct {
	load int64
	at   time.Time
	// granted is the granted load of the pool at the time of the report.
	granted int64
}

// NewTotals returns empty totals.
func NewTotals() *Totals {
	return &Totals{
		pools: map[fleet.PoolID]map[fleet.ServerID]totalEntry{},
		waits: map[fleet.PoolID]map[fleet.InstanceID]waitingEntry{},
	}
}

// weightUnit is the fixed-point resolution of summed weights. A float sum depends
// on the order of its terms, and poolState.set compares the weights of two totals.
const weightUnit = 1 << 20

// Exchange records the loads and returns the pool total, including them.
func (t *Totals) Exchange(now time.Time, pool fleet.PoolID, loads []EngineLoad) Total {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.pools[pool]
	if m == nil {
		m = map[fleet.ServerID]totalEntry{}
		t.pools[pool] = m
	}
	for _, l := range loads {
		m[l.Server] = totalEntry{l.Load, l.Weight, now}
	}
	var sum Total
	weight := int64(0)
	for s, e := range m {
		if now.Sub(e.at) > engineLoadTTL {
			delete(m, s)
			continue
		}
		sum.Load += e.load
		weight += int64(math.Round(e.weight * weightUnit))
	}
	sum.Weight = float64(weight) / weightUnit
	return sum
}

// Waiting records the waiting load at the holder and returns the waiting load at
// the other instances. Load granted since their oldest report is subtracted,
// because it would count twice. Call it after Exchange.
func (t *Totals) Waiting(now time.Time, pool fleet.PoolID, holder fleet.InstanceID, load int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.waits[pool]
	if m == nil {
		m = map[fleet.InstanceID]waitingEntry{}
		t.waits[pool] = m
	}
	delete(m, holder)
	granted := int64(0)
	for _, e := range t.pools[pool] {
		granted += e.load
	}
	sum, before, oldest := int64(0), granted, now
	for id, e := range m {
		if now.Sub(e.at) > waitingLoadTTL {
			delete(m, id)
			continue
		}
		sum += e.load
		if e.at.Before(oldest) || e.at.Equal(oldest) && e.granted < before {
			before, oldest = e.granted, e.at
		}
	}
	sum = max(sum-max(granted-before, 0), 0)
	if load > 0 {
		m[holder] = waitingEntry{load, now, granted}
	}
	return sum
}

// Retain drops engines that are no longer eligible, so that a data centre taken out
// of service leaves the mean at once.
func (t *Totals) Retain(eligible func(fleet.ServerID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.pools {
		for s := range m {
			if !eligible(s) {
				delete(m, s)
			}
		}
	}
}
