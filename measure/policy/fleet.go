package policy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cyclamenhitch/adapters/peer/permitpb"
	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
	"cyclamenhitch/core/routing"

	"google.golang.org/protobuf/proto"
)

const (
	// staleAddressShare is the share of requests that reach an instance other than
	// the primary admitter of the chat's first engine.
	staleAddressShare = 0.03
	// lossRate is the share of lost peer calls and of lost replies.
	lossRate = 0.001
	// maxReportLag bounds the age of engine reports.
	maxReportLag = 2 * time.Second
)

// instance is the decision state of one router.
type instance struct {
	id            fleet.InstanceID
	ledger        *admission.Ledger
	totals        *admission.Totals
	holds         *admission.HeldPermits
	recent        *routing.RecentChats
	copies        *admission.CopyScheduler
	refusals      *admission.RefusalCache
	takeoverState *admission.Takeover
	down          bool
	cutOff        bool  // in the region that is partitioned off
	controlBytes  int64 // bytes of control traffic, sent and received
}

// routers drives the decision logic of all instances. With k above 1, each
// engine's cap is split over k admitters: the ledger then knows k parts of the
// engine, each with weight 1/k.
type routers struct {
	w                  *world
	admittersPerEngine int
	instances          []*instance
	byID               map[fleet.InstanceID]*instance
	*network
	isolated    *network // of the partitioned region, after detection
	severed     bool
	parts       map[fleet.ServerID]*fakeEngine
	nextID      uint64
	remoteCalls int64 // remote permit calls
	requests    int64
	verdicts    [16]int64
	totalWait   time.Duration
}

func newRouters(w *world, admittersPerEngine int, params admission.Params) *routers {
	r := &routers{w: w, admittersPerEngine: admittersPerEngine, byID: map[fleet.InstanceID]*instance{}, network: &network{members: &membership.View{ChangedAt: epoch}}, parts: map[fleet.ServerID]*fakeEngine{}}
	for i := range w.size.Instances {
		id := fleet.InstanceID(fmt.Sprintf("r%03d", i))
		in := &instance{
			id: id, ledger: admission.NewLedger(id, params), totals: admission.NewTotals(),
			holds: admission.NewHeldPermits(), recent: routing.NewRecentChats(epoch), copies: admission.NewCopyScheduler(id), refusals: admission.NewRefusalCache(uint64(i)),
		}
		in.takeoverState = admission.NewTakeover(in.ledger, params.Seed)
		r.instances = append(r.instances, in)
		r.byID[id] = in
		dc := w.manifest.DataCentres[i%w.size.DataCentres]
		r.members.Members = append(r.members.Members, membership.Member{ID: id, DataCentre: dc.Name, Region: dc.Region, Eligible: true})
	}
	for _, e := range w.engines {
		for j := range admittersPerEngine {
			r.parts[r.part(e.server.Name, j)] = e
		}
	}
	r.rebuild(true)
	w.onChange = append(w.onChange, func() { r.rebuild(false) })
	r.startLoops()
	return r
}

func (r *routers) part(s fleet.ServerID, j int) fleet.ServerID {
	if r.admittersPerEngine == 1 {
		return s
	}
	return fleet.ServerID(fmt.Sprintf("%s#%d", s, j))
}

// admissionIndex returns the index with the parts of each engine as servers.
func (r *routers) admissionIndex() *manifest.Index {
	if r.admittersPerEngine == 1 {
		return r.w.index
	}
	m := *r.w.manifest
	m.Servers = nil
	for _, s := range r.w.manifest.Servers {
		for j := range r.admittersPerEngine {
			p := s
			p.Name, p.Weight, p.MaxLoadTokens = r.part(s.Name, j), s.Weight/float64(r.admittersPerEngine), s.MaxLoadTokens/r.admittersPerEngine
			p.CacheTokens = s.CacheTokens / r.admittersPerEngine
			m.Servers = append(m.Servers, p)
		}
	}
	return manifest.NewIndex(r.w.index.Version, &m)
}

