package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/adapters/tunnel"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/links"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/roster"
)

const (
	// maxSlowPeers limits the peers that are asked for one connection and do not answer at once;
	// one that takes longer than quickAnswer is slow. maxPeersTried limits all except those that
	// answer at once that they have no link or no room, which maxQuickRefusals limits: with 60 of 100
	// instances cut off, six random peers are all cut off in 4.7% of the cases.
	maxSlowPeers     = 2
	maxPeersTried    = 6
	maxQuickRefusals = 20
	quickAnswer      = 30 * time.Millisecond
	// silentAsks is the number of peers that are asked at once in a test of a server that counts as
	// silent. Requests ask none for it then, and most peers may have lost their links to it too.
	silentAsks = 3
	// askTime limits how long a request waits for peers after a failed connect while the link counts
	// as sound: a peer that reaches the server answers within a few ms, and another server may be tried.
	askTime = 100 * time.Millisecond
)

// instanceLinks opens connections to servers, directly or through a peer that reaches them. It
// implements engine.Links.
type instanceLinks struct {
	tracker *links.Tracker
	client  *engine.Client
	// openTunnel opens a connection to a server through a peer at a host:port address. It takes a
	// descriptor.
	openTunnel func(ctx context.Context, peer string, server fleet.ServerID) (net.Conn, error)
	// calls is taken by connections outside of requests.
	calls *budget.Share
	board *placement.Balancer
	// candidates returns the peers that may be asked, in the order in which they are.
	candidates func(now time.Time) []roster.Peer
	// alone reports whether there is no such peer, heard or not.
	alone func() bool
	// address returns the host:port address of a server, or an empty one, and servers the known ones.
	address func(fleet.ServerID) string
	servers func() []fleet.ServerID
	// running returns the number of requests under way, and of tunnels of others.
	running func() int
	meters  *meters
	log     *zap.Logger
	// askServer asks the server at a host:port address for something that needs no slot, over a new
	// connection to it, and returns nil if it responds within a time.
	askServer func(nc net.Conn, addr string, timeout time.Duration) error
	// dialDirect, unless nil, replaces the direct dial in tests.
	dialDirect atomic.Pointer[func(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error)]

	// other is the test of reachesOther that is under way, if any.
	otherMu sync.Mutex
	other   *otherTest

	// usable holds the live peers, true for those that are not leaving.
	usable atomic.Pointer[map[fleet.InstanceID]bool]
	// leavingSince holds when each leaving peer was first seen to leave. A peer that carries
	// connections for longer than peerStopTime after that stands still.
	leavingMu    sync.Mutex
	leavingSince map[fleet.InstanceID]time.Time
	peerStopTime time.Duration
	// carried holds the open tunnels, as *carriedConn.
	carried sync.Map
	// ids holds the server last dialed at each address.
	ids sync.Map
	// heard and sent are the times of the last direct contacts.
	heard, sent contactTime
}

// processStart is the time from which contactTime counts.
var processStart = time.Now()

// contactTime is a point in time by the monotonic clock, so that a step of the clock of the host does
// not make it lie in the future.
type contactTime struct{ sinceStart atomic.Int64 }

func (c *contactTime) store(now time.Time) { c.sinceStart.Store(int64(now.Sub(processStart))) }

// load returns processStart if nothing was stored.
func (c *contactTime) load() time.Time {
	return processStart.Add(time.Duration(c.sinceStart.Load()))
}

var _ engine.Links = (*instanceLinks)(nil)

var (
	errServerDown = errors.New("a peer reaches other servers and not this one")
	// errNotConfirmed replaces a refused connect that may be one of the link.
	errNotConfirmed = errors.New("refused, which no peer confirms")
)

// Connect implements engine.Links. The error of a direct connect that failed is returned if no peer
// reaches the server either.
func (l *instanceLinks) Connect(ctx context.Context, server fleet.ServerID, addr string, direct func(context.Context) (net.Conn, error)) (net.Conn, fleet.InstanceID, error) {
	if id, ok := l.ids.Load(addr); !ok || id != server {
		l.ids.Store(addr, server)
	}
	route := l.tracker.Route(time.Now(), server)
	switch route {
	case links.None:
		return nil, "", errServerDown
	case links.ThroughPeer:
		nc, peer, err := l.throughPeer(ctx, server)
		if err != nil && !isServerFault(err) && ctx.Err() == nil {
			err = fmt.Errorf("%w: %w", engine.ErrNoWay, err)
		}
		return nc, peer, err
	}
	began := time.Now()
	nc, err := l.direct(ctx, server, direct)
	if err == nil || route == links.Direct || ctx.Err() != nil {
		return nc, "", err
	}
	o, ok := directOutcome(err)
	if !ok {
		return nil, "", err
	}
	if o == links.TimedOut {
		// A peer takes as long to find the server silent.
		if l.tracker.BeginTest(time.Now(), server) {
			go l.ask(context.WithoutCancel(ctx), server)
		}
		if l.heard.load().After(began) {
			return nil, "", err // likely the server: others respond
		}
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if nc, peer, perr := l.throughPeer(ctx, server); perr == nil {
		return nc, peer, nil
	}
	return nil, "", err
}

// direct opens a direct connection and records a failure. An open connection may still be reset at
// once; its first bytes show that the link is sound.
func (l *instanceLinks) direct(ctx context.Context, server fleet.ServerID, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	began := time.Now()
	var nc net.Conn
	var err error
	if replaced := l.dialDirect.Load(); replaced != nil {
		nc, err = (*replaced)(ctx, dial)
	} else {
		nc, err = dial(ctx)
	}
	if o, ok := directOutcome(err); ok && ctx.Err() == nil {
		l.tracker.OnDirect(time.Now(), began, server, o)
	}
	return nc, err
}

// directOutcome returns what a failed connect says about the link, if anything.
func directOutcome(err error) (links.Outcome, bool) {
	var ne net.Error
	switch {
	case err == nil:
		return 0, false
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return links.Refused, true
	case errors.Is(err, syscall.ENETUNREACH), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETDOWN):
		return links.Unreachable, true
	case errors.As(err, &ne) && ne.Timeout():
		return links.TimedOut, true
	}
	return 0, false
}

