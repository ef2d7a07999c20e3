package admission

import (
	"math"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/membership"
)

// HeldPermit is one permit in a snapshot or a holder's list.
type HeldPermit struct {
	Holder  fleet.InstanceID
	ID      uint64
	Account fleet.ClientAccountID
	Weight  float64
	Tokens  int64
}

// Snapshot is the ledger of one engine, sent to the next admitter.
type Snapshot struct {
	Server      fleet.ServerID
	Incarnation uint64
	// ColdAge is the time since the cold start; negative means warm.
	ColdAge time.Duration
	Bias    int64
	Permits []HeldPermit
}

type pendingImport struct {
	snap Snapshot
	at   time.Time
}

// SetRoles sets the engines that this instance is the primary admitter of. A new
// role waits for HandoverWait, unless its ledger was imported or immediate states
// that no other instance can have admitted before. It returns the ledgers of the
// roles that ended, to be sent to the next primaries.
func (l *Ledger) SetRoles(now time.Time, t *Table, immediate bool) []Snapshot {
	var ended []Snapshot
	// Also detects a pause between the first roles and the first Tick.
	l.lastTick.CompareAndSwap(0, now.UnixNano())
	l.interval.Store(int64(t.ExchangeInterval()))
	l.forEachEngine(func(id fleet.ServerID, e *engine, sh *ledgerShard) {
		if t.Primary(id, l.self) {
			return
		}
		if e.granting(now) && !l.pausedAt(now) && !l.leaseExpired(now) {
			ended = append(ended, e.snapshot(id, now))
		}
		l.drop(id, e, sh)
	})
	expected := map[fleet.PoolID]float64{}
	for i := range t.Index.Manifest.Servers {
		s := &t.Index.Manifest.Servers[i]
		if t.Index.AcceptsNewRequests(s) {
			expected[s.Pool] += s.Weight
		}
		if t.Primary(s.Name, l.self) {
			l.activate(now, s.Name, LimitsOf(t.Index, s), immediate)
		}
	}
	for id, w := range expected {
		l.pool(id).expected.Store(math.Float64bits(w))
	}
	return ended
}

// drop ends a role. The serving instances report their permits to the next primary.
func (l *Ledger) drop(id fleet.ServerID, e *engine, sh *ledgerShard) {
	if e.active {
		e.pool.local.Add(-e.poolLoad())
	}
	delete(sh.engines, id)
}

func (l *Ledger) activate(now time.Time, id fleet.ServerID, limits Limits, immediate bool) {
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.engines[id] != nil {
		return
	}
	e := &engine{
		limits: limits, pool: l.pool(limits.Pool), active: true, since: now, grantFrom: now.Add(HandoverWait),
		permits: map[permitKey]permit{}, accounts: map[fleet.ClientAccountID]*accountLoad{}, lastHeard: map[fleet.InstanceID]time.Time{},
		cache: newCacheModel(now),
	}
	e.cache.declared = limits.CacheTokens
	if immediate {
		e.grantFrom = now
	}
	l.restoreColdState(id, e)
	sh.engines[id] = e
	l.pendingMu.Lock()
	p, ok := l.pending[id]
	delete(l.pending, id)
	l.pendingMu.Unlock()
	if ok && now.Sub(p.at) <= HandoverWait-PermitLifetime {
		e.restore(p.snap, now, l.maySkipWait(now))
	}
}

// Export ends all roles and returns their ledgers, for a planned shutdown.
func (l *Ledger) Export(now time.Time) []Snapshot {
	var out []Snapshot
	l.forEachEngine(func(id fleet.ServerID, e *engine, sh *ledgerShard) {
		if e.granting(now) && !l.pausedAt(now) && !l.leaseExpired(now) {
			out = append(out, e.snapshot(id, now))
		}
		l.drop(id, e, sh)
	})
	return out
}

