package httpapi

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/budget"
)

// Guards against incomplete requests that keep a whole one out for longer than they are
// young, refusals that the caller can't read, and counts that are lost.
func TestIncompleteRequestsGiveWay(t *testing.T) {
	l := testLimits()
	l.MaxBodyBytes, l.Bodies, l.Reading = 4<<20, budget.NewBodies(bodyBudget), budget.NewReading(3)
	addr := serve(t, &Server{Opener: &fakeOpener{open: respondOK}, Admission: allowAll{}, Log: zap.NewNop(), Frontend: testFrontend{}}, l)
	var stalled []net.Conn
	for _, begun := range []string{"", "Content-Length: 10\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\n"} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: r\r\n"+begun)
		stalled = append(stalled, c)
		for want, until := int64(len(stalled)), time.Now().Add(testTimeout); l.Reading.Used() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%d requests are being read, want %d", l.Reading.Used(), want)
			}
		}
	}
	for served := 0; served < len(stalled); {
		switch status := post(t, addr, 10, false); status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			time.Sleep(50 * time.Millisecond)
		default:
			t.Fatalf("status %d", status)
		}
	}
	// One gave way for the first request, which left its room to the others.
	if resp, err := http.ReadResponse(bufio.NewReader(stalled[0]), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the oldest request: %+v, %v", resp, err)
	}
	for _, c := range stalled {
		_ = c.Close()
	}
	for until := time.Now().Add(testTimeout); l.Reading.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d requests are left", l.Reading.Used())
		}
	}
}

// Guards against a data race between a request that begins and a shutdown that closes its idle
// connection, and against a count that is never given back.
func TestRequestsBeginInShutdown(t *testing.T) {
	for range 20 {
		l := testLimits()
		l.MaxBodyBytes, l.Bodies, l.Reading = 4<<20, budget.NewBodies(bodyBudget), budget.NewReading(100)
		s := &Server{Opener: &fakeOpener{open: respondOK}, Admission: allowAll{}, Log: zap.NewNop(), Frontend: testFrontend{}}
		addr := serve(t, s, l)
		var clients, first sync.WaitGroup
		for range 50 {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			first.Add(1)
			clients.Go(func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: r\r\nContent-Length: 1\r\n\r\nx")
					resp, err := http.ReadResponse(r, nil)
					if n == 0 {
						first.Done()
					}
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
			})
		}
		first.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if err := s.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		clients.Wait()
		for until := time.Now().Add(testTimeout); l.Reading.Used() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%d requests are left", l.Reading.Used())
			}
		}
	}
}

// Guards against sound requests that are refused because others have begun a moment before.
func TestRequestsWaitToBeRead(t *testing.T) {
	l := testLimits()
	l.MaxBodyBytes, l.Bodies, l.Reading = 4<<20, budget.NewBodies(bodyBudget), budget.NewReading(2)
	addr := serve(t, &Server{Opener: &fakeOpener{open: respondOK}, Admission: allowAll{}, Log: zap.NewNop(), Frontend: testFrontend{}}, l)
	for range 2 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: r\r\n")
	}
	for until := time.Now().Add(testTimeout); l.Reading.Used() != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d requests are being read, want 2", l.Reading.Used())
		}
	}
	if status := post(t, addr, 10, false); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
