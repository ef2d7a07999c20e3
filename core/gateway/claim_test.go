package gateway

import (
	"context"
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// ports records the calls of one request.
type ports struct {
	refuse         bool
	now            time.Time
	claimTakes     time.Duration
	claims, sends  int
	released       int
	finishedNotRun int
}

func (p *ports) Rank(_ *Request, dst []*manifest.Server) []*manifest.Server {
	return append(dst, &manifest.Server{Name: "s"})
}

func (p *ports) Admit(context.Context, *Request, []*manifest.Server, bool) (int, Permit, error) {
	if p.refuse {
		return 0, nil, result.New(result.PoolAtBound, "at its bound")
	}
	return 0, p, nil
}

func (p *ports) Release(error) { p.released++ }

func (p *ports) Claim(context.Context, *Request) (Claim, Answer, error) {
	p.claims++
	p.now = p.now.Add(p.claimTakes)
	return p, nil, nil
}

func (p *ports) Finish(_ int, _ []Field, _ []byte, err error) {
	if err != nil && result.As(err).Outcome == result.NotRun {
		p.finishedNotRun++
	}
}

func (p *ports) Open(context.Context, *manifest.Server, *Request, string) (Answer, error) {
	p.sends++
	return NewStoredAnswer(200, nil, nil), nil
}

func (p *ports) OnRequest(fleet.PoolID)     {}
func (p *ports) TryRetry(fleet.PoolID) bool { return false }

// Guards against a write for a request that is refused for load, and against a
// send after the deadline passed while the claim was recorded.
func TestClaimComesAfterThePermit(t *testing.T) {
	for name, c := range map[string]struct {
		ports                         ports
		claims, sends, freed, release int
		code                          result.Code
	}{
		"refused for load": {ports: ports{refuse: true}, code: result.PoolAtBound},
		"slow claim":       {ports: ports{claimTakes: time.Minute}, claims: 1, freed: 1, release: 1, code: result.DeadlineTooShort},
		"runs":             {claims: 1, sends: 1, release: 1},
	} {
		p := c.ports
		p.now = time.UnixMilli(1_790_000_000_000)
		g := &Gateway{Router: &p, Admitter: &p, Upstream: &p, Claimer: &p, Budget: &p, Now: func() time.Time { return p.now }}
		_, err := g.Open(context.Background(), &Request{Pool: &manifest.Pool{Name: "p"}, Deadline: p.now.Add(time.Second)})
		if code := result.Code(0); err != nil {
			code = result.As(err).Code
			if code != c.code {
				t.Errorf("%s: %v", name, err)
			}
		} else if c.code != 0 {
			t.Errorf("%s: no error", name)
		}
		if p.claims != c.claims || p.sends != c.sends || p.finishedNotRun != c.freed || (p.released > 0) != (c.release > 0) {
			t.Errorf("%s: %d claims, %d sends, %d freed, %d releases", name, p.claims, p.sends, p.finishedNotRun, p.released)
		}
	}
}
