package peer

import (
	"bytes"
	"io"
	"net/http"
	"net/url"

	"github.com/valyala/fasthttp"
)

// responseRecorder collects what a net/http handler answers. Answers are sent whole,
// because their signature precedes them; their fields are not sent.
type responseRecorder struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter; the first status counts.
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

// serveHTTP calls the handler on this goroutine. The adaptor of fasthttp starts one
// for each call, for answers that are flushed or hijacked; peers send neither.
func serveHTTP(h http.Handler, ctx *fasthttp.RequestCtx, path string, message []byte) (status int, answer []byte) {
	rec := responseRecorder{header: http.Header{}, body: make([]byte, macBytes, 512)}
	defer func() {
		if p := recover(); p != nil {
			ctx.Logger().Printf("panic in a call: %v", p)
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
	h.ServeHTTP(&rec, req.WithContext(ctx))
	rec.WriteHeader(http.StatusOK)
	return rec.status, rec.body
}
