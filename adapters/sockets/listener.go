package sockets

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/budget"
)

const (
	// shortagePause is the time between attempts to accept while descriptors are short.
	shortagePause = 10 * time.Millisecond
	// fullWait limits how long a connection waits for a descriptor of its share.
	fullWait = 500 * time.Millisecond
	// logInterval is the shortest time between two log lines of one listener.
	logInterval = 5 * time.Second
)

// Listener accepts connections within a share of the budget. Without a free descriptor it
// closes the connection that has been idle for longest. Only the end of the listener ends
// Accept with an error: a shortage or an aborted connection does not.
type Listener struct {
	net.Listener
	Share *budget.Share
	// Relieve closes an idle connection elsewhere when none of this listener is idle and the
	// kernel or others that use the same part of the budget leave no descriptor. It reports
	// whether it did, and may be nil.
	Relieve func() bool
	// Full, unless nil, answers a connection for which no descriptor is free, and closes it.
	// Without it a connection waits for up to fullWait and is closed then.
	Full func(net.Conn)
	Log  *zap.Logger

	mu     sync.Mutex
	idle   list.List // of *Conn, longest idle first
	logged time.Time
	closed bool
}

// Accept implements net.Listener. The kernel keeps at most budget.UnreadBytes of what a client
// sends and little more than budget.UnsentBytes of what it does not read.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.limitBuffers(nc)
			if c := l.admit(nc); c != nil {
				return c, nil
			}
		case isShortage(err):
			l.report("accepting pauses", err)
			if !l.CloseOldestIdle() && l.Relieve != nil {
				l.Relieve()
			}
			time.Sleep(shortagePause)
		case isTemporary(err):
			l.report("a connection could not be accepted", err)
			time.Sleep(shortagePause)
		default:
			return nil, err
		}
	}
}

// limitBuffers limits the kernel's buffers of an accepted connection.
func (l *Listener) limitBuffers(nc net.Conn) {
	var err error
	if b, ok := nc.(interface{ SetReadBuffer(bytes int) error }); ok {
		err = b.SetReadBuffer(budget.ReceiveBuffer)
	}
	if raw, rerr := rawConn(nc); rerr == nil {
		err = errors.Join(err, limitUnsent(raw, budget.UnsentBytes))
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.warn("the kernel's buffers of a connection cannot be limited", zap.Error(err))
	}
}

// isTemporary reports whether accept may succeed when it is called again.
func isTemporary(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	for _, e := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.EPROTO, syscall.EPERM,
		syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ETIMEDOUT,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	return l.Listener.Close()
}

// admit takes a descriptor for nc, or returns nil and closes nc.
func (l *Listener) admit(nc net.Conn) *Conn {
	taken := l.Share.Take()
	for until := time.Now().Add(fullWait); !taken; taken = l.Share.Take() {
		if l.CloseOldestIdle() || l.Relieve != nil && !l.Share.IsFull() && l.Relieve() {
			continue
		}
		if l.Full != nil {
			l.report("a connection is refused", nil)
			l.Full(nc)
			return nil
		}
		if l.isClosed() || time.Now().After(until) {
			l.report("a connection is closed", nil)
			_ = nc.Close()
			return nil
		}
		time.Sleep(shortagePause)
	}
	c := &Conn{Conn: nc, l: l, share: l.Share}
	c.SetIdle(true)
	return c
}

func (l *Listener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// CloseOldestIdle closes the connection that has been idle for longest. It reports false if
// none is idle.
func (l *Listener) CloseOldestIdle() bool {
	l.mu.Lock()
	front := l.idle.Front()
	if front == nil {
		l.mu.Unlock()
		return false
	}
	c := front.Value.(*Conn)
	l.idle.Remove(front)
	c.place, c.evicted = nil, true
	l.mu.Unlock()
	l.report("the longest idle connection is closed", nil)
	_ = c.Close()
	return true
}

// report logs a shortage of descriptors.
func (l *Listener) report(what string, err error) {
	fields := []zap.Field{zap.String(logging.FieldReason, what)}
	if l.Share != nil {
		fields = append(fields, zap.String("share", l.Share.Name), zap.Int64("limit", l.Share.Limit()), zap.Int64("used", l.Share.Used()))
	}
	l.warn("descriptors are short", append(fields, zap.Error(err))...)
}

// warn writes a log line, at most one in each logInterval.
func (l *Listener) warn(msg string, fields ...zap.Field) {
	if l.Log == nil {
		return
	}
	l.mu.Lock()
	due := time.Since(l.logged) >= logInterval
	if due {
		l.logged = time.Now()
	}
	l.mu.Unlock()
	if due {
		l.Log.Warn(msg, fields...)
	}
}

// TrackIdle tells a connection of a Listener its state. It is a ConnState of fasthttp.Server.
func TrackIdle(nc net.Conn, state fasthttp.ConnState) {
	if c, ok := nc.(*Conn); ok && (state == fasthttp.StateActive || state == fasthttp.StateIdle) {
		c.SetIdle(state == fasthttp.StateIdle)
	}
}

// Conn is an accepted connection. It is idle until SetIdle tells otherwise.
type Conn struct {
	net.Conn
	l *Listener

	// Under the listener's lock.
	place   *list.Element
	evicted bool
	closed  bool
	share   *budget.Share
}

// MoveTo makes the connection take its descriptor of another share. It reports false, and changes
// nothing, if that share has none left or the connection is closed.
func (c *Conn) MoveTo(share *budget.Share) bool {
	if !share.Take() {
		return false
	}
	c.l.mu.Lock()
	from := c.share
	if c.closed {
		from = share
	} else {
		c.share = share
	}
	c.l.mu.Unlock()
	from.Give()
	return from != share
}

// SetIdle tells whether the connection waits for a request. It reports false if the
// connection was closed for being idle, so that a request that crossed the close must not
// be passed on.
func (c *Conn) SetIdle(idle bool) bool {
	l := c.l
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case idle && c.place == nil && !c.evicted && !c.closed:
		c.place = l.idle.PushBack(c)
	case !idle && c.place != nil:
		l.idle.Remove(c.place)
		c.place = nil
	}
	return !c.evicted
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.l.mu.Lock()
	first := !c.closed
	c.closed = true
	if c.place != nil {
		c.l.idle.Remove(c.place)
		c.place = nil
	}
	share := c.share
	c.l.mu.Unlock()
	err := c.Conn.Close()
	if first {
		share.Give()
	}
	return err
}

// CloseWrite ends the sending side of the connection.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetWriteBuffer sets the size of the kernel's buffer for sent data, in bytes.
func (c *Conn) SetWriteBuffer(bytes int) error {
	if b, ok := c.Conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		return b.SetWriteBuffer(bytes)
	}
	return errors.ErrUnsupported
}

// SetReadBuffer sets the size of the kernel's buffer for received data, in bytes.
func (c *Conn) SetReadBuffer(bytes int) error {
	if b, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		return b.SetReadBuffer(bytes)
	}
	return errors.ErrUnsupported
}

// SetUnsentLimit limits the bytes that the kernel takes and cannot send yet.
func (c *Conn) SetUnsentLimit(bytes int) error {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return err
	}
	return limitUnsent(raw, bytes)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }
