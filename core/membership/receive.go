package membership

import (
	"slices"
	"time"
)

const (
	// flapWindow is how long a return after removal counts as a flap.
	flapWindow = 10 * time.Minute
	// initialHoldDown is the hold-down after the second return within flapWindow;
	// each further one doubles it up to maxHoldDown. A single return is a restart or a
	// healed partition and has no hold-down; otherwise each side of a partition would hold
	// down the whole other side.
	initialHoldDown = MaxViewDivergence
	maxHoldDown     = 5 * time.Minute
)

// Receive processes a datagram whose authentication code has been verified.
func (m *Detector) Receive(now time.Time, p *Packet) {
	age := now.UnixMilli() - int64(p.SentMillis)
	if age > MaxPacketAge.Milliseconds() || age < -MaxPacketAge.Milliseconds() {
		return
	}
	if p.From.ID == m.self.ID || !p.From.Full || p.From.State != Alive {
		return
	}
	m.applyUpdate(p.From, now, m.isDirectAck(p), true)
	for i := range p.Updates {
		m.applyUpdate(p.Updates[i], now, false, false)
	}
	switch p.Kind {
	case Probe:
		m.send(p.From.Info.Datagram, m.packet(Ack, p.Nonce, p.From.ID, true))
	case ProbeRequest:
		m.relayProbe(p, now)
	case Ack:
		m.handleAck(p, now)
	}
}

// isDirectAck reports whether p is the sender's own answer to an open probe, which proves
// that the sender is running.
func (m *Detector) isDirectAck(p *Packet) bool {
	q, ok := m.probes[p.Nonce]
	return p.Kind == Ack && ok && p.Target == "" && q.target == p.From.ID
}

func (m *Detector) relayProbe(p *Packet, now time.Time) {
	if len(m.relays) >= maxRelays || p.Target == m.self.ID || p.TargetAddress == "" {
		return
	}
	n := m.nonce()
	m.probes[n] = probe{p.Target, now}
	m.relays[n] = relay{p.From.Info.Datagram, p.Nonce, p.Target, now}
	m.send(p.TargetAddress, m.packet(Probe, n, p.Target, false))
}

func (m *Detector) handleAck(p *Packet, now time.Time) {
	q, ok := m.probes[p.Nonce]
	if !ok || (p.Target == "" && q.target != p.From.ID) || (p.Target != "" && q.target != p.Target) {
		return
	}
	delete(m.probes, p.Nonce)
	m.lastAckAt = now
	if p.Nonce == m.ringNonce {
		m.ringNonce = 0
	}
	if r, ok := m.relays[p.Nonce]; ok {
		delete(m.relays, p.Nonce)
		out := m.packet(Ack, r.nonce, "", false)
		out.Target = r.target
		m.send(r.to, out)
	}
}

// applyUpdate merges one update. answered is set if the instance itself has just answered a
// probe, direct if the update comes from the instance itself.
func (m *Detector) applyUpdate(u Update, now time.Time, answered, direct bool) {
	if u.ID == m.self.ID {
		m.refute(u)
		return
	}
	r := m.records[u.ID]
	if r == nil {
		m.applyUnknown(u, now, answered, direct)
		return
	}
	if u.Full && u.Incarnation >= r.Incarnation && r.Info.Datagram == "" {
		r.Info, r.Full = u.Info, true
	}
	if u.Incarnation < r.Incarnation || u.Incarnation == r.Incarnation && u.State <= r.State {
		return
	}
	if r.State == Dead && u.State != Dead && !r.Full && !u.Full {
		return // the addresses are not known
	}
	plannedStop := r.Leaving // a planned stop is not a flap
	if u.Incarnation > r.Incarnation {
		r.Incarnation = u.Incarnation
		r.Leaving = u.Leaving
		if u.Full && r.Info != u.Info {
			r.Info = u.Info
			r.announceInfo = true
		}
		m.viewDirty = true
	}
	if r.State == Dead && u.State != Dead {
		m.revive(r, plannedStop, now)
	}
	if r.State != u.State {
		m.setState(r, u.State, now)
	} else {
		r.since, r.suspicionProbes, r.suspectedHere = now, 0, false
	}
	m.enqueue(r)
}

// refute overrides an update about this instance that is wrong, or that stems from an
// earlier process whose clock was ahead, by raising the incarnation.
func (m *Detector) refute(u Update) {
	if u.Incarnation < m.self.Incarnation || u.Incarnation == m.self.Incarnation && u.State == Alive {
		return
	}
	m.stats.Refuted++
	m.self.Incarnation = u.Incarnation + 1
	m.enqueue(m.self)
	m.viewDirty = true
}

// applyUnknown handles an instance without a record. During the first
// MaxPacketAge a late packet may name an instance that died before this one
// started, so the instance becomes a member only by answering a probe.
func (m *Detector) applyUnknown(u Update, now time.Time, answered, direct bool) {
	if len(m.records) >= maxRecords {
		return
	}
	if u.State == Dead {
		r := &record{Update: u, since: now}
		m.records[u.ID] = r
		m.dead = append(m.dead, r)
		m.enqueue(r)
		return
	}
	if !u.Full || u.Info.Datagram == "" {
		return
	}
	if !answered && (direct || now.Sub(m.start) <= MaxPacketAge) {
		m.addCandidate(u.ID, u.Info, now, false)
		return
	}
	r := &record{Update: u, since: now, announceInfo: true}
	r.State = Alive
	m.records[u.ID] = r
	m.insertLive(r)
	if u.State == Suspect {
		m.setState(r, Suspect, now)
	}
	m.enqueue(r)
}

// revive makes a dead instance with a higher incarnation live again. An instance that
// flaps gets a hold-down that doubles with each return.
func (m *Detector) revive(r *record, plannedStop bool, now time.Time) {
	if i := slices.Index(m.dead, r); i >= 0 {
		m.dead = slices.Delete(m.dead, i, i+1)
	}
	if now.Sub(r.flapAt) > flapWindow {
		r.flaps = 0
	}
	if !plannedStop {
		r.flaps++
		r.flapAt = now
		if r.flaps >= 2 {
			r.holdDownUntil = now.Add(min(maxHoldDown, initialHoldDown<<min(r.flaps-2, 16)))
		}
	}
	r.State = Alive
	m.insertLive(r)
}

func (m *Detector) insertLive(r *record) {
	i, _ := m.position(r.ID)
	m.live = slices.Insert(m.live, i, r)
	m.viewDirty = true
}

// setState moves a record between alive, suspect and dead.
func (m *Detector) setState(r *record, s State, now time.Time) {
	if r.State == Suspect {
		m.suspectCount--
	}
	if s == Suspect {
		m.suspectCount++
	}
	if s == Dead {
		if i, ok := m.position(r.ID); ok {
			m.live = slices.Delete(m.live, i, i+1)
		}
		m.dead = append(m.dead, r)
		r.listLeaving = false
		m.viewDirty = true
	}
	r.State, r.since, r.suspicionProbes, r.suspectedHere = s, now, 0, false
}
