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

// stopPollInterval is the time between two steps of a stop.
const stopPollInterval = 50 * time.Millisecond

// stopper carries a planned stop out.
type stopper struct {
	limit, addressTTL time.Duration
	caller            *httpapi.Server
	peers             *peers
	log               *zap.Logger
	// refuseStreams is set when only requests that end soon are still taken.
	refuseStreams atomic.Bool
}

// streamCutoffShare is the part of the limit after which a stopping instance takes no
// more streams: what is left must be enough for the longest of them.
const streamCutoffShare = 0.35

// refuseStream refuses streams that may outlast the stop.
func (s *stopper) refuseStream(req *gateway.Request) *result.Error {
	if !req.Stream || !s.refuseStreams.Load() {
		return nil
	}
	return result.New(result.Stopping, "the instance is stopping and takes no more streams").WithRetryAfter(notReadyRetryAfter)
}

func (s *stopper) run(ctx context.Context) error {
	began := time.Now()
	stop := lifecycle.Begin(began, s.limit, s.addressTTL)
	s.log.Info("stop begins", zap.Int("running", s.caller.Running()), zap.Duration("limit", s.limit))
	for {
		if stop.Elapsed(time.Now()) > time.Duration(streamCutoffShare*float64(s.limit)) {
			s.refuseStreams.Store(true)
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
		time.Sleep(stopPollInterval)
	}
}
