package edge

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/rollout"
	"cyclamenhitch/core/servicetime"
)

// placer assigns requests to the servers of the placement board.
type placer struct {
	board   *placement.Balancer
	view    *view
	meters  *meters
	crashes *crashWatch
	times   *servicetime.Tracker
	// pacers paces requests to plain services; nil unless the mechanism is on.
	pacers *pacers
	// acceptInStop returns an error for a request that would outlast a planned stop.
	acceptInStop func(now time.Time, req *gateway.Request) (stopAcceptance, *result.Error)
	// rollouts is nil if the settings have no roll-outs.
	rollouts *rollouts
	// versions keeps streams at the software version at which they began.
	versions *streamVersions
	// links knows which links to servers are lost.
	links *instanceLinks
	// probe asks whether a server responds; known is false if it cannot tell now.
	probe func(server fleet.ServerID, address string) (known, alive bool)
	// queues hold the requests that wait for a brittle server.
	queues brittleQueues
}

var _ gateway.Placer = (*placer)(nil)

// placementPollInterval is the longest time between two placement attempts of a waiting
// request.
const placementPollInterval = 25 * time.Millisecond

// Place implements gateway.Placer.
func (p *placer) Place(ctx context.Context, req *gateway.Request) (*manifest.Server, gateway.Permit, error) {
	srv, permit, err := p.placeStream(ctx, req)
	p.versions.placed(req, err)
	return srv, permit, err
}

// placeStream determines at which version the stream began that a request takes up, if it does,
// and places the request.
func (p *placer) placeStream(ctx context.Context, req *gateway.Request) (*manifest.Server, gateway.Permit, error) {
	if e := p.versions.lookUp(ctx, req); e != nil {
		return nil, nil, e
	}
	if _, e := p.versions.filter(req); e != nil {
		return nil, nil, e // before it waits in a queue
	}
	ask := placementRequest(req)
	began := time.Now()
	if !p.board.Policy().On(placement.RequestUrgency) {
		req.Urgency = neutralUrgency
	}
	send, e := p.pacers.enter(ctx, req)
	if e != nil {
		return nil, nil, e
	}
	srv, permit, err := p.place(ctx, req, ask, began, send)
	p.queues.leave(req)
	if err != nil {
		send.leave(time.Now())
	}
	return srv, permit, err
}

func placementRequest(req *gateway.Request) *placement.Request {
	return &placement.Request{Parts: req.Parts, PromptTokens: req.PromptTokens, Objective: req.Objective, Key: uint64(req.Chat), Account: accountHash(req)}
}

// place waits for a server and reserves a place at it. send is the permission of a request
// to a paced pool, nil for others.
func (p *placer) place(ctx context.Context, req *gateway.Request, ask *placement.Request, began time.Time, send *pacedSend) (*manifest.Server, gateway.Permit, error) {
	for {
		if req.Recheck != nil {
			if e := req.Recheck(); e != nil {
				return nil, nil, e
			}
		}
		now := time.Now()
		acceptance, e := p.acceptInStop(now, req)
		if e != nil {
			return nil, nil, e
		}
		if !now.Before(req.Deadline) {
			return nil, nil, result.New(result.DeadlineTooShort, "deadline passed before the request was sent")
		}
		if e := p.crashes.refusal(now, req); e != nil {
			return nil, nil, e
		}
		otherVersion, e := p.versions.filter(req)
		if e != nil {
			return nil, nil, e
		}
		changed := p.board.Changed(req.Pool.Name)
		left := req.Deadline.Sub(now)
		ranked, verdict, choice := p.rank(now, left, req, ask, otherVersion)
		if verdict == placement.Found && ranked[0].MissesDeadline(left) {
			p.rollouts.abandon(choice)
			return nil, nil, result.New(result.PoolAtBound, "the first token is expected in %v, %v are left", ranked[0].Wait.Round(time.Millisecond), left.Round(time.Millisecond)).
				WithRetryAfter(ranked[0].Wait - left)
		}
		if verdict == placement.NoServers && send != nil && len(req.TriedServers) > 0 && !req.MayHaveRun {
			// Servers that only refused the request may have room now.
			ranked, verdict = p.board.Rank(now, req.Pool.Name, ask, eitherFilter(otherVersion, choice.Filter()))
		}
		if verdict == placement.Found && send.waitForRoom(ctx, now, &ranked[0], changed) {
			p.rollouts.abandon(choice)
			continue
		}
		for _, c := range ranked {
			if !p.versions.mayContinue(req, c.ID) {
				continue
			}
			t := p.board.Reserve(now, req.Pool.Name, c, ask)
			if t == nil {
				continue
			}
			req.FetchFrom = c.Source
			req.UrgencyShift = 0
			if p.board.Policy().On(placement.RequestUrgency) {
				req.UrgencyShift = p.board.UrgencyShift(&c, left)
			}
			req.FirstPartTimeout = firstPartTimeout(c.Wait)
			p.recordDecision(req, c, len(ranked), now.Sub(began))
			acceptance.sent(req)
			p.rollouts.placed(choice, req, c.ID)
			return &manifest.Server{Name: c.ID, Pool: req.Pool.Name, Address: c.Address}, p.permit(now, req, c.ID, t, send), nil
		}
		p.rollouts.abandon(choice)
		if verdict == placement.AllPaused {
			return nil, nil, p.pausedRefusal(now, req.Pool.Name)
		}
		p.queue(req, verdict, otherVersion != nil || len(req.TriedServers) > 0)
		if e := p.refusalAfterWait(req, verdict, now.Sub(began)); e != nil {
			return nil, nil, e
		}
		waitForChange(ctx, changed, placementPollInterval)
		if ctx.Err() != nil {
			return nil, nil, result.Wrap(result.CallerGone, ctx.Err(), "the caller left while the request waited").WithOutcome(result.NotRun)
		}
	}
}

