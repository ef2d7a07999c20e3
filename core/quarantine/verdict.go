package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crashes without an answer in between after which a part is blocked. An engine that
// crashes for another reason ends requests too, but other engines then answer requests
// with the same parts. A part that was answered before is probably sound: it needs more
// crashes, and only separate incidents count.
const (
	crashesToBlock   = 3
	incidentsToBlock = 5
	// crashesAgainstRepeat and incidentsAgainstRepeat are the same for not sending a request
	// that was in progress at a crash to another engine.
	crashesAgainstRepeat   = 2
	incidentsAgainstRepeat = 3
)

// Times after the last strike until a blocked part may be tried again. Each trial that
// crashes an engine multiplies the time, so that a part that is at fault costs few engines
// however long requests with it come.
const (
	firstTrialDelay  = 10 * time.Second
	trialDelayFactor = 6
	maxTrialDelay    = 30 * time.Minute
)

// excess is the number of crashes beyond those that block the part, negative if there are
// fewer.
func (r *record) excess(explained *explanation) int {
	if r.proven {
		return r.count(explained, minIncidentGap) - incidentsToBlock
	}
	return r.count(explained, 0) - crashesToBlock
}

// isAgainstRepeat reports whether a request with the part that was in progress at a crash
// must not be sent to another engine.
func (r *record) isAgainstRepeat() bool {
	if r.proven {
		return r.incidents() >= incidentsAgainstRepeat
	}
	return r.count(nil, 0) >= crashesAgainstRepeat
}

// minTrialGap is below firstTrialDelay, because the times of strikes that others report are
// only known to within some ms.
const minTrialGap = firstTrialDelay * 9 / 10

// failedTrials counts the trials that crashed a server: a blocked part gets no strikes but
// through them.
func (r *record) failedTrials() int {
	n := 0
	first := crashesToBlock
	if r.proven {
		first = incidentsToBlock
	}
	for i := max(1, first); i < len(r.strikes); i++ {
		if r.strikes[i].at.Sub(r.strikes[i-1].at) >= minTrialGap {
			n++
		}
	}
	return n
}

// trialAt is when the part may be tried again.
func (r *record) trialAt() time.Time {
	d := firstTrialDelay
	for n := r.failedTrials(); n > 0 && d < maxTrialDelay; n-- {
		d *= trialDelayFactor
	}
	return r.lastStrike().Add(min(d, maxTrialDelay))
}

// judge decides which parts are blocked, among those beside which the pool answers other
// requests. The part with the most crashes beyond what blocks it comes first and explains the
// crashes that it was part of; what stood beside it in these is judged by the other ones.
func judge(records map[PartKey]*record) map[PartKey]*record {
	var open []*record
	for _, r := range records {
		if r.contrasted && r.excess(nil) >= 0 {
			open = append(open, r)
		}
	}
	blocked := map[PartKey]*record{}
	explained := &explanation{crashes: map[Crash][]strike{}}
	for len(open) > 0 {
		best := slices.MinFunc(open, func(a, b *record) int {
			return cmp.Or(
				cmp.Compare(b.excess(explained), a.excess(explained)),
				-compareBool(a.blocked, b.blocked),
				cmp.Compare(b.depth, a.depth), // deeper parts stand in fewer prompts
				compareKeys(a.part, b.part),
			)
		})
		blocked[best.part] = best
		explained.add(best)
		open = slices.DeleteFunc(open, func(r *record) bool { return r == best || r.excess(explained) < 0 })
	}
	return blocked
}

// explanation holds the crashes that blocked parts account for.
type explanation struct {
	crashes map[Crash][]strike
	// dropped are the times from which blocked parts have strikes that are no longer kept.
	dropped []period
}

type period struct{ from, to time.Time }

func (e *explanation) add(r *record) {
	for _, s := range r.strikes {
		e.crashes[s.crash] = append(e.crashes[s.crash], s)
	}
	if oldest := r.strikes[0].at; r.firstAt.Before(oldest) {
		e.dropped = append(e.dropped, period{r.firstAt, oldest})
	}
}

func (e *explanation) covers(s *strike) bool {
	if e == nil {
		return false
	}
	if slices.ContainsFunc(e.crashes[s.crash], func(o strike) bool { return s.isSameCrash(&o) }) {
		return true
	}
	return slices.ContainsFunc(e.dropped, func(p period) bool { return !s.at.Before(p.from) && s.at.Before(p.to) })
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
