package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/quarantine"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/servicetime"
	"cyclamenhitch/platform"
)

const (
	// minBudgetInstances is the least number of instances assumed to share a budget: an
	// instance that hears no peers may be partitioned from peers that also send requests.
	minBudgetInstances = 3
	// earlyReportShare is the fraction of the report interval after which a report with new
	// evidence is sent early.
	earlyReportShare = 0.25
)

// peers exchanges reports with the other instances.
type peers struct {
	set    *settings.Edge
	socket *gossip.Socket
	view   *view
	board  *placement.Balancer
	// tracker holds the evidence on prompt parts that crash engines.
	tracker *quarantine.Tracker
	// times are the times of requests, which peers read.
	times  *servicetime.Tracker
	log    *zap.Logger
	roster *roster.Roster
	relay  *relay
	// rollouts is nil if the settings have no roll-outs.
	rollouts *rollouts
	// links knows which suspicions may be due to lost links to servers.
	links *instanceLinks

	// onInstanceCount is called with the number of instances that share the fleet's budgets.
	onInstanceCount func(instances int)

	incarnation *roster.Incarnation
	leaving     atomic.Bool
	relaying    atomic.Bool
	// promptsKnown is true once this instance has learned what the engines cache, as far as
	// it can be learned after a start.
	promptsKnown atomic.Bool

	// round is held while the reports of a round are sent; a planned stop sends one at once.
	round      sync.Mutex
	paces      map[fleet.PoolID]float64 // as last logged
	longLimits longLimits
	brittle    brittlePools

	// evidence holds a value while new evidence waits for the next report.
	evidence chan struct{}

	mu sync.Mutex
	// learned holds the cache contents that this instance learned from engines.
	learned []placement.Placement
	echo    map[fleet.InstanceID]freshness.Instant
	// incarnations are those that the peers last reported.
	incarnations  map[fleet.InstanceID]uint64
	live          map[fleet.InstanceID]bool
	loggedServing bool // whether the last report said serving
}

func newPeers(set *settings.Edge, socket *gossip.Socket, v *view, b *placement.Balancer, tracker *quarantine.Tracker, log *zap.Logger) *peers {
	p := &peers{
		set: set, socket: socket, view: v, board: b, tracker: tracker, log: log, roster: roster.New(set.Instance),
		incarnation: roster.NewIncarnation(time.Now()), echo: map[fleet.InstanceID]freshness.Instant{},
		live: map[fleet.InstanceID]bool{}, paces: map[fleet.PoolID]float64{}, longLimits: longLimits{}, brittle: brittlePools{},
		evidence: make(chan struct{}, 1), incarnations: map[fleet.InstanceID]uint64{},
	}
	p.relay = newRelay(p.roster, b, set.DataCentre)
	return p
}

func (p *peers) run(ctx context.Context) {
	go p.socket.Receive(p.applyReport)
	if p.board.Policy().On(placement.PromptLearning) {
		go p.learnPrompts(ctx)
	}
	for ctx.Err() == nil {
		gap := p.sendReports()
		p.waitForRound(ctx, gap)
	}
	_ = p.socket.Close()
}

// waitForRound waits for the time of the next reports: the interval, or a part of it if there
// is new evidence. A caller may repeat a request that crashes servers at other instances
// within the interval.
func (p *peers) waitForRound(ctx context.Context, interval time.Duration) {
	early := time.Duration(earlyReportShare * float64(interval))
	sleep(ctx, early)
	rest := time.NewTimer(interval - interval/10 + rand.N(interval/5) - early)
	defer rest.Stop()
	select {
	case <-ctx.Done():
	case <-p.evidence:
	case <-rest.C:
	}
}

// reportSoon has the next reports sent early.
func (p *peers) reportSoon() {
	select {
	case p.evidence <- struct{}{}:
	default:
	}
}

// serving reports whether callers may be sent to this instance.
func (p *peers) serving() bool { return !p.leaving.Load() && p.view.fresh() }

// ready reports the result of the platform's readiness check.
func (p *peers) ready() bool { return p.serving() }

// sendReports sends the reports of one round and returns the time to the next one.
func (p *peers) sendReports() time.Duration {
	p.round.Lock()
	defer p.round.Unlock()
	now, boot := time.Now(), clock.SinceBoot()
	own := gossip.Report{From: p.self(), Start: p.incarnation.Start(), Sent: boot}
	own.From.Serving = p.serving()
	if version, at, known := p.view.lease.State(); known {
		own.From.Version, own.Confirmed, own.ConfirmedAge = version, true, boot-at
	}
	p.board.ExpirePeerLoads(now)
	own.Loads, own.Placements = p.board.DrainReport(maxReportParts)
	if !p.board.Policy().On(placement.PlacementReports) {
		own.Placements = nil
	}
	// The era is read first: evidence of a report states only what is stored in that era.
	own.StoreEra = p.view.eras.newest()
	own.Evidence = p.tracker.Report(now)
	own.Demand = p.relay.pacers.report(now)
	p.logVerdicts()
	own.Brittle = p.board.BrittlePools(now)
	p.brittle.log(own.Brittle, p.log)
	own.Suspicions, own.ReadRates = p.links.credible(now, p.board.Suspicions(now)), p.board.ReadRates()
	p.updateLiveInstances(now, own.From.Serving)
	p.logPaces(own.ReadRates)
	p.longLimits.log(p.board, p.log)
	plan := p.roster.Plan(now, own.From)
	p.logRoleChange(&plan)
	out := p.rollouts.reports(now, &plan)
	own.Rollouts, p.relay.rollouts = out.Own, out
	p.relay.sendRound(now, &plan, own, p.send)
	return roster.ReportInterval(plan.Recipients())
}

