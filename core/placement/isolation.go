package placement

import "time"

// The mechanism prompt_isolation keeps short prompts from waiting behind long ones. Engines
// process prompts in chunks, in the order of urgency and then of arrival, so that a long
// prompt delays all that arrive after it. A long prompt therefore gets a lower urgency than a
// short one of its priority, unless its time is short, and goes to an engine on which it can
// meet its target if there is one. While long prompts miss their targets, each instance
// limits the long prompts that it sends to what the engines were seen to process in time:
// beyond that each further one would delay all that wait.
const (
	// longTokens is the number of tokens to process from which a prompt is long, and
	// shortTokens the one up to which it is short. Engines process some hundred to some
	// thousand tokens in one step: a long prompt takes several steps, a short one a part.
	longTokens  = 4096
	shortTokens = 512
	// urgentWaits is the remaining time, in expected waits, under which a long prompt keeps
	// its urgency.
	urgentWaits = 2
	// longCut reduces the limit after a late long prompt while the share of late ones is
	// above lateShare, longRaise raises it after one in time. Single late ones on slow
	// engines are no shortage.
	longCut, longRaise = 0.8, 1.05
	lateShare          = 0.4
	// lateSampleWeight is the weight of a new sample in the share of late ones.
	lateSampleWeight = 0.1
	// longFreeFactor is the ratio of the limit to what is sent from which there is none.
	longFreeFactor = 2
	// longRateTime is the time over which the sent tokens are averaged, and for which
	// unused parts of the limit are kept.
	longRateTime = time.Second
	// longRecovery is the time after a reduction from which the limit rises in each second
	// by longTokens per second and by longGrowth of itself, so that it ends also where few
	// prompts are sent.
	longRecovery = 2 * time.Second
	longGrowth   = 0.1
)

// longLimit limits the tokens of long prompts that this instance sends to a pool. It is
// guarded by the lock of its pool.
type longLimit struct {
	// limit is in tokens per ms; 0 means that there is none. sent is the average rate.
	limit, sent float64
	// credit is the number of tokens that may be sent now; below 0 none may.
	credit float64
	at     time.Time
	// late is the share of late prompts, cutAt the time of the last reduction.
	late  float64
	cutAt time.Time
}

// advance brings the state to a time.
func (l *longLimit) advance(now time.Time) {
	if now.Before(l.at) {
		now = l.at // a request that read the clock before it waited for the lock
	}
	d := now.Sub(l.at)
	if l.at.IsZero() || d > longRateTime {
		d = longRateTime
	}
	l.at = now
	part := float64(d) / float64(longRateTime)
	l.sent *= 1 - part
	span := float64(longRateTime.Milliseconds())
	if l.limit > 0 && now.Sub(l.cutAt) > longRecovery {
		l.limit += (longTokens/span + longGrowth*l.limit) * part
	}
	if l.limit == 0 {
		l.credit = 0 // what is sent without a limit does not count against a later one
		return
	}
	l.credit = min(l.limit*span, l.credit+l.limit*span*part)
}

// spent reports whether no long prompt may be sent now.
func (l *longLimit) spent(now time.Time) bool {
	if l.limit == 0 {
		return false
	}
	l.advance(now)
	return l.credit <= 0
}

// send accounts for a long prompt.
func (l *longLimit) send(now time.Time, tokens int) {
	l.advance(now)
	l.credit -= float64(tokens)
	l.sent += float64(tokens) / float64(longRateTime.Milliseconds())
}

// ended adjusts the limit to a long prompt that got its first token, or ended without one.
func (l *longLimit) ended(now time.Time, inTime bool, target time.Duration) {
	l.advance(now)
	l.late *= 1 - lateSampleWeight
	if !inTime {
		l.late += lateSampleWeight
	}
	switch {
	case inTime:
		if l.limit *= longRaise; l.limit > longFreeFactor*l.sent {
			l.limit = 0
		}
	case l.late > lateShare && now.Sub(l.cutAt) >= target:
		// The effect of a cut shows after the time that the prompts wait.
		l.cutAt = now
		if l.limit == 0 {
			l.limit = l.sent
		}
		l.limit *= longCut
	}
}

// target returns the target time of a request.
func (r *Request) target() time.Duration {
	if r.Objective <= 0 {
		return defaultObjective
	}
	return r.Objective
}

// isolates reports whether a candidate is passed over for a long prompt, because the prompt
// would miss its target there or because this instance may send none now.
func (r *ranking) isolates(s *serverState, c *Candidate) bool {
	if !r.policy.On(PromptIsolation) || !s.Engine || c.unread < longTokens {
		return false
	}
	return r.longSpent || !r.anyWait && c.Wait > r.req.target()
}

// UrgencyShift returns what to add to the urgency of a request that is sent to a candidate
// and has the given time left: 1 for a long prompt, which other prompts may overtake, and -1
// for a short one. It is 0 without the mechanism.
func (b *Balancer) UrgencyShift(c *Candidate, left time.Duration) int {
	switch {
	case !b.policy.On(PromptIsolation) || c.unread <= 0:
		return 0
	case c.unread <= shortTokens:
		return -1
	case c.unread >= longTokens && left > urgentWaits*c.Wait:
		return 1
	}
	return 0
}
