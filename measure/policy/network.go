package policy

import (
	"time"

	"cyclamenhitch/adapters/peer"
	"cyclamenhitch/adapters/peer/permitpb"
	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
	"cyclamenhitch/core/routing"

	"google.golang.org/protobuf/proto"
)

// network is the membership, routing view and admission table that instances on
// one side of a partition share.
type network struct {
	members         *membership.View
	view, prevView  *routing.View
	table, oldTable *admission.Table // of engines or parts
}

func (n *network) build(x, admissionIndex *manifest.Index, now time.Time) {
	n.oldTable = n.table
	n.table = admission.NewTable(n.members, admissionIndex, admission.DefaultAdmitters)
	n.prevView = n.view
	n.view = routing.Build(x, n.prevView, n.table.Regions(), now)
}

// net returns the network of the side that an instance is on.
func (r *routers) net(in *instance) *network {
	if in.cutOff && r.isolated != nil {
		return r.isolated
	}
	return r.network
}

func (r *routers) reaches(from, to *instance) bool {
	return !to.down && (!r.severed || from.cutOff == to.cutOff)
}

func (r *routers) lost() bool { return r.w.rnd.Float64() < lossRate }

// inCut reports whether a data centre is in the region that is cut off.
func (r *routers) inCut(dc int) bool { return r.severed && dc%r.w.size.Regions == 0 }

// caller returns the network that the request's caller looks addresses up in
// and whether the caller is in the region that is cut off. Callers are spread
// evenly over the regions.
func (r *routers) caller(req *request) (*network, bool) {
	isolated := r.severed && fleet.Mix(uint64(req.chat), 11)%uint64(r.w.size.Regions) == 0
	if isolated && r.isolated != nil {
		return r.isolated, true
	}
	return r.network, isolated
}

// address returns the instance that a caller calls: the first admitter that
// answers, or any instance when the address is stale or no admitter answers.
func (r *routers) address(n *network, server fleet.ServerID, isolated bool) *instance {
	usable := func(in *instance) bool { return !in.down && (!r.severed || in.cutOff == isolated) }
	if r.w.rnd.Float64() >= staleAddressShare {
		for _, m := range n.table.Of(server) {
			if in := r.byID[m.ID]; usable(in) {
				return in
			}
		}
	}
	for {
		if in := r.instances[r.w.rnd.IntN(len(r.instances))]; usable(in) {
			return in
		}
	}
}

// filterMembers returns the live instances that keep accepts.
func (r *routers) filterMembers(keep func(*instance) bool) *membership.View {
	v := &membership.View{ChangedAt: r.w.time()}
	for i, in := range r.instances {
		if !in.down && keep(in) {
			dc := r.w.manifest.DataCentres[i%r.w.size.DataCentres]
			v.Members = append(v.Members, membership.Member{ID: in.id, DataCentre: dc.Name, Region: dc.Region, Eligible: true})
		}
	}
	return v
}

// kill stops instances; the others detect it after the time detect.
func (r *routers) kill(dead func(i int) bool, detect time.Duration) int {
	for i, in := range r.instances {
		in.down = in.down || dead(i)
	}
	n := r.w.breakStreams(func(req *request) bool { return req.holder.down })
	r.w.after(detect, func() {
		r.members = r.filterMembers(func(*instance) bool { return true })
		r.rebuild(false)
	})
	return n
}

// cut partitions the first region from the others for d. Both sides detect the
// partition, and later its end, after the time detect.
func (r *routers) cut(d, detect time.Duration) int {
	r.severed = true
	for i, in := range r.instances {
		in.cutOff = r.inCut(i % r.w.size.DataCentres)
	}
	n := r.w.breakStreams(func(req *request) bool { return req.holder.cutOff != r.inCut(req.engine.dc) })
	r.w.after(detect, func() {
		r.isolated = &network{members: r.filterMembers(func(in *instance) bool { return in.cutOff }), view: r.view}
		r.members = r.filterMembers(func(in *instance) bool { return !in.cutOff })
		r.rebuild(false)
	})
	r.w.after(d, func() { r.severed = false })
	r.w.after(d+detect, func() {
		r.isolated = nil
		r.members = r.filterMembers(func(*instance) bool { return true })
		r.rebuild(false)
	})
	return n
}

// countBytes adds the bytes of one call to both sides, including HTTP headers and
// signatures but not TCP and IP headers.
func (r *routers) countBytes(method string, from, to *instance, request, reply int) {
	n := int64(peer.CallBytes(permitpb.PermitsPathPrefix+method, request) + peer.AnswerBytes(reply))
	from.controlBytes += n
	to.controlBytes += n
}

// syncSize returns the size of the SyncRequest of a holder, in bytes.
func syncSize(holder fleet.InstanceID, lists []admission.PermitUpdate, copies []admission.Copy) int {
	m := &permitpb.SyncRequest{Holder: string(holder), Copies: permitpb.EncodeCopies(copies)}
	for _, l := range lists {
		m.Lists = append(m.Lists, serverList(l))
	}
	return proto.Size(m)
}
