package edge

import (
	"time"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/lifecycle"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/servicetime"
)

// stopAcceptance is the acceptance of a request in a planned stop; stop is nil otherwise.
type stopAcceptance struct {
	stop *lifecycle.Stop
	lifecycle.Acceptance
}

// accept refuses requests that would outlast a planned stop. A response that has begun and is
// to be continued at another server is never refused, because that would cut it at once.
func (s *stopper) accept(now time.Time, req *gateway.Request) (stopAcceptance, *result.Error) {
	stop := s.stop.Load()
	if stop == nil || req.Resuming {
		return stopAcceptance{}, nil
	}
	kind := requestKind(req)
	a := stop.MayFinish(now, lifecycle.Request{
		Deadline: req.Deadline, Repeatable: req.Idempotent, Stream: req.Stream,
		Over:   func(d time.Duration) (over, total int) { return s.times.Over(now, kind, d) },
		Spread: func() (median, longest time.Duration) { return s.times.Spread(now, kind) },
		Risk:   func(d time.Duration) float64 { return s.times.Risk(now, kind, req.OutputTokens, d) },
	})
	if a.Accepted {
		return stopAcceptance{stop, a}, nil
	}
	return stopAcceptance{}, result.New(result.Stopping, "the instance is stopping and the request might not end in time (%v left, risk %.4f)",
		a.Left.Round(time.Millisecond), a.Risk).WithRetryAfter(notReadyRetryAfter)
}

// sent records that the request is sent.
func (a stopAcceptance) sent(d *gateway.Decision) {
	if a.stop == nil {
		return
	}
	a.stop.Sent(a.Acceptance)
	d.Stopping, d.StopLeft, d.StopRisk = true, a.Left, a.Risk
}

// requestKind returns the kind of a request whose times are recorded together.
func requestKind(req *gateway.Request) servicetime.Kind {
	return servicetime.Kind{Pool: req.Pool.Name, Name: req.RouteName}
}
