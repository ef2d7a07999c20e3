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

// stopInterval is the time between steps of a planned stop.
const stopInterval = 50 * time.Millisecond

// handoverTask gives one kind of state to its successors during a planned stop.
type handoverTask struct {
	name string
	run  func(context.Context) error
}

// stopper carries out a planned stop.
type stopper struct {
	d *Daemon
	// leaving is set when the stop begins.
	leaving atomic.Bool
	// handovers run after the announcement, all at once.
	handovers []handoverTask
}

// addHandover adds a hand-over. Components call it in their constructors.
func (s *stopper) addHandover(name string, run func(context.Context) error) {
	s.handovers = append(s.handovers, handoverTask{name, run})
}

// run stops the instance without cutting requests, within times.stop_seconds.
func (s *stopper) run() error {
	d := s.d
	limit := time.Duration(d.set.Times.StopSeconds) * time.Second
	keep := time.Duration(0)
	if x := d.config.Index(); x != nil {
		keep = time.Duration(x.Manifest.Fleet.LookupTTLSeconds) * time.Second
	}
	d.log.Info("planned stop begins", zap.Int("running", d.callers.Running()))
	stop := lifecycle.Begin(time.Now(), limit, keep)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var handedOver atomic.Bool
	left := 0
	for {
		st := lifecycle.Status{Running: d.callers.Running(), HandedOver: handedOver.Load()}
		for _, a := range stop.Step(time.Now(), st) {
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
				left = st.Running
				d.callers.Abort()
			case lifecycle.Exit:
				return s.finish(ctx, stop, left, handedOver.Load())
			}
		}
		time.Sleep(stopInterval)
	}
}

func (s *stopper) announce() {
	s.leaving.Store(true)
	s.d.members.announceLeaving()
	s.d.callers.Drain()
}

func (s *stopper) runHandovers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range s.handovers {
		wg.Go(func() {
			if err := h.run(ctx); err != nil {
				s.d.log.Warn("hand-over failed", zap.String("state", h.name), zap.Error(err))
			}
		})
	}
	wg.Wait()
}

// finish closes the listeners once the last bytes are written.
func (s *stopper) finish(ctx context.Context, stop *lifecycle.Stop, left int, handedOver bool) error {
	d := s.d
	err := d.callers.Shutdown(ctx)
	if n := d.claims.flush(ctx); n > 0 {
		d.log.Warn("ends of attempts not recorded, their keys become unknown", zap.Int("count", n))
	}
	// The windows go last, so that they hold the end of every request.
	d.slo.handover(ctx)
	d.admin.shutdown(ctx)
	_ = d.peerServer.Shutdown(ctx)
	d.members.close()
	complete := stop.Complete() && err == nil
	d.log.Info("planned stop ends", zap.Bool("complete", complete), zap.Int("requests_aborted", left),
		zap.Int("requests_left", d.callers.Running()), zap.Bool("handed_over", handedOver),
		zap.Duration("elapsed", stop.Elapsed(time.Now())))
	if !complete {
		return result.New(result.Stopping, "the planned stop ended %d requests at its limit of %d s", left, d.set.Times.StopSeconds)
	}
	return nil
}
