package edge

import (
	"strings"
	"sync"
	"time"

	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/pacing"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/rollout"
	"cyclamenhitch/core/roster"
)

// Balancer keys for loads that relays report for many instances. They cannot collide with
// instance IDs, which contain no slash.
const (
	wholeFleet       fleet.InstanceID = "/fleet"
	dataCentrePrefix fleet.InstanceID = "/data-centre/"
)

// Limits of the forwarded items in a digest. Placements also have to fit into the rest of
// the datagram beside the member list and the loads.
const (
	maxDigestPlacements = 400
	maxDigestSuspicions = 200
	// maxReportParts limits the prompt parts in the placements of an instance's own report,
	// which has the loads of up to 600 servers besides.
	maxReportParts = 1000
	// maxPendingPlacements limits the placements that wait to be forwarded. After a restart
	// of the fleet these are the cache contents of all engines.
	maxPendingPlacements = 10_000
	// sizeMargin covers the fields of a report that depend on its receiver, in bytes.
	sizeMargin = 256
)

// A new relay collects reports during a warm-up before it uses its own sum of the loads.
const (
	// warmupTime is the minimum warm-up if another relay of the data centre knows the
	// loads: several rounds of all members and of the relays of other data centres.
	warmupTime = time.Second
	// warmupTimeAlone is the minimum if no other relay of the data centre knows the loads.
	warmupTimeAlone = 500 * time.Millisecond
	// maxWarmupTime limits the wait for the relays of other data centres.
	maxWarmupTime = 2500 * time.Millisecond
)

// relay applies the reports of peers to the board. In large fleets, where only some
// instances are relays, it also builds the digests that a relay sends for others.
type relay struct {
	roster *roster.Roster
	board  *placement.Balancer
	dc     fleet.DataCentreID
	// pacers takes the demand that peers report; nil unless the mechanism is on.
	pacers *pacers

	mu sync.Mutex
	// relaying is true while this instance is a relay.
	relaying bool
	// roleStart is when this instance became a relay. During the warm-up the board uses
	// the loads of another relay and warmup collects the reported ones; it is nil
	// afterwards.
	roleStart time.Time
	warmup    map[fleet.InstanceID]map[fleet.ServerID]placement.Load
	// roleEnded is true after the role has ended, until a digest replaces the loads that
	// were collected as a relay.
	roleEnded bool
	// fleetLoadsHeard is true once another relay has reported the loads of the fleet. When
	// the whole fleet starts at once, no relay knows them.
	fleetLoadsHeard bool
	// local are the items reported by instances of this data centre since the last round,
	// remote those of other data centres.
	local, remote pendingItems
	// rollouts is what the digests of the next round say on roll-outs. Only the goroutine that
	// sends reports uses it.
	rollouts rollout.Outgoing
}

func newRelay(r *roster.Roster, b *placement.Balancer, dc fleet.DataCentreID) *relay {
	return &relay{roster: r, board: b, dc: dc}
}

// roundDigests builds the digests of one round.
type roundDigests struct {
	relay         *relay
	incarnation   uint64 // as stated in the reports of the round
	local, remote pendingItems
	// partial is true if this instance does not know the loads of the fleet.
	partial         bool
	now             time.Time
	demand          roundDemand
	totals          map[fleet.ServerID]placement.Load
	dataCentreLoads map[fleet.ServerID]placement.Load
}

