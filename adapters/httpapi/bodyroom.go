package httpapi

import (
	"bytes"
	"errors"
	"hash/maphash"
	"strings"
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
	// taken is the room in bytes.
	taken int64
	// body is a body that was read here and not by the HTTP server; nil for others.
	body []byte
	// refusal is the error of a request whose body was not read to its end.
	refusal *result.Error
	refused atomic.Bool
	// waited is how long the body waited unread, which counts towards the caller's deadline.
	waited time.Duration
}

// connOf returns the connection of a request whose header the HTTP server has read. The
// server passes only the header, which is part of its request context.
func connOf(h *fasthttp.RequestHeader) *callerConn { return callerOf(ctxOf(h)) }

func ctxOf(h *fasthttp.RequestHeader) *fasthttp.RequestCtx {
	var ctx *fasthttp.RequestCtx
	offset := unsafe.Offsetof(ctx.Request) + unsafe.Offsetof(ctx.Request.Header)
	return (*fasthttp.RequestCtx)(unsafe.Add(unsafe.Pointer(h), -int(offset)))
}

// onHeader reads the body that follows a header if it is in chunks or over freeBodyBytes:
// it checks the key, takes room and only then allocates. The HTTP server would allocate a
// chunk by its stated size, whoever sends it, and keep the buffers. If the request is
// refused, the body is limited to nothing, so that handleProtocolError is called.
func (s *Server) onHeader(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	c := connOf(h)
	if c == nil || c.l.limits.Bodies == nil {
		return fasthttp.RequestConfig{}
	}
	c.releaseRoom()
	n := h.ContentLength()
	if n <= freeBodyBytes && n != -1 || n > c.l.limits.MaxBodyBytes {
		return fasthttp.RequestConfig{}
	}
	e := s.receive(c, h, n)
	if e == nil {
		h.SetContentLength(0)
		return fasthttp.RequestConfig{}
	}
	if e.Code == result.MemoryExhausted {
		s.logNoRoom(c)
	} else {
		s.logRefused(ctxOf(h), e)
	}
	c.room.refusal = e
	c.room.refused.Store(true)
	c.giveRoom()
	h.Del(fasthttp.HeaderExpect)
	h.SetContentLength(2)
	return fasthttp.RequestConfig{MaxRequestBodySize: 1}
}

// receive checks the header and reads the body; n is its length, or -1 for chunks.
func (s *Server) receive(c *callerConn, h *fasthttp.RequestHeader, n int) (refusal *result.Error) {
	// The HTTP server does not recover from a panic in its hook.
	defer func() {
		if p := recover(); p != nil {
			s.Log.Error("request header handler panicked", zap.Any("panic", p), zap.Stack("stack"))
			refusal = result.New(result.Internal, "internal error")
		}
	}()
	if e := checkFraming(h); e != nil {
		return e
	}
	if !c.atHeaderEnd {
		return result.New(result.BadRequest, "request header does not end with an empty line")
	}
	account := ""
	if s.Frontend != nil {
		var e *result.Error
		if account, e = s.Frontend.Account(h); e != nil {
			return e
		}
	} else if x := s.Config(); x != nil {
		a := x.AccountByKey(bytes.TrimPrefix(h.Peek(fasthttp.HeaderAuthorization), []byte("Bearer ")))
		if a == nil {
			return result.New(result.Unauthenticated, "the bearer key is missing or unknown")
		}
		account = string(a.Name)
	}
	c.room.account = maphash.String(accountSeed, account)
	// HTTP/1.0 has no interim responses.
	c.interim = h.IsHTTP11() && strings.EqualFold(string(h.Peek(fasthttp.HeaderExpect)), "100-continue")
	h.Del(fasthttp.HeaderExpect)
	return c.readBody(n)
}

// resizeRoom makes the room n bytes large. It waits for up to BodyWait, in which the body
// stays unread.
func (c *callerConn) resizeRoom(n int64) bool {
	bodies := c.l.limits.Bodies
	ok, freed := bodies.Resize(c.room.account, c.room.taken, n)
	if !ok && c.l.limits.BodyWait > 0 && bodies.Wait() {
		defer bodies.Waited()
		c.endReading() // what waits is counted by Bodies
		begin := time.Now()
		limit := time.NewTimer(c.l.limits.BodyWait)
		defer limit.Stop()
		for expired := false; !ok && !expired; {
			select {
			case <-freed:
				ok, freed = bodies.Resize(c.room.account, c.room.taken, n)
			case <-limit.C:
				expired = true
			}
		}
		c.room.waited += time.Since(begin)
	}
	if ok {
		c.room.taken = n
		c.endReading()
	}
	return ok
}

// giveRoom gives back what the body has taken, after the body itself.
func (c *callerConn) giveRoom() {
	c.room.body = nil
	if c.room.taken > 0 {
		c.l.limits.Bodies.Give(c.room.account, c.room.taken)
		c.room.taken = 0
	}
}

func (c *callerConn) releaseRoom() {
	c.giveRoom()
	c.room.waited = 0
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

// logNoReading logs that requests are not read, at most once in each roomLogInterval.
func (s *Server) logNoReading(r *budget.Reading) {
	now, last := time.Now().UnixNano(), s.roomLogged.Load()
	if now-last < int64(roomLogInterval) || !s.roomLogged.CompareAndSwap(last, now) {
		return
	}
	s.Log.Warn("memory is short: requests are not read", zap.Int64("limit", r.Limit()), zap.Int64("used", r.Used()), zap.Int64("refused", r.Refused()))
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
