package admission

import (
	"math/bits"
	"time"

	"cyclamenhitch/core/fleet"
)

// An engine that dropped its cache without a restart shows it by the first token
// of chats whose prefix it should hold: each takes as long as a whole prompt.
const (
	// slowFactor and slowFloor make a first token slow: several times the usual
	// time of warm chats, and beyond the variation of short times.
	slowFactor = 4
	slowFloor  = 100 * time.Millisecond
	// coldWindow first tokens are looked at, and coldSlow of them must be slow.
	// A few chats lose their prefix in any engine whose cache is full.
	coldWindow = 8
	coldSlow   = 6
	// typicalMinCount is the number of first tokens before the usual time counts, and
	// usualStep the weight of a new one.
	typicalMinCount  = 16
	typicalSmoothing = 1.0 / 32
	// slowRunTimeout ends a run of slow first tokens: older ones say nothing about
	// the cache now.
	slowRunTimeout = time.Minute
)

// firstTokens is what an admitter knows about the first tokens of warm chats of
// one engine.
type firstTokens struct {
	typical time.Duration
	count   int
	slow    uint8 // the last coldWindow first tokens, 1 for slow
	at      time.Time
}

// record records a first token and reports whether the engine looks cold. Slow
// ones do not change the usual time.
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

// FirstToken records how long the first token of a stream took whose prefix the
// engine was expected to hold. It starts the ramp and returns true when the
// engine looks cold. When another engine of the pool is half way there, the cause
// is rather the network or this instance, and nothing is changed.
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
