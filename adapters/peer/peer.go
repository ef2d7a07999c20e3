package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Keyer gives the shared key that signs and the keys that are accepted.
type Keyer interface {
	Bytes() []byte
	Accepted() [][]byte
}

// maxCallBytes bounds one call or its answer.
const maxCallBytes = 32 << 20

// Traffic counts the body bytes and calls of one instance.
type Traffic struct{ SentBytes, ReceivedBytes, Calls atomic.Int64 }

// TLS makes the configurations of mutual TLS; each call reads changed files.
type TLS interface {
	Server() *tls.Config
	Client() *tls.Config
}

// errAnswer reports an answer without a valid signature.
var errAnswer = errors.New("the answer is not signed with the shared key")

// Server serves calls of other instances.
type Server struct {
	key     Keyer
	tls     TLS
	traffic *Traffic
	mounts  []mount
	srv     *fasthttp.Server
}

// quiet drops the server's messages: unsigned calls and broken connections are
// answered or closed, and a stranger must not be able to fill the log.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

type mount struct {
	prefix  string
	handler fasthttp.RequestHandler
}

// NewServer returns a server without services. Calls are signed with the shared
// key; with t they run over mutual TLS as well.
func NewServer(key Keyer, t TLS, traffic *Traffic) *Server {
	s := &Server{key: key, tls: t, traffic: traffic}
	s.srv = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: maxCallBytes, NoDefaultServerHeader: true, NoDefaultDate: true,
		// The default logs the bytes of requests that are not HTTP.
		SecureErrorLogMessage: true, Logger: quiet{},
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
func (s *Server) Serve(ln net.Listener) error {
	if s.tls != nil {
		ln = tls.NewListener(ln, s.tls.Server())
	}
	return s.srv.Serve(ln)
}

// Shutdown stops the server.
func (s *Server) Shutdown(ctx context.Context) error { return s.srv.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	body := ctx.PostBody()
	auth := string(ctx.Request.Header.Peek(authHeader))
	key := signer(s.key.Accepted(), path, body, auth, time.Now())
	if key == nil {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	s.traffic.ReceivedBytes.Add(int64(len(body)))
	s.dispatch(ctx, path)
	answer := ctx.Response.Body()
	s.traffic.SentBytes.Add(int64(len(answer)))
	ctx.Response.Header.Set(answerHeader, signAnswer(key, path, auth, ctx.Response.StatusCode(), answer))
}

func (s *Server) dispatch(ctx *fasthttp.RequestCtx, path string) {
	for _, m := range s.mounts {
		if strings.HasPrefix(path, m.prefix) {
			m.handler(ctx)
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
// With t, connections use mutual TLS although URLs have the scheme http.
func NewClient(key Keyer, t TLS, traffic *Traffic) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	dial := dialer.DialContext
	if t != nil {
		dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			tc := tls.Client(conn, t.Client())
			if err := tc.HandshakeContext(ctx); err != nil {
				_ = conn.Close()
				return nil, err
			}
			return tc, nil
		}
	}
	return &Client{key: key, traffic: traffic, http: &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}}
}

// unusedHeaders are set by twirp clients and read by no server here. A call has
// few bytes of body, so that its header is most of the control traffic.
var unusedHeaders = []string{"Accept", "Twirp-Version"}

// Do signs and sends one call, and checks the signature of the answer.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return nil, err
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	path := req.URL.Path
	// The answer is signed with the key of the call, so that instances that are at
	// different steps of a rotation understand each other.
	key := c.key.Bytes()
	auth := sign(key, path, body, time.Now())
	req.Header.Set(authHeader, auth)
	for _, h := range unusedHeaders {
		req.Header.Del(h)
	}
	req.Header.Set("User-Agent", "") // leaves the field out
	c.traffic.Calls.Add(1)
	c.traffic.SentBytes.Add(int64(len(body)))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxCallBytes+1))
	_ = resp.Body.Close()
	if err != nil {
		return nil, err
	}
	c.traffic.ReceivedBytes.Add(int64(len(answer)))
	if len(answer) > maxCallBytes || !verifyAnswer(key, path, auth, resp.StatusCode, answer, resp.Header.Get(answerHeader)) {
		return nil, errAnswer
	}
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	return resp, nil
}
