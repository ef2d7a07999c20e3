package admission

import (
	"maps"
	"time"

	"cyclamenhitch/core/fleet"
)

// leaseExpiry returns the end of the support by other groups, or zero.
func (l *Ledger) leaseExpiry() time.Time {
	if t := l.leaseUntil.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// extendLease extends the support. Answers may arrive out of order.
func (l *Ledger) extendLease(until time.Time) {
	if until.After(l.leaseExpiry()) {
		l.leaseUntil.Store(&until)
	}
}

// leaseExpired reports whether the support ended, which a request can notice before
// lapse does.
func (l *Ledger) leaseExpired(now time.Time) bool {
	t := l.leaseUntil.Load()
	// The monotonic clock may stand still while the machine is suspended.
	return t != nil && (now.After(*t) || now.UnixNano() > t.UnixNano())
}

// maySkipWait reports whether other groups support this admitter, or need not. Two
// instances that are cut off together may hand over a ledger while the others
// take over.
func (l *Ledger) maySkipWait(now time.Time) bool {
	return !l.needsLease.Load() || l.leaseUntil.Load() != nil && !l.leaseExpired(now)
}

// handleLeaseExpiry makes every role wait again after the support ended: others may take
// over. Without later support, the roles grant after HandoverWait.
func (l *Ledger) handleLeaseExpiry(now time.Time) bool {
	if !l.leaseExpired(now) {
		return false
	}
	l.restartHandoverWait(now)
	l.leaseUntil.Store(nil)
	return true
}

// granting reports whether the role's wait has ended.
func (e *engine) granting(now time.Time) bool { return e.active && !now.Before(e.grantFrom) }

// waitingEngines lists the engines that report and whose wait nothing shortens yet.
func (l *Ledger) waitingEngines(now time.Time) (out []fleet.ServerID) {
	l.forEachEngine(func(id fleet.ServerID, e *engine, _ *ledgerShard) {
		if e.active && e.reported && now.Before(e.grantFrom) && e.exclusiveFrom.IsZero() {
			out = append(out, id)
		}
	})
	return out
}

// setExclusiveFrom notes the time from which no other instance grants on the engine.
func (l *Ledger) setExclusiveFrom(s fleet.ServerID, from time.Time) {
	sh := l.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.engines[s]; e != nil {
		e.exclusiveFrom = from
	}
}

// awaitsReport reports whether some wait ends with the next recent report.
func (l *Ledger) awaitsReport(now time.Time) (found bool) {
	l.forEachEngine(func(_ fleet.ServerID, e *engine, _ *ledgerShard) {
		found = found || e.active && !e.exclusiveFrom.IsZero() && now.Before(e.grantFrom)
	})
	return found
}

// maxImportDelay is the longest time from the end of a role to the arrival of its
// ledger: the tries of the sender, 1 s each.
const maxImportDelay = 3 * time.Second

// confirmTakeover forgets the ledgers of earlier admitters of engines that another
// instance takes over: it may grant before they would have expired.
func (l *Ledger) confirmTakeover(now time.Time, servers []fleet.ServerID) {
	l.pendingMu.Lock()
	defer l.pendingMu.Unlock()
	maps.DeleteFunc(l.rejectImports, func(_ fleet.ServerID, until time.Time) bool { return !now.Before(until) })
	for _, s := range servers {
		delete(l.pending, s)
		l.rejectImports[s] = now.Add(maxImportDelay)
	}
}
