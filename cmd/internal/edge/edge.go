// Package edge wires an instance that finds its configuration, its backend servers
// and its peers in a platform's store. It connects the decision logic of the core
// module to the adapters and owns their start and stop order.
package edge

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/feed"
	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/adapters/tunnel"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/quarantine"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/retry"
	"cyclamenhitch/core/servicetime"
	"cyclamenhitch/platform"
)

const (
	// connectTimeout limits a connect to a backend server. Servers are a few ms away; a
	// lost packet then costs a second connect instead of a 1 s retransmission timeout.
	connectTimeout = 300 * time.Millisecond
	// unackedTimeout closes a connection whose sent data stays unacknowledged. It allows
	// for three losses of one packet.
	unackedTimeout = 1500 * time.Millisecond
	// maxResponseBytes limits a response that is not streamed.
	maxResponseBytes = 8 << 20
	// bodyWait is how long a body may wait unread until there is room for it.
	bodyWait = time.Second
	// readTimeout limits reading one request, writeTimeout each write to a caller.
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	// callerIdleTimeout exceeds the time for which callers keep idle connections.
	callerIdleTimeout = 60 * time.Second
	// auxiliaryIdleTimeout and auxiliaryReadTimeout are those of the listeners beside that of
	// callers, whose calls are short and which few connections need to outlive.
	auxiliaryIdleTimeout = 15 * time.Second
	auxiliaryReadTimeout = 3 * time.Second
)

// serverKeepAlive detects a server whose machine fails while a response is pending. Package net
// rounds both times up to a whole second, the unit of the kernel.
var serverKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 500 * time.Millisecond, Interval: 300 * time.Millisecond, Count: 3}

// Edge is one instance.
type Edge struct {
	set *settings.Edge
	log *zap.Logger

	store  *platform.Store
	board  *placement.Balancer
	view   *view
	peers  *peers
	caller *httpapi.Server
	stop   *stopper
	meters *meters
	// budget is what the process may hold.
	budget *budget.Process
	// closeIdleServer closes an idle connection to a server.
	closeIdleServer func() bool
	// crashes keeps requests that crash servers away from them.
	crashes *crashWatch
	// rollouts is nil if the settings have no roll-outs.
	rollouts *rollouts
	// origins knows the software versions at which streams began.
	origins *streamOrigins
	// links opens connections to servers, tunnels for peers.
	links   *instanceLinks
	tunnels *tunnel.Server
}

