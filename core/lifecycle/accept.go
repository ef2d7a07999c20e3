package lifecycle

import (
	"sync"
	"time"
)

const (
	// finishFactor and finishMargin are added to the time that a request is expected to
	// take: servers get slower as instances leave, and the response has to be written.
	finishFactor = 1.05
	finishMargin = 100 * time.Millisecond
	// maxCutShare is the share of the requests accepted in a shutdown that may be aborted at
	// its end. maxCutShareRepeatable applies to requests that their callers may repeat.
	maxCutShare           = 0.01
	maxCutShareRepeatable = 0.1
	// noticeTime is the time after the signal for a shutdown in which callers cannot know of it
	// yet: the users' platform gives instances 3 s to hear of changes. A stream that arrives
	// later is accepted if its risk to be cut is at most maxLateRisk, and if the number of such
	// streams that the shutdown is expected to cut remains at most maxExpectedCuts.
	noticeTime      = 3 * time.Second
	maxLateRisk     = 0.001
	maxExpectedCuts = 0.01
)

// Request is what is known of a request that may be accepted in a shutdown.
type Request struct {
	// Deadline is when it ends at the latest.
	Deadline time.Time
	// Repeatable is set if its caller may repeat it after it was aborted.
	Repeatable bool
	// Stream is set if the response begins before its end is known: an abort then cuts it
	// without an answer.
	Stream bool
	// Over returns how many of total requests of its kind took longer than d, Spread the
	// median and the longest of their times.
	Over   func(d time.Duration) (over, total int)
	Spread func() (median, longest time.Duration)
	// Risk returns the probability, 0 to 1, that it takes longer than d, as far as all
	// instances know.
	Risk func(d time.Duration) float64
}

// Acceptance is a decision on a request in a shutdown and its inputs.
type Acceptance struct {
	Accepted bool
	// Left is the time until the request would be cut.
	Left time.Duration
	// Risk is the probability that a stream outlasts it.
	Risk float64
	// late is set for a stream that arrives after noticeTime.
	late bool
}

// expectedCuts is the number of accepted streams that the shutdown is expected to cut.
type expectedCuts struct {
	mu  sync.Mutex
	sum float64
}

// MayFinish decides whether a request that is sent now is expected to end before Abort, or a
// stream, which Abort does not end, before the latest Exit. A request of a kind without known times at any instance is
// accepted only if its deadline is earlier or, if it is repeatable and no stream, in the first
// half of the limit. It may be called concurrently with Step and as often as needed; a request that is then
// sent has to be passed to Sent.
func (s *Stop) MayFinish(now time.Time, r Request) Acceptance {
	end := s.abortAt
	if r.Stream {
		end = s.exitAt
	}
	a := Acceptance{Left: end.Sub(now)}
	if !r.Deadline.After(end) {
		a.Accepted = true
		return a
	}
	most := time.Duration(float64(a.Left-finishMargin) / finishFactor)
	if most <= 0 {
		return a
	}
	if r.Stream {
		a.Risk, a.late = r.Risk(most), now.Sub(s.signalledAt) > noticeTime
		a.Accepted = s.fewCuts(a) || !a.late && r.fits(most)
		return a
	}
	share := maxCutShare
	if r.Repeatable {
		share = maxCutShareRepeatable
	}
	over, total := r.Over(most)
	a.Accepted = total > 0 && float64(over) <= share*float64(total)
	if total == 0 {
		a.Accepted = r.Risk(most) <= share || r.Repeatable && a.Left >= s.abortAt.Sub(s.startedAt)/2
	}
	return a
}

// fits reports whether a stream hardly takes longer than most: the longest known time with its
// distance from the median, or a share of it that is larger the fewer times are known.
func (r *Request) fits(most time.Duration) bool {
	over, total := r.Over(most)
	if total == 0 || over > 0 {
		return false
	}
	median, longest := r.Spread()
	return longest+max(longest-median, longest/time.Duration(total)) <= most
}

// fewCuts reports whether a stream may be accepted with its risk.
func (s *Stop) fewCuts(a Acceptance) bool {
	if !a.late {
		return a.Risk <= maxCutShare
	}
	s.cuts.mu.Lock()
	defer s.cuts.mu.Unlock()
	return a.Risk <= maxLateRisk && s.cuts.sum+a.Risk <= maxExpectedCuts
}

// Sent records that a request was sent after MayFinish accepted it.
func (s *Stop) Sent(a Acceptance) {
	if !a.late {
		return
	}
	s.cuts.mu.Lock()
	defer s.cuts.mu.Unlock()
	s.cuts.sum += a.Risk
}
