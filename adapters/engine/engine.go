// Package engine sends requests to backend servers over HTTP and verifies their
// answers. It owns the connections, one pool for each address, and uses the
// HTTP client library as a codec only: the router has to know whether a byte of
// a request has left, and which connection carried an earlier answer.
package engine

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/liveness"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Client sends requests to backend servers.
type Client struct {
	// ConnectTimeout bounds opening a connection. Default 1 s.
	ConnectTimeout time.Duration
	// MaxAnswerBytes bounds an answer that is not streamed.
	MaxAnswerBytes int
	// KeepAlive, unless nil, sets how connections notice a peer that is gone.
	KeepAlive *net.KeepAliveConfig
	// UserTimeout ends a connection whose bytes are not acknowledged for so long; 0 leaves
	// it to the system.
	UserTimeout time.Duration
	// MaxIdle bounds the idle connections to one server; 0 means maxIdle. It may change
	// at any time.
	MaxIdle atomic.Int64
	// Dialect names the header fields; nil means that of the OpenAI chat API.
	Dialect *Dialect
	// OnLoad, unless nil, takes what servers tell of their load. It must not block.
	OnLoad func(pool fleet.PoolID, server fleet.ServerID, l ServerLoad)
	// Probes, SilentConnections and ResumedStreams count probes sent, connections found silent
	// and streams resumed.
	Probes, SilentConnections, ResumedStreams atomic.Int64

	hosts    sync.Map // address to *host
	budgetMu sync.Mutex
	budget   liveness.ProbeBudget
}

// exchange is one request to one server; a resumed stream sends it again.
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
	a, err := x.send(req.LastEventID, !req.Idempotent && !opaque)
	if err != nil {
		return nil, err
	}
	switch {
	case opaque && a.isEventStream():
		return openStream(a)
	case opaque:
		return a.readOpaque()
	case req.Route != nil:
		return a, nil
	case req.Stream && a.isEventStream():
		return openStream(a)
	case req.Stream && a.status < 300:
		defer a.Close()
		return nil, result.New(result.AnswerInvalid, "server %s answered a stream request with %q", srv.Name, a.resp.Header.ContentType())
	}
	return a.readJSON()
}

// send sends the request and waits for the header of the answer. A fresh
// connection tells a failed connect, which is known not to have run, from a
// reused connection that the server closed meanwhile.
func (x *exchange) send(lastEvent string, fresh bool) (*response, error) {
	if !isSafeTarget(x.req.Path) {
		return nil, result.New(result.BadRequest, "path %q cannot be sent", x.req.Path)
	}
	cn, err := x.client.acquire(x.ctx, x.srv.Address, fresh)
	if err != nil {
		if x.ctx.Err() != nil {
			return nil, result.Wrap(result.CallerGone, err, "the caller left before the request was sent").WithOutcome(result.NotRun)
		}
		return nil, result.Wrap(result.ConnectFailed, err, "server %s", x.srv.Name)
	}
	if x.req.Recheck != nil {
		if e := x.req.Recheck(); e != nil {
			_ = cn.Conn.Close()
			return nil, e
		}
	}
	cn.readBudget = maxHeadBytes
	cn.monitor.Start(time.Now(), time.Duration(x.req.Pool.SilenceSeconds)*time.Second, x.req.Deadline)
	a := &response{x: x, conn: cn, limit: x.client.MaxAnswerBytes}
	// A caller that leaves closes the connection, which cancels the request at
	// the server and ends a blocked read.
	a.stop = context.AfterFunc(x.ctx, func() { _ = cn.Conn.Close() })
	if err := x.write(cn, lastEvent, fresh); err != nil {
		return nil, a.fail(err, "request could not be sent")
	}
	a.resp = fasthttp.AcquireResponse()
	a.resp.Header.SetNoDefaultContentType(true)
	a.resp.StreamBody = true
	a.resp.SkipBody = x.req.Method == fasthttp.MethodHead
	if err := a.resp.ReadLimitBody(cn.br, 0); err != nil {
		return nil, a.fail(err, "no answer")
	}
	a.initBody()
	if err := a.verifyHead(); err != nil {
		a.Close()
		return nil, err
	}
	cn.readBudget = a.bodyReadBudget()
	return a, nil
}

var (
	headerPool = sync.Pool{New: func() any { return new(fasthttp.RequestHeader) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4096) }}
)

// write sends the request's bytes once.
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
		set(d.Urgency, strconv.Itoa(min(x.req.Urgency, lowestUrgency)))
	}
	if x.req.Account != nil {
		set(d.Account, string(x.req.Account.Name))
	}
	if fresh {
		h.SetConnectionClose()
	}
	h.SetContentLength(len(x.req.Body))
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(cn)
	defer w.Reset(nil)
	if err := h.Write(w); err != nil {
		return err
	}
	if _, err := w.Write(x.req.Body); err != nil {
		return err
	}
	return w.Flush()
}

// isSafeTarget says that a path cannot end the request line. Callers' paths are
// checked where they are parsed; this protects the connection against a miss.
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
