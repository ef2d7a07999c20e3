package feed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/feed/feedpb"
	"cyclamenhitch/core/feedlog"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

const testTimeout = 30 * time.Second // a safety limit, not a bound

func serve(t *testing.T, s *Server) *Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() { _ = fasthttp.Serve(ln, s.Handle) }()
	return NewPool().NewClient(ln.Addr().String())
}

// Guards against a copy that is confirmed as newer than its rows are: a read that
// ends while an answer is made must not lend its time to rows from before it.
func TestAgeIsNotYoungerThanTheRows(t *testing.T) {
	log := feedlog.New()
	log.Reset([]store.Entry{{Key: "k", Value: []byte("old"), Version: 1}}, 1)
	var now, began freshness.Instant = time.Second, 100 * time.Millisecond
	version := uint64(1)
	s := &Server{
		Log: func(string) *feedlog.Log { return log }, Now: func() freshness.Instant { return now },
		ReadStart: func(string) freshness.Instant {
			// A read that began later ends right before the time is taken.
			version++
			log.Apply([]store.Entry{{Key: "k", Value: []byte{byte(version)}, Version: version}}, version-1, version)
			began += 100 * time.Millisecond
			return began
		},
	}
	c := serve(t, s)
	for range 5 {
		after := version
		rows, got, err := c.Changes(context.Background(), "t", after, 0)
		if err != nil || len(rows) != 1 || got < after+1 {
			t.Fatalf("rows %v of version %d after %d, %v", rows, got, after, err)
		}
		// The read that wrote version v began at 100 ms times v.
		if reflects := now - c.Age; reflects > freshness.Instant(got)*100*time.Millisecond {
			t.Fatalf("version %d is said to reflect %v", got, reflects)
		}
	}
}

// Guards against calls that end before their wait or hang after a change, and against
// copies that nobody vouches for.
func TestWaitingCalls(t *testing.T) {
	log := feedlog.New()
	vouched := true
	s := &Server{
		Log: func(string) *feedlog.Log {
			if !vouched {
				return nil
			}
			return log
		},
		Now: func() freshness.Instant { return 0 }, ReadStart: func(string) freshness.Instant { return 0 },
	}
	c := serve(t, s)
	if _, _, err := c.Snapshot(context.Background(), "t"); result.As(err).Code != result.StoreUnavailable {
		t.Errorf("a table that was not read: %v", err)
	}
	log.Reset([]store.Entry{{Key: "a", Value: []byte{}, Version: 3}}, 3)
	if rows, v, err := c.Snapshot(context.Background(), "t"); err != nil || v != 3 || len(rows) != 1 || rows[0].Value == nil {
		t.Errorf("whole table: %v, version %d, %v", rows, v, err)
	}
	if _, _, err := c.Changes(context.Background(), "t", 2, 0); !errors.Is(err, store.ErrHistoryTruncated) {
		t.Errorf("changes from before the copy: %v", err)
	}
	done := make(chan []store.Entry, 1)
	go func() {
		rows, _, err := c.Changes(context.Background(), "t", 3, testTimeout)
		if err != nil {
			t.Error(err)
		}
		done <- rows
	}()
	time.Sleep(20 * time.Millisecond) // usually the call waits by now
	log.Apply([]store.Entry{{Key: "a", Version: 4}}, 3, 4)
	select {
	case rows := <-done:
		if len(rows) != 1 || rows[0].Value != nil || rows[0].Version != 4 {
			t.Errorf("rows %v", rows)
		}
	case <-time.After(testTimeout):
		t.Fatal("the call did not end with the change")
	}
	vouched = false
	if _, _, err := c.Changes(context.Background(), "t", 4, 0); result.As(err).Code != result.StoreUnavailable {
		t.Errorf("a copy that nobody vouches for: %v", err)
	}
}

// Guards against readers whose link is full of whole configurations and tables: large
// answers go compressed, once for all followers, and arrive as they were.
func TestLargeAnswersGoCompressed(t *testing.T) {
	var config strings.Builder
	for i := range 1300 {
		fmt.Fprintf(&config, `{"name":"r-%x","host":"h.example","path_prefix":"/%x/","kind":"idempotent","timeout_ms":1500},`, i*7919, i*104729)
	}
	want := map[string][]byte{"config": []byte(config.String())}
	for i := range 1000 {
		want[fmt.Sprint("server", i)] = fmt.Appendf(nil, `{"service":"s","address":"10.0.%d.%d:8080","zone":"z","slots":64,"state":"ready"}`, i/256, i%256)
	}
	log := feedlog.New()
	var rows []store.Entry
	size := 0
	for k, v := range want {
		rows = append(rows, store.Entry{Key: k, Value: v, Version: 1})
		size += len(v)
	}
	log.Reset(rows, 1)
	s := &Server{
		Log: func(string) *feedlog.Log { return log }, Now: func() freshness.Instant { return 0 },
		ReadStart: func(string) freshness.Instant { return 0 },
	}
	var sent atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
			s.Handle(ctx)
			sent.Add(int64(len(ctx.Response.Body())))
		})
	}()
	c := NewPool().NewClient(ln.Addr().String())
	verify := func(rows []store.Entry, keys, size int) {
		t.Helper()
		if len(rows) != keys {
			t.Fatalf("%d rows, want %d", len(rows), keys)
		}
		for _, r := range rows {
			if !bytes.Equal(r.Value, want[r.Key]) {
				t.Fatalf("row %q arrived as %d other bytes", r.Key, len(r.Value))
			}
		}
		if n := sent.Swap(0); n > int64(size)/5 {
			t.Errorf("%d bytes for rows of %d", n, size)
		}
	}
	for version := uint64(1); version < 2*maxCachedResponses; version++ {
		got, _, err := c.Snapshot(context.Background(), "t")
		if err != nil {
			t.Fatal(err)
		}
		verify(got, len(want), size)
		want["config"] = append(want["config"], '0'+byte(version))
		size++
		log.Apply([]store.Entry{{Key: "config", Value: want["config"], Version: version + 1}}, version, version+1)
		for range 3 {
			got, v, err := c.Changes(context.Background(), "t", version, 0)
			if err != nil || v != version+1 {
				t.Fatalf("version %d after %d, %v", v, version, err)
			}
			verify(got, 1, len(want["config"]))
		}
	}
	if n := len(s.responseCache.entries); n > maxCachedResponses {
		t.Errorf("%d compressed answers are kept", n)
	}
}

// Guards against a peer whose rubbish ends the process or becomes a configuration.
func TestRubbishIsNoRow(t *testing.T) {
	var m feedpb.Changes
	if err := decompress([]byte("no compressed rows"), &m); err == nil {
		t.Errorf("rubbish became %v", &m)
	}
}
