package gateway

import (
	"context"
	"strconv"
	"time"

	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/retry"
	"cyclamenhitch/core/verdict"
)

// maxCandidates limits the servers for which one request seeks a permit. The
// ranking is stable, so a longer search would spread a chat over many caches.
// With 4, a pool of 10 engines refused 0.4% of requests although the load of some
// engine was below the mean.
const maxCandidates = 6

// maxAttempts limits the sends of one request, including the first one.
const maxAttempts = 3

// maxLostAttempts limits the attempts of one request that end with the connection before a
// response. Two servers that end under a request are more likely its doing than chance.
const maxLostAttempts = 2

// maxStoredResponseBytes limits the response of a claimed request. The whole
// response is read before it is forwarded, so that it can be stored.
const maxStoredResponseBytes = 4 << 20

// Gateway runs requests through its components.
type Gateway struct {
	Router   Router
	Admitter Admitter
	Upstream Upstream
	// Placer, unless nil, replaces Router and Admitter.
	Placer Placer
	// Claimer is nil where callers assign a separate ID to each attempt: a request
	// that is not idempotent is then retried only if it is known not to have run.
	Claimer Claimer
	Budget  RetryBudget
	// Memory is taken by responses that are read whole; nil means no limit.
	Memory *budget.Bytes
	Now    Clock
	// AfterFunc calls f after d unless stopped before; nil means that the gateway
	// waits for an unresponsive server until the deadline.
	AfterFunc func(d time.Duration, f func()) (stop func() bool)
	// Sleep waits before a retry; nil means no wait. Int64N returns a random number
	// below n for its jitter and must be safe for concurrent use.
	Sleep  func(ctx context.Context, d time.Duration) error
	Int64N func(n int64) int64
}

// Open runs req until the first part of its response has arrived. The caller of
// Open must Close the response.
func (g *Gateway) Open(ctx context.Context, req *Request) (Response, error) {
	if req.Idempotent || g.Claimer == nil {
		return g.openWithRetries(ctx, req, nil)
	}
	return g.openClaimed(ctx, req)
}

// openClaimed runs a request that must not run twice. The claim is stored after the
// permit was granted, so that a refusal under overload costs no write, and before
// the first byte is sent. A request that is refused before its claim looks up its
// key, because an earlier request with the key may have run.
func (g *Gateway) openClaimed(ctx context.Context, req *Request) (Response, error) {
	var claim Claim
	claimAttempted := false
	resp, err := g.openWithRetries(ctx, req, func() (Response, error) {
		claimAttempted = true
		c, stored, err := g.Claimer.Claim(ctx, req)
		if err != nil || stored != nil {
			return stored, err
		}
		claim = c
		if !g.Now().Before(req.Deadline) {
			return nil, result.New(result.DeadlineTooShort, "deadline passed while the claim was recorded")
		}
		return nil, nil
	})
	if !claimAttempted && err != nil {
		return g.settleRefusal(ctx, req, err)
	}
	if claim == nil {
		return resp, err
	}
	if err != nil {
		claim.Finish(0, nil, nil, err)
		return nil, err
	}
	defer resp.Close()
	body, hold, err := ReadAll(resp, maxStoredResponseBytes, g.Memory)
	claim.Finish(resp.Status(), resp.Fields(), body, err)
	if err != nil {
		return nil, err
	}
	return NewHeldResponse(resp.Status(), resp.Fields(), body, hold), nil
}

// settleRefusal returns the result of a request that was refused before its claim.
// The caller of a not_run refusal may send the request again with a new key, so
// not_run is returned only if no earlier request with the key may have run.
func (g *Gateway) settleRefusal(ctx context.Context, req *Request, refusal error) (Response, error) {
	if result.As(refusal).Outcome != result.NotRun {
		return nil, refusal
	}
	resp, known, err := g.Claimer.Lookup(ctx, req)
	if resp != nil || err != nil {
		return resp, err
	}
	if !known {
		return nil, withOutcomeUnknown(refusal)
	}
	return nil, refusal
}

