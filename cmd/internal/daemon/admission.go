package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/peer/permitpb"
	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/retry"
	"cyclamenhitch/core/routing"
)

// permitTimeout bounds a permit call within a region.
const permitTimeout = 50 * time.Millisecond

// maxAdmittersAsked limits how many admitters of one engine a request asks. During
// a handover, the second one may still hold the role.
const maxAdmittersAsked = 2

// admissionComponent ranks engines, grants permits for the engines that this
// instance is the primary admitter of, and requests permits for the other engines
// from their admitters.
type admissionComponent struct {
	d    *Daemon
	self fleet.InstanceID

	ledger      *admission.Ledger
	heldPermits *admission.HeldPermits
	totals      *admission.Totals
	owner       *admission.AccountOwner
	slices      *admission.Slices
	budgets     *retry.Budgets
	recent      *routing.RecentChats
	copies      *admission.CopyScheduler // used only by runSync

	refusals *admission.RefusalCache
	takeover *admission.Takeover

	rebuildMu sync.Mutex
	state     atomic.Pointer[admissionState]
	seenPeers bool        // guarded by rebuildMu
	stopping  atomic.Bool // set when this instance hands over its roles

	clients           sync.Map // peer address to permitpb.Permits
	nextID            atomic.Uint64
	decisions         atomic.Uint64
	exchangeWake      chan struct{}
	exchangeRequested atomic.Bool // the next exchange does not wait for the interval
	pollWake          chan struct{}
	syncWake          chan struct{}

	failedServersMu sync.Mutex
	failedServers   map[fleet.ServerID]bool // failed in requests of this instance; another instance is their primary admitter
}

// admissionState is the configuration and membership that one routing decision uses.
type admissionState struct {
	view  *routing.View
	table *admission.Table
}

func newAdmissionComponent(d *Daemon) *admissionComponent {
	self := d.set.Instance
	seed := rand.Uint64()
	c := &admissionComponent{
		d: d, self: self,
		ledger:      admission.NewLedger(self, admission.Params{Seed: seed}),
		heldPermits: admission.NewHeldPermits(), totals: admission.NewTotals(), copies: admission.NewCopyScheduler(self),
		owner: admission.NewAccountOwner(self), slices: admission.NewSlices(),
		budgets: retry.NewBudgets(), recent: routing.NewRecentChats(time.Now()), refusals: admission.NewRefusalCache(seed),
		exchangeWake: make(chan struct{}, 1), pollWake: make(chan struct{}, 1), syncWake: make(chan struct{}, 1),
		failedServers: map[fleet.ServerID]bool{},
	}
	c.takeover = admission.NewTakeover(c.ledger, seed)
	c.nextID.Store(seed) // permit IDs must not repeat after a restart of the instance
	srv := permitpb.NewPermitsServer(&permitServer{c})
	d.peerServer.Mount(srv.PathPrefix(), srv)
	d.stopper.addHandover("admission", func(context.Context) error {
		c.handover()
		return nil
	})
	return c
}

// current returns the state for the current configuration and members, or nil
// before the first configuration.
func (c *admissionComponent) current() *admissionState {
	x, members := c.d.config.Index(), c.d.members.View()
	if x == nil {
		return nil
	}
	// A stopping instance keeps its roles if no other instance of its region can
	// take them.
	if c.stopping.Load() {
		if rest := withoutMember(members, c.self); hasEligibleMember(rest, c.d.set.Region) {
			members = rest
		}
	}
	if st := c.state.Load(); st != nil && st.table.Index == x && sameMembers(st.table.View, members) {
		return st
	}
	return c.rebuild(x, members)
}

// sameMembers reports whether two views have equal members.
func sameMembers(a, b *membership.View) bool { return a == b || slices.Equal(a.Members, b.Members) }

