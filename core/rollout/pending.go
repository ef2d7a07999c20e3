package rollout

import "time"

// Pending is an attempt that has not ended. Attempts of all versions count as slow when they are
// overdue: a version that takes several times as long would else get requests for that time
// before it shows.
type Pending struct {
	attempt Attempt
	sentAt  time.Time
	p       *pool
	row     uint64
	// counted is set once the attempt has been counted as slow.
	counted bool
}

// Begin records that an attempt was sent. It returns nil if no order is in force.
func (t *Tracker) Begin(now time.Time, a Attempt) *Pending {
	t.mu.RLock()
	p := t.pools[a.Pool]
	t.mu.RUnlock()
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ordered || p.removed || p.phase.final() {
		return nil
	}
	d := &Pending{attempt: a, sentAt: now, p: p, row: p.order.Row}
	p.ev.pending[d] = struct{}{}
	return d
}

// End records how an attempt ended; d is the result of Begin. Answers of cold servers are no
// evidence.
func (t *Tracker) End(now time.Time, d *Pending, a Attempt) {
	t.Drop(d)
	p := t.pool(a.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(now, &a, d != nil && d.counted && d.row == p.order.Row)
}

// Drop forgets an attempt whose end says nothing about the version.
func (t *Tracker) Drop(d *Pending) {
	if d == nil {
		return
	}
	d.p.mu.Lock()
	delete(d.p.ev.pending, d)
	d.p.mu.Unlock()
}

// countOverdue counts the pending attempts that are slow by now. The caller holds the lock.
func (p *pool) countOverdue(now time.Time) {
	for d := range p.ev.pending {
		if d.counted || d.row != p.order.Row {
			continue
		}
		a := d.attempt
		a.Took, a.Outcome = now.Sub(d.sentAt), Good
		if s, ok := p.servers[a.Server]; !ok || now.Before(s.ColdUntil) || p.ev.isSlow(&a) == 0 {
			continue
		}
		d.counted = true
		p.addCell(&a, Cell{Answers: 1, Slow: 1})
	}
}

// addCell adds to the counters of an attempt's route and server.
func (p *pool) addCell(a *Attempt, x Cell) {
	kind, c := oldRoute, p.classes[a.Server]
	if c != classOld {
		kind = newRoute
	}
	if !p.ordered || p.removed || p.phase.final() || c == classHeld {
		return
	}
	id := cellID(kind, a.Route)
	p.ev.own.add(id, x)
	if kind == newRoute {
		p.ev.own.add(cellID(newServer, string(a.Server)), x)
	}
	p.ev.names[id] = a.Route
	p.ev.changed, p.ev.unsent = true, true
}

// count adds an attempt that has ended. overdue is set if it was counted as slow before.
func (p *pool) count(now time.Time, a *Attempt, overdue bool) {
	s, ok := p.servers[a.Server]
	if !ok || now.Before(s.ColdUntil) {
		return
	}
	x := Cell{Answers: 1}
	switch a.Outcome {
	case Lost:
		x = Cell{Lost: 1}
	case Failed:
		x.Failed = 1
	case TimedOut:
		x.Slow = 1
	case Good:
		x.Slow = p.ev.slow(p.classes[a.Server] == classOld, a)
	}
	if overdue {
		x.Answers, x.Slow = 0, 0
	}
	p.addCell(a, x)
}