// New checks the settings and binds the peer socket. It starts no work.
func New(set *settings.Edge, log *zap.Logger) (*Edge, error) {
	policy, err := set.PlacementPolicy()
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "the policy is invalid")
	}
	e := &Edge{set: set, log: log, board: placement.NewBalancer(policy), meters: newMeters(), budget: newBudget(set)}
	e.store = platform.NewStore(set.Store)
	e.store.Descriptors = e.budget.Store
	e.store.Relieve = func() bool { return e.caller.CloseOldestIdle() }
	e.store.OnCall = e.meters.observeStoreCall
	e.view = newView(set, e.store, e.board, log)
	socket, err := gossip.Listen(set.Listen.Peer)
	if err != nil {
		return nil, err
	}
	tracker := quarantine.New(set.Instance)
	e.peers = newPeers(set, socket, e.view, e.board, tracker, log)
	e.view.eras.voided = append(e.view.eras.voided, tracker.ForgetStored)
	budgets := retry.NewBudgets()
	e.view.peers = e.peers
	client := e.newEngineClient()
	e.closeIdleServer = client.CloseOldestIdle
	platform.LimitCalls(e.budget.Calls)
	promptCalls.SetDescriptors(e.budget.Calls)
	timesCalls.SetDescriptors(e.budget.Calls)
	e.view.feeds.SetDescriptors(e.budget.Calls)
	memory := e.budget.Responses
	e.links, e.tunnels = newLinks(e, client)
	e.peers.links, client.Links = e.links, e.links
	client.Report = platform.ReportOver(e.links.dialReport)
	e.crashes = &crashWatch{
		Upstream: client, tracker: tracker, off: !policy.On(placement.PromptQuarantine),
		portState: e.links.portState, entry: e.view.entryState, onEvidence: e.peers.reportSoon, meters: e.meters, log: log,
	}
	pacers := newPacers(e.board, log)
	e.peers.relay.pacers = pacers
	e.peers.onInstanceCount = func(instances int) {
		pacers.setInstances(instances)
		budgets.SetAll(instanceRetryBudget(set, instances))
		client.MaxIdle.Store(int64(e.view.maxIdleConnections(instances)))
	}
	if e.rollouts = newRollouts(set, e.view, e.meters, log); e.rollouts != nil {
		e.rollouts.links = e.links
	}
	e.origins = newStreamOrigins(set, e.view, e.meters, log)
	versions := &streamVersions{origins: e.origins, meters: e.meters, log: log}
	e.view.versions = versions
	times := &servicetime.Tracker{}
	e.peers.times = times
	e.stop = &stopper{
		limit: settings.Millis(set.Times.StopMillis), addressTTL: settings.Millis(set.Times.KeepMillis), peers: e.peers, times: times, log: log,
		tunnels: e.tunnels.Running,
	}
	e.caller = &httpapi.Server{
		Opener: &gateway.Gateway{
			Placer:   &placer{board: e.board, view: e.view, meters: e.meters, crashes: e.crashes, times: times, pacers: pacers, acceptInStop: e.stop.accept, rollouts: e.rollouts, versions: versions, links: e.links, probe: client.Probe},
			Upstream: e.rollouts.watch(e.crashes), Budget: retryBudget(policy, budgets), Memory: memory, Now: time.Now,
			AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		},
		Memory: memory, Admission: e.view, Log: log, Observe: e.meters.observeRequest, LogOneIn: uint64(*set.Log.SampleDecisions),
		Frontend: &platform.Frontend{View: e.view.Current},
	}
	if pacers != nil {
		e.caller.Opener = pacedOpener{e.caller.Opener, pacers}
		e.meters.gauge("pacing", func() any { return pacers.counts(time.Now()) })
	}
	e.stop.caller = e.caller
	e.publishGauges()
	e.meters.gauge("response_memory", func() any {
		return map[string]int64{
			"limit_bytes": memory.Limit(), "used_bytes": memory.Used(), "highest_bytes": memory.Highest(),
			"refused": memory.Refused(), "unbuffered_responses": client.UnbufferedResponses.Load(),
		}
	})
	return e, nil
}

// newEngineClient returns a client of servers that has no links and asks for no reports yet.
func (e *Edge) newEngineClient() *engine.Client {
	return &engine.Client{
		ConnectTimeout: connectTimeout, KeepAlive: &serverKeepAlive, UserTimeout: unackedTimeout,
		MaxAnswerBytes: maxResponseBytes, Dialect: platform.Dialect(), MaxPause: settings.Millis(e.set.Times.MaxPauseMillis),
		Descriptors: e.budget.Servers, Relieve: func() bool { return e.caller.CloseOldestIdle() }, Memory: e.budget.Responses,
		ServerState: e.view.serverState,
		OnNotice:    (&noticeBoard{board: e.board, log: e.log}).apply, OnLoad: serverLoads(e.board),
		OnBrittle:  (&brittleNotices{board: e.board, log: e.log}).apply,
		OnRejected: rejections(e.meters, e.log), OnConnectionEnd: connectionEnds(e.meters, e.log),
	}
}

func newBudget(set *settings.Edge) *budget.Process {
	return budget.NewProcess(set.Limits.Descriptors, int64(set.Limits.MemoryMegabytes)<<20)
}

