package edge

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/rollout"
	"cyclamenhitch/core/store"
)

const (
	// rolloutInterval is the time between two looks at the evidence and at the writes that are
	// due.
	rolloutInterval = 100 * time.Millisecond
	// rolloutRetryDelay is the time after a failed call of the store.
	rolloutRetryDelay = 300 * time.Millisecond
	// maxLoadDelay spreads the reads of instances that start together. A version is held for a
	// second at least.
	maxLoadDelay = 700 * time.Millisecond
)

// run computes verdicts and writes the states of roll-outs until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	if r == nil {
		return
	}
	loaded := false
	began, spread := time.Now(), rand.N(maxLoadDelay)
	for ctx.Err() == nil {
		if r.tracker.Judge(time.Now(), r.set.DataCentre) {
			r.view.peers.reportSoon()
		}
		r.logChanges()
		// Versions that were rolled back stay excluded after their order is gone. In a large fleet
		// an instance that does not read the store needs them if it starts beside a version that
		// may have been rolled back.
		reads := !r.view.peers.roster.IsLarge() || r.view.peers.wouldRead() || time.Since(began) > spread && r.tracker.HoldsFromStart()
		if !loaded && r.view.hasReadServers() && reads {
			loaded = r.load(ctx)
		}
		totals := r.view.board.Totals
		var loads map[fleet.ServerID]int
		running := func(id fleet.ServerID) int {
			if loads == nil {
				loads = map[fleet.ServerID]int{}
				for id, l := range totals() {
					loads[id] = l.Running
				}
			}
			return loads[id]
		}
		if tasks := r.tracker.Tasks(time.Now(), r.rank, running); len(tasks) > 0 && !r.perform(ctx, tasks) {
			sleep(ctx, rolloutRetryDelay)
		}
		sleep(ctx, rolloutInterval)
	}
}

// rank returns the place of this instance among the live ones in the order of writers of a pool.
func (r *rollouts) rank(pool fleet.PoolID) int {
	return r.view.peers.writerRank("rollout/" + string(pool))
}

// load reads all stored states and reports whether that was possible.
func (r *rollouts) load(ctx context.Context) bool {
	rows, err := r.view.store.Rollouts(ctx)
	if err != nil {
		r.log.Warn("cannot read the states of roll-outs", zap.Error(err))
		return false
	}
	for pool, row := range rows {
		r.logInvalid(pool, row.Invalid)
		r.tracker.Stored(time.Now(), pool, row.State, rollout.State{})
	}
	return true
}

func (r *rollouts) logInvalid(pool fleet.PoolID, err error) {
	if err != nil {
		r.log.Error("invalid state of a roll-out; it is written again", zap.String(logging.FieldPool, string(pool)), zap.Error(err))
	}
}

// perform reads the stored states and makes the writes that are due. It reports whether the
// store answered.
func (r *rollouts) perform(ctx context.Context, tasks []rollout.Task) bool {
	rows, err := r.view.store.Rollouts(ctx)
	if err != nil {
		r.log.Warn("cannot read the states of roll-outs", zap.Error(err))
		return false
	}
	for _, t := range tasks {
		row := rows[t.Pool]
		r.logInvalid(t.Pool, row.Invalid)
		if !r.tracker.Stored(time.Now(), t.Pool, row.State, t.Next) {
			continue
		}
		err := r.view.store.WriteRollout(ctx, t.Pool, t.Next, row.Version)
		switch {
		case errors.Is(err, store.ErrConditionFailed):
			r.log.Info("another instance has written the state of a roll-out", zap.String(logging.FieldPool, string(t.Pool)))
		case err != nil:
			r.log.Warn("cannot write the state of a roll-out", zap.String(logging.FieldPool, string(t.Pool)), zap.Error(err))
			return false
		default:
			r.tracker.Written(time.Now(), t.Pool, t.Next)
			r.view.peers.reportSoon()
		}
	}
	return true
}

// logChanges logs the changes of phases and verdicts.
func (r *rollouts) logChanges() {
	status := r.tracker.Status()
	slices.SortFunc(status, func(a, b rollout.Change) int { return cmp.Compare(a.Pool, b.Pool) })
	for _, c := range status {
		if r.logged[c.Pool] == c {
			continue
		}
		r.logged[c.Pool] = c
		fields := []zap.Field{
			zap.String(logging.FieldPool, string(c.Pool)), zap.String("to", c.To), zap.Stringer("phase", c.Phase),
			zap.Bool("bad", c.Bad), zap.String(logging.FieldReason, c.Reason),
		}
		if c.Bad {
			r.log.Warn("roll-out changed", fields...)
			continue
		}
		r.log.Info("roll-out changed", fields...)
	}
}
