// Package engine sends requests to backend servers over HTTP and verifies their
// answers. It owns the connections, one host client for each address.
package engine

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Header fields exchanged with backend servers.
const (
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Request-Deadline-Ms"
	headerIdemKey   = "Idempotency-Key"
)

// Client sends requests to backend servers.
type Client struct {
	// ConnectTimeout bounds opening a connection. Default 1 s.
	ConnectTimeout time.Duration
	// MaxAnswerBytes bounds an answer that is not streamed.
	MaxAnswerBytes int

	hosts sync.Map // address to *fasthttp.HostClient
}

// errDial marks failures before any byte of the request was written.
type errDial struct{ error }

// silenceConn sets a new read deadline for each read, so that a silent
// connection fails while a slow but live stream goes on.
type silenceConn struct {
	net.Conn
	limit time.Duration
}

func (c *silenceConn) Read(b []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// SetReadDeadline is ignored: the HTTP client sets one deadline for the whole
// answer, which would end long streams.
func (c *silenceConn) SetReadDeadline(time.Time) error { return nil }

func (c *silenceConn) SetDeadline(t time.Time) error { return c.SetWriteDeadline(t) }

func (c *Client) host(addr string, silence time.Duration) *fasthttp.HostClient {
	if h, ok := c.hosts.Load(addr); ok {
		return h.(*fasthttp.HostClient)
	}
	connectTimeout := c.ConnectTimeout
	if connectTimeout == 0 {
		connectTimeout = time.Second
	}
	h := &fasthttp.HostClient{
		Addr: addr,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", addr, connectTimeout)
			if err != nil {
				return nil, errDial{err}
			}
			return &silenceConn{Conn: conn, limit: silence}, nil
		},
		MaxConns:                      16384,
		MaxIdleConnDuration:           30 * time.Second,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:            true,
		MaxResponseBodySize:           1,
		WriteTimeout:                  10 * time.Second,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
	actual, _ := c.hosts.LoadOrStore(addr, h)
	return actual.(*fasthttp.HostClient)
}

// Open implements gateway.Upstream.
func (c *Client) Open(_ context.Context, srv *manifest.Server, req *gateway.Request, attemptID string) (gateway.Answer, error) {
	silence := time.Duration(req.Pool.SilenceSeconds) * time.Second
	hreq, hresp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	hreq.SetRequestURI("http://" + srv.Address + req.Path)
	hreq.Header.SetMethod(req.Method)
	for _, f := range req.Fields {
		hreq.Header.Set(f.Name, f.Value)
	}
	hreq.Header.Set(headerRequestID, attemptID)
	hreq.Header.Set(headerDeadline, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	if req.IdempotencyKey != "" {
		hreq.Header.Set(headerIdemKey, req.IdempotencyKey)
	}
	if !req.Idempotent {
		// A new connection tells a failed connect, which is known not to have
		// run, from a reused connection that the server closed meanwhile.
		hreq.SetConnectionClose()
	}
	hreq.SetBodyRaw(req.Body)
	err := c.host(srv.Address, silence).Do(hreq, hresp)
	fasthttp.ReleaseRequest(hreq)
	if err != nil {
		fasthttp.ReleaseResponse(hresp)
		return nil, classify(err, srv)
	}
	a := newAnswer(hresp, c.MaxAnswerBytes, req.Deadline)
	if err := a.verifyHead(srv, attemptID); err != nil {
		a.Close()
		return nil, err
	}
	if req.Stream && a.isEventStream() {
		return &eventStream{answer: a}, nil
	}
	if req.Route == nil {
		return a.readJSON()
	}
	return a, nil
}

func classify(err error, srv *manifest.Server) error {
	var dial errDial
	var ne net.Error
	switch {
	case errors.As(err, &dial), errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, fasthttp.ErrDialTimeout):
		return result.Wrap(result.ConnectFailed, err, "server %s", srv.Name)
	case errors.As(err, &ne) && ne.Timeout():
		return result.Wrap(result.ConnectionSilent, err, "server %s", srv.Name)
	}
	return result.Wrap(result.ConnectionLost, err, "server %s", srv.Name)
}
