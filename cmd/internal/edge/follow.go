package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/adapters/feed"
	"cyclamenhitch/core/feedlog"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/store"
	"cyclamenhitch/platform"
)

const (
	// peerPollWait is the long-poll timeout of a read from a peer. It is short, so that
	// an unresponsive peer is abandoned within a second.
	peerPollWait = 500 * time.Millisecond
	// copyFreshnessSlack is how far a read of the store may exceed its poll wait before
	// the instance stops serving its copy to peers.
	copyFreshnessSlack = 600 * time.Millisecond
	// peerAvoidTime is how long a peer is not read from after a failure.
	peerAvoidTime = 2 * time.Second
	// ownReadLeaseShare is the fraction of its lease after which an instance reads the
	// configuration from the store itself.
	ownReadLeaseShare = 0.7
	// changeBatchDelay is the delay after changes, so that a series of them needs few calls.
	changeBatchDelay = 100 * time.Millisecond
	// historyGoneWindow is the time after a loss of change history in which another loss
	// is followed by a delay instead of an immediate full read.
	historyGoneWindow = 3 * time.Second
	// instanceListTimeout is how long after the start the other tables wait for the first
	// read of the instance list.
	instanceListTimeout = 150 * time.Millisecond
	// relayWait is how long an instance of a large fleet that is not to be a relay waits
	// for a relay to read from, after its start and after its last read from a peer. If
	// all instances read at once, 300 instances and 3,000 servers need more calls than the
	// store answers in a second, and each registration ends the long polls of all others.
	relayWait = 1200 * time.Millisecond
	// relayWaitJitter is the range of the per-instance addition to relayWait, so that the
	// first instances to read the store can serve the others.
	relayWaitJitter = 600 * time.Millisecond
	// ownReadRetryDelay is the time after a failed read of the store in which an instance
	// whose lease runs out reads from a peer instead. A store that refuses only this
	// instance refuses at once, and the peer's copy renews the lease as well.
	ownReadRetryDelay = time.Second
	// sourcePollInterval is the interval at which an instance that may not read the store
	// looks for a peer to read from.
	sourcePollInterval = 10 * time.Millisecond
	// nonReaderRetryDelay is the mean delay after a failed store call of an instance that
	// is not to be a reader. It still retries, because the store may be refusing only the
	// designated readers.
	nonReaderRetryDelay = 3 * time.Second
)

// table is a followed table.
type table struct {
	name     string
	pollWait time.Duration
	apply    func(update)
	log      *feedlog.Log
	// reflects is when the last read of the store began that the copy of a direct reader is
	// known to reflect, read when the last successful direct read ended, as time since boot; 0
	// for none.
	reflects, read atomic.Int64
	// era is that of the copy. applied is set once the table has been read.
	era     atomic.Uint64
	applied bool
}

// isFresh reports whether the last direct read is recent enough to serve the copy to peers.
func (t *table) isFresh(now freshness.Instant) bool {
	read := freshness.Instant(t.read.Load())
	return read > 0 && now-read < t.pollWait+copyFreshnessSlack
}

// confirm records that the copy is complete as of a read of the store that started then.
func (t *table) confirm(readStart freshness.Instant) {
	for {
		old := t.reflects.Load()
		if old >= int64(readStart) || t.reflects.CompareAndSwap(old, int64(readStart)) {
			return
		}
	}
}

// tableSource is the store or a peer from which a table is read.
type tableSource struct {
	store.Reader
	peer   fleet.InstanceID // empty for the store
	client *feed.Client     // nil for the store
	direct bool
}

// tableSource selects the store or a peer that serves its copy of the store.
func (v *view) tableSource(t *table) tableSource {
	now := clock.SinceBoot()
	fromStore := tableSource{Reader: v.store, direct: true}
	if v.needsOwnRead(t, now) {
		return fromStore
	}
	for _, r := range v.peers.readers() {
		switch {
		case r.ID == v.set.Instance:
			return fromStore
		case !v.avoidedPeers.has(r.ID, now):
			c := v.feeds.NewClient(r.Peer)
			return tableSource{Reader: c, peer: r.ID, client: c}
		}
	}
	return fromStore
}

// position is the version up to which a table has been read.
type position = store.Version