func (p *peers) send(t roster.Target, r gossip.Report) {
	p.mu.Lock()
	r.Echo = p.echo[t.ID]
	p.mu.Unlock()
	if err := p.socket.Send(t.Address, &r); err != nil {
		p.log.Warn("cannot send a report", zap.String("to", t.Address), zap.Error(err))
	}
}

// self describes this instance, except whether it serves and its configuration version.
func (p *peers) self() roster.Peer {
	return roster.Peer{
		ID: p.set.Instance, Incarnation: p.incarnation.Value(), DataCentre: p.set.DataCentre, Caller: p.set.Listen.Caller,
		Peer: p.set.Listen.Peer, Leaving: p.leaving.Load(), ReadsStore: p.view.storeOK.Load(), LinkMbps: int(p.set.Limits.LinkMbps),
	}
}

// logRoleChange logs when this instance becomes or ceases to be a relay.
func (p *peers) logRoleChange(plan *roster.Plan) {
	if p.relaying.Swap(plan.Relaying) == plan.Relaying {
		return
	}
	p.log.Info("relaying changed", zap.Bool("relaying", plan.Relaying), zap.Any("relays", targetIDs(plan.Relays)),
		zap.Int("members", len(plan.Members)), zap.Any("remote", targetIDs(plan.Remote)))
}

func targetIDs(targets []roster.Target) []string {
	out := make([]string, len(targets))
	for i, t := range targets {
		out[i] = string(t.ID)
	}
	return out
}

// updateLiveInstances passes the live instances to the board and the budgets, and logs
// peers that were heard or lost and changes of the serving state.
func (p *peers) updateLiveInstances(now time.Time, serving bool) {
	live := p.roster.Live(now)
	ids := []fleet.InstanceID{p.set.Instance}
	seen := make(map[fleet.InstanceID]bool, len(live))
	for _, peer := range live {
		ids = append(ids, peer.ID)
		seen[peer.ID] = true
	}
	p.links.setPeers(live)
	p.board.SetInstances(p.set.Instance, ids)
	p.tracker.SetInstances(ids)
	p.onInstanceCount(max(minBudgetInstances, len(ids)))
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range seen {
		if !p.live[id] {
			p.log.Info("peer heard", zap.String("peer", string(id)))
		}
	}
	for id := range p.live {
		if !seen[id] {
			p.log.Warn("peer lost", zap.String("peer", string(id)))
		}
	}
	if serving != p.loggedServing {
		p.log.Info("serving changed", zap.Bool("serving", serving), zap.Bool("leaving", p.leaving.Load()))
	}
	p.live, p.loggedServing = seen, serving
}

// loggedPaceChange is the relative change of a pool's reading rate that is logged.
const loggedPaceChange = 0.25

// logPaces logs changed reading rates of engines.
func (p *peers) logPaces(paces map[fleet.PoolID]float64) {
	for pool, rate := range paces {
		if old := p.paces[pool]; math.Abs(rate-old) > loggedPaceChange*old {
			p.paces[pool] = rate
			p.log.Info("reading rate of engines learned", zap.String(logging.FieldPool, string(pool)), zap.Float64("tokens_per_ms", rate))
		}
	}
}

// logVerdicts logs which prompt parts have been blocked or released.
func (p *peers) logVerdicts() {
	for _, c := range p.tracker.Changes() {
		msg := "prompt part released"
		if c.Blocked {
			msg = "prompt part blocked"
		}
		p.log.Warn(msg, zap.String("part", strconv.FormatUint(c.Part.ID, 16)), zap.Int("incidents", c.Incidents), zap.Bool("all_accounts", c.AllAccounts), zap.Bool("answered_before", c.Proven))
	}
}

