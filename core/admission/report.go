package admission

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// Report is an engine's own view of its load; it lags.
type Report struct {
	Incarnation uint64
	// Load is in tokens; 0 with Running above 0 means that it is not reported.
	Load    int64
	Running int
	Cold    bool
	// CacheTokens is the size of the prefix cache; 0 means that it is not reported.
	CacheTokens int64
	// At is the time of the state that the report describes.
	At time.Time
}

// failureGrace ends the block of a failed engine when reports arrive whose
// clock does not agree with the instance's clock.
const failureGrace = 3 * time.Second

// Report reconciles the ledger of an engine with the engine's report. It tells
// whether the engine turned cold.
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
	// What the former admitter granted last shows in a report from after its end.
	// A report from the future has a clock that does not agree.
	if !e.exclusiveFrom.IsZero() && !now.Before(e.exclusiveFrom) && !r.At.Before(e.exclusiveFrom) && !r.At.After(now) && now.Before(e.grantFrom) {
		e.grantFrom = now
	}
	e.setBias(now, e.unexplained(r))
	// While the role waits, the difference is load of the former admitter.
	if then := e.history.at(r.At).load; r.Load > 0 && then > 0 && !now.Before(e.grantFrom) {
		e.cache.updateLearnedSize(now, float64(r.Load-then)/float64(then))
	}
	return cold
}

// reportTolerance is the part of the load by which a report and the ledger may
// differ without a correction: history has a resolution of 250 ms, in which an
// engine takes 2.5% of its load.
const reportTolerance = 16

// unexplained returns the reported load minus the ledger at that time.
func (e *engine) unexplained(r Report) int64 {
	then := e.history.at(r.At)
	if r.Load > 0 {
		return r.Load - then.load - then.load/reportTolerance
	}
	// Without tokens, only requests that the ledger does not know can be told.
	return int64(max(r.Running-then.count, 0)) * e.limits.AverageCost
}

// Failed blocks an engine after a connection to it broke, until a report from
// after that time shows whether it restarted: its cache may be cold.
func (l *Ledger) Failed(now time.Time, server fleet.ServerID) {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.engines[server]; e != nil {
		e.failedAt = now
	}
}

// MarkCold starts the ramp of an engine that turned cold without a restart,
// which its first-token latency on warm chats shows.
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
