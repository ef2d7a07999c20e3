package httpapi

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

const (
	testKey     = "account-key-for-tests"
	testTimeout = 30 * time.Second // a safety limit, not a bound
)

// fakeOpener records requests and answers them with open.
type fakeOpener struct {
	open func(context.Context, *gateway.Request) (gateway.Response, error)
	mu   sync.Mutex
	last *gateway.Request
}

func (o *fakeOpener) Open(ctx context.Context, req *gateway.Request) (gateway.Response, error) {
	o.mu.Lock()
	o.last = req
	o.mu.Unlock()
	return o.open(ctx, req)
}

func respondOK(context.Context, *gateway.Request) (gateway.Response, error) {
	return gateway.NewStoredResponse(200, nil, []byte("ok")), nil
}

// scriptedResponse yields parts and then err, or waits for ctx when err is nil.
type scriptedResponse struct {
	ctx    context.Context
	parts  []string
	err    error
	panics bool
	closed chan struct{}
	once   sync.Once
}

func (a *scriptedResponse) Status() int { return 200 }
func (a *scriptedResponse) Fields() []gateway.Field {
	return []gateway.Field{{Name: "Content-Type", Value: "text/event-stream"}}
}
func (a *scriptedResponse) Close() { a.once.Do(func() { close(a.closed) }) }
func (a *scriptedResponse) Next() ([]byte, error) {
	switch {
	case len(a.parts) > 0:
		p := a.parts[0]
		a.parts = a.parts[1:]
		return []byte(p), nil
	case a.panics:
		panic("test")
	case a.err == nil:
		<-a.ctx.Done()
		return nil, result.New(result.CallerGone, "gone")
	}
	return nil, a.err
}

type allowAll struct{}

func (allowAll) Check() error                                     { return nil }
func (allowAll) Addresses(*manifest.Pool, fleet.ChatKey) []string { return []string{"127.0.0.1:1"} }

func testIndex(tb testing.TB) *manifest.Index {
	sum := sha256.Sum256([]byte(testKey))
	m, err := manifest.Decode([]byte(fmt.Sprintf(`format = 1
[[data_centre]]
name = "cordon"
region = "montevideo"
[[pool]]
name = "taller-modelo"
[[pool]]
name = "registro-pedidos"
kind = "service"
[[server]]
name = "engine-0"
pool = "taller-modelo"
data_centre = "cordon"
address = "127.0.0.1:1"
[[route]]
name = "orders"
pool = "registro-pedidos"
[[route]]
name = "catalogue"
pool = "registro-pedidos"
idempotent = true
[[account]]
name = "workshops"
key_sha256 = [%q]
`, hex.EncodeToString(sum[:]))))
	if err != nil {
		tb.Fatal(err)
	}
	return manifest.NewIndex(1, m)
}

func testLimits() Limits {
	return Limits{
		MaxBodyBytes: 64 << 10, MaxHeaderBytes: 4 << 10, MaxConnections: 100,
		ReadTimeout: testTimeout, WriteTimeout: testTimeout, IdleTimeout: testTimeout,
	}
}

func startServer(tb testing.TB, o Opener, l Limits, log *zap.Logger) (*Server, string) {
	tb.Helper()
	x := testIndex(tb)
	s := &Server{
		Config: func() *manifest.Index { return x }, Opener: o, Directory: allowAll{}, Admission: allowAll{},
		Log: log, NewID: func() string { return "request-1" },
	}
	return s, serve(tb, s, l)
}

func serve(tb testing.TB, s *Server, l Limits) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	served := make(chan struct{})
	go func() { _ = s.Serve(ln, l); close(served) }()
	tb.Cleanup(func() { ln.Close(); <-served })
	return ln.Addr().String()
}

// exchange sends raw bytes and returns the answer and the connection.
func exchange(tb testing.TB, addr, raw string) (*http.Response, string, net.Conn) {
	tb.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, raw)
	method, _, _ := strings.Cut(raw, " ")
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		tb.Fatalf("%.100q: %v", raw, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatalf("%.100q: body: %v", raw, err)
	}
	return resp, string(body), c
}

func rawRequest(method, target, fields, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", method, target, testKey, fields, len(body), body)
}

const chat = `{"model":"taller-modelo","stream":true,"messages":[{"role":"user","content":"x"}]}`
