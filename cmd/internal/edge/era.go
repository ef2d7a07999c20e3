package edge

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/storeera"
	"cyclamenhitch/platform"
)

const (
	// rewriteCheckInterval is the interval at which an instance looks whether the table of
	// the new era has been read.
	rewriteCheckInterval = 20 * time.Millisecond
	// rewriteSpread is, for each instance of the fleet, the time over which lost rows are
	// written again: each write ends the long polls of all readers of the table.
	rewriteSpread = 10 * time.Millisecond
	// eraReaderTime is how long after an increase of the era a reading peer that does not
	// hand a table on is asked again instead of being avoided, eraReaderDelay the mean delay.
	eraReaderTime  = time.Second
	eraReaderDelay = 60 * time.Millisecond
	// unsettledTime is how long after an increase all tables are polled for a second at most:
	// each further increase abandons the reads, whose connections stay in use until they end.
	unsettledTime = time.Minute
)

// eraHook writes rows again that the store may have lost. It runs in a goroutine of its own
// and is called again, after ctx has ended, at the next increase of the era.
type eraHook struct {
	name string
	run  func(ctx context.Context, era uint64)
}

// eras follows the era of the store and starts what has to happen when it increases.
type eras struct {
	tracker *storeera.Tracker
	log     *zap.Logger
	// voided is called for each increase, before the new era takes effect. The functions only
	// change state of their own.
	voided []func()
	// hooks are called after each increase. Both lists are complete before the first call to
	// the store.
	hooks []eraHook
	// raisedAt is when the era last increased, as time since boot; 0 if it has not.
	raisedAt atomic.Int64
	// rewritten counts the rows written again.
	rewritten atomic.Int64
}

func newEras(log *zap.Logger) *eras {
	e := &eras{tracker: storeera.NewTracker(), log: log}
	e.tracker.OnRise = func(era uint64) {
		log.Warn("store returned as an older copy; its versions are void", zap.Uint64("era", era))
		e.raisedAt.Store(int64(clock.SinceBoot()))
		for _, f := range e.voided {
			f()
		}
	}
	return e
}

// afterRise adds a hook. All hooks are added before the instance runs.
func (e *eras) afterRise(name string, f func(ctx context.Context, era uint64)) {
	e.hooks = append(e.hooks, eraHook{name, f})
}

// newest returns the newest era, 0 if none is known.
func (e *eras) newest() uint64 {
	era, _ := e.tracker.Newest()
	return era
}

// risen reports whether the era has increased since the start.
func (e *eras) risen() bool { return e.raisedAt.Load() > 0 }

// risenWithin reports whether the era increased less than d ago.
func (e *eras) risenWithin(now freshness.Instant, d time.Duration) bool {
	raised := freshness.Instant(e.raisedAt.Load())
	return raised > 0 && now-raised < d
}

// run calls the hooks until ctx ends.
func (e *eras) run(ctx context.Context) {
	for _, h := range e.hooks {
		go e.runHook(ctx, h)
	}
}

func (e *eras) runHook(ctx context.Context, h eraHook) {
	for done := 0; ctx.Err() == nil; {
		rises, next := e.tracker.Rises()
		call, cancel := context.WithCancel(ctx)
		if rises > done {
			done = rises
			go func() {
				h.run(call, e.newest())
				e.log.Debug("rows checked after the return of the store", zap.String("rows", h.name))
			}()
		}
		select {
		case <-next:
		case <-ctx.Done():
		}
		cancel()
	}
}

// noteRewritten records that a lost row was written again.
func (e *eras) noteRewritten(table, key string, era uint64) {
	e.rewritten.Add(1)
	e.log.Info("row written again", zap.String("table", table), zap.String("key", key), zap.Uint64("era", era))
}

// tableOf returns the table with the name, or nil.
func (v *view) tableOf(name string) *table {
	for _, t := range v.tables {
		if t.name == name {
			return t
		}
	}
	return nil
}

// rewriteInstance writes this instance's entry again if the new copy lacks it.
func (v *view) rewriteInstance(ctx context.Context, era uint64) {
	body, err := v.instanceEntry()
	if err != nil {
		v.log.Error("cannot encode the instance entry", zap.Error(err))
		return
	}
	t := v.tableOf(platform.InstanceTable)
	for ctx.Err() == nil {
		rows, version, _ := t.log.Snapshot()
		if version.Era < era {
			sleep(ctx, rewriteCheckInterval)
			continue
		}
		for _, row := range rows {
			if row.Key == string(v.set.Instance) && bytes.Equal(row.Value, body) {
				return
			}
		}
		sleep(ctx, rand.N(time.Duration(1+len(v.peers.roster.Listed()))*rewriteSpread))
		if ctx.Err() != nil || v.peers.leaving.Load() {
			return
		}
		if err = v.store.Set(ctx, platform.InstanceTable, string(v.set.Instance), body); err == nil {
			v.eras.noteRewritten(platform.InstanceTable, string(v.set.Instance), era)
			return
		}
		v.log.Warn("cannot write the instance entry", zap.Error(err))
		sleep(ctx, storeRetryDelay/2+rand.N(storeRetryDelay))
	}
}

// instanceEntry returns the row from which other instances discover this one.
func (v *view) instanceEntry() ([]byte, error) {
	return platform.EncodeInstance(roster.Listing{Peer: v.set.Listen.Peer, DataCentre: v.set.DataCentre, Region: v.set.Region, LinkMbps: int(v.set.Limits.LinkMbps)})
}

// readOrRise reads a table unless the era increases meanwhile: then the read is abandoned,
// and its result is of no use.
func (v *view) readOrRise(ctx context.Context, t *table, src tableSource, known bool, after position) (readResult, bool) {
	_, raised := v.eras.tracker.Rises()
	if known && after.Era < v.eras.newest() {
		return readResult{}, false
	}
	done := make(chan readResult, 1)
	go func() { done <- v.fetch(ctx, t, src, known, after) }()
	select {
	case r := <-done:
		return r, true
	case <-raised:
		return readResult{}, false
	}
}

// copyVouches reports whether the store's copy may confirm the configuration in force. Right
// after the store has returned with an older configuration it may not: a peer may know a
// newer one than this instance.
func (v *view) copyVouches(inForce uint64, now freshness.Instant) bool {
	if v.behindPeers.Load() {
		return false
	}
	if v.eras.newest() == 0 || v.copyConfig.Load() >= inForce {
		return true
	}
	// An instance that starts may do so right after the store has returned.
	since := max(v.startedAt, freshness.Instant(v.eras.raisedAt.Load()))
	return now-since >= vouchTime
}