// follow keeps the local copy of a table up to date until ctx ends.
func (v *view) follow(ctx context.Context, t *table) {
	known, after, failing := false, position{}, false
	var historyGoneAt time.Time // when the change history was last lost
	for ctx.Err() == nil {
		src := v.tableSource(t)
		if !src.direct {
			v.lastPeerRead.Store(int64(clock.SinceBoot()))
		} else if !v.mayReadStore(t, known) {
			sleep(ctx, sourcePollInterval)
			continue
		}
		if src.direct && !v.storeOK.Load() && t.name != v.probeTable() {
			// While the store is down, only one table polls it.
			sleep(ctx, storeRetryDelay/4)
			continue
		}
		r, ok := v.readOrRise(ctx, t, src, known, after)
		if !ok {
			known = false // the versions read so far are void
			continue
		}
		u, version, err := v.merge(t, src, known, after, r)
		if src.direct {
			v.storeOK.Store(err == nil || errors.Is(err, store.ErrHistoryTruncated))
			if lost := !v.storeOK.Load(); failing != lost {
				failing = lost
				v.logDependency(t.name, lost, err)
			}
		}
		v.noteFailure(src, err)
		if err == nil && !src.direct {
			// The peer reports the age of its copy after the call started, so the result is
			// never later than the start of the peer's read.
			u.readStart = freshness.PeerReadStart(u.readStart, src.client.Age)
		}
		switch {
		case err == nil:
			u.newEra, t.applied = t.applied && version.Era > t.era.Load(), true
			known, after = true, version
			if src.direct {
				t.confirm(u.readStart)
				t.read.Store(int64(clock.SinceBoot()))
			}
			t.apply(u)
			t.era.Store(version.Era)
			if len(u.entries) > 0 && !u.full {
				sleep(ctx, changeBatchDelay)
			}
		case errors.Is(err, store.ErrHistoryTruncated):
			v.log.Warn("change history of the table is gone; reading the full table", zap.String("table", t.name), zap.String("peer", string(src.peer)))
			if !known {
				// The source's full read was older than this instance's copy.
				v.avoidedPeers.add(src.peer, clock.SinceBoot())
			}
			// History lost again right after a full read: the source's reads lag behind its
			// history, so an immediate read would fail again.
			if time.Since(historyGoneAt) < historyGoneWindow {
				sleep(ctx, storeRetryDelay)
			}
			known, historyGoneAt = false, time.Now()
		case !src.direct && v.eras.risenWithin(clock.SinceBoot(), eraReaderTime):
			// The reader has not read the table of the new era yet.
			sleep(ctx, eraReaderDelay/2+rand.N(eraReaderDelay))
		case !src.direct:
			v.log.Info("peer does not hand a table on", zap.String("table", t.name), zap.String("peer", string(src.peer)), zap.Error(err))
			v.avoidedPeers.add(src.peer, clock.SinceBoot())
		default:
			v.waitAfterFailure(ctx)
		}
	}
}

// probeTable returns the table whose reads detect the return of the store: the small
// instance table at the start, because it shows the size of the fleet.
func (v *view) probeTable() string {
	if !v.peers.roster.HasListing() && clock.SinceBoot()-v.startedAt < instanceListTimeout {
		return platform.InstanceTable
	}
	return platform.OperatorTable
}

// mayReadStore reports whether a table may be read from the store now. In a large fleet
// relays and readers read it and serve the others. All instances read only the first
// instance list, without which no peer is known, and a configuration whose lease is
// about to expire.
func (v *view) mayReadStore(t *table, known bool) bool {
	now := clock.SinceBoot()
	switch {
	case t.name == platform.InstanceTable && !known, v.needsOwnRead(t, now):
		return true
	case now-max(v.startedAt, freshness.Instant(v.lastPeerRead.Load())) >= relayWait+v.ownRelayWaitJitter():
		return true
	case !v.peers.roster.HasListing():
		return now-v.startedAt >= instanceListTimeout
	case !v.peers.roster.IsLarge():
		return true
	}
	// The reader of a data centre is one of its relays. WouldRead is not used here: an
	// instance that has not heard any peer would consider itself a reader.
	return v.peers.roster.WouldRelay(time.Now(), v.peers.self())
}

// ownRelayWaitJitter returns this instance's addition to relayWait.
func (v *view) ownRelayWaitJitter() freshness.Instant {
	return freshness.Instant(fleet.HashID("orphan/"+string(v.set.Instance)) % uint64(relayWaitJitter))
}

