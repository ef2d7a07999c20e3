package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cyclamenhitch/core/manifest"
)

// event returns an event with a number, whose lines end with end.
func event(n int, end string) string {
	return fmt.Sprintf("id: %d%sdata: %s%s%s", n, end, strings.Repeat("0", 3*n), end, end)
}

// brokenFraming returns what a server in trouble sends in place of the chunk with an event, by
// form. The chunks of later events and the end of the body follow.
func brokenFraming(data string) map[string]string {
	whole, size := chunk(data), len(data)
	forms := map[string]string{
		"size 0":                       "0\r\n" + data + "\r\n",
		"size 0, then the next chunk":  "0\r\n" + data,
		"size 0 in one digit more":     fmt.Sprintf("0%x0\r\n%s\r\n", 0, data),
		"size too small by 1":          fmt.Sprintf("%x\r\n%s\r\n", size-1, data),
		"size too small by 2":          fmt.Sprintf("%x\r\n%s\r\n", size-2, data),
		"size too large by 1":          fmt.Sprintf("%x\r\n%s\r\n", size+1, data),
		"size too large by 2":          fmt.Sprintf("%x\r\n%s\r\n", size+2, data),
		"size with a sign":             fmt.Sprintf("+%x\r\n%s\r\n", size, data),
		"size in another form":         fmt.Sprintf("0x%x\r\n%s\r\n", size, data),
		"text after the size":          fmt.Sprintf("%x 0\r\n%s\r\n", size, data),
		"size ends with a line feed":   fmt.Sprintf("%x\n%s\r\n", size, data),
		"no end":                       strings.TrimSuffix(whole, "\r\n"),
		"ends with a line feed":        strings.TrimSuffix(whole, "\r\n") + "\n",
		"ends with a carriage return":  strings.TrimSuffix(whole, "\n"),
		"ends with other bytes":        strings.TrimSuffix(whole, "\r\n") + "00",
		"other byte, then the end":     strings.TrimSuffix(whole, "\r\n") + "x0\r\n\r\n",
		"line feed, then the end":      strings.TrimSuffix(whole, "\r\n") + "\n0\r\n\r\n",
		"last chunk without its end":   "0\r\n\n" + whole,
		"last chunk with a line feed":  "0\n\n" + whole,
		"trailer without a name":       "0\r\n: x\r\n\r\n" + whole,
		"trailer without a value":      "0\r\nx\r\n\r\n" + whole,
		"trailer with a blank":         "0\r\nx y: z\r\n\r\n" + whole,
		"trailer with a control byte":  "0\r\nx: \x01\r\n\r\n" + whole,
		"trailer ends with line feeds": "0\r\nx: y\n\n" + whole,
	}
	return forms
}

// Guards against a stream that reaches its caller as complete, or with other events, after
// chunks that are not valid: the server's last event is missing then.
func TestStreamWithInvalidChunksIsNotComplete(t *testing.T) {
	const events = 3
	for _, end := range []string{"\n", "\r\n"} {
		for broken := 1; broken <= events; broken++ {
			for name, form := range brokenFraming(event(broken, end)) {
				for _, kind := range []string{"order-stream", "resumable"} {
					t.Run(fmt.Sprintf("%s of event %d, lines end with %q, %s", name, broken, end, kind), func(t *testing.T) {
						t.Parallel()
						var sent, whole strings.Builder
						for n := 1; n <= events; n++ {
							part := chunk(event(n, end))
							if n == broken {
								part = form
							}
							sent.WriteString(part)
							whole.WriteString(event(n, end))
						}
						server := serveRaw(t, false, func(c net.Conn, _ int, id string) bool {
							_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "{id}", id)+sent.String()+"0\r\n\r\n")
							return true
						})
						got := sendRequest(opaqueClient(), server, kind, "r-1", 10*time.Second)
						if strings.Contains(got, "complete") || !strings.Contains(got, "unknown") {
							t.Error(got)
						}
						// What is passed on before the break must be the server's.
						if body, ok := quotedBody(got); ok && !strings.HasPrefix(whole.String(), body) {
							t.Errorf("passed on: %q", body)
						}
					})
				}
			}
		}
	}
}

// quotedBody returns the body in the description of a response.
func quotedBody(description string) (body string, ok bool) {
	_, rest, ok := strings.Cut(description, "body ")
	if ok {
		_, err := fmt.Sscanf(rest, "%q", &body)
		ok = err == nil
	}
	return body, ok
}

// Guards against a response that is no stream and reaches its caller as a success after chunks
// that are not valid.
func TestBodyWithInvalidChunksIsNotComplete(t *testing.T) {
	for name, form := range brokenFraming("hello, ") {
		for api, client := range map[string]*Client{"opaque": opaqueClient(), "chat API": {MaxAnswerBytes: 1 << 20}} {
			t.Run(api+", "+name, func(t *testing.T) {
				t.Parallel()
				server := serveRaw(t, false, func(c net.Conn, _ int, id string) bool {
					_, _ = io.WriteString(c, strings.ReplaceAll(opaqueHead, "{id}", id)+"Transfer-Encoding: chunked\r\n\r\n"+form+chunk("world")+"0\r\n\r\n")
					return true
				})
				if got := sendRequest(client, server, "order", "r-1", 10*time.Second); strings.Contains(got, "complete") || !strings.Contains(got, "unknown") {
					t.Error(got)
				}
			})
		}
	}
}

// serveResumed starts a server that continues a stream up to event 3.
func serveResumed(t *testing.T) *manifest.Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-ID"))
		for n := last + 1; n <= 3; n++ {
			_, _ = io.WriteString(w, event(n, "\n"))
			w.(http.Flusher).Flush()
		}
	})}
	go func() { _ = srv.Serve(ln) }() // ends with Close
	t.Cleanup(func() { _ = srv.Close() })
	return &manifest.Server{Name: "second", Address: ln.Addr().String()}
}

// A resumable stream must go on at another server after the last event before chunks that are
// not valid.
func TestStreamWithInvalidChunksIsResumed(t *testing.T) {
	for name, form := range brokenFraming(event(2, "\n")) {
		first := serveRaw(t, false, func(c net.Conn, _ int, id string) bool {
			_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "{id}", id)+chunk(event(1, "\n"))+form+"0\r\n\r\n")
			return false
		})
		second := serveResumed(t)
		var rejected []Rejection
		client := opaqueClient()
		client.OnRejected = func(r Rejection) { rejected = append(rejected, r) }
		req := testRequest("resumable", 3600)
		req.ID, req.Failover = "r-1", func(error) (*manifest.Server, error) { return second, nil }
		got := describe(client.Open(context.Background(), first, req, "r-1"))
		if body, _ := quotedBody(got); !strings.Contains(got, "complete") || body != event(1, "\n")+event(2, "\n")+event(3, "\n") {
			t.Errorf("%s: %s", name, got)
		}
		if len(rejected) > 1 || len(rejected) == 1 && rejected[0].Reason != RejectedFraming {
			t.Errorf("%s: rejections %+v", name, rejected)
		}
	}
}
