package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/liveness"
	"cyclamenhitch/core/result"
)

// response reads the body of one HTTP response and validates its length.
type response struct {
	x        *exchange
	conn     *conn
	stop     func() bool // detaches the connection from the caller's context
	resp     *fasthttp.Response
	body     io.Reader // nil for a response without a body
	status   int
	declared int // body length in bytes; -1: chunked, -2: until the connection closes
	received int
	limit    int
	buf      []byte
	idEchoed bool
	complete bool
	closed   bool
}

// partBufferBytes is the read buffer size for a response that is not streamed.
const partBufferBytes = 16 << 10

const (
	// maxHeadBytes limits the bytes up to the end of the response header, including
	// informational (1xx) responses.
	maxHeadBytes = 64 << 10
	// maxFramingBytes limits the framing overhead (chunk sizes, chunk extensions and
	// trailers) that is accepted on top of the body limit.
	maxFramingBytes = 64 << 10
)

// bodyReadBudget returns how many bytes may follow the header. For a stream, each event
// resets the budget.
func (r *response) bodyReadBudget() int {
	switch {
	case r.isEventStream():
		return maxEventBytes + maxFramingBytes
	case r.declared >= 0:
		return r.declared + maxFramingBytes
	}
	return 2*r.limit + maxFramingBytes
}

func (r *response) initBody() {
	r.status, r.body = r.resp.StatusCode(), r.resp.BodyStream()
	r.declared = r.resp.Header.ContentLength()
	if r.body == nil {
		r.declared = 0
	}
}

func (r *response) isEventStream() bool {
	return r.status == fasthttp.StatusOK && bytes.HasPrefix(r.resp.Header.ContentType(), []byte("text/event-stream"))
}

// verifyHead validates the echoed request id, the status and the declared length.
// A response without an id is accepted only on a connection that carried no earlier
// request, and that connection is not reused.
func (r *response) verifyHead() error {
	if r.x.client.dialect().Opaque {
		return r.verifyOpaqueHead()
	}
	srv := r.x.srv.Name
	id := r.resp.Header.Peek(openAIDialect.RequestID)
	r.idEchoed = len(id) > 0
	switch {
	case r.idEchoed && string(id) != r.x.attemptID:
		return result.New(result.AnswerCrossed, "server %s answered request %q, want %q", srv, id, r.x.attemptID)
	case !r.idEchoed && r.conn.used:
		return result.New(result.AnswerCrossed, "server %s answered without a request id on a connection with earlier requests", srv)
	case r.status == fasthttp.StatusTooManyRequests && r.x.req.Route == nil:
		return result.New(result.ServerRefused, "server %s refused the request with status %d", srv, r.status)
	case r.status >= 500:
		return result.New(result.ServerError, "server %s answered status %d", srv, r.status)
	case r.status < 200:
		return result.New(result.AnswerInvalid, "server %s answered status %d", srv, r.status)
	case r.declared == -2:
		return result.New(result.AnswerInvalid, "server %s sent no body length, so a truncated response could not be detected", srv)
	case r.declared > r.limit:
		return result.New(result.AnswerTooLarge, "server %s declares %d bytes, limit %d", srv, r.declared, r.limit)
	}
	return nil
}

func (r *response) Status() int { return r.status }

// returnedFields are the response header fields forwarded to callers. Framing and
// hop-by-hop fields are not included.
var returnedFields = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition", "Content-Location",
	"Content-Range", "Accept-Ranges", "Cache-Control", "Etag", "Expires", "Last-Modified", "Vary",
	"Location", "Link", "Allow", "Retry-After",
}

// Fields implements gateway.Response. A response to HEAD includes the Content-Length that
// GET would return.
func (r *response) Fields() []gateway.Field {
	if r.x.client.dialect().Opaque {
		return r.endToEndFields()
	}
	out := make([]gateway.Field, 0, 2)
	names := returnedFields
	if r.x.req.Route == nil {
		names = names[:1]
	}
	for _, name := range names {
		if v := r.resp.Header.Peek(name); len(v) > 0 {
			out = append(out, gateway.Field{Name: name, Value: string(v)})
		}
	}
	if r.resp.SkipBody && r.resp.Header.ContentLength() >= 0 {
		out = append(out, gateway.Field{Name: "Content-Length", Value: string(r.resp.Header.Peek("Content-Length"))})
	}
	return out
}

// Next implements gateway.Response.
func (r *response) Next() ([]byte, error) {
	if r.complete || r.body == nil {
		return nil, r.finish()
	}
	if r.buf == nil {
		size := partBufferBytes
		if r.declared > 0 {
			size = min(size, r.declared)
		}
		r.buf = make([]byte, size)
	}
	n, err := r.read(r.buf)
	if r.received > r.limit {
		return nil, result.New(result.AnswerTooLarge, "answer is over %d bytes", r.limit)
	}
	if n > 0 {
		return r.buf[:n], nil
	}
	return nil, err
}

