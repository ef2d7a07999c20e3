package gateway

import (
	"context"
	"io"
	"strconv"
	"time"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// maxCandidates bounds how many servers one request asks for a permit. The
// ranking is stable, so a longer search would spread a chat over many caches.
const maxCandidates = 4

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
// the first byte is sent. A call with a key that has run before therefore also
// needs a permit; its refusal for load speaks of this call only.
func (g *Gateway) openClaimed(ctx context.Context, req *Request) (Answer, error) {
	var claim Claim
	ans, err := g.open(ctx, req, func() (Answer, error) {
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
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		srv, permit, rest, err := g.admit(ctx, req, ranked)
		if err != nil {
			return nil, markOutcome(err, mayHaveRun)
		}
		ranked = rest
		if claim != nil {
			if ans, err := claim(); ans != nil || err != nil {
				permit.Release()
				return ans, err
			}
			claim = nil
		}
		ans, err := g.Upstream.Open(ctx, srv, req, req.ID+"-"+strconv.Itoa(attempt))
		if err == nil {
			return &permitAnswer{Answer: ans, permit: permit}, nil
		}
		permit.Release()
		e := result.As(err)
		mayHaveRun = mayHaveRun || e.Outcome != result.NotRun
		retryable := e.Outcome == result.NotRun || req.Idempotent
		if !retryable || attempt == maxAttempts || len(ranked) == 0 || ctx.Err() != nil || !g.Budget.TryRetry(req.Pool.Name) {
			return nil, markOutcome(e, mayHaveRun)
		}
	}
}

// admit asks for a permit at each ranked server in turn. It returns the servers
// that follow the admitted one.
func (g *Gateway) admit(ctx context.Context, req *Request, ranked []*manifest.Server) (*manifest.Server, Permit, []*manifest.Server, error) {
	var last error
	for i, srv := range ranked {
		if i == maxCandidates {
			break
		}
		if !g.Now().Before(req.Deadline) || ctx.Err() != nil {
			return nil, nil, nil, result.New(result.DeadlineTooShort, "deadline passed before the request was sent")
		}
		permit, err := g.Admitter.Admit(ctx, req, srv)
		if err == nil {
			return srv, permit, ranked[i+1:], nil
		}
		last = err
	}
	if last == nil {
		last = result.New(result.NoServer, "no server of pool %s may receive work", req.Pool.Name)
	}
	return nil, nil, nil, last
}

// markOutcome turns not_run into unknown when an earlier attempt may have run,
// so that a refusal after a retry stays true.
func markOutcome(err error, mayHaveRun bool) error {
	e := result.As(err)
	if mayHaveRun && e.Outcome == result.NotRun {
		c := *e
		return c.WithOutcome(result.Unknown)
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
		a.permit.Release()
	}
	return part, err
}

func (a *permitAnswer) Close() {
	a.Answer.Close()
	a.permit.Release()
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
