package membership

import (
	"slices"
	"time"
)

const (
	// flapMemory is how long returns from the dead count.
	flapMemory = 10 * time.Minute
	// firstHold is the hold-down after the second return within flapMemory;
	// each further one doubles it up to maxHold. A single return is a restart
	// or a healed partition and has none, since after a partition each side
	// would hold down the whole other side.
	firstHold = MaxViewDivergence
	maxHold   = 5 * time.Minute
)

// Receive takes a datagram whose code was checked.
func (m *Detector) Receive(now time.Time, p *Packet) {
	age := now.UnixMilli() - int64(p.SentMillis)
	if age > MaxPacketAge.Milliseconds() || age < -MaxPacketAge.Milliseconds() {
		return
	}
	if p.From.ID == m.self.ID || !p.From.Full || p.From.State != Alive {
		return
	}
	m.apply(p.From, now, m.answers(p), true)
	for i := range p.Updates {
		m.apply(p.Updates[i], now, false, false)
	}
	switch p.Kind {
	case Probe:
		m.send(p.From.Info.Datagram, m.packet(Ack, p.Nonce, p.From.ID, true))
	case ProbeRequest:
		m.startRelay(p, now)
	case Ack:
		m.onAck(p, now)
	}
}

// answers reports whether p is the sender's own answer to an open probe, which
// proves that the sender runs now.
func (m *Detector) answers(p *Packet) bool {
	q, ok := m.probes[p.Nonce]
	return p.Kind == Ack && ok && p.Target == "" && q.target == p.From.ID
}

func (m *Detector) startRelay(p *Packet, now time.Time) {
	if len(m.relays) >= maxRelays || p.Target == m.self.ID || p.TargetAddress == "" {
		return
	}
	n := m.nonce()
	m.probes[n] = probe{p.Target, now}
	m.relays[n] = relay{p.From.Info.Datagram, p.Nonce, p.Target, now}
	m.send(p.TargetAddress, m.packet(Probe, n, p.Target, false))
}

func (m *Detector) onAck(p *Packet, now time.Time) {
	q, ok := m.probes[p.Nonce]
	if !ok || (p.Target == "" && q.target != p.From.ID) || (p.Target != "" && q.target != p.Target) {
		return
	}
	delete(m.probes, p.Nonce)
	m.lastAck = now
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

// apply merges one update. answered says that the instance itself has just
// answered a probe; direct that the update comes from the instance itself.
func (m *Detector) apply(u Update, now time.Time, answered, direct bool) {
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
	stopped := r.Leaving // its end was planned and is no flap
	if u.Incarnation > r.Incarnation {
		r.Incarnation = u.Incarnation
		r.Leaving = u.Leaving
		if u.Full && r.Info != u.Info {
			r.Info = u.Info
			r.announce = true
		}
		m.dirty = true
	}
	if r.State == Dead && u.State != Dead {
		m.revive(r, stopped, now)
	}
	if r.State != u.State {
		m.setState(r, u.State, now)
	} else {
		r.since, r.checks, r.origin = now, 0, false
	}
	m.enqueue(r)
}

// refute answers a statement about this instance that is wrong or that belongs
// to an earlier life with a clock ahead of this one.
func (m *Detector) refute(u Update) {
	if u.Incarnation < m.self.Incarnation || u.Incarnation == m.self.Incarnation && u.State == Alive {
		return
	}
	m.stats.Refuted++
	m.self.Incarnation = u.Incarnation + 1
	m.enqueue(m.self)
	m.dirty = true
}

// applyUnknown handles an instance without a record. During the first
// PacketWindow a late packet may name an instance that died before this one
// started, so only its own answer to a probe makes it a member.
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
	r := &record{Update: u, since: now, announce: true}
	r.State = Alive
	m.records[u.ID] = r
	m.insertLive(r)
	if u.State == Suspect {
		m.setState(r, Suspect, now)
	}
	m.enqueue(r)
}

// revive returns a dead instance with a higher incarnation to the live ones.
// An instance that flaps gets a hold-down that doubles with each return.
func (m *Detector) revive(r *record, stopped bool, now time.Time) {
	if i := slices.Index(m.dead, r); i >= 0 {
		m.dead = slices.Delete(m.dead, i, i+1)
	}
	if now.Sub(r.flapAt) > flapMemory {
		r.flaps = 0
	}
	if !stopped {
		r.flaps++
		r.flapAt = now
		if r.flaps >= 2 {
			r.holdUntil = now.Add(min(maxHold, firstHold<<min(r.flaps-2, 16)))
		}
	}
	r.State = Alive
	m.insertLive(r)
}

func (m *Detector) insertLive(r *record) {
	i, _ := m.position(r.ID)
	m.live = slices.Insert(m.live, i, r)
	m.dirty = true
}

// setState moves a record between alive, suspect and dead.
func (m *Detector) setState(r *record, s State, now time.Time) {
	if r.State == Suspect {
		m.suspects--
	}
	if s == Suspect {
		m.suspects++
	}
	if s == Dead {
		if i, ok := m.position(r.ID); ok {
			m.live = slices.Delete(m.live, i, i+1)
		}
		m.dead = append(m.dead, r)
		r.listLeaving = false
		m.dirty = true
	}
	r.State, r.since, r.checks, r.origin = s, now, 0, false
}
