package rollout

import (
	"maps"
	"time"

	"cyclamenhitch/core/fleet"
)

// Report is what an instance tells its peers about the roll-out of a pool.
type Report struct {
	Pool fleet.PoolID
	// Row identifies the order.
	Row uint64
	// Age is the time since the order, PhaseAge that since the phase was reached.
	Age, PhaseAge time.Duration
	// Phase is the stored phase.
	Phase Phase
	// Bad is set if the version was found to be bad, for the Reason. Doubtful is set while the
	// evidence forbids a larger part.
	Bad, Doubtful bool
	Reason        string
	// DataCentre is set if Cells are a sum over the instances of a data centre.
	DataCentre fleet.DataCentreID
	Cells      Cells
}

const (
	// maxReportInterval is the largest value of the shortest time between two reports of changed
	// counters, and repeatInterval the time between unchanged ones, for lost datagrams.
	maxReportInterval = 400 * time.Millisecond
	repeatInterval    = 2 * time.Second
	// moveReportInterval applies in the move, in which many requests meet a fault at once.
	moveReportInterval = 150 * time.Millisecond
	// reportsInLimit is the least number of reports within the time limit of a roll-back. A
	// counter passes three hops in a large fleet, and each report may be lost once.
	reportsInLimit = 10
)

// Control traffic for roll-outs is limited by reporting less often. An entry has some reportBytes
// and cellBytes for each counter (212 bytes with three routes and eight servers); an instance
// sends reportRate bytes/s at most, and twice that in the move.
const (
	reportBytes = 70
	cellBytes   = 10
	reportRate  = 10_000
)

// Recipients are the numbers of entries of a pool that an instance sends in a round, with
// counters and without.
type Recipients struct{ Counters, Verdicts int }

// interval returns the shortest time between two reports to so many peers. The rate is shared by
// the running roll-outs.
func (p *pool) interval(cfg Config, recipients Recipients, running int) time.Duration {
	least, rate := min(maxReportInterval, cfg.RollbackLimit/reportsInLimit), reportRate
	if p.phase == Moving {
		least, rate = min(least, moveReportInterval), 2*reportRate
	}
	bytes := (recipients.Counters+recipients.Verdicts)*reportBytes + recipients.Counters*cellBytes*len(p.ev.own)
	return max(least, time.Duration(bytes*max(1, running))*time.Second/time.Duration(rate))
}

// Outgoing is what an instance tells about the orders in force.
type Outgoing struct {
	// Own has this instance's counters. Verdicts is the same without counters, which a relay
	// sends to its members: they take its verdict. Sums has those of the data centres, which a
	// relay sends to relays of other data centres.
	Own, Verdicts, Sums []Report
}

// Reports returns what to report in a round to so many recipients. own is the instance's data
// centre.
func (t *Tracker) Reports(now time.Time, own fleet.DataCentreID, relaying bool, recipients Recipients) Outgoing {
	var out Outgoing
	running := 0
	t.each(func(_ fleet.PoolID, p *pool) {
		if p.ordered && !p.removed && !p.phase.final() {
			running++
		}
	})
	t.each(func(id fleet.PoolID, p *pool) {
		e := &p.ev
		since := now.Sub(e.sentAt)
		if !p.ordered || !p.known || p.removed || since < repeatInterval && (!e.unsent || since < p.interval(t.cfg, recipients, running)) {
			return
		}
		e.sentAt, e.unsent = now, false
		r := Report{
			Pool: id, Row: p.order.Row, Age: now.Sub(p.started), PhaseAge: now.Sub(p.phaseAt), Phase: p.phase,
			Bad: p.bad, Doubtful: p.doubtful, Reason: p.reason,
		}
		out.Verdicts = append(out.Verdicts, r)
		if !p.phase.final() {
			r.Cells = maps.Clone(e.own)
		}
		out.Own = append(out.Own, r)
		if !relaying || p.phase.final() {
			return
		}
		for dc, cells := range e.dataCentres(own) {
			s := r
			s.DataCentre, s.Cells = dc, cells
			out.Sums = append(out.Sums, s)
		}
	})
	return out
}

// Merge applies the reports of a peer. Counters of an order that is not in force here are
// ignored; the peer repeats them. It reports whether the peers should hear of a change soon.
func (t *Tracker) Merge(now time.Time, from Source, dc fleet.DataCentreID, reports []Report) bool {
	soon := false
	for i := range reports {
		r := &reports[i]
		t.mu.RLock()
		p := t.pools[r.Pool]
		t.mu.RUnlock()
		if p == nil {
			continue
		}
		p.mu.Lock()
		if p.merge(now, from, dc, r) {
			soon = true
			p.classify(t.cfg)
		}
		p.mu.Unlock()
	}
	return soon
}

// doubtTime is how long the doubt of a peer holds. A peer repeats it in the move with its counters.
const doubtTime = time.Second

func (p *pool) merge(now time.Time, from Source, dc fleet.DataCentreID, r *Report) bool {
	if !p.ordered || p.order.Row != r.Row {
		return false
	}
	p.known, p.heardAt, p.peerAt = true, now, now
	before := p.phase
	p.advance(r.Phase, r.Reason, now.Add(-r.Age), now.Add(-r.PhaseAge), now)
	news := p.phase != before
	if r.Bad && !p.bad && p.phase != Completed {
		p.bad, p.reason, news = true, r.Reason, true
	}
	if news {
		p.ev.sentAt = time.Time{}
	}
	if r.Doubtful {
		p.doubtUntil = now.Add(doubtTime)
	}
	if len(r.Cells) == 0 {
		return news
	}
	cells := p.ev.sums[r.DataCentre]
	switch {
	case r.DataCentre == "":
		s := p.ev.sources[from]
		if s == nil {
			s = &sourceCells{dc: dc, cells: Cells{}}
			p.ev.sources[from] = s
		}
		cells = s.cells
	case cells == nil:
		cells = Cells{}
		p.ev.sums[r.DataCentre] = cells
	}
	if cells.raise(r.Cells) {
		p.ev.changed, p.ev.unsent = true, true
	}
	return news
}

// Judge computes the verdicts on versions with new evidence. It reports whether a version was
// found to be bad. own is the instance's data centre.
func (t *Tracker) Judge(now time.Time, own fleet.DataCentreID) bool {
	found := false
	t.each(func(_ fleet.PoolID, p *pool) {
		// Without restriction there is no other version to go back to.
		if !p.ordered || p.bad || !p.restricted || p.phase.final() {
			return
		}
		p.countOverdue(now)
		if !p.ev.changed {
			return
		}
		p.ev.changed = false
		p.doubtful = false
		threshold := float64(verdictThreshold)
		if p.phase == Moving {
			threshold = moveThreshold
		}
		for _, cells := range p.ev.periods(now, own) {
			if p.ev.judge(cells, doubtThreshold) == "" {
				continue
			}
			p.doubtful = true
			if reason := p.ev.judge(cells, threshold); reason != "" {
				p.bad, p.reason, p.ev.sentAt, found = true, reason, time.Time{}, true
				p.classify(t.cfg)
				return
			}
		}
	})
	return found
}
