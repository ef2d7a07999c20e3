package feed

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/feedlog"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

const patience = 30 * time.Second // a safety limit, not a bound

func serve(t *testing.T, s *Server) *Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() { _ = fasthttp.Serve(ln, s.Handle) }()
	return NewPool().At(ln.Addr().String())
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
		Began: func(string) freshness.Instant {
			// A read that began later ends right before the time is taken.
			version++
			log.Apply([]store.Entry{{Key: "k", Value: []byte{byte(version)}, Version: version}}, version-1, version)
			began += 100 * time.Millisecond
			return began
		},
	}
	c := serve(t, s)
	for range 5 {
		held := version
		rows, got, err := c.Changes(context.Background(), "t", held, 0)
		if err != nil || len(rows) != 1 || got < held+1 {
			t.Fatalf("rows %v of version %d after %d, %v", rows, got, held, err)
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
		Now: func() freshness.Instant { return 0 }, Began: func(string) freshness.Instant { return 0 },
	}
	c := serve(t, s)
	if _, _, err := c.Snapshot(context.Background(), "t"); result.As(err).Code != result.StoreUnavailable {
		t.Errorf("a table that was not read: %v", err)
	}
	log.Reset([]store.Entry{{Key: "a", Value: []byte{}, Version: 3}}, 3)
	if rows, v, err := c.Snapshot(context.Background(), "t"); err != nil || v != 3 || len(rows) != 1 || rows[0].Value == nil {
		t.Errorf("whole table: %v, version %d, %v", rows, v, err)
	}
	if _, _, err := c.Changes(context.Background(), "t", 2, 0); !errors.Is(err, store.ErrHistoryGone) {
		t.Errorf("changes from before the copy: %v", err)
	}
	done := make(chan []store.Entry, 1)
	go func() {
		rows, _, err := c.Changes(context.Background(), "t", 3, patience)
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
	case <-time.After(patience):
		t.Fatal("the call did not end with the change")
	}
	vouched = false
	if _, _, err := c.Changes(context.Background(), "t", 4, 0); result.As(err).Code != result.StoreUnavailable {
		t.Errorf("a copy that nobody vouches for: %v", err)
	}
}
