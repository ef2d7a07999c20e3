package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	smithyhttp "github.com/aws/smithy-go/transport/http"

	policy "cyclamenhitch/core/breaker"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
	fake "cyclamenhitch/standins/platform"
)

const (
	// shortTimeout ends calls that the fake service delays. longTimeout is for calls that
	// must succeed even on a loaded machine.
	shortTimeout = 300 * time.Millisecond
	longTimeout  = 30 * time.Second
)

func newStore(t *testing.T, secret func() []byte) (*Store, *fake.Server) {
	t.Helper()
	return newStoreWithTimeout(t, secret, shortTimeout)
}

func newStoreWithTimeout(t *testing.T, secret func() []byte, callTimeout time.Duration) (*Store, *fake.Server) {
	t.Helper()
	srv, err := fake.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return NewStore(Config{
		TableURL: srv.URL(), TableName: "t", ObjectsURL: srv.URL(), Bucket: "b", AccessKeyID: "router", SecretKey: secret,
		CallTimeout: callTimeout, MaxConcurrent: 4,
	}), srv
}

func testSecret() []byte { return []byte("0123456789abcdef0123456789abcdef") }

func resultCode(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// Guards against a lost reply that is reported as a definite failure of the write,
// failures counted without their reason, and queries that stop after the first page.
func TestStoreFaults(t *testing.T) {
	ctx := context.Background()
	// The breakers count successful calls as slow by the timeout at the start.
	s, srv := newStoreWithTimeout(t, testSecret, longTimeout)
	row := store.Row{Partition: "p", Sort: "0000", Version: 1, Writer: "n1", Data: []byte("x")}
	srv.SetFault(fake.Fault{DropReplies: 1})
	if err := s.Put(ctx, row, 0); resultCode(err) != result.StoreUnavailable {
		t.Fatalf("lost reply: %v", err)
	}
	if got, err := s.Get(ctx, "p", "0000"); err != nil || got.Writer != "n1" {
		t.Fatalf("after a lost reply: %+v, %v", got, err)
	}
	if err := s.Put(ctx, row, 0); !errors.Is(err, store.ErrConditionFailed) {
		t.Fatalf("second write: %v", err)
	}
	for i := 1; i < 250; i++ {
		if err := s.Put(ctx, store.Row{Partition: "p", Sort: fmt.Sprintf("%04d", i), Version: 1}, 0); err != nil {
			t.Fatal(err)
		}
	}
	if rows, err := s.Query(ctx, "p", "0000", 256); err != nil || len(rows) != 250 {
		t.Fatalf("query over pages: %d rows, %v", len(rows), err)
	}
	srv.SetFault(fake.Fault{Delay: time.Second})
	s.cfg.CallTimeout = shortTimeout
	if _, err := s.GetObject(ctx, "o"); resultCode(err) != result.StoreUnavailable {
		t.Fatalf("slow: %v", err)
	}
	s.cfg.CallTimeout = longTimeout
	srv.SetFault(fake.Fault{Down: true})
	if _, err := s.Get(ctx, "p", "0000"); resultCode(err) != result.StoreUnavailable {
		t.Fatalf("down: %v", err)
	}
	srv.SetFault(fake.Fault{})
	if _, err := s.GetObject(ctx, "o"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("missing object: %v", err)
	}
	table, objects := s.Failures()
	if table[ReasonDown] != 2 || objects[ReasonSlow] != 1 {
		t.Fatalf("failures by reason: table %v, objects %v", table, objects)
	}
}

// Guards against an exceeded deadline that is classified as an error of the service. If
// the deadline passes while a response is read, the HTTP client may return the error of
// the connection that it closed, together with the response status.
func TestDeadlineWhileReadingResponse(t *testing.T) {
	s, _ := newStore(t, testSecret)
	s.cfg.CallTimeout = time.Millisecond
	err := s.call(context.Background(), s.tableCalls, "query p", func(ctx context.Context) error {
		<-ctx.Done()
		return &smithyhttp.ResponseError{
			Response: &smithyhttp.Response{Response: &http.Response{StatusCode: http.StatusOK}},
			Err:      &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed},
		}
	})
	if resultCode(err) != result.StoreUnavailable || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error of the call: %v, want the deadline as its cause", err)
	}
	if table, _ := s.Failures(); table[ReasonSlow] != 1 || len(table) != 1 {
		t.Fatalf("failures by reason: %v, want one slow call", table)
	}
}

