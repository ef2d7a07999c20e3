package httpapi

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/result"
)

// callerListener limits the number of caller connections, in total and per address,
// and watches the accepted ones for disconnects.
type callerListener struct {
	*sockets.Listener
	srv         *Server
	limits      Limits
	disconnects *disconnectWatcher

	mu    sync.Mutex
	open  map[*callerConn]struct{}
	perIP map[netip.Addr]int
}

func newCallerListener(srv *Server, ln net.Listener, l Limits) (*callerListener, error) {
	w, err := newDisconnectWatcher()
	if err != nil {
		return nil, err
	}
	accepting := &sockets.Listener{Listener: ln, Share: l.Descriptors, Relieve: l.Relieve, Full: refuseConnection, Log: srv.Log}
	return &callerListener{
		Listener: accepting, srv: srv, limits: l, disconnects: w, open: map[*callerConn]struct{}{}, perIP: map[netip.Addr]int{},
	}, nil
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
		c := &callerConn{Conn: nc, l: l, unread: unread{hold: l.limits.Unread.Hold()}}
		if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
			c.ip = a.AddrPort().Addr()
		}
		if !l.acquireSlot(c) {
			refuseConnection(nc)
			continue
		}
		l.disconnects.add(c)
		return c, nil
	}
}

func (l *callerListener) acquireSlot(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	perIP := l.limits.MaxConnectionsPerIP
	if l.limits.MaxConnections > 0 && len(l.open) >= l.limits.MaxConnections || perIP > 0 && l.perIP[c.ip] >= perIP {
		return false
	}
	l.open[c] = struct{}{}
	l.perIP[c.ip]++
	return true
}

func (l *callerListener) releaseSlot(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if l.perIP[c.ip]--; l.perIP[c.ip] == 0 {
		delete(l.perIP, c.ip)
	}
}

// all returns the open connections.
func (l *callerListener) all() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

func refuseConnection(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(refusalWriteTimeout))
	writeConnectionLimit(c)
	_ = c.Close()
}

func writeConnectionLimit(c net.Conn) {
	body := encodeError(result.New(result.ConnectionLimit, "too many open connections").WithRetryAfter(time.Second))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
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
	input
	reading

	mu           sync.Mutex
	disconnected bool
	closed       bool
	cancel       context.CancelFunc
	call         call
	unread       unread
}

// writePieceBytes is the size of one write. The kernel takes about as much for a caller that does
// not read, so that a larger write would have to end within the deadline of one.
const writePieceBytes = budget.UnsentBytes

// Write implements net.Conn. It sets a deadline for each piece, because one deadline for the
// whole response would cut off large ones to callers that read fast enough.
func (c *callerConn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.writePiece(b[written:min(len(b), written+writePieceBytes)])
		if written += n; err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *callerConn) writePiece(b []byte) (int, error) {
	if d := c.l.limits.WriteTimeout; d > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	c.countWritten(n, err)
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		// The call counts as running until its input is discarded.
		switch {
		case c.room.refused.Load():
			c.discardInput(bodyLingerTime)
		case c.isAnswered():
			c.discardInput(lingerTime)
		}
		c.endCall()
		c.l.disconnects.remove(c)
		c.l.releaseSlot(c)
	}
	// Also after a shutdown has closed the connection: a request may have begun since.
	c.endReading()
	return c.Conn.Close()
}

// lingerTime limits how long a connection that was closed after a response is read.
const lingerTime = 500 * time.Millisecond

// discardInput ends the connection's output and reads for a time what the caller has sent after
// its request, or of a body that was refused. The kernel resets a connection that is closed with
// unread input, which loses the part of the response that the caller has not received.
func (c *callerConn) discardInput(limit time.Duration) {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(limit)) != nil {
		return
	}
	discard(c.Conn, lingerBytes)
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
