package httpapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

const (
	longBodyBytes = 1 << 20
	// bodyBudget has room for one long body beside short ones.
	bodyBudget = 2 << 20
)

// startWithBodies starts a server whose requests run until finish is called for each.
func startWithBodies(t *testing.T, wait time.Duration) (addr string, bodies *budget.Bodies, started chan int, remaining chan time.Duration, finish chan struct{}) {
	t.Helper()
	started, remaining, finish = make(chan int, 100), make(chan time.Duration, 100), make(chan struct{}, 100)
	o := &fakeOpener{open: func(ctx context.Context, req *gateway.Request) (gateway.Response, error) {
		remaining <- time.Until(req.Deadline)
		started <- len(req.Body)
		if len(req.Body) >= longBodyBytes {
			<-finish
		}
		return respondOK(ctx, req)
	}}
	bodies = budget.NewBodies(bodyBudget)
	l := testLimits()
	l.MaxBodyBytes, l.Bodies, l.BodyWait = 4<<20, bodies, wait
	return serve(t, &Server{Opener: o, Admission: allowAll{}, Log: zap.NewNop(), Frontend: testFrontend{}}, l), bodies, started, remaining, finish
}

// post sends a request and returns its status. Whether all of the body could be sent does not
// matter: a refusal may come before.
func post(t *testing.T, addr string, bytes int, chunked bool) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	body := strings.Repeat("x", bytes)
	head := fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes)
	if chunked {
		head, body = "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", bytes, body)
	}
	if _, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: r\r\n"+head+body); err != nil {
		t.Errorf("send: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("no response to a body of %d bytes, chunked %v: %v", bytes, chunked, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against bodies read without room, and refusals of them that reach short or running requests.
func TestBodiesWithoutRoom(t *testing.T) {
	addr, bodies, started, _, finish := startWithBodies(t, 0)
	first := make(chan int)
	go func() { first <- post(t, addr, longBodyBytes, false) }()
	<-started
	for _, chunked := range []bool{false, true} {
		if status := post(t, addr, longBodyBytes, chunked); status != result.MemoryExhausted.Info().HTTPStatus {
			t.Errorf("status %d for a body without room, chunked %v", status, chunked)
		}
		for _, bytes := range []int{0, 10, 20_000, 60_000} {
			if status := post(t, addr, bytes, chunked); status != http.StatusOK {
				t.Errorf("status %d for %d bytes, chunked %v", status, bytes, chunked)
			}
			if got := <-started; got != bytes {
				t.Errorf("a request with %d bytes ran, want %d", got, bytes)
			}
		}
	}
	finish <- struct{}{}
	if status := <-first; status != http.StatusOK {
		t.Errorf("status %d for the first body", status)
	}
	if bodies.Refused() == 0 || bodies.Highest() > bodyBudget {
		t.Errorf("refused %d, highest %d", bodies.Refused(), bodies.Highest())
	}
	awaitEmpty(t, bodies)
}

// awaitEmpty waits until all room was given back, which may follow the response.
func awaitEmpty(t *testing.T, bodies *budget.Bodies) {
	t.Helper()
	for until := time.Now().Add(testTimeout); bodies.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d bytes were not given back", bodies.Used())
		}
	}
}

// Guards against refusing a body although room is freed in time, and against extending its deadline.
func TestBodyWaitsForRoom(t *testing.T) {
	addr, bodies, started, remaining, finish := startWithBodies(t, testTimeout)
	const pause = 100 * time.Millisecond
	results := make(chan int)
	for range 3 {
		go func() { results <- post(t, addr, longBodyBytes, false) }()
	}
	for i := range 3 {
		<-started
		if left := <-remaining; left > testTimeout-time.Duration(i)*time.Millisecond {
			t.Errorf("request %d has %v left", i, left)
		}
		for bodies.Refused() < 2 { // until the others wait
			time.Sleep(time.Millisecond)
		}
		time.Sleep(pause)
		finish <- struct{}{}
	}
	for range 3 {
		if status := <-results; status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if bodies.Highest() > bodyBudget {
		t.Errorf("%d bytes at once", bodies.Highest())
	}
	awaitEmpty(t, bodies)
}

// Guards against room that is lost when a caller leaves within its body.
func TestRoomOfAbandonedBody(t *testing.T) {
	addr, bodies, _, _, _ := startWithBodies(t, 0)
	for _, head := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nfffff\r\n"} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: r\r\n"+head+strings.Repeat("x", 100_000))
		for until := time.Now().Add(testTimeout); bodies.Used() == 0 && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		if bodies.Used() == 0 {
			t.Errorf("no room was taken for %q", head)
		}
		_ = c.Close()
		awaitEmpty(t, bodies)
	}
}

// Guards against long bodies in chunks that use up what is kept for short ones.
func TestChunkedBodiesLeaveRoomForShortOnes(t *testing.T) {
	addr, bodies, started, _, _ := startWithBodies(t, 0)
	for range 40 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n"+strings.Repeat("x", 100_000))
	}
	for until, last := time.Now().Add(testTimeout), int64(-1); bodies.Refused() == 0 || bodies.Used() != last; {
		if time.Now().After(until) {
			t.Fatalf("%d bytes are in use", bodies.Used())
		}
		last = bodies.Used()
		time.Sleep(50 * time.Millisecond)
	}
	for range 20 {
		if status := post(t, addr, 60_000, true); status != http.StatusOK {
			t.Fatalf("status %d for a short body", status)
		}
		<-started
	}
}
