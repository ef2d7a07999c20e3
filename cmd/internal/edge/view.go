package edge

import (
	"context"
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
	"cyclamenhitch/core/entryexpiry"
	"cyclamenhitch/core/feedlog"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
	"cyclamenhitch/core/storeera"
	"cyclamenhitch/platform"
)

const (
	// operatorPollWait and serversPollWait are the long-poll timeouts of store reads. Each
	// read confirms the view when it ends, so they determine the age of the view.
	operatorPollWait = time.Second
	serversPollWait  = 700 * time.Millisecond
	// instancesPollWait is longer, because new instances also send reports directly.
	instancesPollWait = 25 * time.Second
	// storeRetryDelay is the mean delay after a failed store call.
	storeRetryDelay = 200 * time.Millisecond
	// revokeMargin is the part of the key revocation time reserved for the transfer of a
	// request to the server after the last check.
	revokeMargin = 400 * time.Millisecond
	// notReadyRetryAfter is the Retry-After of an instance without a fresh view; the
	// caller's next connection goes to another instance.
	notReadyRetryAfter = 50 * time.Millisecond
	// outageRetryAfter is the Retry-After while no other instance is known to serve.
	outageRetryAfter = time.Second
)

// view is the instance's local copy of the store's tables.
type view struct {
	set   *settings.Edge
	store *platform.Store
	board *placement.Balancer
	log   *zap.Logger
	peers *peers
	// rollouts is nil if the settings have no roll-outs.
	rollouts *rollouts
	versions *streamVersions
	origins  *streamOrigins

	lease        *freshness.Lease
	current      atomic.Pointer[catalog.Catalog]
	tables       []*table
	feeds        *feed.Pool
	avoidedPeers avoidedPeers
	// storeOK is true if the last direct read succeeded.
	storeOK atomic.Bool

	// lastPeerRead is the start of the last read from a peer, as time since boot; 0 if
	// there was none.
	lastPeerRead atomic.Int64
	// lastReadFailure is when a read of the store last failed, as time since boot; 0 if none
	// has.
	lastReadFailure atomic.Int64
	// startedAt is when the instance started.
	startedAt freshness.Instant

	eras *eras
	// caughtUp is set once the instance has learned from peers what the store may have lost.
	caughtUp atomic.Bool
	// behindPeers is set while a live peer reports a newer configuration.
	behindPeers atomic.Bool
	// copyConfig is the version of the configuration in the store's copy.
	copyConfig atomic.Uint64

	mu           sync.Mutex
	servers      map[fleet.ServerID]*discoveredServer
	serversRead  bool // the server table has been read at least once
	grace        entryexpiry.EntryGrace
	departed     storeera.Servers
	evacuated    storeera.Switches
	outOfService map[fleet.DataCentreID]bool
	configBody   []byte // of the configuration in force
	learned      bool   // something was learned from a peer
}

// discoveredServer is a backend server read from the server table.
type discoveredServer struct {
	catalog.ServerEntry
	// entry is the row, as written.
	entry     []byte
	coldUntil time.Time
	// restartedAt is when the entry of another start under the same ID was first seen; zero if
	// none was.
	restartedAt time.Time
	// keptUntil is the end of the grace period of a server whose entry is missing; zero
	// while the entry exists.
	keptUntil time.Time
}

func newView(set *settings.Edge, s *platform.Store, b *placement.Balancer, log *zap.Logger) *view {
	v := &view{
		startedAt: clock.SinceBoot(), eras: newEras(log),
		set: set, store: s, board: b, log: log,
		lease:   freshness.NewLease(settings.Millis(set.Times.RevokeMillis) - revokeMargin),
		servers: map[fleet.ServerID]*discoveredServer{}, outOfService: map[fleet.DataCentreID]bool{}, feeds: feed.NewPool(),
	}
	v.evacuated.Hold = settings.Millis(set.Eras.OperatorMillis)
	v.eras.voided = append(v.eras.voided, v.noteServersUnreadable)
	v.eras.afterRise(platform.InstanceTable, v.rewriteInstance)
	s.OnEra = v.eras.tracker.Observe
	v.tables = []*table{
		{name: platform.OperatorTable, pollWait: operatorPollWait, apply: v.applyOperator, log: feedlog.New()},
		{name: platform.ServerTable, pollWait: serversPollWait, apply: v.applyServers, log: feedlog.New()},
		{name: platform.InstanceTable, pollWait: instancesPollWait, apply: func(u update) { v.peers.applyInstances(u) }, log: feedlog.New()},
	}
	return v
}

