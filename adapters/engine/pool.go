package engine

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cyclamenhitch/core/liveness"
	"cyclamenhitch/core/result"
)

const (
	// readBufferBytes is the size of the read buffer of a connection, in bytes. An
	// answer's header must fit; it bounds the memory of a stream.
	readBufferBytes = 4096
	// maxIdle bounds the idle connections to one address.
	maxIdle = 256
	// maxIdleTime closes idle connections. Servers commonly close after 60 s or
	// more, and the router must close first.
	maxIdleTime = 30 * time.Second
	// writeTimeout bounds sending one request.
	writeTimeout = 10 * time.Second
)

// host holds the idle connections to one address.
type host struct {
	addr string
	// sendsKeepAlive is set once the server has sent a keep-alive comment.
	sendsKeepAlive atomic.Bool

	mu    sync.Mutex
	idle  []*conn
	epoch uint64 // grows when the idle connections are dropped
	lost  uint64 // connections of an earlier epoch than this are suspect
	timer *time.Timer
}

// conn is one connection to a backend server; one exchange uses it at a time.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	br     *bufio.Reader
	client *Client
	host   *host
	epoch  uint64
	// used says that the connection has carried an earlier exchange.
	used      bool
	idleSince time.Time
	idleLimit time.Duration

	// State of the running exchange.
	monitor liveness.Monitor
	action  liveness.Action
	wrote   bool

	// readBudget is how many more bytes the server may send before it makes progress.
	readBudget int

	peekedBytes int // result of the last look at unread bytes
	peekErr     error
	peekBuf     [1]byte
}

// keepAlive finds connections whose packets are lost while nothing is sent.
// A data centre that is 1 ms away answers within one interval.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 3 * time.Second, Count: 3}

// acquire returns an idle connection or opens one. An error means that no byte
// of the request was sent.
func (c *Client) acquire(ctx context.Context, addr string, fresh bool) (*conn, error) {
	h := c.host(addr)
	for !fresh {
		h.mu.Lock()
		n := len(h.idle)
		if n == 0 {
			h.mu.Unlock()
			break
		}
		cn := h.idle[n-1]
		h.idle[n-1], h.idle = nil, h.idle[:n-1]
		h.mu.Unlock()
		if time.Since(cn.idleSince) < cn.idleLimit && cn.isReusable() {
			return cn, nil
		}
		_ = cn.Conn.Close()
	}
	timeout := c.ConnectTimeout
	if timeout == 0 {
		timeout = time.Second
	}
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}
	if c.KeepAlive != nil {
		d.KeepAliveConfig = *c.KeepAlive
	}
	if c.UserTimeout > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, c.UserTimeout) }
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	cn := &conn{Conn: nc, client: c, host: h, epoch: h.epoch}
	h.mu.Unlock()
	if sc, ok := nc.(syscall.Conn); ok {
		if cn.raw, err = sc.SyscallConn(); err != nil {
			cn.raw = nil
		}
	}
	cn.br = bufio.NewReaderSize(cn, readBufferBytes)
	return cn, nil
}

func (c *Client) host(addr string) *host {
	if h, ok := c.hosts.Load(addr); ok {
		return h.(*host)
	}
	h, _ := c.hosts.LoadOrStore(addr, &host{addr: addr})
	return h.(*host)
}

// isReusable says that an idle connection is open and holds no unread bytes. Bytes
// that follow an earlier answer would be read as the answer to this request.
func (c *conn) isReusable() bool {
	if c.raw == nil || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	if err := c.raw.Read(c.peek); err != nil {
		return false
	}
	return c.peekedBytes < 0 && c.peekErr == syscall.EAGAIN
}

func (c *conn) peek(fd uintptr) bool {
	c.peekedBytes, _, c.peekErr = syscall.Recvfrom(int(fd), c.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return true
}

func (c *Client) maxIdle() int {
	if n := int(c.MaxIdle.Load()); n > 0 {
		return n
	}
	return maxIdle
}

// release keeps the connection for a later exchange.
func (c *conn) release() {
	c.used, c.wrote, c.action = true, false, liveness.Wait
	c.idleSince = time.Now()
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.epoch != h.epoch || len(h.idle) >= c.client.maxIdle() {
		_ = c.Conn.Close()
		return
	}
	h.idle = append(h.idle, c)
	if h.timer == nil {
		h.timer = time.AfterFunc(maxIdleTime, h.prune)
	}
}

// prune closes connections that were idle for too long.
func (h *host) prune() {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := time.Now().Add(-maxIdleTime)
	n := 0
	for n < len(h.idle) && h.idle[n].idleSince.Before(oldest) {
		_ = h.idle[n].Conn.Close()
		n++
	}
	h.idle = append(h.idle[:0:0], h.idle[n:]...)
	h.timer = nil
	if len(h.idle) > 0 {
		h.timer = time.AfterFunc(maxIdleTime/2, h.prune)
	}
}

// dropIdle closes the idle connections, and running ones are not kept after
// their exchange: a connection to the address has gone silent, so others that
// took the same path may be silent too. lost says that the server's keep-alive
// comments stopped, so that it was not just slow.
func (h *host) dropIdle(lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.idle {
		_ = c.Conn.Close()
	}
	h.idle = nil
	h.epoch++
	if lost {
		h.lost = h.epoch
	}
}

func (h *host) isSuspect(c *conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return c.epoch < h.lost
}

// Write notes whether a byte of the request may have left.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wrote = c.wrote || n > 0
	return n, err
}

// Read implements net.Conn. It returns a timeout only when the watch gives the
// connection up, so that a parser never loses the bytes of a slow answer.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if err := c.Conn.SetReadDeadline(c.monitor.NextCheck()); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 {
			if c.readBudget -= n; c.readBudget < 0 {
				return 0, errReadBudget
			}
			c.monitor.OnBytes(time.Now())
			return n, err
		}
		if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
			return n, err
		}
		if v := c.onReadTimeout(); v != liveness.Wait {
			c.action = v
			return 0, errSilent
		}
	}
}

// Reasons to give a connection up; readError makes the error of the request of them.
var (
	errSilent     = result.New(result.ConnectionSilent, "no bytes within the limit")
	errReadBudget = result.New(result.AnswerInvalid, "more bytes than an answer may have")
)

// onReadTimeout decides about a connection without bytes, with a probe when it is due.
func (c *conn) onReadTimeout() liveness.Action {
	v := c.monitor.OnIdle(time.Now())
	if v == liveness.Probe {
		known, alive := c.client.probe(c.host.addr)
		c.monitor.KeepAlive = c.monitor.KeepAlive || c.host.sendsKeepAlive.Load()
		c.monitor.Suspect = c.host.isSuspect(c)
		v = c.monitor.OnProbeResult(time.Now(), known, alive)
	}
	if v == liveness.Drop || v == liveness.Resume {
		c.client.SilentConnections.Add(1)
		c.host.dropIdle(c.monitor.BodyStarted && c.monitor.KeepAlive)
	}
	return v
}
