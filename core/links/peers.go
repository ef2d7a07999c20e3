package links

import (
	"maps"
	"time"

	"cyclamenhitch/core/fleet"
)

// PeerOutcome is the outcome of a contact with a server through a peer.
type PeerOutcome int

const (
	// PeerConnected means that the peer opened a connection to the server.
	PeerConnected PeerOutcome = iota
	// PeerResponded means that the server responded on such a connection.
	PeerResponded
	// PeerServerRefused and PeerServerSilent mean that the peer reaches other servers and not
	// this one.
	PeerServerRefused
	PeerServerSilent
	// PeerServerUnknown means that the peer does not know the server.
	PeerServerUnknown
	// PeerNoLink means that the peer reaches no server itself.
	PeerNoLink
	// PeerFull means that the peer carries as many tunnels as it may.
	PeerFull
	// PeerSilent means that the peer did not answer.
	PeerSilent
	// PeerUnresponsive means that the peer opened a connection on which nothing came: either the
	// server does not respond, or the peer's link to it is as useless as the instance's own.
	PeerUnresponsive
)

var peerOutcomeNames = [...]string{"connected", "responded", "server_refused", "server_silent", "server_unknown", "no_link", "full", "peer_silent", "unresponsive"}

// String names the outcome in logs and metrics.
func (o PeerOutcome) String() string { return peerOutcomeNames[o] }

// OnPeer records the outcome of a contact with a server through a peer. It reports whether this
// contact shows that the link to the server is lost.
func (t *Tracker) OnPeer(now time.Time, id fleet.ServerID, peer fleet.InstanceID, o PeerOutcome) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch o {
	case PeerConnected, PeerResponded:
		t.onTunnel(now, peer)
		return t.onReached(now, id, o)
	case PeerServerRefused, PeerServerSilent:
		s := t.server(id)
		s.downUntil, s.refused = now.Add(downTime), o == PeerServerRefused
		s.silentUntil = time.Time{}
		if !s.refused && s.outcome == TimedOut {
			s.silentUntil = now.Add(silentTime)
		}
	case PeerNoLink, PeerSilent, PeerUnresponsive:
		t.notAsked[peer] = refusal{now, now.Add(noLinkTime), o == PeerNoLink}
	case PeerFull:
		t.notAsked[peer] = refusal{now, now.Add(fullTime), false}
	}
	return false
}

// refusal is the answer of a peer, or the lack of one, for which it is not asked until a time.
type refusal struct {
	at, until time.Time
	noLink    bool
}

// holds reports whether a peer is not asked for a refusal. The caller holds mu.
func (t *Tracker) holds(now time.Time, r refusal) bool {
	if r.noLink && t.tunnel.Before(r.at) {
		return now.Sub(r.at) < noServerTime
	}
	return now.Before(r.until)
}

// onTunnel records that a peer reached a server. After a time in which none did, the other peers may
// have links again too. The caller holds mu.
func (t *Tracker) onTunnel(now time.Time, peer fleet.InstanceID) {
	delete(t.notAsked, peer)
	if !t.tunnelWorks(now) {
		maps.DeleteFunc(t.notAsked, func(_ fleet.InstanceID, r refusal) bool { return r.noLink })
	}
	t.tunnel = now
}

func (t *Tracker) onReached(now time.Time, id fleet.ServerID, o PeerOutcome) (lost bool) {
	s := t.server(id)
	s.downUntil, s.silentUntil = time.Time{}, time.Time{}
	if s.failed.IsZero() && !t.cutOff {
		return false // the link came back meanwhile
	}
	if s.outcome == Unresponsive && o == PeerConnected && !t.cutOff {
		return false // the instance can connect too
	}
	lost = s.reached.IsZero()
	if lost {
		s.reached = now
	}
	if lost && !t.cutOff {
		s.testAt = now
	}
	return lost
}

// MayAsk reports whether a peer may be asked for a connection.
func (t *Tracker) MayAsk(now time.Time, peer fleet.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.notAsked[peer]
	if ok && !now.Before(r.until) {
		delete(t.notAsked, peer)
	}
	return !ok || !t.holds(now, r)
}

// MayServe reports whether the instance may dial a server for a peer: not while it is cut off, or
// several servers are silent.
func (t *Tracker) MayServe(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.cutOff && (t.silentSince.IsZero() || now.Sub(t.lastFail) >= failingTime)
}