// needsOwnRead reports whether this instance has to confirm the configuration by its own
// read of the store.
func (v *view) needsOwnRead(t *table, now freshness.Instant) bool {
	if t.name != platform.OperatorTable || v.current.Load() == nil {
		return false
	}
	if failed := v.lastReadFailure.Load(); failed > 0 && now-freshness.Instant(failed) < ownReadRetryDelay && v.hasReader() {
		return false
	}
	_, at, known := v.lease.State()
	return known && float64(now-at) > ownReadLeaseShare*float64(v.lease.Term())
}

// noteFailure records a failed read of the store and starts the grace period for server
// entries, but only if the store itself could not be read. A failed peer does not indicate
// an outage, and servers that leave in that time must not receive more work.
func (v *view) noteFailure(src tableSource, err error) {
	if src.direct && err != nil && !errors.Is(err, store.ErrHistoryTruncated) {
		v.lastReadFailure.Store(int64(clock.SinceBoot()))
		v.noteServersUnreadable()
	}
}

// readResult is the result of a read of a source.
type readResult struct {
	entries []store.Entry
	version position
	start   freshness.Instant
	err     error
}

// fetch reads changes, or the full table if no copy exists.
func (v *view) fetch(ctx context.Context, t *table, src tableSource, known bool, after position) (r readResult) {
	r.start = clock.SinceBoot()
	if !known {
		r.entries, r.version, r.err = src.Snapshot(ctx, t.name)
		return r
	}
	r.entries, r.version, r.err = src.Changes(ctx, t.name, after, v.pollWait(t, src.direct, r.start))
	return r
}

// pollWait returns how long a read of changes may wait for one.
func (v *view) pollWait(t *table, direct bool, now freshness.Instant) time.Duration {
	switch {
	case !direct:
		return peerPollWait
	case !t.isFresh(now):
		return 0 // a stale copy is not served to peers, so refresh it at once
	case v.eras.risenWithin(now, unsettledTime):
		return min(t.pollWait, operatorPollWait)
	}
	return t.pollWait
}

// merge takes the result of a read into the copy.
func (v *view) merge(t *table, src tableSource, known bool, after position, r readResult) (update, position, error) {
	u := update{entries: r.entries, readStart: r.start, full: !known, direct: src.direct, version: r.version}
	switch {
	case r.err != nil:
		return u, r.version, r.err
	case !v.eras.tracker.Observe(r.version.Era):
		return u, r.version, result.New(result.StoreUnavailable, "the copy is of era %d, which is over", r.version.Era)
	case known && !t.log.Apply(r.entries, after, r.version), !known && !t.log.Reset(r.entries, r.version):
		return u, r.version, store.ErrHistoryTruncated // the source is behind this instance
	}
	return u, r.version, nil
}

// waitAfterFailure waits after a failed store call, until a peer can be read instead.
func (v *view) waitAfterFailure(ctx context.Context) {
	mean := storeRetryDelay
	if !v.peers.wouldRead() {
		mean = nonReaderRetryDelay
	}
	end := time.Now().Add(mean/2 + rand.N(mean))
	for ctx.Err() == nil && time.Now().Before(end) {
		sleep(ctx, storeRetryDelay/4)
		if v.hasReader() {
			return
		}
	}
}

// hasReader reports whether a peer can be read instead of the store.
func (v *view) hasReader() bool {
	now := clock.SinceBoot()
	return slices.ContainsFunc(v.peers.readers(), func(r roster.Peer) bool {
		return r.ID != v.set.Instance && !v.avoidedPeers.has(r.ID, now)
	})
}

// sharedLog returns the copy of a table to serve to other instances, or nil if this
// instance has no recent read of the store.
func (v *view) sharedLog(name string) *feedlog.Log {
	now := clock.SinceBoot()
	for _, t := range v.tables {
		if t.name == name && t.isFresh(now) && t.era.Load() == v.eras.newest() {
			return t.log
		}
	}
	return nil
}

// sharedReadStart returns the start of the store read that the copy of a table reflects.
func (v *view) sharedReadStart(name string) freshness.Instant {
	for _, t := range v.tables {
		if t.name == name {
			return freshness.Instant(t.reflects.Load())
		}
	}
	return 0
}

// avoidedPeers holds the peers that recently failed to serve a table.
type avoidedPeers struct {
	mu    sync.Mutex
	until map[fleet.InstanceID]freshness.Instant
}

func (a *avoidedPeers) add(id fleet.InstanceID, now freshness.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = map[fleet.InstanceID]freshness.Instant{}
	}
	a.until[id] = now + peerAvoidTime
}

func (a *avoidedPeers) has(id fleet.InstanceID, now freshness.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now < a.until[id]
}
