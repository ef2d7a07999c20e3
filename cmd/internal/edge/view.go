package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/adapters/feed"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/core/catalog"
	"cyclamenhitch/core/feedlog"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/lapse"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/store"
	"cyclamenhitch/platform"
)

const (
	// operatorWait and serversWait are how long a call to the store waits for changes.
	// Each call confirms the view when it ends, so that a view is about this old.
	operatorWait = time.Second
	serversWait  = 700 * time.Millisecond
	// instancesWait is longer, because new instances are also heard from directly.
	instancesWait = 25 * time.Second
	// storeRetry is the mean wait after a failed call to the store.
	storeRetry = 200 * time.Millisecond
	// revokeMargin is the part of the time to revoke a key that is kept for the way
	// of a request from the last check to the server.
	revokeMargin = 400 * time.Millisecond
	// notReadyRetry is when a caller may ask again that met an instance without a
	// fresh view; its next connection goes to another one.
	notReadyRetry = 50 * time.Millisecond
	// outageRetry is the same while no instance is known to have one.
	outageRetry = time.Second
)

// view is what the instance knows of the store.
type view struct {
	set   *settings.Edge
	store *platform.Store
	board *placement.Balancer
	log   *zap.Logger
	peers *peers

	lease   *freshness.Lease
	current atomic.Pointer[catalog.Catalog]
	tables  []*table
	feeds   *feed.Pool
	avoided avoided
	// storeOK says that the last direct read succeeded.
	storeOK atomic.Bool

	// asked is when a peer was last asked for a table, as time since boot; 0 for never.
	asked atomic.Int64
	// began is when the instance started.
	began freshness.Instant

	mu      sync.Mutex
	servers map[fleet.ServerID]*seen
	loaded  bool // the servers have been read once
	grace   lapse.EntryGrace
	out     map[fleet.DataCentreID]bool
}

// seen is a discovered server.
type seen struct {
	catalog.ServerEntry
	coldUntil time.Time
	// lapsed is until when it is kept without an entry; zero means that it has one.
	lapsed time.Time
}

func newView(set *settings.Edge, s *platform.Store, b *placement.Balancer, log *zap.Logger) *view {
	v := &view{
		began: clock.SinceBoot(),
		set:   set, store: s, board: b, log: log,
		lease:   freshness.NewLease(settings.Millis(set.Times.RevokeMillis) - revokeMargin),
		servers: map[fleet.ServerID]*seen{}, out: map[fleet.DataCentreID]bool{}, feeds: feed.NewPool(),
	}
	v.tables = []*table{
		{name: platform.OperatorTable, wait: operatorWait, take: v.takeOperator, log: feedlog.New()},
		{name: platform.ServerTable, wait: serversWait, take: v.takeServers, log: feedlog.New()},
		{name: platform.InstanceTable, wait: instancesWait, take: func(u update) { v.peers.takeListed(u) }, log: feedlog.New()},
	}
	return v
}

// Current returns the configuration in force. With fresh it returns an error with
// outcome not_run when the configuration may be out of date.
func (v *view) Current(fresh bool) (*catalog.Catalog, *result.Error) {
	c := v.current.Load()
	if c == nil {
		return nil, result.New(result.NotReady, "the instance has no configuration yet").WithRetryAfter(v.retryAfter())
	}
	now := clock.SinceBoot()
	if fresh && !v.lease.Valid(now) {
		_, at, _ := v.lease.State()
		return nil, result.New(result.Isolated, "the configuration was last confirmed %v ago", (now - at).Round(time.Millisecond)).WithRetryAfter(v.retryAfter())
	}
	return c, nil
}

// retryAfter is when a caller may ask again that met an instance without a fresh view.
func (v *view) retryAfter() time.Duration {
	if v.peers.anyServes() {
		return notReadyRetry
	}
	return outageRetry
}

// Check implements httpapi.Gate.
func (v *view) Check() error { return nil }

// fresh reports whether requests can be served.
func (v *view) fresh() bool {
	_, e := v.Current(true)
	if e != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.loaded
}

