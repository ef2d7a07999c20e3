package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// ledgerShards keeps admissions to different engines apart. An instance admits
// to about two engines at target size and to all of a small fleet's.
const ledgerShards = 16

type ledgerShard struct {
	mu      sync.Mutex
	engines map[fleet.ServerID]*engine
	rnd     *rand.Rand
}

// Ledger holds the load of the engines that this instance admits to.
type Ledger struct {
	self   fleet.InstanceID
	params Params
	shards [ledgerShards]ledgerShard

	poolMu sync.RWMutex
	pools  map[fleet.PoolID]*poolState

	interval atomic.Int64 // between two exchanges, in ns

	// lastTick is the UnixNano of the last Tick; 0 before the first.
	lastTick atomic.Int64

	// leaseUntil is the time until which other groups support this admitter; nil
	// means that none did since the start or the last lapse.
	leaseUntil atomic.Pointer[time.Time]
	// needsLease says that an imported ledger ends a wait only with support.
	needsLease atomic.Bool

	pendingMu sync.Mutex
	pending   map[fleet.ServerID]pendingImport
	copies    map[fleet.ServerID]coldState
	// rejectImports is the time until which a ledger that arrives may be from before a
	// takeover that this instance confirmed.
	rejectImports map[fleet.ServerID]time.Time
}

// NewLedger returns an empty ledger of the instance.
func NewLedger(self fleet.InstanceID, p Params) *Ledger {
	l := &Ledger{
		self: self, params: p.withDefaults(),
		pools: map[fleet.PoolID]*poolState{}, pending: map[fleet.ServerID]pendingImport{}, copies: map[fleet.ServerID]coldState{},
		rejectImports: map[fleet.ServerID]time.Time{},
	}
	for i := range l.shards {
		l.shards[i].engines = map[fleet.ServerID]*engine{}
		l.shards[i].rnd = rand.New(rand.NewPCG(p.Seed, fleet.HashID(string(self))+uint64(i)))
	}
	return l
}

func (l *Ledger) shard(s fleet.ServerID) *ledgerShard {
	return &l.shards[fleet.HashID(string(s))%ledgerShards]
}

func (l *Ledger) pool(id fleet.PoolID) *poolState {
	l.poolMu.RLock()
	p := l.pools[id]
	l.poolMu.RUnlock()
	if p != nil {
		return p
	}
	l.poolMu.Lock()
	defer l.poolMu.Unlock()
	if p = l.pools[id]; p == nil {
		p = &poolState{}
		l.pools[id] = p
	}
	return p
}

// Tick notes that the instance runs. After a pause longer than PauseLimit,
// other instances may have taken over, so that every role waits again.
func (l *Ledger) Tick(now time.Time) (paused bool) {
	last := l.lastTick.Swap(now.UnixNano())
	if last == 0 || now.UnixNano()-last <= int64(MaxPause) {
		return false
	}
	l.restartHandoverWait(now)
	return true
}

// restartHandoverWait starts the handover wait of all roles again.
func (l *Ledger) restartHandoverWait(now time.Time) {
	l.forEachEngine(func(_ fleet.ServerID, e *engine, _ *ledgerShard) {
		if e.active {
			e.grantFrom, e.exclusiveFrom = now.Add(HandoverWait), time.Time{}
		}
	})
}

// pausedAt reports whether the instance may have been paused since its last
// Tick, which a request can notice before Tick does.
func (l *Ledger) pausedAt(now time.Time) bool {
	last := l.lastTick.Load()
	return last != 0 && now.UnixNano()-last > int64(MaxPause)
}

func (l *Ledger) forEachEngine(f func(fleet.ServerID, *engine, *ledgerShard)) {
	for i := range l.shards {
		sh := &l.shards[i]
		sh.mu.Lock()
		for id, e := range sh.engines {
			f(id, e, sh)
		}
		sh.mu.Unlock()
	}
}

