package admission

import (
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// Verdict is the answer to an Ask. Its numbers are part of the peer protocol.
type Verdict uint8

// Verdicts.
const (
	Granted     Verdict = 0
	NotAdmitter Verdict = 1 // the instance does not admit to the engine
	Waiting     Verdict = 2 // the instance waits after a handover
	Unavailable Verdict = 3 // the engine failed, or its admitter did not answer
	OverSoft    Verdict = 4 // over the soft bound and the ask is not relaxed
	OverBound   Verdict = 5 // over the load bound
	OverRamp    Verdict = 6 // over the cold-start ramp
	OverLoad    Verdict = 7 // over the absolute capacity
	OverShare   Verdict = 8 // the account is over its share
)

var verdictNames = [...]string{
	"granted", "not_admitter", "handover_wait", "unavailable", "soft_bound",
	"load_bound", "cold_start_ramp", "capacity", "account_share",
}

// String returns the name used in logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Err returns the refusal for callers; it must not be called for Granted.
func (v Verdict) Err(server fleet.ServerID, after time.Duration) error {
	code := result.PoolAtBound
	switch v {
	case NotAdmitter, Waiting, Unavailable:
		code = result.PermitUnavailable
	case OverShare:
		code = result.AccountOverShare
	}
	return result.New(code, "server %s: %s", server, v).WithRetryAfter(after)
}

// Place asks the n ranked servers of a request in turn and returns the index of
// the first that grants, or -1 and the verdict of the most useful refusal. A
// chat whose prefix the first server is expected to hold goes there up to the
// hard bound. Any other choice has no prefix to lose, so that it first looks
// for a server under the soft bound, and only then for one under the hard bound.
func Place(n int, warm bool, try func(i int, relaxed bool) Verdict) (int, Verdict) {
	if n == 0 {
		return -1, Unavailable
	}
	last := Unavailable
	if warm {
		if last = try(0, true); last == Granted {
			return 0, last
		}
	}
	open := 0 // bit i: server i refused only for its soft bound
	start := 0
	if warm {
		start = 1
	}
	for i := start; i < n; i++ {
		v := try(i, false)
		switch v {
		case Granted:
			return i, v
		case OverSoft:
			open |= 1 << i
		default:
			last = worse(last, v)
		}
	}
	for i := start; i < n; i++ {
		if open&(1<<i) == 0 {
			continue
		}
		v := try(i, true)
		if v == Granted {
			return i, v
		}
		last = worse(last, v)
	}
	return -1, last
}

// worse prefers the verdict that tells the caller more: an account over its
// share, then a bound, then a missing admitter.
func worse(a, b Verdict) Verdict { return max(a, b) }
