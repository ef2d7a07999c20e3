package soak

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// slowReadBytes is the size of the reads of a slow caller, slowReadBuffer that of its
	// kernel buffer.
	slowReadBytes  = 16 << 10
	slowReadBuffer = 64 << 10
	// maxLineBytes is the longest line of a stream.
	maxLineBytes = 1 << 20
	// thinkTime is the longest time between an answer and the caller's next request.
	thinkTime = 300 * time.Millisecond
	// eagerRetryTime is the time between a refusal and the next request of an eager caller.
	eagerRetryTime = 30 * time.Millisecond
	// A body in pieces has bodyPieces of pieceBytes each, with pauses up to piecePause.
	bodyPieces = 5
	pieceBytes = 8 << 10
	piecePause = 500 * time.Millisecond
)

// stopCall is a request as its caller saw it.
type stopCall struct {
	id, kind, instance string
	// length is the time that the caller asked for and needs to read, events the number of
	// events.
	length time.Duration
	events int
	body   int64
	// sent is when the last byte of the request was sent; sentAll is set if it was.
	sent, ended time.Time
	sentAll     bool
	status      int
	seal        string
	whole       bool
	// violation says what is wrong with an answer that looks complete.
	violation string
	err       error
	slow      bool
}

// stopCaller sends one request after the other on connections that it keeps.
type stopCaller struct {
	f   *stopFleet
	rnd *rand.Rand
	// fixedTo, unless nil, is the instance that the caller uses instead of the directory's
	// addresses.
	fixedTo *instance
	// slow is set if it reads slowly, pieces if it sends bodies in pieces.
	slow, pieces bool

	conn      net.Conn
	br        *bufio.Reader
	address   string
	addresses []string
	resolved  time.Time
}

func (f *stopFleet) caller(rnd *rand.Rand, fixedTo *instance, ends time.Time) {
	c := &stopCaller{f: f, rnd: rnd, fixedTo: fixedTo, slow: rnd.Float64() < f.play.slow, pieces: rnd.Float64() < f.play.pieces}
	defer c.drop()
	for time.Now().Before(ends) {
		if !f.play.eager {
			time.Sleep(time.Duration(rnd.Int64N(int64(thinkTime))))
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(eagerRetryTime)
			continue
		}
		k := c.send()
		f.mu.Lock()
		f.sends = append(f.sends, k)
		f.mu.Unlock()
		refused := k.status == http.StatusServiceUnavailable
		if k.err != nil || refused && !f.play.eager {
			c.drop()
		}
		if refused && f.play.eager {
			time.Sleep(eagerRetryTime)
		}
	}
}

func (c *stopCaller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to the caller's instance or to one of the directory.
func (c *stopCaller) connect() bool {
	p := c.f.play
	if c.fixedTo == nil && time.Since(c.resolved) > p.scaled(addressAge) {
		if named := c.f.resolve(c.f.instances[c.rnd.IntN(len(c.f.instances))]); len(named) > 0 {
			c.addresses, c.resolved = named, time.Now()
		}
	}
	switch {
	case c.fixedTo != nil:
		c.address = c.fixedTo.caller
	case len(c.addresses) == 0:
		return false
	default:
		c.address = c.addresses[c.rnd.IntN(len(c.addresses))]
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.br = conn, bufio.NewReader(conn)
	if c.slow {
		_ = conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
		if p.slowBytes > 0 {
			c.br = bufio.NewReaderSize(&slowReader{conn, p.slowBytes * 100 / int(cmp.Or(p.percent, 100))}, slowReadBytes)
		}
	}
	return true
}

// slowReader reads a number of bytes per second.
type slowReader struct {
	net.Conn
	rate int
}

func (r *slowReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.rate))
	return n, err
}

// pausingReader stops reading once, after a number of bytes.
type pausingReader struct {
	io.Reader
	after int
	pause time.Duration
}

func (r *pausingReader) Read(p []byte) (int, error) {
	if r.after <= 0 && r.pause > 0 {
		time.Sleep(r.pause)
		r.pause = 0
	}
	n, err := r.Reader.Read(p)
	r.after -= n
	return n, err
}

var stopCallIDs atomic.Uint64

