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
	Granted         Verdict = 0
	NotAdmitter     Verdict = 1 // the instance does not admit to the engine
	HandoverPending Verdict = 2 // the instance waits after a handover
	Unavailable     Verdict = 3 // the engine failed, or its admitter did not answer
	OverSoftBound   Verdict = 4 // over the soft bound and the ask is not relaxed
	OverLoadBound   Verdict = 5 // over the load bound
	OverRamp        Verdict = 6 // over the cold-start ramp
	OverCapacity    Verdict = 7 // over the absolute capacity
	OverShare       Verdict = 8 // the account is over its share
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
	case NotAdmitter, HandoverPending, Unavailable:
		code = result.PermitUnavailable
	case OverShare:
		code = result.AccountOverShare
	}
	return result.New(code, "server %s: %s", server, v).WithRetryAfter(after)
}

// Bounds of the wait of a request when the engine that holds its prefix, or
// every engine, is over its bound. An engine with 60 running requests of 10 s
// ends one each 170 ms, and a lost prefix of 2,500 tokens costs more time than
// the wait. In a small pool the lag of the mean alone puts all engines over the
// bound for an exchange interval.
const (
	BoundWait         = 75 * time.Millisecond
	boundWaitAttempts = 4
	// lagWait and lagTries follow when some server is over the load bound and none
	// lacks capacity. Some engine of a pool is always at or below the mean, so that
	// the refusal only comes from means that lag, and a caller would come back after
	// RetryAfter. With the first four tries alone, a pool of two engines refused one
	// of 14,000 requests of a light load, and more with one engine in its ramp.
	lagWait         = 150 * time.Millisecond
	lagWaitAttempts = 6
	// defaultPriority and above may wait for all tries, lower ones for half.
	defaultPriority = 5
)

// maxShareRefusals ends a search: an account that is over its share on this many
// servers is most likely over it on the others, because its chats are spread
// evenly. With 1, accounts that did not surge kept 0.987 of their requests.
const maxShareRefusals = 2

// Placement looks for a server for one request among its ranked servers. Warm
// says that the first server is expected to hold the chat's prefix.
type Placement struct {
	Warm     bool
	Priority int
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	waits     int
}

// Step asks the n ranked servers in turn. It returns the index of the first
// that grants, or -1 and the most useful refusal. A wait above 0 asks the caller
// to wait that long and to call Step again.
//
// A warm chat stays on its first server up to the hard bound. Any other choice
// has no prefix to lose, so that it first looks for a server under the soft
// bound, and only then for one under the hard bound.
func (p *Placement) Step(n int, try func(i int, relaxed bool) Verdict) (int, Verdict, time.Duration) {
	last, start := Unavailable, 0
	if p.Warm && n > 0 {
		if last = try(0, true); last == Granted {
			return 0, last, 0
		}
		if last == OverLoadBound && p.mayWait(boundWaitAttempts) {
			return -1, last, p.wait()
		}
		start = 1
	}
	bound := last == OverLoadBound // some server refused for the load bound
	open, over := 0, 0             // bit i: server i refused only for its soft bound
	for i := start; i < n && over < maxShareRefusals; i++ {
		v := try(i, false)
		switch v {
		case Granted:
			return i, v, 0
		case OverSoftBound:
			open |= 1 << i
		case OverShare:
			over++
			last = v
		default:
			bound = bound || v == OverLoadBound
			last = max(last, v) // the highest verdict tells the caller most
		}
	}
	for i := start; i < n; i++ {
		if open&(1<<i) == 0 {
			continue
		}
		v := try(i, true)
		if v == Granted {
			return i, v, 0
		}
		bound = bound || v == OverLoadBound
		last = max(last, v)
	}
	tries := boundWaitAttempts
	if bound {
		tries += lagWaitAttempts
	}
	if (last == OverLoadBound || last == OverRamp) && p.mayWait(tries) {
		return -1, last, p.wait()
	}
	return -1, last, 0
}

func (p *Placement) wait() time.Duration {
	d := p.nextWait()
	p.waits++
	p.Remaining -= d
	return d
}

func (p *Placement) nextWait() time.Duration {
	if p.waits < boundWaitAttempts {
		return BoundWait
	}
	return lagWait
}

// mayWait reports whether another wait is within the tries and the deadline.
func (p *Placement) mayWait(tries int) bool {
	if p.Priority < defaultPriority {
		tries /= 2
	}
	return p.waits < tries && p.Remaining > 2*p.nextWait()
}