// applyReport processes the report of a peer.
func (p *peers) applyReport(r *gossip.Report) {
	now, boot := time.Now(), clock.SinceBoot()
	p.learnIncarnation(now, r)
	if !p.roster.HandleReport(now, r.From, r.Echo > 0) {
		return
	}
	p.mu.Lock()
	p.echo[r.From.ID] = r.Sent
	started := p.incarnations[r.From.ID] != r.From.Incarnation
	p.incarnations[r.From.ID] = r.From.Incarnation
	p.mu.Unlock()
	if started && p.tracker.ReportAgain(now) {
		p.reportSoon()
	}
	p.applyStoreEra(r)
	p.roster.RecordListRequest(now, r.From.ID, r.HeldList, r.WantsDigest, r.HasOtherLoadSource)
	p.board.ApplyPeerBrittle(now, r.Brittle)
	p.board.ApplyPeerReadRates(r.From.ID, r.ReadRates)
	if p.tracker.Merge(now, r.Evidence) && p.relaying.Load() {
		p.reportSoon() // to those who hear of other instances only through this one
	}
	p.rollouts.applyReport(now, r)
	p.relay.applyReport(now, r)
	p.confirmFromPeer(r, boot)
}

// learnIncarnation continues above the incarnation that a peer knows of an earlier process of
// this instance. Reports that are ignored count too: two instances could otherwise ignore each other.
func (p *peers) learnIncarnation(now time.Time, r *gossip.Report) {
	if r.KnownIncarnation == 0 || !p.incarnation.Learn(now, r.KnownIncarnation, p.leaving.Load()) {
		return
	}
	p.log.Warn("incarnation raised above that of an earlier process", zap.String("peer", string(r.From.ID)),
		zap.Uint64("known", r.KnownIncarnation), zap.Uint64("start", p.incarnation.Start()))
	p.reportSoon()
}

// confirmFromPeer renews the lease on the active configuration if a peer has confirmed
// the same version.
func (p *peers) confirmFromPeer(r *gossip.Report, boot freshness.Instant) {
	if !r.Confirmed || r.Echo == 0 || r.Echo > boot {
		return
	}
	if c := p.view.current.Load(); c != nil && c.Version == r.From.Version {
		p.view.lease.Confirm(r.From.Version, freshness.PeerReadStart(r.Echo, r.ConfirmedAge))
	}
}

// readers returns the instances that read the store and serve its tables to others, those
// of this data centre first.
func (p *peers) readers() []roster.Peer {
	return p.roster.Readers(time.Now(), p.self())
}

// writerRank returns the place of this instance among the live ones in the order of those that
// write the rows of a topic.
func (p *peers) writerRank(topic string) int {
	key := fleet.HashID(topic)
	own, rank := fleet.Mix(key, fleet.HashID(string(p.set.Instance))), 0
	for _, peer := range p.roster.Live(time.Now()) {
		if !peer.Leaving && fleet.Mix(key, fleet.HashID(string(peer.ID))) < own {
			rank++
		}
	}
	return rank
}

// wouldRead reports whether this instance is a reader if it can read the store.
func (p *peers) wouldRead() bool {
	self := p.self()
	self.Leaving = false
	return p.roster.WouldRead(time.Now(), self)
}

// applyInstances applies rows of the instance table.
func (p *peers) applyInstances(u update) {
	if len(u.entries) == 0 && !u.full {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[fleet.InstanceID]roster.Listing{}
	if !u.full {
		listed = p.roster.Listed()
	}
	for _, e := range u.entries {
		id := fleet.InstanceID(e.Key)
		if e.Value == nil {
			delete(listed, id)
			continue
		}
		l, err := platform.DecodeInstance(e.Value)
		if err != nil {
			p.log.Warn("invalid instance entry", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		listed[id] = l
	}
	p.roster.SetListed(listed)
}

// anyPeerServes reports whether another instance is known to serve.
func (p *peers) anyPeerServes() bool {
	for _, peer := range p.roster.Live(time.Now()) {
		if peer.Serving {
			return true
		}
	}
	return false
}

// addresses returns up to limit addresses of the serving instances for the callers of a
// data centre. If none serves, it returns the live ones, which still serve routes without
// keys, unless this instance hears no peers, since it may itself be partitioned.
func (p *peers) addresses(dc fleet.DataCentreID, limit int) []string {
	var serving, live []roster.Peer
	others := p.roster.Live(time.Now())
	self := p.self()
	self.Serving = p.serving()
	for _, peer := range append(others, self) {
		if peer.Serving {
			serving = append(serving, peer)
		}
		if !peer.Leaving {
			live = append(live, peer)
		}
	}
	named := serving
	if len(serving) == 0 && len(others) > 0 && p.view.current.Load() != nil {
		named = live
	}
	named = roster.Subset(named, string(dc), limit)
	out := make([]string, len(named))
	for i, peer := range named {
		out[i] = peer.Caller
	}
	return out
}

// leave announces a planned stop to the peers and removes this instance from the store.
func (p *peers) leave(ctx context.Context) {
	p.leaving.Store(true)
	p.sendReports()
	if err := p.view.store.Remove(ctx, platform.InstanceTable, string(p.set.Instance)); err != nil {
		p.log.Warn("cannot remove the instance entry", zap.String(logging.FieldInstance, string(p.set.Instance)), zap.Error(err))
	}
}
