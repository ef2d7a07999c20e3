package membership

import (
	"math"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// gossipIntervalTicks is the number of ticks between two gossip rounds.
	gossipIntervalTicks = 2
	gossipFanout        = 3
	// gossipDatagramsPerSecond and gossipBurstDatagrams limit gossip datagrams. The loss of a
	// region fills every datagram; the rate keeps the traffic within the control budget.
	gossipDatagramsPerSecond = 6.0
	gossipBurstDatagrams     = 60.0
	// versionAnnounceRounds is the number of gossip rounds that announce a new configuration
	// version.
	versionAnnounceRounds = 4
	// fullFillRecords and compactFillRecords are the numbers of full and compact records of other
	// instances that each probe and ack carries. They repair lost gossip at a constant cost.
	fullFillRecords    = 1
	compactFillRecords = 4
)

// sendLimit returns the number of transmissions of one update: with 10% loss, fewer than
// 1 in 10,000 instances miss it.
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

// stepGossip sends pending updates and version announcements to random members.
func (m *Detector) stepGossip(gap time.Duration) {
	m.gossipTokens = min(gossipBurstDatagrams, m.gossipTokens+gossipDatagramsPerSecond*gap.Seconds())
	if m.ticks%gossipIntervalTicks != 0 || len(m.queue) == 0 && m.announceRoundsLeft == 0 {
		return
	}
	if m.announceRoundsLeft > 0 {
		m.announceRoundsLeft--
	}
	for _, r := range m.randomMembers(gossipFanout, "") {
		if m.gossipTokens < 1 {
			return
		}
		m.gossipTokens--
		m.send(r.Info.Datagram, m.packet(Gossip, 0, r.ID, false))
	}
}

// randomMembers returns up to k random members without self and except.
func (m *Detector) randomMembers(k int, except fleet.InstanceID) []*record {
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

// packet builds a datagram for an instance. It first adds the receiver's record, so that
// the receiver can refute it, then queued updates, then further records in rotation.
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

// addQueued adds queued updates in order. Each moves to the end of the queue and is
// removed after sendLimit transmissions.
func (m *Detector) addQueued(to fleet.InstanceID, add func(Update) bool) {
	limit := m.sendLimit()
	var back []*record
	i := 0
	for ; i < len(m.queue); i++ {
		r := m.queue[i]
		if r != m.self && r.ID != to { // both are in the packet already
			u := r.compact()
			if r.announceInfo && r.State != Dead {
				u = r.Update
			}
			if !add(u) {
				break
			}
		}
		if r.sent++; r.sent < limit {
			back = append(back, r)
		} else {
			r.queued, r.announceInfo = false, false
		}
	}
	m.queue = append(slices.Delete(m.queue, 0, i), back...)
}

func (m *Detector) addFill(add func(Update) bool) {
	for range min(fullFillRecords, len(m.live)-1) {
		if r := m.live[m.rng.IntN(len(m.live))]; r != m.self {
			add(r.Update)
		}
	}
	total := len(m.live) + len(m.dead)
	for range min(compactFillRecords, total-1) {
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
