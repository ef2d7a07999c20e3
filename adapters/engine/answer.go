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

// response reads the body of one HTTP response and checks its declared length.
type response struct {
	x        *exchange
	conn     *conn
	stop     func() bool // ends the cancellation by the caller's context
	resp     *fasthttp.Response
	body     io.Reader // nil for an answer without a body
	status   int
	declared int // bytes; -1 means chunked, -2 means until close
	received int
	limit    int
	buf      []byte
	idEchoed bool
	complete bool
	closed   bool
}

// partBufferBytes is the size of the parts of an answer that is not streamed.
const partBufferBytes = 16 << 10

const (
	// maxHeadBytes bounds the bytes before the end of a head, informational answers
	// included.
	maxHeadBytes = 64 << 10
	// maxFramingBytes bounds the chunk sizes, extensions and trailers of a body, beside
	// as many bytes as the body may have.
	maxFramingBytes = 64 << 10
)

// bodyReadBudget is how many bytes may follow the head. A stream gets its allowance again
// with each event.
func (a *response) bodyReadBudget() int {
	switch {
	case a.isEventStream():
		return maxEventBytes + maxFramingBytes
	case a.declared >= 0:
		return a.declared + maxFramingBytes
	}
	return 2*a.limit + maxFramingBytes
}

func (a *response) initBody() {
	a.status, a.body = a.resp.StatusCode(), a.resp.BodyStream()
	a.declared = a.resp.Header.ContentLength()
	if a.body == nil {
		a.declared = 0
	}
}

func (a *response) isEventStream() bool {
	return a.status == fasthttp.StatusOK && bytes.HasPrefix(a.resp.Header.ContentType(), []byte("text/event-stream"))
}

// verifyHead checks the echoed request id, the status and the declared length.
// Without an id the answer can only be to this request when the connection
// carried no other request, and the connection is not used again.
func (a *response) verifyHead() error {
	if a.x.client.dialect().Opaque {
		return a.verifyOpaqueHead()
	}
	srv := a.x.srv.Name
	id := a.resp.Header.Peek(openAIDialect.RequestID)
	a.idEchoed = len(id) > 0
	switch {
	case a.idEchoed && string(id) != a.x.attemptID:
		return result.New(result.AnswerCrossed, "server %s answered request %q, want %q", srv, id, a.x.attemptID)
	case !a.idEchoed && a.conn.used:
		return result.New(result.AnswerCrossed, "server %s answered without a request id on a connection with earlier requests", srv)
	case a.status == fasthttp.StatusTooManyRequests && a.x.req.Route == nil:
		return result.New(result.ServerRefused, "server %s refused the request with status %d", srv, a.status)
	case a.status >= 500:
		return result.New(result.ServerError, "server %s answered status %d", srv, a.status)
	case a.status < 200:
		return result.New(result.AnswerInvalid, "server %s answered status %d", srv, a.status)
	case a.declared == -2:
		return result.New(result.AnswerInvalid, "server %s declares no length, so a short answer could not be told", srv)
	case a.declared > a.limit:
		return result.New(result.AnswerTooLarge, "server %s declares %d bytes, limit %d", srv, a.declared, a.limit)
	}
	return nil
}

func (a *response) Status() int { return a.status }

// returnedFields are the header fields passed on to callers. Fields that frame
// the message or speak about the connection are not among them.
var returnedFields = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition", "Content-Location",
	"Content-Range", "Accept-Ranges", "Cache-Control", "Etag", "Expires", "Last-Modified", "Vary",
	"Location", "Link", "Allow", "Retry-After",
}

// Fields implements gateway.Answer. An answer to HEAD states the length of the
// body that GET would have.
func (a *response) Fields() []gateway.Field {
	if a.x.client.dialect().Opaque {
		return a.endToEndFields()
	}
	out := make([]gateway.Field, 0, 2)
	names := returnedFields
	if a.x.req.Route == nil {
		names = names[:1]
	}
	for _, name := range names {
		if v := a.resp.Header.Peek(name); len(v) > 0 {
			out = append(out, gateway.Field{Name: name, Value: string(v)})
		}
	}
	if a.resp.SkipBody && a.resp.Header.ContentLength() >= 0 {
		out = append(out, gateway.Field{Name: "Content-Length", Value: string(a.resp.Header.Peek("Content-Length"))})
	}
	return out
}

// Next implements gateway.Answer.
func (a *response) Next() ([]byte, error) {
	if a.complete || a.body == nil {
		return nil, a.finish()
	}
	if a.buf == nil {
		size := partBufferBytes
		if a.declared > 0 {
			size = min(size, a.declared)
		}
		a.buf = make([]byte, size)
	}
	n, err := a.read(a.buf)
	if a.received > a.limit {
		return nil, result.New(result.AnswerTooLarge, "answer is over %d bytes", a.limit)
	}
	if n > 0 {
		return a.buf[:n], nil
	}
	return nil, err
}

