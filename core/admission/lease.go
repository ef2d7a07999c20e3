package admission

import (
	"maps"
	"time"

	"cyclamenhitch/core/fleet"
)

// leaseExpiry returns the end of the support by other groups, or the zero time.
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

// leaseExpired reports whether the support ended. Requests check it too, because
// they may run before handleLeaseExpiry does.
func (l *Ledger) leaseExpired(now time.Time) bool {
	t := l.leaseUntil.Load()
	// The monotonic clock may stand still while the machine is suspended.
	return t != nil && (now.After(*t) || now.UnixNano() > t.UnixNano())
}

// maySkipWait reports whether an imported ledger may end the handover wait: other
// groups support this admitter, or no support is needed. Otherwise two instances
// that are partitioned together could hand over a ledger while others take over.
func (l *Ledger) maySkipWait(now time.Time) bool {
	return !l.needsLease.Load() || l.leaseUntil.Load() != nil && !l.leaseExpired(now)
}

// handleLeaseExpiry restarts the handover wait of every role after the support
// ended, because other instances may take over. Without new support, the roles
// grant after HandoverWait. It reports whether the support had ended.
func (l *Ledger) handleLeaseExpiry(now time.Time) bool {
	if !l.leaseExpired(now) {
		return false
	}
	l.restartHandoverWait(now)
	l.leaseUntil.Store(nil)
	return true
}

// granting reports whether the role's handover wait has ended.
func (e *engine) granting(now time.Time) bool { return e.active && !now.Before(e.grantFrom) }

// waitingEngines lists the engines that report and whose handover wait is not
// being shortened yet.
func (l *Ledger) waitingEngines(now time.Time) (out []fleet.ServerID) {
	l.forEachEngine(func(id fleet.ServerID, e *engine, _ *ledgerShard) {
		if e.active && e.reported && now.Before(e.grantFrom) && e.exclusiveFrom.IsZero() {
			out = append(out, id)
		}
	})
	return out
}

// setExclusiveFrom sets the time from which no other instance grants on the engine.
func (l *Ledger) setExclusiveFrom(s fleet.ServerID, from time.Time) {
	sh := l.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.engines[s]; e != nil {
		e.exclusiveFrom = from
	}
}

// awaitsReport reports whether the next recent report ends some handover wait.
func (l *Ledger) awaitsReport(now time.Time) (found bool) {
	l.forEachEngine(func(_ fleet.ServerID, e *engine, _ *ledgerShard) {
		found = found || e.active && !e.exclusiveFrom.IsZero() && now.Before(e.grantFrom)
	})
	return found
}

// maxImportDelay is the longest time from the end of a role to the arrival of its
// ledger: the attempts of the sender, 1 s each.
const maxImportDelay = 3 * time.Second

// confirmTakeover discards pending ledgers of the engines that another instance
// takes over, because it may grant before they would have expired.
func (l *Ledger) confirmTakeover(now time.Time, servers []fleet.ServerID) {
	l.pendingMu.Lock()
	defer l.pendingMu.Unlock()
	maps.DeleteFunc(l.rejectImports, func(_ fleet.ServerID, until time.Time) bool { return !now.Before(until) })
	for _, s := range servers {
		delete(l.pending, s)
		l.rejectImports[s] = now.Add(maxImportDelay)
	}
}
