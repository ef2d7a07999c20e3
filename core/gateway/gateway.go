package gateway

import (
	"context"
	"io"
	"strconv"
	"time"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/retry"
)

// maxCandidates bounds how many servers one request asks for a permit. The
// ranking is stable, so a longer search would spread a chat over many caches.
// With 4, a pool of 10 engines refused 0.4% of requests though some engine was
// below the mean.
const maxCandidates = 6

// maxAttempts bounds the sends of one request, the first one included.
const maxAttempts = 3

// maxStoredAnswer is the largest answer of a claimed request, in bytes. The
// whole answer is read before it is passed on, so that it can be stored.
const maxStoredAnswer = 4 << 20

// Gateway runs requests through the ports.
type Gateway struct {
	Router   Router
	Admitter Admitter
	Upstream Upstream
	// Placer, unless nil, takes the place of Router and Admitter.
	Placer Placer
	// Claimer is nil where callers give each attempt an id of its own: a request
	// that is not idempotent is then sent again only when it is known not to have run.
	Claimer Claimer
	Budget  RetryBudget
	Now     Clock
	// AfterFunc calls a function after a time unless stopped before; nil means that a
	// silent server is waited for to the deadline.
	AfterFunc func(d time.Duration, f func()) (stop func() bool)
	// Sleep waits before a retry; nil means no wait. Int64N gives its jitter, a
	// random number below n, and must be safe for concurrent use.
	Sleep  func(ctx context.Context, d time.Duration) error
	Int64N func(n int64) int64
}

// Open runs req until the first part of its answer is there. The caller of
// Open must Close the answer.
func (g *Gateway) Open(ctx context.Context, req *Request) (Response, error) {
	if req.Idempotent || g.Claimer == nil {
		return g.open(ctx, req, nil)
	}
	return g.openClaimed(ctx, req)
}

// openClaimed runs a request that must not run twice. The claim is made after a
// server granted a permit, so that a refusal for load costs no write, and before
// the first byte is sent. A call that is refused before its claim looks up its
// key, because an earlier call with the key may have run.
func (g *Gateway) openClaimed(ctx context.Context, req *Request) (Response, error) {
	var claim Claim
	asked := false
	ans, err := g.open(ctx, req, func() (Response, error) {
		asked = true
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
	if !asked && err != nil {
		return g.refused(ctx, req, err)
	}
	if claim == nil {
		return ans, err
	}
	if err != nil {
		claim.Finish(0, nil, nil, err)
		return nil, err
	}
	defer ans.Close()
	body, err := ReadAll(ans, maxStoredAnswer)
	claim.Finish(ans.Status(), ans.Fields(), body, err)
	if err != nil {
		return nil, err
	}
	return NewStoredResponse(ans.Status(), ans.Fields(), body), nil
}

// refused makes the refusal of a call before its claim true for its key: the
// caller of a not_run refusal may send the request again with a new key.
func (g *Gateway) refused(ctx context.Context, req *Request, refusal error) (Response, error) {
	if result.As(refusal).Outcome != result.NotRun {
		return nil, refusal
	}
	ans, known, err := g.Claimer.Lookup(ctx, req)
	if ans != nil || err != nil {
		return ans, err
	}
	if !known {
		return nil, withOutcomeUnknown(refusal)
	}
	return nil, refusal
}

// ReadAll reads the whole answer; limit bounds it in bytes, 0 means no bound. The
// body of a stored answer is not copied.
func ReadAll(ans Response, limit int) ([]byte, error) {
	var body []byte
	for {
		part, err := ans.Next()
		if body == nil && isStored(ans) {
			body = part
		} else {
			body = append(body, part...)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if limit > 0 && len(body) > limit {
			return nil, result.New(result.AnswerTooLarge, "answer is over %d bytes", limit)
		}
	}
}

// isStored says that the parts of an answer stay valid after the next one.
func isStored(ans Response) bool {
	if p, ok := ans.(*permitAnswer); ok {
		ans = p.Response
	}
	if c, ok := ans.(*cancelAnswer); ok {
		ans = c.Response
	}
	_, ok := ans.(*storedAnswer)
	return ok
}

// open sends req, retrying on other servers where that is safe. claim, unless
// nil, is called once between the first permit and the first send; an answer or
// an error from it ends the request.
func (g *Gateway) open(ctx context.Context, req *Request, claim func() (Response, error)) (Response, error) {
	var buf [maxCandidates + maxAttempts]*manifest.Server
	t := try{g: g, ctx: ctx, req: req}
	if err := t.begin(buf[:0]); err != nil {
		return nil, err
	}
	g.Budget.OnRequest(req.Pool.Name)
	for {
		srv, permit, err := t.place()
		if err != nil {
			return nil, finalError(err, t.unsettled)
		}
		if claim != nil {
			if ans, err := claim(); ans != nil || err != nil {
				permit.Release(err)
				return ans, err
			}
			claim = nil
		}
		held := &permitAnswer{permit: permit}
		if req.Resumable {
			req.Failover = func(cause error) (*manifest.Server, error) { return t.elsewhere(held, cause) }
		}
		sent := g.Now()
		ans, err := t.openFirst(srv)
		if err == nil {
			held.Response = ans
			held.permit.Opened(g.Now().Sub(sent))
			return held, nil
		}
		held.permit.Release(err)
		if !t.again(result.As(err)) {
			return nil, finalError(err, t.unsettled)
		}
		if perr := g.pause(ctx, &t.wait); perr != nil {
			return nil, finalError(err, t.unsettled)
		}
	}
}

// openFirst opens the answer at a server. Where another server may run the request
// too, a server that keeps silent is left after the request's patience.
func (t *try) openFirst(srv *manifest.Server) (Response, error) {
	ctx, id := t.ctx, t.req.ID+"-"+strconv.Itoa(t.sends)
	if t.g.AfterFunc == nil || t.req.FirstPartTimeout <= 0 || !t.req.Idempotent || t.runs+1 >= t.maxRuns() || t.sends >= maxAttempts {
		return t.g.Upstream.Open(ctx, srv, t.req, id)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := t.g.AfterFunc(t.req.FirstPartTimeout, func() {
		cancel(result.New(result.ConnectionSilent, "no answer from server %s within %v, another one is tried", srv.Name, t.req.FirstPartTimeout))
	})
	ans, err := t.g.Upstream.Open(ctx, srv, t.req, id)
	if stop(); err != nil {
		cancel(err)
		return nil, err
	}
	return &cancelAnswer{ans, cancel}, nil
}

// cancelAnswer ends the context of an answer with it.
type cancelAnswer struct {
	Response
	cancel context.CancelCauseFunc
}

func (a *cancelAnswer) Close() {
	a.Response.Close()
	a.cancel(nil)
}

// try is the way of one request over one or more servers.
type try struct {
	g      *Gateway
	ctx    context.Context
	req    *Request
	ranked []*manifest.Server // without a Placer
	sends  int
	// runs counts the sends that may have run.
	runs      int
	unsettled *result.Error // of an attempt that may have run
	wait      retry.Backoff
}

func (t *try) begin(buf []*manifest.Server) error {
	if t.g.Placer != nil {
		return nil
	}
	t.ranked = t.g.Router.Rank(t.req, buf)
	if len(t.ranked) == 0 {
		return result.New(result.NoServer, "no server of pool %s may receive work", t.req.Pool.Name).WithRetryAfter(time.Second)
	}
	return nil
}

// place takes a place at the next server.
func (t *try) place() (*manifest.Server, Permit, error) {
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
	// Servers before the admitted one refused; they may have room by now.
	t.ranked = append(t.ranked[:i], t.ranked[i+1:]...)
	return srv, permit, nil
}

// again reports whether the request may be sent once more after e.
func (t *try) again(e *result.Error) bool {
	if n := len(t.req.Decisions); n > 0 {
		t.req.Decisions[n-1].EndReason = e.Error()
	}
	if e.Outcome != result.NotRun {
		t.unsettled = e
		t.runs++
	}
	if !retry.Eligible(t.req.Idempotent, e.Outcome) || t.runs >= t.maxRuns() || t.sends >= maxAttempts || t.ctx.Err() != nil {
		return false
	}
	if t.g.Placer == nil && len(t.ranked) == 0 {
		return false
	}
	// A failed connect brought nothing to a server.
	return t.g.Placer != nil && e.Code == result.ConnectFailed || t.g.Budget.TryRetry(t.req.Pool.Name)
}

func (t *try) maxRuns() int {
	if t.req.MaxRuns > 0 {
		return t.req.MaxRuns
	}
	return maxAttempts
}

// elsewhere gives up the place of a broken stream and takes one at another server.
func (t *try) elsewhere(held *permitAnswer, cause error) (*manifest.Server, error) {
	held.permit.Release(cause)
	e := result.As(cause)
	if !t.again(e) {
		return nil, e
	}
	srv, permit, err := t.place()
	if err != nil {
		return nil, err
	}
	held.permit = permit
	return srv, nil
}

// Bounds of the wait before a retry. The next server is another one, so that a
// short wait is enough to keep retries of many requests apart.
const (
	retryBase = 5 * time.Millisecond
	retryCap  = 100 * time.Millisecond
)

func (g *Gateway) pause(ctx context.Context, wait *retry.Backoff) error {
	if g.Sleep == nil {
		return nil
	}
	wait.Base, wait.Cap = retryBase, retryCap
	return g.Sleep(ctx, wait.Next(g.Int64N))
}

// admit asks for a permit at the first ranked servers.
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

// finalError is the error of a request whose last attempt ended with err. When an
// earlier attempt may have run, a later not_run would be untrue and hide the
// cause, so that the earlier error is the answer.
func finalError(err error, unsettled *result.Error) error {
	e := result.As(err)
	if unsettled != nil && e.Outcome == result.NotRun {
		return unsettled
	}
	return e
}

// permitAnswer releases the permit when the answer ends.
type permitAnswer struct {
	Response
	permit Permit
}

func (a *permitAnswer) Next() ([]byte, error) {
	part, err := a.Response.Next()
	if err != nil {
		a.permit.Release(a.ended(err))
	}
	return part, err
}

func (a *permitAnswer) Close() {
	a.Response.Close()
	a.permit.Release(a.ended(nil))
}

// ended is how the attempt ended for the server: an answer with an error of its own
// is passed on, but is no success.
func (a *permitAnswer) ended(err error) error {
	if (err == nil || err == io.EOF) && a.Status() >= 500 {
		return result.New(result.ServerError, "status %d", a.Status())
	}
	return err
}

// storedAnswer is an answer that is already complete.
type storedAnswer struct {
	status int
	fields []Field
	body   []byte
	read   bool
}

// NewStoredResponse returns an answer that yields body once.
func NewStoredResponse(status int, fields []Field, body []byte) Response {
	return &storedAnswer{status: status, fields: fields, body: body}
}

func (a *storedAnswer) Status() int     { return a.status }
func (a *storedAnswer) Fields() []Field { return a.fields }
func (a *storedAnswer) Close()          {}

func (a *storedAnswer) Next() ([]byte, error) {
	if a.read || len(a.body) == 0 {
		return nil, io.EOF
	}
	a.read = true
	return a.body, nil
}
