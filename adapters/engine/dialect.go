package engine

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// Dialect says how backend servers name what they exchange with the router. An
// empty name is not sent, or not looked for.
type Dialect struct {
	// RequestID carries the id of the request and is echoed by servers.
	RequestID string
	// Deadline is the time left, in ms.
	Deadline string
	// IdempotencyKey and LastEvent are those of the caller or of a resumed stream.
	IdempotencyKey, LastEvent string
	// Server names the server that the request is meant for; another one refuses it.
	Server string
	// Account is the caller's client account.
	Account string
	// Urgency orders requests that wait at a model engine, 0 first.
	Urgency string
	// FetchFrom is the address of a server that keeps the prompt.
	FetchFrom string
	// NotRun marks an answer that says that the request did not run.
	NotRun string
	// Load is running, waiting and slots of the server, separated by commas.
	Load string
	// Opaque says that answers are passed on as they are: their framing and their
	// request id are verified, their content is not, and callers' ids are kept.
	Opaque bool
}

// lowestUrgency is the number of the least urgent requests.
const lowestUrgency = 9

// openAIDialect is spoken by servers of the OpenAI chat API.
var openAIDialect = Dialect{
	RequestID: "X-Request-Id", Deadline: "X-Request-Deadline-Ms",
	IdempotencyKey: "Idempotency-Key", LastEvent: "Last-Event-ID",
}

// ServerLoad is what a server told of its load.
type ServerLoad struct{ Running, Waiting, Slots int }

func (c *Client) dialect() *Dialect {
	if c.Dialect != nil {
		return c.Dialect
	}
	return &openAIDialect
}

// verifyOpaqueHead checks the head of an answer that is passed on as it is.
func (a *response) verifyOpaqueHead() error {
	d, srv := a.x.client.dialect(), a.x.srv.Name
	id := a.resp.Header.Peek(d.RequestID)
	a.idEchoed = len(id) > 0
	switch {
	case a.idEchoed && string(id) != a.x.attemptID:
		return result.New(result.AnswerCrossed, "server %s answered request %q, want %q", srv, id, a.x.attemptID)
	case a.status == fasthttp.StatusMisdirectedRequest:
		return result.New(result.ServerRefused, "another server than %s has the address", srv).WithOutcome(result.NotRun)
	case len(a.resp.Header.Peek(d.NotRun)) > 0:
		return result.New(result.ServerRefused, "server %s refused the request with status %d", srv, a.status).WithOutcome(result.NotRun)
	case !a.idEchoed && a.conn.used:
		return result.New(result.AnswerCrossed, "server %s answered without a request id on a connection with earlier requests", srv)
	case a.status < 200:
		return result.New(result.AnswerInvalid, "server %s answered status %d", srv, a.status)
	case a.status >= 500 && a.x.req.Idempotent && len(a.x.req.TriedServers) < a.x.req.MaxRuns:
		return result.New(result.ServerError, "server %s answered status %d", srv, a.status)
	case a.declared > a.limit:
		return result.New(result.AnswerTooLarge, "server %s declares %d bytes, limit %d", srv, a.declared, a.limit)
	}
	a.reportLoad(a.resp.Header.Peek(d.Load))
	return nil
}

func (a *response) reportLoad(v []byte) {
	if len(v) == 0 || a.x.client.OnLoad == nil {
		return
	}
	var l ServerLoad
	parts := strings.SplitN(string(v), ",", 3)
	if len(parts) != 3 {
		return
	}
	for i, to := range []*int{&l.Running, &l.Waiting, &l.Slots} {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil {
			return
		}
		*to = n
	}
	a.x.client.OnLoad(fleet.PoolID(a.x.req.Pool.Name), a.x.srv.Name, l)
}

// hopByHopFields concern one connection only.
var hopByHopFields = [][]byte{
	[]byte("Connection"), []byte("Keep-Alive"), []byte("Proxy-Connection"), []byte("Transfer-Encoding"),
	[]byte("Te"), []byte("Trailer"), []byte("Upgrade"), []byte("Content-Length"),
}

// IsHopByHopField says that a header field concerns one connection and is not passed on.
func IsHopByHopField(name []byte) bool {
	for _, h := range hopByHopFields {
		if bytes.EqualFold(name, h) {
			return true
		}
	}
	return false
}

// endToEndFields are the header fields of an answer that is passed on as it is.
func (a *response) endToEndFields() []gateway.Field {
	out := make([]gateway.Field, 0, 8)
	for name, value := range a.resp.Header.All() {
		if !IsHopByHopField(name) {
			out = append(out, gateway.Field{Name: string(name), Value: string(value)})
		}
	}
	return out
}

// Idle times after which a connection is not used again.
const (
	// defaultIdleLimit applies to servers that do not state a time.
	defaultIdleLimit = 700 * time.Millisecond
	// idleLimitFraction is the share of the stated time that is used; a request that
	// crosses the server's close has an unknown outcome.
	idleLimitFraction = 0.7
)

// idleLimit is how long the connection of the answer may be idle.
func (a *response) idleLimit() time.Duration {
	if !a.x.client.dialect().Opaque {
		return maxIdleTime
	}
	v := string(a.resp.Header.Peek("Keep-Alive"))
	for _, part := range strings.Split(v, ",") {
		name, secs, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(secs); strings.EqualFold(name, "timeout") && err == nil && n > 0 {
			return min(maxIdleTime, time.Duration(idleLimitFraction*float64(n)*float64(time.Second)))
		}
	}
	return defaultIdleLimit
}
