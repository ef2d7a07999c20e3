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
	// maxIdle bounds the idle connections to one instance.
	maxIdle = 4
	// idleTime closes idle connections before the server does (2 minutes).
	idleTime = time.Minute
)

// pool holds the idle connections to other instances.
type pool struct {
	tls TLS

	mu    sync.Mutex
	idle  map[string][]*conn // by address, the least recently used first
	timer *time.Timer
}

type conn struct {
	net.Conn
	addr  string
	raw   syscall.RawConn
	since time.Time // idle

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
		if cn.clean() {
			return cn, nil
		}
		_ = cn.Close()
	}
}

func (p *pool) open(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: time.Second}
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

// clean says that an idle connection is open and holds no unread bytes. A peer
// that restarted has closed it, and a call on it would fail.
func (c *conn) clean() bool {
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
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	list := p.idle[c.addr]
	if len(list) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
	if p.timer == nil {
		p.timer = time.AfterFunc(idleTime/2, p.prune)
	}
}

// prune closes connections that were idle for too long.
func (p *pool) prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Now().Add(-idleTime)
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && list[n].since.Before(oldest) {
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
		p.timer = time.AfterFunc(idleTime/2, p.prune)
	}
}
