package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Keyer gives the shared key in force.
type Keyer interface{ Bytes() []byte }

// maxCallBytes bounds one call or its answer.
const maxCallBytes = 32 << 20

// Traffic counts the body bytes and calls of one instance.
type Traffic struct{ SentBytes, ReceivedBytes, Calls atomic.Int64 }

// Server serves calls of other instances.
type Server struct {
	key     Keyer
	traffic *Traffic
	mounts  []mount
	srv     *fasthttp.Server
}

type mount struct {
	prefix  string
	handler fasthttp.RequestHandler
}

// NewServer returns a server without services.
func NewServer(key Keyer, traffic *Traffic) *Server {
	s := &Server{key: key, traffic: traffic}
	s.srv = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: maxCallBytes, NoDefaultServerHeader: true,
		ReadTimeout: 30 * time.Second, WriteTimeout: 30 * time.Second, IdleTimeout: 2 * time.Minute,
	}
	return s
}

// Mount adds a twirp service; prefix is its PathPrefix. It must be called
// before Serve.
func (s *Server) Mount(prefix string, h http.Handler) {
	s.mounts = append(s.mounts, mount{prefix, fasthttpadaptor.NewFastHTTPHandler(h)})
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.srv.Serve(ln) }

// Shutdown stops the server.
func (s *Server) Shutdown(ctx context.Context) error { return s.srv.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	body := ctx.PostBody()
	if !verify(s.key.Bytes(), path, body, string(ctx.Request.Header.Peek(authHeader)), time.Now()) {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	s.traffic.ReceivedBytes.Add(int64(len(body)))
	for _, m := range s.mounts {
		if strings.HasPrefix(path, m.prefix) {
			m.handler(ctx)
			s.traffic.SentBytes.Add(int64(len(ctx.Response.Body())))
			return
		}
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// Client calls other instances. It implements the HTTPClient interface that
// twirp clients take.
type Client struct {
	key     Keyer
	traffic *Traffic
	http    *http.Client
}

// NewClient returns a client; deadlines come from the context of each call.
func NewClient(key Keyer, traffic *Traffic) *Client {
	return &Client{key: key, traffic: traffic, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}}}
}

// Do signs and sends one call.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return nil, err
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	req.Header.Set(authHeader, sign(c.key.Bytes(), req.URL.Path, body, time.Now()))
	c.traffic.Calls.Add(1)
	c.traffic.SentBytes.Add(int64(len(body)))
	resp, err := c.http.Do(req)
	if err == nil && resp.ContentLength > 0 {
		c.traffic.ReceivedBytes.Add(resp.ContentLength)
	}
	return resp, err
}