// openWithRetries sends req, retrying on other servers where that is safe. claim,
// unless nil, is called once between the first permit and the first send; a response
// or an error from it ends the request.
func (g *Gateway) openWithRetries(ctx context.Context, req *Request, claim func() (Response, error)) (Response, error) {
	var buf [maxCandidates + maxAttempts]*manifest.Server
	t := attemptRun{g: g, ctx: ctx, req: req}
	if err := t.rankServers(buf[:0]); err != nil {
		return nil, err
	}
	g.Budget.OnRequest(req.Pool.Name)
	for {
		srv, permit, err := t.placeNext()
		if err != nil {
			return nil, finalError(err, t.unknownOutcome)
		}
		if claim != nil {
			if resp, err := claim(); resp != nil || err != nil {
				permit.Release(err)
				return resp, err
			}
			claim = nil
		}
		permitted := &permitResponse{permit: permit}
		if req.Resumable {
			req.Failover = func(cause error) (*manifest.Server, error) { return t.failOver(permitted, cause) }
			req.OnFailoverError = func(err error) { t.failoverFailed(permitted, err) }
		}
		sent := g.Now()
		resp, err := t.openWith(permit, srv)
		if err == nil {
			if err = req.VerifyServer(); err != nil {
				resp.Close()
			}
		}
		if err == nil {
			permitted.Response = resp
			permitted.permit.Opened(g.Now().Sub(sent))
			return permitted, nil
		}
		permitted.permit.Release(err)
		e := result.As(err)
		if verdict.Judge(verdict.Of(e)).RequestSuspect {
			t.lost++
		}
		if !t.shouldRetry(e) {
			return nil, finalError(err, t.unknownOutcome)
		}
		if perr := g.waitBeforeRetry(ctx, &t.backoff); perr != nil {
			return nil, finalError(err, t.unknownOutcome)
		}
	}
}

// openWith is openAt for a permit, which is released if the attempt panics: nothing else would
// release it, since the caller gets no response to close.
func (t *attemptRun) openWith(permit Permit, srv *manifest.Server) (Response, error) {
	ended := false
	defer func() {
		if !ended {
			permit.Release(result.New(result.Internal, "the attempt panicked"))
		}
	}()
	resp, err := t.openAt(srv)
	ended = true
	return resp, err
}

// openAt sends the request to srv and opens the response. The attempt is cancelled after the
// request's FirstPartTimeout if another server can take the request then, or once one can.
func (t *attemptRun) openAt(srv *manifest.Server) (Response, error) {
	ctx, id := t.ctx, t.req.ID+"-"+strconv.Itoa(t.sends)
	t.req.LastAttempt = !t.req.Idempotent || t.runs+1 >= t.maxRuns() || t.sends >= maxAttempts
	if t.g.AfterFunc == nil || t.req.FirstPartTimeout <= 0 || t.req.LastAttempt {
		return t.g.Upstream.Open(ctx, srv, t.req, id)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watch := &firstPartWatch{t: t, server: srv.Name, req: *t.req, moreRanked: len(t.ranked) > 0, cancel: cancel}
	watch.begin()
	defer watch.end()
	resp, err := t.g.Upstream.Open(ctx, srv, t.req, id)
	if err != nil {
		cancel(err)
		return nil, err
	}
	return &cancelResponse{resp, cancel}, nil
}

// attemptRun holds the state of one request across its attempts.
type attemptRun struct {
	g      *Gateway
	ctx    context.Context
	req    *Request
	ranked []*manifest.Server // servers left to try; unused with a Placer
	sends  int
	// runs counts the sends after which the request may have run.
	runs int
	// lost counts the attempts whose connection ended before a response.
	lost int
	// retryTaken is set if a retry was taken from the budget before the attempt ended.
	retryTaken     bool
	unknownOutcome *result.Error // the last error of an attempt that may have run
	backoff        retry.Backoff
}

func (t *attemptRun) rankServers(buf []*manifest.Server) error {
	if t.g.Placer != nil {
		return nil
	}
	t.ranked = t.g.Router.Rank(t.req, buf)
	if len(t.ranked) == 0 {
		return result.New(result.NoServer, "no server of pool %s may receive work", t.req.Pool.Name).WithRetryAfter(time.Second)
	}
	return nil
}

// placeNext obtains a permit for the next server.
func (t *attemptRun) placeNext() (*manifest.Server, Permit, error) {
	t.sends++
	if t.g.Placer != nil {
		srv, permit, err := t.g.Placer.Place(t.ctx, t.req)
		if err == nil {
			t.req.Server = srv
			t.req.TriedServers = append(t.req.TriedServers, srv.Name)
		}
		return srv, permit, err
	}
	i, permit, err := t.g.admit(t.ctx, t.req, t.ranked, t.sends == 1)
	if err != nil {
		return nil, nil, err
	}
	srv := t.ranked[i]
	t.req.Server = srv
	// Servers before the admitted one refused, but may have capacity by the next attempt.
	t.ranked = append(t.ranked[:i], t.ranked[i+1:]...)
	return srv, permit, nil
}

// shouldRetry reports whether the request may be sent again after e.
func (t *attemptRun) shouldRetry(e *result.Error) bool {
	t.noteEnd(e)
	if e.Outcome != result.NotRun {
		t.unknownOutcome = e
		t.runs++
		t.req.MayHaveRun = true
	}
	if t.req.bodyReleased || t.lost >= maxLostAttempts || !retry.Eligible(t.req.Idempotent, e.Outcome) || t.runs >= t.maxRuns() || t.sends >= maxAttempts || t.ctx.Err() != nil {
		return false
	}
	if t.g.Placer == nil && len(t.ranked) == 0 {
		return false
	}
	// With a Placer, a retry after a failed connect takes nothing from the budget: no
	// server has received the request.
	return t.g.Placer != nil && verdict.Judge(verdict.Of(e)).Unreceived || t.takeRetry()
}

func (t *attemptRun) maxRuns() int {
	if t.req.MaxRuns > 0 {
		return t.req.MaxRuns
	}
	return maxAttempts
}

// failOver releases the permit of a broken stream and obtains one for another server.
func (t *attemptRun) failOver(permitted *permitResponse, cause error) (*manifest.Server, error) {
	permitted.permit.Release(cause)
	e := result.As(cause)
	if !t.shouldRetry(e) {
		return nil, e
	}
	t.req.Resuming = true
	srv, permit, err := t.placeNext()
	t.req.Resuming = false
	if err != nil {
		return nil, err
	}
	permitted.permit = permit
	return srv, nil
}

// failoverFailed ends the attempt at a server that did not continue the stream. The response
// ends with the error of the server before it, which says nothing about this one.
func (t *attemptRun) failoverFailed(permitted *permitResponse, err error) {
	t.noteEnd(result.As(err))
	permitted.permit.Release(err)
}

// noteEnd records in the latest decision why its attempt did not lead to a response.
func (t *attemptRun) noteEnd(e *result.Error) {
	if n := len(t.req.Decisions); n > 0 {
		t.req.Decisions[n-1].EndReason = e.Error()
	}
}

// Limits of the delay before a retry. A retry goes to a different server, so a
// short delay is enough to spread the retries of many requests.
const (
	retryBaseDelay = 5 * time.Millisecond
	retryMaxDelay  = 100 * time.Millisecond
)

func (g *Gateway) waitBeforeRetry(ctx context.Context, backoff *retry.Backoff) error {
	if g.Sleep == nil {
		return nil
	}
	backoff.Base, backoff.Cap = retryBaseDelay, retryMaxDelay
	return g.Sleep(ctx, backoff.Next(g.Int64N))
}

// admit requests a permit for one of the first maxCandidates ranked servers.
func (g *Gateway) admit(ctx context.Context, req *Request, ranked []*manifest.Server, first bool) (int, Permit, error) {
	if !g.Now().Before(req.Deadline) || ctx.Err() != nil {
		return 0, nil, result.New(result.DeadlineTooShort, "deadline passed before the request was sent")
	}
	return g.Admitter.Admit(ctx, req, ranked[:min(len(ranked), maxCandidates)], first)
}

// withOutcomeUnknown returns a copy of err whose outcome is unknown.
func withOutcomeUnknown(err error) error {
	c := *result.As(err)
	return c.WithOutcome(result.Unknown)
}

// finalError returns the error of a request whose last attempt ended with err. If an
// earlier attempt may have run, a later not_run would be wrong and would hide the
// cause, so the earlier error is returned.
func finalError(err error, unsettled *result.Error) error {
	e := result.As(err)
	if unsettled != nil && e.Outcome == result.NotRun {
		return unsettled
	}
	return e
}
