package placement

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// Reservation holds the place of one request at a server. It is used by one
// goroutine.
type Reservation struct {
	balancer     *Balancer
	pool         *pool
	server       *serverState
	startedAt    time.Time
	expected     time.Duration
	unreadTokens int
	parts        []Part
	account      uint64
	// readTokens is the estimated number of tokens that the engine processes before the
	// first output token; measuresReadRate tells whether the time to the first token is a
	// sample of the read rate.
	readTokens       int
	measuresReadRate bool
	// pace is the server's pace that the expected time contains.
	pace float64
	// longTarget is the target time of a long prompt, 0 for others.
	longTarget time.Duration
	answered   bool
	released   bool
}

// Reserve reserves a place at a server. It returns nil if the server is gone, takes no
// requests, or is cold and this instance may not send to it yet.
func (b *Balancer) Reserve(now time.Time, id fleet.PoolID, c Candidate, req *Request) *Reservation {
	p := b.pool(id)
	share := b.coldLimiter()
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.servers[c.ID]
	if server == nil || !server.takesRequests(now) {
		return nil
	}
	if p.policy.On(ColdRamp) && server.cold(now) {
		gap, ok := share.minInterval(server.hash, server.ColdRate)
		if !ok || now.Before(server.coldNextAt) {
			return nil
		}
		server.coldNextAt = now.Add(gap)
	}
	if gate := p.brittleGate(now, b); gate != nil {
		if !gate.mayTake(now, server) {
			return nil
		}
		server.brittleTook(now)
	}
	t := &Reservation{balancer: b, pool: p, server: server, startedAt: now, account: req.Account, pace: 1}
	if c.pace > 0 {
		t.pace = c.pace
	}
	p.callers.observe(now, req.Account)
	if server.Engine {
		t.unreadTokens = max(0, req.PromptTokens-server.cache.cachedTokens(req.Parts)-c.Fetched)
		t.expected = c.Wait
		if c.unread >= longTokens && p.policy.On(PromptIsolation) {
			t.longTarget = req.target()
			p.longLimit.send(now, c.unread)
		}
		t.readTokens, t.measuresReadRate = c.readTokens, c.Fetched == 0 && !c.Full && !server.cold(now)
		server.recordTransfer(now, c)
		if n := len(req.Parts); n > 1 && server.shouldReport(req, req.Parts[:n-1]) {
			server.placed = append(server.placed, req.Parts[:min(n-1, maxReportedParts)])
		}
		t.parts = req.Parts
		server.cache.add(req.Parts, now.Add(c.Wait))
	}
	p.recordSend(server)
	server.ownLoad.Running++
	server.ownLoad.Unread += t.unreadTokens
	return t
}

// knownReportInterval is the number of prompts per report for prompts whose shared
// parts the server is already known to cache. The report tells peers that the parts
// are still in use.
const knownReportInterval = 8

// maxReportedParts limits the parts of one reported prompt. The first parts are the ones
// that other prompts share, and a longer list would not fit into a report.
const maxReportedParts = 256

// shouldReport reports whether to tell peers that the parts were sent to the server.
// Parts that all peers know would displace unknown parts from the size-limited
// digests.
func (s *serverState) shouldReport(req *Request, parts []Part) bool {
	for _, p := range parts {
		if s.cache.parts[p.ID] == nil {
			return true
		}
	}
	return req.Key%knownReportInterval == 0
}

// recordTransfer accounts for the transfer of a request on the links of both servers.
func (s *serverState) recordTransfer(now time.Time, c Candidate) {
	if c.sourceServer == nil {
		return
	}
	end := now.Add(max(0, c.sourceServer.linkFree.Sub(now), s.linkFree.Sub(now)) + c.transferTime)
	c.sourceServer.linkFree, s.linkFree = end, end
}

