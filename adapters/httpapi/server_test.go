package httpapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Guards against service requests that change on the way, and against targets
// and methods that reach another path or request at the service.
func TestServiceTargets(t *testing.T) {
	o := &fakeOpener{open: respondOK}
	_, addr := startServer(t, o, testLimits(), zap.NewNop())
	for _, c := range []struct {
		method, target, want string
		code                 int
	}{
		{"GET", "/svc/catalogue", "/", 200},
		{"GET", "/svc/catalogue/a/b?c=d&e=%2F..", "/a/b?c=d&e=%2F..", 200},
		{"PUT", "/svc/catalogue/a//b/%20x%2Fy;v=1", "/a//b/%20x%2Fy;v=1", 200},
		{"PATCH", "/svc/catalogue/%0d%0aX:1", "/%0d%0aX:1", 200},
		{"DELETE", "/svc/catalogue/a..b/...", "/a..b/...", 200},
		{"PROPFIND", "/svc/catalogue/ñ", "/ñ", 200},
		{"GET", "/svc/catalogue/../orders/1", "", 400},
		{"GET", "/svc/catalogue/a/%2e%2E/b", "", 400},
		{"GET", "/svc/catalogue/a/..%2fb", "", 400},
		{"GET", "/svc/catalogue/a/..%5cb", "", 400},
		{"GET", "/svc/catalogue/a/..;x=1/b", "", 400},
		{"GET", "/svc/catalogue/./b", "", 400},
		{"GET", "/svc/catalogue/%zz", "", 400},
		{"GET", "/svc/catalogue/a#b", "", 400},
		{"GET", "http://other/svc/catalogue/a", "", 400},
		{"TRACE", "/svc/catalogue/a", "", 400},
		{"GET", "/x/../svc/catalogue/a", "", 404},
		{"POST", "/svc/orders/1", "", 400}, // no Idempotency-Key
		{"GET", "/svc/none/1", "", 404},
	} {
		o.last = nil
		resp, body, _ := exchange(t, addr, rawRequest(c.method, c.target, "", ""))
		got := ""
		if o.last != nil {
			got = o.last.Path
			if o.last.Method != c.method {
				t.Errorf("%s %s: method %q", c.method, c.target, o.last.Method)
			}
		}
		if resp.StatusCode != c.code || got != c.want {
			t.Errorf("%s %s: status %d, path %q, want %d and %q: %s", c.method, c.target, resp.StatusCode, got, c.code, c.want, body)
		}
	}
}

// Guards against a multipart body that is rebuilt, fields that are lost, and
// answers without a body that get one.
func TestServiceMessages(t *testing.T) {
	o := &fakeOpener{open: func(_ context.Context, req *gateway.Request) (gateway.Response, error) {
		fields := []gateway.Field{{Name: "Etag", Value: `"7"`}}
		switch req.Method {
		case "HEAD":
			return gateway.NewStoredResponse(200, append(fields, gateway.Field{Name: "Content-Length", Value: "77"}), nil), nil
		case "DELETE":
			return gateway.NewStoredResponse(204, fields, nil), nil
		}
		return gateway.NewStoredResponse(409, fields, []byte("taken")), nil
	}}
	_, addr := startServer(t, o, testLimits(), zap.NewNop())
	body := "--b\r\nContent-Disposition: form-data; name=\"a\"\r\nX: 1\r\n\r\n1\r\n--b--\r\ntrailing"
	resp, got, _ := exchange(t, addr, rawRequest("POST", "/svc/catalogue/a", "Content-Type: multipart/form-data; boundary=b\r\nContent-Language: sl\r\n", body))
	if resp.StatusCode != 409 || got != "taken" || string(o.last.Body) != body || resp.Header.Get("Etag") != `"7"` {
		t.Errorf("POST: %d %q %v, body at the service %q", resp.StatusCode, got, resp.Header, o.last.Body)
	}
	if fmt.Sprint(o.last.Fields) != "[{Content-Language sl} {Content-Type multipart/form-data; boundary=b}]" {
		t.Errorf("fields %v", o.last.Fields)
	}
	if resp, got, _ = exchange(t, addr, rawRequest("HEAD", "/svc/catalogue/a", "", "")); resp.ContentLength != 77 || got != "" {
		t.Errorf("HEAD: length %d, body %q", resp.ContentLength, got)
	}
	if resp, got, _ = exchange(t, addr, rawRequest("DELETE", "/svc/catalogue/a", "", "")); resp.StatusCode != 204 || got != "" {
		t.Errorf("DELETE: %d %q", resp.StatusCode, got)
	}
}

