package engine

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cyclamenhitch/adapters/fieldname"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/liveness"
	"cyclamenhitch/core/result"
)

const (
	// readBufferBytes is the size of the read buffer of a connection. The response
	// header must fit into it, and it limits the memory of a stream.
	readBufferBytes = 4096
	// maxIdle limits the idle connections to one address.
	maxIdle = 256
	// maxIdleTime is the time after which idle connections are closed. Servers commonly
	// close them after 60 s or more, and the router must close first.
	maxIdleTime = 30 * time.Second
	// maxTunnelIdleTime is the same for connections through a peer, which take descriptors and
	// memory of the peer that serves callers of its own.
	maxTunnelIdleTime = 2 * time.Second
	// minPruneInterval limits how often the idle connections to one address are looked through.
	minPruneInterval = 500 * time.Millisecond
	// writeTimeout limits sending one request.
	writeTimeout = 10 * time.Second
)

// host holds the idle connections to one address.
type host struct {
	addr string
	// sendsKeepAlive is set once the server has sent a keep-alive comment in a stream.
	sendsKeepAlive atomic.Bool
	// omitsLengths is set once the server has sent a response without a length.
	omitsLengths atomic.Bool

	mu    sync.Mutex
	idle  []*conn
	epoch uint64 // incremented when the idle connections are closed
	lost  uint64 // connections of an earlier epoch are suspect
	// timer prunes the idle connections at pruneAt; nil if none is set.
	timer   *time.Timer
	pruneAt time.Time
	// reportCall is the latest call for the server's report.
	reportCall *reportCall
	// reportedStart is the start that the latest report stated, in Unix ms; 0 if none did.
	reportedStart atomic.Int64
}

// conn is a connection to a backend server. It carries one exchange at a time.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	br     *bufio.Reader
	client *Client
	host   *host
	epoch  uint64
	// server is the one that the connection leads to, through a peer instance unless through is empty.
	server  fleet.ServerID
	through fleet.InstanceID
	// opened is when the connection was opened, answered whether any byte was received on it.
	opened   time.Time
	answered bool
	// used is set once the connection has carried an exchange.
	used      bool
	idleSince time.Time
	idleLimit time.Duration

	// State of the current exchange.
	monitor liveness.Monitor
	action  liveness.Action
	wrote   bool
	// watchLink is set if the exchange can go on elsewhere once the link is known as lost.
	watchLink bool
	// endedEarly is set if the server ended its output before the request was sent.
	endedEarly bool

	// names checks the header of the response while it is read.
	names fieldname.Scanner

	// readBudget is how many more bytes the server may send before the response must
	// make progress.
	readBudget int

	peekedBytes int // result of the last peek at unread bytes
	peekErr     error
	peekBuf     [1]byte
}

// keepAlive detects idle connections whose packets are lost. The interval is far above
// the latency of a data centre that is 1 ms away.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 3 * time.Second, Count: 3}

// acquire returns an idle connection to a server or opens a new one, always a new one if fresh
// is set. An error means that no byte of the request was sent.
func (c *Client) acquire(ctx context.Context, server fleet.ServerID, addr string, fresh bool) (*conn, error) {
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
		if time.Since(cn.idleSince) < cn.idleLimit && time.Now().Before(cn.closeAt()) && cn.leadsTo(server) && cn.mayReuse() && cn.isReusable() {
			return cn, nil
		}
		_ = cn.Conn.Close()
	}
	nc, through, err := c.Connect(ctx, server, addr, c.ConnectTimeout)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	cn := &conn{Conn: nc, client: c, host: h, epoch: h.epoch, server: server, through: through, opened: time.Now()}
	h.mu.Unlock()
	if sc, ok := nc.(syscall.Conn); ok {
		if cn.raw, err = sc.SyscallConn(); err != nil {
			cn.raw = nil
		}
	}
	cn.br = bufio.NewReaderSize(cn, readBufferBytes)
	return cn, nil
}

func (c *Client) freeDescriptor() bool {
	if c.Relieve != nil && !c.Descriptors.IsFull() && c.Relieve() {
		return true
	}
	return c.CloseOldestIdle()
}

