package edge

import (
	"slices"
	"strings"
	"sync"
	"time"

	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/roster"
)

// Names under which the board keeps what relays report of many instances. No instance
// can have them: ids hold no slash.
const (
	wholeFleet       fleet.InstanceID = "/fleet"
	dataCentrePrefix fleet.InstanceID = "/data-centre/"
)

// Bounds of what a digest hands on of other instances' news: with the largest list of
// members and the loads of 600 servers it has to fit into a datagram of 64 KB.
const (
	maxDigestPlacements = 400
	maxDigestSuspicions = 200
)

// warmTime is how long a new relay hears reports before its loads count, if another one
// knows them: some rounds of all members and of the relays of other data centres.
const (
	warmupTime = time.Second
	// warmupTimeAlone is the same while no other relay of the data centre knows the loads.
	warmupTimeAlone = 500 * time.Millisecond
	// maxWarmupTime bounds the wait for the relays of other data centres.
	maxWarmupTime = 2500 * time.Millisecond
)

// relay takes the reports of peers into the board and makes the digests with which this
// instance reports for others in larger fleets.
type relay struct {
	roster      *roster.Roster
	board       *placement.Board
	dc          fleet.DataCentreID
	incarnation uint64

	mu sync.Mutex
	// relaying says that this instance is a relay; peers are then the other ones.
	relaying bool
	peers    []fleet.InstanceID
	// roleStart is when the role began. Until enough has been heard since, the loads of
	// another relay count and held are those that this one was told; nil later.
	roleStart   time.Time
	warmupLoads map[fleet.InstanceID]map[fleet.ServerID]placement.Load
	// roleEnded says that the role ended and the next digest replaces the loads known from it.
	roleEnded bool
	// fleetLoadsHeard says that another relay has told the loads of the fleet. At the start of the
	// whole fleet there is none to wait for.
	fleetLoadsHeard bool
	// local are what the instances of this data centre told since the last round, far
	// those of others.
	local, remote pendingItems
}

// pendingItems is what instances told since the last round.
type pendingItems struct {
	placed     []reported[placement.Placed]
	suspicions []reported[placement.Suspicion]
}

// reported is something that an instance told.
type reported[T any] struct {
	sender fleet.InstanceID
	item   T
}

func newRelay(r *roster.Roster, b *placement.Board, dc fleet.DataCentreID, incarnation uint64) *relay {
	return &relay{roster: r, board: b, dc: dc, incarnation: incarnation}
}

// roundDigests are what a relay hands on in one round.
type roundDigests struct {
	relay         *relay
	local, remote pendingItems
	// partial says that the loads are not known.
	partial         bool
	totals          map[fleet.ServerID]placement.Load
	dataCentreLoads map[fleet.ServerID]placement.Load
}

// sendRound sends the reports of one round: own is this instance's, without what depends on
// the receiver.
func (rl *relay) sendRound(now time.Time, plan *roster.Plan, own gossip.Report, send func(roster.Target, gossip.Report)) {
	d := rl.beginRound(now, plan)
	to := func(t roster.Target, r gossip.Report) {
		r.Holds, r.Spare = rl.roster.Holds(t.ID), rl.roster.IsSpare(now, t.ID)
		send(t, r)
	}
	for _, t := range plan.All {
		to(t, own)
	}
	for _, t := range plan.Relays {
		r := own
		r.Wants = true
		to(t, r)
	}
	for _, t := range plan.Members {
		r := own
		if plan.IsRelay(t.ID) {
			r.Placed, r.Suspicions = nil, nil // sent above
		}
		r.Digest = d.fleetDigest(t)
		to(t, r)
	}
	for _, t := range plan.Remote {
		r := own
		r.Digest = d.dataCentreDigest(t)
		to(t, r)
	}
}

