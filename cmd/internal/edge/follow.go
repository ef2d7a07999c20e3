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
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/store"
	"cyclamenhitch/platform"
)

const (
	// peerPollWait is how long a call to a reading peer waits for changes. It is short,
	// so that a peer that hangs is left within a second.
	peerPollWait = 500 * time.Millisecond
	// copyFreshnessSlack is how much longer than its wait a read of the store may take
	// before an instance stops to hand its copy on.
	copyFreshnessSlack = 600 * time.Millisecond
	// peerAvoidTime is how long a reading peer is not asked after a failure.
	peerAvoidTime = 2 * time.Second
	// ownReadLeaseShare is the part of its lease after which an instance reads the
	// configuration itself, whoever else does.
	ownReadLeaseShare = 0.7
	// changeBatchDelay is the pause after changes, so that a series of them takes few calls.
	changeBatchDelay = 100 * time.Millisecond
	// historyGoneWindow is how long after missing changes further ones are met with a pause
	// instead of an immediate read.
	historyGoneWindow = 3 * time.Second
	// instanceListTimeout is how long after the start the first read of the instances may take
	// before the other tables are read without it.
	instanceListTimeout = 150 * time.Millisecond
	// relayWait is how long an instance of a large fleet that would not read the store
	// for others waits for one that does, after its start and after the last one. With
	// all at once, 300 instances and 3,000 servers take more calls than the store answers
	// in a second, and each instance that registers ends the waits of all others.
	relayWait = 1200 * time.Millisecond
	// relayWaitJitter is by how much instances differ in it, so that the first ones that read
	// the store hand it on to the others.
	relayWaitJitter = 600 * time.Millisecond
	// sourcePollInterval is the time between two looks for a source after the start.
	sourcePollInterval = 10 * time.Millisecond
	// nonReaderRetryDelay is the mean wait after a failed call to the store of an instance
	// that would not read it for others. It still tries, because the store may turn
	// away just those that would.
	nonReaderRetryDelay = 3 * time.Second
)

// table is a followed table.
type table struct {
	name     string
	pollWait time.Duration
	apply    func(update)
	log      *feedlog.Log
	// readStart and read are when the last successful direct read began and ended, as time
	// since boot; 0 for none.
	readStart, readEnd atomic.Int64
}

// isFresh reports whether the copy is as fresh as this instance's own reads are.
func (t *table) isFresh(now freshness.Instant) bool {
	read := freshness.Instant(t.readEnd.Load())
	return read > 0 && now-read < t.pollWait+copyFreshnessSlack
}

// tableSource is where a table is read from.
type tableSource struct {
	store.Reader
	peer   fleet.InstanceID // empty for the store
	client *feed.Client     // nil for the store
	direct bool
}

// chooseSource chooses the store or a peer that reads it for others.
func (v *view) chooseSource(t *table) tableSource {
	now := clock.SinceBoot()
	direct := tableSource{Reader: v.store, direct: true}
	if v.needsOwnRead(t, now) {
		return direct
	}
	for _, r := range v.peers.readers() {
		switch {
		case r.ID == v.settings.Instance:
			return direct
		case !v.avoided.has(r.ID, now):
			c := v.feeds.At(r.Peer)
			return tableSource{Reader: c, peer: r.ID, client: c}
		}
	}
	return direct
}

// follow keeps up with a table until ctx ends.
func (v *view) follow(ctx context.Context, t *table) {
	known, after, failing := false, uint64(0), false
	var historyGoneAt time.Time // when changes were last missing
	for ctx.Err() == nil {
		src := v.chooseSource(t)
		if !src.direct {
			v.lastPeerRead.Store(int64(clock.SinceBoot()))
		} else if !v.mayReadStore(t, known) {
			sleep(ctx, sourcePollInterval)
			continue
		}
		if src.direct && !v.storeOK.Load() && t.name != v.probeTable() {
			// One table finds out whether the store is back.
			sleep(ctx, storeRetryDelay/4)
			continue
		}
		u, version, err := v.readTable(ctx, t, src, known, after)
		if src.direct {
			v.storeOK.Store(err == nil || errors.Is(err, store.ErrHistoryGone))
			if lost := !v.storeOK.Load(); failing != lost {
				failing = lost
				v.logDependency(t.name, lost, err)
			}
		}
		v.noteFailure(src, err)
		if err == nil && !src.direct {
			// The peer answered after the call began.
			u.readStart = freshness.Relayed(u.readStart, src.client.Age)
		}
		switch {
		case err == nil:
			known, after = true, version
			if src.direct {
				t.readStart.Store(int64(u.readStart))
				t.readEnd.Store(int64(clock.SinceBoot()))
			}
			t.apply(u)
			if len(u.entries) > 0 && !u.full {
				sleep(ctx, changeBatchDelay)
			}
		case errors.Is(err, store.ErrHistoryGone):
			v.log.Warn("changes of the table are missing, reading it whole", zap.String("table", t.name), zap.String("peer", string(src.peer)))
			if !known {
				// The whole read was behind this instance's copy.
				v.avoided.add(src.peer, clock.SinceBoot())
			}
			// Right after a whole read, the source is behind its own history.
			if time.Since(historyGoneAt) < historyGoneWindow {
				sleep(ctx, storeRetryDelay)
			}
			known, historyGoneAt = false, time.Now()
		case !src.direct:
			v.log.Info("peer does not hand a table on", zap.String("table", t.name), zap.String("peer", string(src.peer)), zap.Error(err))
			v.avoided.add(src.peer, clock.SinceBoot())
		default:
			v.waitAfterFailure(ctx)
		}
	}
}

