package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/core/catalog"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/streamorigin"
)

const (
	// streamWindowMargin is added to the longest timeout of a pool's routes to get the time in
	// which a stream may be taken up after it began. It covers instances that use a server for
	// some seconds after others have seen it leave.
	streamWindowMargin = 10 * time.Second
	// unlimitedStreamTime stands for the timeout of a route without one.
	unlimitedStreamTime = time.Hour
	// originWait limits how long a take-up waits for what the store says: two reads of the rows,
	// or the next confirmation of the server entries by the follower of their table, which takes
	// 1.9 s at most at an instance that reads them from another.
	originWait = 2 * time.Second
)

// streamOrigins knows at which software version streams began. All methods do nothing on nil.
type streamOrigins struct {
	tracker *streamorigin.Tracker
	set     *settings.Edge
	view    *view
	meters  *meters
	log     *zap.Logger
	reads   sharedReads
	entries streamEntries
	// start and startBoot are the same moment. Times are counted from it by a clock that goes on
	// while the machine is suspended.
	start     time.Time
	startBoot freshness.Instant
	// windows are the times in which streams may be taken up, of all pools that have had
	// resumable streams. They are guarded by the lock of the view.
	windows map[fleet.PoolID]time.Duration
	moves   streamMoves
	// changed is signalled when the versions of a pool have changed.
	changed chan struct{}
	// begun is signalled when a stream has begun that is to be stored.
	begun chan struct{}
}

func newStreamOrigins(set *settings.Edge, v *view, m *meters, log *zap.Logger) *streamOrigins {
	o := &streamOrigins{
		tracker: streamorigin.New(set.Instance, v.peers.incarnation.Start()), set: set, view: v, meters: m, log: log, changed: make(chan struct{}, 1), begun: make(chan struct{}, 1),
		start: time.Now(), startBoot: clock.SinceBoot(), windows: map[fleet.PoolID]time.Duration{},
	}
	o.reads.read, o.entries.reads.read, o.entries.peers.read = o.readStore, o.readEntries, o.askPeers
	v.origins = o
	v.eras.voided = append(v.eras.voided, func() { o.tracker.Void(o.now()) })
	return o
}

func (o *streamOrigins) now() time.Time { return o.start.Add(clock.SinceBoot() - o.startBoot) }

// setServers states the servers of the pools whose streams may be resumed. The caller holds the
// lock of the view.
func (o *streamOrigins) setServers(c *catalog.Catalog, servers map[fleet.ServerID]*discoveredServer) {
	if o == nil {
		return
	}
	for pool, longest := range c.StreamTimes(unlimitedStreamTime) {
		o.windows[pool] = max(o.windows[pool], longest+streamWindowMargin)
	}
	byPool := make(map[fleet.PoolID][]streamorigin.Server, len(o.windows))
	for id, s := range servers {
		if _, ok := o.windows[s.Pool]; ok {
			byPool[s.Pool] = append(byPool[s.Pool], streamorigin.Server{ID: id, Version: s.Version, StartMillis: s.StartMillis, Sequence: s.Sequence})
		}
	}
	now := o.now()
	for pool, window := range o.windows {
		if !o.tracker.SetServers(now, pool, window, byPool[pool]) {
			continue
		}
		counts := map[string]int{}
		for _, s := range byPool[pool] {
			counts[s.Version]++
		}
		o.log.Info("software versions of the pool changed", zap.String(logging.FieldPool, string(pool)), zap.Any("servers_by_version", counts))
		select {
		case o.changed <- struct{}{}:
		default:
		}
	}
	if moved := o.moves.apply(now, c, o.windows); len(moved) > 0 {
		o.tracker.Moved(now, moved)
		o.log.Info("configuration moved streams between pools", zap.Any("pools", moved))
	}
}

// accountStream identifies a stream of the request's account: accounts choose the IDs of their
// requests, so that those of two accounts may be equal.
func accountStream(req *gateway.Request, streamID string) string {
	if req.Account == nil {
		return "/" + streamID
	}
	return string(req.Account.Name) + "/" + streamID
}

// started records that a server of the given version has begun the stream of a request. It is
// called at the latest with the first event.
func (o *streamOrigins) started(now time.Time, req *gateway.Request, server fleet.ServerID, version string) {
	if o == nil || !req.Stream || !req.Resumable {
		return
	}
	at := o.now()
	o.tracker.Started(at, req.Pool.Name, accountStream(req, req.ID), version, server, at.Add(req.Deadline.Sub(now)))
	if o.tracker.FlushAt().IsZero() {
		return
	}
	select {
	case o.begun <- struct{}{}:
	default:
	}
}

// doubtful reports whether another process of its server, with another version, may have begun
// the stream of a request that the instance is about to resume.
func (o *streamOrigins) doubtful(req *gateway.Request) bool {
	return o != nil && o.tracker.Doubtful(o.now(), req.Pool.Name, accountStream(req, req.ID))
}

// retryAfter returns how long a caller whose stream has an unknown origin waits before it is
// worth asking again: until then the instance where the stream began has stored it.
func (o *streamOrigins) retryAfter() time.Duration {
	if o == nil {
		return 0
	}
	return o.tracker.StoredWithin(o.instances()) + streamStoreInterval
}

// instances returns the number of live instances.
func (o *streamOrigins) instances() int { return len(o.view.peers.roster.Live(time.Now())) + 1 }

// origin returns the software version at which a stream of the request's pool began. It may
// read the store, until the request's deadline at the latest. If the version is not known, the
// stream must not go on.
func (o *streamOrigins) origin(ctx context.Context, req *gateway.Request, streamID string) (version string, known bool) {
	if o == nil {
		return "", false
	}
	pool, stream := req.Pool.Name, accountStream(req, streamID)
	found := o.lookUp(ctx, req, pool, stream)
	o.meters.streamOrigins.Add(string(found.By), 1)
	o.log.Debug("origin of a stream", zap.String(logging.FieldRequest, req.ID), zap.String("stream", streamID), zap.String(logging.FieldPool, string(pool)),
		zap.String("by", string(found.By)), zap.String(logging.FieldVersion, found.Version))
	return found.Version, found.Known()
}

// lookUp asks the tracker and does what it needs for an answer.
func (o *streamOrigins) lookUp(ctx context.Context, req *gateway.Request, pool fleet.PoolID, stream string) streamorigin.Origin {
	limit := time.Now().Add(originWait)
	if !req.Deadline.IsZero() && req.Deadline.Before(limit) {
		limit = req.Deadline
	}
	wait, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	l := streamorigin.Lookup{Arrived: o.now(), Moved: o.moves.isMoved(o.now(), req)}
	for {
		found := o.tracker.Origin(o.now(), pool, stream, l)
		switch found.By {
		case streamorigin.NeedsRows:
			o.reads.wait(wait)
			l.RowsRead = true
		case streamorigin.NeedsEntries:
			l.NoneNewer = o.awaitEntries(wait, l.Arrived, func(ctx context.Context) bool { return o.noneNewer(ctx, pool) })
			l.EntriesAwaited = true
		default:
			return found
		}
	}
}
