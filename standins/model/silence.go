package model

import (
	"net"
	"sync/atomic"
)

// blackholeListener numbers connections, so that those up to a number can go
// silent as if their packets were lost.
type blackholeListener struct {
	net.Listener
	accepted, blackholedUpTo atomic.Int64
}

// Accept implements net.Listener.
func (l *blackholeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &blackholeConn{Conn: c, l: l, number: l.accepted.Add(1)}, nil
}

type blackholeConn struct {
	net.Conn
	l      *blackholeListener
	number int64
}

func (c *blackholeConn) blackholed() bool { return c.number <= c.l.blackholedUpTo.Load() }

// Read implements net.Conn; a silent connection loses what arrives.
func (c *blackholeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.blackholed() {
			return n, err
		}
	}
}

// Write implements net.Conn; a silent connection loses what is sent.
func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.blackholed() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
