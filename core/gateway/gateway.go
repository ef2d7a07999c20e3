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
	Claimer  Claimer
	Budget   RetryBudget
	Now      Clock
	// Sleep waits before a retry; nil means no wait. Int64N gives its jitter, a
	// random number below n, and must be safe for concurrent use.
	Sleep  func(ctx context.Context, d time.Duration) error
	Int64N func(n int64) int64
}

// Open runs req until the first part of its answer is there. The caller of
// Open must Close the answer.
func (g *Gateway) Open(ctx context.Context, req *Request) (Answer, error) {
	if req.Idempotent {
		return g.open(ctx, req, nil)
	}
	return g.openClaimed(ctx, req)
}

// openClaimed runs a request that must not run twice. The claim is made after a
// server granted a permit, so that a refusal for load costs no write, and before
// the first byte is sent. A call that is refused before its claim looks up its
// key, because an earlier call with the key may have run.
func (g *Gateway) openClaimed(ctx context.Context, req *Request) (Answer, error) {
	var claim Claim
	asked := false
	ans, err := g.open(ctx, req, func() (Answer, error) {
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
	body, err := readAll(ans)
	claim.Finish(ans.Status(), ans.Fields(), body, err)
	if err != nil {
		return nil, err
	}
	return NewStoredAnswer(ans.Status(), ans.Fields(), body), nil
}

// refused makes the refusal of a call before its claim true for its key: the
// caller of a not_run refusal may send the request again with a new key.
func (g *Gateway) refused(ctx context.Context, req *Request, refusal error) (Answer, error) {
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

func readAll(ans Answer) ([]byte, error) {
	var body []byte
	for {
		part, err := ans.Next()
		body = append(body, part...)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) > maxStoredAnswer {
			return nil, result.New(result.AnswerTooLarge, "answer of a claimed request is over %d bytes", maxStoredAnswer)
		}
	}
}

// open sends req, retrying on other servers where that is safe. claim, unless
// nil, is called once between the first permit and the first send; an answer or
// an error from it ends the request.
func (g *Gateway) open(ctx context.Context, req *Request, claim func() (Answer, error)) (Answer, error) {
	var buf [maxCandidates + maxAttempts]*manifest.Server
	ranked := g.Router.Rank(req, buf[:0])
	if len(ranked) == 0 {
		return nil, result.New(result.NoServer, "no server of pool %s may receive work", req.Pool.Name).WithRetryAfter(time.Second)
	}
	g.Budget.OnRequest(req.Pool.Name)
	var unsettled *result.Error // of an attempt that may have run
	var wait retry.Backoff
	for attempt := 1; ; attempt++ {
		i, permit, err := g.admit(ctx, req, ranked, attempt == 1)
		if err != nil {
			return nil, finalError(err, unsettled)
		}
		srv := ranked[i]
		req.Server = srv
		// Servers before the admitted one refused; they may have room by now.
		ranked = append(ranked[:i], ranked[i+1:]...)
		if claim != nil {
			if ans, err := claim(); ans != nil || err != nil {
				permit.Release(err)
				return ans, err
			}
			claim = nil
		}
		sent := g.Now()
		ans, err := g.Upstream.Open(ctx, srv, req, req.ID+"-"+strconv.Itoa(attempt))
		if err == nil {
			permit.Opened(g.Now().Sub(sent))
			return &permitAnswer{Answer: ans, permit: permit}, nil
		}
		permit.Release(err)
		e := result.As(err)
		if e.Outcome != result.NotRun {
			unsettled = e
		}
		if !retry.Eligible(req.Idempotent, e.Outcome) || attempt == maxAttempts || len(ranked) == 0 ||
			ctx.Err() != nil || !g.Budget.TryRetry(req.Pool.Name) {
			return nil, finalError(e, unsettled)
		}
		if err := g.pause(ctx, &wait); err != nil {
			return nil, finalError(e, unsettled)
		}
	}
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
	Answer
	permit Permit
}

func (a *permitAnswer) Next() ([]byte, error) {
	part, err := a.Answer.Next()
	if err != nil {
		a.permit.Release(err)
	}
	return part, err
}

func (a *permitAnswer) Close() {
	a.Answer.Close()
	a.permit.Release(nil)
}

// storedAnswer is an answer that is already complete.
type storedAnswer struct {
	status int
	fields []Field
	body   []byte
	read   bool
}

// NewStoredAnswer returns an answer that yields body once.
func NewStoredAnswer(status int, fields []Field, body []byte) Answer {
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
