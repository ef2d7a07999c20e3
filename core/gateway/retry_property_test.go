package gateway

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/retry"
)

type retryFakes struct {
	*retry.Budgets
	servers  []manifest.Server
	outcomes []result.Code
	sends    []*manifest.Server
	held     int
	now      time.Time
}

func (f *retryFakes) Rank(_ *Request, dst []*manifest.Server) []*manifest.Server {
	for i := range f.servers {
		dst = append(dst, &f.servers[i])
	}
	return dst
}

type retryPermit struct {
	f        *retryFakes
	released bool
}

func (p *retryPermit) Opened(time.Duration) {}
func (p *retryPermit) Part()                {}

func (p *retryPermit) Release(error) {
	if !p.released {
		p.released = true
		p.f.held--
	}
}

func (f *retryFakes) Admit(context.Context, *Request, []*manifest.Server, bool) (int, Permit, error) {
	f.held++
	return 0, &retryPermit{f: f}, nil
}

func (f *retryFakes) Open(_ context.Context, s *manifest.Server, _ *Request, _ string) (Response, error) {
	code := f.outcomes[len(f.sends)]
	f.sends = append(f.sends, s)
	if code == 0 {
		return NewStoredResponse(200, nil, []byte("x")), nil
	}
	return nil, result.New(code, "test")
}

type retryClaim struct{}

func (retryClaim) Finish(int, []Field, []byte, error) {}

func (f *retryFakes) Claim(context.Context, *Request) (Claim, Response, error) {
	return retryClaim{}, nil, nil
}

func (f *retryFakes) Lookup(context.Context, *Request) (Response, bool, error) { return nil, true, nil }

// A request that is not idempotent must not be sent again once it may have run, no
// server may receive a request twice, an error must not state not_run after an attempt
// that may have run, and every permit must be released.
func TestRetriesOnlyWhereSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &retryFakes{Budgets: retry.NewBudgets(), servers: make([]manifest.Server, rapid.IntRange(1, 5).Draw(t, "servers")), now: time.Unix(1, 0)}
		codes := []result.Code{0, result.ConnectFailed, result.ServerRefused, result.ConnectionLost, result.ServerError}
		f.outcomes = rapid.SliceOfN(rapid.SampledFrom(codes), maxAttempts+1, maxAttempts+1).Draw(t, "outcomes")
		g := &Gateway{Router: f, Admitter: f, Upstream: f, Claimer: f, Budget: f, Now: func() time.Time { return f.now }}
		req := &Request{Pool: &manifest.Pool{Name: fleet.PoolID("p")}, Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: f.now.Add(time.Second)}
		resp, err := g.Open(context.Background(), req)
		if resp != nil {
			resp.Close()
		}
		mayHaveRun := false
		for i, s := range f.sends {
			if i > 0 && !req.Idempotent && mayHaveRun {
				t.Fatalf("send %d after an attempt that may have run", i+1)
			}
			for _, o := range f.sends[:i] {
				if o == s {
					t.Fatalf("two sends to one server")
				}
			}
			mayHaveRun = mayHaveRun || f.outcomes[i] != 0 && f.outcomes[i].Info().Outcome != result.NotRun
		}
		if err != nil && mayHaveRun && result.As(err).Outcome == result.NotRun {
			t.Fatalf("not_run after an attempt that may have run: %v", err)
		}
		if len(f.sends) > maxAttempts || f.held != 0 {
			t.Fatalf("%d sends, %d permits held", len(f.sends), f.held)
		}
	})
}