// read reads into p. It returns io.EOF only after a complete body.
func (r *response) read(p []byte) (int, error) {
	for {
		n, err := r.body.Read(p)
		r.received += n
		switch {
		case n > 0:
			r.conn.monitor.BodyStarted = true
			return n, nil
		case err == nil:
			continue
		case err == io.EOF:
			return 0, r.finish()
		}
		return 0, r.readError(err)
	}
}

// finish checks that the body has the declared length and that no data follows it.
func (r *response) finish() error {
	if r.declared >= 0 && r.received != r.declared {
		return result.New(result.AnswerTruncated, "response has %d of %d declared bytes", r.received, r.declared)
	}
	// Bytes after the end of the response belong to no request; Close closes the
	// connection.
	if !r.closed && r.conn.br.Buffered() > 0 && !r.x.client.dialect().Opaque {
		return result.New(result.AnswerInvalid, "%d bytes follow the end of the response", r.conn.br.Buffered())
	}
	r.complete = true
	return io.EOF
}

// fail closes a response whose header was not received and returns its error.
func (r *response) fail(err error, what string) error {
	var e *result.Error
	switch {
	case !r.conn.wrote && r.x.ctx.Err() == nil:
		e = result.Wrap(result.ConnectionLost, err, "server %s: %s", r.x.srv.Name, what).WithOutcome(result.NotRun)
	case isMalformedHeader(err):
		e = result.Wrap(result.AnswerInvalid, err, "server %s", r.x.srv.Name)
	default:
		e = r.readError(err)
		if e.Code == result.AnswerTruncated {
			e = result.Wrap(result.ConnectionLost, err, "server %s: %s", r.x.srv.Name, what)
		}
	}
	r.Close()
	return e
}

// isMalformedHeader reports whether the received bytes are not a valid HTTP header.
func isMalformedHeader(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return true
	}
	return err != io.EOF && !errors.Is(err, io.ErrUnexpectedEOF) && !isNetworkError(err)
}

// readError maps a read error to the reason why the response could not be read.
func (r *response) readError(err error) *result.Error {
	var stopped *result.Error
	switch {
	case errors.As(context.Cause(r.x.ctx), &stopped):
		return stopped
	case r.conn.readBudget < 0:
		return result.New(result.AnswerInvalid, "server %s sent more bytes than a response may have", r.x.srv.Name)
	case r.x.ctx.Err() != nil:
		return result.New(result.CallerGone, "caller disconnected after %d bytes of the response", r.received)
	case r.conn.action == liveness.Expire:
		return result.New(result.DeadlineExceeded, "deadline passed after %d bytes of the response", r.received)
	case r.conn.action != liveness.Wait:
		return result.New(result.ConnectionSilent, "connection silent after %d bytes of the response", r.received)
	}
	return result.Wrap(result.AnswerTruncated, err, "response ended after %d bytes", r.received)
}

// Close implements gateway.Response. The connection is returned to the pool only after a
// complete response that echoed the request id. Otherwise it is closed, which also
// cancels the request at the server.
func (r *response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	keep := r.stop() && r.complete && r.idEchoed && !r.resp.ConnectionClose() && r.conn.br.Buffered() == 0
	if keep {
		r.conn.idleLimit = r.idleLimit()
	}
	if r.resp != nil {
		fasthttp.ReleaseResponse(r.resp)
		r.resp, r.body = nil, nil
	}
	if keep {
		r.conn.release()
	} else {
		_ = r.conn.Conn.Close()
	}
}

// maxPreallocBytes limits the buffer that is allocated for a declared length before
// the body arrives.
const maxPreallocBytes = 64 << 10

// readWhole reads the complete body. A body with a declared length of at most
// maxPreallocBytes is read into a buffer of exactly that size.
func (r *response) readWhole() ([]byte, error) {
	if r.declared > 0 && r.declared <= maxPreallocBytes {
		body := make([]byte, r.declared)
		for n := 0; n < len(body); {
			m, err := r.read(body[n:])
			if err != nil {
				return nil, err
			}
			n += m
		}
		if err := r.finish(); err != io.EOF {
			return nil, err
		}
		return body, nil
	}
	var body []byte
	for {
		part, err := r.Next()
		body = append(body, part...)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readJSON reads the complete body and checks that it belongs to this request.
func (r *response) readJSON() (gateway.Response, error) {
	defer r.Close()
	body, err := r.readWhole()
	if err != nil {
		return nil, err
	}
	if !json.Valid(body) {
		return nil, result.New(result.AnswerInvalid, "response body of %d bytes is not valid JSON", len(body))
	}
	if r.status < 300 {
		if err := r.x.verifyObject(body, nil); err != nil {
			return nil, err
		}
	}
	return gateway.NewStoredResponse(r.status, r.Fields(), body), nil
}

// readOpaque reads the complete body without inspecting its content.
func (r *response) readOpaque() (gateway.Response, error) {
	defer r.Close()
	body, err := r.readWhole()
	if err != nil {
		return nil, err
	}
	return gateway.NewStoredResponse(r.status, r.Fields(), body), nil
}