// Guards against work for callers that are gone, while the request waits for
// the first byte and while it streams quietly.
func TestHangUpCancels(t *testing.T) {
	canceled := make(chan struct{}, 1)
	started := make(chan struct{}, 1)
	a := &scriptedResponse{parts: []string{"data: x\n\n"}, closed: make(chan struct{})}
	o := &fakeOpener{open: func(ctx context.Context, req *gateway.Request) (gateway.Response, error) {
		if req.Stream {
			a.ctx = ctx
			return a, nil
		}
		started <- struct{}{}
		<-ctx.Done()
		canceled <- struct{}{}
		return nil, result.New(result.CallerGone, "gone")
	}}
	s, addr := startServer(t, o, testLimits(), zap.NewNop())
	for _, body := range []string{strings.Replace(chat, "true", "false", 1), chat} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, rawRequest("POST", "/v1/chat/completions", "", body))
		end := a.closed
		if body != chat {
			end = canceled
			<-started
		} else {
			_, _ = c.Read(make([]byte, 1))
		}
		c.Close()
		select {
		case <-end:
		case <-time.After(testTimeout):
			t.Fatalf("%s: the request goes on", body)
		}
	}
	for range 1000 {
		if s.Running() == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%d requests still count as running", s.Running())
}

// Guards against streams that end without an error event, also when the relay
// itself fails, and against answers that stay open then.
func TestStreamEndsWithError(t *testing.T) {
	for _, a := range []*scriptedResponse{
		{err: result.New(result.AnswerTruncated, "short")},
		{err: errors.New("plain")},
		{panics: true},
	} {
		a.parts, a.closed = []string{"data: x\n\n"}, make(chan struct{})
		o := &fakeOpener{open: func(context.Context, *gateway.Request) (gateway.Response, error) { return a, nil }}
		_, addr := startServer(t, o, testLimits(), zap.NewNop())
		_, body, _ := exchange(t, addr, rawRequest("POST", "/v1/chat/completions", "", chat))
		if !strings.HasPrefix(body, "data: x\n\nevent: error\ndata: {\"error\":{\"code\":") || !strings.Contains(body, `"outcome":"unknown"`) {
			t.Errorf("%+v: body %q", a, body)
		}
		select {
		case <-a.closed:
		case <-time.After(testTimeout):
			t.Errorf("%+v: not closed", a)
		}
	}
}

// Guards against limits that are not enforced or not told, and against a
// reader that holds a request for ever.
func TestLimits(t *testing.T) {
	l := testLimits()
	l.MaxConnectionsPerIP, l.ReadTimeout, l.WriteTimeout = 3, 300*time.Millisecond, 300*time.Millisecond
	endless := &scriptedResponse{closed: make(chan struct{}), err: io.EOF}
	for range 4000 {
		endless.parts = append(endless.parts, strings.Repeat("x", 8<<10))
	}
	o := &fakeOpener{open: func(context.Context, *gateway.Request) (gateway.Response, error) { return endless, nil }}
	_, addr := startServer(t, o, l, zap.NewNop())
	for raw, want := range map[string]string{
		rawRequest("POST", "/v1/chat/completions", "", strings.Repeat("x", l.MaxBodyBytes+1)):         `"code":1008`,
		rawRequest("GET", "/v1/lookup", "X: "+strings.Repeat("x", l.MaxHeaderBytes)+"\r\n", ""):       `"code":1011`,
		"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 10\r\n\r\nx":                `"code":1001`,
		"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 1\r\nContent-Length: 2\r\n": `"code":1001`,
	} {
		_, body, c := exchange(t, addr, raw)
		if !strings.Contains(body, want) || !strings.Contains(body, "not_run") {
			t.Errorf("%.80q: %s, want %s", raw, body, want)
		}
		c.Close()
	}
	// A caller that does not read.
	slow, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	_, _ = io.WriteString(slow, rawRequest("POST", "/v1/chat/completions", "", chat))
	select {
	case <-endless.closed:
	case <-time.After(testTimeout):
		t.Error("a caller that does not read holds the request")
	}
	refused := false
	for range 5 {
		_, body, _ := exchange(t, addr, rawRequest("GET", "/none", "", ""))
		refused = refused || strings.Contains(body, `"code":2020`)
	}
	if !refused {
		t.Error("connections over the limit are not refused")
	}
}

