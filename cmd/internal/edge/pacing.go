package edge

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/pacing"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
)

// pacers paces the requests to pools of plain servers. A nil *pacers paces nothing.
type pacers struct {
	board *placement.Balancer
	log   *zap.Logger
	// random returns a number in [0, 1) and may be called concurrently.
	random func() float64

	mu        sync.Mutex
	pools     map[fleet.PoolID]*pacing.Pool
	short     map[fleet.PoolID]bool // as last logged
	instances int
}

// newPacers returns nil unless the mechanism is on.
func newPacers(board *placement.Balancer, log *zap.Logger) *pacers {
	if !board.Policy().On(placement.ServicePacing) {
		return nil
	}
	return &pacers{board: board, log: log, random: rand.Float64, pools: map[fleet.PoolID]*pacing.Pool{}, short: map[fleet.PoolID]bool{}, instances: minBudgetInstances}
}

// pool returns the pacing of a pool, nil for pools of engines and those whose room is unknown.
func (p *pacers) pool(now time.Time, id fleet.PoolID) *pacing.Pool {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.pools[id]; known != nil {
		return known
	}
	slots, ok := p.board.ServiceSlots(now, id)
	if !ok {
		return nil
	}
	created := pacing.NewPool()
	created.SetRoom(slots, p.instances)
	p.pools[id] = created
	return created
}

// setInstances sets the number of instances that send to the pools.
func (p *pacers) setInstances(n int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = n
}

// report updates the room of the pools and returns what this instance measured.
func (p *pacers) report(now time.Time) map[fleet.PoolID]pacing.Report {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out map[fleet.PoolID]pacing.Report
	for id, pool := range p.pools {
		slots, ok := p.board.ServiceSlots(now, id)
		if !ok {
			delete(p.pools, id)
			continue
		}
		pool.SetRoom(slots, p.instances)
		r, short := pool.Report(now)
		if short {
			if out == nil {
				out = map[fleet.PoolID]pacing.Report{}
			}
			out[id] = r
		}
		p.logShortage(now, id, pool)
	}
	limitDemand(out, maxDemandFlows)
	return out
}

// logShortage logs when requests to a pool begin or cease to be limited.
func (p *pacers) logShortage(now time.Time, id fleet.PoolID, pool *pacing.Pool) {
	c := pool.Counts(now)
	if c.Limiting == p.short[id] {
		return
	}
	p.short[id] = c.Limiting
	msg := "demand for a pool is within its capacity again"
	if c.Limiting {
		msg = "demand for a pool exceeds its capacity"
	}
	p.log.Info(msg, zap.String(logging.FieldPool, string(id)), zap.Float64("allowed_per_second", c.AllowedPerSecond),
		zap.Int("queued", c.Queued), zap.Int64("over_share", c.OverShare), zap.Int64("no_room", c.NoRoom), zap.Int64("full", c.Full))
}

// applyPeer applies the demand that a peer reports for itself or for others.
func (p *pacers) applyPeer(now time.Time, id fleet.InstanceID, demand map[fleet.PoolID]pacing.Report) {
	if p == nil {
		return
	}
	for pool, r := range demand {
		if known := p.pool(now, pool); known != nil {
			known.SetPeer(id, now, r)
		}
	}
}

// sum returns the demand of this instance and the included peers.
func (p *pacers) sum(now time.Time, include func(fleet.InstanceID) bool) map[fleet.PoolID]pacing.Report {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out map[fleet.PoolID]pacing.Report
	for id, pool := range p.pools {
		if r, ok := pool.Sum(now, include); ok {
			if out == nil {
				out = map[fleet.PoolID]pacing.Report{}
			}
			out[id] = r
		}
	}
	limitDemand(out, sumFactor*maxDemandFlows)
	return out
}

// without returns a sum without the demand of a peer, for a digest.
func (p *pacers) without(now time.Time, sum map[fleet.PoolID]pacing.Report, to fleet.InstanceID) map[fleet.PoolID]pacing.Report {
	if len(sum) == 0 {
		return nil
	}
	out := make(map[fleet.PoolID]pacing.Report, len(sum))
	for id, r := range sum {
		var peer pacing.Report
		if pool := p.pool(now, id); pool != nil {
			peer = pool.Peer(now, to)
		}
		out[id] = r.Without(&peer)
	}
	limitDemand(out, maxDemandFlows)
	return out
}

const (
	// maxDemandFlows limits the flows of all pools in one report or digest, to 4 KB of a datagram.
	maxDemandFlows = 4 * pacing.MaxFlows
	// sumFactor is how many times as many flows the sums have from which digests are derived.
	sumFactor = 4
)

