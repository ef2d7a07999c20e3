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
	// usualMin is the number of first tokens before the usual time counts, and
	// usualStep the weight of a new one.
	usualMin  = 16
	usualStep = 1.0 / 32
	// slowMemory ends a run of slow first tokens: older ones say nothing about
	// the cache now.
	slowMemory = time.Minute
)

// firstTokens is what an admitter knows about the first tokens of warm chats of
// one engine.
type firstTokens struct {
	usual time.Duration
	count int
	slow  uint8 // the last coldWindow first tokens, 1 for slow
	at    time.Time
}

// note records a first token and reports whether the engine looks cold. Slow
// ones do not change the usual time.
func (f *firstTokens) note(now time.Time, took time.Duration) bool {
	if now.Sub(f.at) > slowMemory {
		f.slow = 0
	}
	f.at = now
	f.slow <<= 1
	if f.count >= usualMin && took > slowFactor*f.usual+slowFloor {
		f.slow |= 1
		return bits.OnesCount8(f.slow) >= coldSlow
	}
	f.count++
	step := max(usualStep, 1/float64(f.count))
	f.usual += time.Duration(step * float64(took-f.usual))
	return false
}

// FirstToken records how long the first token of a stream took whose prefix the
// engine was expected to hold. It starts the ramp and returns true when the
// engine looks cold. When another engine of the pool is half way there, the cause
// is rather the network or this instance, and nothing is changed.
func (l *Ledger) FirstToken(now time.Time, server fleet.ServerID, took time.Duration) bool {
	pool, looks := l.noteFirstToken(now, server, took)
	if !looks || l.othersLookCold(now, pool, server) {
		return false
	}
	l.MarkCold(now, server)
	return true
}

func (l *Ledger) noteFirstToken(now time.Time, server fleet.ServerID, took time.Duration) (fleet.PoolID, bool) {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.engines[server]
	if e == nil || !e.active || e.rampPart(now) < 1 {
		return "", false
	}
	return e.limits.Pool, e.first.note(now, took)
}

func (l *Ledger) othersLookCold(now time.Time, pool fleet.PoolID, server fleet.ServerID) bool {
	found := false
	l.each(func(id fleet.ServerID, e *engine, _ *ledgerShard) {
		recent := e.active && e.limits.Pool == pool && now.Sub(e.first.at) <= slowMemory
		if id != server && recent && bits.OnesCount8(e.first.slow) >= coldSlow/2 {
			found = true
		}
	})
	return found
}
