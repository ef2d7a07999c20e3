package httpapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/gateway"
)

// Guards against a caller that waits in vain for 100 Continue on a connection that was idle
// for longer than the write timeout.
func TestContinueOnIdleConnection(t *testing.T) {
	l := testLimits()
	l.MaxBodyBytes, l.Bodies, l.WriteTimeout = 4<<20, budget.NewBodies(bodyBudget), 50*time.Millisecond
	addr := serve(t, &Server{Opener: &fakeOpener{open: respondOK}, Admission: allowAll{}, Log: zap.NewNop(), Frontend: testFrontend{}}, l)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(c)
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: r\r\nContent-Length: 1\r\n\r\nx")
	expectStatus(t, r, http.StatusOK)
	time.Sleep(2 * l.WriteTimeout)
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: r\r\nContent-Length: 20000\r\nExpect: 100-continue\r\n\r\n")
	expectStatus(t, r, http.StatusContinue)
}

// Guards against bytes that overtake the response to the request before: a refusal "not run"
// would be taken for the response to a request that has run.
func TestPipelinedRequestIsAnsweredInOrder(t *testing.T) {
	const first = "POST /x HTTP/1.1\r\nHost: r\r\nContent-Length: 1\r\n\r\nx"
	for _, c := range []struct {
		next, body string
		full       bool // the budget of requests that are being read is used up
		want       int
	}{
		{"Content-Length: 5\r\n", "x", true, http.StatusServiceUnavailable},
		{"Content-Length: 20000\r\nExpect: 100-continue\r\n", "", false, http.StatusContinue},
		{"Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n", "", false, http.StatusContinue},
	} {
		t.Run(fmt.Sprintf("%.17s %d", c.next, c.want), func(t *testing.T) {
			l := testLimits()
			l.MaxBodyBytes, l.Bodies, l.Reading = 4<<20, budget.NewBodies(bodyBudget), budget.NewReading(1)
			o := &fakeOpener{open: func(ctx context.Context, req *gateway.Request) (gateway.Response, error) {
				if c.full {
					l.Reading.Begin(time.Now().Add(testTimeout), func() {})
				}
				return respondOK(ctx, req)
			}}
			addr := serve(t, &Server{Opener: o, Admission: allowAll{}, Log: zap.NewNop(), Frontend: testFrontend{}}, l)
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			_ = nc.SetDeadline(time.Now().Add(testTimeout))
			_, _ = io.WriteString(nc, first+"POST /x HTTP/1.1\r\nHost: r\r\n"+c.next+"\r\n"+c.body)
			r := bufio.NewReader(nc)
			expectStatus(t, r, http.StatusOK)
			expectStatus(t, r, c.want)
		})
	}
}

// Guards against an interim response to a caller whose version of HTTP has none.
func TestNoContinueForHTTP10(t *testing.T) {
	addr, _, _, _, _ := startWithBodies(t, 0)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, "POST /x HTTP/1.0\r\nHost: r\r\nContent-Length: 20000\r\nExpect: 100-continue\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	_, _ = c.Write(make([]byte, 20_000))
	expectStatus(t, bufio.NewReader(c), http.StatusOK)
}

func expectStatus(t *testing.T, r *bufio.Reader, want int) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != want {
		t.Fatalf("%+v, %v; want status %d", resp, err, want)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
}
