package claims

import "time"

// Ownership tells since when an instance has owned a partition without a break in
// its own view of the fleet. It is used by one goroutine at a time.
type Ownership struct {
	owns    bool
	life    uint64
	settled time.Time
}

// Observe takes a new view. life changes when other instances may have removed
// this one for a while without a change of its own view: it was paused, or had to
// refute that it failed. It reports whether a tenure begins.
func (t *Ownership) Observe(owns bool, life uint64, now time.Time) bool {
	begins := owns && (!t.owns || life != t.life)
	t.owns, t.life = owns, life
	if begins {
		t.settled = now.Add(SettleTime)
	}
	return begins
}

// SettledAt returns the time from which no former owner holds a claim that may
// still be granted; before it, no key is known to be free.
func (t *Ownership) SettledAt() time.Time { return t.settled }