func isLinkFailure(err error) bool {
	_, ok := directOutcome(err)
	return ok
}

// isServerFault reports whether a peer that reaches other servers did not reach this one.
func isServerFault(err error) bool {
	var te *tunnel.Error
	return errors.As(err, &te) && (te.Reason == tunnel.ServerRefused || te.Reason == tunnel.ServerSilent || te.Reason == tunnel.ServerFailed)
}

// throughPeer opens a connection to a server through one of the peers. The error is that of the
// last peer.
func (l *instanceLinks) throughPeer(ctx context.Context, server fleet.ServerID) (net.Conn, fleet.InstanceID, error) {
	nc, peer, err := l.askPeers(ctx, server, l.candidates(time.Now()), l.openTunnel, links.PeerConnected)
	if err != nil {
		return nil, "", err
	}
	return l.carry(nc, peer), peer, nil
}

// openLasting opens a tunnel and looks whether it is reset at once.
func (l *instanceLinks) openLasting(ctx context.Context, peer string, server fleet.ServerID) (net.Conn, error) {
	nc, err := l.openTunnel(ctx, peer, server)
	if err != nil || lasts(nc) {
		return nc, err
	}
	_ = nc.Close()
	return nil, &tunnel.Error{Reason: tunnel.ServerFailed, Peer: peer, Server: server}
}

// askPeers opens a connection to a server through one of the candidates with open, whose success is
// the outcome opened.
func (l *instanceLinks) askPeers(ctx context.Context, server fleet.ServerID, candidates []roster.Peer, open func(ctx context.Context, peer string, server fleet.ServerID) (net.Conn, error), opened links.PeerOutcome) (net.Conn, fleet.InstanceID, error) {
	err := errors.New("no peer may be asked")
	var asked askCount
	for _, peer := range candidates {
		if asked.isSpent() || ctx.Err() != nil {
			break
		}
		if !l.tracker.MayAsk(time.Now(), peer.ID) || !l.tracker.SpendAsk(time.Now(), peer.ID) {
			continue
		}
		began := time.Now()
		var nc net.Conn
		nc, err = open(ctx, peer.Peer, server)
		err = l.atKnownAddress(server, err)
		if err != nil && (ctx.Err() != nil || errors.Is(err, sockets.ErrNoDescriptor)) {
			break
		}
		o := opened
		if err != nil {
			o = peerOutcome(err)
		}
		l.meters.tunnels.Add(o.String(), 1)
		if l.tracker.OnPeer(time.Now(), server, peer.ID, o) {
			l.board.ForgetFailures(server)
		}
		took := time.Since(began)
		l.logTunnel(server, peer, o, err, took)
		if err == nil {
			return nc, peer.ID, nil
		}
		if isServerFault(err) {
			break
		}
		asked.add(o, took)
	}
	return nil, "", err
}

// askCount counts the peers that were asked for one connection and did not open it.
type askCount struct{ slow, tried, refusals int }

func (c *askCount) isSpent() bool {
	return c.slow >= maxSlowPeers || c.tried >= maxPeersTried || c.refusals >= maxQuickRefusals
}

func (c *askCount) add(o links.PeerOutcome, took time.Duration) {
	switch {
	case took > quickAnswer:
		c.slow++
		c.tried++
	case o == links.PeerNoLink, o == links.PeerFull:
		c.refusals++
	default:
		c.tried++
	}
}

func (l *instanceLinks) logTunnel(server fleet.ServerID, peer roster.Peer, o links.PeerOutcome, err error, took time.Duration) {
	l.log.Debug("peer asked for a server", zap.String(logging.FieldServer, string(server)), zap.String("peer", string(peer.ID)),
		zap.Stringer("outcome", o), zap.Duration("took", took), zap.Error(err))
}