// rebuild applies a configuration or a membership change on all instances.
func (r *routers) rebuild(first bool) {
	now := r.w.time()
	x := r.admissionIndex()
	r.network.build(r.w.index, x, now)
	if r.isolated != nil {
		r.isolated.build(r.w.index, x, now)
	}
	for _, in := range r.instances {
		if in.down {
			continue
		}
		n := r.net(in)
		in.ledger.Configure(x)
		in.takeoverState.SetTable(now, n.table)
		ended := in.ledger.SetRoles(now, n.table, first)
		slices.SortFunc(ended, func(a, b admission.Snapshot) int { return cmp.Compare(a.Server, b.Server) })
		copies := admission.FullCopies(now, ended, in.recent)
		for _, s := range ended {
			to := r.byID[n.table.Of(s.Server)[0].ID]
			to.ledger.Import(now, s)
			to.ledger.ApplyCopy(now, copies[s.Server], to.recent)
		}
		for _, s := range n.view.ReturnedServers(n.prevView) {
			for j := range r.admittersPerEngine {
				in.ledger.MarkCold(now, r.part(s.Name, j))
			}
		}
		in.totals.Retain(func(s fleet.ServerID) bool { return n.view.IsEligible(r.parts[s].server) })
		in.ledger.Expire(now, func(id fleet.InstanceID) bool { return n.members.Find(id) != nil })
		if n.oldTable != nil {
			in.ledger.MembersLost(n.oldTable, n.table)
			in.totals.MembersLost(n.oldTable, n.table)
			r.resyncPermits(in)
		}
		if !first {
			r.poll(in)
		}
	}
}

// resyncPermits models the daemon after a change of roles: the instance sends its
// permits to the new admitters and exchanges totals before and after that.
func (r *routers) resyncPermits(in *instance) {
	tick := time.Duration(r.w.rnd.Int64N(int64(100 * time.Millisecond)))
	r.w.after(tick+50*time.Millisecond, func() { r.exchange(in) })
	r.w.after(tick+50*time.Millisecond, func() { r.sync(in) })
	r.w.after(tick+admission.SettleTime, func() { r.exchange(in) })
}

// crash removes an instance and ends its streams. The other instances detect it
// at once; the property tests cover instances that disagree on membership.
func (r *routers) crash(i int) {
	in := r.instances[i]
	in.down = true
	v := &membership.View{ChangedAt: r.w.time()}
	for _, m := range r.members.Members {
		if m.ID != in.id {
			v.Members = append(v.Members, m)
		}
	}
	r.members = v
	r.w.breakStreams(func(req *request) bool { return req.holder == in })
	r.rebuild(false)
}

func (r *routers) startLoops() {
	w := r.w
	for _, in := range r.instances {
		phase := func(d time.Duration) time.Duration { return time.Duration(w.rnd.Int64N(int64(d))) }
		w.every(phase(r.table.ExchangeInterval()), r.table.ExchangeInterval(), func() { r.exchange(in) })
		w.every(phase(admission.SyncInterval), admission.SyncInterval, func() { r.sync(in) })
		w.every(phase(time.Second), time.Second, func() { r.poll(in) })
		w.every(phase(takeoverInterval), takeoverInterval, func() { r.takeover(in) })
	}
}

func (r *routers) exchange(in *instance) {
	if in.down {
		return
	}
	now := r.w.time()
	calls := map[fleet.InstanceID]*permitpb.ExchangeRequest{}
	for i := range r.w.manifest.Pools {
		pool := r.w.manifest.Pools[i].Name
		var loads []admission.EngineLoad
		for _, l := range in.ledger.Loads(now, pool, nil) {
			if r.net(in).view.IsEligible(r.parts[l.Server].server) {
				loads = append(loads, l)
			}
		}
		to := r.net(in).table.Aggregator(pool)
		if len(loads) == 0 || r.lost() || !r.reaches(in, r.byID[to.ID]) {
			continue
		}
		t := r.byID[to.ID].totals.Exchange(now, pool, loads)
		r.recordSupport(in, r.byID[to.ID])
		if to.ID != in.id {
			if calls[to.ID] == nil {
				calls[to.ID] = &permitpb.ExchangeRequest{}
			}
			pl := &permitpb.PoolLoads{Pool: string(pool)}
			for _, l := range loads {
				pl.Loads = append(pl.Loads, &permitpb.EngineLoad{Server: string(l.Server), Load: l.Load, Weight: l.Weight})
			}
			calls[to.ID].Pools = append(calls[to.ID].Pools, pl)
		}
		r.w.after(2*time.Millisecond, func() { in.ledger.SetTotal(r.w.time(), pool, t, loads) })
	}
	for to, c := range calls {
		r.countBytes("Exchange", in, r.byID[to], proto.Size(c), 24*len(c.Pools))
	}
}