func (v *view) run(ctx context.Context) {
	go v.register(ctx)
	for _, t := range v.tables {
		go v.follow(ctx, t)
	}
	<-ctx.Done()
}

// update is what one read showed.
type update struct {
	entries []store.Entry
	// whole says that the entries are the whole table.
	whole bool
	// direct says that the store itself was read, not a peer's copy.
	direct bool
	// start is when the read of the store began that it reflects, at the latest.
	start freshness.Instant
}

func (v *view) logDependency(table string, lost bool, err error) {
	if lost {
		v.log.Warn("store lost", zap.String("table", table), zap.Error(err))
		return
	}
	v.log.Info("store regained", zap.String("table", table))
}

// register writes this instance's address until it is known to be there.
func (v *view) register(ctx context.Context) {
	body, err := platform.EncodeInstance(roster.Listing{Peer: v.set.Listen.Peer, DataCentre: v.set.DataCentre, LinkMbps: int(v.set.Limits.LinkMbps)})
	if err != nil {
		v.log.Error("own entry not encoded", zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		if err = v.store.Set(ctx, platform.InstanceTable, string(v.set.Instance), body); err == nil {
			return
		}
		v.log.Warn("own entry not written", zap.Error(err))
		sleep(ctx, storeRetry/2+rand.N(storeRetry))
	}
}

// takeOperator takes rows of the operator's table.
func (v *view) takeOperator(u update) {
	out, changed := v.outOf(u)
	for _, e := range u.entries {
		if e.Key == platform.ConfigKey && e.Value != nil {
			v.adopt(e.Value, u.direct)
		}
	}
	if c := v.current.Load(); c != nil {
		v.lease.Confirm(c.Version, u.start)
	}
	if changed {
		v.log.Info("data centres out of service changed", zap.Any("out", out))
		v.publish()
	}
}

func (v *view) outOf(u update) (map[fleet.DataCentreID]bool, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[fleet.DataCentreID]bool{}
	if !u.whole {
		maps.Copy(out, v.out)
	}
	for _, e := range u.entries {
		if dc, ok := platform.OutOfService(e.Key); ok && e.Value != nil {
			out[dc] = true
		} else if ok {
			delete(out, dc)
		}
	}
	changed := !maps.Equal(out, v.out)
	v.out = out
	return out, changed
}

// adopt puts a configuration in force unless it is older than the present one.
func (v *view) adopt(body []byte, direct bool) {
	c, err := platform.DecodeConfig(body)
	if err != nil {
		v.log.Error("configuration refused, the last good one stays in force", zap.Bool("direct", direct), zap.Error(err))
		return
	}
	for {
		old := v.current.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if v.current.CompareAndSwap(old, c) {
			break
		}
	}
	v.log.Info("configuration in force", zap.Uint64(logging.FieldVersion, c.Version), zap.Bool("direct", direct))
	v.publish()
}

// takeServers takes entries of backend servers.
func (v *view) takeServers(u update) {
	now := time.Now()
	v.mu.Lock()
	v.grace.StoreRead(now)
	old := v.servers
	if u.whole {
		v.servers = make(map[fleet.ServerID]*seen, len(u.entries))
		for id, s := range old {
			v.vanish(now, id, s)
		}
	}
	first := !v.loaded
	for _, e := range u.entries {
		id := fleet.ServerID(e.Key)
		if e.Value == nil {
			v.vanish(now, id, old[id])
			continue
		}
		s, err := platform.DecodeServer(e.Key, e.Value)
		if err != nil {
			delete(v.servers, id)
			v.log.Warn("entry names no server", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		v.servers[id] = v.note(now, old[id], s, first)
	}
	v.loaded = true
	v.mu.Unlock()
	if len(u.entries) > 0 || u.whole {
		v.publish()
	}
}

// vanish takes a server out whose entry is missing, at once or when its entry does
// not come back after an outage of the store. The caller holds mu.
func (v *view) vanish(now time.Time, id fleet.ServerID, s *seen) {
	until := v.grace.KeepUntil(now)
	if s == nil || s.Leaving || !until.After(now) {
		if s != nil {
			v.log.Info("server gone", zap.String(logging.FieldServer, string(id)))
		}
		delete(v.servers, id)
		return
	}
	kept := *s
	if kept.lapsed.IsZero() {
		kept.lapsed = until
		v.log.Info("server's entry lapsed", zap.String(logging.FieldServer, string(id)), zap.Duration("kept", until.Sub(now)))
		time.AfterFunc(until.Sub(now), v.dropLapsed)
	}
	v.servers[id] = &kept
}

// dropLapsed takes out the servers whose entries did not come back. While the store
// is away again they are kept.
func (v *view) dropLapsed() {
	now := time.Now()
	v.mu.Lock()
	dropped := false
	for id, s := range v.servers {
		if s.lapsed.IsZero() || now.Before(s.lapsed) {
			continue
		}
		if until := v.grace.KeepUntil(now); until.After(now) {
			s.lapsed = until
			time.AfterFunc(until.Sub(now), v.dropLapsed)
			continue
		}
		delete(v.servers, id)
		dropped = true
		v.log.Info("server gone", zap.String(logging.FieldServer, string(id)), zap.String(logging.FieldReason, "its entry did not come back"))
	}
	v.mu.Unlock()
	if dropped {
		v.publish()
	}
}

// serversLost notes that the servers' entries cannot be read.
func (v *view) serversLost() {
	v.mu.Lock()
	v.grace.StoreFailed()
	v.mu.Unlock()
}

// knowsServers reports whether the servers have been read.
func (v *view) knowsServers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.loaded
}

// note returns the state of a server whose entry was read. The caller holds mu.
func (v *view) note(now time.Time, old *seen, s catalog.ServerEntry, first bool) *seen {
	n := &seen{ServerEntry: s}
	if s.ColdLeft > 0 {
		n.coldUntil = now.Add(s.ColdLeft)
	}
	switch {
	case old == nil && !first, old != nil && old.StartMillis != s.StartMillis:
		// A server that started may not say so yet.
		if c := v.current.Load(); c != nil {
			if p := c.Pool(s.Pool); p != nil {
				n.coldUntil = later(n.coldUntil, now.Add(p.ColdTime))
			}
		}
	case old != nil:
		n.coldUntil = later(n.coldUntil, old.coldUntil)
	}
	if old == nil || old.Leaving != s.Leaving || old.StartMillis != s.StartMillis || n.coldUntil.After(old.coldUntil) {
		v.log.Info("server seen", zap.String(logging.FieldServer, string(s.ID)), zap.String(logging.FieldPool, string(s.Pool)),
			zap.String(logging.FieldAddress, s.Address), zap.Bool("leaving", s.Leaving), zap.Duration("cold", max(0, n.coldUntil.Sub(now))))
	}
	return n
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// publish gives the board the servers that may get work.
func (v *view) publish() {
	c := v.current.Load()
	if c == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	byPool := map[fleet.PoolID][]placement.Server{}
	for _, s := range v.servers {
		p := c.Pool(s.Pool)
		if p == nil {
			continue
		}
		slots := s.Slots
		if p.Slots > 0 {
			slots = p.Slots
		}
		byPool[s.Pool] = append(byPool[s.Pool], placement.Server{
			ID: s.ID, Address: s.Address, DataCentre: s.DataCentre, Slots: slots, Engine: p.Engine, CacheTokens: p.CacheTokens,
			Out: s.Leaving || v.out[s.DataCentre], ColdUntil: s.coldUntil, ColdRate: p.ColdRate, FetchTokensPerMs: p.FetchTokensPerMs, Incarnation: s.StartMillis,
		})
	}
	for _, p := range c.Pools() {
		v.board.SetServers(p.Name, byPool[p.Name])
	}
}

// idleMargin is the part of the connections that a server accepts which all instances
// together keep idle.
const idleMargin = 0.5

// idleShare is how many idle connections this instance may keep to a server.
func (v *view) idleShare(instances int) int {
	least := 0
	if c := v.current.Load(); c != nil {
		for _, p := range c.Pools() {
			if p.MaxConnections > 0 && (least == 0 || p.MaxConnections < least) {
				least = p.MaxConnections
			}
		}
	}
	return max(1, int(idleMargin*float64(least))/max(1, instances))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
