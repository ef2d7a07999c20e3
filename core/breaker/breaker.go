// Package breaker decides which calls to one service are sent. It opens after
// failures in a row, or calls that take too long, so that callers are refused at
// once instead of waiting for a deadline each. While open, one probe at a time is
// let through. After a probe succeeds the number of concurrent calls grows by one
// with each success, so that a returning service is not overrun. A Breaker is
// used under its owner's lock and performs no I/O.
package breaker

import "time"

const (
	// FailureThreshold is the number of failures in a row that open it. One lost
	// connection is ordinary; five in a row are not.
	FailureThreshold = 5
	minOpenDelay     = 200 * time.Millisecond
	// MaxOpenDelay bounds the time to notice that the service is back. With 5 s the
	// last partition of claims granted again after 9.1 s instead of 4.5 s. A probe
	// each 2 s of 370 busy instances is 185 calls/s, of 2,000 reads/s; larger
	// fleets call less than that for each instance.
	MaxOpenDelay = 2 * time.Second
)

// Decision says what becomes of a call.
type Decision int

// Decisions.
const (
	// Wait means that the call needs a slot and may ask again.
	Wait Decision = iota
	// Send means that the call takes a slot.
	Send
	// Probe means that the call takes a slot and decides over the breaker.
	Probe
	// Reject means that the call is not sent, because earlier ones failed.
	Reject
)

// State is the state of a breaker.
type State int

// States.
const (
	// Closed lets all calls through, up to the cap.
	Closed State = iota
	// Recovering lets fewer calls through than the cap after a return.
	Recovering
	// Open lets one probe through at a time.
	Open
)

// Breaker limits the calls to one service.
type Breaker struct {
	max       int
	slowAfter time.Duration
	int64n    func(n int64) int64

	limit     int
	running   int
	failures  int
	openCount int
	retryAt   time.Time
	probing   bool
}

// New returns a closed breaker. limit caps concurrent calls; a call that takes
// longer than slowAfter counts as failed; int64n gives a random number below n.
func New(limit int, slowAfter time.Duration, int64n func(n int64) int64) *Breaker {
	return &Breaker{max: limit, limit: limit, slowAfter: slowAfter, int64n: int64n}
}

// Acquire decides over a call at now.
func (b *Breaker) Acquire(now time.Time) Decision {
	switch {
	case b.openCount > 0 && (b.probing || now.Before(b.retryAt)):
		return Reject
	case b.openCount > 0:
		b.probing = true
		b.running++
		return Probe
	case b.running < b.limit:
		b.running++
		return Send
	}
	return Wait
}

// Slow reports whether a call that took so long counts as failed.
func (b *Breaker) Slow(took time.Duration) bool { return took > b.slowAfter }

// Done notes the end of a call that was sent.
func (b *Breaker) Done(probe, failed bool, now time.Time) {
	b.running--
	switch {
	case failed:
		b.failures++
		if probe || b.openCount == 0 && b.failures >= FailureThreshold {
			d := min(minOpenDelay<<min(b.openCount, 10), MaxOpenDelay)
			b.openCount++
			b.retryAt = now.Add(d/2 + time.Duration(b.int64n(int64(d))))
		}
	case probe:
		b.openCount, b.failures, b.limit = 0, 0, 1
	case b.openCount == 0:
		b.failures = 0
		b.limit = min(b.limit+1, b.max)
	}
	if probe {
		b.probing = false
	}
}

// IsOpen reports whether waiting calls will be refused.
func (b *Breaker) IsOpen() bool { return b.openCount > 0 }

// HasCapacity reports whether a waiting call would be sent.
func (b *Breaker) HasCapacity() bool { return b.openCount == 0 && b.running < b.limit }

// State returns the state and the number of running calls.
func (b *Breaker) State() (s State, running int) {
	switch {
	case b.openCount > 0:
		s = Open
	case b.limit < b.max:
		s = Recovering
	}
	return s, b.running
}
