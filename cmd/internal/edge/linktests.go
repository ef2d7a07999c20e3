package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/adapters/tunnel"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/links"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/platform"
)

const (
	// linkCheckInterval is the interval at which due tests of links are looked for.
	linkCheckInterval = 50 * time.Millisecond
	// otherServersDelay is how long a connect for a peer may take before others are tried, which tell
	// whether the server is down or the link.
	otherServersDelay = 100 * time.Millisecond
	// otherServers is the number of servers that are tried for that.
	otherServers = 2
)

// run tests links when that is due and logs what changes, until ctx ends.
func (l *instanceLinks) run(ctx context.Context) {
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		l.passHeard()
		if at := l.sent.load(); at != processStart {
			l.tracker.OnSent(at)
		}
		l.tracker.SetRunning(l.running() > 0)
		for _, id := range l.tracker.Tests(now, l.servers()) {
			go l.test(ctx, id)
		}
		l.logChanges(now)
	}
}

// passHeard tells the tracker when a server was last heard.
func (l *instanceLinks) passHeard() {
	if at := l.heard.load(); at != processStart {
		l.tracker.OnHeard(at)
	}
}

// test opens a direct connection to a server and closes it. If that fails, it looks whether a peer
// reaches the server, unless that is known.
func (l *instanceLinks) test(ctx context.Context, id fleet.ServerID) {
	l.meters.linkTests.Add(1)
	err := l.connect(ctx, id)
	failed := isLinkFailure(err)
	if errors.Is(err, errUnresponsive) && !l.tracker.Failed(id) {
		failed = false // the server's fault: others respond
	}
	if failed && l.tracker.NeedsPeer(time.Now(), id) {
		l.ask(ctx, id)
		return
	}
	l.tracker.EndTest(id)
}

