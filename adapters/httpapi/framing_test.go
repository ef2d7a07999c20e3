package httpapi

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// testFrontend is a Frontend that takes every call.
type testFrontend struct{ stream bool }

func (f testFrontend) Parse(ctx *fasthttp.RequestCtx) (*gateway.Request, *result.Error) {
	return &gateway.Request{
		ID: "i", Pool: &manifest.Pool{Name: "p"}, Method: string(ctx.Method()), Path: string(ctx.Request.Header.RequestURI()),
		Body: ctx.PostBody(), Stream: f.stream, Deadline: time.Now().Add(testTimeout),
	}, nil
}

func (testFrontend) RequestID(*fasthttp.RequestCtx) string { return "i" }

func (testFrontend) WriteError(ctx *fasthttp.RequestCtx, e *result.Error) {
	ctx.SetStatusCode(e.Code.Info().HTTPStatus)
	ctx.SetBodyString(e.Message)
}

func startWithFrontend(t *testing.T, o Opener, stream bool) string {
	t.Helper()
	return serve(t, &Server{Opener: o, Admission: allowAll{}, Log: zap.NewNop(), Frontend: testFrontend{stream}}, testLimits())
}

// Guards against requests that two parsers read differently: a second request hidden
// in the body of the first one must never be served.
func TestFramingIsRefused(t *testing.T) {
	for _, row := range []struct {
		name, head string
		ok         bool
	}{
		{"one length", "Content-Length: 5\r\n", true},
		{"chunked", "Transfer-Encoding: chunked\r\n", true},
		{"two lengths", "Content-Length: 5\r\nContent-Length: 5\r\n", false},
		{"length and chunked", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", false},
		{"chunked and length", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", false},
		{"two codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", false},
		{"unknown coding", "Transfer-Encoding: xchunked\r\n", false},
		{"space before the colon", "Content-Length : 5\r\n", false},
		{"bare line feed", "X: 1\nContent-Length: 5\r\n", false},
		{"folded line", "X: 1\r\n folded\r\nContent-Length: 5\r\n", false},
	} {
		o := &fakeOpener{open: respondOK}
		addr := startWithFrontend(t, o, false)
		body := "5\r\nhello\r\n0\r\n\r\n"
		if strings.HasPrefix(row.head, "Content-Length: 5\r\n") && row.ok {
			body = "hello"
		}
		resp, _, _ := exchange(t, addr, "POST /x HTTP/1.1\r\nHost: h\r\n"+row.head+"\r\n"+body)
		o.mu.Lock()
		served := o.last
		o.mu.Unlock()
		if row.ok && (resp.StatusCode != 200 || served == nil || string(served.Body) != "hello") {
			t.Errorf("%s: status %d, request %+v", row.name, resp.StatusCode, served)
		}
		if !row.ok && (resp.StatusCode != 400 || !resp.Close || served != nil) {
			t.Errorf("%s: status %d, closed %v, served %v", row.name, resp.StatusCode, resp.Close, served != nil)
		}
	}
}

// Guards against a stream that ends early and looks complete to a caller that knows
// no error event.
func TestForeignStreamBreaksOff(t *testing.T) {
	for _, broken := range []bool{false, true} {
		end := error(io.EOF)
		if broken {
			end = result.New(result.AnswerTruncated, "test")
		}
		o := &fakeOpener{open: func(ctx context.Context, _ *gateway.Request) (gateway.Response, error) {
			return &scriptedResponse{ctx: ctx, parts: []string{"id: 1\n\n", "id: 2\n\n"}, err: end, closed: make(chan struct{})}, nil
		}}
		resp, err := http.Get("http://" + startWithFrontend(t, o, true) + "/x")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if (err != nil) != broken || !strings.HasPrefix(string(body), "id: 1\n\nid: 2\n\n") || strings.Contains(string(body), "error") {
			t.Errorf("broken %v: body %q, error %v", broken, body, err)
		}
	}
}
