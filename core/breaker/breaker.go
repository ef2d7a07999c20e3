// Package breaker implements a circuit breaker for calls to one service. It opens
// after consecutive failures or slow calls, so that callers are rejected at once
// instead of each waiting for a deadline. While open it allows one probe at a time.
// After a successful probe the concurrency limit grows by one with each success, so
// that a recovering service is not overloaded. A Breaker is used under its owner's
// lock and performs no I/O.
package breaker

import "time"

const (
	// FailureThreshold is the number of consecutive failures that open the breaker. A
	// single lost connection is common; five consecutive failures are not.
	FailureThreshold = 5
	minOpenDelay     = 200 * time.Millisecond
	// MaxOpenDelay bounds the time to detect that the service has recovered. With 5 s the
	// last partition of claims was granted again after 9.1 s instead of 4.5 s. One probe
	// per 2 s from each of 370 busy instances adds 185 calls/s, of 2,000 reads/s; in
	// larger fleets each instance calls less often.
	MaxOpenDelay = 2 * time.Second
)

// Decision is how to handle a call.
type Decision int

const (
	// Wait means that no slot is free; the caller may ask again.
	Wait Decision = iota
	// Send means that the call may proceed and holds a slot.
	Send
	// Probe means that the call may proceed and holds a slot; its result closes the
	// breaker or keeps it open.
	Probe
	// Reject means that the call must not be sent, because earlier calls failed.
	Reject
)

// State is the state of a breaker.
type State int

const (
	// Closed allows calls up to the configured limit.
	Closed State = iota
	// Recovering allows fewer concurrent calls than the configured limit after the
	// service has recovered.
	Recovering
	// Open allows one probe at a time.
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

// New returns a closed breaker. limit is the maximum number of concurrent calls; a
// call that takes longer than slowAfter counts as failed; int64n returns a random
// number below n.
func New(limit int, slowAfter time.Duration, int64n func(n int64) int64) *Breaker {
	return &Breaker{max: limit, limit: limit, slowAfter: slowAfter, int64n: int64n}
}

// Acquire decides whether a call may be sent at now, and takes a slot for it if so.
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

// Slow reports whether a call of this duration counts as failed.
func (b *Breaker) Slow(took time.Duration) bool { return took > b.slowAfter }

// Done records the result of a call that was sent and frees its slot.
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

// IsOpen reports whether waiting calls would be rejected.
func (b *Breaker) IsOpen() bool { return b.openCount > 0 }

// HasCapacity reports whether a waiting call would be sent.
func (b *Breaker) HasCapacity() bool { return b.openCount == 0 && b.running < b.limit }

// State returns the state and the number of calls in progress.
func (b *Breaker) State() (s State, running int) {
	switch {
	case b.openCount > 0:
		s = Open
	case b.limit < b.max:
		s = Recovering
	}
	return s, b.running
}