// refuseAll refuses all new work.
type refuseAll struct{}

func (refuseAll) Check() error { return result.New(result.Isolated, "test") }

// Guards against callers that stay on a leaving instance, against refusals
// without a code, and against a refusal marked not_run for a key that nobody
// looked up.
func TestDrainAndRefuse(t *testing.T) {
	s, addr := startServer(t, &fakeOpener{open: respondOK}, testLimits(), zap.NewNop())
	s.Drain()
	if resp, body, _ := exchange(t, addr, rawRequest("GET", "/svc/catalogue/a", "", "")); !resp.Close || body != "ok" {
		t.Errorf("draining: close %v, %s", resp.Close, body)
	}
	s.Refuse()
	if _, body, _ := exchange(t, addr, rawRequest("GET", "/svc/catalogue/a", "", "")); !strings.Contains(body, `"code":2006`) || !strings.Contains(body, "not_run") {
		t.Errorf("stopping: %s", body)
	}
	keyed := func() string {
		_, body, _ := exchange(t, addr, rawRequest("POST", "/svc/orders/1", "Idempotency-Key: k\r\n", "x"))
		return body
	}
	if body := keyed(); !strings.Contains(body, `"code":2006`) || !strings.Contains(body, `"outcome":"unknown"`) {
		t.Errorf("stopping, with a key: %s", body)
	}
	s, addr = startServer(t, &fakeOpener{open: respondOK}, testLimits(), zap.NewNop())
	s.Admission = refuseAll{}
	if body := keyed(); !strings.Contains(body, `"code":2007`) || !strings.Contains(body, `"outcome":"unknown"`) {
		t.Errorf("isolated, with a key: %s", body)
	}
	if _, body, _ := exchange(t, addr, rawRequest("GET", "/svc/catalogue/a", "", "")); !strings.Contains(body, `"code":2007`) || !strings.Contains(body, "not_run") {
		t.Errorf("isolated: %s", body)
	}
}

// directOpener sends each request to one server.
type directOpener struct {
	client engine.Client
	server manifest.Server
}

func (d *directOpener) Open(ctx context.Context, req *gateway.Request) (gateway.Response, error) {
	return d.client.Open(ctx, &d.server, req, req.ID+"-1")
}

// Guards against a caller's key at a backend server, in a log or in an answer.
func TestKeyStaysHere(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var mu sync.Mutex
	var seen bytes.Buffer
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 64<<10)
			n, _ := c.Read(buf)
			mu.Lock()
			seen.Write(buf[:n])
			mu.Unlock()
			c.Close()
		}
	}()
	var log lockedBuffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&log), zap.DebugLevel)
	d := &directOpener{client: engine.Client{MaxAnswerBytes: 1000}, server: manifest.Server{Name: "s", Address: ln.Addr().String()}}
	_, addr := startServer(t, d, testLimits(), zap.New(core))
	key := "Authorization: Bearer " + testKey + "\r\n"
	for _, raw := range []string{
		rawRequest("POST", "/v1/chat/completions", "", chat),
		rawRequest("PUT", "/svc/catalogue/a", "Proxy-Authorization: Bearer "+testKey+"\r\nCookie: k="+testKey+"\r\n", "x"),
		rawRequest("POST", "/v1/chat/completions", "X-Priority: none\r\n", chat),
		"GET /v1/lookup HTTP/1.1\r\n" + key + "no colon\r\n\r\n",
		"GET /v1/lookup HTTP/1.1\r\nHost: r\r\n" + key + "X: " + strings.Repeat("x", 8<<10) + "\r\n\r\n",
		"GET /v1/lookup HTTP/1.1\r\nHost: r\r\n" + key + "Content-Length: -" + testKey + "\r\n\r\n",
	} {
		resp, body, _ := exchange(t, addr, raw)
		if resp.StatusCode < 400 || strings.Contains(body, testKey) {
			t.Errorf("%.60q: status %d, %s", raw, resp.StatusCode, body)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if !strings.Contains(seen.String(), "PUT /a HTTP/1.1") || strings.Contains(seen.String(), testKey) {
		t.Errorf("the server got %q", seen.String())
	}
	if got := log.String(); !strings.Contains(got, "request failed") || strings.Contains(got, testKey) {
		t.Errorf("log: %s", got)
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