// sendRound sends the reports of one round. own is this instance's report without the
// fields that depend on the receiver.
func (rl *relay) sendRound(now time.Time, plan *roster.Plan, own gossip.Report, send func(roster.Target, gossip.Report)) {
	d := rl.beginRound(now, plan, &own)
	to := func(t roster.Target, r gossip.Report) {
		r.KnownIncarnation = rl.roster.KnownIncarnation(now, t.ID)
		r.HeldList, r.HasOtherLoadSource = rl.roster.HeldListVersion(t.ID), rl.roster.HasOtherLoadSource(now, t.ID)
		send(t, r)
	}
	for _, t := range plan.All {
		to(t, own)
	}
	for _, t := range plan.Outdated {
		r := own
		r.Placements, r.Suspicions, r.Rollouts = nil, nil, nil // relays pass them on
		to(t, r)
	}
	for _, t := range plan.Relays {
		r := own
		r.WantsDigest = true
		to(t, r)
	}
	for _, t := range plan.Members {
		r := own
		r.Rollouts = nil // relays got them above, the others take the verdict of the digest
		if plan.IsRelay(t.ID) {
			r.Placements, r.Suspicions = nil, nil // already sent with plan.Relays
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

// beginRound takes the pending items for a round and updates this instance's role.
func (rl *relay) beginRound(now time.Time, plan *roster.Plan, own *gossip.Report) roundDigests {
	_, other := rl.roster.LoadSource(now, rl.dc)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	d := roundDigests{relay: rl, incarnation: own.From.Incarnation, now: now}
	if len(rl.local.placed)+len(rl.remote.placed)+len(rl.local.suspicions)+len(rl.remote.suspicions) > 0 {
		d.local, d.remote = takeRound(&rl.local, &rl.remote, maxDigestPlacements, rl.roomForPlacements(own, d.fleetDemandSum()))
	}
	switch {
	case plan.Relaying && !rl.relaying:
		rl.roleStart, rl.warmup = now, map[fleet.InstanceID]map[fleet.ServerID]placement.Load{}
	case rl.relaying && !plan.Relaying:
		rl.warmup, rl.roleEnded = nil, true
	}
	rl.relaying = plan.Relaying
	if rl.warmup != nil && rl.hasWarmedUp(now, other) {
		rl.finishWarmup(now)
	}
	d.partial = !rl.relaying || rl.warmup != nil
	if !d.partial && len(plan.Members)+len(plan.Remote) > 0 {
		d.totals = rl.board.Totals()
	}
	return d
}

// roomForPlacements returns the bytes left in a datagram beside this instance's own report
// and the largest member list, loads, demand and suspicions of a digest. demand is that of the
// fleet. The caller holds mu.
func (rl *relay) roomForPlacements(own *gossip.Report, demand map[fleet.PoolID]pacing.Report) int {
	largest := *own
	digest := gossip.Digest{Members: rl.roster.Digest("", own.From.Incarnation, ""), Loads: rl.board.Totals(), Rollouts: ofDataCentre(rl.rollouts.Sums, rl.dc), Demand: demand}
	for _, n := range [...]*pendingItems{&rl.local, &rl.remote} {
		for _, s := range n.suspicions {
			digest.Suspicions = append(digest.Suspicions, s.item)
		}
	}
	digest.Suspicions = digest.Suspicions[:min(len(digest.Suspicions), maxDigestSuspicions)]
	largest.Digest = &digest
	return gossip.MaxReportBytes - gossip.Size(&largest) - sizeMargin
}

// hasWarmedUp reports whether the warm-up is complete. other is true if another relay of
// the data centre knows the loads. The caller holds mu.
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

// heardAllDataCentres reports whether the loads of each other data centre have been
// received since the role began. The caller holds mu.
func (rl *relay) heardAllDataCentres(now time.Time) bool {
	for _, p := range rl.roster.Live(now) {
		if p.DataCentre == rl.dc {
			continue
		}
		if _, ok := rl.warmup[dataCentrePrefix+fleet.InstanceID(p.DataCentre)]; !ok {
			return false
		}
	}
	return true
}

// finishWarmup replaces the loads from another relay with the collected ones. The caller
// holds mu.
func (rl *relay) finishWarmup(now time.Time) {
	rl.board.RetainOnlyPeer("")
	for id, loads := range rl.warmup {
		rl.board.SetPeerLoads(id, now, loads)
	}
	rl.warmup, rl.roleEnded = nil, false
}

// setPeerLoads sets the loads of an instance or of a data centre, as a relay.
func (rl *relay) setPeerLoads(now time.Time, id fleet.InstanceID, loads map[fleet.ServerID]placement.Load) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.warmup != nil {
		rl.warmup[id] = loads
		return
	}
	rl.board.SetPeerLoads(id, now, loads)
}

// setFleetLoads sets the loads of the whole fleet from another relay, unless this
// instance is a relay that has finished its warm-up.
func (rl *relay) setFleetLoads(now time.Time, loads map[fleet.ServerID]placement.Load) {
	// The end of a warm-up removes these loads, so that they must not arrive after it.
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.fleetLoadsHeard = true
	if rl.relaying && rl.warmup == nil {
		return
	}
	if rl.roleEnded {
		rl.board.RetainOnlyPeer("")
	}
	rl.roleEnded = false
	rl.board.SetPeerLoads(wholeFleet, now, loads)
}

// isWarmingUp reports whether this instance is a relay in its warm-up.
func (rl *relay) isWarmingUp() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.warmup != nil
}

// fleetDigest returns the digest of the whole fleet for an instance of this data centre.
func (d *roundDigests) fleetDigest(to roster.Target) *gossip.Digest {
	rl := d.relay
	out := d.memberDigest(to, "")
	out.Rollouts = rl.rollouts.Verdicts
	if !to.OmitLoads { // the receiver uses the digest of another relay
		out.Demand = d.fleetDemand(to.ID)
	}
	if !out.WithoutLoads {
		out.Loads = subtractLoads(d.totals, rl.board.PeerLoads(to.ID))
	}
	if !to.OmitLoads {
		d.local.appendTo(out, to.ID)
		d.remote.appendTo(out, to.ID)
	}
	return out
}

// dataCentreDigest returns the digest of this data centre for a relay of another one.
func (d *roundDigests) dataCentreDigest(to roster.Target) *gossip.Digest {
	rl := d.relay
	out := d.memberDigest(to, rl.dc)
	out.Rollouts = ofDataCentre(rl.rollouts.Sums, rl.dc)
	out.Demand = d.dataCentreDemand()
	if !out.WithoutLoads {
		if d.dataCentreLoads == nil {
			d.dataCentreLoads = subtractLoads(d.totals, rl.board.PeerLoadsOf(isDataCentreEntry))
		}
		out.Loads = d.dataCentreLoads
	}
	if !to.OmitLoads {
		d.local.appendTo(out, to.ID)
	}
	return out
}

// memberDigest returns a digest with members but no loads; only, unless empty, restricts
// the members to one data centre.
func (d *roundDigests) memberDigest(to roster.Target, only fleet.DataCentreID) *gossip.Digest {
	out := &gossip.Digest{Members: d.relay.roster.Digest(to.ID, d.incarnation, only), WithoutLoads: to.OmitLoads || d.partial}
	out.Members.LoadsUnknown = d.partial
	return out
}

func isDataCentreEntry(id fleet.InstanceID) bool {
	return strings.HasPrefix(string(id), string(dataCentrePrefix))
}

// appendTo adds the items that were not sent by the receiver.
func (n *pendingItems) appendTo(out *gossip.Digest, to fleet.InstanceID) {
	for _, p := range n.placed {
		if p.sender != to && len(out.Placements) < maxDigestPlacements {
			out.Placements = append(out.Placements, p.item)
		}
	}
	for _, s := range n.suspicions {
		if s.sender != to && len(out.Suspicions) < maxDigestSuspicions {
			out.Suspicions = append(out.Suspicions, s.item)
		}
	}
}

// subtractLoads returns loads minus less, without the entries that become zero.
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

// applyReport applies the report of a peer to the board and the roster.
func (rl *relay) applyReport(now time.Time, r *gossip.Report) {
	rl.mu.Lock()
	relaying := rl.relaying
	rl.mu.Unlock()
	local := r.From.DataCentre == rl.dc
	switch {
	case relaying && local:
		rl.setPeerLoads(now, r.From.ID, r.Loads)
	case !rl.roster.IsLarge():
		// In a large fleet these loads reach the other instances through relays.
		rl.board.SetPeerLoads(r.From.ID, now, r.Loads)
	}
	fromSource := false
	if r.Digest != nil {
		rl.roster.ApplyDigest(now, r.From.ID, rl.dc, r.Digest.Members)
		source, ok := rl.roster.LoadSource(now, r.From.DataCentre)
		fromSource = ok && source == r.From.ID
	}
	rl.applyDemand(now, r, relaying, local, fromSource)
	rl.applyItems(now, r.From.ID, relaying && (local || fromSource), local, r.Placements, r.Suspicions)
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
		return // the relay's members also report to this instance directly
	}
	rl.applyItems(now, r.From.ID, !local && relaying, local, r.Digest.Placements, r.Digest.Suspicions)
}

// applyItems applies placements and suspicions to the board and, with forward, queues them
// for the next round.
func (rl *relay) applyItems(now time.Time, id fleet.InstanceID, forward, local bool, placed []placement.Placement, suspicions []placement.Suspicion) {
	rl.board.ApplyPeerSuspicions(now, suspicions)
	for _, p := range placed {
		rl.board.AddPeerPlacement(now, p.Server, p.Parts)
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
	n.add(id, placed, suspicions)
}
