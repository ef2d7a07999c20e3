package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// answer reads the body of one HTTP response and checks its declared length.
type answer struct {
	resp     *fasthttp.Response
	body     io.Reader
	status   int
	fields   []gateway.Field
	declared int // bytes; -1 means chunked, -2 means until close
	got      int
	limit    int
	deadline time.Time
	buf      []byte
	ended    bool
	closed   bool
}

// readBuffer is the size of the buffer of each open answer, in bytes. It bounds
// the memory of a stream; one event is usually below 300 bytes.
const readBuffer = 4096

func newAnswer(resp *fasthttp.Response, limit int, deadline time.Time) *answer {
	a := &answer{
		resp: resp, body: resp.BodyStream(), status: resp.StatusCode(),
		declared: resp.Header.ContentLength(), limit: limit, deadline: deadline,
	}
	if a.body == nil {
		a.body = bytes.NewReader(resp.Body())
	}
	if ct := resp.Header.ContentType(); len(ct) > 0 {
		a.fields = append(a.fields, gateway.Field{Name: "Content-Type", Value: string(ct)})
	}
	return a
}

func (a *answer) isEventStream() bool {
	return a.status == fasthttp.StatusOK && bytes.HasPrefix(a.resp.Header.ContentType(), []byte("text/event-stream"))
}

// verifyHead checks the echoed request id and the status.
func (a *answer) verifyHead(srv *manifest.Server, attemptID string) error {
	if id := a.resp.Header.Peek(headerRequestID); len(id) > 0 && string(id) != attemptID {
		return result.New(result.AnswerCrossed, "server %s answered request %q, want %q", srv.Name, id, attemptID)
	}
	switch {
	case a.status == fasthttp.StatusTooManyRequests:
		return result.New(result.ServerRefused, "server %s refused the request with status %d", srv.Name, a.status)
	case a.status >= 500:
		return result.New(result.ServerError, "server %s answered status %d", srv.Name, a.status)
	case a.declared == -2:
		return result.New(result.AnswerInvalid, "server %s declares no length, so a short answer could not be told", srv.Name)
	}
	return nil
}

func (a *answer) Status() int             { return a.status }
func (a *answer) Fields() []gateway.Field { return a.fields }

// Next implements gateway.Answer.
func (a *answer) Next() ([]byte, error) {
	if a.ended {
		return nil, io.EOF
	}
	if time.Now().After(a.deadline) {
		return nil, result.New(result.DeadlineExceeded, "deadline passed after %d bytes of the answer", a.got)
	}
	if a.buf == nil {
		a.buf = make([]byte, readBuffer)
	}
	n, err := a.body.Read(a.buf)
	a.got += n
	if a.got > a.limit {
		return nil, result.New(result.AnswerTooLarge, "answer is over %d bytes", a.limit)
	}
	if err == nil || n > 0 && err == io.EOF {
		return a.buf[:n], nil
	}
	if err != io.EOF {
		return nil, readError(err, a.got)
	}
	if a.declared >= 0 && a.got != a.declared {
		return nil, result.New(result.AnswerTruncated, "answer has %d of %d declared bytes", a.got, a.declared)
	}
	a.ended = true
	return nil, io.EOF
}

func readError(err error, got int) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return result.Wrap(result.ConnectionSilent, err, "connection silent after %d bytes of the answer", got)
	}
	return result.Wrap(result.AnswerTruncated, err, "answer ended after %d bytes", got)
}

// Close implements gateway.Answer. An answer that is not complete closes its
// connection, which cancels the request at the server.
func (a *answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if s, ok := a.body.(fasthttp.ReadCloserWithError); ok {
		var err error
		if !a.ended {
			err = errAbandoned
		}
		_ = s.CloseWithError(err)
	}
	fasthttp.ReleaseResponse(a.resp)
}

var errAbandoned = errors.New("answer abandoned")

// readJSON reads the whole body and checks that it parses.
func (a *answer) readJSON() (gateway.Answer, error) {
	defer a.Close()
	var body []byte
	for {
		part, err := a.Next()
		body = append(body, part...)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if !json.Valid(body) {
		return nil, result.New(result.AnswerInvalid, "answer of %d bytes is not valid JSON", len(body))
	}
	return gateway.NewStoredAnswer(a.status, a.fields, body), nil
}
