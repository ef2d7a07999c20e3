package tunnel

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// conn is the instance's end of a tunnel.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	written atomic.Int64

	mu     sync.Mutex
	frames decoder
	// early holds frames that came with the header of the response.
	early []byte
	// err is the error of all further reads.
	err error
}

var (
	_ syscall.Conn = (*conn)(nil)

	errServerReset = errors.New("the server's connection failed")
	errEndedEarly  = errors.New("the server ended its output before it had received everything")
	errBadFrame    = errors.New("invalid frame")
	errPeerEnded   = errors.New("the peer's connection ended without an end frame")
	errUnread      = errors.New("the tunnel holds unread frames")
)

// lostError is the error of reads from a tunnel that did not end in order. It is no timeout,
// also if the cause is one of the kernel's: such a connection delivers nothing more.
type lostError struct{ cause error }

func (e *lostError) Error() string   { return "tunnel lost: " + e.cause.Error() }
func (e *lostError) Unwrap() []error { return []error{syscall.ECONNRESET, e.cause} }
func (e *lostError) Timeout() bool   { return false }
func (e *lostError) Temporary() bool { return false }

// IsServerEnd reports whether a tunnel failed because the server's connection did, and not that to
// the peer.
func IsServerEnd(err error) bool {
	return errors.Is(err, errServerReset) || errors.Is(err, errEndedEarly)
}

func newConn(nc net.Conn, early []byte) (*conn, error) {
	c := &conn{Conn: nc, early: early}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	var err error
	c.raw, err = sc.SyscallConn()
	return c, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Read implements net.Conn. A read that ends at the deadline loses nothing.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(b) > 0 {
		if c.err != nil {
			return 0, c.err
		}
		n, err := c.readFrames(b)
		n = c.frames.decode(b[:n])
		switch {
		case c.frames.ended != 0:
			c.err = c.endError()
		case errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case errors.Is(err, net.ErrClosed):
			c.err = err
		case err == io.EOF:
			c.err = &lostError{errPeerEnded}
		case err != nil:
			c.err = &lostError{err}
		}
		if n > 0 {
			return n, nil
		}
	}
	return 0, nil
}

// readFrames reads frames into b, without a buffer of its own: what has arrived and is not read
// is unread at the socket too.
func (c *conn) readFrames(b []byte) (int, error) {
	if len(c.early) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.early)
	if c.early = c.early[n:]; len(c.early) == 0 {
		c.early = nil
	}
	return n, nil
}

// endError returns the error for the last frame.
func (c *conn) endError() error {
	switch written := c.written.Load(); {
	case c.frames.ended == frameReset:
		return &lostError{errServerReset}
	case c.frames.ended != frameEnd:
		return &lostError{errBadFrame}
	case written > c.frames.delivered:
		return &lostError{fmt.Errorf("%w: %d of %d bytes", errEndedEarly, c.frames.delivered, written)}
	}
	return io.EOF
}

// SyscallConn implements syscall.Conn. Read of the returned connection fails while the tunnel
// holds a part of what the peer sent, so that it doesn't pass for one that has nothing unread.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return rawConn{c.raw, c}, nil }

type rawConn struct {
	syscall.RawConn
	c *conn
}

// Read implements syscall.RawConn.
func (r rawConn) Read(f func(fd uintptr) (done bool)) error {
	r.c.mu.Lock()
	unread := len(r.c.early) > 0 || r.c.err != nil || !r.c.frames.isBetweenFrames()
	r.c.mu.Unlock()
	if unread {
		return errUnread
	}
	return r.RawConn.Read(f)
}
