// Package engine sends requests to backend servers over HTTP and validates their
// responses. It manages one connection pool per address and uses the HTTP client
// library only as a codec, because the router must know whether any byte of a
// request was sent and whether a connection carried an earlier response.
package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/liveness"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Client sends requests to backend servers.
type Client struct {
	// ConnectTimeout limits dialing. Default 1 s.
	ConnectTimeout time.Duration
	// MaxAnswerBytes limits the body of a response that is not streamed.
	MaxAnswerBytes int
	// KeepAlive overrides the TCP keep-alive configuration unless it is nil.
	KeepAlive *net.KeepAliveConfig
	// UserTimeout is the TCP user timeout: a connection is closed if sent data stays
	// unacknowledged for longer. 0 selects the system default. Linux only.
	UserTimeout time.Duration
	// MaxIdle limits the idle connections to one server; 0 selects maxIdle. It may be
	// changed at any time.
	MaxIdle atomic.Int64
	// Dialect defines the header fields; nil selects those of the OpenAI chat API.
	Dialect *Dialect
	// OnLoad, unless nil, receives the load that servers report. It must not block.
	OnLoad func(pool fleet.PoolID, server fleet.ServerID, l ServerLoad)
	// OnNotice, unless nil, receives what servers announce in their responses, before any
	// part of the response is returned. It must not block.
	OnNotice func(Notice)
	// OnBrittle, unless nil, receives of each valid response whether its server is brittle, before
	// any part of the response is returned. It must not block.
	OnBrittle func(Brittleness)
	// OnRejected, unless nil, is called for each response that is not known to be the server's
	// response to its request. It must not block.
	OnRejected func(Rejection)
	// Report, unless nil, asks the server at a host:port address for its report, to decide whether
	// a response that ended with its connection is complete. Without it, each such response is.
	Report func(address string, timeout time.Duration) ServerReport
	// ServerState, unless nil, returns what is known of a server. It must not block.
	ServerState func(fleet.ServerID) ServerState
	// OnConnectionEnd, unless nil, is called for each response that ended with its connection.
	// It must not block.
	OnConnectionEnd func(ConnectionEnd)
	// MaxPause limits the pause that a server may ask for; 0 selects the default.
	MaxPause time.Duration
	// Links, unless nil, opens connections and learns from direct ones.
	Links Links
	// Descriptors is taken by each connection to a server; nil means no limit.
	Descriptors *budget.Share
	// Relieve, unless nil, frees a descriptor elsewhere if Descriptors is short because of
	// what others hold, and reports whether it did.
	Relieve func() bool
	// Memory is taken by response bodies that are read whole; nil means no limit.
	Memory *budget.Bytes
	// Probes, SilentConnections and ResumedStreams count the probes sent, the
	// connections that were given up as silent and the streams resumed.
	// UnbufferedResponses counts the responses that were passed on before they were
	// complete, because memory was short.
	Probes, SilentConnections, ResumedStreams, UnbufferedResponses atomic.Int64

	hosts    sync.Map // address to *host
	budgetMu sync.Mutex
	budget   liveness.ProbeBudget
}

// exchange is one request to one server. Resuming a stream sends it again.
type exchange struct {
	client    *Client
	ctx       context.Context
	srv       *manifest.Server
	req       *gateway.Request
	attemptID string
}

// Open implements gateway.Upstream.
func (c *Client) Open(ctx context.Context, srv *manifest.Server, req *gateway.Request, attemptID string) (gateway.Response, error) {
	x := &exchange{client: c, ctx: ctx, srv: srv, req: req, attemptID: attemptID}
	opaque := c.dialect().Opaque
	if opaque {
		x.attemptID = req.ID
	}
	if x.isDoubtful() {
		if err := x.confirmServer(); err != nil {
			return nil, err
		}
	}
	r, err := x.send(req.LastEventID, !req.Idempotent && !opaque)
	if err != nil {
		return nil, err
	}
	switch {
	case opaque && r.isEventStream():
		return openStream(r)
	case opaque:
		return r.readOpaque()
	case req.Route != nil:
		return r, nil
	case req.Stream && r.isEventStream():
		return openStream(r)
	case req.Stream && r.status < 300:
		defer r.Close()
		return nil, result.Wrap(result.AnswerInvalid, fmt.Errorf("content type %.200q", r.resp.Header.ContentType()), "server %s answered a streaming request with something else than events", srv.Name)
	}
	return r.readJSON()
}

