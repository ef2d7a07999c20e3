// Package freshness decides whether a view of shared state is recent enough to act
// on. A Lease belongs to one view and is safe for concurrent use. All times are
// readings of a clock that keeps counting while the machine is suspended.
package freshness

import (
	"sync"
	"time"
)

// Instant is a reading of a monotonic clock, as the time since boot.
type Instant = time.Duration

// Lease limits how long a view may be used without a new confirmation.
type Lease struct {
	term time.Duration

	mu        sync.Mutex
	version   uint64
	confirmed Instant
	known     bool
}

// NewLease returns a lease without a confirmation.
func NewLease(term time.Duration) *Lease { return &Lease{term: term} }

// Term is how long a confirmation is valid.
func (l *Lease) Term() time.Duration { return l.term }

// Confirm records that version was the newest at some time after start, the beginning
// of the read that returned it. A version older than the newest known one is ignored.
func (l *Lease) Confirm(version uint64, start Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.known && version < l.version:
		return
	case l.known && version == l.version && start <= l.confirmed:
		return
	case l.known && version > l.version:
		// A newer version may be confirmed by a read that started earlier.
		l.confirmed = max(l.confirmed, start)
	default:
		l.confirmed = start
	}
	l.version, l.known = version, true
}

// Valid reports whether the view may be used.
func (l *Lease) Valid(now Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known && now-l.confirmed < l.term
}

// State returns the newest confirmed version, the start of the read that confirmed
// it, and whether there is one.
func (l *Lease) State() (version uint64, confirmed Instant, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.confirmed, l.known
}

// PeerReadStart returns, in this instance's time, a lower bound of the start of a
// peer's confirming read. heard is when this instance sent the message that the peer
// answered; age is how long before that answer the read began. A delayed message only
// makes the result earlier.
func PeerReadStart(heard Instant, age time.Duration) Instant { return heard - age }
