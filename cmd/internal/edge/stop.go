package edge

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/core/lifecycle"
	"cyclamenhitch/core/servicetime"
)

// stopPollInterval is the interval at which the steps of a stop are checked.
const stopPollInterval = 50 * time.Millisecond

// handToKernelTime is the time before the latest exit at which the kernel is given what it can
// take of the responses under way.
const handToKernelTime = 200 * time.Millisecond

// signalDelay is how long before its handling the signal for a stop may have been sent. It took
// up to 2 ms on a machine with a load average of 10.
const signalDelay = 20 * time.Millisecond

// stopper carries out a planned stop.
type stopper struct {
	limit, addressTTL time.Duration
	caller            *httpapi.Server
	peers             *peers
	log               *zap.Logger
	times             *servicetime.Tracker
	// tunnels returns the number of connections that the instance carries for peers.
	tunnels func() int
	// stop is set when the stop begins.
	stop atomic.Pointer[lifecycle.Stop]
}

func (s *stopper) run(ctx context.Context) error {
	began := time.Now()
	stop := lifecycle.BeginSelective(began, s.limit, s.addressTTL)
	stop.SetSignalled(began.Add(-signalDelay))
	s.stop.Store(stop)
	s.peers.learnTimes(s.times)
	s.log.Info("stop begins", zap.Int("running", s.caller.Running()), zap.Duration("limit", s.limit))
	for handed := false; ; {
		tunnels := s.tunnels()
		status := lifecycle.Status{Responding: s.caller.Responding() + tunnels, Running: s.caller.Running() + tunnels, HandedOver: true}
		for _, a := range stop.Step(time.Now(), status) {
			switch a {
			case lifecycle.Announce:
				s.caller.Drain()
				go s.peers.leave(ctx)
			case lifecycle.Refuse:
				s.caller.Refuse()
			case lifecycle.Abort:
				s.log.Warn("stop ends running requests", zap.Int("running", status.Running), zap.Int("responding", status.Responding))
				s.caller.Abort()
			case lifecycle.Exit:
				s.closeCallers(ctx, stop.ExitBy())
				s.log.Info("stopped", zap.Duration("took", time.Since(began)), zap.Bool("complete", stop.Complete()))
				return nil
			}
		}
		if !handed && time.Until(stop.ExitBy()) <= handToKernelTime {
			handed = true
			s.caller.HandToKernel()
		}
		time.Sleep(min(stopPollInterval, time.Until(stop.ExitBy())))
	}
}

// closeCallers closes the caller listener and waits until the last responses are written.
func (s *stopper) closeCallers(ctx context.Context, exitBy time.Time) {
	ctx, cancel := context.WithDeadline(ctx, exitBy)
	defer cancel()
	if err := s.caller.Shutdown(ctx); err != nil {
		s.log.Warn("caller connections were open at the exit", zap.Int("responses_cut_off", s.caller.LogUndelivered()), zap.Error(err))
	}
}