// Current returns the active configuration. With fresh it returns an error with
// outcome not_run if the lease on the configuration has expired.
func (v *view) Current(fresh bool) (*catalog.Catalog, *result.Error) {
	c := v.current.Load()
	if c == nil || !v.mayServe() {
		return nil, result.New(result.NotReady, "the instance has no configuration yet").WithRetryAfter(v.retryAfter())
	}
	now := clock.SinceBoot()
	if fresh && !v.lease.Valid(now) {
		_, at, _ := v.lease.State()
		return nil, result.New(result.Isolated, "the configuration was last confirmed %v ago", (now - at).Round(time.Millisecond)).WithRetryAfter(v.retryAfter())
	}
	return c, nil
}

// retryAfter returns the Retry-After of a refusal for lack of a fresh view.
func (v *view) retryAfter() time.Duration {
	if v.peers.anyPeerServes() {
		return notReadyRetryAfter
	}
	return outageRetryAfter
}

// Check implements httpapi.Admission.
func (v *view) Check() error { return nil }

// fresh reports whether the view is complete and recent enough to serve requests.
func (v *view) fresh() bool {
	_, e := v.Current(true)
	if e != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.serversRead
}

func (v *view) run(ctx context.Context) {
	go v.register(ctx)
	go v.catchUp(ctx)
	v.eras.run(ctx)
	for _, t := range v.tables {
		go v.follow(ctx, t)
	}
	<-ctx.Done()
}

// update is the result of one read of a table.
type update struct {
	entries []store.Entry
	// newEra is true if the previous read of the table was of an earlier era.
	newEra bool
	// full is true if entries is the full table instead of changes.
	full bool
	// direct is true if the store was read, false for a peer's copy.
	direct bool
	// readStart is an upper bound of the start of the store read that it reflects.
	readStart freshness.Instant
	// version is that of the table with the entries.
	version store.Version
}

func (v *view) logDependency(table string, lost bool, err error) {
	if lost {
		v.log.Warn("store lost", zap.String("table", table), zap.Error(err))
		return
	}
	v.log.Info("store regained", zap.String("table", table))
}

// register writes this instance's entry to the store, retrying until a write succeeds.
func (v *view) register(ctx context.Context) {
	body, err := v.instanceEntry()
	if err != nil {
		v.log.Error("cannot encode the instance entry", zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		if err = v.store.Set(ctx, platform.InstanceTable, string(v.set.Instance), body); err == nil {
			return
		}
		v.log.Warn("cannot write the instance entry", zap.Error(err))
		sleep(ctx, storeRetryDelay/2+rand.N(storeRetryDelay))
	}
}

// applyOperator applies rows of the operator table.
func (v *view) applyOperator(u update) {
	v.rollouts.applyOrders(u)
	out, changed := v.applyEvacuations(u)
	if u.full {
		v.copyConfig.Store(0)
	}
	for _, e := range u.entries {
		if e.Key == platform.ConfigKey && e.Value != nil {
			v.copyConfig.Store(v.applyConfig(e.Value, u.direct))
		}
	}
	if c := v.current.Load(); c != nil && v.copyVouches(c.Version, clock.SinceBoot()) {
		v.lease.Confirm(c.Version, u.readStart)
	}
	if changed {
		v.log.Info("data centres out of service changed", zap.Any("out", out))
		v.publishServers()
	}
}

// applyConfig activates a configuration if it is newer than the active one. It returns its
// version, 0 if it is invalid.
func (v *view) applyConfig(body []byte, direct bool) uint64 {
	c, err := platform.DecodeConfig(body)
	if err != nil {
		v.log.Error("invalid configuration ignored; the last valid one stays active", zap.Bool("direct", direct), zap.Error(err))
		return 0
	}
	for {
		old := v.current.Load()
		if old != nil && old.Version >= c.Version {
			return c.Version
		}
		if v.current.CompareAndSwap(old, c) {
			break
		}
	}
	v.log.Info("configuration in force", zap.Uint64(logging.FieldVersion, c.Version), zap.Bool("direct", direct))
	v.keepConfigBody(c.Version, body)
	v.publishServers()
	return c.Version
}

// idleConnectionShare is the fraction of a server's connection limit that all instances
// together may keep idle.
const idleConnectionShare = 0.5

// maxIdleConnections returns how many idle connections this instance may keep to a server.
func (v *view) maxIdleConnections(instances int) int {
	least := 0
	if c := v.current.Load(); c != nil {
		for _, p := range c.Pools() {
			if p.MaxConnections > 0 && (least == 0 || p.MaxConnections < least) {
				least = p.MaxConnections
			}
		}
	}
	return max(1, int(idleConnectionShare*float64(least))/max(1, instances))
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
