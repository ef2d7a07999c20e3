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
	// returnTimes holds the data centres that came back into service.
	returnTimes map[fleet.DataCentreID]time.Time
	filters     []Filter
}

// poolView holds the eligible servers of a pool, grouped by weight. Within a
// group the raw hash orders servers as the weighted score does, so that only
// the best few of each group need a logarithm.
type poolView struct {
	groups []weightGroup
	// ramp is how long the chats of a returned data centre take to come back.
	ramp  time.Duration
	table *rankTable // of a large pool
	// hasReturned says that some servers are in a data centre that came back.
	hasReturned bool
}

type weightGroup struct {
	weight  float64
	hashes  []uint64
	servers []*manifest.Server
	// returnedAt is the time that the server's data centre came back, or zero.
	// It is nil when no data centre of the group came back.
	returnedAt []time.Time
	// dcHashes are the hashes of the servers' data centres, next to returned.
	dcHashes []uint64
}

// NewView returns the view of all eligible servers of the index.
func NewView(x *manifest.Index) *View { return Build(x, nil, nil, time.Time{}) }

// Build returns the view of index x. A data centre that was out in prev and is
// in now starts to return at now. reachable tells the regions that have an
// admitting instance; nil means all.
func Build(x *manifest.Index, prev *View, reachable map[fleet.RegionID]bool, now time.Time) *View {
	v := &View{
		Index: x, pools: map[fleet.PoolID]*poolView{}, returnTimes: map[fleet.DataCentreID]time.Time{},
		filters: []Filter{LeavingFilter{}, DataCentreFilter{x}, RegionFilter{x, reachable}},
	}
	if prev != nil {
		v.inheritReturns(prev, now)
	}
	for i := range x.Manifest.Servers {
		if s := &x.Manifest.Servers[i]; v.droppedBy(s) == "" {
			v.add(s)
		}
	}
	for id, p := range v.pools {
		var old *poolView
		if prev != nil {
			old = prev.pools[id]
		}
		p.buildTable(old)
	}
	return v
}

func (v *View) inheritReturns(prev *View, now time.Time) {
	for i := range v.Index.Manifest.DataCentres {
		dc := &v.Index.Manifest.DataCentres[i]
		if dc.State != manifest.StateIn {
			continue
		}
		if at, ok := prev.returnTimes[dc.Name]; ok {
			v.returnTimes[dc.Name] = at
		}
		if old := prev.Index.DataCentre(dc.Name); old == nil || old.State == manifest.StateOut {
			v.returnTimes[dc.Name] = now
		}
	}
}

// droppedBy returns the rule that drops the server, or "".
func (v *View) droppedBy(s *manifest.Server) string {
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
	g := p.weightGroup(s.Weight)
	at, back := v.returnTimes[s.DataCentre]
	g.hashes = append(g.hashes, fleet.HashID(string(s.Name)))
	g.servers = append(g.servers, s)
	g.returnedAt = append(g.returnedAt, at)
	g.dcHashes = append(g.dcHashes, fleet.HashID(string(s.DataCentre)))
	p.hasReturned = p.hasReturned || back
}

func (p *poolView) weightGroup(weight float64) *weightGroup {
	for i := range p.groups {
		if p.groups[i].weight == weight {
			return &p.groups[i]
		}
	}
	p.groups = append(p.groups, weightGroup{weight: weight})
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

// ReturnedServers lists the eligible servers of data centres that were out in prev:
// their caches are cold.
func (v *View) ReturnedServers(prev *View) []*manifest.Server {
	if prev == nil {
		return nil
	}
	var out []*manifest.Server
	for i := range v.Index.Manifest.Servers {
		s := &v.Index.Manifest.Servers[i]
		old := prev.Index.DataCentre(s.DataCentre)
		if old != nil && old.State == manifest.StateOut && v.IsEligible(s) {
			out = append(out, s)
		}
	}
	return out
}

// IsEligible reports whether no filter of the view drops the server.
func (v *View) IsEligible(s *manifest.Server) bool { return v.droppedBy(s) == "" }
