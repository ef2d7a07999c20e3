package links

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// CutOff reports whether the instance reaches no server directly while peers do.
func (t *Tracker) CutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff
}

// Lost reports whether a server is reached through peers.
func (t *Tracker) Lost(id fleet.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	return t.cutOff || s != nil && !s.reached.IsZero()
}

// Doubtful reports whether a failure at the server may be one of the link to it: the link is
// lost, or nothing has told yet. A failure that neither a peer nor another contact has explained
// within doubtTime counts as the server's.
func (t *Tracker) Doubtful(now time.Time, id fleet.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	switch {
	case t.cutOff:
		return true
	case s != nil && s.reached.IsZero() && now.Before(s.downUntil):
		return false
	case len(t.failing) >= minCutServers && now.Sub(t.lastFail) < doubtTime, t.brokenTest.After(t.connected) && now.Sub(t.brokenTest) < testInterval:
		return true
	}
	return s != nil && (!s.reached.IsZero() || !s.testAt.IsZero() || !s.failed.IsZero() && now.Sub(s.failed) < doubtTime)
}

// Failed reports whether the last direct contact with a server failed.
func (t *Tracker) Failed(id fleet.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	return s != nil && !s.failed.IsZero()
}

// RefusedToPeer reports whether the server refused a peer just now.
func (t *Tracker) RefusedToPeer(now time.Time, id fleet.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	return s != nil && s.refused && now.Before(s.downUntil)
}

// Reusable reports whether an idle connection to a server may be used that was last used at
// lastUse: one through a peer while the link is lost, a direct one unless its server's host fell
// silent since, or direct connections were reset. Where new connections are refused, old ones may
// live on.
func (t *Tracker) Reusable(id fleet.ServerID, through bool, lastUse time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	lost := t.cutOff || s != nil && !s.reached.IsZero()
	if through {
		return lost
	}
	if t.resets.ended(lost, lastUse) {
		return false
	}
	return !t.isSilent(s, lost) || lastUse.After(t.lastFail)
}

// isSilent reports whether nothing arrives over the direct link to a server. The caller holds mu.
func (t *Tracker) isSilent(s *server, lost bool) bool {
	return !t.silentSince.IsZero() || s != nil && lost && isSilence(s.outcome)
}

// IsSilent reports whether the link to a server is lost and nothing arrives over it since lastBytes,
// when bytes last arrived on a connection.
func (t *Tracker) IsSilent(id fleet.ServerID, lastBytes time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	lost := t.cutOff || s != nil && !s.reached.IsZero()
	return lost && t.isSilent(s, lost) && !lastBytes.After(t.lastFail)
}

// Changes returns the changes since the last call.
func (t *Tracker) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.changes
	t.changes = nil
	return out
}

// Returned reports whether a link that was lost is back since the last call, also one whose loss
// was not confirmed and is no Change. Connections through peers may not be reusable then.
func (t *Tracker) Returned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.returned
	t.returned = false
	return out
}

// State is a summary of the links.
type State struct {
	CutOff bool `json:"cut_off"`
	// Lost is the number of servers that are reached through peers, Failing that of servers whose
	// direct contacts failed in a row, PeersNotAsked that of peers that have no link, no room or
	// did not answer.
	Lost          int `json:"lost"`
	Failing       int `json:"failing"`
	PeersNotAsked int `json:"peers_not_asked"`
}

// State returns the current summary.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := State{CutOff: t.cutOff, Failing: len(t.failing)}
	for _, s := range t.servers {
		if !s.reached.IsZero() {
			out.Lost++
		}
	}
	for _, r := range t.notAsked {
		if t.holds(now, r) {
			out.PeersNotAsked++
		}
	}
	return out
}
