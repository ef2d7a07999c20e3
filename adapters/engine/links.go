package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/verdict"
)

// Links opens connections to servers, directly or through peer instances, and learns from what
// becomes of direct ones. Its methods must not block, except Connect, which is called without locks.
type Links interface {
	// Connect opens a connection to the server at a host:port address with direct, or through a
	// peer instance, which it names then. Either takes a descriptor.
	Connect(ctx context.Context, server fleet.ServerID, addr string, direct func(context.Context) (net.Conn, error)) (nc net.Conn, through fleet.InstanceID, err error)
	// Reusable reports whether a connection that has been idle since a point in time may carry
	// another request.
	Reusable(server fleet.ServerID, through fleet.InstanceID, idleSince time.Time) bool
	// IsSilent reports whether the direct link to the server is known as lost and silent, and nothing
	// can arrive on a connection whose last bytes came at a point in time.
	IsSilent(server fleet.ServerID, lastBytes time.Time) bool
	// OnAnswered reports the first bytes of a direct connection that was opened at a point in time.
	OnAnswered(now, opened time.Time, server fleet.ServerID)
	// OnSent and OnHeard report a request that was sent over a direct connection and bytes that
	// were received.
	OnSent(now time.Time)
	OnHeard(now time.Time)
	// OnBroken reports a direct connection that was reset or fell silent.
	OnBroken(now time.Time, server fleet.ServerID)
}

// ErrNoWay is the error of Links.Connect if the link to a server is lost and no peer is at hand.
var ErrNoWay = verdict.ErrNoWay

// ErrSilentTunnel is the cause of an error with code ConnectionSilent if the connection led through a
// peer instance. Either the server or the peer fell silent.
var ErrSilentTunnel = errors.New("connection through a peer is silent")

// noWayRetryAfter is the Retry-After of a request for which there is no way. Lost links are tested
// every 500 ms.
const noWayRetryAfter = 500 * time.Millisecond

// defaultConnectTimeout limits a connect if the Client sets no time.
const defaultConnectTimeout = time.Second

// Connect opens a connection to the server at a host:port address. timeout limits a direct connect;
// 0 selects the default. through is the peer instance through which the connection leads; empty for
// a direct one.
func (c *Client) Connect(ctx context.Context, server fleet.ServerID, addr string, timeout time.Duration) (nc net.Conn, through fleet.InstanceID, err error) {
	direct := func(ctx context.Context) (net.Conn, error) {
		return c.ConnectDirect(ctx, addr, timeout, c.Descriptors, c.freeDescriptor)
	}
	if c.Links == nil {
		nc, err = direct(ctx)
		return nc, "", err
	}
	return c.Links.Connect(ctx, server, addr, direct)
}

// ConnectDirect opens a connection to a host:port address with the client's TCP options. It takes a
// descriptor of share, which relieve may free.
func (c *Client) ConnectDirect(ctx context.Context, addr string, timeout time.Duration, share *budget.Share, relieve func() bool) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}
	if d.Timeout == 0 {
		d.Timeout = defaultConnectTimeout
	}
	if c.KeepAlive != nil {
		d.KeepAliveConfig = *c.KeepAlive
	}
	if c.UserTimeout > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error { return sockets.SetUserTimeout(raw, c.UserTimeout) }
	}
	return sockets.Dial(share, relieve, func() (net.Conn, error) {
		nc, err := d.DialContext(ctx, "tcp", addr)
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetReadBuffer(budget.ReceiveBuffer) // fails for a closed connection, which the write tells
		}
		return nc, err
	})
}

// CloseUnusable closes the idle connections that Links does not let carry another request.
func (c *Client) CloseUnusable() {
	c.hosts.Range(func(_, v any) bool {
		h := v.(*host)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.idle = slices.DeleteFunc(h.idle, func(cn *conn) bool {
			if cn.mayReuse() {
				return false
			}
			_ = cn.Conn.Close()
			return true
		})
		return true
	})
}

// leadsTo makes an idle connection to an address that of a server, which may have taken the address
// over. A peer connected to the server that it was asked for.
func (c *conn) leadsTo(server fleet.ServerID) bool {
	if c.through == "" {
		c.server = server
	}
	return c.server == server
}

// mayReuse reports whether the state of the link allows another request on the connection.
func (c *conn) mayReuse() bool {
	l := c.client.Links
	return l == nil || l.Reusable(c.server, c.through, c.idleSince)
}

// linkWatchInterval is the interval at which a stream that can be resumed looks whether its link is
// lost. Callers give a stream up after 2 s without an event.
const linkWatchInterval = 100 * time.Millisecond

// nextCheck returns when to look at a connection on which no bytes arrive.
func (c *conn) nextCheck() time.Time {
	next := c.monitor.NextCheck()
	if c.watchLink && c.through == "" && c.client.Links != nil {
		if at := time.Now().Add(linkWatchInterval); at.Before(next) {
			return at
		}
	}
	return next
}

func (c *conn) isOnSilentLink() bool {
	l := c.client.Links
	return c.watchLink && c.through == "" && l != nil && l.IsSilent(c.server, c.monitor.LastBytes())
}

func (c *conn) onSent() {
	if l := c.client.Links; l != nil && c.through == "" {
		l.OnSent(time.Now())
	}
}

func (c *conn) onHeard(now time.Time) {
	l := c.client.Links
	if l == nil || c.through != "" {
		return
	}
	l.OnHeard(now)
	if !c.answered {
		c.answered = true
		l.OnAnswered(now, c.opened, c.server)
	}
}

// onBroken reports a failed direct connection. A server may end connections in order, and the
// instance closes those of requests that were cancelled.
func (c *conn) onBroken(err error) {
	if l := c.client.Links; l != nil && c.through == "" && err != io.EOF && !errors.Is(err, net.ErrClosed) {
		l.OnBroken(time.Now(), c.server)
	}
}
