package claims

import "time"

// Ownership tracks since when an instance has owned a partition without
// interruption in its own membership view. It is not safe for concurrent use.
type Ownership struct {
	owns        bool
	incarnation uint64
	settledAt   time.Time
}

// Observe processes a new view and reports whether a period of ownership begins.
// incarnation changes when other instances may have removed this one for a while
// without a change in its own view, because it was paused or had to refute a
// suspicion of failure.
func (t *Ownership) Observe(owns bool, incarnation uint64, now time.Time) bool {
	begins := owns && (!t.owns || incarnation != t.incarnation)
	t.owns, t.incarnation = owns, incarnation
	if begins {
		t.settledAt = now.Add(SettleTime)
	}
	return begins
}

// SettledAt returns the time from which no former owner has a claim that may still
// be granted. Before it, no key is known to be free.
func (t *Ownership) SettledAt() time.Time { return t.settledAt }
