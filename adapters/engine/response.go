package engine

import (
	"context"
	"errors"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/httpstatus"
	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/liveness"
	"cyclamenhitch/core/manifest"
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
	// bodyErr is the error that was returned with the last bytes of the body.
	bodyErr  error
	limit    int
	buf      []byte
	idEchoed bool
	complete bool
	closed   bool

	// stream is the event stream that reads the body; nil for other responses.
	stream *eventStream
	// srv is the server that sends the response. entryStart and reportedStart are the starts of
	// its process that its entry and a report stated before the request was sent, in Unix ms.
	srv                       *manifest.Server
	entryStart, reportedStart int64
	// endDecided is set once it is decided whether a body without a length is complete; endErr is
	// nil if it is.
	endDecided bool
	endErr     *result.Error
	// passedOn is set once the beginning of a body that is not a stream may have reached the caller.
	passedOn bool
	// sentAgain is set once the request was sent again to continue the body, so that a run of
	// the request may be that of a later response.
	sentAgain bool
	// noContact is set if the server did not answer when it was asked whether it ended the body,
	// and timeLeft is for how long it may be asked again if nothing else continues the body.
	noContact bool
	timeLeft  time.Duration
}

// partBufferBytes is the read buffer size for a response that is not streamed.
const partBufferBytes = 16 << 10

// verifyHead validates the echoed request id, the status and the declared length.
// A response without an id is accepted only on a connection that carried no earlier
// request, and that connection is not reused.
func (r *response) verifyHead() error {
	if r.x.client.dialect().Opaque {
		return r.verifyOpaqueHead()
	}
	srv := r.x.srv.Name
	if err := r.verifyRequestID(openAIDialect.RequestID, false); err != nil {
		return err
	}
	switch {
	case !httpstatus.IsFinal(r.status):
		return errInvalidStatus(srv, r.status)
	case r.status == fasthttp.StatusTooManyRequests && r.x.req.Route == nil:
		e := result.New(result.ServerRefused, "server %s refused the request with status %d", srv, r.status)
		if !r.idEchoed {
			// Without the id it may be about another request, and this one may have run.
			e = e.WithOutcome(result.Unknown)
		}
		return e
	case r.status >= 500:
		return result.New(result.ServerError, "server %s answered status %d", srv, r.status)
	case r.declared == -2:
		return result.New(result.AnswerInvalid, "server %s sent no body length, so a truncated response could not be detected", srv)
	case r.declared > maxValidLength:
		return errInvalidLength(srv, r.declared)
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
		return r.appendHeadLength(r.endToEndFields())
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
	return r.appendHeadLength(out)
}

// appendHeadLength adds the Content-Length of a response to HEAD to its fields.
func (r *response) appendHeadLength(fields []gateway.Field) []gateway.Field {
	if n := r.resp.Header.ContentLength(); r.resp.SkipBody && n >= 0 {
		fields = append(fields, gateway.Field{Name: "Content-Length", Value: strconv.Itoa(n)})
	}
	return fields
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
		n, err := 0, r.bodyErr
		if err == nil {
			n, err = r.body.Read(p)
		}
		r.received += n
		switch {
		case n > 0:
			r.conn.monitor.BodyStarted, r.bodyErr = true, err
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
	// Only the end of the connection ends such a body. A server that ends it before it has
	// the request has failed.
	if r.declared == -2 && !r.closed && (r.conn.endedEarly || r.conn.raw != nil && hasUnacknowledged(r.conn.raw)) {
		return result.New(result.AnswerTruncated, "the connection ended after %d bytes of the response, before the request was sent", r.received)
	}
	if r.declared == -2 && !r.closed {
		if e := r.endOfConnection(); e != nil {
			return e
		}
	}
	// Bytes after the end of the response belong to no request; Close closes the
	// connection.
	if !r.closed && r.conn.br.Buffered() > 0 && !r.x.client.dialect().Opaque {
		return result.New(result.AnswerInvalid, "%d bytes follow the end of the response", r.conn.br.Buffered())
	}
	r.complete = true
	return io.EOF
}

// hasUnacknowledged reports whether sent bytes have not reached the server. A closed socket has none:
// the next read or write tells.
func hasUnacknowledged(raw syscall.RawConn) bool {
	n, err := sockets.Unacknowledged(raw)
	return err == nil && n > 0
}

// fail closes a response whose header was not received and returns its error.
func (r *response) fail(err error, what string) error {
	var e *result.Error
	switch {
	case !r.conn.wrote && r.x.ctx.Err() == nil:
		e = result.Wrap(result.ConnectionLost, err, "server %s: %s", r.x.srv.Name, what).WithOutcome(result.NotRun)
	case isMalformedHeader(err):
		e = result.Wrap(result.AnswerInvalid, err, "server %s", r.x.srv.Name)
		reason := RejectedHeader
		if errors.Is(err, httpstatus.ErrVersion) {
			reason = RejectedVersion
		}
		r.reportRejection(reason, e)
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
	e := r.endReason(err)
	if e.Code == result.ConnectionSilent && r.conn.through != "" {
		silent := *e
		silent.Cause = ErrSilentTunnel
		return &silent
	}
	return e
}

func (r *response) endReason(err error) *result.Error {
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
	e := result.Wrap(result.AnswerTruncated, err, "response ended after %d bytes", r.received)
	if isFraming(err) {
		r.reportRejection(RejectedFraming, e)
	}
	return e
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
