package httpapi

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/core/result"
)

// callerListener limits the number of caller connections, in total and per address,
// and watches the accepted ones for disconnects.
type callerListener struct {
	*sockets.Listener
	limits      Limits
	disconnects *disconnectWatcher

	mu    sync.Mutex
	open  int
	perIP map[netip.Addr]int
}

func newCallerListener(ln net.Listener, l Limits, log *zap.Logger) (*callerListener, error) {
	w, err := newDisconnectWatcher()
	if err != nil {
		return nil, err
	}
	accepting := &sockets.Listener{Listener: ln, Share: l.Descriptors, Relieve: l.Relieve, Full: refuseConnection, Log: log}
	return &callerListener{Listener: accepting, limits: l, disconnects: w, perIP: map[netip.Addr]int{}}, nil
}

func (l *callerListener) stop() { l.disconnects.stop() }

// refusalWriteTimeout limits writing the refusal to a connection over the limit.
const refusalWriteTimeout = 100 * time.Millisecond

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: nc, l: l}
		if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
			c.ip = a.AddrPort().Addr()
		}
		if !l.acquireSlot(c.ip) {
			refuseConnection(nc)
			continue
		}
		l.disconnects.add(c)
		return c, nil
	}
}

func (l *callerListener) acquireSlot(ip netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	perIP := l.limits.MaxConnectionsPerIP
	if l.limits.MaxConnections > 0 && l.open >= l.limits.MaxConnections || perIP > 0 && l.perIP[ip] >= perIP {
		return false
	}
	l.open++
	l.perIP[ip]++
	return true
}

func (l *callerListener) releaseSlot(ip netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if l.perIP[ip]--; l.perIP[ip] == 0 {
		delete(l.perIP, ip)
	}
}

func refuseConnection(c net.Conn) {
	body := encodeError(result.New(result.ConnectionLimit, "too many open connections").WithRetryAfter(time.Second))
	_ = c.SetDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = c.Close()
}

// callerConn is a connection of a caller. Embedding the net.Conn interface hides
// ReadFrom, so that each write gets its own deadline.
type callerConn struct {
	net.Conn
	l  *callerListener
	ip netip.Addr
	id uint64
	// evicted is set if the connection was closed for being idle before the request that is
	// being served was read. It belongs to the goroutine that serves the connection.
	evicted bool
	room    bodyRoom

	mu           sync.Mutex
	disconnected bool
	closed       bool
	cancel       context.CancelFunc
}

// Write implements net.Conn. It sets a deadline for each write, because one deadline for
// the whole response would cut off long streams to callers that read fast enough.
func (c *callerConn) Write(b []byte) (int, error) {
	if d := c.l.limits.WriteTimeout; d > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		if c.room.refused.Load() {
			c.linger()
		}
		c.l.disconnects.remove(c)
		c.l.releaseSlot(c.ip)
	}
	return c.Conn.Close()
}

// trackCaller tells the listener whether the connection waits for a request, and gives the
// memory of the last request's body back.
func trackCaller(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive, fasthttp.StateIdle:
		c.releaseRoom()
		if accepted, ok := c.Conn.(*sockets.Conn); ok {
			c.evicted = !accepted.SetIdle(state == fasthttp.StateIdle)
		}
	case fasthttp.StateClosed:
		c.releaseRoom()
	}
}

// setOnDisconnect sets the function to call when the caller disconnects. It is called
// immediately if the caller has already disconnected; nil removes it.
func (c *callerConn) setOnDisconnect(cancel context.CancelFunc) {
	c.mu.Lock()
	c.cancel = cancel
	disconnected := c.disconnected
	c.mu.Unlock()
	if disconnected && cancel != nil {
		cancel()
	}
}

// handleDisconnect is called when the caller has closed its side of the connection.
func (c *callerConn) handleDisconnect() {
	c.mu.Lock()
	c.disconnected = true
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
