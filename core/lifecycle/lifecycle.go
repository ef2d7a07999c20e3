// Package lifecycle determines the steps of a graceful shutdown and the requests that are
// accepted in it. Unless stated otherwise, a Stop is not safe for concurrent use; its caller
// performs the actions.
package lifecycle

import "time"

// Action is a step of a shutdown.
type Action int

// Actions, in the order in which they are performed.
const (
	// Announce turns readiness off, announces to the fleet that the instance is
	// leaving, and closes caller connections after their running request.
	Announce Action = iota
	// HandOver hands ledgers and claim partitions over to their successors.
	HandOver
	// Refuse rejects new requests with an error with outcome not_run.
	Refuse
	// Abort ends the running requests with an error, except responses under way.
	Abort
	// Exit closes the listeners and terminates the process.
	Exit
)

// LeavePropagationTime is the maximum time until all other instances know that
// this one is leaving. Until then, their lookups may return its address.
const LeavePropagationTime = 4 * time.Second

const (
	// maxAbortTime bounds the time between Abort and the time limit of the shutdown, in
	// which callers receive their errors.
	maxAbortTime = time.Second
	// maxExitTime bounds the time between the latest Exit and the time limit, in which the
	// process ends. It is a quarter of the time after Abort if the limit is short.
	maxExitTime = 250 * time.Millisecond
)

// Stop is a graceful shutdown in progress.
type Stop struct {
	startedAt, refuseAt, abortAt, exitAt time.Time
	// signalledAt is the earliest time at which the signal may have been sent.
	signalledAt time.Time
	next        Action
	// incomplete is set at Abort, and at an Exit with responses under way.
	incomplete bool
	// selective makes Refuse wait until no request runs.
	selective bool
	cuts      expectedCuts
}

// Status is the state of the instance at a step.
type Status struct {
	// Running is the number of running requests, Responding that of them whose response has
	// begun and is not ended by Abort, since no other answer can be given.
	Running, Responding int
	// HandedOver is set if all handovers have completed.
	HandedOver bool
}

// Begin starts a shutdown that ends within limit. lookupLifetime is how long callers
// use the result of a lookup. At most half of limit is spent waiting for callers to
// move to other instances, so that running requests have the other half.
func Begin(now time.Time, limit, lookupLifetime time.Duration) *Stop {
	wait := min(LeavePropagationTime+lookupLifetime, limit/2)
	abort := min(maxAbortTime, limit/10)
	return &Stop{
		startedAt: now, signalledAt: now, refuseAt: now.Add(wait),
		abortAt: now.Add(limit - abort), exitAt: now.Add(limit - min(maxExitTime, abort/4)),
	}
}

// BeginSelective is like Begin for an instance that asks MayFinish before it accepts a
// request: it refuses all requests only when none is running, or at Abort.
func BeginSelective(now time.Time, limit, lookupLifetime time.Duration) *Stop {
	s := Begin(now, limit, lookupLifetime)
	s.selective = true
	return s
}

// SetSignalled records the earliest time at which the signal that began the shutdown may have
// been sent; without it, that is the begin. It is called before MayFinish.
func (s *Stop) SetSignalled(at time.Time) { s.signalledAt = at }

// Step returns the actions that are due, in order. The caller must call it
// periodically until it returns Exit.
func (s *Stop) Step(now time.Time, st Status) []Action {
	var out []Action
	for s.due(now, st) {
		out = append(out, s.next)
		if s.next == Refuse {
			// A request may have been accepted since the status was read.
			s.next++
			return out
		}
		s.incomplete = s.incomplete || s.next == Abort || st.Running > 0 && s.next == Exit
		s.next++
	}
	return out
}

func (s *Stop) due(now time.Time, st Status) bool {
	late := !now.Before(s.abortAt)
	switch s.next {
	case Announce, HandOver:
		return true
	case Refuse:
		return late || !now.Before(s.refuseAt) && (!s.selective || st.Running == 0 && st.HandedOver)
	case Abort:
		if late && (st.Running > st.Responding || !st.HandedOver) {
			return true
		}
		if s.mayExit(now, st) {
			s.next = Exit
			return true
		}
		return false
	case Exit:
		// Aborted requests have to be answered before the process ends.
		return s.mayExit(now, st)
	}
	return false
}

func (s *Stop) mayExit(now time.Time, st Status) bool {
	return st.Running == 0 && st.HandedOver || !now.Before(s.exitAt)
}

// Complete reports whether the shutdown has aborted no request and cut off no response.
func (s *Stop) Complete() bool { return !s.incomplete }

// ExitBy returns the time at which the process has to exit.
func (s *Stop) ExitBy() time.Time { return s.exitAt }

// Elapsed returns the time since the start of the shutdown.
func (s *Stop) Elapsed(now time.Time) time.Duration { return now.Sub(s.startedAt) }
