package admission

import (
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// Verdict is the answer to a PermitRequest. Its values are part of the peer protocol.
type Verdict uint8

// Verdicts.
const (
	Granted         Verdict = 0
	NotAdmitter     Verdict = 1 // the instance is not an admitter of the engine
	HandoverPending Verdict = 2 // the instance is in its handover wait
	Unavailable     Verdict = 3 // the engine failed, or its admitter did not answer
	OverSoftBound   Verdict = 4 // over the soft bound and the request is not relaxed
	OverLoadBound   Verdict = 5 // over the load bound
	OverRamp        Verdict = 6 // over the cold-start ramp
	OverCapacity    Verdict = 7 // over the absolute capacity
	OverShare       Verdict = 8 // the account is over its share
)

var verdictNames = [...]string{
	"granted", "not_admitter", "handover_wait", "unavailable", "soft_bound",
	"load_bound", "cold_start_ramp", "capacity", "account_share",
}

// String returns the name that appears in logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Err returns the refusal to send to the caller. v must not be Granted.
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

// Limits on how long a request waits when the engine that holds its prefix, or
// every engine, is over its bound. An engine with 60 running requests of 10 s
// completes one every 170 ms, and recomputing a prefix of 2,500 tokens takes
// longer than the wait. In a small pool, a stale mean alone can put all engines
// over the bound for an exchange interval.
const (
	BoundWait         = 75 * time.Millisecond
	boundWaitAttempts = 4
	// lagWait and lagWaitAttempts apply after boundWaitAttempts when some server is
	// over the load bound and none lacks capacity. Some engine of a pool is always
	// at or below the mean, so such a refusal only comes from stale means, and the
	// caller would retry after RetryAfter. With the first four attempts alone, a pool
	// of two engines refused one of 14,000 requests under a light load, and more with
	// one engine in its cold-start ramp.
	lagWait         = 150 * time.Millisecond
	lagWaitAttempts = 6
	// Requests of at least defaultPriority may use all wait attempts, others half.
	defaultPriority = 5
)

// maxShareRefusals is the number of share refusals after which a placement stops
// trying further servers. The chats of an account are spread evenly, so it is most
// likely over its share on the others too. With 1, accounts that did not surge
// had only 0.987 of their requests admitted.
const maxShareRefusals = 2

// Placement selects a server for one request among its ranked servers. Warm
// reports whether the first server is expected to hold the chat's prefix.
type Placement struct {
	Warm     bool
	Priority int
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	waits     int
}

// Step tries the n ranked servers in turn. It returns the index of the first
// that grants, or -1 and the most informative refusal. If the returned wait is
// above 0, the caller must wait that long and call Step again.
//
// A warm chat stays on its first server up to the hard bound. Other servers hold
// no prefix of the chat, so Step first tries them with the soft bound and only
// then with the hard bound.
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
	bound := last == OverLoadBound // whether some server refused for the load bound
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
			last = max(last, v) // the highest verdict is the most informative
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

// mayWait reports whether another wait fits the attempt limit and the deadline.
func (p *Placement) mayWait(tries int) bool {
	if p.Priority < defaultPriority {
		tries /= 2
	}
	return p.waits < tries && p.Remaining > 2*p.nextWait()
}
