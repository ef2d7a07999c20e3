// Package links decides whether an instance has lost its links to backend servers or the
// servers are down. An instance opens connections to a server that it has lost through a peer
// that reaches it. A Tracker belongs to one instance, performs no I/O and is safe for concurrent
// use. docs/design/links.md has the bounds.
package links

import (
	"math/rand/v2"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// quietTime is the time without any contact with a server after which one is tested, and
	// waitingQuietTime the time for which a request waits for a response meanwhile.
	quietTime        = time.Second
	waitingQuietTime = 500 * time.Millisecond
	// testInterval is the time between two tests of a lost link, and between two tests after
	// quiet time. A test opens one connection, which servers charge for.
	testInterval = 500 * time.Millisecond
	// slowTest is the time after which a test that has not ended has another server tested.
	slowTest = 100 * time.Millisecond
	// returnSpread is the time over which the other lost links are tested once one is back.
	returnSpread = 100 * time.Millisecond
	// downTime is how long a server that a peer cannot reach either is not asked for through
	// other peers.
	downTime = 500 * time.Millisecond
	// silentTime is how long a server that answered neither the instance nor a peer counts as silent
	// unless a test shows otherwise. It covers downTime, a test and the answers of two slow peers.
	silentTime = 2 * time.Second
	// noLinkTime is how long a peer is not asked that has no link to servers or is silent, and
	// fullTime how long one without room for more tunnels.
	noLinkTime = 2 * time.Second
	fullTime   = 500 * time.Millisecond
	// noServerTime replaces noLinkTime for a peer without a link while no peer has reached a server
	// since: all servers may be down, and peers then have links again as soon as the servers are back.
	noServerTime = 200 * time.Millisecond
	// maxFailedAsksPerSecond limits the tunnels a second that reach no server, while none does.
	maxFailedAsksPerSecond = 40
	// minCutServers is the number of servers that must have failed before the instance counts
	// as cut off from all.
	minCutServers = 2
	// doubtTime is how long after a failed contact it may be one of the link.
	doubtTime = 2 * time.Second
	// failingTime is how long an instance that found several servers silent does not dial for others.
	// It exceeds the time between two tests that get no response.
	failingTime = 2 * time.Second
)

// Outcome is the outcome of a direct contact with a server.
type Outcome int

const (
	// Connected means that a connection was opened. It says nothing about links whose connects are
	// answered and that are silent then.
	Connected Outcome = iota
	// Responded means that a new connection brought bytes from the server.
	Responded
	// Refused means that the server's host refused the connection.
	Refused
	// TimedOut means that the host did not respond.
	TimedOut
	// Unreachable means that the network refused the connection.
	Unreachable
	// Unresponsive means that a connection was opened and a request on it that needs no slot of the
	// server was not answered.
	Unresponsive
	// Broken means that an open connection was reset or fell silent.
	Broken
)

var outcomeNames = [...]string{"connected", "responded", "refused", "timed_out", "unreachable", "unresponsive", "broken"}

// String names the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Route is the way in which a connection to a server is opened.
type Route int

const (
	// Direct means that a failure is final.
	Direct Route = iota
	// DirectThenPeer means that a peer is asked if the direct connection fails.
	DirectThenPeer
	// ThroughPeer means that a peer is asked at once.
	ThroughPeer
	// None means that no way is known: the connection fails at once.
	None
)

// server is what is known of the link to one server.
type server struct {
	// failed is when the last direct contact failed, with outcome; zero after a success.
	failed  time.Time
	outcome Outcome
	// reached is when a peer first reached the server while the instance did not; zero if the
	// link is not lost.
	reached time.Time
	// confirmed is set once a direct contact that began after reached failed too: a server that
	// restarts refuses the instance and accepts a peer an instant later.
	confirmed bool
	// others is set if other servers were reached directly while the link was lost: its failures
	// then say nothing about the other links.
	others bool
	// downUntil is the end of the time in which the server counts as down by a peer's word, refused
	// whether its host refused the peer.
	downUntil time.Time
	refused   bool
	// silentUntil is the end of the time in which the server counts as silent by a peer's word after
	// a connect that timed out. Requests do not wait for it meanwhile, tests do.
	silentUntil time.Time
	// testAt is when a direct test is due; zero for none. testing is set while one runs that began
	// at testBegan.
	testAt, testBegan time.Time
	testing           bool
}

