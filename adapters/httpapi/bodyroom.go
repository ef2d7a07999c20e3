package httpapi

import (
	"errors"
	"hash/maphash"
	"math/bits"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/result"
)

const (
	// freeBodyBytes is the size of a request up to which no room is taken: the read buffer
	// of a connection and a body of this size are part of what a connection may hold.
	freeBodyBytes = 16 << 10
	// maxShortChunked is the room up to which a body of unknown length counts as short.
	maxShortChunked = 128 << 10
	// maxPooledBytes is the size up to which the buffer of a body is used again.
	maxPooledBytes = 32 << 10
	// bodyLingerTime and lingerBytes limit how much of a refused body is read and dropped, so
	// that the caller gets the refusal and not a reset.
	bodyLingerTime = 2 * time.Second
	lingerBytes    = 8 << 20
	// roomLogInterval is the shortest time between two log lines about refused bodies.
	roomLogInterval = 5 * time.Second
)

// errNoRoom ends the read of a body for which the instance has no memory.
var errNoRoom = errors.New("no memory for the request body")

// accountSeed keys the hashes that tell accounts apart.
var accountSeed = maphash.MakeSeed()

// bodyRoom is the memory that the body of a connection's request has taken. It belongs to
// the goroutine that serves the connection.
type bodyRoom struct {
	account uint64
	// taken is the room in bytes, the sum of parts, which were taken one after the other.
	taken int64
	parts []int64
	// chunked is set while a body of unknown length is read, of which read bytes have come.
	chunked bool
	read    int64
	refused atomic.Bool
	// waited is how long the body waited unread, which counts towards the caller's deadline.
	waited time.Duration
}

// bufferSize returns the size of the buffer that the HTTP server uses for a body.
func bufferSize(n int) int64 { return 1 << bits.Len64(uint64(max(n-1, 0))) }

// connOf returns the connection of a request whose header the HTTP server has read. The
// server passes only the header, which is part of its request context.
func connOf(h *fasthttp.RequestHeader) *callerConn {
	var ctx *fasthttp.RequestCtx
	offset := unsafe.Offsetof(ctx.Request) + unsafe.Offsetof(ctx.Request.Header)
	ctx = (*fasthttp.RequestCtx)(unsafe.Add(unsafe.Pointer(h), -int(offset)))
	c, _ := ctx.Conn().(*callerConn)
	return c
}

// onHeader takes room for the body that follows a header. Without room it limits the body to
// nothing, so that it is not read.
func (s *Server) onHeader(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	c := connOf(h)
	if c == nil || c.l.limits.Bodies == nil {
		return fasthttp.RequestConfig{}
	}
	c.releaseRoom()
	n := h.ContentLength()
	if n == -1 {
		c.room.chunked = true
	}
	if n <= freeBodyBytes && n != -1 || n > c.l.limits.MaxBodyBytes {
		return fasthttp.RequestConfig{}
	}
	c.room.account = maphash.Bytes(accountSeed, h.Peek("Authorization"))
	if n > 0 && !c.takeRoom(bufferSize(n)) {
		return fasthttp.RequestConfig{MaxRequestBodySize: 1}
	}
	return fasthttp.RequestConfig{}
}

// takeRoom makes the room n bytes large. It waits for up to BodyWait, in which the body
// stays unread.
func (c *callerConn) takeRoom(n int64) bool {
	bodies := c.l.limits.Bodies
	more := n - c.room.taken
	ok, freed := bodies.Take(c.room.account, more)
	if !ok && c.l.limits.BodyWait > 0 && bodies.Wait() {
		defer bodies.Waited()
		begin := time.Now()
		limit := time.NewTimer(c.l.limits.BodyWait)
		defer limit.Stop()
		for expired := false; !ok && !expired; {
			select {
			case <-freed:
				ok, freed = bodies.Take(c.room.account, more)
			case <-limit.C:
				expired = true
			}
		}
		c.room.waited += time.Since(begin)
	}
	if !ok {
		c.room.refused.Store(true)
		return false
	}
	c.room.parts = append(c.room.parts, more)
	c.room.taken = n
	return true
}

// giveRoom gives back what the body has taken.
func (c *callerConn) giveRoom() {
	for _, n := range c.room.parts {
		c.l.limits.Bodies.Give(c.room.account, n)
	}
	c.room.parts, c.room.taken = c.room.parts[:0], 0
}

func (c *callerConn) releaseRoom() {
	c.giveRoom()
	c.room.chunked, c.room.read, c.room.waited = false, 0, 0
}

// Read implements net.Conn. It takes room for a body of unknown length as the body comes in.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.room.refused.Load() {
		return 0, errNoRoom
	}
	n, err := c.Conn.Read(b)
	if !c.room.chunked || err != nil {
		return n, err
	}
	c.room.read += int64(n)
	// The buffer doubles, and both the old and the new one are in use while it is copied.
	if need := 2 * bufferSize(int(c.room.read)); c.room.read > freeBodyBytes && need > c.room.taken {
		if need > maxShortChunked {
			// A long body must not be counted as several short ones.
			need = max(need, budget.LongBody+1)
			c.giveRoom()
		}
		if !c.takeRoom(need) {
			return 0, errNoRoom
		}
		if d := c.l.limits.ReadTimeout; d > 0 {
			err = c.SetReadDeadline(time.Now().Add(d))
		}
	}
	return n, err
}

// logNoRoom logs that bodies are refused, at most once in each roomLogInterval.
func (s *Server) logNoRoom(c *callerConn) {
	now, last := time.Now().UnixNano(), s.roomLogged.Load()
	if now-last < int64(roomLogInterval) || !s.roomLogged.CompareAndSwap(last, now) {
		return
	}
	b := c.l.limits.Bodies
	s.Log.Warn("memory is short: request bodies are refused", zap.Int64("limit", b.Limit()), zap.Int64("used", b.Used()), zap.Int64("refused", b.Refused()))
}

// noRoom returns the refusal of a request whose body was not read for want of memory.
func noRoom() *result.Error {
	return result.New(result.MemoryExhausted, "%v", errNoRoom).WithOutcome(result.NotRun).WithRetryAfter(time.Second)
}

// keepFromPool takes a large buffer away from the HTTP server, which would keep it for
// later bodies of any size.
func keepFromPool(req *fasthttp.Request) {
	if cap(req.Body()) > maxPooledBytes {
		req.SetBodyRaw(req.SwapBody(nil))
	}
}