// rebuild computes the state for a new configuration or membership, starts the
// roles that begin and hands over the ledgers of those that end.
func (c *admissionComponent) rebuild(x *manifest.Index, members *membership.View) *admissionState {
	c.rebuildMu.Lock()
	defer c.rebuildMu.Unlock()
	now := time.Now()
	old := c.state.Load()
	if old != nil && old.table.Index.Version > x.Version {
		return old
	}
	t := admission.NewTable(members, x, admission.DefaultAdmitters)
	var prev *routing.View
	if old != nil {
		prev = old.view
	}
	st := &admissionState{view: routing.Build(x, prev, t.Regions(), now), table: t}
	// An instance that has never seen another one has no previous admitter to wait for.
	noOtherInstances := t.Alone(c.self) && !c.seenPeers
	c.seenPeers = c.seenPeers || len(members.Members) > 1
	c.takeover.SetTable(now, t)
	endedRoles := c.ledger.SetRoles(now, t, noOtherInstances)
	c.ledger.Configure(x)
	for _, s := range st.view.ReturnedServers(prev) {
		c.ledger.MarkCold(now, s.Name)
	}
	c.owner.SetTable(now, t, noOtherInstances)
	c.totals.Retain(func(s fleet.ServerID) bool { return eligible(st.view, x, s) })
	for i := range x.Manifest.Pools {
		c.budgets.SetPercent(x.Manifest.Pools[i].Name, x.Manifest.Pools[i].RetryPercent)
	}
	c.ledger.Expire(now, func(id fleet.InstanceID) bool { return members.Find(id) != nil })
	if old != nil {
		c.ledger.MembersLost(old.table, t)
		c.totals.MembersLost(old.table, t)
	}
	c.state.Store(st)
	c.exchangeLocal(now, st)
	c.requestExchange()
	wakeLoop(c.syncWake)
	time.AfterFunc(admission.SettleTime, c.requestExchange)
	wakeLoop(c.pollWake)
	if len(endedRoles) > 0 {
		go c.sendLedgers(t, endedRoles)
	}
	return st
}

// eligible reports whether the server is in the configuration and may receive
// requests.
func eligible(v *routing.View, x *manifest.Index, id fleet.ServerID) bool {
	s := x.Server(id)
	return s != nil && v.IsEligible(s)
}

// requestExchange wakes runExchange before its next interval.
func (c *admissionComponent) requestExchange() {
	c.exchangeRequested.Store(true)
	wakeLoop(c.exchangeWake)
}