// rank ranks the servers to which a roll-out allows the attempt to go, left before its deadline.
// otherVersion excludes servers that may not continue the request's stream; nil for none. The
// version of the stream goes before the one that a roll-out would choose.
func (p *placer) rank(now time.Time, left time.Duration, req *gateway.Request, ask *placement.Request, otherVersion func(fleet.ServerID) bool) ([]placement.Candidate, placement.RankStatus, *rollout.Choice) {
	if !p.queues.mayTry(req) {
		return nil, placement.BrittleBound, nil
	}
	tried := triedFilter(req)
	if otherVersion != nil {
		held := p.rollouts.heldBack(now, req)
		ranked, status := p.board.Rank(now, req.Pool.Name, ask, eitherFilter(tried, eitherFilter(otherVersion, held)))
		return ranked, status, nil
	}
	choice := p.rollouts.choose(now, req)
	if choice == nil {
		ranked, status := p.board.Rank(now, req.Pool.Name, ask, tried)
		return ranked, status, nil
	}
	ranked, status := p.board.Rank(now, req.Pool.Name, ask, eitherFilter(tried, choice.Excludes))
	if choice.HasFallback(status == placement.NoServers) && (status != placement.Found || ranked[0].MissesDeadline(left)) {
		ranked, status = p.board.Rank(now, req.Pool.Name, ask, eitherFilter(tried, choice.ExcludesFallback))
	}
	return ranked, status, choice
}

// neutralUrgency is what engines assume of requests without an urgency.
const neutralUrgency = 5

const (
	// maxWaitShare is the fraction of its objective for which a request may wait for a
	// server; minWaitLimit is the lower bound of that limit.
	maxWaitShare = 0.5
	minWaitLimit = 100 * time.Millisecond
	// placementRetryAfter is the Retry-After of a refusal.
	placementRetryAfter = 300 * time.Millisecond
)

// refusalAfterWait returns the refusal of a request for which no server was found, or nil
// if it may continue to wait.
func (p *placer) refusalAfterWait(req *gateway.Request, v placement.RankStatus, waited time.Duration) *result.Error {
	hold := max(minWaitLimit, time.Duration(maxWaitShare*float64(req.Objective)))
	mayWait := p.board.Policy().On(placement.Waiting) && waited < hold
	if mayWait && (v != placement.NoServers || !p.view.hasReadServers()) {
		return nil
	}
	switch v {
	case placement.NoServers:
		return result.New(result.NoServer, "no server of pool %s may receive work", req.Pool.Name).WithRetryAfter(placementRetryAfter)
	case placement.ColdLimited:
		return result.New(result.PoolAtBound, "all servers of pool %s are cold", req.Pool.Name).WithRetryAfter(placementRetryAfter)
	case placement.BrittleBound:
		return result.New(result.PoolAtBound, "pool %s is brittle and this instance has used up its share", req.Pool.Name).WithRetryAfter(brittleRetryAfter())
	}
	return result.New(result.PoolAtBound, "all servers of pool %s are at the load bound", req.Pool.Name).WithRetryAfter(placementRetryAfter)
}

// pauseSpread is the fraction of a pause by which the Retry-After of refusals varies, so
// that callers do not return together.
const pauseSpread = 0.5

// pausedRefusal returns the refusal while all servers of a pool asked for a pause.
func (p *placer) pausedRefusal(now time.Time, pool fleet.PoolID) *result.Error {
	after := placementRetryAfter
	if end, ok := p.board.EarliestPauseEnd(now, pool); ok {
		after = max(after, end.Sub(now))
	}
	after += time.Duration(rand.Float64() * pauseSpread * float64(after))
	return result.New(result.NoServer, "all servers of pool %s asked for a pause", pool).WithRetryAfter(after)
}

func (p *placer) recordDecision(req *gateway.Request, c placement.Candidate, n int, waited time.Duration) {
	p.meters.observePlacementWait(waited)
	version, at, _ := p.view.lease.State()
	req.Decisions = append(req.Decisions, gateway.Decision{
		Server: c.ID, Elapsed: time.Since(req.Arrived), Waited: waited, Cost: c.Cost, ExpectedWait: c.Wait, Cached: c.Cached, Fetched: c.Fetched,
		Running: c.Running, NominalWait: time.Duration(float64(c.Wait) / max(1, c.Slowdown)),
		Candidates: n, ConfigVersion: version, ConfigAge: clock.SinceBoot() - at,
	})
}

// The timeout for the first part of a response, after which an idempotent request is sent
// to another server that can take it, is a multiple of the expected wait, so that slow
// responses are not requested twice. A sound server may fall silent for a second or so and go
// on: with a least timeout of 500 ms, its requests ran at a second server as well.
const (
	firstPartTimeoutFactor = 4
	minFirstPartTimeout    = 1500 * time.Millisecond
)

func firstPartTimeout(expected time.Duration) time.Duration {
	return max(minFirstPartTimeout, firstPartTimeoutFactor*expected)
}

func triedFilter(req *gateway.Request) func(fleet.ServerID) bool {
	if len(req.TriedServers) == 0 {
		return nil
	}
	return func(id fleet.ServerID) bool {
		for _, t := range req.TriedServers {
			if t == id {
				return true
			}
		}
		return false
	}
}

// eitherFilter excludes what one of the filters does; both may be nil.
func eitherFilter(a, b func(fleet.ServerID) bool) func(fleet.ServerID) bool {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	return func(id fleet.ServerID) bool { return a(id) || b(id) }
}

func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// permit is a reservation on the placement board and the record of the request's time.
type permit struct {
	ticket *placement.Reservation
	run    *servicetime.Run
	// remainder is set for the rest of a response that began elsewhere.
	remainder bool
	// send is the permission of a request to a paced pool, nil for others.
	send *pacedSend
	// attempt is for the version at which the stream begins.
	attempt versionedAttempt
	links   *instanceLinks
	server  fleet.ServerID
}

func (p *placer) permit(now time.Time, req *gateway.Request, id fleet.ServerID, t *placement.Reservation, send *pacedSend) *permit {
	return &permit{
		t, p.times.Begin(now, requestKind(req), req.OutputTokens), req.Resuming || req.LastEventID != "", send,
		p.versions.selected(req, id), p.links, id,
	}
}

// Opened implements gateway.Permit.
func (p *permit) Opened(time.Duration) {
	now := time.Now()
	p.ticket.OnFirstOutput(now)
	p.run.Opened(now)
	p.attempt.opened(now)
}

// Part implements gateway.Permit.
func (p *permit) Part() { p.run.Part(time.Now()) }

// Release implements gateway.Permit.
func (p *permit) Release(err error) {
	now := time.Now()
	p.ticket.Release(now, p.links.outcome(p.server, err))
	p.send.done(now, err)
	end := servicetime.GivenUp
	switch {
	case p.remainder:
	case err == io.EOF:
		end = servicetime.Whole
	case err != nil && result.As(err).Code == result.DeadlineExceeded:
		end = servicetime.Expired
	}
	p.run.End(now, end)
}
