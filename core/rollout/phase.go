package rollout

import (
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// writerDelay is the time after which the next instance, by rank, makes a write that is
	// due. It exceeds a call of the store and a report.
	writerDelay = 300 * time.Millisecond
	// completionMargin is the time before the deadline at which a move ends even if old servers
	// still run requests; in it three instances can try to write.
	completionMargin = 900 * time.Millisecond
	// idleTime is how long the old servers must run nothing. Loads of peers are up to 0.5 s old.
	idleTime = 600 * time.Millisecond
	// peerTimeout is the time without a report of any peer after which the loads of peers are not
	// known to be none. It exceeds repeatInterval; loads expire after 3 s.
	peerTimeout = 2500 * time.Millisecond
	// checkInterval is the time between two reads of the stored state by the first writer. It
	// finds a store that returned as an older copy, and shows that the store can be reached.
	checkInterval = time.Second
	// maxOrderLag is how long before an instance others can have seen an order. An earlier start
	// comes from a wrong clock.
	maxOrderLag = 5 * time.Second
	// endedCheckInterval applies from settledTime after the last phase on.
	endedCheckInterval = 10 * time.Second
	settledTime        = 10 * time.Second
	// learnDelay is the time by which the instances that do not know the stored state of an order
	// read it one after the other. The others learn it from reports.
	learnDelay = 50 * time.Millisecond
)

// State is the stored state of an order.
type State struct {
	// Row identifies the order, To is its version.
	Row    uint64
	To     string
	Phase  Phase
	Reason string
	// Started is the time of the order, Changed that of the phase.
	Started, Changed time.Time
	// Excluded are the versions that were rolled back.
	Excluded []string
}

// writeState is what this instance knows of the writes of an order.
type writeState struct {
	// again is set if the stored state has to be written again.
	again bool
	// due is the phase to be written, and since when.
	due      Phase
	dueSince time.Time
	// idleSince is since when the old servers have run nothing; zero if they run requests.
	idleSince time.Time
	checked   time.Time
}

// Task is what an instance should do about the stored state of a pool.
type Task struct {
	Pool fleet.PoolID
	// Next is the state to write after the stored one was read; its phase is None if the
	// stored state is only to be read.
	Next State
}

// Tasks returns what this instance has to read and write now. rank is the instance's place in
// the order of writers of a pool, from 0. running returns how many requests a server runs.
func (t *Tracker) Tasks(now time.Time, rank func(fleet.PoolID) int, running func(fleet.ServerID) int) []Task {
	var out []Task
	t.each(func(id fleet.PoolID, p *pool) {
		if !p.ordered || p.removed {
			return
		}
		r := rank(id)
		next := p.nextPhase(t.cfg, now, running)
		switch {
		case !p.known && now.Sub(p.phaseAt) >= time.Duration(r)*learnDelay, next == None && r == 0 && now.Sub(p.write.checked) >= p.checkInterval(now):
			p.write.checked = now
			out = append(out, Task{Pool: id})
		case p.known && next != None && now.Sub(p.write.dueSince) >= time.Duration(r)*writerDelay:
			p.write.dueSince = now // another attempt follows after the same delay
			out = append(out, Task{id, p.state(next, now)})
		}
	})
	return out
}

func (p *pool) checkInterval(now time.Time) time.Duration {
	if p.phase.final() && now.Sub(p.phaseAt) > settledTime {
		return endedCheckInterval
	}
	return checkInterval
}

// nextPhase returns the phase that is to be written, None for none.
func (p *pool) nextPhase(cfg Config, now time.Time, running func(fleet.ServerID) int) Phase {
	next := None
	age := now.Sub(p.started)
	switch {
	case p.phase.final():
	case p.bad:
		next = RolledBack
	case p.phase == None:
		next = Observing
	case p.phase == Observing && age >= p.order.Duration-cfg.moveTime(p.order):
		next = Moving
	case p.phase == Moving && (age >= p.order.Duration-completionMargin || p.isIdle(cfg, now, running)):
		next = Completed
	}
	if next == None && p.write.again {
		next = p.phase
	}
	if next != p.write.due {
		p.write.due, p.write.dueSince = next, now
	}
	return next
}

