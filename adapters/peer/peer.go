package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// KeyProvider gives the shared key that signs and the keys that are accepted.
type KeyProvider interface {
	Bytes() []byte
	Accepted() [][]byte
}

// maxCallBytes bounds the message of one call or of its answer.
const maxCallBytes = 32 << 20

// Traffic counts the calls of one instance and the bytes of calls and answers
// with their HTTP headers, without TLS, TCP and IP.
type Traffic struct{ SentBytes, ReceivedBytes, Calls atomic.Int64 }

// TLS makes the configurations of mutual TLS; each call reads changed files.
type TLS interface {
	Server() *tls.Config
	Client() *tls.Config
}

// Server serves calls of other instances.
type Server struct {
	key     KeyProvider
	tls     TLS
	traffic *Traffic
	mounts  []mount
	srv     *fasthttp.Server
}

// discardLogger drops the server's messages: unsigned calls and broken connections are
// answered or closed, and a stranger must not be able to fill the log.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

type mount struct {
	prefix  string
	handler http.Handler
}

// NewServer returns a server without services. Calls are signed with the shared
// key; with t they run over mutual TLS as well.
func NewServer(key KeyProvider, t TLS, traffic *Traffic) *Server {
	s := &Server{key: key, tls: t, traffic: traffic}
	s.srv = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: maxCallBytes + callAuthBytes,
		// Peers read none of these fields.
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		// The default logs the bytes of requests that are not HTTP.
		SecureErrorLogMessage: true, Logger: discardLogger{},
		ReadTimeout: 30 * time.Second, WriteTimeout: 30 * time.Second, IdleTimeout: serverIdleTimeout,
	}
	return s
}

// Mount adds a twirp service; prefix is its PathPrefix. It must be called
// before Serve.
func (s *Server) Mount(prefix string, h http.Handler) {
	s.mounts = append(s.mounts, mount{prefix, h})
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	ln = noKeepAliveListener{ln}
	if s.tls != nil {
		ln = tls.NewListener(ln, s.tls.Server())
	}
	return s.srv.Serve(ln)
}

// Shutdown stops the server.
func (s *Server) Shutdown(ctx context.Context) error { return s.srv.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	key, auth, message := verifyAny(s.key.Accepted(), path, ctx.PostBody(), time.Now())
	if key == nil {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	s.traffic.ReceivedBytes.Add(int64(CallBytes(path, len(message))))
	status, answer := s.dispatch(ctx, servicePath(path), message)
	s.traffic.SentBytes.Add(int64(AnswerBytes(len(answer) - macBytes)))
	signAnswer(answer[:0], key, auth, status, answer[macBytes:])
	ctx.SetStatusCode(status)
	ctx.Response.SetBodyRaw(answer)
}

// dispatch returns an answer that begins with room for its signature.
func (s *Server) dispatch(ctx *fasthttp.RequestCtx, path string, message []byte) (int, []byte) {
	for _, m := range s.mounts {
		if strings.HasPrefix(path, m.prefix) {
			return serveHTTP(m.handler, ctx, path, message)
		}
	}
	return fasthttp.StatusNotFound, make([]byte, macBytes)
}
