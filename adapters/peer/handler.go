package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/valyala/fasthttp"
)

// responseRecorder buffers the response of a net/http handler, since the signature
// precedes the body on the connection. Header fields are not sent.
type responseRecorder struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. Only the first call has an effect.
func (r *responseRecorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.body = append(r.body, b...)
	return len(b), nil
}

// serveHTTP calls the handler on the current goroutine. The net/http adaptor of fasthttp
// starts a goroutine per call to support flushed and hijacked responses, which peers do
// not use. The call's context does not refer to the RequestCtx, which is reset for the next
// request: an HTTP client that dials may read the context's values after the call.
func (s *Server) serveHTTP(h http.Handler, ctx *fasthttp.RequestCtx, path string, message []byte) (status int, answer []byte) {
	rec := responseRecorder{header: http.Header{}, body: make([]byte, macBytes, 512)}
	defer func() {
		if p := recover(); p != nil {
			ctx.Logger().Printf("panic in peer call handler: %v", p)
			status, answer = http.StatusInternalServerError, make([]byte, macBytes)
		}
	}()
	contentType := string(ctx.Request.Header.ContentType())
	if contentType == "" {
		contentType = protobufType
	}
	req := &http.Request{
		Method: string(ctx.Method()), URL: &url.URL{Path: path}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Content-Type": {contentType}}, Host: host,
		Body: io.NopCloser(bytes.NewReader(message)), ContentLength: int64(len(message)),
	}
	call, cancel := context.WithCancel(s.calls)
	defer cancel()
	h.ServeHTTP(&rec, req.WithContext(call))
	rec.WriteHeader(http.StatusOK)
	return rec.status, rec.body
}
