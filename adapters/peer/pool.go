package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// maxIdleConns bounds the idle connections to one instance.
	maxIdleConns = 4
	// idleTimeout closes idle connections; the server does so a minute later. At
	// target size two instances call each other every 34 s in the mean, so that
	// after one minute a sixth of the calls would open a connection, with a TLS
	// handshake of some KB.
	idleTimeout       = 4 * time.Minute
	serverIdleTimeout = idleTimeout + time.Minute
)

// noKeepAliveListener accepts connections without TCP keep-alive. Its probes each 15 s
// on the connections to all instances would take several KB/s. Calls have
// deadlines, a failed one closes the idle connections to its address, and both
// sides close connections that stay idle.
type noKeepAliveListener struct{ net.Listener }

// Accept implements net.Listener.
func (l noKeepAliveListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetKeepAlive(false)
	}
	return c, err
}

// pool holds the idle connections to other instances.
type pool struct {
	tls TLS

	mu    sync.Mutex
	idle  map[string][]*conn // by address, the least recently used first
	timer *time.Timer
}

type conn struct {
	net.Conn
	addr      string
	raw       syscall.RawConn
	idleSince time.Time // idle

	peeked  int
	peekErr error
	peekBuf [1]byte
}

// acquire returns an idle connection or opens one.
func (p *pool) acquire(ctx context.Context, addr string) (*conn, error) {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		n := len(list)
		if n == 0 {
			p.mu.Unlock()
			return p.open(ctx, addr)
		}
		cn := list[n-1]
		list[n-1], p.idle[addr] = nil, list[:n-1]
		p.mu.Unlock()
		if cn.isReusable() {
			return cn, nil
		}
		_ = cn.Close()
	}
}

func (p *pool) open(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: nc, addr: addr}
	if sc, ok := nc.(syscall.Conn); ok {
		if cn.raw, err = sc.SyscallConn(); err != nil {
			cn.raw = nil
		}
	}
	if p.tls != nil {
		tc := tls.Client(nc, p.tls.Client())
		if err := tc.HandshakeContext(ctx); err != nil {
			_ = nc.Close()
			return nil, err
		}
		cn.Conn = tc
	}
	return cn, nil
}

// isReusable says that an idle connection is open and holds no unread bytes. A peer
// that restarted has closed it, and a call on it would fail.
func (c *conn) isReusable() bool {
	if c.raw == nil || c.SetDeadline(time.Time{}) != nil || c.raw.Read(c.peek) != nil {
		return false
	}
	return c.peeked < 0 && c.peekErr == syscall.EAGAIN
}

func (c *conn) peek(fd uintptr) bool {
	c.peeked, _, c.peekErr = syscall.Recvfrom(int(fd), c.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return true
}

// release keeps the connection for a later call.
func (p *pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	list := p.idle[c.addr]
	if len(list) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
	if p.timer == nil {
		p.timer = time.AfterFunc(idleTimeout/2, p.prune)
	}
}

// drop closes the idle connections to an address. After a call without an answer
// they may be silent too.
func (p *pool) drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// prune closes connections that were idle for too long.
func (p *pool) prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Now().Add(-idleTimeout)
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && list[n].idleSince.Before(oldest) {
			_ = list[n].Close()
			n++
		}
		if n == len(list) {
			delete(p.idle, addr)
		} else if n > 0 {
			p.idle[addr] = append(list[:0:0], list[n:]...)
		}
	}
	p.timer = nil
	if len(p.idle) > 0 {
		p.timer = time.AfterFunc(idleTimeout/2, p.prune)
	}
}
