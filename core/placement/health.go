package placement

import (
	"math"
	"time"
)

// fault follows failures of a server that its requests showed.
type fault struct {
	inRow int
	until time.Time
	// okAt is when the server last answered this instance.
	okAt time.Time
}

const (
	// faultBase is how long a server is passed over after its first failure; it
	// doubles with each further one in a row.
	faultBase = 250 * time.Millisecond
	// silentBase is the same for a server that does not even acknowledge packets.
	silentBase = 1500 * time.Millisecond
	faultMax   = 4 * time.Second
	// sharedLeast is the least rest of a suspicion that is told to other instances:
	// a single failure is none of their business.
	sharedLeast = 500 * time.Millisecond
	// ownOpinion is how long an answer to this instance outweighs what others say.
	ownOpinion = time.Second
)

func (f *fault) failed(now time.Time, base time.Duration) {
	d := base << min(f.inRow, 10)
	f.inRow++
	f.until = now.Add(min(d, faultMax))
}

func (f *fault) succeeded(now time.Time) { *f = fault{okAt: now} }

// told takes the suspicion of another instance, which ends after rest.
func (f *fault) told(now time.Time, rest time.Duration) {
	if now.Sub(f.okAt) < ownOpinion {
		return
	}
	if until := now.Add(min(rest, faultMax)); until.After(f.until) {
		f.until = until
	}
}

func (f *fault) suspect(now time.Time) bool { return now.Before(f.until) }

// speed compares the times that a server takes with what was expected.
type speed struct {
	ratio float64 // of the measured and the expected time; 0 means not known
	at    time.Time
}

const (
	// speedWeight is the weight of a new sample.
	speedWeight = 0.25
	// speedMemory is after how long half of a deviation is forgotten, so that a
	// server that was slow gets work again.
	speedMemory = 3 * time.Second
	speedMax    = 10
)

func (s *speed) observe(now time.Time, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	r := min(speedMax, float64(took)/float64(expected))
	s.ratio = (1-speedWeight)*s.factor(now) + speedWeight*r
	s.at = now
}

// factor is above 1 for a server that is slower than expected.
func (s *speed) factor(now time.Time) float64 {
	if s.ratio == 0 {
		return 1
	}
	age := now.Sub(s.at)
	if age >= 8*speedMemory {
		return 1
	}
	keep := 1.0
	for ; age >= speedMemory; age -= speedMemory {
		keep /= 2
	}
	keep *= 1 - 0.5*float64(age)/float64(speedMemory)
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
	// errorMemory is after how long half of a rate is forgotten, so that a server that
	// failed gets work again.
	errorMemory = 3 * time.Second
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
	return e.rate * math.Exp2(-float64(now.Sub(e.at))/float64(errorMemory))
}
