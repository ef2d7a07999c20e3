package httpapi

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/result"
)

// Drain closes each connection after its current request, so that callers look up an
// address again. New requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Refuse makes the server refuse new requests with code 2006.
func (s *Server) Refuse() { s.stopping.Store(true) }

// Abort ends the running requests with code 2006; streams of the built-in API end with an error
// event. Responses to callers of a Frontend that have begun run on.
func (s *Server) Abort() {
	s.baseContext()
	s.abort(result.New(result.Stopping, "instance is stopping and the request did not finish in time").WithOutcome(result.Unknown))
}

// baseContext is the parent of all requests' contexts.
func (s *Server) baseContext() context.Context {
	s.baseOnce.Do(func() { s.base, s.abort = context.WithCancelCause(context.Background()) })
	return s.base
}

// Running returns the number of calls whose response is not fully written, including streams
// and error responses.
func (s *Server) Running() int {
	n := s.unanswered.Load() // first, as beginResponse counts a call twice rather than not at all
	return int(n + s.responding.Load())
}

// Responding returns the number of running calls whose response has begun.
func (s *Server) Responding() int { return int(s.responding.Load()) }

const (
	// closeIdleTime limits how long Shutdown waits for connections without a call, such as
	// those with half of a request.
	closeIdleTime = 500 * time.Millisecond
	// shutdownPollInterval is the interval at which Shutdown checks for running calls.
	shutdownPollInterval = 20 * time.Millisecond
)

// Shutdown stops accepting connections and waits until all responses are written or ctx is
// done, in which case it returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	srv := s.srv.Load()
	if srv == nil {
		return nil
	}
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for d := closeIdleTime; ; d = shutdownPollInterval {
			select {
			case <-wait.Done():
				return
			case <-time.After(d):
			}
			if s.Running() == 0 {
				cancel()
			}
		}
	}()
	err := srv.ShutdownWithContext(wait)
	if errors.Is(err, context.Canceled) && ctx.Err() == nil {
		s.Log.Info("connections without a call were open at the shutdown", zap.Int("connections", len(s.conns.Load().all())))
		return nil
	}
	// The library does not count connections whose input is discarded.
	for err == nil && s.Running() > 0 {
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
	return err
}
