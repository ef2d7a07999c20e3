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
	// near are what the instances of this data centre told since the last round, far
	// those of others.
	near, far news
}

// news is what instances told since the last round.
type news struct {
	placed     []from[placement.Placed]
	suspicions []from[placement.Suspicion]
}

// from is something that an instance told.
type from[T any] struct {
	id   fleet.InstanceID
	what T
}

func newRelay(r *roster.Roster, b *placement.Board, dc fleet.DataCentreID, incarnation uint64) *relay {
	return &relay{roster: r, board: b, dc: dc, incarnation: incarnation}
}

// digests are what a relay hands on in one round.
type digests struct {
	relay     *relay
	near, far news
	totals    map[fleet.ServerID]placement.Load
	locals    map[fleet.ServerID]placement.Load
}

// round sends the reports of one round: own is this instance's, without what depends on
// the receiver.
func (y *relay) round(now time.Time, plan *roster.Plan, own gossip.Report, send func(roster.Target, gossip.Report)) {
	d := y.begin(now, plan)
	to := func(t roster.Target, r gossip.Report) {
		r.Holds, r.Spare = y.roster.Holds(t.ID), y.roster.IsSpare(now, t.ID)
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
	y.mu.Lock()
	d := digests{relay: y, near: y.near, far: y.far}
	y.near, y.far = news{}, news{}
	began := plan.Relaying && !y.relaying
	y.relaying = plan.Relaying
	y.peers = y.peers[:0]
	for _, t := range slices.Concat(plan.Relays, plan.Remote) {
		y.peers = append(y.peers, t.ID)
	}
	y.mu.Unlock()
	if began {
		// Its members report to this instance from now on.
		y.board.SetPeer(wholeFleet, now, nil)
	}
	if len(plan.Members)+len(plan.Remote) > 0 {
		d.totals = y.board.Totals()
	}
	return d
}

// whole returns the digest of the whole fleet for an instance of this data centre.
func (d *digests) whole(to roster.Target) *gossip.Digest {
	y := d.relay
	out := &gossip.Digest{Members: y.roster.Digest(to.ID, y.incarnation, "")}
	if !to.Spare {
		out.Loads = minus(d.totals, y.board.PeerLoads(to.ID))
		d.near.appendTo(out, to.ID)
		d.far.appendTo(out, to.ID)
	}
	return out
}

// local returns the digest of this data centre for a relay of another one.
func (d *digests) local(to roster.Target) *gossip.Digest {
	y := d.relay
	out := &gossip.Digest{Members: y.roster.Digest(to.ID, y.incarnation, y.dc)}
	if to.Spare {
		return out
	}
	if d.locals == nil {
		d.locals = minus(d.totals, y.board.PeerLoadsOf(isElsewhere))
	}
	out.Loads = d.locals
	d.near.appendTo(out, to.ID)
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
	if relaying && near || !y.roster.IsLarge() {
		// In a large fleet others learn of this work from their relays.
		y.board.SetPeer(r.From.ID, now, r.Loads)
	}
	counts := false
	if r.Digest != nil {
		y.roster.Told(now, r.From.ID, y.dc, r.Digest.Members)
		source, ok := y.roster.Source(now, r.From.DataCentre)
		counts = ok && source == r.From.ID
	}
	y.learn(now, r.From.ID, relaying && (near || counts), near, r.Placed, r.Suspicions)
	if !counts {
		return
	}
	switch {
	case !near && relaying:
		y.board.SetPeer(otherDataCentre+fleet.InstanceID(r.From.DataCentre), now, r.Digest.Loads)
	case near && !relaying:
		y.board.SetPeer(wholeFleet, now, r.Digest.Loads)
	case near:
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
func (y *relay) learn(now time.Time, id fleet.InstanceID, keep, near bool, placed []placement.Placed, suspicions []placement.Suspicion) {
	y.board.PeerSuspects(now, suspicions)
	for _, p := range placed {
		y.board.PeerPlaced(p.Server, p.Parts)
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
			n.placed = append(n.placed, from[placement.Placed]{id, p})
		}
	}
	for _, s := range suspicions {
		if len(n.suspicions) < maxSuspicions {
			n.suspicions = append(n.suspicions, from[placement.Suspicion]{id, s})
		}
	}
}