// isIdle reports whether the old servers have run nothing for some time after all requests were
// moved.
func (p *pool) isIdle(cfg Config, now time.Time, running func(fleet.ServerID) int) bool {
	idle := p.movedPart(cfg, now) >= 1 && (p.peerAt.IsZero() || now.Sub(p.peerAt) < peerTimeout)
	for id, c := range p.classes {
		if idle && c == classOld && running(id) > 0 {
			idle = false
		}
	}
	switch {
	case !idle:
		p.write.idleSince = time.Time{}
	case p.write.idleSince.IsZero():
		p.write.idleSince = now
	}
	return idle && now.Sub(p.write.idleSince) >= idleTime
}

func (p *pool) state(phase Phase, now time.Time) State {
	s := State{Row: p.order.Row, To: p.order.To, Phase: phase, Reason: p.reason, Started: p.started, Changed: p.phaseAt}
	if phase != p.phase {
		s.Changed = now
		if phase != RolledBack {
			s.Reason = p.why(phase)
		}
	}
	for v := range p.excluded {
		s.Excluded = append(s.Excluded, v)
	}
	if phase == RolledBack && !p.excluded[p.order.To] {
		s.Excluded = append(s.Excluded, p.order.To)
	}
	slices.Sort(s.Excluded)
	return s
}

// why returns the reason of the step to a phase.
func (p *pool) why(phase Phase) string {
	switch phase {
	case Observing:
		return "there is an order"
	case Moving:
		return "the version was not found to be bad while it was observed"
	case Completed:
		if p.write.idleSince.IsZero() {
			return "the deadline is near and old servers still run requests"
		}
		return "all requests go to the new servers and the old ones run nothing"
	}
	return ""
}

// Stored states what the store holds for a pool; nil means that it holds nothing. It reports
// whether next may be written over that: the order is still in force and its phase was not
// reached before.
func (t *Tracker) Stored(now time.Time, id fleet.PoolID, s *State, next State) bool {
	p := t.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != nil {
		for _, v := range s.Excluded {
			if !p.ordered || v != p.order.To {
				p.excluded[v] = true
			}
		}
		if s.Phase == Completed {
			// The next state may exclude it if this instance missed the completion.
			p.inUse[s.To] = true
			if p.excluded[s.To] {
				delete(p.excluded, s.To)
				next = State{}
			}
		}
		p.classify(t.cfg)
	}
	if !p.ordered || p.removed {
		return false
	}
	p.known, p.heardAt = true, now
	stored := None
	if s != nil {
		if s.Row == p.order.Row {
			stored = s.Phase
			p.advance(stored, s.Reason, s.Started, s.Changed, now)
		}
	}
	p.write.again = stored < p.phase
	p.classify(t.cfg)
	return next.Phase != None && next.Row == p.order.Row && !stored.final() && next.Phase > stored && next.Phase >= p.phase
}

// Written states that the stored state was written.
func (t *Tracker) Written(now time.Time, id fleet.PoolID, s State) {
	p := t.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.order.Row == s.Row {
		p.advance(s.Phase, s.Reason, s.Started, s.Changed, now)
		p.write.again, p.heardAt, p.ev.sentAt = false, now, time.Time{}
		p.classify(t.cfg)
	}
}

// advance sets a phase that was stored, unless a later one is known.
func (p *pool) advance(phase Phase, reason string, started, changed, now time.Time) {
	if started.Before(p.started) && !started.IsZero() && (!p.fresh || p.started.Sub(started) <= maxOrderLag) {
		p.started = started
	}
	if phase <= p.phase || p.phase.final() {
		return
	}
	p.phase, p.phaseAt = phase, now
	if changed.Before(now) && changed.After(p.started) {
		p.phaseAt = changed
	}
	if !p.bad {
		p.reason = reason
	}
	if phase == RolledBack {
		p.bad, p.excluded[p.order.To] = true, true
	}
}

// Change is a change of a roll-out, for the log.
type Change struct {
	Pool   fleet.PoolID
	To     string
	Phase  Phase
	Bad    bool
	Reason string
}

// Status returns the state of the roll-outs of all pools that have one.
func (t *Tracker) Status() []Change {
	var out []Change
	t.each(func(id fleet.PoolID, p *pool) {
		if p.ordered {
			out = append(out, Change{id, p.order.To, p.phase, p.bad, p.reason})
		}
	})
	return out
}

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// String returns the name of the phase for logs.
func (p Phase) String() string {
	return [...]string{"none", "observing", "moving", "completed", "rolled_back"}[max(None, min(p, RolledBack))]
}
