package gateway

import (
	"context"
	"testing"
	"time"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// releasingUpstream sends the body and then answers that the request did not run.
type releasingUpstream struct {
	placerFakes
	t    *testing.T
	size int
}

func (u *releasingUpstream) Open(_ context.Context, _ *manifest.Server, req *Request, _ string) (Response, error) {
	if u.sends++; len(req.Body) != u.size {
		u.t.Errorf("send %d has a body of %d bytes, want %d", u.sends, len(req.Body), u.size)
	}
	req.BodySent()
	return nil, result.New(result.ServerRefused, "scripted")
}

// Guards against sending a request without its body, and against releasing one that is needed.
func TestReleasedBodyIsNotSentAgain(t *testing.T) {
	for name, row := range map[string]struct {
		req      Request
		released bool
	}{
		"one run":    {Request{MaxRuns: 1, Body: make([]byte, releasableBytes)}, true},
		"short":      {Request{MaxRuns: 1, Body: make([]byte, releasableBytes-1)}, false},
		"two runs":   {Request{MaxRuns: 2, Body: make([]byte, releasableBytes)}, false},
		"idempotent": {Request{MaxRuns: 1, Idempotent: true, Body: make([]byte, releasableBytes)}, false},
		"resumable":  {Request{MaxRuns: 1, Resumable: true, Body: make([]byte, releasableBytes)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			u := &releasingUpstream{t: t, size: len(row.req.Body)}
			u.budget = 10
			g := &Gateway{Placer: u, Upstream: u, Budget: u, Now: func() time.Time { return time.Unix(1, 0) }}
			released := 0
			req := row.req
			req.Pool, req.Deadline = &manifest.Pool{}, time.Unix(2, 0)
			req.ReleaseBody = func() { released++ }
			_, err := g.Open(context.Background(), &req)
			if e := result.As(err); e.Outcome != result.NotRun {
				t.Errorf("outcome %s", e.Outcome)
			}
			if want := u.sends == 1; row.released != want || row.released != (released == 1) {
				t.Errorf("sent %d times, released %d times", u.sends, released)
			}
		})
	}
}
