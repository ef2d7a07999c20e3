package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"cyclamenhitch/adapters/tunnel"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/links"
)

const (
	// responseTime is how long a server may take to respond in a test that a connect does not decide.
	// A busy server responds within it, since what it is asked for needs no slot.
	responseTime = 500 * time.Millisecond
	// peerResponseTime is the same through a peer, of which some may have such links themselves.
	peerResponseTime = 300 * time.Millisecond
)

// errUnresponsive is a connection on which nothing came in response.
var errUnresponsive = fmt.Errorf("connected, but no response: %w", os.ErrDeadlineExceeded)

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// awaitResponse looks whether a server responds on a new direct connection that began at began.
func (l *instanceLinks) awaitResponse(ctx context.Context, nc net.Conn, id fleet.ServerID, addr string, began time.Time) error {
	timeout := responseTime
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(end))
	}
	err := l.askServer(nc, addr, timeout)
	l.passHeard()
	switch {
	case err == nil:
		l.tracker.OnDirect(time.Now(), began, id, links.Responded)
		return nil
	case !isTimeout(err):
		l.tracker.OnDirect(time.Now(), began, id, links.Refused)
		return errResetAtOnce
	case timeout == responseTime:
		l.tracker.OnDirect(time.Now(), began, id, links.Unresponsive)
	}
	return errUnresponsive
}

// openResponding opens a tunnel and looks whether the server responds.
func (l *instanceLinks) openResponding(ctx context.Context, peer string, server fleet.ServerID) (net.Conn, error) {
	nc, err := l.openTunnel(ctx, peer, server)
	if err != nil {
		return nil, err
	}
	if err = l.askServer(nc, l.address(server), peerResponseTime); err == nil {
		return nc, nil
	}
	_ = nc.Close()
	if isTimeout(err) {
		return nil, fmt.Errorf("server %s through %s: %w", server, peer, errUnresponsive)
	}
	return nil, &tunnel.Error{Reason: tunnel.ServerFailed, Peer: peer, Server: server}
}
