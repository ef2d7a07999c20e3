package placement

import (
	"math"
	"time"
)

// failures tracks the failed requests of a server.
type failures struct {
	consecutive  int
	unreachable  bool // nothing was received from the host at the last failure
	suspectUntil time.Time
	// lastAnswer is when the server last answered this instance.
	lastAnswer time.Time
}

const (
	// failureBackoffBase is how long a server is avoided after its first failure; the
	// time doubles with each consecutive failure.
	failureBackoffBase = 250 * time.Millisecond
	// unreachableBackoffBase is the same for a server that does not even acknowledge
	// packets.
	unreachableBackoffBase = 1500 * time.Millisecond
	maxSuspicion           = 4 * time.Second
	// minSharedSuspicion is the minimum remaining time of a suspicion that is reported to
	// other instances. It excludes single failures.
	minSharedSuspicion = 500 * time.Millisecond
	// ownAnswerTTL is how long an answer to this instance overrides the suspicions of
	// peers.
	ownAnswerTTL = time.Second
)

func (f *failures) failed(now time.Time, base time.Duration) {
	f.suspectUntil = now.Add(suspicionTime(base, f.consecutive))
	f.consecutive++
}

// suspicionTime returns how long a server is avoided after a number of earlier failures.
func suspicionTime(base time.Duration, earlier int) time.Duration {
	return min(base<<min(earlier, 10), maxSuspicion)
}

// forget removes the failures.
func (f *failures) forget() { *f = failures{lastAnswer: f.lastAnswer} }

func (f *failures) succeeded(now time.Time) { *f = failures{lastAnswer: now} }

// applyPeer merges the suspicion of another instance, which ends after rest.
func (f *failures) applyPeer(now time.Time, rest time.Duration) {
	if now.Sub(f.lastAnswer) < ownAnswerTTL {
		return
	}
	if suspectUntil := now.Add(min(rest, maxSuspicion)); suspectUntil.After(f.suspectUntil) {
		f.suspectUntil = suspectUntil
	}
}

func (f *failures) suspect(now time.Time) bool { return now.Before(f.suspectUntil) }

// repeatedFailures is the number of consecutive failures after which a server is taken to
// be down and not only to have lost an answer.
const repeatedFailures = 3

// down reports whether the server is suspect and probably does not run.
func (f *failures) down(now time.Time) bool {
	return (f.unreachable || f.consecutive >= repeatedFailures) && f.suspect(now)
}

// speed compares the response times of a server with the expected times.
type speed struct {
	ratio float64 // of measured to expected time; 0 means unknown
	at    time.Time
}

const (
	// speedWeight is the weight of a new sample.
	speedWeight = 0.25
	// speedHalfLife is the half-life of a deviation, so that a server that was slow
	// receives work again.
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

// errorRate tracks the fraction of a server's answers that are errors of its own.
type errorRate struct {
	rate float64
	at   time.Time
}

const (
	// errorWeight is the weight of a new answer.
	errorWeight = 0.15
	// errorHalfLife is the half-life of the rate, so that a server that failed receives
	// work again.
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
