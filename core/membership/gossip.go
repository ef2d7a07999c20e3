package membership

import (
	"math"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// gossipEvery is the number of ticks between two gossip rounds.
	gossipEvery  = 2
	gossipFanout = 3
	// gossipRate and gossipBurst bound gossip datagrams: a lost region fills
	// every datagram, and the rate keeps that under the control budget.
	gossipRate  = 6.0
	gossipBurst = 60.0
	// versionRounds is how many rounds announce a new configuration version.
	versionRounds = 4
	// fillFull and fillCompact are the records of other instances that each
	// probe and ack carries; they repair lost gossip at a constant cost.
	fillFull    = 1
	fillCompact = 4
)

// sendLimit is how often one update is sent: enough that with 10% loss fewer
// than 1 in 10,000 instances miss it.
func (m *Detector) sendLimit() int {
	return 4 * int(math.Ceil(math.Log10(float64(len(m.live)+1))))
}

func (m *Detector) enqueue(r *record) {
	r.sent = 0
	if !r.queued {
		r.queued = true
		m.queue = append(m.queue, r)
	}
}

// stepGossip sends updates to random members while there are any.
func (m *Detector) stepGossip(gap time.Duration) {
	m.gossipTokens = min(gossipBurst, m.gossipTokens+gossipRate*gap.Seconds())
	if m.ticks%gossipEvery != 0 || len(m.queue) == 0 && m.announceLeft == 0 {
		return
	}
	if m.announceLeft > 0 {
		m.announceLeft--
	}
	for _, r := range m.pick(gossipFanout, "") {
		if m.gossipTokens < 1 {
			return
		}
		m.gossipTokens--
		m.send(r.Info.Datagram, m.packet(Gossip, 0, r.ID, false))
	}
}

// pick returns up to k random members without self and except.
func (m *Detector) pick(k int, except fleet.InstanceID) []*record {
	out := make([]*record, 0, k)
	for tries := 0; len(out) < k && tries < 4*k && len(m.live) > 1; tries++ {
		r := m.live[m.rng.IntN(len(m.live))]
		if r != m.self && r.ID != except && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

func (m *Detector) send(to string, p Packet) {
	if to != "" {
		m.out = append(m.out, Outgoing{to, p})
	}
}

// packet builds a datagram for an instance: first what is known of the receiver,
// so that it can refute, then queued updates, then records in turn.
func (m *Detector) packet(k Kind, nonce uint64, to fleet.InstanceID, fill bool) Packet {
	p := Packet{Kind: k, Nonce: nonce, SentMillis: uint64(m.lastTick.UnixMilli()), Version: m.version, From: m.self.Update}
	// A ProbeRequest or a relayed Ack adds a name and an address.
	room := MaxPacketBytes - p.WireBytes() - MaxSelfBytes/4
	add := func(u Update) bool {
		if n := u.WireBytes(); n <= room && len(p.Updates) < 255 {
			room -= n
			p.Updates = append(p.Updates, u)
			return true
		}
		return false
	}
	if r := m.records[to]; r != nil && r != m.self {
		add(r.compact())
	}
	m.addQueued(to, add)
	if fill {
		m.addFill(add)
	}
	return p
}

func (r *record) compact() Update {
	u := r.Update
	u.Full, u.Info = false, Info{}
	return u
}

// addQueued takes queued updates in turn; each goes to the back after it was
// taken and leaves after sendLimit transmissions.
func (m *Detector) addQueued(to fleet.InstanceID, add func(Update) bool) {
	limit := m.sendLimit()
	var back []*record
	i := 0
	for ; i < len(m.queue); i++ {
		r := m.queue[i]
		if r != m.self && r.ID != to { // both are in the packet already
			u := r.compact()
			if r.announce && r.State != Dead {
				u = r.Update
			}
			if !add(u) {
				break
			}
		}
		if r.sent++; r.sent < limit {
			back = append(back, r)
		} else {
			r.queued, r.announce = false, false
		}
	}
	m.queue = append(slices.Delete(m.queue, 0, i), back...)
}

func (m *Detector) addFill(add func(Update) bool) {
	for range min(fillFull, len(m.live)-1) {
		if r := m.live[m.rng.IntN(len(m.live))]; r != m.self {
			add(r.Update)
		}
	}
	total := len(m.live) + len(m.dead)
	for range min(fillCompact, total-1) {
		m.fillCursor = (m.fillCursor + 1) % total
		var r *record
		if m.fillCursor < len(m.live) {
			r = m.live[m.fillCursor]
		} else {
			r = m.dead[m.fillCursor-len(m.live)]
		}
		if r != m.self {
			add(r.compact())
		}
	}
}
