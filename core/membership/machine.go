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
	// ProbePeriod is the time between two regular probes.
	ProbePeriod = 300 * time.Millisecond
	// SuspicionTimeout is how long a suspect may refute.
	SuspicionTimeout = 1200 * time.Millisecond
	// MaxPacketAge bounds the age of an accepted packet and the clock
	// difference of two instances.
	MaxPacketAge = 30 * time.Second
	// tombstoneTTL is how long a dead mark is kept; it is far above
	// PacketWindow, so that no accepted packet is older than its dead mark.
	tombstoneTTL = 10 * time.Minute
	// pauseThreshold is the gap between two ticks that counts as an own pause.
	// Timers that ran out during a pause say nothing about other instances.
	pauseThreshold = time.Second
)

const (
	// directAttempts at one tick each: with 10% loss, three tries and three
	// indirect probes all fail for 3 in 10,000 probes of a live instance.
	directAttempts = 3
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
	since           time.Time
	suspectedHere   bool // this instance's own probe failed
	suspicionProbes int  // probes sent during the suspicion
	// flaps counts returns from the dead until flapMemory after flapAt. It is
	// this instance's own judgement and is not sent: one instance that was cut
	// off would otherwise hold down the whole fleet when it returns.
	flaps         int
	flapAt        time.Time
	holdDownUntil time.Time
	sent          int // transmissions of the current update
	queued        bool
	// announceInfo says that receivers may lack the addresses.
	announceInfo bool
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
	id       fleet.InstanceID
	info     Info
	attempts int
	next     time.Time
	listed   bool
}

// Detector is the failure detector of one instance. It is not safe for
// concurrent use; the owner serialises all calls.
type Detector struct {
	start time.Time
	rng   *rand.Rand

	self    *record
	version uint64

	records        map[fleet.InstanceID]*record
	live           []*record // with self, ordered by ID
	dead           []*record
	candidates     map[fleet.InstanceID]*candidate
	candidateQueue []*candidate // values of cands in the order of their next probe
	queue          []*record    // updates with transmissions left

	probes map[uint64]probe
	relays map[uint64]relay

	ringNonce    uint64 // 0 when the probe of this period was answered
	ringTarget   fleet.InstanceID
	ringAttempts int
	nextPeriod   time.Time
	lastTick     time.Time
	ticks        int
	deadCursor   int
	fillCursor   int
	suspectCount int

	gossipTokens       float64
	announceRoundsLeft int // gossip rounds left for a new version
	lastAckAt          time.Time
	resumedAt          time.Time

	view            *View
	viewDirty       bool
	nextHoldDownEnd time.Time
	out             []Outgoing
	stats           Stats
}

// Stats counts decisions since the start.
type Stats struct{ Suspected, Removed, Refuted, LocalPauses int64 }

// New returns the machine of an instance that starts now. self.Incarnation
// must be the process start time in Unix ms.
func New(self Member, now time.Time, seed uint64) *Detector {
	m := &Detector{
		start: now, rng: rand.New(rand.NewPCG(seed, 1)),
		records: map[fleet.InstanceID]*record{}, candidates: map[fleet.InstanceID]*candidate{},
		probes: map[uint64]probe{}, relays: map[uint64]relay{},
		lastTick: now, gossipTokens: gossipBurstDatagrams, viewDirty: true,
	}
	m.self = &record{Update: Update{
		ID: self.ID, Incarnation: self.Incarnation, Full: true, Info: Info{
			DataCentre: self.DataCentre, Region: self.Region,
			Caller: self.Caller, Admin: self.Admin, Peer: self.Peer, Datagram: self.Datagram,
		},
	}}
	m.records[self.ID] = m.self
	m.live = []*record{m.self}
	m.nextPeriod = now.Add(time.Duration(m.rng.Int64N(int64(ProbePeriod))))
	m.rebuildView(now)
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
func (m *Detector) LastAck() time.Time { return m.lastAckAt }

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
		m.announceRoundsLeft = versionAnnounceRounds
	}
}

// SetLeaving announces that this instance is in a planned stop.
func (m *Detector) SetLeaving() {
	if !m.self.Leaving {
		m.self.Leaving = true
		m.self.Incarnation++
		m.enqueue(m.self)
		m.viewDirty = true
	}
}

// Tick advances time. It must be called each TickInterval.
func (m *Detector) Tick(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap > pauseThreshold {
		m.handlePause(now, gap)
	}
	m.ticks++
	m.stepProbe(now)
	m.stepSuspicions(now)
	m.stepCandidates(now)
	m.stepGossip(gap)
	if m.ticks%20 == 0 {
		m.expire(now)
	}
	if m.viewDirty || !m.nextHoldDownEnd.IsZero() && !now.Before(m.nextHoldDownEnd) {
		m.rebuildView(now)
	}
}

// handlePause handles a gap in this instance's own time.
func (m *Detector) handlePause(now time.Time, gap time.Duration) {
	m.stats.LocalPauses++
	m.ringNonce = 0
	clear(m.probes)
	clear(m.relays)
	m.nextPeriod = now
	m.self.Incarnation++
	m.enqueue(m.self)
	for _, r := range m.live {
		if r.State == Suspect {
			r.since, r.suspicionProbes = now, 0
		}
	}
	if gap > MaxViewDivergence {
		m.resumedAt = now
		m.resetView(now)
	}
}

// resetView rebuilds the view after a long pause, in which this instance missed
// deaths that the others will not announce again. It drops all records and probes their instances as candidates.
func (m *Detector) resetView(now time.Time) {
	for _, r := range m.live {
		if r != m.self {
			m.addCandidate(r.ID, r.Info, now, false)
		}
	}
	m.start = now
	m.records = map[fleet.InstanceID]*record{m.self.ID: m.self}
	m.live, m.dead = []*record{m.self}, nil
	m.queue, m.suspectCount = nil, 0
	m.self.queued = false
	m.enqueue(m.self)
	m.viewDirty = true
}

func (m *Detector) nonce() uint64 {
	for {
		if n := m.rng.Uint64(); n != 0 {
			return n
		}
	}
}

func (m *Detector) rebuildView(now time.Time) {
	v := &View{ChangedAt: now, ResumedAt: m.resumedAt, Members: make([]Member, len(m.live))}
	m.nextHoldDownEnd = time.Time{}
	for i, r := range m.live {
		leaving := r.Leaving || r.listLeaving
		held := now.Before(r.holdDownUntil)
		if held && (m.nextHoldDownEnd.IsZero() || r.holdDownUntil.Before(m.nextHoldDownEnd)) {
			m.nextHoldDownEnd = r.holdDownUntil
		}
		v.Members[i] = Member{
			ID: r.ID, DataCentre: r.Info.DataCentre, Region: r.Info.Region,
			Caller: r.Info.Caller, Admin: r.Info.Admin, Peer: r.Info.Peer, Datagram: r.Info.Datagram,
			Incarnation: r.Incarnation, Leaving: leaving, Eligible: !leaving && !held,
		}
	}
	m.view, m.viewDirty = v, false
}

// position returns the index of id in the ordered live list.
func (m *Detector) position(id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(m.live, id, func(r *record, id fleet.InstanceID) int { return cmp.Compare(r.ID, id) })
}
