package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/lifecycle"
	"cyclamenhitch/core/result"
)

// stopInterval is the polling interval during a planned stop.
const stopInterval = 50 * time.Millisecond

// handoverTask transfers one kind of state to its successors during a planned
// stop.
type handoverTask struct {
	name string
	run  func(context.Context) error
}

// stopper carries out a planned stop.
type stopper struct {
	d *Daemon
	// leaving is set once the stop has been announced.
	leaving atomic.Bool
	// handovers run concurrently after the announcement.
	handovers []handoverTask
}

// addHandover registers a handover task. Components call it in their
// constructors.
func (s *stopper) addHandover(name string, run func(context.Context) error) {
	s.handovers = append(s.handovers, handoverTask{name, run})
}

// run stops the instance within times.stop_seconds. Running requests may finish
// until then; the rest are aborted.
func (s *stopper) run() error {
	d := s.d
	limit := time.Duration(d.set.Times.StopSeconds) * time.Second
	lookupLifetime := time.Duration(0)
	if x := d.config.Index(); x != nil {
		lookupLifetime = time.Duration(x.Manifest.Fleet.LookupTTLSeconds) * time.Second
	}
	d.log.Info("planned stop begins", zap.Int("running", d.callers.Running()))
	stop := lifecycle.Begin(time.Now(), limit, lookupLifetime)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var handedOver atomic.Bool
	aborted := 0
	for {
		status := lifecycle.Status{Running: d.callers.Running(), HandedOver: handedOver.Load()}
		for _, a := range stop.Step(time.Now(), status) {
			switch a {
			case lifecycle.Announce:
				s.announce()
			case lifecycle.HandOver:
				go func() {
					s.runHandovers(ctx)
					handedOver.Store(true)
				}()
			case lifecycle.Refuse:
				d.callers.Refuse()
			case lifecycle.Abort:
				aborted = status.Running
				d.callers.Abort()
			case lifecycle.Exit:
				return s.finish(ctx, stop, aborted, handedOver.Load())
			}
		}
		time.Sleep(stopInterval)
	}
}

// announce tells the peers that this instance is stopping and closes caller
// connections after their running request.
func (s *stopper) announce() {
	s.leaving.Store(true)
	s.d.members.announceLeaving()
	s.d.callers.Drain()
}

// runHandovers runs all handover tasks and waits for them. A task that fails is
// logged and does not stop the others.
func (s *stopper) runHandovers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range s.handovers {
		wg.Go(func() {
			if err := h.run(ctx); err != nil {
				s.d.log.Warn("handover failed", zap.String("state", h.name), zap.Error(err))
			}
		})
	}
	wg.Wait()
}

// closeCallers closes the caller listener and waits until the last responses are written. It
// leaves the rest of the limit to what follows.
func (s *stopper) closeCallers(ctx context.Context, exitBy time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, exitBy)
	defer cancel()
	err := s.d.callers.Shutdown(ctx)
	if err != nil {
		s.d.log.Warn("caller connections were open at the exit", zap.Int("responses_cut_off", s.d.callers.LogUndelivered()), zap.Error(err))
	}
	return err
}

// finish closes the caller listener after its last responses are written, saves
// the remaining state and closes the other listeners.
func (s *stopper) finish(ctx context.Context, stop *lifecycle.Stop, aborted int, handedOver bool) error {
	d := s.d
	err := s.closeCallers(ctx, stop.ExitBy())
	if n := d.claims.flush(ctx); n > 0 {
		d.log.Warn("ends of attempts were not recorded; the outcome of their idempotency keys becomes unknown", zap.Int("count", n))
	}
	// The objective windows are handed over after all requests have ended, so that
	// they count every one.
	d.slo.handover(ctx)
	d.admin.shutdown(ctx)
	_ = d.peerServer.Shutdown(ctx)
	d.members.close()
	complete := stop.Complete() && err == nil
	d.log.Info("planned stop ends", zap.Bool("complete", complete), zap.Int("requests_aborted", aborted),
		zap.Int("requests_left", d.callers.Running()), zap.Bool("handed_over", handedOver),
		zap.Duration("elapsed", stop.Elapsed(time.Now())))
	if !complete {
		return result.New(result.Stopping, "the planned stop ended %d requests at its limit of %d s", aborted, d.set.Times.StopSeconds)
	}
	return nil
}
