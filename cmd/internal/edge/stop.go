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

const (
	// stopPollInterval is the interval at which the steps of a stop are checked.
	stopPollInterval = 50 * time.Millisecond
	// lastAnswersTime limits how long a stop that has ended all requests waits until their
	// answers are written. A connection with half of a request must not delay it further.
	lastAnswersTime = 500 * time.Millisecond
)

// stopper carries out a planned stop.
type stopper struct {
	limit, addressTTL time.Duration
	caller            *httpapi.Server
	peers             *peers
	log               *zap.Logger
	times             *servicetime.Tracker
	// stop is set when the stop begins.
	stop atomic.Pointer[lifecycle.Stop]
}

func (s *stopper) run(ctx context.Context) error {
	began := time.Now()
	stop := lifecycle.BeginSelective(began, s.limit, s.addressTTL)
	s.stop.Store(stop)
	s.peers.learnTimes(s.times)
	s.log.Info("stop begins", zap.Int("running", s.caller.Running()), zap.Duration("limit", s.limit))
	for {
		for _, a := range stop.Step(time.Now(), lifecycle.Status{Running: s.caller.Running(), HandedOver: true}) {
			switch a {
			case lifecycle.Announce:
				s.caller.Drain()
				go s.peers.leave(ctx)
			case lifecycle.Refuse:
				s.caller.Refuse()
			case lifecycle.Abort:
				s.log.Warn("stop ends running requests", zap.Int("running", s.caller.Running()))
				s.caller.Abort()
			case lifecycle.Exit:
				s.writeLastAnswers(ctx, stop.ExitBy())
				s.log.Info("stopped", zap.Duration("took", time.Since(began)), zap.Bool("complete", stop.Complete()))
				return nil
			}
		}
		time.Sleep(stopPollInterval)
	}
}

// writeLastAnswers closes the caller listener and waits until the answers of requests that
// have ended are written.
func (s *stopper) writeLastAnswers(ctx context.Context, exitBy time.Time) {
	limit := min(lastAnswersTime, max(stopPollInterval, time.Until(exitBy)))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := s.caller.Shutdown(ctx); err != nil {
		s.log.Info("caller connections were open at the exit", zap.Error(err))
	}
}
