package admission

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// Report is the load that an engine reports about itself, with a delay.
type Report struct {
	Incarnation uint64
	// Load is in tokens; 0 while Running is above 0 means not reported.
	Load    int64
	Running int
	Cold    bool
	// CacheTokens is the size of the prefix cache; 0 means not reported.
	CacheTokens int64
	// At is the time of the state that the report describes.
	At time.Time
}

// failureGrace is the time after which any report unblocks a failed engine, in
// case the clocks of the engine and the instance disagree.
const failureGrace = 3 * time.Second

// Report reconciles the ledger of an engine with the engine's report. It returns
// whether the engine's cache turned cold.
func (l *Ledger) Report(now time.Time, server fleet.ServerID, r Report) (cold bool) {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.engines[server]
	if e == nil || r.Incarnation < e.incarnation {
		return false // a report from before a restart
	}
	if !e.failedAt.IsZero() {
		if r.At.Before(e.failedAt) && now.Sub(e.failedAt) < failureGrace {
			return false
		}
		e.failedAt = time.Time{}
	}
	restarted := e.incarnation != 0 && r.Incarnation != e.incarnation
	e.incarnation = r.Incarnation
	cold = restarted || r.Cold && !e.reportedCold
	if cold {
		e.coldSince = now
		e.cache.clear()
	}
	e.reportedCold = r.Cold
	e.cache.reported = r.CacheTokens
	e.history.record(now, point{e.load, len(e.permits)})
	e.reported = true
	// A report taken after the former admitter stopped granting includes its last
	// grants. A report time in the future means that the clocks disagree.
	if !e.exclusiveFrom.IsZero() && !now.Before(e.exclusiveFrom) && !r.At.Before(e.exclusiveFrom) && !r.At.After(now) && now.Before(e.grantFrom) {
		e.grantFrom = now
	}
	e.setBias(now, e.unexplained(r))
	// During the handover wait, the difference is load granted by the former admitter.
	if then := e.history.at(r.At).load; r.Load > 0 && then > 0 && !now.Before(e.grantFrom) {
		e.cache.updateLearnedSize(now, float64(r.Load-then)/float64(then))
	}
	return cold
}

// reportTolerance is the divisor of the load that gives the difference between
// report and ledger that needs no correction. The history has a resolution of
// 250 ms, in which an engine admits 2.5% of its load.
const reportTolerance = 16

// unexplained returns the reported load minus the ledger load at the report time.
func (e *engine) unexplained(r Report) int64 {
	then := e.history.at(r.At)
	if r.Load > 0 {
		return r.Load - then.load - then.load/reportTolerance
	}
	// Without a token count, only requests missing from the ledger can be counted.
	return int64(max(r.Running-then.count, 0)) * e.limits.AverageCost
}

// Failed blocks grants on an engine after a connection to it broke, until a later
// report shows whether the engine restarted with a cold cache.
func (l *Ledger) Failed(now time.Time, server fleet.ServerID) {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.engines[server]; e != nil {
		e.failedAt = now
	}
}

// MarkCold starts the cold-start ramp of an engine that lost its cache without a
// restart, as detected by the first-token latency of warm chats.
func (l *Ledger) MarkCold(now time.Time, server fleet.ServerID) {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.engines[server]; e != nil && e.coldSince.IsZero() {
		e.coldSince = now
		e.firstToken.slow = 0
		e.cache.clear()
	}
}
