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
	wholeFleet      fleet.InstanceID = "/fleet"
	otherDataCentre fleet.InstanceID = "/data-centre/"
)

// Bounds of what a digest hands on of other instances' news: with the largest list of
// members and the loads of 600 servers it has to fit into a datagram of 64 KB.
const (
	maxPlaced     = 400
	maxSuspicions = 200
)

// warmTime is how long a new relay hears reports before its loads count, if another one
// knows them: some rounds of all members and of the relays of other data centres.
const (
	warmTime = time.Second
	// warmAlone is the same while no other relay of the data centre knows the loads.
	warmAlone = 500 * time.Millisecond
	// warmMost bounds the wait for the relays of other data centres.
	warmMost = 2500 * time.Millisecond
)

// relay takes the reports of peers into the board and makes the digests with which this
// instance reports for others in larger fleets.
type relay struct {
	roster      *roster.Roster
	board       *placement.Balancer
	dc          fleet.DataCentreID
	incarnation uint64

	mu sync.Mutex
	// relaying says that this instance is a relay; peers are then the other ones.
	relaying bool
	peers    []fleet.InstanceID
	// began is when the role began. Until enough has been heard since, the loads of
	// another relay count and held are those that this one was told; nil later.
	began time.Time
	held  map[fleet.InstanceID]map[fleet.ServerID]placement.Load
	// ended says that the role ended and the next digest replaces the loads known from it.
	ended bool
	// knew says that another relay has told the loads of the fleet. At the start of the
	// whole fleet there is none to wait for.
	knew bool
	// near are what the instances of this data centre told since the last round, far
	// those of others.
	near, far news
}

// news is what instances told since the last round.
type news struct {
	placed     []from[placement.Placement]
	suspicions []from[placement.Suspicion]
}

// from is something that an instance told.
type from[T any] struct {
	id   fleet.InstanceID
	what T
}

func newRelay(r *roster.Roster, b *placement.Balancer, dc fleet.DataCentreID, incarnation uint64) *relay {
	return &relay{roster: r, board: b, dc: dc, incarnation: incarnation}
}

// digests are what a relay hands on in one round.
type digests struct {
	relay     *relay
	near, far news
	// partial says that the loads are not known.
	partial bool
	totals  map[fleet.ServerID]placement.Load
	locals  map[fleet.ServerID]placement.Load
}

// round sends the reports of one round: own is this instance's, without what depends on
// the receiver.
func (y *relay) round(now time.Time, plan *roster.Plan, own gossip.Report, send func(roster.Target, gossip.Report)) {
	d := y.begin(now, plan)
	to := func(t roster.Target, r gossip.Report) {
		r.Holds, r.Spare = y.roster.HeldListVersion(t.ID), y.roster.HasOtherLoadSource(now, t.ID)
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
		r.Digest = d.whole(t)
		to(t, r)
	}
	for _, t := range plan.Remote {
		r := own
		r.Digest = d.local(t)
		to(t, r)
	}
}

// begin takes the news for a round and notes this instance's role.
func (y *relay) begin(now time.Time, plan *roster.Plan) digests {
	_, other := y.roster.LoadSource(now, y.dc)
	y.mu.Lock()
	defer y.mu.Unlock()
	d := digests{relay: y, near: y.near, far: y.far}
	y.near, y.far = news{}, news{}
	y.peers = y.peers[:0]
	for _, t := range slices.Concat(plan.Relays, plan.Remote) {
		y.peers = append(y.peers, t.ID)
	}
	switch {
	case plan.Relaying && !y.relaying:
		y.began, y.held = now, map[fleet.InstanceID]map[fleet.ServerID]placement.Load{}
	case y.relaying && !plan.Relaying:
		y.held, y.ended = nil, true
	}
	y.relaying = plan.Relaying
	if y.held != nil && y.isWarm(now, other) {
		y.warm(now)
	}
	d.partial = !y.relaying || y.held != nil
	if !d.partial && len(plan.Members)+len(plan.Remote) > 0 {
		d.totals = y.board.Totals()
	}
	return d
}

// isWarm reports whether enough has been heard since the role began. other says that
// another relay of the data centre knows the loads. The caller holds the lock.
func (y *relay) isWarm(now time.Time, other bool) bool {
	age := now.Sub(y.began)
	switch {
	case age >= warmMost:
		return true
	case other:
		return age >= warmTime && y.heardAll(now)
	case y.knew:
		return age >= warmAlone && y.heardAll(now)
	}
	return age >= warmAlone
}

// heardAll reports whether a relay of each other data centre has told its loads. The
// caller holds the lock.
func (y *relay) heardAll(now time.Time) bool {
	for _, p := range y.roster.Live(now) {
		if p.DataCentre == y.dc {
			continue
		}
		if _, ok := y.held[otherDataCentre+fleet.InstanceID(p.DataCentre)]; !ok {
			return false
		}
	}
	return true
}

// warm replaces what another relay told by what this one was told. The caller holds the
// lock.
func (y *relay) warm(now time.Time) {
	y.board.RetainOnlyPeer("")
	for id, loads := range y.held {
		y.board.SetPeerLoads(id, now, loads)
	}
	y.held, y.ended = nil, false
}

// setPeer takes the loads of an instance, or of a data centre, as a relay.
func (y *relay) setPeer(now time.Time, id fleet.InstanceID, loads map[fleet.ServerID]placement.Load) {
	y.mu.Lock()
	held := y.held != nil
	if held {
		y.held[id] = loads
	}
	y.mu.Unlock()
	if !held {
		y.board.SetPeerLoads(id, now, loads)
	}
}