// beginRound takes the news for a round and notes this instance's role.
func (rl *relay) beginRound(now time.Time, plan *roster.Plan) roundDigests {
	_, other := rl.roster.Source(now, rl.dc)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	d := roundDigests{relay: rl, local: rl.local, remote: rl.remote}
	rl.local, rl.remote = pendingItems{}, pendingItems{}
	rl.peers = rl.peers[:0]
	for _, t := range slices.Concat(plan.Relays, plan.Remote) {
		rl.peers = append(rl.peers, t.ID)
	}
	switch {
	case plan.Relaying && !rl.relaying:
		rl.roleStart, rl.warmupLoads = now, map[fleet.InstanceID]map[fleet.ServerID]placement.Load{}
	case rl.relaying && !plan.Relaying:
		rl.warmupLoads, rl.roleEnded = nil, true
	}
	rl.relaying = plan.Relaying
	if rl.warmupLoads != nil && rl.hasWarmedUp(now, other) {
		rl.finishWarmup(now)
	}
	d.partial = !rl.relaying || rl.warmupLoads != nil
	if !d.partial && len(plan.Members)+len(plan.Remote) > 0 {
		d.totals = rl.board.Totals()
	}
	return d
}

// hasWarmedUp reports whether enough has been heard since the role began. other says that
// another relay of the data centre knows the loads. The caller holds the lock.
func (rl *relay) hasWarmedUp(now time.Time, other bool) bool {
	age := now.Sub(rl.roleStart)
	switch {
	case age >= maxWarmupTime:
		return true
	case other:
		return age >= warmupTime && rl.heardAllDataCentres(now)
	case rl.fleetLoadsHeard:
		return age >= warmupTimeAlone && rl.heardAllDataCentres(now)
	}
	return age >= warmupTimeAlone
}

// heardAllDataCentres reports whether a relay of each other data centre has told its loads. The
// caller holds the lock.
func (rl *relay) heardAllDataCentres(now time.Time) bool {
	for _, p := range rl.roster.Live(now) {
		if p.DataCentre == rl.dc {
			continue
		}
		if _, ok := rl.warmupLoads[dataCentrePrefix+fleet.InstanceID(p.DataCentre)]; !ok {
			return false
		}
	}
	return true
}

// finishWarmup replaces what another relay told by what this one was told. The caller holds the
// lock.
func (rl *relay) finishWarmup(now time.Time) {
	rl.board.KeepPeer("")
	for id, loads := range rl.warmupLoads {
		rl.board.SetPeer(id, now, loads)
	}
	rl.warmupLoads, rl.roleEnded = nil, false
}

// setPeerLoads takes the loads of an instance, or of a data centre, as a relay.
func (rl *relay) setPeerLoads(now time.Time, id fleet.InstanceID, loads map[fleet.ServerID]placement.Load) {
	rl.mu.Lock()
	warmingUp := rl.warmupLoads != nil
	if warmingUp {
		rl.warmupLoads[id] = loads
	}
	rl.mu.Unlock()
	if !warmingUp {
		rl.board.SetPeer(id, now, loads)
	}
}

// setFleetLoads takes the loads of the whole fleet from another relay, unless this one knows
// them better.
func (rl *relay) setFleetLoads(now time.Time, loads map[fleet.ServerID]placement.Load) {
	rl.mu.Lock()
	knowsLoads := rl.relaying && rl.warmupLoads == nil
	roleEnded := rl.roleEnded
	rl.roleEnded = roleEnded && knowsLoads
	rl.fleetLoadsHeard = true
	rl.mu.Unlock()
	if knowsLoads {
		return
	}
	if roleEnded {
		rl.board.KeepPeer("")
	}
	rl.board.SetPeer(wholeFleet, now, loads)
}

// isWarmingUp reports whether the loads of another relay still count here.
func (rl *relay) isWarmingUp() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.warmupLoads != nil
}

// fleetDigest returns the digest of the whole fleet for an instance of this data centre.
func (d *roundDigests) fleetDigest(to roster.Target) *gossip.Digest {
	rl := d.relay
	out := d.memberDigest(to, "")
	if !out.WithoutLoads {
		out.Loads = subtractLoads(d.totals, rl.board.PeerLoads(to.ID))
	}
	if !to.Spare {
		d.local.appendTo(out, to.ID)
		d.remote.appendTo(out, to.ID)
	}
	return out
}

// dataCentreDigest returns the digest of this data centre for a relay of another one.
func (d *roundDigests) dataCentreDigest(to roster.Target) *gossip.Digest {
	rl := d.relay
	out := d.memberDigest(to, rl.dc)
	if !out.WithoutLoads {
		if d.dataCentreLoads == nil {
			d.dataCentreLoads = subtractLoads(d.totals, rl.board.PeerLoadsOf(isDataCentreEntry))
		}
		out.Loads = d.dataCentreLoads
	}
	if !to.Spare {
		d.local.appendTo(out, to.ID)
	}
	return out
}

