package httpapi

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"cyclamenhitch/adapters/chunked"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/result"
)

const (
	// firstBodyBytes is the first buffer of a body in chunks. It takes no room.
	firstBodyBytes = 8 << 10
	// minReadBytes is the least free space with which a body in chunks is read, and
	// maxReadBytes the most: what follows the body is kept without room.
	minReadBytes = 2 << 10
	maxReadBytes = 32 << 10
	// stallCheckInterval is the interval at which a body that does not arrive is checked.
	stallCheckInterval = 500 * time.Millisecond
)

// input passes the bytes of a connection to the HTTP server such that none after the end of
// a header is in its buffer when the header is parsed. It belongs to the goroutine that
// serves the connection.
type input struct {
	// rest holds bytes that were received and not passed on; whole is its buffer.
	rest  []byte
	whole *[]byte
	// lineFeed is set after a line feed, or one and a carriage return.
	lineFeed bool
	// atHeaderEnd is set if the last byte that was passed on ended an empty line.
	atHeaderEnd bool
	// interim is set until 100 Continue has been sent for a body that waits for it.
	interim bool
}

var restPool = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// headerEnd returns the number of bytes of b up to the end of the first empty line, or len(b).
func (in *input) headerEnd(b []byte) int {
	in.atHeaderEnd = false
	for i := 0; ; {
		line := bytes.IndexByte(b[i:], '\n')
		if line < 0 {
			in.lineFeed = in.lineFeed && isReturns(b[i:])
			return len(b)
		}
		empty := in.lineFeed && isReturns(b[i:i+line])
		i += line + 1
		in.lineFeed = !empty
		if empty {
			in.atHeaderEnd = true
			return i
		}
	}
}

// isReturns reports whether b consists of carriage returns only.
func isReturns(b []byte) bool {
	for _, x := range b {
		if x != '\r' {
			return false
		}
	}
	return true
}

// keep keeps received bytes for the next read.
func (in *input) keep(b []byte) {
	if len(b) == 0 {
		return
	}
	if len(in.rest) > 0 { // b comes before what is left of an earlier read
		b = append(append(make([]byte, 0, len(b)+len(in.rest)), b...), in.rest...)
	}
	if in.whole == nil {
		in.whole = restPool.Get().(*[]byte)
	}
	*in.whole = append((*in.whole)[:0], b...)
	in.rest = *in.whole
}

// take copies kept bytes to b.
func (in *input) take(b []byte) int {
	n := copy(b, in.rest)
	if in.rest = in.rest[n:]; len(in.rest) == 0 {
		in.rest = nil
		restPool.Put(in.whole)
		in.whole = nil
	}
	return n
}

// Read implements net.Conn. It ends after an empty line.
func (c *callerConn) Read(b []byte) (int, error) {
	if len(c.rest) > 0 {
		end := c.headerEnd(c.rest[:min(len(b), len(c.rest))])
		if n := c.take(b[:end]); c.beginReading() {
			return n, nil
		}
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !c.beginReading() {
		return 0, io.EOF
	}
	end := c.headerEnd(b[:n])
	c.keep(b[end:n])
	return end, err
}

// readRaw reads bytes of a body.
func (c *callerConn) readRaw(b []byte) (int, error) {
	c.atHeaderEnd = false
	if len(c.rest) > 0 {
		return c.take(b), nil
	}
	if c.interim {
		c.interim = false
		// Write sets a new deadline; that of the last response may have expired.
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

// readBody reads a body of n bytes, or one in chunks if n is -1, into room.body. Room is
// taken before memory is allocated.
func (c *callerConn) readBody(n int) *result.Error {
	r := bodyReader{c: c, progress: budget.NewProgress(c.l.limits.BodyPace, time.Now())}
	if n < 0 {
		return r.readChunks()
	}
	if !c.resizeRoom(int64(n)) {
		return noRoom()
	}
	r.progress.Restart(time.Now(), 0)
	body := make([]byte, n)
	for r.received < n {
		got, e := r.read(body[r.received:])
		if e != nil {
			return e
		}
		r.received += got
	}
	c.room.body = body
	return nil
}

// bodyReader reads one body.
type bodyReader struct {
	c        *callerConn
	progress budget.Progress
	// received is the payload in bytes.
	received int
	checked  time.Time
}

// read reads bytes of the body. It ends a body that makes too little progress.
func (r *bodyReader) read(b []byte) (int, *result.Error) {
	for {
		if now := time.Now(); now.Sub(r.checked) >= stallCheckInterval {
			r.checked = now
			if r.c.request.Load().IsEnded() || r.progress.IsStalled(now, int64(r.received), r.c.l.limits.Bodies.Pressed()) {
				return 0, result.New(result.BodyStalled, "request body stalled after %d bytes", r.received)
			}
			if err := r.c.SetReadDeadline(now.Add(stallCheckInterval)); err != nil {
				return 0, result.Wrap(result.BadRequest, err, "request body could not be read")
			}
		}
		n, err := r.c.readRaw(b)
		var ne net.Error
		switch {
		case n > 0:
			return n, nil
		case errors.As(err, &ne) && ne.Timeout():
			r.checked = time.Time{}
		case err != nil:
			return 0, result.Wrap(result.BadRequest, err, "request body ended after %d bytes", r.received)
		}
	}
}

// readChunks reads a body in chunks. It decodes the bytes where they were read to.
func (r *bodyReader) readChunks() *result.Error {
	c, limit := r.c, r.c.l.limits.MaxBodyBytes
	var d chunked.Decoder
	buf := make([]byte, firstBodyBytes)
	for !d.Done() {
		if len(buf)-r.received < minReadBytes {
			var e *result.Error
			if buf, e = r.grow(buf); e != nil {
				return e
			}
		}
		free := buf[r.received:min(len(buf), r.received+maxReadBytes)]
		n, e := r.read(free)
		if e != nil {
			return e
		}
		payload, used, err := d.Decode(free, free[:n])
		if err != nil {
			return result.New(result.BadRequest, "%v", err)
		}
		if r.received += payload; r.received > limit || d.Left() > limit-r.received {
			return result.New(result.BodyTooLarge, "request body is over the size limit")
		}
		c.keep(free[used:n])
	}
	c.room.body = buf[:r.received:r.received]
	return nil
}

// grow returns a buffer of twice the size. Both are in memory while one is copied.
func (r *bodyReader) grow(buf []byte) ([]byte, *result.Error) {
	size := 2 * len(buf)
	if largest := r.c.l.limits.MaxBodyBytes + 2*minReadBytes; size > largest/2 {
		size = largest
	}
	if !r.c.resizeRoom(chunkedRoom(len(buf) + size)) {
		return nil, noRoom()
	}
	r.progress.Restart(time.Now(), int64(r.received))
	larger := make([]byte, size)
	copy(larger, buf[:r.received])
	if !r.c.resizeRoom(chunkedRoom(size)) {
		return nil, noRoom()
	}
	return larger, nil
}

// chunkedRoom returns the room of a body of unknown length with buffers of n bytes. One that
// may become long counts as long.
func chunkedRoom(n int) int64 {
	if n > maxShortChunked {
		return int64(max(n, budget.LongBody+1))
	}
	return int64(n)
}
