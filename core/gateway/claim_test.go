package gateway

import (
	"context"
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// ports implements the interfaces of a Gateway and counts the calls of one
// request.
type ports struct {
	refuse         bool
	now            time.Time
	claimDuration  time.Duration
	claims, sends  int
	released       int
	finishedNotRun int
	noServer       bool
	lookups        int
	lookup         func() (Response, bool, error) // nil if the key is unclaimed
}

func (p *ports) Lookup(context.Context, *Request) (Response, bool, error) {
	p.lookups++
	if p.lookup == nil {
		return nil, true, nil
	}
	return p.lookup()
}

func (p *ports) Rank(_ *Request, dst []*manifest.Server) []*manifest.Server {
	if p.noServer {
		return dst
	}
	return append(dst, &manifest.Server{Name: "s"})
}

func (p *ports) Admit(context.Context, *Request, []*manifest.Server, bool) (int, Permit, error) {
	if p.refuse {
		return 0, nil, result.New(result.PoolAtBound, "at the load bound")
	}
	return 0, p, nil
}

func (p *ports) Opened(time.Duration) {}
func (p *ports) Part()                {}
func (p *ports) Release(error)        { p.released++ }

func (p *ports) Claim(context.Context, *Request) (Claim, Response, error) {
	p.claims++
	p.now = p.now.Add(p.claimDuration)
	return p, nil, nil
}

func (p *ports) Finish(_ int, _ []Field, _ []byte, err error) {
	if err != nil && result.As(err).Outcome == result.NotRun {
		p.finishedNotRun++
	}
}

func (p *ports) Open(context.Context, *manifest.Server, *Request, string) (Response, error) {
	p.sends++
	return NewStoredResponse(200, nil, nil), nil
}

func (p *ports) OnRequest(fleet.PoolID)     {}
func (p *ports) TryRetry(fleet.PoolID) bool { return false }

// A request that is refused under overload must not store a claim, and a request
// whose deadline passes while its claim is stored must not be sent.
func TestClaimFollowsPermit(t *testing.T) {
	for name, c := range map[string]struct {
		ports                         ports
		claims, sends, freed, release int
		code                          result.Code
	}{
		"refused for load": {ports: ports{refuse: true}, code: result.PoolAtBound},
		"slow claim":       {ports: ports{claimDuration: time.Minute}, claims: 1, freed: 1, release: 1, code: result.DeadlineTooShort},
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

// A request that is refused before its claim must look up its key: an earlier request
// with the key may have run, so that not_run would be wrong and a stored response would
// be lost. There is no lookup after a claim or for an idempotent request. Most cases
// cover one branch of settleRefusal; the "state unknown" cases cover withOutcomeUnknown
// and "claimed" covers the claimAttempted flag.
func TestRefusalBeforeClaimLooksUpKey(t *testing.T) {
	fail := func(c result.Code) func() (Response, bool, error) {
		return func() (Response, bool, error) { return nil, true, result.New(c, "test") }
	}
	unknown := func() (Response, bool, error) { return nil, false, nil }
	stored := func() (Response, bool, error) { return NewStoredResponse(201, nil, []byte("first")), true, nil }
	for name, c := range map[string]struct {
		ports      ports
		idempotent bool
		late       bool
		code       result.Code
		outcome    result.Outcome
		lookups    int
	}{
		"free":                     {ports: ports{refuse: true}, code: result.PoolAtBound, outcome: result.NotRun, lookups: 1},
		"stored":                   {ports: ports{refuse: true, lookup: stored}, lookups: 1},
		"in progress":              {ports: ports{refuse: true, lookup: fail(result.InProgress)}, code: result.InProgress, outcome: result.InProgress.Info().Outcome, lookups: 1},
		"unknown":                  {ports: ports{refuse: true, lookup: fail(result.ClaimUnknown)}, code: result.ClaimUnknown, outcome: result.Unknown, lookups: 1},
		"conflict":                 {ports: ports{refuse: true, lookup: fail(result.IdempotencyConflict)}, code: result.IdempotencyConflict, outcome: result.NotRun, lookups: 1},
		"not found out, no permit": {ports: ports{refuse: true, lookup: unknown}, code: result.PoolAtBound, outcome: result.Unknown, lookups: 1},
		"not found out, no server": {ports: ports{noServer: true, lookup: unknown}, code: result.NoServer, outcome: result.Unknown, lookups: 1},
		"not found out, deadline":  {ports: ports{lookup: unknown}, late: true, code: result.DeadlineTooShort, outcome: result.Unknown, lookups: 1},
		"claimed":                  {ports: ports{claimDuration: time.Minute, lookup: unknown}, code: result.DeadlineTooShort, outcome: result.NotRun},
		"idempotent request":       {ports: ports{refuse: true, lookup: unknown}, idempotent: true, code: result.PoolAtBound, outcome: result.NotRun},
	} {
		p := c.ports
		p.now = time.UnixMilli(1_790_000_000_000)
		deadline := p.now.Add(time.Second)
		if c.late {
			deadline = p.now
		}
		g := &Gateway{Router: &p, Admitter: &p, Upstream: &p, Claimer: &p, Budget: &p, Now: func() time.Time { return p.now }}
		resp, err := g.Open(context.Background(), &Request{Pool: &manifest.Pool{Name: "p"}, Deadline: deadline, Idempotent: c.idempotent})
		switch {
		case c.code == 0 && (err != nil || resp.Status() != 201):
			t.Errorf("%s: %v, want the stored response", name, err)
		case c.code != 0 && (err == nil || result.As(err).Code != c.code || result.As(err).Outcome != c.outcome):
			t.Errorf("%s: %v, want code %d, %s", name, err, c.code, c.outcome)
		}
		if p.lookups != c.lookups || p.sends != 0 {
			t.Errorf("%s: %d lookups, %d sends", name, p.lookups, p.sends)
		}
	}
}