// Guards against callers that each wait for a timeout while the service is down, and
// against a breaker that stays open after the service has recovered.
func TestStoreOutageOpensBreaker(t *testing.T) {
	ctx := context.Background()
	s, srv := newStore(t, testSecret)
	srv.SetFault(fake.Fault{Down: true})
	for range 200 {
		if _, err := s.Get(ctx, "p", "0"); resultCode(err) != result.StoreUnavailable {
			t.Fatalf("down: %v", err)
		}
	}
	if table, _ := s.Failures(); table[ReasonOpen] < 150 {
		t.Fatalf("failures by reason: %v, want most calls not sent", table)
	}
	srv.SetFault(fake.Fault{})
	for range 1000 {
		if _, err := s.Get(ctx, "p", "0"); errors.Is(err, store.ErrNotFound) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("service recovered but no call reaches it")
}

// Guards against listings that skip or repeat objects at a page boundary, and deletions
// that fail if the object is already deleted.
func TestListAndDeleteObjects(t *testing.T) {
	ctx := context.Background()
	s, srv := newStore(t, testSecret)
	for i := range 5 {
		if err := s.PutObject(ctx, fmt.Sprintf("a/%d", i), []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	_ = s.PutObject(ctx, "b/0", []byte("x"))
	srv.SetFault(fake.Fault{DropReplies: 1})
	if err := s.DeleteObject(ctx, "a/1"); resultCode(err) != result.StoreUnavailable {
		t.Fatalf("lost reply: %v", err)
	}
	for range 2 {
		if err := s.DeleteObject(ctx, "a/1"); err != nil {
			t.Fatalf("repeated deletion: %v", err)
		}
	}
	for after, want := range map[string]string{"": "[a/0 a/2]", "a/2": "[a/3 a/4]", "a/4": "[]"} {
		if got, err := s.ListObjectsAfter(ctx, "a/", after, 2); err != nil || fmt.Sprint(got) != want {
			t.Errorf("after %q: %v, %v, want %s", after, got, err, want)
		}
	}
}

// Guards against a thundering herd when a service recovers. The breaker sends one probe,
// then raises the concurrency step by step up to the limit.
func TestBreakerLimitsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 8
		b := newBreaker(limit, time.Second)
		up := false
		var running, maxRunning, sent atomic.Int64
		call := func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			probe, err := b.acquire(ctx)
			if err != nil {
				return
			}
			sent.Add(1)
			if n := running.Add(1); n > maxRunning.Load() {
				maxRunning.Store(n)
			}
			time.Sleep(100 * time.Millisecond)
			running.Add(-1)
			reason := FailureReason("")
			if !up {
				reason = ReasonDown
			}
			b.release(probe, 100*time.Millisecond, reason)
		}
		burst := func() {
			var wg sync.WaitGroup
			for range 100 {
				wg.Go(call)
			}
			wg.Wait()
		}
		burst()
		if n := maxRunning.Load(); n > limit {
			t.Fatalf("%d concurrent calls, limit is %d", n, limit)
		}
		if n := sent.Load(); n > policy.FailureThreshold+limit {
			t.Fatalf("%d of 100 calls sent while the service is down", n)
		}
		up = true
		time.Sleep(2 * policy.MaxOpenDelay)
		maxRunning.Store(0)
		sent.Store(0)
		burst()
		if sent.Load() != 1 {
			t.Fatalf("%d calls sent after the recovery, want one probe", sent.Load())
		}
		go call()
		go call()
		synctest.Wait()
		if running.Load() != 1 {
			t.Fatalf("%d concurrent calls after the probe, want 1", running.Load())
		}
		for range 3 {
			burst()
		}
		if maxRunning.Load() != limit {
			t.Fatalf("at most %d concurrent calls after the recovery, want %d", maxRunning.Load(), limit)
		}
	})
}

// Guards against a slow service that blocks all callers: slow calls count as failures.
func TestBreakerTreatsSlowAsDown(t *testing.T) {
	b := newBreaker(2, 100*time.Millisecond)
	for range policy.FailureThreshold {
		if _, err := b.acquire(context.Background()); err != nil {
			t.Fatal(err)
		}
		b.release(false, time.Second, "")
	}
	if _, err := b.acquire(context.Background()); !errors.Is(err, errOpen) {
		t.Fatalf("after slow calls: %v", err)
	}
}

// Guards against a signing key that is read only when the client is created.
func TestSecretIsReadForEachCall(t *testing.T) {
	reads := 0
	s, _ := newStore(t, func() []byte { reads++; return testSecret() })
	for range 3 {
		_, _ = s.Get(context.Background(), "p", "0")
	}
	if reads != 3 {
		t.Fatalf("secret read %d times for 3 calls", reads)
	}
}