// wakeLoop sends to ch unless a wake-up is already pending.
func wakeLoop(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Rank implements gateway.Router.
func (c *admissionComponent) Rank(req *gateway.Request, dst []*manifest.Server) []*manifest.Server {
	st := c.current()
	if st == nil {
		return dst
	}
	now := time.Now()
	dst = st.view.RankAt(req.Pool.Name, req.Chat, now, dst)
	if req.Route != nil {
		return dst // plain services have no prefix cache
	}
	dst, req.CachedTokens = c.recent.Promote(st.view, req.Pool.Name, req.Chat, now, dst)
	return dst
}

// admitterAddresses returns the caller addresses of the admitters of the engine
// that ranks first for the chat. The primary admitter comes first.
func (c *admissionComponent) admitterAddresses(pool *manifest.Pool, chat fleet.ChatKey) []string {
	st := c.current()
	if st == nil {
		return nil
	}
	var buf [1]*manifest.Server
	var out []string
	for _, s := range st.view.RankAt(pool.Name, chat, time.Now(), buf[:0]) {
		for _, m := range st.table.Of(s.Name) {
			out = append(out, m.Caller)
		}
	}
	return out
}

// attemptPermit is the permit of one attempt.
type attemptPermit struct {
	c        *admissionComponent
	req      *gateway.Request
	server   *manifest.Server
	id       uint64
	limited  bool
	warm     bool // the chat's prefix was expected in the server's cache
	released atomic.Bool
}

// Opened implements gateway.Permit.
func (p *attemptPermit) Opened(took time.Duration) {
	if !p.warm || !p.req.Stream || p.req.Route != nil {
		return
	}
	c, s := p.c, p.server.Name
	if !c.ledger.FirstToken(time.Now(), s, took) {
		return
	}
	c.recent.ForgetServer(s)
	c.d.log.Warn("engine lost its cache without a restart; starting the cold-start ramp", zap.String(logging.FieldServer, string(s)),
		zap.Duration("first_token", took))
}

// Part implements gateway.Permit.
func (p *attemptPermit) Part() {}

// Release implements gateway.Permit.
func (p *attemptPermit) Release(err error) {
	if p.released.Swap(true) {
		return
	}
	c, now := p.c, time.Now()
	c.heldPermits.End(p.server.Name, p.id)
	c.ledger.Release(now, p.server.Name, c.self, p.id)
	if st := c.state.Load(); st != nil {
		c.loadChanged(st, p.server.Name, admission.Cost(p.req.PromptTokens, 0, p.req.OutputTokens))
	}
	if p.limited {
		c.slices.Release(p.req.Account.Name)
	}
	if p.req.Route != nil {
		return
	}
	if err == nil || err == io.EOF {
		c.recent.Record(p.req.Chat, p.server.Name, p.req.PromptTokens+p.req.OutputTokens, now)
		return
	}
	switch result.As(err).Code {
	case result.ConnectFailed, result.ConnectionLost, result.AnswerTruncated:
		c.engineFailed(now, p.server.Name)
	}
	c.recent.Forget(p.req.Chat)
}

// engineFailed records a failed engine. The primary admitter stops admitting to it
// until its next load report, and polls for one at once; other instances tell the
// primary admitter with the next sync.
func (c *admissionComponent) engineFailed(now time.Time, s fleet.ServerID) {
	st := c.state.Load()
	if st.table.Primary(s, c.self) {
		c.ledger.Failed(now, s)
		wakeLoop(c.pollWake)
		return
	}
	c.failedServersMu.Lock()
	c.failedServers[s] = true
	c.failedServersMu.Unlock()
}

// Admit implements gateway.Admitter.
func (c *admissionComponent) Admit(ctx context.Context, req *gateway.Request, ranked []*manifest.Server, first bool) (int, gateway.Permit, error) {
	st := c.current()
	if st == nil || len(ranked) == 0 {
		return 0, nil, result.New(result.NoServer, "no server of pool %s may receive work", req.Pool.Name).WithRetryAfter(time.Second)
	}
	limited := req.Account.MaxConcurrent > 0
	if limited && !c.acquireSlice(ctx, st, req.Account) {
		return 0, nil, result.New(result.AccountLimit, "account %s is at its limit of %d concurrent requests", req.Account.Name, req.Account.MaxConcurrent).
			WithRetryAfter(c.ledger.RetryAfter(ranked[0].Name))
	}
	id := c.nextID.Add(1)
	var trace []candidateVerdict
	lastRequest := admission.PermitRequest{}
	sampled := c.sampleDecision()
	warm := first && req.CachedTokens > 0
	requestFrom := func(i int, relaxed bool) admission.Verdict {
		a := newPermitRequest(req, ranked[i], c.self, id, relaxed)
		// The configuration may have changed while the request was waiting.
		v := admission.Unavailable
		if now := c.current(); eligible(now.view, now.table.Index, a.Server) {
			v = c.requestPermit(ctx, now, &a, warm && i == 0)
		}
		lastRequest = a
		if sampled {
			trace = append(trace, candidateVerdict{string(a.Server), relaxed, v.String()})
		}
		return v
	}
	placement := admission.Placement{Warm: warm, Priority: req.Priority, Remaining: time.Until(req.Deadline)}
	i, v, wait := placement.Step(len(ranked), requestFrom)
	if wait > 0 {
		tokens := admission.Cost(req.PromptTokens, req.CachedTokens, req.OutputTokens)
		c.ledger.AddWaiting(req.Pool.Name, tokens)
		defer c.ledger.AddWaiting(req.Pool.Name, -tokens)
	}
	for wait > 0 {
		// The pool mean may be out of date; a new one can raise the load bound.
		c.requestExchange()
		if sleep(ctx, wait) != nil {
			break
		}
		i, v, wait = placement.Step(len(ranked), requestFrom)
	}
	if sampled {
		c.d.log.Info("routing decision", zap.String(logging.FieldRequest, req.ID), zap.String(logging.FieldPool, string(req.Pool.Name)),
			zap.String(logging.FieldAccount, string(req.Account.Name)), zap.Any("candidates", trace),
			zap.Bool("warm", warm), zap.String("reason", v.String()))
	}
	if i < 0 {
		if limited {
			c.slices.Release(req.Account.Name)
		}
		return 0, nil, v.Err(ranked[0].Name, c.ledger.RetryAfter(ranked[0].Name))
	}
	return i, &attemptPermit{c: c, req: req, server: ranked[i], id: id, limited: limited, warm: lastRequest.Warm()}, nil
}

// candidateVerdict is one candidate in the log of a routing decision.
type candidateVerdict struct {
	Server  string `json:"server"`
	Relaxed bool   `json:"relaxed"`
	Verdict string `json:"verdict"`
}

// sampleDecision reports whether to log the next routing decision.
func (c *admissionComponent) sampleDecision() bool {
	n := *c.d.set.Log.SampleDecisions
	return n > 0 && c.decisions.Add(1)%uint64(n) == 0
}

func newPermitRequest(req *gateway.Request, s *manifest.Server, self fleet.InstanceID, id uint64, relaxed bool) admission.PermitRequest {
	return admission.PermitRequest{
		Server: s.Name, Holder: self, ID: id, Account: req.Account.Name, Weight: req.Account.Weight,
		Priority: req.Priority, Chat: req.Chat, Prompt: req.PromptTokens, Output: req.OutputTokens, Relaxed: relaxed,
	}
}

// OnRequest implements gateway.RetryBudget.
func (c *admissionComponent) OnRequest(p fleet.PoolID) { c.budgets.OnRequest(p) }

// TryRetry implements gateway.RetryBudget.
func (c *admissionComponent) TryRetry(p fleet.PoolID) bool { return c.budgets.TryRetry(p) }
