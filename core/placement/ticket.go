package placement

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// Reservation is the place of one request at a server. It is used by one goroutine.
type Reservation struct {
	balancer     *Balancer
	pool         *pool
	server       *serverState
	startedAt    time.Time
	expected     time.Duration
	unreadTokens int
	// readTokens is what the engine reads until the first token, as far as known, in tokens;
	// reads says that its time shows the reading rate.
	readTokens       int
	measuresReadRate bool
	answered         bool
	released         bool
}

// Reserve takes a place at a server. It returns nil when the server is gone or, while
// it is cold, has just been given a request.
func (b *Balancer) Reserve(now time.Time, id fleet.PoolID, c Candidate, ask *Request) *Reservation {
	p := b.pool(id)
	share := b.coldLimiter()
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.servers[c.ID]
	if server == nil || server.Out {
		return nil
	}
	if server.cold(now) {
		gap, ok := share.minInterval(server.hash, server.ColdRate)
		if !ok || now.Before(server.coldNextAt) {
			return nil
		}
		server.coldNextAt = now.Add(gap)
	}
	t := &Reservation{balancer: b, pool: p, server: server, startedAt: now}
	if server.Engine {
		t.unreadTokens = max(0, ask.PromptTokens-server.cache.cachedTokens(ask.Parts)-c.Fetched)
		t.expected = c.Wait
		t.readTokens, t.measuresReadRate = c.readTokens, c.Fetched == 0 && !c.Full && !server.cold(now)
		server.recordTransfer(now, c)
		if n := len(ask.Parts); n > 1 && server.shouldReport(ask, ask.Parts[:n-1]) {
			server.placed = append(server.placed, ask.Parts[:n-1])
		}
		server.cache.add(ask.Parts)
	}
	server.ownLoad.Running++
	server.ownLoad.Unread += t.unreadTokens
	return t
}

// knownReportInterval is of how many prompts whose shared parts a server is known to keep one is
// reported all the same: peers learn that the parts are in use.
const knownReportInterval = 8

// shouldReport reports whether peers are to be told that a server has been sent the parts. Of
// what all of them know, digests would have no room for what they do not know.
func (s *serverState) shouldReport(ask *Request, parts []Part) bool {
	for _, p := range parts {
		if s.cache.parts[p.ID] == nil {
			return true
		}
	}
	return ask.Key%knownReportInterval == 0
}

// recordTransfer notes the transfer of a request on the links of both servers.
func (s *serverState) recordTransfer(now time.Time, c Candidate) {
	if c.sourceServer == nil {
		return
	}
	end := now.Add(max(0, c.sourceServer.linkFree.Sub(now), s.linkFree.Sub(now)) + c.transferTime)
	c.sourceServer.linkFree, s.linkFree = end, end
}

// OnFirstOutput notes the first part of the answer.
func (t *Reservation) OnFirstOutput(now time.Time) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.answered || t.released {
		return
	}
	t.answered = true
	t.server.ownLoad.Unread -= t.unreadTokens
	t.server.failures.succeeded(now)
	took := now.Sub(t.startedAt)
	if !t.server.Engine {
		t.expected = t.pool.meanLatency
		t.pool.meanLatency += (took - t.pool.meanLatency) / meanLatencyWindow
	}
	t.server.speed.observe(now, took, t.expected)
	if t.measuresReadRate {
		t.pool.readRate.observe(t.readTokens, took)
	}
	t.pool.notifyWaiters()
}

// Outcome says how a request ended at a server.
type Outcome int

// Outcomes.
const (
	// Ended means that the answer ended well, or that the caller ended it.
	Ended Outcome = iota
	// Failed means that the server did not do its part.
	Failed
	// Refused means that the server is alive and did not run the request.
	Refused
	// Errored means that the server answered with an error of its own.
	Errored
	// Unreachable means that nothing came back from the server's machine.
	Unreachable
)

// Release gives the place back. Only the first call counts.
func (t *Reservation) Release(now time.Time, o Outcome) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.released {
		return
	}
	t.released = true
	t.server.ownLoad.Running--
	if !t.answered {
		t.server.ownLoad.Unread -= t.unreadTokens
	}
	switch o {
	case Failed, Refused:
		t.server.failures.failed(now, failureBackoffBase)
		t.server.ownSuspectUntil = t.server.failures.suspectUntil
	case Ended:
		if t.answered {
			t.server.errors.observe(now, false)
		}
	case Errored:
		t.server.errors.observe(now, true)
		if t.server.errors.now(now)-meanErrorRate(now, t.pool.list) > suspectErrorExcess {
			t.server.failures.failed(now, failureBackoffBase)
			t.server.ownSuspectUntil = t.server.failures.suspectUntil
		}
	case Unreachable:
		t.server.failures.failed(now, unreachableBackoffBase)
		t.server.ownSuspectUntil = t.server.failures.suspectUntil
	}
	t.pool.notifyWaiters()
}
