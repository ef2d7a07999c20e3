package gateway

import (
	"context"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// alternativeCheckInterval is the time between two checks whether another server can take a
// request whose server has not responded within its FirstPartTimeout.
const alternativeCheckInterval = 250 * time.Millisecond

// firstPartWatch ends an attempt whose server does not respond within the FirstPartTimeout of
// the request, as soon as another server can take the request.
type firstPartWatch struct {
	t      *attemptRun
	server fleet.ServerID
	// req is a copy, because the attempt changes the request while check runs.
	req Request
	// moreRanked is set if another ranked server is left; unused with a Placer.
	moreRanked bool
	cancel     context.CancelCauseFunc

	mu    sync.Mutex
	ended bool
	stop  func() bool
	// retryTaken is set once the retry was taken from the budget.
	retryTaken bool
}

func (w *firstPartWatch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop = w.t.g.AfterFunc(w.req.FirstPartTimeout, w.check)
}

// check ends the attempt if the request may be sent to another server, and comes back otherwise.
func (w *firstPartWatch) check() {
	alternative := w.hasAlternative()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if !alternative || !w.t.g.Budget.TryRetry(w.req.Pool.Name) {
		w.stop = w.t.g.AfterFunc(alternativeCheckInterval, w.check)
		return
	}
	w.ended, w.retryTaken = true, true
	w.cancel(result.New(result.ConnectionSilent, "no response from server %s within %v; trying another server", w.server, w.req.FirstPartTimeout))
}

// end is called once the attempt has ended or its response has begun.
func (w *firstPartWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.stop()
	w.t.retryTaken = w.t.retryTaken || w.retryTaken
}

// hasAlternative reports whether another server can take the request now. It runs without the
// lock, since it may wait for servers.
func (w *firstPartWatch) hasAlternative() bool {
	if p := w.t.g.Placer; p != nil {
		return p.HasAlternative(&w.req)
	}
	return w.moreRanked
}

// takeRetry takes a retry from the budget, unless the end of the attempt has taken it.
func (t *attemptRun) takeRetry() bool {
	if t.retryTaken {
		t.retryTaken = false
		return true
	}
	return t.g.Budget.TryRetry(t.req.Pool.Name)
}