func (r *routers) sync(in *instance) {
	if in.down {
		return
	}
	now := r.w.time()
	in.ledger.Tick(now)
	in.ledger.Expire(now, func(id fleet.InstanceID) bool { return r.net(in).members.Find(id) != nil })
	all := in.holds.Updates(now, r.net(in).table)
	copies := in.copies.Due(now, r.net(in).table, in.ledger, in.recent, func(to fleet.InstanceID) bool { return all[to] != nil })
	for to := range copies {
		all[to] = append(all[to], nil...)
	}
	for _, to := range slices.Sorted(maps.Keys(all)) { // in a fixed order: each takes a random number
		lists := all[to]
		lost := false
		if to != in.id {
			r.countBytes("Sync", in, r.byID[to], syncSize(in.id, lists, copies[to]), 0)
			if lost = r.lost() || !r.reaches(in, r.byID[to]); !lost {
				r.recordSupport(in, r.byID[to])
			}
		}
		if !lost && len(copies[to]) > 0 {
			for _, k := range copies[to] {
				r.byID[to].ledger.ApplyCopy(now, k, r.byID[to].recent)
			}
			in.copies.Delivered(to, copies[to])
		}
		for _, l := range lists {
			if lost {
				in.holds.Requeue(l)
				continue
			}
			r.byID[to].ledger.Ended(now, in.id, l.Server, l.Ended)
			if l.Full {
				r.byID[to].ledger.Sync(now, in.id, l.Server, l.Held)
			}
		}
	}
}

func (r *routers) poll(in *instance) {
	if in.down || r.admittersPerEngine > 1 {
		return // a report cannot be split over several admitters
	}
	table := r.net(in).table
	for _, e := range r.w.engines { // in a fixed order: each takes a random number
		id := e.server.Name
		if !e.up || !table.Primary(id, in.id) {
			continue
		}
		lag := time.Duration(r.w.rnd.Int64N(int64(maxReportLag)))
		rep := e.report(r.w.now, lag)
		if rep.At.IsZero() {
			continue // the engine was down
		}
		if in.ledger.Report(r.w.time(), id, rep) {
			in.recent.ForgetServer(id)
		}
		in.controlBytes += 400 // one GET with its response
	}
}

// place implements policy.
func (r *routers) place(w *world, req *request, then func(*fakeEngine)) {
	r.requests++
	now := w.time()
	key := fleet.ChatKey(fleet.Mix(uint64(req.chat)+1, 99))
	pool := r.poolOf(req)
	n, isolated := r.caller(req)
	ranked := n.view.RankAt(pool, key, now, make([]*manifest.Server, 0, 9))
	if len(ranked) == 0 {
		then(nil)
		return
	}
	j := int(uint64(key)>>8) % r.admittersPerEngine
	in := r.address(n, r.part(ranked[0].Name, j), isolated)
	ranked, hit := in.recent.Promote(n.view, pool, key, now, ranked)
	r.nextID++
	acc := &w.manifest.Accounts[w.chats[req.chat].account]
	t := &attempt{
		r: r, in: in, req: req, key: key, ranked: ranked[:min(len(ranked), 6)], part: j, then: then,
		ask:   admission.PermitRequest{Holder: in.id, ID: r.nextID, Account: acc.Name, Weight: acc.Weight, Priority: 5, Chat: key, Prompt: req.prompt, Output: req.output},
		place: admission.Placement{Warm: hit > 0, Priority: 5, Remaining: time.Minute},
	}
	t.step()
}

func (r *routers) poolOf(req *request) fleet.PoolID {
	return r.w.manifest.Pools[int(req.chat)%r.w.size.Models].Name
}