// probeTable is the table whose reads find out whether the store answers: at the start the
// small one that says how large the fleet is.
func (v *view) probeTable() string {
	if !v.peers.roster.IsListed() && clock.SinceBoot()-v.startedAt < instanceListTimeout {
		return platform.InstanceTable
	}
	return platform.OperatorTable
}

// mayReadStore reports whether a table may be read from the store now. In a large fleet relays
// and readers read it and hand it on; only the first list of instances, without which
// nobody is found, and a configuration whose lease ends soon are read by everybody.
func (v *view) mayReadStore(t *table, known bool) bool {
	now := clock.SinceBoot()
	switch {
	case t.name == platform.InstanceTable && !known, v.needsOwnRead(t, now):
		return true
	case now-max(v.startedAt, freshness.Instant(v.lastPeerRead.Load())) >= relayWait+v.ownRelayWaitJitter():
		return true
	case !v.peers.roster.IsListed():
		return now-v.startedAt >= instanceListTimeout
	case !v.peers.roster.IsLarge():
		return true
	}
	// The reader of a data centre is one of its relays. An instance that hears nobody yet
	// would take itself for a reader.
	return v.peers.roster.WouldRelay(time.Now(), v.peers.self())
}

// ownRelayWaitJitter is this instance's part of orphanSpread.
func (v *view) ownRelayWaitJitter() freshness.Instant {
	return freshness.Instant(fleet.HashID("orphan/"+string(v.settings.Instance)) % uint64(relayWaitJitter))
}

// needsOwnRead reports whether the configuration is to be confirmed by this instance's own
// read, whoever else reads it.
func (v *view) needsOwnRead(t *table, now freshness.Instant) bool {
	if t.name != platform.OperatorTable || v.current.Load() == nil {
		return false
	}
	_, at, known := v.lease.State()
	return known && float64(now-at) > ownReadLeaseShare*float64(v.lease.Term())
}

// noteFailure notes that entries of servers may lapse: only when the store itself could
// not be read. A peer that fails says nothing of the store, and servers that leave in
// that time must get no more work.
func (v *view) noteFailure(src tableSource, err error) {
	if src.direct && err != nil && !errors.Is(err, store.ErrHistoryGone) {
		v.noteServersUnreadable()
	}
}

// readTable reads changes, or the whole table when it is not known, into the copy.
func (v *view) readTable(ctx context.Context, t *table, src tableSource, known bool, after uint64) (update, uint64, error) {
	u := update{readStart: clock.SinceBoot(), full: !known, direct: src.direct}
	var version uint64
	var err error
	if !known {
		if u.entries, version, err = src.Snapshot(ctx, t.name); err == nil && !t.log.Reset(u.entries, version) {
			err = store.ErrHistoryGone // the source is behind this instance
		}
		return u, version, err
	}
	wait := t.pollWait
	switch {
	case !src.direct:
		wait = peerPollWait
	case !t.isFresh(u.readStart):
		wait = 0 // followers wait for a copy that is known to be fresh
	}
	if u.entries, version, err = src.Changes(ctx, t.name, after, wait); err == nil && !t.log.Apply(u.entries, after, version) {
		err = store.ErrHistoryGone
	}
	return u, version, err
}

// waitAfterFailure waits after a failed call to the store, until a peer can be asked instead.
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

// hasReader reports whether a peer can be asked instead of the store.
func (v *view) hasReader() bool {
	now := clock.SinceBoot()
	return slices.ContainsFunc(v.peers.readers(), func(r roster.Peer) bool {
		return r.ID != v.settings.Instance && !v.avoided.has(r.ID, now)
	})
}

// sharedLog returns the copy of a table for other instances, or nil when this instance
// does not read the store itself.
func (v *view) sharedLog(name string) *feedlog.Log {
	now := clock.SinceBoot()
	for _, t := range v.tables {
		if t.name == name && t.isFresh(now) {
			return t.log
		}
	}
	return nil
}

// sharedReadStart is when the read of the store began that the copy of a table reflects.
func (v *view) sharedReadStart(name string) freshness.Instant {
	for _, t := range v.tables {
		if t.name == name {
			return freshness.Instant(t.readStart.Load())
		}
	}
	return 0
}

// avoidedPeers are peers that failed to hand a table on.
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
