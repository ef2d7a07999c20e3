package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/quarantine"
	"cyclamenhitch/platform"
)

const (
	// quarantineInterval is the time between two looks for evidence to store, and between
	// two attempts to read what is stored.
	quarantineInterval = time.Second
	// quarantineLoadTime is how long an instance of a large fleet that does not read the
	// store tries to read stored evidence; the readers report it.
	quarantineLoadTime = 10 * time.Second
)

// quarantineStore keeps the evidence on blocked prompt parts in the store, so that it
// outlasts a restart of the whole fleet.
type quarantineStore struct {
	tracker *quarantine.Tracker
	store   *platform.Store
	peers   *peers
	log     *zap.Logger
}

func (q *quarantineStore) run(ctx context.Context) {
	for ctx.Err() == nil && !q.peers.roster.HasListing() {
		sleep(ctx, viewPollInterval)
	}
	started, loaded, copies := time.Now(), false, 0
	for ctx.Err() == nil {
		if rises, _ := q.peers.view.eras.tracker.Rises(); rises != copies {
			// Rows that were removed may be there again.
			started, loaded, copies = time.Now(), false, rises
		}
		if !loaded && (!q.peers.roster.IsLarge() || q.peers.wouldRead()) {
			loaded = q.load(ctx)
		}
		loaded = loaded || q.peers.roster.IsLarge() && time.Since(started) > quarantineLoadTime
		q.flush(ctx)
		sleep(ctx, quarantineInterval)
	}
}

// load merges the stored evidence and reports whether it could be read.
func (q *quarantineStore) load(ctx context.Context) bool {
	copies := q.tracker.Copies()
	rows, _, err := q.store.Snapshot(ctx, platform.QuarantineTable)
	if err != nil {
		q.log.Warn("cannot read the blocked prompt parts", zap.Error(err))
		return false
	}
	var list []quarantine.Evidence
	for _, row := range rows {
		e, err := quarantine.DecodeRow(time.Now(), row.Key, row.Value)
		switch {
		case err != nil:
			q.log.Warn("invalid entry of a blocked prompt part", zap.String("key", row.Key), zap.Error(err))
		case e.Expired():
			q.remove(ctx, row.Key)
		default:
			list = append(list, e)
		}
	}
	q.tracker.MergeStored(time.Now(), list, copies)
	if len(list) > 0 {
		q.log.Info("blocked prompt parts read from the store", zap.Int("parts", len(list)))
	}
	return true
}

// flush makes the writes that this instance owes to the store. A failed one is tried again
// at the next look.
func (q *quarantineStore) flush(ctx context.Context) {
	actions, err := q.tracker.Pending(time.Now())
	if err != nil {
		q.log.Error("cannot encode a blocked prompt part", zap.Error(err))
	}
	for _, a := range actions {
		if a.Value == nil {
			if q.remove(ctx, a.Key) {
				q.tracker.Done(time.Now(), a)
			}
			continue
		}
		if err := q.store.Set(ctx, platform.QuarantineTable, a.Key, a.Value); err != nil {
			q.log.Warn("cannot store a blocked prompt part", zap.String("key", a.Key), zap.Error(err))
			return
		}
		if q.tracker.Done(time.Now(), a); a.Again {
			q.peers.view.eras.noteRewritten(platform.QuarantineTable, a.Key, q.peers.view.eras.newest())
		}
	}
}

func (q *quarantineStore) remove(ctx context.Context, key string) bool {
	err := q.store.Remove(ctx, platform.QuarantineTable, key)
	if err != nil {
		q.log.Warn("cannot remove the entry of a blocked prompt part", zap.String("key", key), zap.Error(err))
	}
	return err == nil
}
