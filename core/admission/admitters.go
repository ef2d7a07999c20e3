package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
)

// DefaultAdmitters is the primary and the standbys by default.
const DefaultAdmitters = 3

// Table names the admitters of each engine and the aggregator of each pool, for
// one membership view and one configuration. It does not change, but for the
// successors, which are worked out when they are first asked for.
type Table struct {
	View     *membership.View
	Index    *manifest.Index
	servers  map[fleet.ServerID][]*membership.Member
	pools    map[fleet.PoolID]*membership.Member
	regions  map[fleet.RegionID]bool
	members  []*membership.Member // eligible members of all regions
	hashes   []uint64
	workload map[fleet.InstanceID]int // engines admitted to, and pools summed

	byRegion    map[fleet.RegionID]*regionState
	successorMu sync.Mutex // guards successors
	successors  map[fleet.InstanceID]map[fleet.ServerID]*membership.Member
}

// NewTable ranks the eligible instances of each engine's region by rendezvous
// hashing on the engine and keeps the first k.
func NewTable(view *membership.View, x *manifest.Index, k int) *Table {
	t := &Table{
		View: view, Index: x,
		servers: make(map[fleet.ServerID][]*membership.Member, len(x.Manifest.Servers)),
		pools:   make(map[fleet.PoolID]*membership.Member, len(x.Manifest.Pools)),
		regions: map[fleet.RegionID]bool{}, workload: map[fleet.InstanceID]int{},
	}
	regions := map[fleet.RegionID]*regionState{}
	staying := stayingRegions(view)
	for i := range view.Members {
		m := &view.Members[i]
		// A leaving instance serves its keep time and its running requests. Without
		// a successor in its region it keeps its roles until it exits.
		if !m.Eligible && (!m.Leaving || staying[m.Region]) {
			continue
		}
		r := regions[m.Region]
		if r == nil {
			r = &regionState{}
			regions[m.Region] = r
			t.regions[m.Region] = true
		}
		h := fleet.HashID(string(m.ID))
		r.members, r.hashes = append(r.members, m), append(r.hashes, h)
		t.members, t.hashes = append(t.members, m), append(t.hashes, h)
	}
	for i := range x.Manifest.Servers {
		s := &x.Manifest.Servers[i]
		if dc := x.DataCentre(s.DataCentre); dc != nil && regions[dc.Region] != nil {
			regions[dc.Region].servers = append(regions[dc.Region].servers, s.Name)
		}
	}
	t.byRegion = regions
	for _, r := range regions {
		r.sortServers()
		r.assign(k, func(s fleet.ServerID, members []*membership.Member) {
			t.servers[s] = members
			t.workload[members[0].ID]++
		})
	}
	t.assignPools(x)
	return t
}

// stayingRegions are the regions that have an instance which may hold roles and
// is not leaving.
func stayingRegions(view *membership.View) map[fleet.RegionID]bool {
	out := map[fleet.RegionID]bool{}
	for i := range view.Members {
		if m := &view.Members[i]; m.Eligible && !m.Leaving {
			out[m.Region] = true
		}
	}
	return out
}

// regionState holds the eligible instances of a region and its servers.
type regionState struct {
	members []*membership.Member
	hashes  []uint64
	servers []fleet.ServerID
}

// maxAdmitterImbalance bounds the engines of one admitter by this multiple of the region's
// mean. Without it, one of 370 instances admitted to 7 of 600 engines and its
// control traffic was four times the mean.
const maxAdmitterImbalance = 1.25

// sortServers puts a region's servers in the order of their hashes, so that every
// instance names the same admitters.
func (r *regionState) sortServers() {
	slices.SortFunc(r.servers, func(a, b fleet.ServerID) int {
		return cmp.Or(cmp.Compare(fleet.HashID(string(a)), fleet.HashID(string(b))), cmp.Compare(a, b))
	})
}