// scaled returns d times a factor; a factor of 1 leaves it as it is.
func scaled(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// OnFirstOutput records the arrival of the first part of the answer.
func (t *Reservation) OnFirstOutput(now time.Time) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.answered || t.released {
		return
	}
	t.answered = true
	t.server.ownLoad.Unread -= t.unreadTokens
	t.server.failures.succeeded(now)
	t.server.fullRefusals = 0
	t.server.cache.add(t.parts, now)
	took := now.Sub(t.startedAt)
	usual := scaled(took, 1/t.pace)
	if !t.server.Engine {
		t.expected = scaled(t.pool.meanLatency, t.pace)
		t.pool.meanLatency += (usual - t.pool.meanLatency) / meanLatencyWindow
	}
	t.server.speed.observe(now, took, t.expected)
	if t.longTarget > 0 {
		t.pool.longLimit.ended(now, took <= t.longTarget, t.longTarget)
	}
	if t.measuresReadRate {
		t.pool.readRate.observe(t.readTokens, usual)
	}
	t.pool.notifyWaiters()
}

// Outcome is how a request ended at a server.
type Outcome int

const (
	// Ended means that the answer completed or that the caller ended it.
	Ended Outcome = iota
	// Failed means that the server did not complete the request.
	Failed
	// Refused means that the server is alive but did not run the request.
	Refused
	// Errored means that the server answered with an error of its own.
	Errored
	// Unreachable means that nothing was received from the server's host.
	Unreachable
	// Oversized means that the answer exceeded the size limit.
	Oversized
)

const (
	// fullTimeShare is the part of the mean response time for which a plain server that
	// refused a request as full gets no other, with the mechanism service_pacing; minFullTime
	// is the least time.
	fullTimeShare = 0.25
	minFullTime   = 5 * time.Millisecond
	// The time doubles with each refusal in a row beyond chanceRefusals, up to maxFullTime: a
	// server that refuses everything looks idle by this instance's own load.
	chanceRefusals = 3
	maxFullTime    = time.Second
)

// Release releases the place. Only the first call has an effect.
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
		if t.longTarget > 0 && o != Refused && now.Sub(t.startedAt) > t.longTarget {
			t.pool.longLimit.ended(now, false, t.longTarget)
		}
	}
	if o == Refused && t.refused(now) {
		t.pool.notifyWaiters()
		return
	}
	switch o {
	case Failed, Refused:
		t.server.failures.failed(now, failureBackoffBase)
		t.server.ownSuspectUntil = t.server.failures.suspectUntil
	case Ended:
		if t.answered {
			t.server.errors.observe(now, false)
			t.server.oversize.completed()
		}
	case Errored:
		t.server.errors.observe(now, true)
		if t.server.errors.now(now)-meanErrorRate(now, t.pool.list) > suspectErrorExcess {
			t.server.failures.failed(now, failureBackoffBase)
			t.server.ownSuspectUntil = t.server.failures.suspectUntil
		}
	case Unreachable:
		t.server.failures.failed(now, unreachableBackoffBase)
		t.server.failures.unreachable = true
		t.server.ownSuspectUntil = t.server.failures.suspectUntil
	case Oversized:
		t.server.oversize.observe(now, t.account, t.pool.callers.alone(now, t.account))
		if until := t.server.oversize.suspectUntil; until.After(t.server.ownSuspectUntil) {
			t.server.ownSuspectUntil = until
		}
	}
	t.pool.notifyWaiters()
}

// refused records that the server turned the request away. It reports whether that is no failure of
// the server.
func (t *Reservation) refused(now time.Time) bool {
	t.server.cache.removeUnprocessed(t.parts, now)
	t.brittleRefused(now)
	switch {
	case t.server.paused(now):
		return true // the pause covers this instance; it is no failure that concerns others
	case !t.pool.paced:
		return false
	}
	// The server is not at fault. A full queue has room again after a part of the time
	// that a request takes to pass it.
	full := max(minFullTime, time.Duration(fullTimeShare*float64(t.pool.meanLatency)))
	for range max(0, t.server.fullRefusals-chanceRefusals) {
		if full *= 2; full >= maxFullTime {
			full = maxFullTime
			break
		}
	}
	t.server.fullRefusals++
	t.server.fullUntil = now.Add(full)
	return true
}
