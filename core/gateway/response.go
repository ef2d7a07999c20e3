package gateway

import (
	"context"
	"io"
	"slices"

	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/result"
)

// ReadAll reads the whole response, up to limit bytes; 0 means no limit. The body takes its
// memory from mem and is valid until hold is released. The body of a stored response is not
// copied: it is valid until the response is closed, and hold is empty.
func ReadAll(resp Response, limit int, mem *budget.Bytes) (body []byte, hold budget.Hold, err error) {
	hold = mem.Hold()
	for {
		part, err := resp.Next()
		switch need := len(body) + len(part); {
		case body == nil && IsStored(resp):
			body = part
		case need > cap(body) && !hold.Resize(2*need):
			hold.Release()
			return nil, hold, result.New(result.MemoryExhausted, "no memory for %d bytes of the response", need)
		default:
			body = append(slices.Grow(body, len(part)), part...)
		}
		if err == io.EOF {
			return body, hold, nil
		}
		if err != nil {
			hold.Release()
			return nil, hold, err
		}
		if limit > 0 && len(body) > limit {
			hold.Release()
			return nil, hold, result.New(result.AnswerTooLarge, "answer is over %d bytes", limit)
		}
	}
}

// IsStored reports whether the whole body of a response is in memory, so that its parts stay
// valid until it is closed.
func IsStored(resp Response) bool {
	if p, ok := resp.(*permitResponse); ok {
		resp = p.Response
	}
	if c, ok := resp.(*cancelResponse); ok {
		resp = c.Response
	}
	_, ok := resp.(*storedResponse)
	return ok
}

// cancelResponse cancels the context of a response when it is closed.
type cancelResponse struct {
	Response
	cancel context.CancelCauseFunc
}

func (a *cancelResponse) Close() {
	a.Response.Close()
	a.cancel(nil)
}

// permitResponse releases the permit when the response ends.
type permitResponse struct {
	Response
	permit Permit
}

func (a *permitResponse) Next() ([]byte, error) {
	part, err := a.Response.Next()
	if err != nil {
		a.permit.Release(a.attemptError(err))
	} else {
		a.permit.Part()
	}
	return part, err
}

func (a *permitResponse) Close() {
	a.Response.Close()
	a.permit.Release(a.attemptError(nil))
}

// attemptError returns the result of the attempt at the server. A response with a
// 5xx status is forwarded to the caller, but counts as a failure of the server.
func (a *permitResponse) attemptError(err error) error {
	if (err == nil || err == io.EOF) && a.Status() >= 500 {
		return result.New(result.ServerError, "status %d", a.Status())
	}
	return err
}

// storedResponse is a response that is already complete.
type storedResponse struct {
	status int
	fields []Field
	body   []byte
	hold   budget.Hold
	read   bool
}

// NewStoredResponse returns a response that yields body once.
func NewStoredResponse(status int, fields []Field, body []byte) Response {
	return NewHeldResponse(status, fields, body, budget.Hold{})
}

// NewHeldResponse is like NewStoredResponse for a body whose memory is taken from a budget.
// Close gives it back.
func NewHeldResponse(status int, fields []Field, body []byte, hold budget.Hold) Response {
	return &storedResponse{status: status, fields: fields, body: body, hold: hold}
}

func (a *storedResponse) Status() int     { return a.status }
func (a *storedResponse) Fields() []Field { return a.fields }
func (a *storedResponse) Close()          { a.hold.Release() }

func (a *storedResponse) Next() ([]byte, error) {
	if a.read || len(a.body) == 0 {
		return nil, io.EOF
	}
	a.read = true
	return a.body, nil
}