// assign names the k admitters of each of a region's engines: the first instance
// by rendezvous hashing that is under the bound, then the next ones.
func (r *regionState) assign(k int, name func(fleet.ServerID, []*membership.Member)) {
	limit := int(math.Ceil(maxAdmitterImbalance * float64(len(r.servers)) / float64(len(r.members))))
	count := make([]int, len(r.members))
	var best []int
	for _, s := range r.servers {
		want := k
		first := -1
		for first < 0 {
			best = fleet.TopRanked(best[:0], fleet.HashID(string(s)), r.hashes, want)
			first = slices.IndexFunc(best, func(b int) bool { return count[b] < limit })
			want *= 2
		}
		count[best[first]]++
		admitters := append(make([]*membership.Member, 0, k), r.members[best[first]])
		for i, b := range best {
			if i != first && len(admitters) < k {
				admitters = append(admitters, r.members[b])
			}
		}
		name(s, admitters)
	}
}

// assignPools names the aggregator of each pool: the first instance by
// rendezvous hashing among those with the least other work.
func (t *Table) assignPools(x *manifest.Index) {
	var best []int
	for i := range x.Manifest.Pools {
		name := x.Manifest.Pools[i].Name
		best = fleet.TopRanked(best[:0], fleet.HashID("pool:"+string(name)), t.hashes, len(t.hashes))
		if len(best) == 0 {
			return
		}
		m := t.members[best[0]]
		for _, b := range best {
			if t.workload[t.members[b].ID] < t.workload[m.ID] {
				m = t.members[b]
			}
		}
		t.workload[m.ID] += aggregatorCost
		t.pools[name] = m
	}
}

// aggregatorCost is the control traffic of an aggregator as a number of engines
// admitted to.
const aggregatorCost = 4

// owner returns the first eligible instance for a key, or nil.
func (t *Table) owner(key string) *membership.Member {
	var buf [1]int
	for _, i := range fleet.TopRanked(buf[:0], fleet.HashID(key), t.hashes, 1) {
		return t.members[i]
	}
	return nil
}

// Of returns the admitters of an engine, the primary first.
func (t *Table) Of(s fleet.ServerID) []*membership.Member { return t.servers[s] }

// Primary reports whether the instance is the primary admitter of the engine.
func (t *Table) Primary(s fleet.ServerID, self fleet.InstanceID) bool {
	a := t.servers[s]
	return len(a) > 0 && a[0].ID == self
}

// Aggregator returns the instance that sums the loads of a pool, or nil.
func (t *Table) Aggregator(p fleet.PoolID) *membership.Member { return t.pools[p] }

// AccountOwner returns the instance that enforces an account's limit, or nil.
func (t *Table) AccountOwner(a fleet.ClientAccountID) *membership.Member {
	return t.owner("account:" + string(a))
}

// ExchangeInterval is the time between two exchanges of pool totals.
func (t *Table) ExchangeInterval() time.Duration {
	if len(t.members) <= SmallFleet {
		return ExchangeInterval / 2
	}
	return ExchangeInterval
}

// Regions are the regions that have an eligible instance.
func (t *Table) Regions() map[fleet.RegionID]bool { return t.regions }

// Alone reports whether self is the only known instance.
func (t *Table) Alone(self fleet.InstanceID) bool {
	return len(t.View.Members) == 1 && t.View.Members[0].ID == self
}

// LimitsOf returns the declared limits of a server.
func LimitsOf(x *manifest.Index, s *manifest.Server) Limits {
	l := Limits{Pool: s.Pool, Weight: s.Weight, MaxLoad: int64(s.MaxLoadTokens), CacheTokens: int64(s.CacheTokens), LoadBound: 1.25}
	if p := x.Pool(s.Pool); p != nil {
		l.LoadBound = p.LoadBound
		l.Reports = p.Kind == manifest.KindModel
		l.ColdLoad = int64(p.ColdStartLoad)
		l.ColdFor = seconds(p.ColdStartSeconds)
		l.AverageCost = int64(p.ExpectedOutputTokens)
	}
	return l
}