// setFleet takes the loads of the whole fleet from another relay, unless this one knows
// them better.
func (y *relay) setFleet(now time.Time, loads map[fleet.ServerID]placement.Load) {
	y.mu.Lock()
	known := y.relaying && y.held == nil
	ended := y.ended
	y.ended = ended && known
	y.knew = true
	y.mu.Unlock()
	if known {
		return
	}
	if ended {
		y.board.RetainOnlyPeer("")
	}
	y.board.SetPeerLoads(wholeFleet, now, loads)
}

// isWarming reports whether the loads of another relay still count here.
func (y *relay) isWarming() bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.held != nil
}

// whole returns the digest of the whole fleet for an instance of this data centre.
func (d *digests) whole(to roster.Target) *gossip.Digest {
	y := d.relay
	out := d.empty(to, "")
	if !out.WithoutLoads {
		out.Loads = minus(d.totals, y.board.PeerLoads(to.ID))
	}
	if !to.OmitLoads {
		d.near.appendTo(out, to.ID)
		d.far.appendTo(out, to.ID)
	}
	return out
}

// local returns the digest of this data centre for a relay of another one.
func (d *digests) local(to roster.Target) *gossip.Digest {
	y := d.relay
	out := d.empty(to, y.dc)
	if !out.WithoutLoads {
		if d.locals == nil {
			d.locals = minus(d.totals, y.board.PeerLoadsOf(isElsewhere))
		}
		out.Loads = d.locals
	}
	if !to.OmitLoads {
		d.near.appendTo(out, to.ID)
	}
	return out
}

// empty returns a digest of members, of one data centre with only.
func (d *digests) empty(to roster.Target, only fleet.DataCentreID) *gossip.Digest {
	out := &gossip.Digest{Members: d.relay.roster.Digest(to.ID, d.relay.incarnation, only), WithoutLoads: to.OmitLoads || d.partial}
	out.Members.LoadsUnknown = d.partial
	return out
}

func isElsewhere(id fleet.InstanceID) bool {
	return strings.HasPrefix(string(id), string(otherDataCentre))
}

// appendTo adds what others than the receiver told.
func (n *news) appendTo(out *gossip.Digest, to fleet.InstanceID) {
	for _, p := range n.placed {
		if p.id != to && len(out.Placed) < maxPlaced {
			out.Placed = append(out.Placed, p.what)
		}
	}
	for _, s := range n.suspicions {
		if s.id != to && len(out.Suspicions) < maxSuspicions {
			out.Suspicions = append(out.Suspicions, s.what)
		}
	}
}

// minus returns the loads less those of some instances.
func minus(loads, less map[fleet.ServerID]placement.Load) map[fleet.ServerID]placement.Load {
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

// take takes the report of a peer that has just been heard.
func (y *relay) take(now time.Time, r *gossip.Report) {
	y.mu.Lock()
	relaying := y.relaying
	y.mu.Unlock()
	near := r.From.DataCentre == y.dc
	switch {
	case relaying && near:
		y.setPeer(now, r.From.ID, r.Loads)
	case !y.roster.IsLarge():
		// In a large fleet others learn of this work from their relays.
		y.board.SetPeerLoads(r.From.ID, now, r.Loads)
	}
	counts := false
	if r.Digest != nil {
		y.roster.ApplyDigest(now, r.From.ID, y.dc, r.Digest.Members)
		source, ok := y.roster.LoadSource(now, r.From.DataCentre)
		counts = ok && source == r.From.ID
	}
	y.learn(now, r.From.ID, relaying && (near || counts), near, r.Placed, r.Suspicions)
	if r.Digest == nil {
		return
	}
	if counts && !r.Digest.WithoutLoads {
		switch {
		case !near && relaying:
			y.setPeer(now, otherDataCentre+fleet.InstanceID(r.From.DataCentre), r.Digest.Loads)
		case near:
			y.setFleet(now, r.Digest.Loads)
		}
	}
	if near && relaying && !y.isWarming() {
		return // its members report to this instance too
	}
	y.learn(now, r.From.ID, !near && relaying, near, r.Digest.Placed, r.Digest.Suspicions)
}

// others returns the other relays, or nil when this instance is none.
func (y *relay) others() []fleet.InstanceID {
	y.mu.Lock()
	defer y.mu.Unlock()
	if !y.relaying {
		return nil
	}
	return append([]fleet.InstanceID{}, y.peers...)
}

// learn takes placements and suspicions and, as a relay, keeps them for the next round.
func (y *relay) learn(now time.Time, id fleet.InstanceID, keep, near bool, placed []placement.Placement, suspicions []placement.Suspicion) {
	y.board.ApplyPeerSuspicions(now, suspicions)
	for _, p := range placed {
		y.board.AddPeerPlacement(p.Server, p.Parts)
	}
	if !keep {
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	n := &y.far
	if near {
		n = &y.near
	}
	for _, p := range placed {
		if len(n.placed) < maxPlaced {
			n.placed = append(n.placed, from[placement.Placement]{id, p})
		}
	}
	for _, s := range suspicions {
		if len(n.suspicions) < maxSuspicions {
			n.suspicions = append(n.suspicions, from[placement.Suspicion]{id, s})
		}
	}
}
