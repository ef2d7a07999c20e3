package model

import (
	"net"
	"sync/atomic"
)

// silenceListener numbers connections, so that those up to a number can go
// silent as if their packets were lost.
type silenceListener struct {
	net.Listener
	accepted, silenced atomic.Int64
}

// Accept implements net.Listener.
func (l *silenceListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silenceConn{Conn: c, l: l, number: l.accepted.Add(1)}, nil
}

type silenceConn struct {
	net.Conn
	l      *silenceListener
	number int64
}

func (c *silenceConn) silent() bool { return c.number <= c.l.silenced.Load() }

// Read implements net.Conn; a silent connection loses what arrives.
func (c *silenceConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write implements net.Conn; a silent connection loses what is sent.
func (c *silenceConn) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
