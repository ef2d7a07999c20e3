package httpapi

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"cyclamenhitch/core/result"
)

// callerListener bounds caller connections in total and for each address, and
// watches the accepted ones for callers that hang up.
type callerListener struct {
	net.Listener
	limits      Limits
	disconnects *disconnectWatcher

	mu    sync.Mutex
	open  int
	perIP map[netip.Addr]int
}

func newCallerListener(ln net.Listener, l Limits) (*callerListener, error) {
	h, err := newDisconnectWatcher()
	if err != nil {
		return nil, err
	}
	return &callerListener{Listener: ln, limits: l, disconnects: h, perIP: map[netip.Addr]int{}}, nil
}

func (l *callerListener) stop() { l.disconnects.stop() }

// refusalWriteTimeout bounds the write of a refusal to a new connection.
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
	if l.open >= l.limits.MaxConnections || perIP > 0 && l.perIP[ip] >= perIP {
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

// callerConn is one connection of a caller. Embedding the interface hides
// ReadFrom, so that each write has its own deadline.
type callerConn struct {
	net.Conn
	l  *callerListener
	ip netip.Addr
	id uint64

	mu           sync.Mutex
	disconnected bool
	closed       bool
	cancel       context.CancelFunc
}

// Write bounds each write by itself: one deadline for the whole answer would
// cut long streams to callers that read well.
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
		c.l.disconnects.remove(c)
		c.l.releaseSlot(c.ip)
	}
	return c.Conn.Close()
}

// setOnDisconnect sets what to call when the caller closes the connection. It is
// called at once when that has already happened; nil ends the watch.
func (c *callerConn) setOnDisconnect(cancel context.CancelFunc) {
	c.mu.Lock()
	c.cancel = cancel
	gone := c.disconnected
	c.mu.Unlock()
	if gone && cancel != nil {
		cancel()
	}
}

// handleDisconnect is called when the caller has closed its side.
func (c *callerConn) handleDisconnect() {
	c.mu.Lock()
	c.disconnected = true
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
