package edge

import (
	"cmp"
	"io"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/core/catalog"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/rollout"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/platform"
)

// rollouts connects the decisions on roll-outs to the tables, the reports and the requests of
// an instance. All methods do nothing on nil.
type rollouts struct {
	tracker *rollout.Tracker
	set     *settings.Edge
	view    *view
	meters  *meters
	log     *zap.Logger
	// logged are the states as last logged. Only run uses it.
	logged map[fleet.PoolID]rollout.Change
	// links knows which links to servers are lost; nil if there are none.
	links *instanceLinks
}

// newRollouts returns nil if the settings have no roll-outs.
func newRollouts(set *settings.Edge, v *view, m *meters, log *zap.Logger) *rollouts {
	if !set.Rollout.Enabled() {
		return nil
	}
	r := &rollouts{tracker: rollout.New(set.Rollout.Config(), nil), set: set, view: v, meters: m, log: log, logged: map[fleet.PoolID]rollout.Change{}}
	v.rollouts, v.peers.rollouts = r, r
	v.eras.voided = append(v.eras.voided, func() { r.tracker.StoreRewound(time.Now()) })
	m.gauge("rollouts", func() any { return r.tracker.Status() })
	return r
}

// applyOrders applies the orders in rows of the operator table.
func (r *rollouts) applyOrders(u update) {
	if r == nil {
		return
	}
	orders := map[fleet.PoolID]*rollout.Order{}
	for _, e := range u.entries {
		pool, ok := platform.ParseRolloutKey(e.Key)
		if !ok {
			continue
		}
		orders[pool] = nil
		if e.Value == nil {
			continue
		}
		o, err := platform.DecodeRolloutOrder(pool, e.Value, e.Version)
		if err != nil {
			r.log.Error("invalid roll-out order; it counts as removed", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		orders[pool] = &o
		r.log.Info("roll-out order read", zap.String(logging.FieldPool, string(pool)), zap.Uint64("order", o.Row), zap.String("to", o.To), zap.Duration("duration", o.Duration))
	}
	now := time.Now()
	r.tracker.SetOrders(now, now.Add(u.readStart-clock.SinceBoot()), orders, u.full)
}

// setServers states the servers of all pools. The caller holds the lock of the view.
func (r *rollouts) setServers(c *catalog.Catalog, servers map[fleet.ServerID]*discoveredServer) {
	if r == nil {
		return
	}
	byPool := map[fleet.PoolID][]rollout.Server{}
	for id, s := range servers {
		byPool[s.Pool] = append(byPool[s.Pool], rollout.Server{
			ID: id, Version: s.Version, StartMillis: s.StartMillis, Taking: !s.Leaving, ColdUntil: s.coldUntil,
		})
	}
	now := time.Now()
	for _, p := range c.Pools() {
		r.tracker.SetServers(now, p.Name, byPool[p.Name])
	}
}

// choose decides to which servers an attempt may go; nil means to all.
func (r *rollouts) choose(now time.Time, req *gateway.Request) *rollout.Choice {
	if r == nil {
		return nil
	}
	return r.tracker.Choose(now, req.Pool.Name, fleet.HashID(req.ID), isFirst(req))
}

// heldBack returns the servers whose versions the roll-out keeps from continuing streams that
// began at them; nil for none.
func (r *rollouts) heldBack(now time.Time, req *gateway.Request) func(fleet.ServerID) bool {
	if r == nil {
		return nil
	}
	if c := r.tracker.Choose(now, req.Pool.Name, fleet.HashID(req.ID), false); c != nil {
		return c.HoldsBack
	}
	return nil
}

// isFirst reports whether the attempt is the first one of the request.
func isFirst(req *gateway.Request) bool { return len(req.TriedServers) == 0 && !req.Resuming }

// abandon returns what a choice has taken if the attempt was not sent.
func (r *rollouts) abandon(c *rollout.Choice) {
	if r != nil {
		r.tracker.Abandon(c)
	}
}

// placed counts an attempt.
func (r *rollouts) placed(c *rollout.Choice, req *gateway.Request, server fleet.ServerID) {
	if r == nil {
		return
	}
	if n := len(req.TriedServers); n > 0 && req.Resuming {
		// The engine client continues streams without a second call of Open.
		r.tracker.Answer(time.Now(), rollout.Attempt{Pool: req.Pool.Name, Route: req.RouteName, Server: req.TriedServers[n-1], Outcome: rollout.Lost})
	}
	r.tracker.Placed(c, server, isFirst(req))
	if c != nil {
		r.meters.rolloutSends.Add(string(req.Pool.Name)+"/"+r.view.version(server), 1)
	}
}

// version returns the version of a server's software; "" if it is unknown.
func (v *view) version(id fleet.ServerID) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[id]; s != nil {
		return s.Version
	}
	return ""
}

// reports returns what to send in a round of a plan.
func (r *rollouts) reports(now time.Time, plan *roster.Plan) rollout.Outgoing {
	if r == nil {
		return rollout.Outgoing{}
	}
	// Relays of other data centres get the sums besides the counters of this instance.
	n := rollout.Recipients{Counters: len(plan.All) + len(plan.Relays) + 2*len(plan.Remote), Verdicts: len(plan.Members)}
	return r.tracker.Reports(now, r.set.DataCentre, plan.Relaying, n)
}

// applyReport applies what a peer reports and relays.
func (r *rollouts) applyReport(now time.Time, m *gossip.Report) {
	if r == nil {
		return
	}
	from := rollout.Source{Instance: m.From.ID, Incarnation: cmp.Or(m.Start, m.From.Incarnation)}
	soon := r.tracker.Merge(now, from, m.From.DataCentre, m.Rollouts)
	if m.Digest != nil {
		soon = r.tracker.Merge(now, from, m.From.DataCentre, m.Digest.Rollouts) || soon
	}
	if soon {
		r.view.peers.reportSoon()
	}
}

// ofDataCentre returns the reports on one data centre.
func ofDataCentre(list []rollout.Report, dc fleet.DataCentreID) []rollout.Report {
	var out []rollout.Report
	for _, r := range list {
		if r.DataCentre == dc {
			out = append(out, r)
		}
	}
	return out
}

// watch counts the outcomes of attempts.
func (r *rollouts) watch(u gateway.Upstream) gateway.Upstream {
	if r == nil {
		return u
	}
	return &rolloutWatch{Upstream: u, rollouts: r}
}

// rolloutOutcome returns how an attempt ended that gave an error. counted is false if the end
// says nothing about the version: a refusal, or an end by the caller or this instance.
func rolloutOutcome(err error) (o rollout.Outcome, counted bool) {
	switch result.As(err).Code {
	case result.ConnectFailed, result.ConnectionLost, result.AnswerTruncated, result.ConnectionSilent:
		return rollout.Lost, true
	case result.ServerError, result.AnswerInvalid, result.AnswerCrossed, result.AnswerTooLarge:
		return rollout.Failed, true
	case result.DeadlineExceeded:
		return rollout.TimedOut, true
	}
	return rollout.Good, false
}

// failedStatus is the lowest status of an answer that is a failure of the server.
const failedStatus = 500

// rolloutResponse records an answer that breaks.
type rolloutResponse struct {
	gateway.Response
	watch   *rolloutWatch
	attempt rollout.Attempt
	ended   bool
}

// Next implements gateway.Response.
func (r *rolloutResponse) Next() ([]byte, error) {
	b, err := r.Response.Next()
	if err != nil && err != io.EOF && !r.ended {
		r.ended = true
		if o, counted := r.watch.outcome(r.attempt.Server, err); counted && o != rollout.TimedOut {
			r.watch.end(nil, r.attempt, o)
		}
	}
	return b, err
}
