package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/chunked"
	"cyclamenhitch/adapters/httpstatus"
)

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
	r.status, r.declared = httpstatus.Of(&r.resp.Header), r.resp.Header.ContentLength()
	switch body := r.resp.BodyStream(); {
	case r.hasBody() && r.declared == -1:
		r.body = newChunkedBody(r.conn.br, r.hasEvents())
	case body != nil:
		r.body = body
		if r.declared == -2 && !r.conn.host.omitsLengths.Load() {
			r.conn.host.omitsLengths.Store(true)
		}
	default:
		r.declared = 0
	}
}

// hasBody reports whether a body follows the header.
func (r *response) hasBody() bool {
	return !r.resp.SkipBody && !httpstatus.HasNoBody(httpstatus.Of(&r.resp.Header))
}

// hasEvents reports whether a body is a stream of events.
func (r *response) hasEvents() bool {
	return r.status == fasthttp.StatusOK && bytes.HasPrefix(r.resp.Header.ContentType(), []byte("text/event-stream"))
}

// isEventStream reports whether the response has a body that is a stream of events. A response
// to HEAD has none, whatever its content type.
func (r *response) isEventStream() bool { return r.body != nil && r.hasEvents() }

// chunkedBody reads a response body in chunks. The HTTP library's own reader is not used: it
// accepts trailers whose lines end with a line feed, so that an event whose chunk size was lost
// would end the stream.
type chunkedBody struct {
	br *bufio.Reader
	// events is set if the body is a stream of events.
	events  bool
	decoder chunked.Decoder
	err     error
}

func newChunkedBody(br *bufio.Reader, events bool) *chunkedBody {
	return &chunkedBody{br: br, events: events, decoder: chunked.Decoder{KeepTrailer: events}}
}

// Read implements io.Reader. It returns io.EOF only after a valid end of the body.
func (b *chunkedBody) Read(p []byte) (int, error) {
	for b.err == nil && len(p) > 0 {
		if b.decoder.Done() {
			b.err = b.verifyTrailer()
			break
		}
		if _, err := b.br.Peek(1); err != nil {
			if b.err = err; err == io.EOF {
				b.err = io.ErrUnexpectedEOF
			}
			break
		}
		received, _ := b.br.Peek(min(b.br.Buffered(), len(p)))
		n, used, err := b.decoder.Decode(p, received)
		_, _ = b.br.Discard(used)
		if b.err = err; n > 0 {
			return n, nil
		}
	}
	return 0, b.err
}

// errEventInTrailer is the error of a stream with an event where its trailer is due.
var errEventInTrailer = errors.New("the trailer of a stream has the fields of an event")

// eventFields are the fields of an event, in lower case.
var eventFields = map[string]bool{"id": true, "data": true, "event": true, "retry": true}

// verifyTrailer returns io.EOF, or an error if the trailer of a stream is an event: the size of
// its chunk was lost, and others may be missing.
func (b *chunkedBody) verifyTrailer() error {
	for line := range bytes.Lines(b.decoder.Trailer()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if eventFields[string(bytes.ToLower(name))] {
			return errEventInTrailer
		}
	}
	return io.EOF
}

// isFraming reports whether err is the error of chunks that are not valid.
func isFraming(err error) bool {
	return errors.Is(err, chunked.ErrFraming) || errors.Is(err, errEventInTrailer)
}
