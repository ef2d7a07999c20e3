package links

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// NeedsResponse reports whether a direct connection to a server shows a sound link only if the
// server responds on it: requests have waited or been under way while no server was heard, or such
// a link was found to be lost.
func (t *Tracker) NeedsResponse(now time.Time, id fleet.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.waiting.After(t.heard) && now.Sub(t.waiting) >= waitingQuietTime, t.running && now.Sub(t.heard) >= quietTime:
		return true
	}
	return t.isUnresponsive(id)
}

// SetRunning tells whether any request is under way, which may wait for the rest of its response.
func (t *Tracker) SetRunning(running bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = running
}

// isUnresponsive reports whether the last contact with the server, or with one of those that fail,
// was a connect without a response. The caller holds mu.
func (t *Tracker) isUnresponsive(id fleet.ServerID) bool {
	if s := t.servers[id]; s != nil && s.outcome == Unresponsive {
		return true
	}
	for _, o := range t.failing {
		if o == Unresponsive {
			return true
		}
	}
	return false
}

// forgetUnresponsive forgets the connects without a response once a server was heard, except those
// to servers that peers reach, which are tested. The caller holds mu.
func (t *Tracker) forgetUnresponsive() {
	for id, o := range t.failing {
		if o != Unresponsive {
			continue
		}
		delete(t.failing, id)
		if s := t.servers[id]; s != nil && s.reached.IsZero() && !s.testing {
			delete(t.servers, id)
		}
	}
	if t.silent() < minCutServers {
		t.silentSince = time.Time{}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
