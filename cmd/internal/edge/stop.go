package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/core/lifecycle"
)

// stopTick is the time between two steps of a stop.
const stopTick = 50 * time.Millisecond

// stopper carries a planned stop out.
type stopper struct {
	limit, keep time.Duration
	caller      *httpapi.Server
	peers       *peers
	log         *zap.Logger
}

func (s *stopper) run(ctx context.Context) error {
	began := time.Now()
	stop := lifecycle.Begin(began, s.limit, s.keep)
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
				s.log.Info("stopped", zap.Duration("took", time.Since(began)), zap.Bool("complete", stop.Complete()))
				return nil
			}
		}
		time.Sleep(stopTick)
	}
}
