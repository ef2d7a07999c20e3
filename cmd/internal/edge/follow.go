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
	// peerWait is how long a call to a reading peer waits for changes. It is short,
	// so that a peer that hangs is left within a second.
	peerWait = 500 * time.Millisecond
	// vouchSlack is how much longer than its wait a read of the store may take
	// before an instance stops to hand its copy on.
	vouchSlack = 600 * time.Millisecond
	// avoidTime is how long a reading peer is not asked after a failure.
	avoidTime = 2 * time.Second
	// selfHelpShare is the part of its lease after which an instance reads the
	// configuration itself, whoever else does.
	selfHelpShare = 0.7
	// batchGap is the pause after changes, so that a series of them takes few calls.
	batchGap = 100 * time.Millisecond
	// goneMemory is how long after missing changes further ones are met with a pause
	// instead of an immediate read.
	goneMemory = 3 * time.Second
	// listTime is how long after the start the first read of the instances may take
	// before the other tables are read without it.
	listTime = 150 * time.Millisecond
	// orphanTime is how long an instance of a large fleet that would not read the store
	// for others waits for one that does, after its start and after the last one. With
	// all at once, 300 instances and 3,000 servers take more calls than the store answers
	// in a second, and each instance that registers ends the waits of all others.
	orphanTime = 1200 * time.Millisecond
	// orphanSpread is by how much instances differ in it, so that the first ones that read
	// the store hand it on to the others.
	orphanSpread = 600 * time.Millisecond
	// startPoll is the time between two looks for a source after the start.
	startPoll = 10 * time.Millisecond
	// spareRetry is the mean wait after a failed call to the store of an instance
	// that would not read it for others. It still tries, because the store may turn
	// away just those that would.
	spareRetry = 3 * time.Second
)

// table is a followed table.
type table struct {
	name string
	wait time.Duration
	take func(update)
	log  *feedlog.Log
	// began and read are when the last successful direct read began and ended, as time
	// since boot; 0 for none.
	began, read atomic.Int64
}

// vouched reports whether the copy is as fresh as this instance's own reads are.
func (t *table) vouched(now freshness.Instant) bool {
	read := freshness.Instant(t.read.Load())
	return read > 0 && now-read < t.wait+vouchSlack
}

// source is where a table is read from.
type source struct {
	store.Reader
	peer   fleet.InstanceID // empty for the store
	client *feed.Client     // nil for the store
	direct bool
}

// source chooses the store or a peer that reads it for others.
func (v *view) source(t *table) source {
	now := clock.SinceBoot()
	own := source{Reader: v.store, direct: true}
	if v.needsLease(t, now) {
		return own
	}
	for _, r := range v.peers.readers() {
		switch {
		case r.ID == v.set.Instance:
			return own
		case !v.avoided.has(r.ID, now):
			c := v.feeds.At(r.Peer)
			return source{Reader: c, peer: r.ID, client: c}
		}
	}
	return own
}

// follow keeps up with a table until ctx ends.
func (v *view) follow(ctx context.Context, t *table) {
	known, after, failing := false, uint64(0), false
	var gone time.Time // when changes were last missing
	for ctx.Err() == nil {
		src := v.source(t)
		if !src.direct {
			v.asked.Store(int64(clock.SinceBoot()))
		} else if !v.mayRead(t, known) {
			sleep(ctx, startPoll)
			continue
		}
		if src.direct && !v.storeOK.Load() && t.name != v.probe() {
			// One table finds out whether the store is back.
			sleep(ctx, storeRetry/4)
			continue
		}
		u, version, err := v.read(ctx, t, src, known, after)
		if src.direct {
			v.storeOK.Store(err == nil || errors.Is(err, store.ErrHistoryTruncated))
			if lost := !v.storeOK.Load(); failing != lost {
				failing = lost
				v.logDependency(t.name, lost, err)
			}
		}
		v.noteFailure(src, err)
		if err == nil && !src.direct {
			// The peer answered after the call began.
			u.start = freshness.PeerReadStart(u.start, src.client.Age)
		}
		switch {
		case err == nil:
			known, after = true, version
			if src.direct {
				t.began.Store(int64(u.start))
				t.read.Store(int64(clock.SinceBoot()))
			}
			t.take(u)
			if len(u.entries) > 0 && !u.whole {
				sleep(ctx, batchGap)
			}
		case errors.Is(err, store.ErrHistoryTruncated):
			v.log.Warn("changes of the table are missing, reading it whole", zap.String("table", t.name), zap.String("peer", string(src.peer)))
			if !known {
				// The whole read was behind this instance's copy.
				v.avoided.add(src.peer, clock.SinceBoot())
			}
			// Right after a whole read, the source is behind its own history.
			if time.Since(gone) < goneMemory {
				sleep(ctx, storeRetry)
			}
			known, gone = false, time.Now()
		case !src.direct:
			v.log.Info("peer does not hand a table on", zap.String("table", t.name), zap.String("peer", string(src.peer)), zap.Error(err))
			v.avoided.add(src.peer, clock.SinceBoot())
		default:
			v.pause(ctx)
		}
	}
}