// Tracker knows which links of an instance are lost.
type Tracker struct {
	mu      sync.Mutex
	servers map[fleet.ServerID]*server
	// failing are the servers whose contacts failed since the last direct connection to any.
	failing   map[fleet.ServerID]Outcome
	lastFail  time.Time
	connected time.Time // the last direct connection to any server
	heard     time.Time // the last bytes of any server on a direct connection
	// waiting is when the first request was sent on a direct connection after heard. No request
	// waits if it is not after heard.
	waiting time.Time
	// running is set while any request is under way.
	running bool
	tested  time.Time // the last test after quiet time, or of a lost link
	// brokenTest is when a broken connection last led to a test.
	brokenTest time.Time
	resets     resets
	// silentSince is when two servers were found silent while no other was heard; zero after a
	// direct connection.
	silentSince time.Time
	tunnel      time.Time // the last connection through a peer
	notAsked    map[fleet.InstanceID]refusal
	asks        float64 // asks of peers that may be made now, as refilled at asksAt
	asksAt      time.Time
	cutOff      bool
	changes     []Change
	returned    bool // whether a lost link is back since the last call of Returned
}

// Change is a change of what is believed of the links.
type Change struct {
	// Server is empty for a change that concerns all links.
	Server fleet.ServerID
	Lost   bool
	// Outcome is the direct contact that shows the loss. Since is when it failed.
	Outcome Outcome
	Since   time.Time
	// Failing is the number of servers that the instance does not reach.
	Failing int
}

// New returns a tracker that takes all links to be sound. now is the start of the instance.
func New(now time.Time) *Tracker {
	return &Tracker{
		servers: map[fleet.ServerID]*server{}, failing: map[fleet.ServerID]Outcome{}, notAsked: map[fleet.InstanceID]refusal{},
		heard: now, asks: maxFailedAsksPerSecond, asksAt: now,
	}
}

func (t *Tracker) server(id fleet.ServerID) *server {
	s := t.servers[id]
	if s == nil {
		s = &server{}
		t.servers[id] = s
	}
	return s
}

// Route returns how a new connection to a server is to be opened.
func (t *Tracker) Route(now time.Time, id fleet.ServerID) Route {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	down := s != nil && now.Before(s.downUntil)
	switch {
	case s != nil && !s.reached.IsZero(), t.cutOff:
		if down {
			return None
		}
		return ThroughPeer
	case s != nil && s.outcome == TimedOut && (down && now.Sub(s.failed) < downTime || now.Before(s.silentUntil)):
		// Another connect would take its whole timeout: a test finds out whether the server is back.
		if !down && !s.testing && s.testAt.IsZero() {
			s.testAt = now
		}
		return None
	case down || !t.mayTry(now):
		return Direct
	}
	return DirectThenPeer
}

// NeedsPeer reports whether a peer is to be asked after a failed test of a server: nothing tells yet
// whether the server is at fault or the link.
func (t *Tracker) NeedsPeer(now time.Time, id fleet.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	known := s != nil && (!s.reached.IsZero() || now.Before(s.downUntil))
	return !known && !t.cutOff && t.mayTry(now)
}

// CountsAsSilent reports whether a server is taken for silent by an earlier word of a peer, so that
// only tests connect to it.
func (t *Tracker) CountsAsSilent(now time.Time, id fleet.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	return s != nil && now.Before(s.silentUntil)
}

// mayTry reports whether another tunnel may be tried. The caller holds mu.
func (t *Tracker) mayTry(now time.Time) bool {
	t.refillAsks(now)
	return t.asks >= 1 || t.tunnelWorks(now)
}

func (t *Tracker) refillAsks(now time.Time) {
	t.asks = min(maxFailedAsksPerSecond, t.asks+now.Sub(t.asksAt).Seconds()*maxFailedAsksPerSecond)
	t.asksAt = now
}

// tunnelWorks reports whether a peer reached a server recently. The caller holds mu.
func (t *Tracker) tunnelWorks(now time.Time) bool {
	return !t.tunnel.IsZero() && now.Sub(t.tunnel) < noLinkTime
}

// SpendAsk reports whether a peer that MayAsk allows may be asked for a connection now, and counts
// it against maxFailedAsksPerSecond. Asks are free while tunnels work, except those of peers that are
// asked again within noLinkTime.
func (t *Tracker) SpendAsk(now time.Time, peer fleet.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, again := t.notAsked[peer]; !again && t.tunnelWorks(now) {
		return true
	}
	t.refillAsks(now)
	if t.asks < 1 {
		return false
	}
	t.asks--
	return true
}

