package admission

import (
	"math/bits"
	"time"

	"cyclamenhitch/core/fleet"
)

// An engine that dropped its cache without a restart is detected by the first-token
// latency of chats whose prefix it should hold: each takes as long as a whole prompt.
const (
	// A first token is slow if it takes longer than slowFactor times the typical
	// latency of warm chats plus slowFloor, which covers the variation of short times.
	slowFactor = 4
	slowFloor  = 100 * time.Millisecond
	// An engine looks cold if coldSlow of the last coldWindow first tokens are slow.
	// Any engine with a full cache loses the prefixes of a few chats.
	coldWindow = 8
	coldSlow   = 6
	// typicalMinCount is the number of first tokens before the typical latency is
	// used, and typicalSmoothing the weight of a new one.
	typicalMinCount  = 16
	typicalSmoothing = 1.0 / 32
	// slowRunTimeout resets a run of slow first tokens: older ones say nothing about
	// the present state of the cache.
	slowRunTimeout = time.Minute
)

// firstTokens tracks the first-token latency of the warm chats of one engine.
type firstTokens struct {
	typical time.Duration
	count   int
	slow    uint8 // the last coldWindow first tokens, 1 for slow
	at      time.Time
}

// record records a first token and reports whether the engine looks cold. Slow first
// tokens do not change the typical latency.
func (f *firstTokens) record(now time.Time, took time.Duration) bool {
	if now.Sub(f.at) > slowRunTimeout {
		f.slow = 0
	}
	f.at = now
	f.slow <<= 1
	if f.count >= typicalMinCount && took > slowFactor*f.typical+slowFloor {
		f.slow |= 1
		return bits.OnesCount8(f.slow) >= coldSlow
	}
	f.count++
	step := max(typicalSmoothing, 1/float64(f.count))
	f.typical += time.Duration(step * float64(took-f.typical))
	return false
}

// FirstToken records the first-token latency of a stream whose prefix the engine was
// expected to hold. If the engine looks cold, it starts the cold-start ramp and
// returns true. If another engine of the pool has half of coldSlow, the cause is
// more likely the network or this instance, and nothing changes.
func (l *Ledger) FirstToken(now time.Time, server fleet.ServerID, took time.Duration) bool {
	pool, looks := l.recordFirstToken(now, server, took)
	if !looks || l.othersLookCold(now, pool, server) {
		return false
	}
	l.MarkCold(now, server)
	return true
}

func (l *Ledger) recordFirstToken(now time.Time, server fleet.ServerID, took time.Duration) (fleet.PoolID, bool) {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.engines[server]
	if e == nil || !e.active || e.rampPart(now) < 1 {
		return "", false
	}
	return e.limits.Pool, e.firstToken.record(now, took)
}

func (l *Ledger) othersLookCold(now time.Time, pool fleet.PoolID, server fleet.ServerID) bool {
	found := false
	l.forEachEngine(func(id fleet.ServerID, e *engine, _ *ledgerShard) {
		recent := e.active && e.limits.Pool == pool && now.Sub(e.firstToken.at) <= slowRunTimeout
		if id != server && recent && bits.OnesCount8(e.firstToken.slow) >= coldSlow/2 {
			found = true
		}
	})
	return found
}
