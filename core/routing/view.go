// Package routing ranks the backend servers of a pool for a chat: filters drop
// servers, a scorer gives each remaining one a rendezvous score, and a picker
// keeps the best. Decisions read an immutable View. The only mutable state is
// Recent, a bounded table of an instance's own recent chats.
package routing

import (
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// View is the set of servers that may receive work, for one configuration
// version and one set of reachable regions. It is immutable; a change builds a
// new View.
type View struct {
	Index *manifest.Index
	pools map[fleet.PoolID]*poolView
	// returns holds the data centres that came back into service.
	returns map[fleet.DataCentreID]time.Time
	filters []Filter
}

// poolView holds the eligible servers of a pool, grouped by weight. Within a
// group the raw hash orders servers as the weighted score does, so that only
// the best few of each group need a logarithm.
type poolView struct {
	groups []group
	// ramp is how long the chats of a returned data centre take to come back.
	ramp  time.Duration
	table *rankTable // of a large pool
	// returning says that some servers are in a data centre that came back.
	returning bool
}

type group struct {
	weight  float64
	hashes  []uint64
	servers []*manifest.Server
	// returned is the time that the server's data centre came back, or zero.
	// It is nil when no data centre of the group came back.
	returned []time.Time
	// dcs are the hashes of the servers' data centres, next to returned.
	dcs []uint64
}

// NewView returns the view of all eligible servers of the index.
func NewView(x *manifest.Index) *View { return Build(x, nil, nil, time.Time{}) }

// Build returns the view of index x. A data centre that was out in prev and is
// in now starts to return at now. reachable tells the regions that have an
// admitting instance; nil means all.
func Build(x *manifest.Index, prev *View, reachable map[fleet.RegionID]bool, now time.Time) *View {
	v := &View{
		Index: x, pools: map[fleet.PoolID]*poolView{}, returns: map[fleet.DataCentreID]time.Time{},
		filters: []Filter{LeavingFilter{}, DataCentreFilter{x}, RegionFilter{x, reachable}},
	}
	if prev != nil {
		v.inheritReturns(prev, now)
	}
	for i := range x.Manifest.Servers {
		if s := &x.Manifest.Servers[i]; v.dropped(s) == "" {
			v.add(s)
		}
	}
	for id, p := range v.pools {
		var old *poolView
		if prev != nil {
			old = prev.pools[id]
		}
		p.finish(old)
	}
	return v
}

func (v *View) inheritReturns(prev *View, now time.Time) {
	for i := range v.Index.Manifest.DataCentres {
		dc := &v.Index.Manifest.DataCentres[i]
		if dc.State != manifest.StateIn {
			continue
		}
		if at, ok := prev.returns[dc.Name]; ok {
			v.returns[dc.Name] = at
		}
		if old := prev.Index.DataCentre(dc.Name); old == nil || old.State == manifest.StateOut {
			v.returns[dc.Name] = now
		}
	}
}

// dropped returns the rule that drops the server, or "".
func (v *View) dropped(s *manifest.Server) string {
	for _, f := range v.filters {
		if !f.Keep(s) {
			return f.Rule()
		}
	}
	return ""
}

func (v *View) add(s *manifest.Server) {
	p := v.pools[s.Pool]
	if p == nil {
		p = &poolView{}
		if cfg := v.Index.Pool(s.Pool); cfg != nil {
			p.ramp = time.Duration(cfg.ColdStartSeconds) * time.Second
		}
		v.pools[s.Pool] = p
	}
	g := p.group(s.Weight)
	at, back := v.returns[s.DataCentre]
	g.hashes = append(g.hashes, fleet.HashID(string(s.Name)))
	g.servers = append(g.servers, s)
	g.returned = append(g.returned, at)
	g.dcs = append(g.dcs, fleet.HashID(string(s.DataCentre)))
	p.returning = p.returning || back
}

func (p *poolView) group(weight float64) *group {
	for i := range p.groups {
		if p.groups[i].weight == weight {
			return &p.groups[i]
		}
	}
	p.groups = append(p.groups, group{weight: weight})
	return &p.groups[len(p.groups)-1]
}

// Eligible appends the eligible servers of a pool.
func (v *View) Eligible(pool fleet.PoolID, dst []*manifest.Server) []*manifest.Server {
	if p := v.pools[pool]; p != nil {
		for i := range p.groups {
			dst = append(dst, p.groups[i].servers...)
		}
	}
	return dst
}

// Returned lists the eligible servers of data centres that were out in prev:
// their caches are cold.
func (v *View) Returned(prev *View) []*manifest.Server {
	if prev == nil {
		return nil
	}
	var out []*manifest.Server
	for i := range v.Index.Manifest.Servers {
		s := &v.Index.Manifest.Servers[i]
		old := prev.Index.DataCentre(s.DataCentre)
		if old != nil && old.State == manifest.StateOut && v.MayReceive(s) {
			out = append(out, s)
		}
	}
	return out
}

// MayReceive reports whether no filter of the view drops the server.
func (v *View) MayReceive(s *manifest.Server) bool { return v.dropped(s) == "" }