// OnDirect records the outcome of a direct contact with a server that began at began.
func (t *Tracker) OnDirect(now, began time.Time, id fleet.ServerID, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch o {
	case Connected, Responded:
		t.onConnected(now, began, id, o)
	case Broken:
		t.resets.note(now, id)
		// The server may have ended it: a test tells. A server at its connection limit resets many.
		if now.Sub(t.brokenTest) >= testInterval && t.servers[id] == nil {
			t.brokenTest = now
			t.server(id).testAt = now
		}
	default:
		t.onFailed(now, began, id, o)
	}
}

func (t *Tracker) onConnected(now, began time.Time, id fleet.ServerID, o Outcome) {
	if o == Responded {
		t.heard = later(t.heard, now)
		t.resets.forget(began)
	} else if t.isUnresponsive(id) {
		return
	}
	t.connected = now
	if began.Before(t.lastFail) && len(t.failing) > 0 && t.failsSince(began) {
		return // an older connect, which says nothing about the time of the failures
	}
	t.setCutOff(now, false)
	t.forgetUnresponsive()
	clear(t.failing)
	t.silentSince = time.Time{}
	s := t.servers[id]
	delete(t.servers, id)
	for _, other := range t.servers {
		other.others = other.others || other.confirmed
	}
	if s == nil {
		return
	}
	if s.reached.IsZero() {
		return
	}
	t.returned = true
	if s.confirmed {
		t.changes = append(t.changes, Change{Server: id, Since: s.failed, Outcome: s.outcome})
	}
	t.testLost(now)
}

// failsSince reports whether contacts that began after a point in time have failed at several
// servers. The caller holds mu.
func (t *Tracker) failsSince(at time.Time) bool {
	n := 0
	for id := range t.failing {
		if s := t.servers[id]; s != nil && s.failed.After(at) {
			n++
		}
	}
	return n >= minCutServers
}

// testLost schedules a test of each lost link after one was found to be back.
func (t *Tracker) testLost(now time.Time) {
	for _, s := range t.servers {
		if !s.reached.IsZero() && !s.testing {
			// Servers return one by one: a test that is due earlier must not be put off each time.
			if at := now.Add(rand.N(returnSpread)); s.testAt.IsZero() || at.Before(s.testAt) {
				s.testAt = at
			}
		}
	}
}

func (t *Tracker) onFailed(now, began time.Time, id fleet.ServerID, o Outcome) {
	contact := later(t.heard, t.connected)
	if o == Unresponsive {
		contact = t.heard
		if !contact.Before(began) {
			return // the server's fault: others respond
		}
	}
	s := t.server(id)
	s.failed, s.outcome = now, o
	if !s.others {
		t.lastFail = now
		t.failing[id] = o
	}
	if !s.reached.IsZero() && !s.confirmed && !began.Before(s.reached) {
		s.confirmed = true
		t.changes = append(t.changes, Change{Server: id, Lost: true, Outcome: o, Since: now})
	}
	if t.silentSince.IsZero() && t.silent() >= minCutServers && contact.Before(began) {
		t.silentSince = now
	}
	t.updateCutOff(now)
}

// isSilence reports whether an outcome is one of a link that loses what is sent.
func isSilence(o Outcome) bool { return o == TimedOut || o == Unresponsive }

// silent returns the number of servers whose host did not respond. The caller holds mu.
func (t *Tracker) silent() (n int) {
	for _, o := range t.failing {
		if isSilence(o) {
			n++
		}
	}
	return n
}

// updateCutOff sets cutOff once several direct contacts have failed in a row, one of them after
// a peer reached the same server. The caller holds mu.
func (t *Tracker) updateCutOff(now time.Time) {
	if t.cutOff || len(t.failing) < minCutServers {
		return
	}
	for id := range t.failing {
		if s := t.servers[id]; s != nil && s.confirmed {
			t.setCutOff(now, true)
			return
		}
	}
}

func (t *Tracker) setCutOff(now time.Time, cut bool) {
	if t.cutOff != cut {
		t.cutOff = cut
		t.returned = t.returned || !cut
		t.changes = append(t.changes, Change{Lost: cut, Since: now, Failing: len(t.failing)})
	}
}

// OnHeard records the time at which a server last sent bytes over a direct connection.
func (t *Tracker) OnHeard(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = later(t.heard, at)
	t.resets.forget(at)
	if at.After(t.lastFail) && !t.cutOff {
		t.forgetUnresponsive()
	}
}

// OnSent records the time at which a request was last sent over a direct connection.
func (t *Tracker) OnSent(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.waiting.After(t.heard) {
		t.waiting = at
	}
}

// ConnectedSince reports whether a direct connection to any server was opened after a point in time.
func (t *Tracker) ConnectedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.connected.Before(at)
}
