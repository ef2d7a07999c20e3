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

// KeyProvider supplies the shared signing key and all keys accepted from peers.
type KeyProvider interface {
	Bytes() []byte
	Accepted() [][]byte
}

// maxCallBytes limits the size of the message of a call or an answer.
const maxCallBytes = 32 << 20

// Traffic counts the calls of one instance, and the bytes of calls and answers including
// HTTP headers but not TLS, TCP and IP.
type Traffic struct{ SentBytes, ReceivedBytes, Calls atomic.Int64 }

// TLS builds the configurations of mutual TLS. Each call reloads changed files.
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
	// calls is the parent of all calls' contexts; endCalls ends it at Shutdown.
	calls    context.Context
	endCalls context.CancelFunc
}

// discardLogger discards the HTTP server's messages, so that a client without the key
// cannot fill the log with failed requests and connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

type mount struct {
	prefix  string
	handler http.Handler
}

// NewServer returns a server without services. Calls are authenticated with the shared
// key and, unless t is nil, run over mutual TLS.
func NewServer(key KeyProvider, t TLS, traffic *Traffic) *Server {
	s := &Server{key: key, tls: t, traffic: traffic}
	s.calls, s.endCalls = context.WithCancel(context.Background())
	s.srv = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: maxCallBytes + callAuthBytes,
		// Peers ignore these header fields.
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		// By default, fasthttp logs the bytes of malformed requests.
		SecureErrorLogMessage: true, Logger: discardLogger{},
		ReadTimeout: 30 * time.Second, WriteTimeout: 30 * time.Second, IdleTimeout: serverIdleTimeout,
	}
	return s
}

// Mount adds a twirp service with its PathPrefix. It must be called before Serve.
func (s *Server) Mount(prefix string, h http.Handler) {
	s.mounts = append(s.mounts, mount{prefix, h})
}

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	ln = noKeepAliveListener{ln}
	if s.tls != nil {
		ln = tls.NewListener(ln, s.tls.Server())
	}
	return s.srv.Serve(ln)
}

// Shutdown closes the listeners, cancels the contexts of open calls and waits for the calls
// until ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.endCalls()
	return s.srv.ShutdownWithContext(ctx)
}

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

// dispatch returns the status and an answer whose first macBytes bytes are reserved for
// the signature.
func (s *Server) dispatch(ctx *fasthttp.RequestCtx, path string, message []byte) (int, []byte) {
	for _, m := range s.mounts {
		if strings.HasPrefix(path, m.prefix) {
			return s.serveHTTP(m.handler, ctx, path, message)
		}
	}
	return fasthttp.StatusNotFound, make([]byte, macBytes)
}
