package engine

import (
	"encoding/json"
	"io"
	"strconv"

	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// bufferBody reads the body into memory until it is complete or the client's memory budget
// has no bytes for more of it. The caller releases hold.
func (r *response) bufferBody(hold *budget.Hold) (body []byte, complete bool, err error) {
	if r.body == nil {
		return nil, true, r.wholeBody()
	}
	for {
		if len(body) == r.declared {
			return body, true, r.wholeBody()
		}
		if len(body) == cap(body) {
			// Both buffers are in memory while the old one is copied.
			size := r.nextBufferSize(cap(body))
			if !hold.Resize(cap(body) + size) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
			hold.Resize(size)
		}
		n, err := r.read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case r.received > r.limit:
			return nil, false, result.New(result.AnswerTooLarge, "answer is over %d bytes", r.limit)
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// wholeBody returns nil if the body is complete.
func (r *response) wholeBody() error {
	if err := r.finish(); err != io.EOF {
		return err
	}
	return nil
}

// nextBufferSize returns the size of the buffer that replaces one of the given size. It
// doubles, up to the declared length or one byte more than an answer may have.
func (r *response) nextBufferSize(size int) int {
	next := max(partBufferBytes, 2*size)
	if r.declared > 0 {
		if size == 0 && r.declared <= maxPreallocBytes {
			return r.declared
		}
		return min(next, r.declared)
	}
	return min(next, r.limit+1)
}

// maxPreallocBytes limits the buffer that is allocated for a declared length before the body
// arrives.
const maxPreallocBytes = 64 << 10

// readJSON reads the complete body and checks that it belongs to this request.
func (r *response) readJSON() (gateway.Response, error) {
	defer r.Close()
	hold := r.x.client.Memory.Hold()
	body, complete, err := r.bufferBody(&hold)
	switch {
	case err != nil:
	case !complete:
		err = result.New(result.MemoryExhausted, "no memory for more than %d bytes of the response", len(body))
	case !json.Valid(body):
		err = result.New(result.AnswerInvalid, "response body of %d bytes is not valid JSON", len(body))
	case r.status < 300:
		err = r.x.verifyObject(body, nil)
	}
	if err != nil {
		hold.Release()
		return nil, err
	}
	return gateway.NewHeldResponse(r.status, r.Fields(), body, hold), nil
}

// readOpaque reads the complete body without inspecting its content, so that a broken one
// can be requested again and is reported with its own status. If memory is short, the rest of
// the body is passed on as it arrives.
func (r *response) readOpaque() (gateway.Response, error) {
	hold := r.x.client.Memory.Hold()
	body, complete, err := r.bufferBody(&hold)
	switch {
	case err != nil:
		hold.Release()
		r.Close()
		return nil, err
	case !complete:
		r.x.client.UnbufferedResponses.Add(1)
		r.passedOn = true
		return &partialResponse{response: r, begin: body, hold: hold}, nil
	}
	defer r.Close()
	return gateway.NewHeldResponse(r.status, r.Fields(), body, hold), nil
}

// partialResponse is a response of which only the beginning of the body is in memory.
type partialResponse struct {
	*response
	begin []byte
	hold  budget.Hold
}

// Fields implements gateway.Response. The declared length lets the caller notice that the
// body ends early.
func (p *partialResponse) Fields() []gateway.Field {
	out := p.response.Fields()
	if p.declared >= 0 {
		out = append(out, gateway.Field{Name: "Content-Length", Value: strconv.Itoa(p.declared)})
	}
	return out
}

// Next implements gateway.Response.
func (p *partialResponse) Next() ([]byte, error) {
	if begin := p.begin; len(begin) > 0 {
		p.begin = nil
		return begin, nil
	}
	p.hold.Release()
	return p.response.Next()
}

// Close implements gateway.Response.
func (p *partialResponse) Close() {
	p.hold.Release()
	p.response.Close()
}
