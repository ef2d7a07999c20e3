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

// testFrontend is a Frontend that accepts every call.
type testFrontend struct{ stream bool }

func (f testFrontend) Parse(ctx *fasthttp.RequestCtx) (*gateway.Request, *result.Error) {
	return &gateway.Request{
		ID: "i", Pool: &manifest.Pool{Name: "p"}, Method: string(ctx.Method()), Path: string(ctx.Request.Header.RequestURI()),
		Body: ctx.PostBody(), Stream: f.stream, Deadline: time.Now().Add(testTimeout),
	}, nil
}

func (testFrontend) Account(h *fasthttp.RequestHeader) (string, *result.Error) {
	if string(h.Peek("Authorization")) == "unknown" {
		return "", result.New(result.Unauthenticated, "unknown")
	}
	return "", nil
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

// Guards against request smuggling: if two parsers disagree about the framing, a second
// request that is hidden in the body of the first one could be served.
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

// withFields is a response with other fields.
type withFields struct {
	gateway.Response
	fields []gateway.Field
}

func (a withFields) Fields() []gateway.Field { return a.fields }

// Guards against a truncated response that looks complete to a caller whose API has no
// error event: a stream, or a body that is passed on as it arrives.
func TestFrontendStreamTruncated(t *testing.T) {
	plain := gateway.Field{Name: "Content-Type", Value: "text/plain"}
	for _, row := range []struct {
		broken, panics bool
		fields         []gateway.Field
	}{
		{},
		{broken: true},
		{broken: true, panics: true},
		{fields: []gateway.Field{plain}},
		{fields: []gateway.Field{plain}, broken: true},
		{fields: []gateway.Field{plain, {Name: "Content-Length", Value: "14"}}},
		{fields: []gateway.Field{plain, {Name: "Content-Length", Value: "20"}}, broken: true},
	} {
		end, broken := error(io.EOF), row.broken
		if broken {
			end = result.New(result.AnswerTruncated, "test")
		}
		o := &fakeOpener{open: func(ctx context.Context, _ *gateway.Request) (gateway.Response, error) {
			resp := &scriptedResponse{ctx: ctx, parts: []string{"id: 1\n\n", "id: 2\n\n"}, err: end, panics: row.panics, closed: make(chan struct{})}
			if row.fields != nil {
				return withFields{resp, row.fields}, nil
			}
			return resp, nil
		}}
		resp, err := http.Get("http://" + startWithFrontend(t, o, true) + "/x")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		const whole = "id: 1\n\nid: 2\n\n"
		// The events of a stream arrive before its end; a body with a length may be shorter.
		valid := string(body) == whole || broken && row.fields != nil && strings.HasPrefix(whole, string(body))
		if (err != nil) != broken || !valid {
			t.Errorf("%+v: body %q, error %v", row, body, err)
		}
	}
}
