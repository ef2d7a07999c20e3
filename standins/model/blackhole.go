package model

import (
	"net"
	"sync/atomic"
)

// blackholeListener numbers the connections that it accepts. Traffic on the
// connections up to blackholedUpTo is discarded, as if all packets were lost.
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

// Read implements net.Conn. It discards data received on a blackholed connection.
func (c *blackholeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.blackholed() {
			return n, err
		}
	}
}

// Write implements net.Conn. It discards data written to a blackholed connection.
func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.blackholed() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
