// Package sockets opens and accepts connections within a budget of descriptors. A
// connection gives its descriptor back when it is closed.
package sockets

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"cyclamenhitch/core/budget"
)

// ErrNoDescriptor is returned by Dial if no descriptor is free.
var ErrNoDescriptor = errors.New("no descriptor is free")

// isShortage reports whether an error of accept or of a dial tells that descriptors or the
// kernel's memory are used up.
func isShortage(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Dial opens a connection with dial, which takes one descriptor of share. If none is free,
// it calls relieve, unless nil, and tries once more if that reports that one was freed. An
// error that wraps ErrNoDescriptor means that no connection was attempted.
func Dial(share *budget.Share, relieve func() bool, dial func() (net.Conn, error)) (net.Conn, error) {
	for retried := false; ; retried = true {
		var cause error
		if share.Take() {
			nc, err := dial()
			if err == nil {
				return &dialed{Conn: nc, share: share}, nil
			}
			share.Give()
			if !isShortage(err) {
				return nil, err
			}
			cause = err
		}
		if retried || relieve == nil || !relieve() {
			return nil, errors.Join(ErrNoDescriptor, cause)
		}
	}
}

// dialed is a connection that gives its descriptor back.
type dialed struct {
	net.Conn
	share  *budget.Share
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *dialed) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.share.Give()
	}
	return err
}

// SyscallConn implements syscall.Conn.
func (c *dialed) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

func rawConn(nc net.Conn) (syscall.RawConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
