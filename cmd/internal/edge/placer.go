package edge

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
)

// placer puts requests on servers of the board.
type placer struct {
	board  *placement.Balancer
	view   *view
	meters *meters
	// stopping returns the refusal of a request that would outlast a planned stop.
	stopping func(req *gateway.Request) *result.Error
}

var _ gateway.Placer = (*placer)(nil)

// lookAgain bounds the wait of a request that waits for a server.
const lookAgain = 25 * time.Millisecond

// Place implements gateway.Placer.
func (p *placer) Place(ctx context.Context, req *gateway.Request) (*manifest.Server, gateway.Permit, error) {
	ask := &placement.Request{Parts: req.Parts, PromptTokens: req.PromptTokens, Objective: req.Objective, Key: uint64(req.Chat)}
	began := time.Now()
	for {
		if req.Recheck != nil {
			if e := req.Recheck(); e != nil {
				return nil, nil, e
			}
		}
		if e := p.stopping(req); e != nil {
			return nil, nil, e
		}
		now := time.Now()
		if !now.Before(req.Deadline) {
			return nil, nil, result.New(result.DeadlineTooShort, "deadline passed before the request was sent")
		}
		changed := p.board.Changed(req.Pool.Name)
		left := req.Deadline.Sub(now)
		ranked, verdict := p.board.Rank(now, req.Pool.Name, ask, tried(req))
		if verdict == placement.Found && ranked[0].MissesDeadline(left) {
			return nil, nil, result.New(result.PoolAtBound, "the first token is expected in %v, %v are left", ranked[0].Wait.Round(time.Millisecond), left.Round(time.Millisecond)).
				WithRetryAfter(ranked[0].Wait - left)
		}
		for _, c := range ranked {
			t := p.board.Reserve(now, req.Pool.Name, c, ask)
			if t == nil {
				continue
			}
			req.FetchFrom = c.Source
			req.FirstPartTimeout = patienceFor(c.Wait)
			p.decided(req, c, len(ranked), now.Sub(began))
			return &manifest.Server{Name: c.ID, Pool: req.Pool.Name, Address: c.Address}, &permit{t}, nil
		}
		if e := p.giveUp(req, verdict, now.Sub(began)); e != nil {
			return nil, nil, e
		}
		wait(ctx, changed, lookAgain)
		if ctx.Err() != nil {
			return nil, nil, result.Wrap(result.CallerGone, ctx.Err(), "the caller left while the request waited").WithOutcome(result.NotRun)
		}
	}
}

const (
	// holdShare is the part of a request's objective for which it may wait for a
	// server, and holdLeast the shortest such wait.
	holdShare = 0.5
	holdLeast = 100 * time.Millisecond
	// placeRetry is when a refused caller may ask again.
	placeRetry = 300 * time.Millisecond
)

// giveUp returns the refusal of a request that found no server, or nil when it may
// wait on.
func (p *placer) giveUp(req *gateway.Request, v placement.RankStatus, waited time.Duration) *result.Error {
	hold := max(holdLeast, time.Duration(holdShare*float64(req.Objective)))
	if waited < hold && (v != placement.NoServers || !p.view.knowsServers()) {
		return nil
	}
	switch v {
	case placement.NoServers:
		return result.New(result.NoServer, "no server of pool %s may receive work", req.Pool.Name).WithRetryAfter(placeRetry)
	case placement.ColdLimited:
		return result.New(result.PoolAtBound, "all servers of pool %s are cold", req.Pool.Name).WithRetryAfter(placeRetry)
	}
	return result.New(result.PoolAtBound, "all servers of pool %s are at the load bound", req.Pool.Name).WithRetryAfter(placeRetry)
}

func (p *placer) decided(req *gateway.Request, c placement.Candidate, n int, waited time.Duration) {
	p.meters.placed(waited)
	version, at, _ := p.view.lease.State()
	req.Decisions = append(req.Decisions, gateway.Decision{
		Server: c.ID, Elapsed: time.Since(req.Arrived), Waited: waited, Cost: c.Cost, ExpectedWait: c.Wait, Cached: c.Cached, Fetched: c.Fetched,
		Candidates: n, ConfigVersion: version, ConfigAge: clock.SinceBoot() - at,
	})
}

// Bounds of the time after which a request that may run at another server is sent
// there, because the first one has not answered: several times what was expected,
// so that slow answers are not asked for twice.
const (
	patienceFactor = 4
	patienceLeast  = 500 * time.Millisecond
)

func patienceFor(expected time.Duration) time.Duration {
	return max(patienceLeast, patienceFactor*expected)
}

func tried(req *gateway.Request) func(fleet.ServerID) bool {
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

func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// permit is a place on the board.
type permit struct{ t *placement.Reservation }

// Opened implements gateway.Permit.
func (p *permit) Opened(time.Duration) { p.t.OnFirstOutput(time.Now()) }

// Release implements gateway.Permit.
func (p *permit) Release(err error) { p.t.Release(time.Now(), outcomeOf(err)) }

// outcomeOf says what an error tells of the server.
func outcomeOf(err error) placement.Outcome {
	e := result.As(err)
	if e == nil {
		return placement.Ended
	}
	var ne net.Error
	switch {
	case errors.Is(err, syscall.ETIMEDOUT), e.Code == result.ConnectFailed && errors.As(err, &ne) && ne.Timeout():
		return placement.Unreachable
	}
	switch e.Code {
	case result.ServerRefused:
		return placement.Refused
	case result.ConnectFailed, result.ConnectionLost, result.ConnectionSilent, result.AnswerTruncated, result.AnswerCrossed,
		result.AnswerInvalid:
		return placement.Failed
	case result.ServerError:
		return placement.Errored
	}
	return placement.Ended
}