// probe is the table whose reads find out whether the store answers: at the start the
// small one that says how large the fleet is.
func (v *view) probe() string {
	if !v.peers.roster.HasListing() && clock.SinceBoot()-v.began < listTime {
		return platform.InstanceTable
	}
	return platform.OperatorTable
}

// mayRead reports whether a table may be read from the store now. In a large fleet relays
// and readers read it and hand it on; only the first list of instances, without which
// nobody is found, and a configuration whose lease ends soon are read by everybody.
func (v *view) mayRead(t *table, known bool) bool {
	now := clock.SinceBoot()
	switch {
	case t.name == platform.InstanceTable && !known, v.needsLease(t, now):
		return true
	case now-max(v.began, freshness.Instant(v.asked.Load())) >= orphanTime+v.orphanExtra():
		return true
	case !v.peers.roster.HasListing():
		return now-v.began >= listTime
	case !v.peers.roster.IsLarge():
		return true
	}
	// The reader of a data centre is one of its relays. An instance that hears nobody yet
	// would take itself for a reader.
	return v.peers.roster.WouldRelay(time.Now(), v.peers.self())
}

// orphanExtra is this instance's part of orphanSpread.
func (v *view) orphanExtra() freshness.Instant {
	return freshness.Instant(fleet.HashID("orphan/"+string(v.set.Instance)) % uint64(orphanSpread))
}

// needsLease reports whether the configuration is to be confirmed by this instance's own
// read, whoever else reads it.
func (v *view) needsLease(t *table, now freshness.Instant) bool {
	if t.name != platform.OperatorTable || v.current.Load() == nil {
		return false
	}
	_, at, known := v.lease.State()
	return known && float64(now-at) > selfHelpShare*float64(v.lease.Term())
}

// noteFailure notes that entries of servers may lapse: only when the store itself could
// not be read. A peer that fails says nothing of the store, and servers that leave in
// that time must get no more work.
func (v *view) noteFailure(src source, err error) {
	if src.direct && err != nil && !errors.Is(err, store.ErrHistoryTruncated) {
		v.serversLost()
	}
}

// read reads changes, or the whole table when it is not known, into the copy.
func (v *view) read(ctx context.Context, t *table, src source, known bool, after uint64) (update, uint64, error) {
	u := update{start: clock.SinceBoot(), whole: !known, direct: src.direct}
	var version uint64
	var err error
	if !known {
		if u.entries, version, err = src.Snapshot(ctx, t.name); err == nil && !t.log.Reset(u.entries, version) {
			err = store.ErrHistoryTruncated // the source is behind this instance
		}
		return u, version, err
	}
	wait := t.wait
	switch {
	case !src.direct:
		wait = peerWait
	case !t.vouched(u.start):
		wait = 0 // followers wait for a copy that is known to be fresh
	}
	if u.entries, version, err = src.Changes(ctx, t.name, after, wait); err == nil && !t.log.Apply(u.entries, after, version) {
		err = store.ErrHistoryTruncated
	}
	return u, version, err
}

// pause waits after a failed call to the store, until a peer can be asked instead.
func (v *view) pause(ctx context.Context) {
	mean := storeRetry
	if !v.peers.wouldRead() {
		mean = spareRetry
	}
	end := time.Now().Add(mean/2 + rand.N(mean))
	for ctx.Err() == nil && time.Now().Before(end) {
		sleep(ctx, storeRetry/4)
		if v.hasReader() {
			return
		}
	}
}

// hasReader reports whether a peer can be asked instead of the store.
func (v *view) hasReader() bool {
	now := clock.SinceBoot()
	return slices.ContainsFunc(v.peers.readers(), func(r roster.Peer) bool {
		return r.ID != v.set.Instance && !v.avoided.has(r.ID, now)
	})
}

// handOn returns the copy of a table for other instances, or nil when this instance
// does not read the store itself.
func (v *view) handOn(name string) *feedlog.Log {
	now := clock.SinceBoot()
	for _, t := range v.tables {
		if t.name == name && t.vouched(now) {
			return t.log
		}
	}
	return nil
}

// readBegan is when the read of the store began that the copy of a table reflects.
func (v *view) readBegan(name string) freshness.Instant {
	for _, t := range v.tables {
		if t.name == name {
			return freshness.Instant(t.began.Load())
		}
	}
	return 0
}

// avoided are peers that failed to hand a table on.
type avoided struct {
	mu    sync.Mutex
	until map[fleet.InstanceID]freshness.Instant
}

func (a *avoided) add(id fleet.InstanceID, now freshness.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = map[fleet.InstanceID]freshness.Instant{}
	}
	a.until[id] = now + avoidTime
}

func (a *avoided) has(id fleet.InstanceID, now freshness.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now < a.until[id]
}