// limitDemand merges flows if many pools are short.
func limitDemand(demand map[fleet.PoolID]pacing.Report, limit int) {
	for id, r := range demand {
		r.Limit(limit / len(demand))
		demand[id] = r
	}
}

// counts returns the metrics of all paced pools.
func (p *pacers) counts(now time.Time) map[fleet.PoolID]pacing.Counts {
	out := map[fleet.PoolID]pacing.Counts{}
	if p == nil {
		return out
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, pool := range p.pools {
		out[id] = pool.Counts(now)
	}
	return out
}

// pacedSend is a request's permission to be sent to a paced pool; nil for other pools.
type pacedSend struct {
	pool   *pacing.Pool
	ticket *pacing.Ticket
	ended  bool
}

// enter waits until the request may be sent.
func (p *pacers) enter(ctx context.Context, req *gateway.Request) (*pacedSend, *result.Error) {
	now := time.Now()
	pool := p.pool(now, req.Pool.Name)
	if pool == nil {
		return nil, nil
	}
	item := pacedItem(req)
	t, refusal := pool.Enter(now, item, p.random())
	if refusal != nil {
		return nil, pacingError(req.Pool.Name, refusal)
	}
	select {
	case <-t.Ready():
		return &pacedSend{pool: pool, ticket: t}, nil
	default:
	}
	timer := time.NewTimer(t.Latest().Sub(now))
	defer timer.Stop()
	select {
	case <-t.Ready():
		return &pacedSend{pool: pool, ticket: t}, nil
	case <-ctx.Done():
		pool.Leave(time.Now(), t)
		return nil, result.Wrap(result.CallerGone, ctx.Err(), "the caller left while the request waited").WithOutcome(result.NotRun)
	case <-timer.C:
	}
	now = time.Now()
	pool.Leave(now, t)
	return nil, pacingError(req.Pool.Name, pool.Refuse(now, &item, p.random()))
}

func pacedItem(req *gateway.Request) pacing.Item {
	item := pacing.Item{
		Priority: req.Urgency, Account: uint32(accountHash(req)) | 1, Route: uint32(fleet.HashID(req.RouteName)), Deadline: req.Deadline, Objective: req.Objective,
		Refused: len(req.TriedServers) > 0,
	}
	if req.Account != nil {
		item.Weight = req.Account.Weight
	}
	return item
}

// pacingError returns the refusal of a request that was not sent.
func pacingError(pool fleet.PoolID, r *pacing.Refusal) *result.Error {
	if r.Reason == pacing.OverShare {
		return result.New(result.AccountOverShare, "pool %s is short of capacity and the account has used up its share", pool).WithRetryAfter(r.After)
	}
	return result.New(result.PoolAtBound, "no room is expected in pool %s in time", pool).WithRetryAfter(r.After)
}

// waitForRoom waits while all servers are taken to be full. It returns false if there is room
// or no time to wait.
func (s *pacedSend) waitForRoom(ctx context.Context, now time.Time, best *placement.Candidate, changed <-chan struct{}) bool {
	if s == nil || !best.RoomAt.After(now) || !best.RoomAt.Before(s.ticket.Latest()) {
		return false
	}
	waitForChange(ctx, changed, best.RoomAt.Sub(now))
	return ctx.Err() == nil
}

// leave gives the permission back unused.
func (s *pacedSend) leave(now time.Time) {
	if s != nil && !s.ended {
		s.ended = true
		s.pool.Leave(now, s.ticket)
	}
}

// done ends the send. err is the result of the attempt.
func (s *pacedSend) done(now time.Time, err error) {
	if s == nil || s.ended {
		return
	}
	s.ended = true
	outcome := pacing.Lost
	switch {
	case err == nil || err == io.EOF:
		outcome = pacing.Completed
	case result.As(err).Code == result.ServerRefused:
		outcome = pacing.Full
	}
	s.pool.Done(now, s.ticket, outcome)
}

// pacedOpener states when to come back in refusals of servers, which would otherwise be
// passed on without it.
type pacedOpener struct {
	httpapi.Opener
	pacers *pacers
}

// Open implements httpapi.Opener.
func (o pacedOpener) Open(ctx context.Context, req *gateway.Request) (gateway.Response, error) {
	resp, err := o.Opener.Open(ctx, req)
	if err == nil {
		return resp, nil
	}
	e := result.As(err)
	if e.Code != result.ServerRefused || e.Outcome != result.NotRun || e.RetryAfter > 0 {
		return nil, err
	}
	now := time.Now()
	pool := o.pacers.pool(now, req.Pool.Name)
	if pool == nil {
		return nil, err
	}
	item := pacedItem(req)
	stated := *e
	return nil, stated.WithRetryAfter(pool.Refuse(now, &item, o.pacers.random()).After)
}