// send sends the request and waits for the response header. With fresh set it opens
// a new connection: a failed dial proves that the request did not run, whereas a
// reused connection may have been closed by the server after the request arrived.
func (x *exchange) send(lastEvent string, fresh bool) (*response, error) {
	if !isSafeTarget(x.req.Path) {
		return nil, result.New(result.BadRequest, "path %q contains characters that are not allowed in a request line", x.req.Path)
	}
	cn, err := x.client.acquire(x.ctx, x.srv.Name, x.srv.Address, fresh)
	if err != nil {
		var stopped *result.Error
		if errors.As(context.Cause(x.ctx), &stopped) && stopped.Code == result.ConnectionSilent {
			// The attempt was given up while peers were asked for the connection.
			return nil, result.Wrap(result.NoServer, err, "server %s: %s", x.srv.Name, stopped).WithRetryAfter(noWayRetryAfter)
		}
		if x.ctx.Err() != nil {
			return nil, result.Wrap(result.CallerGone, err, "caller disconnected before the request was sent").WithOutcome(result.NotRun)
		}
		if errors.Is(err, ErrNoWay) {
			return nil, result.Wrap(result.NoServer, err, "server %s", x.srv.Name).WithRetryAfter(noWayRetryAfter)
		}
		if errors.Is(err, sockets.ErrNoDescriptor) {
			return nil, result.Wrap(result.ConnectionLimit, err, "no connection to server %s", x.srv.Name).WithRetryAfter(time.Second)
		}
		return nil, result.Wrap(result.ConnectFailed, err, "server %s", x.srv.Name)
	}
	if x.req.Recheck != nil {
		if e := x.req.Recheck(); e != nil {
			_ = cn.Conn.Close()
			return nil, e
		}
	}
	if n := len(x.req.Decisions); n > 0 {
		x.req.Decisions[n-1].Through = cn.through
	}
	cn.readBudget = maxHeadBytes
	cn.names.Reset()
	cn.monitor.Start(time.Now(), time.Duration(x.req.Pool.SilenceSeconds)*time.Second, x.req.Deadline)
	r := &response{x: x, conn: cn, limit: x.client.MaxAnswerBytes, srv: x.srv}
	r.noteStarts()
	// When the caller disconnects, closing the connection cancels the request at the
	// server and unblocks a pending read.
	r.stop = context.AfterFunc(x.ctx, func() { _ = cn.Conn.Close() })
	if err := x.write(cn, lastEvent, fresh); err != nil {
		return nil, r.fail(err, "request could not be sent")
	}
	r.resp = fasthttp.AcquireResponse()
	r.resp.Header.SetNoDefaultContentType(true)
	r.resp.StreamBody = true
	r.resp.SkipBody = x.req.Method == fasthttp.MethodHead
	if err := r.readHead(); err != nil {
		return nil, r.fail(err, "no response")
	}
	r.initBody()
	if err := r.verifyHead(); err != nil {
		r.Close()
		return nil, err
	}
	cn.readBudget = r.bodyReadBudget()
	return r, nil
}

var (
	headerPool = sync.Pool{New: func() any { return new(fasthttp.RequestHeader) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4096) }}
)

// write sends the request once.
func (x *exchange) write(cn *conn, lastEvent string, fresh bool) error {
	now := time.Now()
	limit := now.Add(writeTimeout)
	if x.req.Deadline.Before(limit) {
		limit = x.req.Deadline
	}
	if err := cn.SetWriteDeadline(limit); err != nil {
		return err
	}
	h := headerPool.Get().(*fasthttp.RequestHeader)
	defer headerPool.Put(h)
	x.setHeader(h, now, lastEvent, fresh)
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(cn)
	defer w.Reset(nil)
	if err := h.Write(w); err != nil {
		return err
	}
	body := x.req.Body
	if last := len(body) - w.Size(); last > 0 {
		if _, err := w.Write(body[:last]); err != nil {
			return err
		}
		// Before the last bytes are sent: after them, a fast server may have ended its output
		// because it has answered the whole request.
		cn.endedEarly = cn.raw != nil && peerHasEnded(cn.raw)
		body = body[last:]
	}
	if _, err := w.Write(body); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.req.BodySent()
	return nil
}

// setHeader sets the header of the request that is sent at now.
func (x *exchange) setHeader(h *fasthttp.RequestHeader, now time.Time, lastEvent string, fresh bool) {
	h.Reset()
	h.SetNoDefaultContentType(true)
	d := x.client.dialect()
	h.SetMethod(x.req.Method)
	h.SetRequestURI(x.req.Path)
	h.SetHost(x.srv.Address)
	if x.req.Host != "" {
		h.SetHost(x.req.Host)
	}
	for _, f := range x.req.Fields {
		h.Set(f.Name, f.Value)
	}
	set := func(name, value string) {
		if name != "" && value != "" {
			h.Set(name, value)
		}
	}
	set(d.RequestID, x.attemptID)
	set(d.Deadline, strconv.FormatInt(max(0, x.req.Deadline.Sub(now).Milliseconds()), 10))
	set(d.IdempotencyKey, x.req.IdempotencyKey)
	set(d.LastEvent, lastEvent)
	set(d.FetchFrom, x.req.FetchFrom)
	set(d.Server, string(x.srv.Name))
	if x.req.Pool.Kind == manifest.KindModel {
		set(d.Urgency, strconv.Itoa(max(0, min(x.req.Urgency+x.req.UrgencyShift, lowestUrgency))))
	}
	if x.req.Account != nil {
		set(d.Account, string(x.req.Account.Name))
	}
	if fresh {
		h.SetConnectionClose()
	}
	h.SetContentLength(len(x.req.Body))
}

// isSafeTarget reports whether path contains no byte that could terminate the request
// line. Callers' paths are validated when they are parsed; this check prevents request
// injection if that validation misses a case.
func isSafeTarget(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] == 0x7f {
			return false
		}
	}
	return true
}