// Shares describes what an instance with these settings may hold, one share a line.
func Shares(set *settings.Edge) []string { return newBudget(set).Lines() }

// publishGauges publishes the state of the instance as metrics.
func (e *Edge) publishGauges() {
	e.meters.gauge("instance", func() any { return e.set.Instance })
	e.meters.gauge("data_centre", func() any { return e.set.DataCentre })
	e.meters.gauge("serving", func() any { return e.peers.serving() })
	e.meters.gauge("running", func() any { return e.caller.Running() })
	e.meters.gauge("config_version", func() any { v, _, _ := e.view.lease.State(); return v })
	e.meters.gauge("config_age_ms", func() any {
		_, at, known := e.view.lease.State()
		if !known {
			return nil
		}
		return (clock.SinceBoot() - at).Milliseconds()
	})
	e.meters.gauge("peers_live", func() any { return len(e.peers.roster.Live(time.Now())) })
	e.meters.gauge("relaying", func() any { return e.peers.relaying.Load() })
	e.meters.gauge("store_readers", func() any {
		var ids []string
		for _, r := range e.peers.readers() {
			ids = append(ids, string(r.ID))
		}
		return ids
	})
	e.meters.gauge("prompt_parts", func() any { return e.crashes.tracker.Summary() })
	e.meters.gauge("request_memory", func() any {
		return map[string]int64{
			"limit_bytes": e.budget.Bodies.Limit(), "used_bytes": e.budget.Bodies.Used(), "highest_bytes": e.budget.Bodies.Highest(), "refused": e.budget.Bodies.Refused(),
		}
	})
	e.meters.gauge("requests_read", func() any {
		r := e.budget.Reading
		return map[string]int64{"limit": r.Limit(), "used": r.Used(), "highest": r.Highest(), "refused": r.Refused()}
	})
	e.meters.gauge("unread_memory", func() any {
		u := e.budget.Unread
		return map[string]int64{"limit_bytes": u.Limit(), "used_bytes": u.Used(), "highest_bytes": u.Highest(), "refused": u.Refused()}
	})
	e.meters.gauge("descriptors", func() any {
		shares := map[string]map[string]int64{}
		for _, s := range e.budget.Shares() {
			shares[s.Name] = map[string]int64{"limit": s.Limit(), "used": s.Used(), "highest": s.Highest(), "refused": s.Refused()}
		}
		return shares
	})
	e.publishLinkGauges()
	e.publishEraGauges()
	e.meters.gauge("servers", func() any { return e.board.Summary(time.Now()) })
}

// retryBudgetShare is the fraction of the fleet's retry budget that is used. The rest
// allows for instances that see a change of the fleet's size at different times.
const retryBudgetShare = 0.7

// instanceRetryBudget is one instance's share of the fleet's retry budget, in percent of its
// requests and in retries.
func instanceRetryBudget(set *settings.Edge, instances int) (percent, burst int) {
	return int(retryBudgetShare * set.Limits.RetryRatio * 100), int(retryBudgetShare * set.Limits.RetryBurst / float64(max(1, instances)))
}

// retryBudget returns the budget of second runs.
func retryBudget(policy placement.Policy, budgets *retry.Budgets) gateway.RetryBudget {
	if !policy.On(placement.SecondRuns) {
		return noRetries{}
	}
	return budgets
}

// noRetries is the budget of an instance whose second runs are switched off.
type noRetries struct{}

func (noRetries) OnRequest(fleet.PoolID)     {}
func (noRetries) TryRetry(fleet.PoolID) bool { return false }

