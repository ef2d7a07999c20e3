package edge

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/lifecycle"
	"cyclamenhitch/core/result"
)

// stopTick is the time between two steps of a stop.
const stopTick = 50 * time.Millisecond

// stopper carries a planned stop out.
type stopper struct {
	limit, keep time.Duration
	caller      *httpapi.Server
	peers       *peers
	log         *zap.Logger
	// short is set when only requests that end soon are still taken.
	short atomic.Bool
}

// streamShare is the part of the limit after which a stopping instance takes no
// more streams: what is left must be enough for the longest of them.
const streamShare = 0.35

// refusal refuses streams that may outlast the stop.
func (s *stopper) refusal(req *gateway.Request) *result.Error {
	if !req.Stream || !s.short.Load() {
		return nil
	}
	return result.New(result.Stopping, "the instance is stopping and takes no more streams").WithRetryAfter(notReadyRetry)
}

func (s *stopper) run(ctx context.Context) error {
	began := time.Now()
	stop := lifecycle.Begin(began, s.limit, s.keep)
	s.log.Info("stop begins", zap.Int("running", s.caller.Running()), zap.Duration("limit", s.limit))
	for {
		if stop.Elapsed(time.Now()) > time.Duration(streamShare*float64(s.limit)) {
			s.short.Store(true)
		}
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