// ask looks whether a peer reaches a server and ends its test.
func (l *instanceLinks) ask(ctx context.Context, id fleet.ServerID) {
	defer l.tracker.EndTest(id)
	open, opened := l.openLasting, links.PeerConnected
	if l.tracker.NeedsResponse(time.Now(), id) {
		open, opened = l.openResponding, links.PeerResponded
	}
	lists := [][]roster.Peer{l.candidates(time.Now())}
	if l.tracker.CountsAsSilent(time.Now(), id) {
		lists = deal(lists[0], silentAsks)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var asks sync.WaitGroup
	for _, peers := range lists {
		asks.Go(func() {
			if nc, _, err := l.askPeers(ctx, id, peers, open, opened); err == nil {
				_ = nc.Close()
				cancel() // the word of another one that does not reach the server would count after this one
			}
		})
	}
	asks.Wait()
}

// deal distributes peers in turn over n lists.
func deal(peers []roster.Peer, n int) [][]roster.Peer {
	lists := make([][]roster.Peer, n)
	for i, p := range peers {
		lists[i%n] = append(lists[i%n], p)
	}
	return lists
}

// lastingTime is how long a test connection must stay open. Middleboxes accept connections before
// they reset them, and so do servers at their limit.
const lastingTime = 30 * time.Millisecond

// lasts reports whether a new connection, on which nothing was sent, stays open.
func lasts(nc net.Conn) bool {
	if nc.SetReadDeadline(time.Now().Add(lastingTime)) != nil {
		return false
	}
	_, err := nc.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// errResetAtOnce is a connection that did not last.
var errResetAtOnce = fmt.Errorf("the connection ended at once: %w", syscall.ECONNRESET)

// connect opens a direct connection to a server, looks whether it lasts, and closes it. The server
// has to respond on it if a connect alone does not tell whether the link is sound.
func (l *instanceLinks) connect(ctx context.Context, id fleet.ServerID) error {
	began := time.Now()
	addr := l.address(id)
	if addr == "" {
		return tunnel.ErrUnknownServer
	}
	needsResponse := l.tracker.NeedsResponse(began, id)
	nc, err := l.direct(ctx, id, func(ctx context.Context) (net.Conn, error) {
		return l.client.ConnectDirect(ctx, addr, connectTimeout, l.calls, nil)
	})
	if err != nil {
		return err
	}
	defer nc.Close()
	if needsResponse {
		return l.awaitResponse(ctx, nc, id, addr, began)
	}
	if lasts(nc) {
		l.tracker.OnDirect(time.Now(), began, id, links.Connected)
		return nil
	}
	l.tracker.OnDirect(time.Now(), began, id, links.Refused)
	return errResetAtOnce
}

// otherTest is a test of servers for one or several failed connects. reached, a server or none, is
// set before done is closed.
type otherTest struct {
	done    chan struct{}
	reached fleet.ServerID
}

// reachesOther reports whether a direct connection to another server than the one named is opened
// now. Concurrent calls share one test, since servers charge for connections.
func (l *instanceLinks) reachesOther(ctx context.Context, than fleet.ServerID) bool {
	l.otherMu.Lock()
	t := l.other
	if t == nil {
		t = &otherTest{done: make(chan struct{})}
		l.other = t
		go func() {
			t.reached = l.connectOther(context.WithoutCancel(ctx), than)
			l.otherMu.Lock()
			l.other = nil
			l.otherMu.Unlock()
			close(t.done)
		}()
	}
	l.otherMu.Unlock()
	select {
	case <-t.done:
		return t.reached != "" && t.reached != than // the test may be one for another server
	case <-ctx.Done():
		return false
	}
}

// connectOther opens direct connections to otherServers others than the one named and returns one that
// was reached, or none.
func (l *instanceLinks) connectOther(ctx context.Context, than fleet.ServerID) fleet.ServerID {
	// Servers that are known to fail, such as others of a pool that is down, tell nothing.
	ids := slices.DeleteFunc(slices.Clone(l.servers()), func(id fleet.ServerID) bool { return id == than || l.tracker.Failed(id) })
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	reached := make(chan fleet.ServerID, otherServers)
	n := 0
	for _, i := range rand.Perm(len(ids)) {
		if n == otherServers {
			break
		}
		n++
		go func() {
			if l.connect(ctx, ids[i]) != nil {
				reached <- ""
				return
			}
			reached <- ids[i]
		}()
	}
	for range n {
		if id := <-reached; id != "" {
			return id
		}
	}
	return ""
}

// logChanges logs which links were lost or are back. A server that is reached directly again is
// as one that never failed, and the idle tunnels to it are closed.
func (l *instanceLinks) logChanges(now time.Time) {
	for _, c := range l.tracker.Changes() {
		fields := []zap.Field{zap.Duration("age", now.Sub(c.Since))}
		switch {
		case c.Server == "" && c.Lost:
			l.forgetFailures()
			l.log.Warn("instance cut off from servers", append(fields, zap.Int("failing", c.Failing))...)
		case c.Server == "":
			l.forgetFailures()
			l.log.Info("links to servers are back", fields...)
		default:
			msg := "link to server lost"
			if !c.Lost {
				msg = "link to server back"
				l.board.ForgetFailures(c.Server)
			}
			l.log.Info(msg, append(fields, zap.String(logging.FieldServer, string(c.Server)), zap.Stringer("kind", c.Outcome),
				zap.String("evidence", "a direct contact beside one through a peer"))...)
		}
	}
	if l.tracker.Returned() {
		l.client.CloseUnusable()
	}
}

// forgetFailures forgets the failures of all servers, which were those of the links to them.
func (l *instanceLinks) forgetFailures() {
	for _, id := range l.servers() {
		l.board.ForgetFailures(id)
	}
}

// newLinks returns the links of an instance and the server of tunnels for its peers.
func newLinks(e *Edge, client *engine.Client) (*instanceLinks, *tunnel.Server) {
	relieve := func() bool { return client.CloseOldestIdle() || e.caller.CloseOldestIdle() }
	dialer := &tunnel.Dialer{
		Instance: e.set.Instance, ConnectTimeout: connectTimeout, KeepAlive: serverKeepAlive, UserTimeout: unackedTimeout,
		Descriptors: e.budget.Servers, Relieve: relieve,
	}
	l := &instanceLinks{
		tracker: links.New(time.Now()), client: client, calls: e.budget.Calls, board: e.board, openTunnel: dialer.Dial,
		candidates: e.peers.tunnelPeers, alone: e.peers.isAlone, address: e.view.address, servers: e.view.linkedServers, meters: e.meters, log: e.log,
		askServer: platform.AskServer, peerStopTime: settings.Millis(e.set.Times.StopMillis) + peerStopMargin,
		running: func() int { return e.caller.Running() + e.tunnels.Running() },
	}
	serve := &tunnelServer{links: l, descriptors: e.budget.Tunnels, relieve: relieve, memory: e.budget.Responses}
	return l, &tunnel.Server{
		Dial: serve.dial, Descriptors: e.budget.Tunnels, Relieve: relieve, Limit: max(1, int(e.budget.Tunnels.Limit()/descriptorsOfTunnel)), KeepAlive: serverKeepAlive, Log: e.log,
	}
}

// peerStopMargin is added to the time that a stop of a peer may take, for the delay of its
// announcement.
const peerStopMargin = time.Second

// descriptorsOfTunnel are those of the connections to the peer and to the server.
const descriptorsOfTunnel = 2

// publishLinkGauges publishes the state of the links and the tunnels that peers opened.
func (e *Edge) publishLinkGauges() {
	e.meters.gauge("links", func() any { return e.links.tracker.State(time.Now()) })
	e.meters.gauge("tunnels_served", func() any {
		t := e.tunnels
		return map[string]int64{
			"open": int64(t.Running()), "limit": int64(t.Limit), "opened": t.Opened.Load(), "refused": t.Refused.Load(), "failed": t.Failed.Load(), "broken": t.Broken.Load(),
		}
	})
}

// tunnelServer connects peers to servers.
type tunnelServer struct {
	links       *instanceLinks
	descriptors *budget.Share
	relieve     func() bool
	memory      *budget.Bytes
}

// dial implements tunnel.Server.Dial: it connects directly. A failure counts as the server's only if
// another server is reached meanwhile.
func (t *tunnelServer) dial(server fleet.ServerID) (net.Conn, error) {
	l := t.links
	addr := l.address(server)
	switch {
	case addr == "":
		return nil, tunnel.ErrUnknownServer
	case !l.tracker.MayServe(time.Now()):
		return nil, tunnel.ErrNoLink
	}
	hold := t.memory.Hold()
	if !hold.Resize(tunnel.TunnelBytes) {
		return nil, tunnel.ErrFull
	}
	nc, err := t.connect(server, addr)
	if err != nil {
		hold.Release()
		return nil, err
	}
	return &heldConn{Conn: nc, links: l, hold: hold}, nil
}

func (t *tunnelServer) connect(server fleet.ServerID, addr string) (net.Conn, error) {
	l := t.links
	began := time.Now()
	ctx := context.Background()
	reached := make(chan bool, 1)
	testOthers := func() { reached <- l.tracker.ConnectedSince(began) || l.reachesOther(ctx, server) }
	early := time.AfterFunc(otherServersDelay, testOthers)
	nc, err := l.direct(ctx, server, func(ctx context.Context) (net.Conn, error) {
		return l.client.ConnectDirect(ctx, addr, connectTimeout, t.descriptors, t.relieve)
	})
	if err == nil {
		early.Stop()
		return nc, nil
	}
	if !isLinkFailure(err) {
		early.Stop()
		return nil, err
	}
	if early.Stop() {
		go testOthers()
	}
	if <-reached || l.tracker.ConnectedSince(began) {
		return nil, err
	}
	return nil, fmt.Errorf("%w: %w", tunnel.ErrNoLink, err)
}

// heldConn is a connection to a server that gives memory back. What a peer sends and receives on it
// counts as the instance's own, so that one without requests notices that its links carry nothing.
type heldConn struct {
	net.Conn
	links *instanceLinks
	once  sync.Once
	hold  budget.Hold
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.links.OnHeard(time.Now())
	}
	return n, err
}

// Write implements net.Conn.
func (c *heldConn) Write(b []byte) (int, error) {
	c.links.OnSent(time.Now())
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.once.Do(c.hold.Release)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *heldConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
