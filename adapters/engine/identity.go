package engine

import (
	"fmt"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/httpstatus"
	"cyclamenhitch/core/result"
)

// Rejections counts responses that are not known to be the server's response to the request,
// by the reason for which they were rejected.
type Rejections struct {
	// Version counts status lines of an unsupported protocol version, RequestID responses
	// that do not echo the id of the request, Signature successes that are not signed.
	Version, RequestID, Signature atomic.Int64
}

// readHead reads the header of the final response and prepares its body. The HTTP library
// accepts status lines of any version, also in interim responses, which it skips.
func (r *response) readHead() error {
	h := &r.resp.Header
	for {
		if err := h.Read(r.conn.br); err != nil {
			return err
		}
		if err := r.checkVersion(); err != nil {
			r.x.client.Rejections.Version.Add(1)
			return err
		}
		if !httpstatus.IsInterim(httpstatus.Of(h)) {
			break
		}
	}
	if r.resp.SkipBody || httpstatus.HasNoBody(httpstatus.Of(h)) {
		return nil
	}
	return r.resp.ReadBody(r.conn.br, 0)
}

// checkVersion checks that the status line states a version that the servers of the dialect
// use. HTTP/1.0 is a valid response to HTTP/1.1, which servers of the OpenAI chat API may send.
func (r *response) checkVersion() error {
	if r.x.client.dialect().Opaque {
		return httpstatus.CheckVersion(&r.resp.Header)
	}
	return httpstatus.CheckVersion1(&r.resp.Header)
}

// verifyRequestID checks that the response echoes the id of the request, exactly once if
// required. Without required it may have no id if the connection carried no earlier request.
//
// A new connection does not make a response the server's own: a server in trouble, or another
// program at its address, may send bytes on it that answer no request.
func (r *response) verifyRequestID(name string, required bool) error {
	ids := r.resp.Header.PeekAll(name)
	r.idEchoed = len(ids) > 0 && !(required && len(ids) > 1)
	for _, id := range ids {
		r.idEchoed = r.idEchoed && string(id) == r.x.attemptID
	}
	absent := len(ids) == 0 || len(ids) == 1 && len(ids[0]) == 0
	if r.idEchoed || absent && !required && !r.conn.used {
		return nil
	}
	r.x.client.Rejections.RequestID.Add(1)
	srv := r.x.srv.Name
	switch {
	case absent:
		return result.New(result.AnswerCrossed, "server %s answered without a request id", srv)
	case len(ids) > 1:
		return result.New(result.AnswerCrossed, "server %s answered with %d request ids", srv, len(ids))
	}
	return result.Wrap(result.AnswerCrossed, fmt.Errorf("id %.200q, want %q", ids[0], r.x.attemptID), "server %s answered another request", srv)
}

// verifySignature checks that a success is signed. Failures and refusals need no signature.
func (r *response) verifySignature(name string) error {
	if name == "" || r.status >= fasthttp.StatusMultipleChoices {
		return nil
	}
	switch v := r.resp.Header.PeekAll(name); {
	case len(v) == 1 && len(v[0]) > 0:
		return nil
	case len(v) > 1:
		r.x.client.Rejections.Signature.Add(1)
		return result.New(result.AnswerInvalid, "server %s answered status %d with %d signatures", r.x.srv.Name, r.status, len(v))
	}
	r.x.client.Rejections.Signature.Add(1)
	return result.New(result.AnswerInvalid, "server %s answered status %d without a signature", r.x.srv.Name, r.status)
}
