package gateway

import (
	"context"
	"io"

	"cyclamenhitch/core/result"
)

// ReadAll reads the whole response, up to limit bytes; 0 means no limit. The body
// of a stored response is not copied.
func ReadAll(resp Response, limit int) ([]byte, error) {
	var body []byte
	for {
		part, err := resp.Next()
		if body == nil && retainsParts(resp) {
			body = part
		} else {
			body = append(body, part...)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if limit > 0 && len(body) > limit {
			return nil, result.New(result.AnswerTooLarge, "answer is over %d bytes", limit)
		}
	}
}

// retainsParts reports whether the parts of a response stay valid after the next call
// of Next.
func retainsParts(resp Response) bool {
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
	read   bool
}

// NewStoredResponse returns a response that yields body once.
func NewStoredResponse(status int, fields []Field, body []byte) Response {
	return &storedResponse{status: status, fields: fields, body: body}
}

func (a *storedResponse) Status() int     { return a.status }
func (a *storedResponse) Fields() []Field { return a.fields }
func (a *storedResponse) Close()          {}

func (a *storedResponse) Next() ([]byte, error) {
	if a.read || len(a.body) == 0 {
		return nil, io.EOF
	}
	a.read = true
	return a.body, nil
}
