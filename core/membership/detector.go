package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// Timing of the failure detector. A crash is known everywhere after at most two periods
// until the next probe, one period for its retries, the suspicion timeout and about 0.6 s
// of gossip: 2.7 s, below the bound of 3 s.
const (
	// TickInterval is how often Tick must be called.
	TickInterval = 50 * time.Millisecond
	// ProbePeriod is the time between two regular probes.
	ProbePeriod = 300 * time.Millisecond
	// SuspicionTimeout is the time in which a suspect can refute the suspicion.
	SuspicionTimeout = 1200 * time.Millisecond
	// MaxPacketAge bounds the age of an accepted packet and the clock skew between two
	// instances.
	MaxPacketAge = 30 * time.Second
	// tombstoneTTL is how long the record of a dead instance is kept. It is far above
	// MaxPacketAge, so that no accepted packet is older than the record.
	tombstoneTTL = 10 * time.Minute
	// pauseThreshold is the gap between two ticks from which this process counts as
	// paused. Timeouts that expire during a pause say nothing about other instances.
	pauseThreshold = time.Second
)

const (
	// directAttempts is the number of direct probes, sent one per tick. With 10% loss, three
	// direct and three indirect probes all fail for 3 in 10,000 probes of a live
	// instance.
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

// record is the state of one instance, which may be this one.
type record struct {
	Update
	listLeaving bool
	// since is when State was entered.
	since           time.Time
	suspectedHere   bool // the suspicion started with a failed probe by this instance
	suspicionProbes int  // probes sent since the suspicion began
	// flaps counts returns from the dead until flapWindow after flapAt. It is
	// local and not gossiped: otherwise an instance that was cut off would put the whole
	// fleet into hold-down when it returns.
	flaps         int
	flapAt        time.Time
	holdDownUntil time.Time
	sent          int // transmissions of the current update
	queued        bool
	// announceInfo is set while receivers may not have the addresses yet.
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

// Detector is the failure detector of one instance. It is not safe for concurrent use; the
// caller serialises all calls.
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

	ringNonce    uint64 // 0 once the probe of this period has been answered
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

// Stats counts events since the start.
type Stats struct{ Suspected, Removed, Refuted, LocalPauses int64 }

// New returns the detector of an instance that starts now. self.Incarnation
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

// SelfBytes returns the wire size of the instance's own record, which must not exceed
// MaxSelfBytes.
func (m *Detector) SelfBytes() int { return m.self.WireBytes() }

// View returns the live instances. It changes only in Tick.
func (m *Detector) View() *View { return m.view }

// Stats returns the counters.
func (m *Detector) Stats() Stats { return m.stats }

// LastAck returns when another instance last answered a probe.
func (m *Detector) LastAck() time.Time { return m.lastAckAt }

// TakeOutgoing returns the datagrams to send and clears the queue.
func (m *Detector) TakeOutgoing() []Outgoing {
	out := m.out
	m.out = nil
	return out
}

// SetVersion sets the configuration version in force and announces it if it is newer.
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

// Tick runs the periodic work. It must be called once per TickInterval.
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

// handlePause discards timers and open probes after this process was paused. A new
// incarnation overrides suspicions that arose during the pause.
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

// resetView discards all records after a long pause, since the deaths that this instance
// missed are not announced again, and probes the instances as candidates.
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