// Admit grants the ask or says why not. It raises a.Tokens to the whole prompt
// while the engine is cold.
func (l *Ledger) Admit(now time.Time, a *PermitRequest) Verdict {
	sh := l.shard(a.Server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.engines[a.Server]
	if e == nil || !e.active {
		return NotAdmitter
	}
	if now.Before(e.grantFrom) || l.pausedAt(now) || l.leaseExpired(now) {
		return HandoverPending
	}
	k := permitKey{a.Holder, a.ID}
	if _, held := e.permits[k]; held {
		return Granted
	}
	v := l.checkLimits(now, e, a)
	e.cache.accounts[a.Account].record(v)
	if v != Granted {
		return v
	}
	e.add(k, permit{account: a.Account, weight: a.Weight, tokens: a.Tokens, granted: now})
	e.lastHeard[a.Holder] = now
	if a.Chat != 0 && a.Prompt > 0 {
		e.cache.record(now, a)
	}
	if a.Holder != l.self {
		e.pool.grantedRemote.Add(a.Tokens)
	}
	return Granted
}

func (l *Ledger) checkLimits(now time.Time, e *engine, a *PermitRequest) Verdict {
	if !e.failedAt.IsZero() {
		return Unavailable
	}
	part := e.rampPart(now)
	if part < 1 {
		// The cache of a cold engine is not counted on, because this instance may
		// not have heard of the restart when it estimated the load.
		a.Tokens = max(a.Tokens, Cost(a.Prompt, 0, a.Output))
	}
	capLoad := e.capLoad()
	after := capLoad + a.Tokens
	mean := e.pool.mean(now) * e.limits.Weight
	margin := l.margin(now, e)
	if part < 1 {
		ramp := RampCap(e.limits, now.Sub(e.coldSince), mean*(1-maxMargin))
		if after > ramp {
			return OverRamp
		}
	}
	if most := e.limits.MaxLoad; most > 0 {
		if after > most && capLoad > 0 {
			return OverCapacity
		}
		if float64(after) > l.lendingThreshold(a)*float64(most) && e.overShare(a, most) {
			return OverShare
		}
		if float64(after) > (cacheShareLoad-priorityReduction(a))*float64(most) && e.overCacheShare(now, a) {
			return OverShare
		}
	}
	limit := e.limits.LoadBound * (1 - margin) * mean
	if !a.Relaxed && float64(capLoad) > limit-l.params.SoftGap*mean {
		return OverSoftBound
	}
	// An engine at or below the mean takes one request whatever its size: the
	// bound cannot be finer than one request.
	if float64(capLoad) > mean && float64(after) > limit {
		return OverLoadBound
	}
	return Granted
}

// maxMargin keeps the cap above the mean for pools with few requests.
const maxMargin = 0.15

// lagBase is the margin for the delay of an exchange itself.
const lagBase = 0.008

// margin is the part of the load bound that is kept back.
func (l *Ledger) margin(now time.Time, e *engine) float64 {
	if len(e.permits) == 0 || e.load <= 0 {
		return maxMargin
	}
	n := float64(e.pool.total(now)) * float64(len(e.permits)) / float64(e.load)
	lag := l.params.Margin * time.Duration(l.interval.Load()).Seconds()
	return min(lagBase+lag+l.params.Noise/math.Sqrt(max(n, 1)), maxMargin)
}

// priorityStep lowers the lending threshold for each priority below the default,
// so that low priorities are refused first when capacity is short.
const priorityStep = 0.02

// uncachedStep lowers the lending threshold for chats without a cached prefix. A
// surging account then uses what is lent for the chats that it has running,
// instead of filling the caches with prefixes of ever more chats.
const uncachedStep = 0.1

func priorityReduction(a *PermitRequest) float64 {
	return priorityStep * float64(max(defaultPriority-a.Priority, 0))
}

func (l *Ledger) lendingThreshold(a *PermitRequest) float64 {
	t := l.params.LendThreshold - priorityReduction(a)
	if a.mostlyUncached() {
		t -= uncachedStep
	}
	return t
}

// shareFloor is the part of an engine's capacity that any account may use. The
// few requests of a small account on one engine vary more than its share, which
// holds on average over the pool. Without the floor, accounts that did not surge
// kept 0.82 of their requests.
const shareFloor = 0.12

// overShare reports whether the account would exceed its weighted share of the
// capacity. An account without load always has room for one request.
func (e *engine) overShare(a *PermitRequest, capacity int64) bool {
	s := e.accounts[a.Account]
	if s == nil {
		return false
	}
	share := s.weight / e.weights
	part := share
	if e.surges(a.Account, capacity) {
		part = surgeLoadFraction * share
	}
	part = max(part, shareFloor)
	return float64(s.load+a.Tokens) > part*float64(capacity)
}

// Estimate sets the load of an ask. cached is the prefix that the records of
// served requests tell and used the time of its last use; what the engine is
// expected to have evicted since does not count.
func (l *Ledger) Estimate(a *PermitRequest, cached int, used time.Time) {
	sh := l.shard(a.Server)
	sh.mu.Lock()
	if e := sh.engines[a.Server]; e != nil && cached > 0 {
		cached = e.cache.cached(a.Chat, cached, used)
	}
	sh.mu.Unlock()
	a.Tokens = Cost(a.Prompt, cached, a.Output)
}

// Release returns the load of a permit. It may be called more than once.
func (l *Ledger) Release(now time.Time, server fleet.ServerID, holder fleet.InstanceID, id uint64) {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.engines[server]; e != nil {
		e.remove(now, permitKey{holder, id})
	}
}

// RetryAfter returns advice spread around the mean, so that refused callers do
// not come back at the same time.
func (l *Ledger) RetryAfter(server fleet.ServerID) time.Duration {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return time.Duration((0.5 + sh.rnd.Float64()) * float64(l.params.RetryAfter))
}

// Loads appends the loads of the engines of a pool that this instance admits to.
func (l *Ledger) Loads(now time.Time, pool fleet.PoolID, dst []EngineLoad) []EngineLoad {
	p := l.pool(pool)
	p.grantedRemoteSent.Store(p.grantedRemote.Load())
	l.forEachEngine(func(id fleet.ServerID, e *engine, _ *ledgerShard) {
		if e.active && e.limits.Pool == pool && !e.awaitingFirstReport(now) {
			dst = append(dst, EngineLoad{id, e.poolLoad(), e.poolWeight(now)})
		}
	})
	return dst
}

// AddWaiting adds tokens to the load that waits at this instance for a permit; a
// negative number ends the wait.
func (l *Ledger) AddWaiting(pool fleet.PoolID, tokens int64) { l.pool(pool).waiting.Add(tokens) }

// Waiting returns the load that waits at this instance for a permit.
func (l *Ledger) Waiting(pool fleet.PoolID) int64 { return l.pool(pool).waiting.Load() }

// Mean returns the pool mean as seen now, for an engine of weight 1.
func (l *Ledger) Mean(now time.Time, pool fleet.PoolID) float64 { return l.pool(pool).mean(now) }

// SetTotal takes the answer of an exchange that sent loads.
func (l *Ledger) SetTotal(now time.Time, pool fleet.PoolID, t Total, sent []EngineLoad) {
	p := l.pool(pool)
	others := t.Load
	for _, s := range sent {
		others -= s.Load
	}
	p.set(now, others, t.Waiting, t.Weight)
}

// Used returns the load of an engine that counts against its cap.
func (l *Ledger) Used(server fleet.ServerID) int64 {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.engines[server]; e != nil {
		return e.capLoad()
	}
	return 0
}

// Configure sets the limits of all engines of the index.
func (l *Ledger) Configure(x *manifest.Index) {
	for i := range x.Manifest.Servers {
		s := &x.Manifest.Servers[i]
		sh := l.shard(s.Name)
		sh.mu.Lock()
		if e := sh.engines[s.Name]; e != nil {
			pool := e.limits.Pool
			e.limits = LimitsOf(x, s)
			e.limits.Pool = pool
			e.cache.declared = e.limits.CacheTokens
		}
		sh.mu.Unlock()
	}
}
