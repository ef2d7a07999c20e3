package httpapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// pipeListener accepts connections without a buffer: a write ends when it has been read.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// servePipes serves s and returns a function that connects to it.
func servePipes(t *testing.T, s *Server) func() net.Conn {
	t.Helper()
	ln := &pipeListener{make(chan net.Conn), make(chan struct{})}
	served := make(chan struct{})
	go func() { _ = s.Serve(ln, testLimits()); close(served) }()
	t.Cleanup(func() { ln.Close(); <-served })
	return func() net.Conn {
		client, server := net.Pipe()
		t.Cleanup(func() { client.Close() })
		ln.conns <- server
		return client
	}
}

// byteReader reads single bytes and counts the reads within a response at which no call ran.
type byteReader struct {
	net.Conn
	s          *Server
	begun      bool
	notRunning int
}

func (r *byteReader) Read(p []byte) (int, error) {
	if r.begun && r.s.Running() == 0 {
		r.notRunning++
	}
	n, err := r.Conn.Read(p[:1])
	r.begun = true
	return n, err
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// refusingFrontend refuses every call.
type refusingFrontend struct{ testFrontend }

func (refusingFrontend) Parse(*fasthttp.RequestCtx) (*gateway.Request, *result.Error) {
	return nil, result.New(result.UnknownRoute, "test")
}

// Guards against a response that no longer counts as running before it is written to its caller.
func TestResponseRunsUntilWritten(t *testing.T) {
	stream := func(_ context.Context, req *gateway.Request) (gateway.Response, error) {
		return &scriptedResponse{parts: []string{"id: 1\n\n", "id: 2\n\n"}, err: io.EOF, closed: make(chan struct{})}, nil
	}
	stored := func(context.Context, *gateway.Request) (gateway.Response, error) {
		return gateway.NewStoredResponse(200, nil, []byte(strings.Repeat("x", 20_000))), nil
	}
	withLength := func(_ context.Context, req *gateway.Request) (gateway.Response, error) {
		resp, err := stream(context.Background(), req)
		return withFields{resp, []gateway.Field{{Name: "Content-Length", Value: "14"}}}, err
	}
	failing := func(context.Context, *gateway.Request) (gateway.Response, error) {
		return nil, result.New(result.ConnectFailed, "test")
	}
	const valid = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for _, row := range []struct {
		name     string
		open     func(context.Context, *gateway.Request) (gateway.Response, error)
		frontend Frontend
		raw      string
		refuse   bool
	}{
		{name: "stream", open: stream, frontend: testFrontend{true}, raw: valid},
		{name: "response in memory", open: stored, frontend: testFrontend{}, raw: valid},
		{name: "response passed on as it arrives", open: withLength, frontend: testFrontend{}, raw: valid},
		{name: "error", open: failing, frontend: testFrontend{}, raw: valid},
		{name: "refusal by the frontend", frontend: refusingFrontend{}, raw: valid},
		{name: "refusal in a stop", frontend: testFrontend{}, raw: valid, refuse: true},
		{name: "bad framing", frontend: testFrontend{}, raw: "POST /x HTTP/1.1\r\nHost: h\r\nX : 1\r\n\r\n"},
		{name: "not HTTP", frontend: testFrontend{}, raw: "POST /x HTTP/1.1\r\nX\r\n\r\n"},
		{name: "built-in stream", open: stream, raw: rawRequest("POST", pathChat, "", chat)},
		{name: "built-in error", open: failing, raw: rawRequest("POST", pathChat, "", chat)},
		{name: "built-in refusal", raw: rawRequest("POST", "/none", "", "")},
	} {
		for _, drain := range []bool{false, true} {
			x := testIndex(t)
			s := &Server{
				Config: func() *manifest.Index { return x }, Opener: &fakeOpener{open: row.open}, Admission: allowAll{}, Frontend: row.frontend,
				Log: zap.NewNop(), NewID: func() string { return "i" },
			}
			if drain {
				s.Drain()
			}
			if row.refuse {
				s.Refuse()
			}
			r := &byteReader{Conn: servePipes(t, s)(), s: s}
			_, _ = io.WriteString(r, row.raw)
			resp, err := http.ReadResponse(bufio.NewReader(r), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				t.Errorf("%s: %v", row.name, err)
			}
			if r.notRunning > 0 {
				t.Errorf("%s, draining %v: not running before %d bytes of the response", row.name, drain, r.notRunning)
			}
			eventually(t, row.name+" has ended", func() bool { return s.Running() == 0 })
		}
	}
}

// Guards against a completed response that is lost without a log line, and a line without a loss.
func TestUndeliveredResponseIsLogged(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	s := &Server{
		Opener: &fakeOpener{open: func(context.Context, *gateway.Request) (gateway.Response, error) {
			return gateway.NewStoredResponse(200, nil, []byte(strings.Repeat("x", 20_000))), nil
		}},
		Admission: allowAll{}, Frontend: testFrontend{}, Log: zap.New(core),
	}
	dial := servePipes(t, s)
	for _, leave := range []bool{false, true} {
		c := dial()
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		if leave {
			_, _ = io.ReadFull(c, make([]byte, 1000))
			if n := s.LogUndelivered(); n != 1 {
				t.Errorf("%d responses under way, want 1", n)
			}
			c.Close()
		} else if n, _ := io.Copy(io.Discard, c); n < 20_000 {
			t.Errorf("%d bytes", n)
		}
		eventually(t, "the request has ended", func() bool { return s.Running() == 0 })
		want := map[string]int{"response could not be written to its caller": 0, "response is cut off by the end of the process": 0}
		if leave {
			for msg := range want {
				want[msg] = 1
			}
		}
		for msg, n := range want {
			logged := lines.FilterMessage(msg).FilterField(zap.String("request_id", "i")).FilterField(zap.Bool("server_completed", true))
			if logged.Len() != n {
				t.Errorf("caller left early %v: %d lines %q, want %d", leave, logged.Len(), msg, n)
			}
		}
	}
}

// Guards against an abort that breaks off a response, or leaves a request without its error.
func TestAbortOfFrontendCalls(t *testing.T) {
	part, next := "id: 1\n\n", make(chan struct{})
	var s *Server
	for _, row := range []struct {
		name, path, body string
		status           int
		open             func(context.Context) (gateway.Response, error)
	}{
		{"unanswered", "/unanswered", "", 503, func(ctx context.Context) (gateway.Response, error) {
			s.Abort()
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}},
		{"aborted before the response begins", "/late", "", 503, func(ctx context.Context) (gateway.Response, error) {
			s.Abort()
			return &heldResponse{ctx: ctx, parts: []string{part, part}, next: next}, nil
		}},
		{"in memory", "/stored", part + part, 200, func(context.Context) (gateway.Response, error) {
			s.Abort()
			return gateway.NewStoredResponse(200, nil, []byte(part+part)), nil
		}},
		{"under way", "/begun", part + part, 200, func(ctx context.Context) (gateway.Response, error) {
			return &heldResponse{ctx: ctx, parts: []string{part, part}, next: next}, nil
		}},
	} {
		s = &Server{
			Opener:    &fakeOpener{open: func(ctx context.Context, _ *gateway.Request) (gateway.Response, error) { return row.open(ctx) }},
			Admission: allowAll{}, Frontend: testFrontend{true}, Log: zap.NewNop(),
		}
		c := servePipes(t, s)()
		_, _ = io.WriteString(c, "POST "+row.path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s: %v", row.name, err)
			continue
		}
		if row.name == "under way" {
			_, _ = io.ReadFull(resp.Body, make([]byte, len(part)))
			s.Abort()
			close(next)
			row.body = part
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != row.status || row.status == 200 && string(body) != row.body {
			t.Errorf("%s: status %d, body %q, %v", row.name, resp.StatusCode, body, err)
		}
	}
}

// heldResponse sends its first part at once and the others after next is closed, unless ctx ends.
type heldResponse struct {
	ctx   context.Context
	parts []string
	sent  int
	next  chan struct{}
}

func (r *heldResponse) Status() int             { return 200 }
func (r *heldResponse) Fields() []gateway.Field { return nil }
func (r *heldResponse) Close()                  {}
func (r *heldResponse) Next() ([]byte, error) {
	if r.sent > 0 {
		select {
		case <-r.ctx.Done():
		case <-r.next:
		}
	}
	if r.ctx.Err() != nil {
		return nil, context.Cause(r.ctx)
	}
	if r.sent == len(r.parts) {
		return nil, io.EOF
	}
	r.sent++
	return []byte(r.parts[r.sent-1]), nil
}

// Guards against a reset that loses the end of a response to a caller that has sent more.
func TestCloseDeliversResponseToPipeliningCaller(t *testing.T) {
	const size = 300_000
	s := &Server{
		Opener: &fakeOpener{open: func(context.Context, *gateway.Request) (gateway.Response, error) {
			return gateway.NewStoredResponse(200, nil, []byte(strings.Repeat("x", size))), nil
		}},
		Admission: allowAll{}, Frontend: testFrontend{}, Log: zap.NewNop(),
	}
	s.Drain()
	conn, err := net.Dial("tcp", serve(t, s, testLimits()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(conn, strings.Repeat("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 2000))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	// The kernel has what is left when the server closes the connection.
	first, err := io.CopyN(io.Discard, resp.Body, size-budget.UnsentBytes/2)
	if err != nil {
		t.Fatalf("%d of %d bytes, %v", first, size, err)
	}
	eventually(t, "the response is written", func() bool { return s.Running() == 0 })
	if n, err := io.Copy(io.Discard, resp.Body); first+n != size || err != nil || !resp.Close {
		t.Errorf("%d of %d bytes, %v", first+n, size, err)
	}
}

// smallBufferListener accepts connections whose kernel buffer is small.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	return c, err
}

// Guards against losing what the kernel could have taken of a response before the exit.
func TestHandToKernelTakesTheRest(t *testing.T) {
	const size = 200_000
	s := &Server{
		Opener: &fakeOpener{open: func(context.Context, *gateway.Request) (gateway.Response, error) {
			return gateway.NewStoredResponse(200, nil, []byte(strings.Repeat("x", size))), nil
		}},
		Admission: allowAll{}, Frontend: testFrontend{}, Log: zap.NewNop(),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() { _ = s.Serve(smallBufferListener{ln}, testLimits()); close(served) }()
	defer func() { ln.Close(); <-served }()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	conn, err := dialer.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	eventually(t, "the response has begun", func() bool { return s.Responding() == 1 })
	s.HandToKernel()
	eventually(t, "the kernel has taken the response", func() bool { return s.Running() == 0 })
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("%d of %d bytes, %v", n, size, err)
	}
}

// Guards against a shutdown that returns while a closed connection still discards its input.
func TestShutdownWaitsForDiscardedInput(t *testing.T) {
	s, addr := startServer(t, &fakeOpener{open: respondOK}, testLimits(), zap.NewNop())
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// A part of a body that is over the limit; the caller goes on sending.
	fmt.Fprintf(c, "POST /svc/orders/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 300000\r\n\r\n%s", testKey, strings.Repeat("x", 100_000))
	if _, err = http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if open := len(s.conns.Load().all()); open > 0 {
		t.Errorf("the shutdown returned while %d connections discard input", open)
	}
}

// Guards against a large response that is cut off because its caller, who reads all the time,
// takes longer for the whole of it than one write may take.
func TestLargeResponseToSlowReader(t *testing.T) {
	const size = 1_000_000
	s := &Server{
		Opener: &fakeOpener{open: func(context.Context, *gateway.Request) (gateway.Response, error) {
			return gateway.NewStoredResponse(200, nil, []byte(strings.Repeat("x", size))), nil
		}},
		Admission: allowAll{}, Frontend: testFrontend{}, Log: zap.NewNop(),
	}
	l := testLimits()
	l.WriteTimeout = 500 * time.Millisecond
	conn, err := net.Dial("tcp", serve(t, s, l))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	for read := int64(0); read < size; time.Sleep(20 * time.Millisecond) {
		n, err := io.CopyN(io.Discard, resp.Body, 20_000)
		if read += n; err != nil {
			t.Fatalf("%d of %d bytes, %v", read, size, err)
		}
	}
}
