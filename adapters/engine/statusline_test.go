package engine

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a status that the HTTP library maps or replaces: "000" reached the caller
// as a complete 200.
func TestStatusLines(t *testing.T) {
	const valid = "HTTP/1.1 200 OK"
	lines := []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 099 X", "HTTP/1.1 2 X", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",
		"HTTP/1.1 OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X", "HTTP/1.1 100 Continue", "HTTP/1.1 2\x00\x30 OK", "HTTP/1.1\t200 OK", "200 OK", valid,
	}
	for _, line := range lines {
		for _, kind := range []string{"order", "read", "order-stream", "resumable", "opaque-head"} {
			for _, framing := range []string{"Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "\r\nhello"} {
				server := serveRaw(t, false, func(c net.Conn, _ int, id string) bool {
					_, _ = io.WriteString(c, line+"\r\nX-Request-Id: "+id+"\r\n"+framing)
					return false
				})
				got := sendRequest(opaqueClient(), server, kind, "r-1", time.Minute)
				if line == valid {
					if !strings.HasPrefix(got, "status 200") || !strings.Contains(got, "complete") {
						t.Errorf("%s, %s, %q: %s", line, kind, framing, got)
					}
				} else if strings.Contains(got, "status") || !strings.Contains(got, "unknown") {
					t.Errorf("%q, %s, %q: %s", line, kind, framing, got)
				}
			}
		}
	}
}

// Guards against bytes after a response without a body that reach this caller or the next one.
func TestBytesAfterStatusWithoutBody(t *testing.T) {
	for _, status := range []int{204, 304} {
		for _, framing := range []string{"Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "\r\nhello", "Content-Length: 0\r\n\r\n"} {
			client := opaqueClient()
			server := serveRaw(t, false, func(c net.Conn, n int, id string) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nKeep-Alive: timeout=60\r\n%s", status, id, framing)
				return true
			})
			for _, id := range []string{"r-1", "r-2"} {
				got := sendRequest(client, server, "order", id, time.Minute)
				if !strings.HasPrefix(got, fmt.Sprint("status ", status)) || !strings.Contains(got, `body ""`) || !strings.Contains(got, "complete") {
					t.Errorf("%d, %q, request %s: %s", status, framing, id, got)
				}
			}
		}
	}
}
