// Package freshness decides whether a view of shared state is recent enough to act
// on. A Lease belongs to one view; it is safe for concurrent use. All times are
// readings of a clock that also counts while the machine is suspended.
package freshness

import (
	"sync"
	"time"
)

// Instant is a reading of a clock that does not stop or jump, as time since boot.
type Instant = time.Duration

// Lease says how long a view may be acted on without a new confirmation.
type Lease struct {
	term time.Duration

	mu        sync.Mutex
	version   uint64
	confirmed Instant
	known     bool
}

// NewLease returns a lease that was never confirmed.
func NewLease(term time.Duration) *Lease { return &Lease{term: term} }

// Term is how long a confirmation counts.
func (l *Lease) Term() time.Duration { return l.term }

// Confirm notes that version was the newest at some moment after start, the begin
// of the read that showed it. A version older than one seen before is ignored.
func (l *Lease) Confirm(version uint64, start Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.known && version < l.version:
		return
	case l.known && version == l.version && start <= l.confirmed:
		return
	case l.known && version > l.version:
		// A newer version may be confirmed by an earlier read.
		l.confirmed = max(l.confirmed, start)
	default:
		l.confirmed = start
	}
	l.version, l.known = version, true
}

// Valid reports whether the view may be acted on.
func (l *Lease) Valid(now Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known && now-l.confirmed < l.term
}

// State returns the newest confirmed version, the start of the read that confirmed
// it and whether there was one.
func (l *Lease) State() (version uint64, confirmed Instant, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.confirmed, l.known
}

// PeerReadStart is the start of a peer's confirming read in this instance's time, at the
// latest: the peer, having heard what this instance sent at heard, says that its
// read began age before. A delayed message only makes the result older.
func PeerReadStart(heard Instant, age time.Duration) Instant { return heard - age }