// read fills p. It returns io.EOF only after a whole body.
func (a *response) read(p []byte) (int, error) {
	for {
		n, err := a.body.Read(p)
		a.received += n
		switch {
		case n > 0:
			a.conn.monitor.BodyStarted = true
			return n, nil
		case err == nil:
			continue
		case err == io.EOF:
			return 0, a.finish()
		}
		return 0, a.readError(err)
	}
}

// finish checks that the body has the declared length and that nothing follows.
func (a *response) finish() error {
	if a.declared >= 0 && a.received != a.declared {
		return result.New(result.AnswerTruncated, "answer has %d of %d declared bytes", a.received, a.declared)
	}
	// Bytes after a framed answer belong to no request; Close drops the connection.
	if !a.closed && a.conn.br.Buffered() > 0 && !a.x.client.dialect().Opaque {
		return result.New(result.AnswerInvalid, "%d bytes follow the declared end of the answer", a.conn.br.Buffered())
	}
	a.complete = true
	return io.EOF
}

// fail ends an answer whose header has not arrived.
func (a *response) fail(err error, what string) error {
	var e *result.Error
	switch {
	case !a.conn.wrote && a.x.ctx.Err() == nil:
		e = result.Wrap(result.ConnectionLost, err, "server %s: %s", a.x.srv.Name, what).WithOutcome(result.NotRun)
	case isMalformedHeader(err):
		e = result.Wrap(result.AnswerInvalid, err, "server %s", a.x.srv.Name)
	default:
		e = a.readError(err)
		if e.Code == result.AnswerTruncated {
			e = result.Wrap(result.ConnectionLost, err, "server %s: %s", a.x.srv.Name, what)
		}
	}
	a.Close()
	return e
}

// isMalformedHeader says that bytes arrived which are not an HTTP header.
func isMalformedHeader(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return true
	}
	return err != io.EOF && !errors.Is(err, io.ErrUnexpectedEOF) && !isNetworkError(err)
}

// readError says why the body could not be read to its end.
func (a *response) readError(err error) *result.Error {
	var stopped *result.Error
	switch {
	case errors.As(context.Cause(a.x.ctx), &stopped):
		return stopped
	case a.conn.readBudget < 0:
		return result.New(result.AnswerInvalid, "server %s sends bytes without end that are no answer", a.x.srv.Name)
	case a.x.ctx.Err() != nil:
		return result.New(result.CallerGone, "the caller left after %d bytes of the answer", a.received)
	case a.conn.action == liveness.Expire:
		return result.New(result.DeadlineExceeded, "deadline passed after %d bytes of the answer", a.received)
	case a.conn.action != liveness.Wait:
		return result.New(result.ConnectionSilent, "connection silent after %d bytes of the answer", a.received)
	}
	return result.Wrap(result.AnswerTruncated, err, "answer ended after %d bytes", a.received)
}

// Close implements gateway.Answer. A connection is kept only after a complete
// answer that carried the id of its request; otherwise it is closed, which also
// cancels the request at the server.
func (a *response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	keep := a.stop() && a.complete && a.idEchoed && !a.resp.ConnectionClose() && a.conn.br.Buffered() == 0
	if keep {
		a.conn.idleLimit = a.idleLimit()
	}
	if a.resp != nil {
		fasthttp.ReleaseResponse(a.resp)
		a.resp, a.body = nil, nil
	}
	if keep {
		a.conn.release()
	} else {
		_ = a.conn.Conn.Close()
	}
}

// maxPreallocBytes bounds the buffer that is made for a declared length before the
// bytes arrive.
const maxPreallocBytes = 64 << 10

// readWhole reads the body. A short one of a declared length is read into one
// buffer of its size.
func (a *response) readWhole() ([]byte, error) {
	if a.declared > 0 && a.declared <= maxPreallocBytes {
		body := make([]byte, a.declared)
		for n := 0; n < len(body); {
			m, err := a.read(body[n:])
			if err != nil {
				return nil, err
			}
			n += m
		}
		if err := a.finish(); err != io.EOF {
			return nil, err
		}
		return body, nil
	}
	var body []byte
	for {
		part, err := a.Next()
		body = append(body, part...)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readJSON reads the whole body and checks that it is the answer to this request.
func (a *response) readJSON() (gateway.Response, error) {
	defer a.Close()
	body, err := a.readWhole()
	if err != nil {
		return nil, err
	}
	if !json.Valid(body) {
		return nil, result.New(result.AnswerInvalid, "answer of %d bytes is not valid JSON", len(body))
	}
	if a.status < 300 {
		if err := a.x.verifyObject(body, nil); err != nil {
			return nil, err
		}
	}
	return gateway.NewStoredResponse(a.status, a.Fields(), body), nil
}

// readOpaque reads the whole body without a look at its content.
func (a *response) readOpaque() (gateway.Response, error) {
	defer a.Close()
	body, err := a.readWhole()
	if err != nil {
		return nil, err
	}
	return gateway.NewStoredResponse(a.status, a.Fields(), body), nil
}
