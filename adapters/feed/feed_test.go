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

// testTimeout ends a test that hangs; no behaviour depends on it.
const testTimeout = 30 * time.Second

// at returns a version of the era that the tests use.
func at(number uint64) store.Version { return store.Version{Era: 7, Number: number} }

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

// Guards against a reported age that is less than the age of the returned rows, which
// happens if a store read that ends while the response is built supplies the start time.
func TestAgeCoversReturnedRows(t *testing.T) {
	log := feedlog.New()
	log.Reset([]store.Entry{{Key: "k", Value: []byte("old"), Version: 1}}, at(1))
	var now, began freshness.Instant = time.Second, 100 * time.Millisecond
	version := uint64(1)
	s := &Server{
		Log: func(string) *feedlog.Log { return log }, Now: func() freshness.Instant { return now },
		ReadStart: func(string) freshness.Instant {
			// A later store read ends just before the start time is taken.
			version++
			log.Apply([]store.Entry{{Key: "k", Value: []byte{byte(version)}, Version: version}}, at(version-1), at(version))
			began += 100 * time.Millisecond
			return began
		},
	}
	c := serve(t, s)
	for range 5 {
		after := version
		rows, got, err := c.Changes(context.Background(), "t", at(after), 0)
		if err != nil || len(rows) != 1 || got.Number < after+1 {
			t.Fatalf("rows %v of version %v after %d, %v", rows, got, after, err)
		}
		// The read that produced version v started at v * 100 ms.
		if reflects := now - c.Age; reflects > freshness.Instant(got.Number)*100*time.Millisecond {
			t.Fatalf("version %v is reported as read at %v", got, reflects)
		}
	}
}

// Guards against long polls that end early or miss a change, and against serving a
// replica that may be out of date.
func TestLongPoll(t *testing.T) {
	log := feedlog.New()
	current := true
	s := &Server{
		Log: func(string) *feedlog.Log {
			if !current {
				return nil
			}
			return log
		},
		Now: func() freshness.Instant { return 0 }, ReadStart: func(string) freshness.Instant { return 0 },
	}
	c := serve(t, s)
	if _, _, err := c.Snapshot(context.Background(), "t"); result.As(err).Code != result.StoreUnavailable {
		t.Errorf("table without a snapshot: %v", err)
	}
	log.Reset([]store.Entry{{Key: "a", Value: []byte{}, Version: 3}}, at(3))
	if rows, v, err := c.Snapshot(context.Background(), "t"); err != nil || v != at(3) || len(rows) != 1 || rows[0].Value == nil {
		t.Errorf("whole table: %v, version %d, %v", rows, v, err)
	}
	if _, _, err := c.Changes(context.Background(), "t", at(2), 0); !errors.Is(err, store.ErrHistoryTruncated) {
		t.Errorf("changes before the start of the history: %v", err)
	}
	done := make(chan []store.Entry, 1)
	go func() {
		rows, _, err := c.Changes(context.Background(), "t", at(3), testTimeout)
		if err != nil {
			t.Error(err)
		}
		done <- rows
	}()
	time.Sleep(20 * time.Millisecond) // lets the long poll start, in most runs
	log.Apply([]store.Entry{{Key: "a", Version: 4}}, at(3), at(4))
	select {
	case rows := <-done:
		if len(rows) != 1 || rows[0].Value != nil || rows[0].Version != 4 {
			t.Errorf("rows %v", rows)
		}
	case <-time.After(testTimeout):
		t.Fatal("long poll did not return after a change")
	}
	current = false
	if _, _, err := c.Changes(context.Background(), "t", at(4), 0); result.As(err).Code != result.StoreUnavailable {
		t.Errorf("out-of-date replica: %v", err)
	}
}

// Guards against store readers that saturate their link with uncompressed snapshots and
// configurations. Large responses are compressed once for all followers and must be
// decompressed without a difference.
func TestLargeResponsesAreCompressed(t *testing.T) {
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
	log.Reset(rows, at(1))
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
				t.Fatalf("row %q differs after transfer, %d bytes", r.Key, len(r.Value))
			}
		}
		if n := sent.Swap(0); n > int64(size)/5 {
			t.Errorf("%d bytes sent for rows of %d bytes", n, size)
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
		log.Apply([]store.Entry{{Key: "config", Value: want["config"], Version: version + 1}}, at(version), at(version+1))
		for range 3 {
			got, v, err := c.Changes(context.Background(), "t", at(version), 0)
			if err != nil || v != at(version+1) {
				t.Fatalf("version %v after %d, %v", v, version, err)
			}
			verify(got, 1, len(want["config"]))
		}
	}
	if n := len(s.responseCache.entries); n > maxCachedResponses {
		t.Errorf("%d compressed responses are cached", n)
	}
}

// Guards against changes of one era that continue a copy of another one, and against a
// follower that waits for changes of an era that is over.
func TestErasAreNotMixed(t *testing.T) {
	log := feedlog.New()
	log.Reset(nil, at(3))
	s := &Server{
		Log: func(string) *feedlog.Log { return log }, Now: func() freshness.Instant { return 0 }, ReadStart: func(string) freshness.Instant { return 0 },
		Extra: func(table string) ([]store.Entry, bool) {
			return []store.Entry{{Key: "off"}, {Key: "on", Value: []byte{}}}, table == "extra"
		},
	}
	c := serve(t, s)
	for _, after := range []store.Version{{Era: 6, Number: 3}, {Era: 8, Number: 3}, {Number: 3}} {
		if _, _, err := c.Changes(context.Background(), "t", after, 0); !errors.Is(err, store.ErrHistoryTruncated) {
			t.Errorf("changes after %v were served from era 7: %v", after, err)
		}
	}
	// A follower of an earlier build states no era and must not read the table again and again.
	if status, _, err := c.http.Get("http://"+c.Address+Path+"?table=t&after=3&wait_ms=0", testTimeout); err != nil || status != fasthttp.StatusOK {
		t.Errorf("request without an era: status %d, %v", status, err)
	}
	ended := make(chan error, 1)
	go func() {
		_, _, err := c.Changes(context.Background(), "t", at(3), testTimeout)
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond) // lets the long poll start, in most runs
	log.Reset([]store.Entry{{Key: "a", Value: []byte{}, Version: 1}}, store.Version{Era: 8, Number: 1})
	if err := <-ended; !errors.Is(err, store.ErrHistoryTruncated) {
		t.Errorf("the wait for changes of era 7 ended with %v", err)
	}
	rows, v, err := c.Snapshot(context.Background(), "t")
	if err != nil || len(rows) != 1 || v != (store.Version{Era: 8, Number: 1}) {
		t.Errorf("%v, version %v, %v", rows, v, err)
	}
	if rows, _, err = c.Snapshot(context.Background(), "extra"); err != nil || len(rows) != 2 || rows[0].Value != nil || rows[1].Value == nil {
		t.Errorf("extra table: %v, %v", rows, err)
	}
}

// Guards against invalid compressed data that causes a panic or is accepted as rows.
func TestInvalidCompressedData(t *testing.T) {
	var m feedpb.Changes
	if err := decompress([]byte("no compressed rows"), &m); err == nil {
		t.Errorf("invalid data was decoded as %v", &m)
	}
}
