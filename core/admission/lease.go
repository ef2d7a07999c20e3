package admission

import (
	"maps"
	"time"

	"cyclamenhitch/core/fleet"
)

// lease returns the end of the support by other groups, or zero.
func (l *Ledger) lease() time.Time {
	if t := l.leaseEnd.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// setLease extends the support. Answers may arrive out of order.
func (l *Ledger) setLease(until time.Time) {
	if until.After(l.lease()) {
		l.leaseEnd.Store(&until)
	}
}

// lapsed reports whether the support ended, which a request can notice before
// lapse does.
func (l *Ledger) lapsed(now time.Time) bool {
	t := l.leaseEnd.Load()
	// The monotonic clock may stand still while the machine is suspended.
	return t != nil && (now.After(*t) || now.UnixNano() > t.UnixNano())
}

// supported reports whether other groups support this admitter, or need not. Two
// instances that are cut off together may hand over a ledger while the others
// take over.
func (l *Ledger) supported(now time.Time) bool {
	return !l.needsLease.Load() || l.leaseEnd.Load() != nil && !l.lapsed(now)
}

// lapse makes every role wait again after the support ended: others may take
// over. Without later support, the roles grant after HandoverWait.
func (l *Ledger) lapse(now time.Time) bool {
	if !l.lapsed(now) {
		return false
	}
	l.waitAgain(now)
	l.leaseEnd.Store(nil)
	return true
}

// granting reports whether the role's wait has ended.
func (e *engine) granting(now time.Time) bool { return e.active && !now.Before(e.grantFrom) }

// waiting lists the engines that report and whose wait nothing shortens yet.
func (l *Ledger) waiting(now time.Time) (out []fleet.ServerID) {
	l.each(func(id fleet.ServerID, e *engine, _ *ledgerShard) {
		if e.active && e.reported && now.Before(e.grantFrom) && e.aloneFrom.IsZero() {
			out = append(out, id)
		}
	})
	return out
}

// alone notes the time from which no other instance grants on the engine.
func (l *Ledger) alone(s fleet.ServerID, from time.Time) {
	sh := l.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.engines[s]; e != nil {
		e.aloneFrom = from
	}
}

// awaitsReport reports whether some wait ends with the next recent report.
func (l *Ledger) awaitsReport(now time.Time) (found bool) {
	l.each(func(_ fleet.ServerID, e *engine, _ *ledgerShard) {
		found = found || e.active && !e.aloneFrom.IsZero() && now.Before(e.grantFrom)
	})
	return found
}

// importTime is the longest time from the end of a role to the arrival of its
// ledger: the tries of the sender, 1 s each.
const importTime = 3 * time.Second

// confirm forgets the ledgers of earlier admitters of engines that another
// instance takes over: it may grant before they would have expired.
func (l *Ledger) confirm(now time.Time, servers []fleet.ServerID) {
	l.pendingMu.Lock()
	defer l.pendingMu.Unlock()
	maps.DeleteFunc(l.late, func(_ fleet.ServerID, until time.Time) bool { return !now.Before(until) })
	for _, s := range servers {
		delete(l.pending, s)
		l.late[s] = now.Add(importTime)
	}
}
