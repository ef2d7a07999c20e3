package edge

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/tunnel"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/roster"
)

// carriedConn is a connection to a server through a peer. The kernel of a peer whose process stands
// still acknowledges packets, so that no TCP timeout ends the connection.
type carriedConn struct {
	net.Conn
	links *instanceLinks
	peer  fleet.InstanceID
	lost  atomic.Bool
}

// carriedError is the error of a connection through a peer that failed between the instance and the
// peer. It says nothing about the server.
type carriedError struct{ error }

// Unwrap returns the error of the connection.
func (e *carriedError) Unwrap() error { return e.error }

// isCarrierFault reports whether an attempt ended because the connection to a peer did, or may have
// fallen silent.
func isCarrierFault(err error) bool {
	var ce *carriedError
	return errors.As(err, &ce) || errors.Is(err, engine.ErrSilentTunnel)
}

// carry makes a tunnel known to closeCarried until it is closed.
func (l *instanceLinks) carry(nc net.Conn, peer fleet.InstanceID) net.Conn {
	c := &carriedConn{Conn: nc, links: l, peer: peer}
	l.carried.Store(c, nil)
	return c
}

// closeCarried ends all connections through a peer as a reset does.
func (l *instanceLinks) closeCarried(peer fleet.InstanceID) {
	n := 0
	l.carried.Range(func(k, _ any) bool {
		if c := k.(*carriedConn); c.peer == peer {
			c.lost.Store(true)
			_ = c.Close()
			n++
		}
		return true
	})
	if n > 0 {
		l.log.Warn("connections through a peer closed, it is no longer live or its stop is overdue", zap.String("peer", string(peer)), zap.Int("connections", n))
	}
}

// isUsable reports whether requests may be sent through a peer: it lives and is not leaving.
func (l *instanceLinks) isUsable(peer fleet.InstanceID) bool {
	usable := l.usable.Load()
	return usable != nil && (*usable)[peer]
}

// setPeers takes the live peers, and closes idle connections through others: a peer that leaves
// waits for those that are open. Connections through a peer that fell silent without leaving are
// closed also while they carry a request, as are those through a peer whose stop should have ended.
func (l *instanceLinks) setPeers(live []roster.Peer) {
	if l == nil {
		return
	}
	l.closeOverdue(time.Now(), live)
	usable := make(map[fleet.InstanceID]bool, len(live))
	for _, p := range live {
		usable[p.ID] = !p.Leaving
	}
	old := l.usable.Swap(&usable)
	if old == nil {
		return
	}
	unusable := false
	for id, was := range *old {
		if !was || usable[id] {
			continue
		}
		unusable = true
		if _, lives := usable[id]; !lives {
			l.closeCarried(id)
		}
	}
	if unusable {
		l.client.CloseUnusable()
	}
}

// closeOverdue closes the connections through peers that announced their leaving and have neither
// ended nor returned within peerStopTime.
func (l *instanceLinks) closeOverdue(now time.Time, live []roster.Peer) {
	l.leavingMu.Lock()
	defer l.leavingMu.Unlock()
	for _, p := range live {
		switch _, known := l.leavingSince[p.ID]; {
		case !p.Leaving:
			delete(l.leavingSince, p.ID)
		case !known:
			if l.leavingSince == nil {
				l.leavingSince = map[fleet.InstanceID]time.Time{}
			}
			l.leavingSince[p.ID] = now
		}
	}
	for id, since := range l.leavingSince {
		if now.Sub(since) >= l.peerStopTime {
			delete(l.leavingSince, id)
			l.closeCarried(id)
		}
	}
}

// Read implements net.Conn.
func (c *carriedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	return n, c.correct("read", err)
}

// Write implements net.Conn.
func (c *carriedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	return n, c.correct("write", err)
}

// SetReadDeadline implements net.Conn.
func (c *carriedConn) SetReadDeadline(at time.Time) error {
	return c.correct("set", c.Conn.SetReadDeadline(at))
}

// correct returns the error of an operation: a reset if the peer was lost, and a carriedError for all
// that the server did not cause.
func (c *carriedConn) correct(op string, err error) error {
	switch {
	case err == nil:
		return nil
	case c.lost.Load():
		return &carriedError{&net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, syscall.ECONNRESET)}}
	case err == io.EOF, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed), tunnel.IsServerEnd(err):
		return err
	}
	return &carriedError{err}
}

// Close implements net.Conn.
func (c *carriedConn) Close() error {
	c.links.carried.Delete(c)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *carriedConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
