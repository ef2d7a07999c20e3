package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// Times of the failure detector. A crash is known everywhere after at most two
// periods until the next probe, one period for its retries, the suspicion time
// and about 0.6 s of gossip: 2.7 s, under the bound of 3 s.
const (
	// TickInterval is how often Tick must be called.
	TickInterval = 50 * time.Millisecond
	// Period is the time between two regular probes.
	Period = 300 * time.Millisecond
	// SuspicionTime is how long a suspect may refute.
	SuspicionTime = 1200 * time.Millisecond
	// MaxPacketAge bounds the age of an accepted packet and the clock
	// difference of two instances.
	MaxPacketAge = 30 * time.Second
	// tombstoneTime is how long a dead mark is kept; it is far above
	// PacketWindow, so that no accepted packet is older than its dead mark.
	tombstoneTime = 10 * time.Minute
	// pauseLimit is the gap between two ticks that counts as an own pause.
	// Timers that ran out during a pause say nothing about other instances.
	pauseLimit = time.Second
)

const (
	// directTries at one tick each: with 10% loss, three tries and three
	// indirect probes all fail for 3 in 10,000 probes of a live instance.
	directTries    = 3
	indirectProbes = 3
	// maxRecords bounds live and dead records together.
	maxRecords = 16384
	maxRelays  = 1024
)

// Outgoing is a datagram to send.
type Outgoing struct {
	To     string
	Packet Packet
}

// record is what is known of another instance, or of this one.
type record struct {
	Update
	listLeaving bool
	// since is when the state was entered.
	since  time.Time
	origin bool // this instance's own probe failed
	checks int  // probes sent during the suspicion
	// flaps counts returns from the dead until flapMemory after flapAt. It is
	// this instance's own judgement and is not sent: one instance that was cut
	// off would otherwise hold down the whole fleet when it returns.
	flaps     int
	flapAt    time.Time
	holdUntil time.Time
	sent      int // transmissions of the current update
	queued    bool
	// announce says that receivers may lack the addresses.
	announce bool
}

type probe struct {
	target fleet.InstanceID
	at     time.Time
}

type relay struct {
	to     string
	nonce  uint64
	target fleet.InstanceID
	at     time.Time
}

type candidate struct {
	id     fleet.InstanceID
	info   Info
	tries  int
	next   time.Time
	listed bool
}

// Detector is the failure detector of one instance. It is not safe for
// concurrent use; the owner serialises all calls.
type Detector struct {
	start time.Time
	rng   *rand.Rand

	self    *record
	version uint64

	records map[fleet.InstanceID]*record
	live    []*record // with self, ordered by ID
	dead    []*record
	cands   map[fleet.InstanceID]*candidate
	waiting []*candidate // values of cands in the order of their next probe
	queue   []*record    // updates with transmissions left

	probes map[uint64]probe
	relays map[uint64]relay

	ringNonce  uint64 // 0 when the probe of this period was answered
	ringTarget fleet.InstanceID
	ringTries  int
	nextPeriod time.Time
	lastTick   time.Time
	ticks      int
	deadCursor int
	fillCursor int
	suspects   int

	gossipTokens float64
	announceLeft int // gossip rounds left for a new version
	lastAck      time.Time
	resumedAt    time.Time

	view     *View
	dirty    bool
	nextHold time.Time
	out      []Outgoing
	stats    Stats
}

// Stats counts decisions since the start.
type Stats struct{ Suspected, Removed, Refuted, LocalPauses int64 }

// New returns the machine of an instance that starts now. self.Incarnation
// must be the process start time in Unix ms.
func New(self Member, now time.Time, seed uint64) *Detector {
	m := &Detector{
		start: now, rng: rand.New(rand.NewPCG(seed, 1)),
		records: map[fleet.InstanceID]*record{}, cands: map[fleet.InstanceID]*candidate{},
		probes: map[uint64]probe{}, relays: map[uint64]relay{},
		lastTick: now, gossipTokens: gossipBurst, dirty: true,
	}
	m.self = &record{Update: Update{
		ID: self.ID, Incarnation: self.Incarnation, Full: true, Info: Info{
			DataCentre: self.DataCentre, Region: self.Region,
			Caller: self.Caller, Admin: self.Admin, Peer: self.Peer, Datagram: self.Datagram,
		},
	}}
	m.records[self.ID] = m.self
	m.live = []*record{m.self}
	m.nextPeriod = now.Add(time.Duration(m.rng.Int64N(int64(Period))))
	m.rebuild(now)
	return m
}

