package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/adapters/peer/claimpb"
	"cyclamenhitch/adapters/peer/configpb"
	"cyclamenhitch/adapters/peer/permitpb"
)

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	read, written atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingListener) Accept() (net.Conn, error) {
	cn, err := c.Listener.Accept()
	return countingConn{cn, c}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	c.listener.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Guards against computed sizes, used for capacity figures and traffic counters, that
// differ from the bytes on a connection, and against a service without a short path.
func TestWireBytesRapid(t *testing.T) {
	key := testKey(strings.Repeat("a", 32))
	var served, called Traffic
	srv := NewServer(key, nil, &served)
	answer := make(chan []byte, 1)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(<-answer) })
	prefixes := []string{permitpb.PermitsPathPrefix, claimpb.ClaimsPathPrefix, configpb.ConfigPathPrefix}
	for _, p := range append(prefixes, "/slo/") {
		srv.Mount(p, h)
	}
	ln := &countingListener{Listener: listen(t)}
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Shutdown(context.Background()) }()
	client := NewClient(key, nil, &called)
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom(append(prefixes, "/slo/")).Draw(t, "prefix") + rapid.StringMatching(`[A-Z][a-z]{0,9}`).Draw(t, "method")
		question := rapid.SliceOfN(rapid.Byte(), 0, 1200).Draw(t, "question")
		reply := rapid.SliceOfN(rapid.Byte(), 0, 1200).Draw(t, "reply")
		read, written := ln.read.Load(), ln.written.Load()
		counted := called.SentBytes.Load() + served.SentBytes.Load()
		answer <- reply
		req, err := http.NewRequest("POST", "http://"+ln.Addr().String()+path, bytes.NewReader(question))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", protobufType)
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || !bytes.Equal(got, reply) {
			t.Fatalf("status %d, answer of %d bytes, want %d", resp.StatusCode, len(got), len(reply))
		}
		read, written = ln.read.Load()-read, ln.written.Load()-written
		if read != int64(CallBytes(path, len(question))) || written != int64(AnswerBytes(len(reply))) {
			t.Fatalf("%s: read %d and wrote %d bytes, computed %d and %d", path, read, written, CallBytes(path, len(question)), AnswerBytes(len(reply)))
		}
		if counted = called.SentBytes.Load() + served.SentBytes.Load() - counted; counted != read+written {
			t.Fatalf("counted %d bytes, transferred %d", counted, read+written)
		}
	})
	if received := called.ReceivedBytes.Load() + served.ReceivedBytes.Load(); received != called.SentBytes.Load()+served.SentBytes.Load() {
		t.Fatalf("%d bytes counted as received, %d as sent", received, called.SentBytes.Load()+served.SentBytes.Load())
	}
	for _, p := range prefixes {
		if wirePath(p+"M") == p+"M" || servicePath(wirePath(p+"M")) != p+"M" {
			t.Errorf("path %s is not shortened", p)
		}
	}
}

func post(ctx context.Context, c *Client, addr, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	return c.Do(req)
}

// Guards against calls that fail on an idle connection closed by a restarted peer,
// against reuse of a connection after a cancelled call, whose late answer would be read
// as the answer to the next call, and against broken idle connections that fail several
// calls in a row.
func TestConnectionReuse(t *testing.T) {
	key := testKey(strings.Repeat("a", 32))
	var traffic Traffic
	hold, pair := make(chan struct{}), make(chan struct{})
	serve := func(ln net.Listener) *Server {
		s := NewServer(key, nil, &traffic)
		s.Mount("/svc/", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
		s.Mount("/held/", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
		s.Mount("/pair/", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			select {
			case pair <- struct{}{}:
			case <-pair:
			}
		}))
		go func() { _ = s.Serve(ln) }()
		return s
	}
	ln := listen(t)
	addr := ln.Addr().String()
	srv := serve(ln)
	client := NewClient(key, nil, &traffic)
	if _, err := call(t, client, addr); err != nil {
		t.Fatal(err)
	}
	if err := srv.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: ln}
	srv = serve(counting)
	if got, err := call(t, client, addr); err != nil || got != "answer" {
		t.Fatalf("after a restart of the peer: %q, %v", got, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	before := counting.read.Load()
	go func() {
		for counting.read.Load() == before {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := post(ctx, client, addr, "/held/"); !errors.Is(err, context.Canceled) {
		t.Fatalf("cancelled call returned %v", err)
	}
	if n := len(client.conns.idle[addr]); n != 0 {
		t.Fatalf("%d idle connections after a cancelled call", n)
	}
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			if _, err := post(context.Background(), client, addr, "/pair/"); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := len(client.conns.idle[addr]); n != 2 {
		t.Fatalf("%d idle connections after two concurrent calls, want 2", n)
	}
	ctx, cancel = context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := post(ctx, client, addr, "/held/"); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("call past its deadline returned %v", err)
	}
	if n := len(client.conns.idle[addr]); n != 0 {
		t.Fatalf("%d idle connections after a call without an answer", n)
	}
	close(hold)
	if got, err := call(t, client, addr); err != nil || got != "answer" {
		t.Fatalf("after a cancelled call: %q, %v", got, err)
	}
	if err := srv.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Guards against keep-alive probes on the connections to all instances.
func TestNoKeepAlive(t *testing.T) {
	ln := listen(t)
	defer ln.Close()
	var p pool
	c, err := p.open(context.Background(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := noKeepAliveListener{ln}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, cn := range []net.Conn{c.Conn, s} {
		raw, err := cn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		if err := raw.Control(func(fd uintptr) {
			if on, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE); err != nil || on != 0 {
				t.Errorf("keep-alive is %d, %v", on, err)
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a panic in a handler that terminates the process.
func TestHandlerPanic(t *testing.T) {
	key := testKey(strings.Repeat("a", 32))
	var traffic Traffic
	srv := NewServer(key, nil, &traffic)
	srv.Mount("/svc/", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("test panic") }))
	ln := listen(t)
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Shutdown(context.Background()) }()
	resp, err := post(context.Background(), NewClient(key, nil, &traffic), ln.Addr().String(), "/svc/Echo")
	if err != nil || resp.StatusCode != http.StatusInternalServerError {
		t.Fatalf("response %v, error %v", resp, err)
	}
}

// Guards against a call's context that refers to the next request on the connection: an
// HTTP client that dials reads its values after the call has ended.
func TestCallContextEndsWithCall(t *testing.T) {
	key := testKey(strings.Repeat("a", 32))
	var traffic Traffic
	srv := NewServer(key, nil, &traffic)
	contexts := make(chan context.Context, 2)
	srv.Mount("/svc/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		contexts <- r.Context()
		w.WriteHeader(http.StatusOK)
	}))
	ln := listen(t)
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Shutdown(context.Background()) }()
	client := NewClient(key, nil, &traffic)
	for range 2 {
		if _, err := post(context.Background(), client, ln.Addr().String(), "/svc/Echo"); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		ctx := <-contexts
		if ctx.Value("key") != nil || !errors.Is(ctx.Err(), context.Canceled) {
			t.Errorf("after the call its context has the error %v", ctx.Err())
		}
	}
}
