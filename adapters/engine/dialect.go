package engine

import (
	"bytes"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/httpstatus"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// Dialect defines the names of the header fields that backend servers and the router
// exchange. A field with an empty name is neither sent nor read.
type Dialect struct {
	// RequestID carries the request id, which servers echo.
	RequestID string
	// Deadline carries the time until the deadline, in ms.
	Deadline string
	// IdempotencyKey carries the caller's key; LastEvent carries the id of the last
	// event received, from the caller or when the router resumes a stream.
	IdempotencyKey, LastEvent string
	// Server carries the name of the intended server; any other server rejects the
	// request.
	Server string
	// Account carries the caller's client account.
	Account string
	// Urgency carries the priority in the queue of a model engine; 0 is served first.
	Urgency string
	// FetchFrom carries the address of a server that has the prompt's KV cache.
	FetchFrom string
	// NotRun marks a response whose request was not executed.
	NotRun string
	// Signature carries the server's signature of its response. A success without one is not
	// the server's.
	Signature string
	// Leaving is "1" in the responses of a server that is about to leave.
	Leaving string
	// Pause carries, in a response with status 503, the time in seconds for which the server
	// wants no requests.
	Pause string
	// Brittle carries, in the responses of a server that falls over when it turns away more
	// requests than that within one second, their number.
	Brittle string
	// Load carries the server's running requests, waiting requests, slots and pace,
	// separated by commas. Older servers state no pace.
	Load string
	// Unencoded is set if servers never apply a content coding, so that a success with one is
	// not the body that the server made.
	Unencoded bool
	// ProbePath is the path of a call that runs no request and that each server answers.
	ProbePath string
	// Opaque forwards responses unchanged: their framing and request id are validated,
	// their content is not, and requests keep the caller's id.
	Opaque bool
}

// lowestUrgency is the urgency value of the lowest priority.
const lowestUrgency = 9

// openAIDialect is used by servers of the OpenAI chat API.
var openAIDialect = Dialect{
	RequestID: "X-Request-Id", Deadline: "X-Request-Deadline-Ms",
	IdempotencyKey: "Idempotency-Key", LastEvent: "Last-Event-ID", ProbePath: "/healthz",
}

// ServerLoad is the load that a server reported. Fields that it did not state or that are
// invalid are UnknownLoad.
type ServerLoad struct {
	// Running and Waiting are numbers of requests, Slots that of requests which the server
	// runs at once.
	Running, Waiting, Slots int
	// PacePercent is how long work takes on the server's machine at this moment, in percent
	// of the usual time.
	PacePercent float64
}

// UnknownLoad is the value of a field of ServerLoad that is not known.
const UnknownLoad = -1

func (c *Client) dialect() *Dialect {
	if c.Dialect != nil {
		return c.Dialect
	}
	return &openAIDialect
}

// verifyOpaqueHead validates the header of a response that is forwarded unchanged.
func (r *response) verifyOpaqueHead() error {
	d, srv := r.x.client.dialect(), r.x.srv.Name
	// Before anything else is read: also a refusal or a load says something about this request
	// or this server only if it answers the request.
	if err := r.verifyRequestID(d.RequestID, true); err != nil {
		return err
	}
	refused := len(r.resp.Header.Peek(d.NotRun)) > 0
	switch {
	case !httpstatus.IsFinal(r.status):
		return r.reject(RejectedHeader, errInvalidStatus(srv, r.status))
	case refused && r.status < fasthttp.StatusBadRequest:
		return r.reject(RejectedHeader, result.New(result.AnswerInvalid, "server %s answered status %d and states that the request was not run", srv, r.status))
	case d.Unencoded && r.status < fasthttp.StatusMultipleChoices && len(r.resp.Header.ContentEncoding()) > 0:
		return r.reject(RejectedHeader, result.New(result.AnswerInvalid, "server %s answered status %d with a content coding", srv, r.status))
	}
	if err := r.verifySignature(d.Signature); err != nil {
		return err
	}
	r.notify()
	r.reportLoad()
	switch {
	case r.status == fasthttp.StatusMisdirectedRequest:
		return result.New(result.ServerRefused, "address of server %s belongs to another server", srv).WithOutcome(result.NotRun)
	case refused:
		return result.New(result.ServerRefused, "server %s refused the request with status %d", srv, r.status).WithOutcome(result.NotRun)
	case promisesNotRun(r.status):
		return result.New(result.ServerError, "server %s answered status %d without stating that the request was not run", srv, r.status)
	case r.status >= 500 && r.x.req.Idempotent && len(r.x.req.TriedServers) < r.x.req.MaxRuns:
		return result.New(result.ServerError, "server %s answered status %d", srv, r.status)
	case r.declared > maxValidLength:
		return errInvalidLength(srv, r.declared)
	case r.declared > r.limit:
		return result.New(result.AnswerTooLarge, "server %s declares %d bytes, limit %d", srv, r.declared, r.limit)
	}
	return nil
}

// promisesNotRun reports whether callers take a status as the promise that their request
// was not run. Only a server's own statement makes that known.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// reportLoad passes on the load that the server stated in its response.
func (r *response) reportLoad() {
	d := r.x.client.dialect()
	if r.x.client.OnLoad == nil || d.Load == "" || r.status == fasthttp.StatusMisdirectedRequest {
		return // the load of a misdirected response is that of another server
	}
	if v := r.resp.Header.Peek(d.Load); len(v) > 0 {
		r.x.client.OnLoad(r.x.srv.Pool, r.x.srv.Name, parseLoad(string(v)))
	}
}

// parseLoad decodes a load. Missing and invalid fields are unknown, further ones ignored, so
// that a server may add some.
func parseLoad(v string) ServerLoad {
	l := ServerLoad{Running: UnknownLoad, Waiting: UnknownLoad, Slots: UnknownLoad, PacePercent: UnknownLoad}
	parts := strings.SplitN(v, ",", 5)
	for i, to := range []*int{&l.Running, &l.Waiting, &l.Slots} {
		if i >= len(parts) {
			return l
		}
		if n, err := strconv.ParseUint(strings.TrimSpace(parts[i]), 10, 31); err == nil {
			*to = int(n)
		}
	}
	if len(parts) > 3 {
		if f, err := strconv.ParseFloat(strings.TrimSpace(parts[3]), 64); err == nil && f > 0 && !math.IsInf(f, 1) {
			l.PacePercent = f
		}
	}
	return l
}

// hopByHopFields apply to a single connection and are not forwarded.
var hopByHopFields = [][]byte{
	[]byte("Connection"), []byte("Keep-Alive"), []byte("Proxy-Connection"), []byte("Transfer-Encoding"),
	[]byte("Te"), []byte("Trailer"), []byte("Upgrade"), []byte("Content-Length"),
}

// IsHopByHopField reports whether a header field is hop-by-hop and must not be
// forwarded.
func IsHopByHopField(name []byte) bool {
	for _, h := range hopByHopFields {
		if bytes.EqualFold(name, h) {
			return true
		}
	}
	return false
}

// endToEndFields returns all header fields except the hop-by-hop ones.
func (r *response) endToEndFields() []gateway.Field {
	out := make([]gateway.Field, 0, 8)
	for name, value := range r.resp.Header.All() {
		if !IsHopByHopField(name) {
			out = append(out, gateway.Field{Name: string(name), Value: string(value)})
		}
	}
	return out
}

// Limits of the idle time after which a connection is not reused.
const (
	// defaultIdleLimit applies to servers that send no Keep-Alive timeout.
	defaultIdleLimit = 700 * time.Millisecond
	// idleLimitFraction is the fraction of the server's Keep-Alive timeout that is
	// used: a request that is sent while the server closes the connection has an
	// unknown outcome.
	idleLimitFraction = 0.7
)

// idleLimit returns how long the connection may be idle before it is not reused.
func (r *response) idleLimit() time.Duration {
	if !r.x.client.dialect().Opaque {
		return maxIdleTime
	}
	v := string(r.resp.Header.Peek("Keep-Alive"))
	for _, part := range strings.Split(v, ",") {
		name, secs, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(secs); strings.EqualFold(name, "timeout") && err == nil && n > 0 {
			return min(maxIdleTime, time.Duration(idleLimitFraction*float64(n)*float64(time.Second)))
		}
	}
	return defaultIdleLimit
}