// peerOutcome returns what a failed dial through a peer says.
func peerOutcome(err error) links.PeerOutcome {
	var te *tunnel.Error
	switch {
	case errors.Is(err, errUnresponsive):
		return links.PeerUnresponsive
	case !errors.As(err, &te):
		return links.PeerSilent
	}
	switch te.Reason {
	case tunnel.ServerRefused:
		return links.PeerServerRefused
	case tunnel.ServerSilent, tunnel.ServerFailed:
		return links.PeerServerSilent
	case tunnel.ServerUnknown:
		return links.PeerServerUnknown
	case tunnel.PeerNoLink:
		return links.PeerNoLink
	case tunnel.PeerFull:
		return links.PeerFull
	}
	return links.PeerSilent
}

// connectConfirmed is like Connect for a connection that is to tell whether a process listens at the
// server's address: the error is syscall.ECONNREFUSED only if the refusal is not one of the link. A
// server whose host does not answer is not refused, and neither is one to which no connect was tried.
func (l *instanceLinks) connectConfirmed(ctx context.Context, server fleet.ServerID, addr string) (net.Conn, error) {
	route := l.tracker.Route(time.Now(), server)
	refused := false // a direct connect
	if route == links.Direct || route == links.DirectThenPeer {
		nc, err := l.direct(ctx, server, func(ctx context.Context) (net.Conn, error) {
			return l.client.ConnectDirect(ctx, addr, connectTimeout, l.calls, nil)
		})
		if refused = errors.Is(err, syscall.ECONNREFUSED); !refused {
			return nc, err
		}
	}
	if l.tracker.RefusedToPeer(time.Now(), server) {
		return nil, syscall.ECONNREFUSED
	}
	nc, _, err := l.throughPeer(ctx, server)
	switch {
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		return nc, err
	case refused && (l.alone() || l.reachesOther(ctx, server)):
		return nil, syscall.ECONNREFUSED
	case refused && !isServerFault(err):
		return nil, fmt.Errorf("%w: %w", errNotConfirmed, err)
	}
	return nil, fmt.Errorf("not tried directly, or not refused to a peer: %w", err)
}

// dialReport opens a connection for the report of the server that was last dialed at an address.
func (l *instanceLinks) dialReport(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	var server fleet.ServerID
	if id, ok := l.ids.Load(addr); ok {
		server = id.(fleet.ServerID)
	}
	return l.connectConfirmed(ctx, server, addr)
}

// confirmTimeout limits a connectConfirmed: a connect, and one through a peer.
const confirmTimeout = 500 * time.Millisecond

// portState returns whether a process listens at a server's address.
func (l *instanceLinks) portState(server fleet.ServerID, addr string) portState {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	nc, err := l.connectConfirmed(ctx, server, addr)
	switch {
	case errors.Is(err, errNotConfirmed):
		return portUnconfirmed
	case errors.Is(err, syscall.ECONNREFUSED):
		return portRefused
	case err == nil:
		_ = nc.Close()
	}
	return portNotRefused
}

// Reusable implements engine.Links.
func (l *instanceLinks) Reusable(server fleet.ServerID, through fleet.InstanceID, idleSince time.Time) bool {
	return l.tracker.Reusable(server, through != "", idleSince) && (through == "" || l.isUsable(through))
}

// IsSilent implements engine.Links.
func (l *instanceLinks) IsSilent(server fleet.ServerID, lastBytes time.Time) bool {
	return l.tracker.IsSilent(server, lastBytes)
}

// OnAnswered implements engine.Links.
func (l *instanceLinks) OnAnswered(now, opened time.Time, server fleet.ServerID) {
	l.tracker.OnDirect(now, opened, server, links.Responded)
}

// OnSent implements engine.Links.
func (l *instanceLinks) OnSent(now time.Time) { l.sent.store(now) }

// OnHeard implements engine.Links.
func (l *instanceLinks) OnHeard(now time.Time) { l.heard.store(now) }

// OnBroken implements engine.Links.
func (l *instanceLinks) OnBroken(now time.Time, server fleet.ServerID) {
	l.passHeard()
	l.tracker.OnDirect(now, now, server, links.Broken)
}

// outcome corrects what the end of an attempt indicates about its server: a connection that ends
// while the link is lost, or that fails on the way to a peer, says nothing about the server.
func (l *instanceLinks) outcome(server fleet.ServerID, err error) placement.Outcome {
	o := placementOutcome(err)
	if l == nil || o != placement.Failed && o != placement.Unreachable {
		return o
	}
	if isConnectionEnd(err) && (isCarrierFault(err) || l.tracker.Lost(server)) {
		return placement.Ended
	}
	return o
}

// credible removes the suspicions that may be due to lost links.
func (l *instanceLinks) credible(now time.Time, list []placement.Suspicion) []placement.Suspicion {
	if l == nil {
		return list
	}
	kept := list[:0]
	for _, s := range list {
		if !l.tracker.Doubtful(now, s.Server) {
			kept = append(kept, s)
		}
	}
	return kept
}
