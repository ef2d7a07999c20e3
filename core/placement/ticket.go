package placement

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// Ticket is the place of one request at a server. It is used by one goroutine.
type Ticket struct {
	board    *Board
	pool     *pool
	s        *state
	began    time.Time
	expected time.Duration
	unread   int
	// reading is what the engine reads until the first token, as far as known, in tokens;
	// reads says that its time shows the reading rate.
	reading int
	reads   bool
	opened  bool
	ended   bool
}

// Begin takes a place at a server. It returns nil when the server is gone or, while
// it is cold, has just been given a request.
func (b *Board) Begin(now time.Time, id fleet.PoolID, c Candidate, ask *Ask) *Ticket {
	p := b.pool(id)
	share := b.coldShare()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[c.ID]
	if s == nil || s.Out {
		return nil
	}
	if s.cold(now) {
		gap, ok := share.spacing(s.hash, s.ColdRate)
		if !ok || now.Before(s.coldNext) {
			return nil
		}
		s.coldNext = now.Add(gap)
	}
	t := &Ticket{board: b, pool: p, s: s, began: now}
	if s.Engine {
		t.unread = max(0, ask.Prompt-s.cache.cached(ask.Parts)-c.Fetched)
		t.expected = c.Wait
		t.reading, t.reads = c.reading, c.Fetched == 0 && !c.Full && !s.cold(now)
		s.fetching(now, c)
		if n := len(ask.Parts); n > 1 && s.isNews(ask, ask.Parts[:n-1]) {
			s.placed = append(s.placed, ask.Parts[:n-1])
		}
		s.cache.add(ask.Parts)
	}
	s.own.Running++
	s.own.Unread += t.unread
	return t
}

// newsEvery is of how many prompts whose shared parts a server is known to keep one is
// reported all the same: peers learn that the parts are in use.
const newsEvery = 8

// isNews reports whether peers are to be told that a server has been sent the parts. Of
// what all of them know, digests would have no room for what they do not know.
func (s *state) isNews(ask *Ask, parts []Part) bool {
	for _, p := range parts {
		if s.cache.parts[p.ID] == nil {
			return true
		}
	}
	return ask.Key%newsEvery == 0
}

// fetching notes the transfer of a request on the links of both servers.
func (s *state) fetching(now time.Time, c Candidate) {
	if c.donor == nil {
		return
	}
	end := now.Add(max(0, c.donor.linkFree.Sub(now), s.linkFree.Sub(now)) + c.transfer)
	c.donor.linkFree, s.linkFree = end, end
}

// Opened notes the first part of the answer.
func (t *Ticket) Opened(now time.Time) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.opened || t.ended {
		return
	}
	t.opened = true
	t.s.own.Unread -= t.unread
	t.s.fault.succeeded(now)
	took := now.Sub(t.began)
	if !t.s.Engine {
		t.expected = t.pool.typical
		t.pool.typical += (took - t.pool.typical) / typicalWeight
	}
	t.s.speed.observe(now, took, t.expected)
	if t.reads {
		t.pool.pace.observe(t.reading, took)
	}
	t.pool.wake()
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
	// Silent means that nothing came back from the server's machine.
	Silent
)

// Close gives the place back. Only the first call counts.
func (t *Ticket) Close(now time.Time, o Outcome) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.s.own.Running--
	if !t.opened {
		t.s.own.Unread -= t.unread
	}
	switch o {
	case Failed, Refused:
		t.s.fault.failed(now, faultBase)
		t.s.ownFault = t.s.fault.until
	case Ended:
		if t.opened {
			t.s.errors.observe(now, false)
		}
	case Errored:
		t.s.errors.observe(now, true)
		if t.s.errors.now(now)-usualErrors(now, t.pool.list) > suspectErrors {
			t.s.fault.failed(now, faultBase)
			t.s.ownFault = t.s.fault.until
		}
	case Silent:
		t.s.fault.failed(now, silentBase)
		t.s.ownFault = t.s.fault.until
	}
	t.pool.wake()
}
