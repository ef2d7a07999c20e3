package engine

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a response to HEAD that is read as a stream: it has no body, and the reader of
// events panicked. Its header must reach the caller, with the length that GET would have.
func TestHeadOfStream(t *testing.T) {
	const events = "Content-Type: text/event-stream\r\n"
	for name, row := range map[string]struct{ fields, want string }{
		"chunked":   {events + "Transfer-Encoding: chunked\r\n\r\n", "Content-Type: text/event-stream"},
		"no length": {events + "Connection: close\r\n\r\n", "Content-Type: text/event-stream"},
		"length":    {events + "Content-Length: 777\r\n\r\n", "Content-Length: 777"},
		"no events": {"Content-Length: 5\r\n\r\n", "Content-Length: 5"},
	} {
		for _, kind := range []string{"order-stream", "resumable", "read"} {
			server := serveRaw(t, false, func(c net.Conn, _ int, id string) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.ReplaceAll(echoed, "{id}", id)+signed+row.fields)
				return true
			})
			client := signedClient()
			for range 2 { // the second one on the connection of the first one, where it is kept
				req := testRequest(kind, 3600)
				req.ID, req.Method, req.Body, req.Deadline = "r-1", "HEAD", nil, time.Now().Add(time.Minute)
				got := describe(client.Open(context.Background(), server, req, "r-1"))
				if !strings.HasPrefix(got, "status 200") || !strings.Contains(got, row.want) || !strings.Contains(got, `body ""`) || !strings.Contains(got, "complete") {
					t.Errorf("%s, %s: %s", name, kind, got)
				}
			}
		}
	}
}
