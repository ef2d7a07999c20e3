package placement

import (
	"math"
	"time"
)

// failures follows failures of a server that its requests showed.
type failures struct {
	consecutive  int
	suspectUntil time.Time
	// lastAnswer is when the server last answered this instance.
	lastAnswer time.Time
}

const (
	// failureBackoffBase is how long a server is passed over after its first failure; it
	// doubles with each further one in a row.
	failureBackoffBase = 250 * time.Millisecond
	// unreachableBackoffBase is the same for a server that does not even acknowledge packets.
	unreachableBackoffBase = 1500 * time.Millisecond
	maxSuspicion           = 4 * time.Second
	// minSharedSuspicion is the least rest of a suspicion that is told to other instances:
	// a single failure is none of their business.
	minSharedSuspicion = 500 * time.Millisecond
	// ownAnswerTTL is how long an answer to this instance outweighs what others say.
	ownAnswerTTL = time.Second
)

func (f *failures) failed(now time.Time, base time.Duration) {
	d := base << min(f.consecutive, 10)
	f.consecutive++
	f.suspectUntil = now.Add(min(d, maxSuspicion))
}

func (f *failures) succeeded(now time.Time) { *f = failures{lastAnswer: now} }

// applyPeer takes the suspicion of another instance, which ends after rest.
func (f *failures) applyPeer(now time.Time, rest time.Duration) {
	if now.Sub(f.lastAnswer) < ownAnswerTTL {
		return
	}
	if suspectUntil := now.Add(min(rest, maxSuspicion)); suspectUntil.After(f.suspectUntil) {
		f.suspectUntil = suspectUntil
	}
}

func (f *failures) suspect(now time.Time) bool { return now.Before(f.suspectUntil) }

// speed compares the times that a server takes with what was expected.
type speed struct {
	ratio float64 // of the measured and the expected time; 0 means not known
	at    time.Time
}

const (
	// speedWeight is the weight of a new sample.
	speedWeight = 0.25
	// speedHalfLife is after how long half of a deviation is forgotten, so that a
	// server that was slow gets work again.
	speedHalfLife = 3 * time.Second
	maxSlowdown   = 10
)

func (s *speed) observe(now time.Time, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	r := min(maxSlowdown, float64(took)/float64(expected))
	s.ratio = (1-speedWeight)*s.slowdown(now) + speedWeight*r
	s.at = now
}

// slowdown is above 1 for a server that is slower than expected.
func (s *speed) slowdown(now time.Time) float64 {
	if s.ratio == 0 {
		return 1
	}
	age := now.Sub(s.at)
	if age >= 8*speedHalfLife {
		return 1
	}
	keep := 1.0
	for ; age >= speedHalfLife; age -= speedHalfLife {
		keep /= 2
	}
	keep *= 1 - 0.5*float64(age)/float64(speedHalfLife)
	return 1 + (s.ratio-1)*keep
}

// errorRate follows the share of a server's answers that are errors of its own.
type errorRate struct {
	rate float64
	at   time.Time
}

const (
	// errorWeight is the weight of a new answer.
	errorWeight = 0.15
	// errorHalfLife is after how long half of a rate is forgotten, so that a server that
	// failed gets work again.
	errorHalfLife = 3 * time.Second
)

func (e *errorRate) observe(now time.Time, failed bool) {
	r := e.now(now) * (1 - errorWeight)
	if failed {
		r += errorWeight
	}
	e.rate, e.at = r, now
}

func (e *errorRate) now(now time.Time) float64 {
	if e.rate == 0 {
		return 0
	}
	return e.rate * math.Exp2(-float64(now.Sub(e.at))/float64(errorHalfLife))
}
