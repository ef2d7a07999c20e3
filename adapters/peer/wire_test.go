package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/adapters/peer/claimpb"
	"cyclamenhitch/adapters/peer/configpb"
	"cyclamenhitch/adapters/peer/permitpb"
)

// counting counts the bytes of all connections of a listener.
type counting struct {
	net.Listener
	read, written atomic.Int64
}

type countingConn struct {
	net.Conn
	c *counting
}

func (c *counting) Accept() (net.Conn, error) {
	cn, err := c.Listener.Accept()
	return countingConn{cn, c}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	c.c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Guards against sizes that the capacity figures and the counters of control
// traffic assume and that a connection does not carry, and against a service
// whose path is not shortened.
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
	ln := &counting{Listener: listen(t)}
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
			t.Fatalf("status %d, %d bytes for %d", resp.StatusCode, len(got), len(reply))
		}
		read, written = ln.read.Load()-read, ln.written.Load()-written
		if read != int64(CallBytes(path, len(question))) || written != int64(AnswerBytes(len(reply))) {
			t.Fatalf("%s: %d bytes and %d bytes on the connection, %d and %d computed", path, read, written, CallBytes(path, len(question)), AnswerBytes(len(reply)))
		}
		if counted = called.SentBytes.Load() + served.SentBytes.Load() - counted; counted != read+written {
			t.Fatalf("%d bytes counted, %d carried", counted, read+written)
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

// Guards against a call that fails because the peer closed an idle connection
// when it restarted, and against the use of a connection whose answer was
// abandoned: the late answer would be read as the answer to the next call.
func TestReuse(t *testing.T) {
	key := testKey(strings.Repeat("a", 32))
	var traffic Traffic
	hold := make(chan struct{})
	serve := func(ln net.Listener) *Server {
		s := NewServer(key, nil, &traffic)
		s.Mount("/svc/", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
		s.Mount("/held/", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
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
	counted := &counting{Listener: ln}
	srv = serve(counted)
	if got, err := call(t, client, addr); err != nil || got != "answer" {
		t.Fatalf("after a restart of the peer: %q, %v", got, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	before := counted.read.Load()
	go func() {
		for counted.read.Load() == before {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/held/", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Do(req); !errors.Is(err, context.Canceled) {
		t.Fatalf("a cancelled call ends with %v", err)
	}
	if n := len(client.conns.idle[addr]); n != 0 {
		t.Fatalf("%d connections are kept after a cancelled call", n)
	}
	close(hold)
	if got, err := call(t, client, addr); err != nil || got != "answer" {
		t.Fatalf("after a cancelled call: %q, %v", got, err)
	}
	if err := srv.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a handler that panics and takes the instance down with it.
func TestPanic(t *testing.T) {
	key := testKey(strings.Repeat("a", 32))
	var traffic Traffic
	srv := NewServer(key, nil, &traffic)
	srv.Mount("/svc/", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("fault of a handler") }))
	ln := listen(t)
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Shutdown(context.Background()) }()
	req, err := http.NewRequest("POST", "http://"+ln.Addr().String()+"/svc/Echo", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := NewClient(key, nil, &traffic).Do(req)
	if err != nil || resp.StatusCode != http.StatusInternalServerError {
		t.Fatalf("%v, %v", resp, err)
	}
}
