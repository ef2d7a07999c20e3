package engine

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/httpstatus"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// Rejection describes a response that is not known to be the server's response to the request.
type Rejection struct {
	Server fleet.ServerID
	Pool   fleet.PoolID
	// Address is the host:port address that responded, RequestID the id of the request.
	Address, RequestID string
	// Reason is one of the reasons below.
	Reason string
	// Reused is set if the connection had carried an earlier request.
	Reused bool
	// Err is the error of the attempt. It may quote what was received.
	Err error
}

// Reasons for which a response is rejected.
const (
	// RejectedVersion is a status line of an unsupported protocol version.
	RejectedVersion = "version"
	// RejectedHeader is a header that cannot be parsed or that no response of a server has.
	RejectedHeader = "header"
	// RejectedID is a response that does not echo the id of the request.
	RejectedID = "request_id"
	// RejectedSignature is a success that the server has not signed.
	RejectedSignature = "signature"
	// RejectedFraming is a body in chunks that are not valid. What was received before them may
	// have been passed on.
	RejectedFraming = "framing"
)

// reject reports a rejected response and returns err.
func (r *response) reject(reason string, err error) error {
	r.reportRejection(reason, err)
	return err
}

func (r *response) reportRejection(reason string, err error) {
	if c := r.x.client; c.OnRejected != nil {
		c.OnRejected(Rejection{
			Server: r.x.srv.Name, Pool: r.x.srv.Pool, Address: r.x.srv.Address, RequestID: r.x.req.ID,
			Reason: reason, Reused: r.conn.used, Err: err,
		})
	}
}

// readHead reads the header of the final response and prepares a body that is not in chunks. The
// HTTP library accepts status lines of any version, also in interim responses, which it skips.
func (r *response) readHead() error {
	h := &r.resp.Header
	for {
		if err := h.Read(r.conn.br); err != nil {
			return err
		}
		if err := r.checkHeader(); err != nil {
			return err
		}
		if !httpstatus.IsInterim(httpstatus.Of(h)) {
			break
		}
		// The scanner has ignored what was received of the next header.
		r.conn.names.Reset()
		next, _ := r.conn.br.Peek(r.conn.br.Buffered())
		r.conn.names.Scan(next)
	}
	if !r.hasBody() || h.ContentLength() == -1 {
		return nil
	}
	return r.resp.ReadBody(r.conn.br, 0)
}

// checkHeader checks the names of the fields, and that the status line states a version that the
// servers of the dialect use. HTTP/1.0 is a valid response to HTTP/1.1, which servers of the
// OpenAI chat API may send.
func (r *response) checkHeader() error {
	if err := r.conn.names.Err(); err != nil {
		return err
	}
	if r.x.client.dialect().Opaque {
		return httpstatus.CheckHeader(&r.resp.Header)
	}
	return httpstatus.CheckHeader1(&r.resp.Header)
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
	srv := r.x.srv.Name
	switch {
	case absent:
		return r.reject(RejectedID, result.New(result.AnswerCrossed, "server %s answered without a request id", srv))
	case len(ids) > 1:
		return r.reject(RejectedID, result.New(result.AnswerCrossed, "server %s answered with %d request ids", srv, len(ids)))
	}
	err := result.Wrap(result.AnswerCrossed, fmt.Errorf("id %.200q, want %q", ids[0], r.x.attemptID), "server %s answered another request", srv)
	return r.reject(RejectedID, err)
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
		return r.reject(RejectedSignature, result.New(result.AnswerInvalid, "server %s answered status %d with %d signatures", r.x.srv.Name, r.status, len(v)))
	}
	return r.reject(RejectedSignature, result.New(result.AnswerInvalid, "server %s answered status %d without a signature", r.x.srv.Name, r.status))
}