// memberDigest returns a digest of members, of one data centre with only.
func (d *roundDigests) memberDigest(to roster.Target, only fleet.DataCentreID) *gossip.Digest {
	out := &gossip.Digest{Members: d.relay.roster.Digest(to.ID, d.relay.incarnation, only), WithoutLoads: to.Spare || d.partial}
	out.Members.Partial = d.partial
	return out
}

func isDataCentreEntry(id fleet.InstanceID) bool {
	return strings.HasPrefix(string(id), string(dataCentrePrefix))
}

// appendTo adds what others than the receiver told.
func (n *pendingItems) appendTo(out *gossip.Digest, to fleet.InstanceID) {
	for _, p := range n.placed {
		if p.sender != to && len(out.Placed) < maxDigestPlacements {
			out.Placed = append(out.Placed, p.item)
		}
	}
	for _, s := range n.suspicions {
		if s.sender != to && len(out.Suspicions) < maxDigestSuspicions {
			out.Suspicions = append(out.Suspicions, s.item)
		}
	}
}

// subtractLoads returns the loads less those of some instances.
func subtractLoads(loads, less map[fleet.ServerID]placement.Load) map[fleet.ServerID]placement.Load {
	out := make(map[fleet.ServerID]placement.Load, len(loads))
	for id, l := range loads {
		x := less[id]
		l.Running, l.Unread = max(0, l.Running-x.Running), max(0, l.Unread-x.Unread)
		if l != (placement.Load{}) {
			out[id] = l
		}
	}
	return out
}

// applyReport takes the report of a peer that has just been heard.
func (rl *relay) applyReport(now time.Time, r *gossip.Report) {
	rl.mu.Lock()
	relaying := rl.relaying
	rl.mu.Unlock()
	local := r.From.DataCentre == rl.dc
	switch {
	case relaying && local:
		rl.setPeerLoads(now, r.From.ID, r.Loads)
	case !rl.roster.IsLarge():
		// In a large fleet others learn of this work from their relays.
		rl.board.SetPeer(r.From.ID, now, r.Loads)
	}
	fromSource := false
	if r.Digest != nil {
		rl.roster.Told(now, r.From.ID, rl.dc, r.Digest.Members)
		source, ok := rl.roster.Source(now, r.From.DataCentre)
		fromSource = ok && source == r.From.ID
	}
	rl.applyItems(now, r.From.ID, relaying && (local || fromSource), local, r.Placed, r.Suspicions)
	if r.Digest == nil {
		return
	}
	if fromSource && !r.Digest.WithoutLoads {
		switch {
		case !local && relaying:
			rl.setPeerLoads(now, dataCentrePrefix+fleet.InstanceID(r.From.DataCentre), r.Digest.Loads)
		case local:
			rl.setFleetLoads(now, r.Digest.Loads)
		}
	}
	if local && relaying && !rl.isWarmingUp() {
		return // its members report to this instance too
	}
	rl.applyItems(now, r.From.ID, !local && relaying, local, r.Digest.Placed, r.Digest.Suspicions)
}

// otherRelays returns the other relays, or nil when this instance is none.
func (rl *relay) otherRelays() []fleet.InstanceID {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !rl.relaying {
		return nil
	}
	return append([]fleet.InstanceID{}, rl.peers...)
}

// applyItems takes placements and suspicions and, as a relay, keeps them for the next round.
func (rl *relay) applyItems(now time.Time, id fleet.InstanceID, forward, local bool, placed []placement.Placed, suspicions []placement.Suspicion) {
	rl.board.PeerSuspects(now, suspicions)
	for _, p := range placed {
		rl.board.PeerPlaced(p.Server, p.Parts)
	}
	if !forward {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	n := &rl.remote
	if local {
		n = &rl.local
	}
	for _, p := range placed {
		if len(n.placed) < maxDigestPlacements {
			n.placed = append(n.placed, reported[placement.Placed]{id, p})
		}
	}
	for _, s := range suspicions {
		if len(n.suspicions) < maxDigestSuspicions {
			n.suspicions = append(n.suspicions, reported[placement.Suspicion]{id, s})
		}
	}
}