// SelfBytes is the size of the instance's own record; it must not exceed
// MaxSelfBytes.
func (m *Detector) SelfBytes() int { return m.self.WireBytes() }

// View returns the live instances. It changes only in Tick.
func (m *Detector) View() *View { return m.view }

// Stats returns the counters.
func (m *Detector) Stats() Stats { return m.stats }

// LastAck is when another instance last answered a probe.
func (m *Detector) LastAck() time.Time { return m.lastAck }

// TakeOutgoing returns the datagrams to send and forgets them.
func (m *Detector) TakeOutgoing() []Outgoing {
	out := m.out
	m.out = nil
	return out
}

// SetVersion states the configuration version in force and announces it.
func (m *Detector) SetVersion(v uint64) {
	if v > m.version {
		m.version = v
		m.announceLeft = versionRounds
	}
}

// SetLeaving announces that this instance is in a planned stop.
func (m *Detector) SetLeaving() {
	if !m.self.Leaving {
		m.self.Leaving = true
		m.self.Incarnation++
		m.enqueue(m.self)
		m.dirty = true
	}
}

// Tick advances time. It must be called each TickInterval.
func (m *Detector) Tick(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap > pauseLimit {
		m.onPause(now, gap)
	}
	m.ticks++
	m.stepProbe(now)
	m.stepSuspicions(now)
	m.stepCandidates(now)
	m.stepGossip(gap)
	if m.ticks%20 == 0 {
		m.expire(now)
	}
	if m.dirty || !m.nextHold.IsZero() && !now.Before(m.nextHold) {
		m.rebuild(now)
	}
}

// onPause handles a gap in this instance's own time.
func (m *Detector) onPause(now time.Time, gap time.Duration) {
	m.stats.LocalPauses++
	m.ringNonce = 0
	clear(m.probes)
	clear(m.relays)
	m.nextPeriod = now
	m.self.Incarnation++
	m.enqueue(m.self)
	for _, r := range m.live {
		if r.State == Suspect {
			r.since, r.checks = now, 0
		}
	}
	if gap > MaxViewDivergence {
		m.resumedAt = now
		m.forget(now)
	}
}

// forget rebuilds the view after a long pause, in which this instance missed
// deaths that the others will not announce again. It drops all records and probes their instances as candidates.
func (m *Detector) forget(now time.Time) {
	for _, r := range m.live {
		if r != m.self {
			m.addCandidate(r.ID, r.Info, now, false)
		}
	}
	m.start = now
	m.records = map[fleet.InstanceID]*record{m.self.ID: m.self}
	m.live, m.dead = []*record{m.self}, nil
	m.queue, m.suspects = nil, 0
	m.self.queued = false
	m.enqueue(m.self)
	m.dirty = true
}

func (m *Detector) nonce() uint64 {
	for {
		if n := m.rng.Uint64(); n != 0 {
			return n
		}
	}
}

func (m *Detector) rebuild(now time.Time) {
	v := &View{ChangedAt: now, ResumedAt: m.resumedAt, Members: make([]Member, len(m.live))}
	m.nextHold = time.Time{}
	for i, r := range m.live {
		leaving := r.Leaving || r.listLeaving
		held := now.Before(r.holdUntil)
		if held && (m.nextHold.IsZero() || r.holdUntil.Before(m.nextHold)) {
			m.nextHold = r.holdUntil
		}
		v.Members[i] = Member{
			ID: r.ID, DataCentre: r.Info.DataCentre, Region: r.Info.Region,
			Caller: r.Info.Caller, Admin: r.Info.Admin, Peer: r.Info.Peer, Datagram: r.Info.Datagram,
			Incarnation: r.Incarnation, Leaving: leaving, Eligible: !leaving && !held,
		}
	}
	m.view, m.dirty = v, false
}

// position returns the index of id in the ordered live list.
func (m *Detector) position(id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(m.live, id, func(r *record, id fleet.InstanceID) int { return cmp.Compare(r.ID, id) })
}
