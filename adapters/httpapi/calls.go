package httpapi

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/sockets"
)

// callPhase is the progress of the call that a caller connection carries.
type callPhase int

const (
	noCall callPhase = iota
	// unanswered means that the response has not been determined.
	unanswered
	// responding means that the response is being written, or read from a server and written.
	responding
)

// call is the call that a caller connection carries. callerConn.mu guards it.
type call struct {
	phase callPhase
	// id is the request id, empty for a call that was refused before it was parsed.
	id string
	// completedAt is when the server had sent the whole response; zero before.
	completedAt time.Time
	// written counts the bytes of the response that were passed to the kernel.
	written  int64
	writeErr error
}

// callerOf returns the connection of a call, or nil if Serve did not accept it.
func callerOf(ctx *fasthttp.RequestCtx) *callerConn {
	c, _ := ctx.Conn().(*callerConn)
	return c
}

// beginCall counts a call that was read.
func (c *callerConn) beginCall() {
	if c == nil {
		return
	}
	c.endReading()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call.phase != noCall {
		return
	}
	c.call = call{phase: unanswered}
	c.l.srv.unanswered.Add(1)
	c.unread.begin(c.Conn)
}

// beginResponse is called when the response of the call is about to be written.
func (c *callerConn) beginResponse() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call.phase != unanswered {
		return
	}
	c.call.phase = responding
	// Running must not miss a call that changes from one counter to the other.
	c.l.srv.responding.Add(1)
	c.l.srv.unanswered.Add(-1)
}

// setRequest sets the id of the call.
func (c *callerConn) setRequest(id string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call.id = id
}

// setCompleted records that the server has sent the whole response.
func (c *callerConn) setCompleted() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call.completedAt = time.Now()
}

// countWritten records a write of the response.
func (c *callerConn) countWritten(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call.written += int64(n)
	if c.call.writeErr == nil {
		c.call.writeErr = err
	}
}

// isAnswered reports whether a response was passed to the kernel without an error.
func (c *callerConn) isAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call.phase == responding && c.call.writeErr == nil
}

// endCall is called when the response has been written or could not be written.
func (c *callerConn) endCall() {
	c.mu.Lock()
	ended := c.call
	c.call = call{}
	c.unread.end(c.Conn)
	c.mu.Unlock()
	switch ended.phase {
	case noCall:
		return
	case unanswered:
		c.l.srv.unanswered.Add(-1)
	case responding:
		c.l.srv.responding.Add(-1)
	}
	if ended.writeErr != nil && !ended.completedAt.IsZero() {
		c.l.srv.logUndelivered("response could not be written to its caller", ended, zap.Error(ended.writeErr))
	}
}

// trackConnection is called by the HTTP server. A connection becomes idle after the response
// was flushed; callerConn.Close covers connections that end with their response. The listener
// is told which connections wait for a request, and the memory of the last request's body is
// given back.
func (s *Server) trackConnection(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok || state == fasthttp.StateNew {
		return
	}
	if state == fasthttp.StateIdle {
		c.endReading()
		c.begun = false
		c.endCall()
	}
	c.releaseRoom()
	if accepted, ok := c.Conn.(*sockets.Conn); ok && state != fasthttp.StateClosed {
		c.evicted = !accepted.SetIdle(state == fasthttp.StateIdle)
	}
}

// maxWriteBuffer is requested for the kernel buffer of a response that is handed to the kernel.
// It holds the largest response that is not streamed; the system's limit may be lower.
const maxWriteBuffer = 8 << 20

// HandToKernel lets the kernel take more of the responses under way. It delivers what it has
// taken after the end of the process.
func (s *Server) HandToKernel() {
	conns := s.conns.Load()
	if conns == nil {
		return
	}
	for _, c := range conns.all() {
		c.mu.Lock()
		current := c.call
		c.mu.Unlock()
		b, ok := c.Conn.(*sockets.Conn)
		if !ok || current.phase != responding {
			continue
		}
		if err := errors.Join(b.SetWriteBuffer(maxWriteBuffer), b.SetUnsentLimit(maxWriteBuffer)); err != nil {
			s.Log.Info("the write buffer of a caller connection cannot grow", zap.String(logging.FieldRequest, current.id), zap.Error(err))
		}
	}
}

// LogUndelivered logs the responses that are not fully written, before the process ends. It
// returns their number.
func (s *Server) LogUndelivered() int {
	conns := s.conns.Load()
	if conns == nil {
		return 0
	}
	n := 0
	for _, c := range conns.all() {
		c.mu.Lock()
		current := c.call
		c.mu.Unlock()
		if current.phase == responding {
			n++
			s.logUndelivered("response is cut off by the end of the process", current)
		}
	}
	return n
}

func (s *Server) logUndelivered(msg string, c call, more ...zap.Field) {
	fields := []zap.Field{zap.String(logging.FieldRequest, c.id), zap.Int64("bytes_written", c.written), zap.Bool("server_completed", !c.completedAt.IsZero())}
	if !c.completedAt.IsZero() {
		fields = append(fields, zap.Duration("writing_since_completion", time.Since(c.completedAt)))
	}
	s.Log.Warn(msg, append(fields, more...)...)
}