// Run serves until ctx ends, then stops gracefully. reload signals a changed settings
// file.
func (e *Edge) Run(ctx context.Context, reload <-chan os.Signal) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	errs := make(chan error, 4)
	serve := func(addr string, fn func(net.Listener) error) error {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return result.Wrap(result.SettingsInvalid, err, "address %s cannot be used", addr)
		}
		go func() { errs <- fn(ln) }()
		return nil
	}
	directory := &platform.Directory{Addresses: e.peers.addresses, TTL: settings.Millis(e.set.Times.KeepMillis), Log: e.log}
	for _, l := range []struct {
		addr string
		fn   func(net.Listener) error
	}{
		{e.set.Listen.Caller, func(ln net.Listener) error { return e.caller.Serve(ln, e.callerLimits()) }},
		{e.set.Listen.Ready, e.auxiliaryServer(e.budget.Readiness, platform.ReadinessHandler(e.peers.ready))},
		{e.set.Listen.Directory, e.auxiliaryServer(e.budget.Directory, directory.Handle)},
		{e.set.Listen.Peer, e.auxiliaryServer(e.budget.Peers, e.peers.servePeer((&feed.Server{Log: e.view.sharedLog, ReadStart: e.view.sharedReadStart, Now: clock.SinceBoot, Refresh: e.origins.refresh, Extra: e.view.extraTable}).Handle, e.tunnels.Handle))},
		{e.set.Listen.Metrics, e.auxiliaryServer(e.budget.Metrics, e.meters.handle)},
	} {
		if l.addr == "" {
			continue
		}
		if err := serve(l.addr, l.fn); err != nil {
			return err
		}
	}
	go e.view.run(work)
	go e.peers.run(work)
	go (&quarantineStore{tracker: e.crashes.tracker, store: e.store, peers: e.peers, log: e.log}).run(work)
	go e.rollouts.run(work)
	go e.origins.run(work)
	go e.links.run(work)
	e.log.Info("instance started", zap.String("caller", e.set.Listen.Caller), zap.String("peer", e.set.Listen.Peer),
		zap.Strings("mechanisms_off", e.set.Policy.Disabled), zap.Duration("since_boot", clock.SinceBoot()))
	for {
		select {
		case err := <-errs:
			return err
		case <-reload:
			e.log.Info("settings file changed", zap.String(logging.FieldReason, "no setting can change while the instance runs"))
		case <-ctx.Done():
			return e.stop.run(work)
		}
	}
}

// auxiliaryServer returns a serve function for endpoints with short calls, whose connections
// take descriptors of share.
func (e *Edge) auxiliaryServer(share *budget.Share, h fasthttp.RequestHandler) func(net.Listener) error {
	srv := &fasthttp.Server{
		Handler: h, NoDefaultServerHeader: true, ReadTimeout: auxiliaryReadTimeout, WriteTimeout: writeTimeout,
		// Calls have no body; the library would keep one of up to 4 MB in memory.
		MaxRequestBodySize: 1,
		IdleTimeout:        auxiliaryIdleTimeout, ReduceMemoryUsage: true, CloseOnShutdown: true, ConnState: sockets.TrackIdle,
	}
	return func(ln net.Listener) error {
		return srv.Serve(&sockets.Listener{Listener: ln, Share: share, Relieve: e.caller.CloseOldestIdle, Log: e.log})
	}
}

// bodyPace returns the progress that long request bodies must make. Settings that were not
// read from a file have no defaults and set no pace.
func bodyPace(set *settings.Edge) budget.Pace {
	l := set.Limits
	return budget.Pace{
		Bytes: int64(l.BodyWindowKilobytes) << 10, Window: settings.Millis(l.BodyWindowMillis), Pressed: settings.Millis(l.BodyPressedMillis),
	}
}

func (e *Edge) callerLimits() httpapi.Limits {
	return httpapi.Limits{
		MaxBodyBytes: 4 << 20, MaxHeaderBytes: 16 << 10,
		Bodies: e.budget.Bodies, Reading: e.budget.Reading, Unread: e.budget.Unread, BodyWait: bodyWait, BodyPace: bodyPace(e.set), Descriptors: e.budget.Callers, Relieve: e.closeIdleServer,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: callerIdleTimeout,
	}
}
