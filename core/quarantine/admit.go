package quarantine

import (
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
)

// Decision tells whether a request may be sent to an engine.
type Decision struct {
	// Blocked is set if the request holds the blocked Part. RetryAfter is the time after
	// which the part may be tried again.
	Blocked    bool
	Part       PartKey
	RetryAfter time.Duration
	// Trial is set if the request tries a blocked part.
	Trial bool
}

// trial is a request that tries a blocked part.
type trial struct {
	request uint64
	at      time.Time
}

const (
	// trialTime is how long one trial excludes another one on the same instance.
	trialTime = 5 * time.Second
	// trialWidenInterval is the time after which twice as many instances may try a part, if
	// none of them got a request with it.
	trialWidenInterval = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Check decides whether a request, identified by a hash of its ID, may be sent to an
// engine. It may be called several times for one request.
func (t *Tracker) Check(now time.Time, pool fleet.PoolID, account, request uint64, parts []placement.Part) Decision {
	blocked := *t.blocked.Load()
	if len(blocked) == 0 {
		return Decision{}
	}
	var held *record
	for _, p := range suspectParts(parts) {
		r := blocked[KeyOf(pool, p.ID)]
		if r == nil {
			continue
		}
		if held != nil {
			return t.refuse(now, held) // a trial of two parts would not tell which is at fault
		}
		held = r
	}
	if held == nil {
		return Decision{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !held.blocked || !held.concerns(account):
		return Decision{}
	case t.mayTry(now, held, request) && !t.hasOtherSuspect(pool, held, parts):
		held.trial = trial{request, now}
		return Decision{Trial: true, Part: held.part}
	}
	return held.refusal(now)
}

func (t *Tracker) refuse(now time.Time, r *record) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.refusal(now)
}

func (r *record) refusal(now time.Time) Decision {
	return Decision{Blocked: true, Part: r.part, RetryAfter: min(max(minRetryAfter, r.trialAt().Sub(now)), maxRetryAfter)}
}

// concerns reports whether the part is blocked for the account: for the accounts whose
// requests struck, and for all once there are several of them. One account can therefore
// not have a part blocked for others.
func (r *record) concerns(account uint64) bool {
	return r.sharedAccounts() || slices.ContainsFunc(r.strikes, func(s strike) bool { return s.account == account })
}

// mayTry reports whether the request may try the part. The caller holds mu.
func (t *Tracker) mayTry(now time.Time, r *record, request uint64) bool {
	due := now.Sub(r.trialAt())
	if due < 0 {
		return false
	}
	if r.trial.request == request && !r.trial.at.IsZero() {
		return true
	}
	return now.Sub(r.trial.at) >= trialTime && t.isEligible(r.part, due)
}

// hasOtherSuspect reports whether the prompt holds another part with strikes. The caller
// holds mu.
func (t *Tracker) hasOtherSuspect(pool fleet.PoolID, tried *record, parts []placement.Part) bool {
	return slices.ContainsFunc(suspectParts(parts), func(p placement.Part) bool {
		r := t.records[KeyOf(pool, p.ID)]
		return r != nil && r != tried && len(r.strikes) > 0
	})
}

// isEligible reports whether this instance has a duty concerning a part that has been due
// for a time: the instance that ranks first for the part, and twice as many after each
// trialWidenInterval. The caller holds mu.
func (t *Tracker) isEligible(part PartKey, due time.Duration) bool {
	key := fleet.Mix(part.Pool, part.ID)
	own := fleet.Mix(key, fleet.HashID(string(t.self)))
	before := 0
	for _, id := range t.live {
		if id != t.self && fleet.Mix(key, fleet.HashID(string(id))) > own {
			before++
		}
	}
	return before < 1<<min(due/trialWidenInterval, 20)
}
