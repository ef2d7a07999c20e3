package tunnel

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/core/fleet"
)

// buffers holds buffers of bufferBytes.
var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

var (
	errIdle           = errors.New("nothing was carried for " + idleTimeout.String())
	errInstanceLeft   = errors.New("the instance's connection has ended")
	errInstanceLost   = errors.New("the instance's connection is lost")
	errUnacknowledged = errors.New("the server ended its output before it had received everything")
)

// relay is the peer's end of a tunnel.
type relay struct {
	server fleet.ServerID
	from   fleet.InstanceID
	// instance is the connection from the instance as the HTTP library hands it over, accepted
	// the one that it stands for.
	instance, accepted net.Conn
	raw                syscall.RawConn // of accepted
	backend            net.Conn
	backendRaw         syscall.RawConn

	// writing is held during a write to the server.
	writing sync.Mutex
	sent    int64 // bytes written to the server, under writing

	// chunks counts the reads of both directions that brought bytes. seen and idleChecks are used by check only: chunks at
	// the last check, and the checks since it last changed.
	chunks           atomic.Int64
	seen, idleChecks int64

	// left is set once the instance has closed its connection.
	left atomic.Bool
	// end is why check closed the tunnel.
	end atomic.Pointer[error]
}

func (r *relay) fields() []zap.Field {
	return []zap.Field{
		zap.String(logging.FieldServer, string(r.server)), zap.String("peer", string(r.from)),
		zap.Stringer(logging.FieldAddress, r.accepted.RemoteAddr()),
	}
}

// close closes both connections.
func (r *relay) close() {
	if r.backend != nil {
		_ = r.backend.Close()
	}
	_ = r.accepted.Close()
}

// run copies in both directions until either connection ends. It returns nil if the server
// ended its output in order or the instance closed its connection.
func (r *relay) run() error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copyToServer()
	}()
	err := r.copyToInstance()
	left := r.left.Load()
	r.close()
	<-done
	switch end := r.end.Load(); {
	case end != nil:
		return *end
	case left || errors.Is(err, errInstanceLeft):
		return nil
	}
	return err
}

// copyToServer copies what the instance sends. An instance never ends its output alone, so
// that the end of its connection cancels what it has requested.
func (r *relay) copyToServer() {
	buf := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buf)
	for {
		n, err := r.instance.Read(buf[:])
		if n > 0 {
			r.chunks.Add(1)
			if !r.writeToServer(buf[:n]) {
				return // the other direction reads the rest of the response, then the error
			}
		}
		if err != nil {
			r.left.Store(true)
			r.close()
			return
		}
	}
}

func (r *relay) writeToServer(b []byte) bool {
	r.writing.Lock()
	defer r.writing.Unlock()
	n, err := r.backend.Write(b)
	r.sent += int64(n)
	return err == nil
}

// copyToInstance copies what the server sends, and how its output ended.
func (r *relay) copyToInstance() error {
	buf := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buf)
	for {
		n, err := r.backend.Read(buf[frameHeaderBytes:])
		if n > 0 {
			r.chunks.Add(1)
			putDataHeader(buf[:], n)
			if _, err := r.instance.Write(buf[:frameHeaderBytes+n]); err != nil {
				return fmt.Errorf("%w: %w", errInstanceLeft, err)
			}
		}
		if err != nil {
			frame, end := r.endOfServer(err)
			if _, err := r.instance.Write(frame); err != nil && end == nil {
				return fmt.Errorf("%w: %w", errInstanceLeft, err)
			}
			return end
		}
	}
}

// endOfServer returns the frame for the end of the server's output, and an error unless it
// ended in order after all that was written to it had been acknowledged.
func (r *relay) endOfServer(err error) (frame []byte, end error) {
	if err != io.EOF {
		return resetFrame(), fmt.Errorf("server: %w", err)
	}
	// A write that waits for room at the server would hold the lock.
	if err := r.backend.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return resetFrame(), fmt.Errorf("server: %w", err)
	}
	r.writing.Lock()
	defer r.writing.Unlock()
	n, err := sockets.Unacknowledged(r.backendRaw)
	switch {
	case err != nil:
		return resetFrame(), fmt.Errorf("server: %w", err)
	case n > 0:
		return resetFrame(), errUnacknowledged
	}
	return endFrame(r.sent), nil
}

// check closes the tunnel if the instance has ended it or is lost, or nothing is carried. The
// end of the instance is otherwise found by a read, which waits while the server has no room.
func (r *relay) check() {
	if n := r.chunks.Load(); n != r.seen {
		r.seen, r.idleChecks = n, 0
	} else {
		r.idleChecks++
	}
	ended, lost := sockets.OtherSide(r.raw)
	switch {
	case ended:
		r.left.Store(true)
		r.close()
	case lost:
		r.closeWith(errInstanceLost)
	case time.Duration(r.idleChecks)*checkInterval >= idleTimeout:
		r.closeWith(errIdle)
	}
}

// closeWith closes the tunnel and records why.
func (r *relay) closeWith(why error) {
	r.end.CompareAndSwap(nil, &why)
	r.close()
}