// Import applies the ledger of an engine from the admitter that stopped granting
// and ends the handover wait. A ledger that arrives before this instance has the
// role is kept for HandoverWait less PermitLifetime.
func (l *Ledger) Import(now time.Time, s Snapshot) {
	sh := l.shard(s.Server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l.pendingMu.Lock()
	rejectImports := now.Before(l.rejectImports[s.Server])
	l.pendingMu.Unlock()
	if rejectImports {
		return
	}
	if e := sh.engines[s.Server]; e != nil {
		if now.Before(e.grantFrom) {
			e.restore(s, now, l.maySkipWait(now))
		}
		return
	}
	l.pendingMu.Lock()
	l.pending[s.Server] = pendingImport{s, now}
	l.pendingMu.Unlock()
}

func (e *engine) snapshot(id fleet.ServerID, now time.Time) Snapshot {
	s := Snapshot{Server: id, Incarnation: e.incarnation, ColdAge: -1, Bias: e.bias}
	if !e.coldSince.IsZero() {
		s.ColdAge = now.Sub(e.coldSince)
	}
	for k, p := range e.permits {
		s.Permits = append(s.Permits, HeldPermit{k.holder, k.id, p.account, p.weight, p.tokens})
	}
	return s
}

// restore applies a snapshot to an engine in its handover wait. If skipWait is set,
// the wait ends.
func (e *engine) restore(s Snapshot, now time.Time, skipWait bool) {
	for _, p := range s.Permits {
		e.addListed(now, p)
	}
	if skipWait {
		e.grantFrom = now
	}
	e.setBias(now, s.Bias)
	e.incarnation = max(e.incarnation, s.Incarnation)
	if s.ColdAge >= 0 && e.coldSince.IsZero() {
		e.coldSince = now.Add(-s.ColdAge)
	}
}

// addListed adds a permit reported by its holder or by the former admitter.
func (e *engine) addListed(now time.Time, p HeldPermit) {
	k := permitKey{p.Holder, p.ID}
	if _, ok := e.permits[k]; !ok {
		e.add(k, permit{account: p.Account, weight: p.Weight, tokens: p.Tokens, granted: now})
		// The engine's report may have counted this permit as unknown load.
		if e.bias > 0 {
			e.setBias(now, e.bias-p.Tokens)
		}
	}
	e.lastHeard[p.Holder] = now
}

// Sync reconciles the ledger with the list of all permits that a holder uses on an
// engine. It adds missing permits, which rebuilds the ledger of a new primary, and
// frees permits that ended or whose grant reply was lost.
func (l *Ledger) Sync(now time.Time, holder fleet.InstanceID, server fleet.ServerID, held []HeldPermit) {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.engines[server]
	if e == nil || !e.active {
		return
	}
	named := make(map[uint64]bool, len(held))
	for _, p := range held {
		p.Holder = holder
		named[p.ID] = true
		e.addListed(now, p)
	}
	e.lastHeard[holder] = now
	for k, p := range e.permits {
		if k.holder == holder && !named[k.id] && now.Sub(p.granted) > PermitLifetime {
			e.remove(now, k)
		}
	}
}

// Ended frees the given permits of a holder.
func (l *Ledger) Ended(now time.Time, holder fleet.InstanceID, server fleet.ServerID, ids []uint64) {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.engines[server]; e != nil {
		for _, id := range ids {
			e.remove(now, permitKey{holder, id})
		}
	}
}

// Expire frees the permits of instances that are no longer alive and sent nothing
// for HolderTimeout. Until then these permits do not count in the pool mean. A
// permit granted within the last MaxViewDivergence is kept, because it may belong
// to a new or restarted instance that this instance has not seen join yet.
func (l *Ledger) Expire(now time.Time, alive func(fleet.InstanceID) bool) {
	l.forEachEngine(func(_ fleet.ServerID, e *engine, _ *ledgerShard) {
		for k, p := range e.permits {
			gone := k.holder != l.self && !alive(k.holder)
			if gone && now.Sub(e.lastHeard[k.holder]) > HolderTimeout && now.Sub(p.granted) > membership.MaxViewDivergence {
				e.remove(now, k)
				continue
			}
			e.setHolderGone(k, p, gone)
		}
	})
}
