package edge

import (
	"context"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/rollout"
)

// rolloutWatch sends requests and records how the attempts end, by version.
type rolloutWatch struct {
	gateway.Upstream
	rollouts *rollouts
}

func (w *rolloutWatch) end(d *rollout.Pending, a rollout.Attempt, o rollout.Outcome) {
	a.Outcome = o
	w.rollouts.tracker.End(time.Now(), d, a)
}

// outcome is rolloutOutcome; a connection that ends while the link to the server is lost, or that fails
// on the way to a peer, says nothing about the version.
func (w *rolloutWatch) outcome(server fleet.ServerID, err error) (o rollout.Outcome, counted bool) {
	o, counted = rolloutOutcome(err)
	if o == rollout.Lost && w.rollouts.links != nil && (isCarrierFault(err) || w.rollouts.links.tracker.Lost(server)) {
		return o, false
	}
	return o, counted
}

// Open implements gateway.Upstream.
func (w *rolloutWatch) Open(ctx context.Context, srv *manifest.Server, req *gateway.Request, attemptID string) (gateway.Response, error) {
	began := time.Now()
	a := rollout.Attempt{Pool: srv.Pool, Route: req.RouteName, Server: srv.Name}
	if n := len(req.Decisions); n > 0 {
		a.Expected, a.Running = req.Decisions[n-1].NominalWait, req.Decisions[n-1].Running
	}
	pending := w.rollouts.tracker.Begin(began, a)
	resp, err := w.Upstream.Open(ctx, srv, req, attemptID)
	a.Took = time.Since(began)
	if err != nil {
		if o, counted := w.outcome(srv.Name, err); counted {
			w.end(pending, a, o)
		} else {
			w.rollouts.tracker.Drop(pending)
		}
		return nil, err
	}
	o := rollout.Good
	if resp.Status() >= failedStatus {
		o = rollout.Failed
	}
	w.end(pending, a, o)
	if gateway.IsStored(resp) { // it cannot break, and the server of callers has to see that
		return resp, nil
	}
	return &rolloutResponse{Response: resp, watch: w, attempt: a}, nil
}