// send sends one request and reads its answer.
func (c *stopCaller) send() *stopCall {
	p, rnd := c.f.play, c.rnd
	k := &stopCall{id: fmt.Sprintf("%016x", stopCallIDs.Add(1)), kind: p.kinds[rnd.IntN(len(p.kinds))], instance: c.address, slow: c.slow}
	interval := p.scaled(p.interval)
	k.events = max(1, int(p.scaled(p.length(rnd))/interval))
	k.length = c.readTime(k, time.Duration(k.events)*interval*time.Duration(c.f.slowness.Load())/100)
	head := ""
	if p.tokens || p.prefix {
		head = fmt.Sprintf("Token-Count: 160,%d\r\n", 3*k.events)
	}
	if p.prefix {
		head += fmt.Sprintf("Prefix-Hash: a1:100,b%x:50,%s:10\r\n", rnd.IntN(8), k.id)
	}
	if c.br.Buffered() > 0 {
		k.violation = fmt.Sprintf("%d bytes precede the request", c.br.Buffered())
	}
	deadline := p.scaled(streamDeadline)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	head = fmt.Sprintf("POST /%s/%d/%d/%d HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\nAuthorization: Bearer k1\r\n%s",
		k.kind, k.events, interval.Milliseconds(), p.eventBytes, k.id, deadline.Milliseconds(), head)
	k.err = c.write(k, head)
	k.sentAll, k.sent = k.err == nil, time.Now()
	// An instance may answer before it has read the whole body.
	resp, err := http.ReadResponse(c.br, nil)
	if err == nil {
		k.err = c.read(k, resp)
	} else if k.err == nil {
		k.err = err
	}
	k.ended = time.Now()
	return k
}

// size returns the size of the answer in bytes, without the format of events.
func (c *stopCaller) size(k *stopCall) int {
	if isStream(k.kind) {
		return k.events * c.f.play.eventBytes
	}
	return c.f.play.eventBytes
}

// readTime returns the time that the caller needs for an answer that the server sends in
// length.
func (c *stopCaller) readTime(k *stopCall, length time.Duration) time.Duration {
	p := c.f.play
	switch {
	case !c.slow:
		return length
	case p.slowBytes > 0:
		return max(length, p.scaled(time.Duration(c.size(k))*time.Second/time.Duration(p.slowBytes)))
	}
	return length + p.scaled(p.slowPause)
}

// write sends the request, its body in pieces if the caller does so.
func (c *stopCaller) write(k *stopCall, head string) error {
	if !c.pieces {
		_, err := io.WriteString(c.conn, head+"Content-Length: 0\r\n\r\n")
		return err
	}
	k.body = bodyPieces * pieceBytes
	piece := strings.Repeat("b", pieceBytes)
	length, end := fmt.Sprintf("Content-Length: %d\r\n\r\n", k.body), ""
	if c.rnd.IntN(2) == 0 {
		length, end = "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"
		piece = fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, piece)
	}
	if _, err := io.WriteString(c.conn, head+length); err != nil {
		return err
	}
	for i := range bodyPieces {
		time.Sleep(time.Duration(c.rnd.Int64N(int64(c.f.play.scaled(piecePause)))))
		if i == bodyPieces-1 {
			piece += end
		}
		if _, err := io.WriteString(c.conn, piece); err != nil {
			return err
		}
	}
	return nil
}

// read reads and checks an answer. It returns an error if the connection cannot be used again.
func (c *stopCaller) read(k *stopCall, resp *http.Response) error {
	k.status, k.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	body := io.Reader(resp.Body)
	if pause := c.f.play.scaled(c.f.play.slowPause); c.slow && pause > 0 {
		body = &pausingReader{resp.Body, c.rnd.IntN(c.size(k)), pause}
	}
	wrong, err := "", error(nil)
	switch {
	case k.status != http.StatusOK:
		_, err = io.Copy(io.Discard, body)
	case isStream(k.kind):
		wrong, err = k.readEvents(body)
	default:
		var text []byte
		if text, err = io.ReadAll(body); string(text) != answerData(k.id, c.f.play.eventBytes) {
			wrong = fmt.Sprintf("%d bytes that are not its answer", len(text))
		}
	}
	k.whole = err == nil
	if err != nil {
		return err
	}
	if _, id, _ := strings.Cut(k.seal, "."); k.status == http.StatusOK && id != k.id {
		wrong = fmt.Sprintf("the answer has the seal %q", k.seal)
	}
	if wrong != "" {
		k.violation = wrong
	}
	if resp.Close {
		return io.EOF
	}
	return nil
}

// readEvents reads a stream and says what is wrong with one that ends without an error.
func (k *stopCall) readEvents(body io.Reader) (wrong string, err error) {
	next, data := 1, 0
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case field == "id" && value != strconv.Itoa(next):
			return fmt.Sprintf("event %s follows event %d", value, next-1), nil
		case field == "id":
			next++
		case field == "data" && !strings.HasPrefix(value, k.id):
			return fmt.Sprintf("event %d belongs to another request", next-1), nil
		case field == "data":
			data++
		}
	}
	if err := lines.Err(); err != nil {
		return "", err
	}
	if next-1 != k.events || data != k.events {
		return fmt.Sprintf("looks complete after %d of %d events", data, k.events), nil
	}
	return "", nil
}