// CloseOldestIdle closes the connection to any server that has been idle for longest. It
// reports false if none is idle.
func (c *Client) CloseOldestIdle() bool {
	var oldest *host
	var since time.Time
	c.hosts.Range(func(_, v any) bool {
		h := v.(*host)
		h.mu.Lock()
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleSince.Before(since)) {
			oldest, since = h, h.idle[0].idleSince
		}
		h.mu.Unlock()
		return true
	})
	if oldest == nil {
		return false
	}
	oldest.mu.Lock()
	defer oldest.mu.Unlock()
	if len(oldest.idle) == 0 { // taken meanwhile
		return false
	}
	_ = oldest.idle[0].Conn.Close()
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

func (c *Client) host(addr string) *host {
	if h, ok := c.hosts.Load(addr); ok {
		return h.(*host)
	}
	h, _ := c.hosts.LoadOrStore(addr, &host{addr: addr})
	return h.(*host)
}

// isReusable reports whether an idle connection is open and has no unread bytes. Bytes
// that follow an earlier response would be read as the response to the next request.
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

// release returns the connection to the pool.
func (c *conn) release() {
	c.used, c.wrote, c.endedEarly, c.watchLink, c.action = true, false, false, false, liveness.Wait
	c.idleSince = time.Now()
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.epoch != h.epoch || len(h.idle) >= c.client.maxIdle() || !c.mayReuse() {
		_ = c.Conn.Close()
		return
	}
	h.idle = append(h.idle, c)
	h.schedulePrune(c.closeAt())
}

// closeAt returns when an idle connection is closed at the latest.
func (c *conn) closeAt() time.Time {
	if c.through != "" {
		return c.idleSince.Add(maxTunnelIdleTime)
	}
	return c.idleSince.Add(maxIdleTime)
}

// schedulePrune has the idle connections pruned at a time or earlier. The caller holds mu.
func (h *host) schedulePrune(at time.Time) {
	if h.timer != nil {
		if !at.Before(h.pruneAt) {
			return
		}
		h.timer.Stop()
	}
	h.pruneAt = at
	h.timer = time.AfterFunc(time.Until(at), h.prune)
}

// prune closes connections that have been idle for maxIdleTime, or maxTunnelIdleTime through a peer.
func (h *host) prune() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	kept := h.idle[:0:0]
	var next time.Time
	for _, c := range h.idle {
		at := c.closeAt()
		if !now.Before(at) {
			_ = c.Conn.Close()
			continue
		}
		kept = append(kept, c)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	h.idle = kept
	h.timer = nil
	if len(kept) > 0 {
		h.schedulePrune(later(next, now.Add(minPruneInterval)))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// dropIdle closes the idle connections and prevents active ones from being reused after
// their exchange. It is called when a connection to the address has gone silent, because
// others that use the same network path may be silent too. lost reports that the
// server's keep-alive comments stopped, which rules out that it was just slow.
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

// Write implements net.Conn and records whether any byte of the request may have been
// sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 && !c.wrote {
		c.wrote = true
		c.onSent()
	}
	if err != nil {
		c.onBroken(err)
	}
	return n, err
}

// Read implements net.Conn. It reports a timeout only when the monitor gives the
// connection up, so that a parser never loses the bytes of a slow response.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if err := c.Conn.SetReadDeadline(c.nextCheck()); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 {
			if c.readBudget -= n; c.readBudget < 0 {
				return 0, errReadBudget
			}
			c.names.Scan(b[:n])
			now := time.Now()
			c.monitor.OnBytes(now)
			c.onHeard(now)
			return n, err
		}
		// ETIMEDOUT, the end of a connection whose host fell silent, is a timeout of package net
		// too. The read after it returns the end of the connection.
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.onBroken(err)
			return n, err
		}
		if v := c.onReadTimeout(); v != liveness.Wait {
			c.action = v
			if v != liveness.Expire {
				c.onBroken(errSilent)
			}
			return 0, errSilent
		}
	}
}

// Reasons for giving a connection up, which readError maps to the request's error.
var (
	errSilent     = result.New(result.ConnectionSilent, "no bytes received within the time limit")
	errReadBudget = result.New(result.AnswerInvalid, "more bytes than a response may have")
)

// onReadTimeout decides what to do with a connection that received no bytes. It probes
// the server when a probe is due.
func (c *conn) onReadTimeout() liveness.Action {
	if c.isOnSilentLink() {
		c.client.SilentConnections.Add(1)
		return liveness.Resume
	}
	v := c.monitor.OnIdle(time.Now())
	if v == liveness.Probe {
		known, alive := c.client.Probe(c.server, c.host.addr)
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
