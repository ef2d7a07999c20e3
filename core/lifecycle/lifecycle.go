// Package lifecycle decides the steps of a planned stop. A Stop belongs to one
// instance and is used by one goroutine, which carries the actions out.
package lifecycle

import "time"

// Action is a step to carry out now.
type Action int

// Actions, in the order in which a stop takes them.
const (
	// Announce turns readiness off, tells the fleet that the instance leaves,
	// and closes caller connections after their running request.
	Announce Action = iota
	// HandOver gives ledgers and claim partitions to their successors.
	HandOver
	// Refuse answers new requests with an error that says not_run.
	Refuse
	// Abort ends the running requests with an error.
	Abort
	// Exit closes the listeners and ends the process.
	Exit
)

// LeavePropagationTime is how long other instances may take to learn that this one leaves.
// Their lookups may name it until then.
const LeavePropagationTime = 4 * time.Second

// maxGrace bounds the time between Abort and the limit of the stop, in which
// the errors reach the callers.
const maxGrace = time.Second

// Stop is a planned stop.
type Stop struct {
	begin, keepEnd, abortAt time.Time
	next                    Action
	aborted                 bool
}

// Status is what the instance reports at each step.
type Status struct {
	// Running is the number of requests that have not ended.
	Running int
	// HandedOver says that all hand-overs have ended.
	HandedOver bool
}

// Begin starts a stop that ends within limit. keep is how long callers keep the
// answer of a lookup. At most half of the limit is spent on waiting for
// callers to move, so that running requests have the other half.
func Begin(now time.Time, limit, keep time.Duration) *Stop {
	wait := min(LeavePropagationTime+keep, limit/2)
	return &Stop{
		begin: now, keepEnd: now.Add(wait),
		abortAt: now.Add(limit - min(maxGrace, limit/10)),
	}
}

// Step returns the actions that are due, in order. It is to be called until it
// returns Exit; the caller chooses the interval.
func (s *Stop) Step(now time.Time, st Status) []Action {
	var out []Action
	for s.due(now, st) {
		out = append(out, s.next)
		s.aborted = s.aborted || s.next == Abort
		if s.next++; s.next == Abort && st.Running == 0 && st.HandedOver {
			s.next = Exit
		}
	}
	return out
}

func (s *Stop) due(now time.Time, st Status) bool {
	late := !now.Before(s.abortAt)
	switch s.next {
	case Announce, HandOver:
		return true
	case Refuse:
		return late || !now.Before(s.keepEnd)
	case Abort:
		if st.Running == 0 && st.HandedOver {
			s.next = Exit
			return true
		}
		return late
	case Exit:
		return true
	}
	return false
}

// Complete says that no request was ended by the stop.
func (s *Stop) Complete() bool { return !s.aborted }

// Elapsed is the time since the stop began.
func (s *Stop) Elapsed(now time.Time) time.Duration { return now.Sub(s.begin) }
