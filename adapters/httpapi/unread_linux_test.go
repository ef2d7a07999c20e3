package httpapi

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/gateway"
)

// Guards against a call that runs although its caller has sent more than the kernel may keep,
// and against one that is refused, or the next on its connection, although its caller has not.
func TestUnreadBytesOfCalls(t *testing.T) {
	const request = "POST /x HTTP/1.1\r\nHost: r\r\nAuthorization: k\r\nContent-Length: 0\r\n\r\n"
	for _, row := range []struct {
		name          string
		budget        int64
		after         int // bytes sent after the request
		status, calls int
	}{
		{"room", 2 * budget.UnreadBytes, 0, http.StatusOK, 3},
		{"room, bytes after the request", 2 * budget.UnreadBytes, 64 << 10, http.StatusOK, 1},
		{"no room", 0, 0, http.StatusOK, 3},
		{"no room, bytes after the request", 0, 64 << 10, http.StatusServiceUnavailable, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			var ran atomic.Int64
			o := &fakeOpener{open: func(ctx context.Context, req *gateway.Request) (gateway.Response, error) {
				ran.Add(1)
				return respondOK(ctx, req)
			}}
			l := testLimits()
			l.Unread = budget.NewBytes(row.budget)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			// The kernel has received everything before the connection is accepted.
			_, _ = io.WriteString(c, request+strings.Repeat("x", row.after))
			time.Sleep(50 * time.Millisecond)
			s := &Server{Opener: o, Admission: allowAll{}, Log: zap.NewNop(), Frontend: testFrontend{}}
			served := make(chan struct{})
			go func() { _ = s.Serve(ln, l); close(served) }()
			t.Cleanup(func() { ln.Close(); <-served })
			br := bufio.NewReader(c)
			for call := range max(1, row.calls) {
				if call > 0 {
					_, _ = io.WriteString(c, request)
				}
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				if resp.StatusCode != row.status || resp.Close != (row.status != http.StatusOK) {
					t.Errorf("call %d: status %d, close %v", call, resp.StatusCode, resp.Close)
				}
			}
			if n := int(ran.Load()); n != row.calls {
				t.Errorf("%d requests ran, want %d", n, row.calls)
			}
			_ = c.Close()
			for until := time.Now().Add(testTimeout); l.Unread.Used() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(until) {
					t.Fatalf("%d bytes remain taken", l.Unread.Used())
				}
			}
		})
	}
}
