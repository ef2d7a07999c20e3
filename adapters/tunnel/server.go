package tunnel

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/httpcall"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/fleet"
)

// Server connects tunnels of other instances to backend servers. A tunnel takes two buffers of
// bufferBytes, a reader of 4 KB of the HTTP library and two goroutines, TunnelBytes together. The
// connection to the server takes a descriptor in Dial.
type Server struct {
	// Dial connects to a server at the address that this instance knows for it, and sets the
	// keep-alive and the user timeout of the connection. It must not go through another
	// instance. Its errors wrap ErrUnknownServer, ErrNoLink, sockets.ErrNoDescriptor or the
	// error of the connect.
	Dial func(server fleet.ServerID) (net.Conn, error)
	// Descriptors is taken by the connections from instances in place of the share of the
	// listener; nil leaves them that one.
	Descriptors *budget.Share
	// Relieve, unless nil, frees a descriptor elsewhere if Descriptors is short because of what
	// others hold, and reports whether it did.
	Relieve func() bool
	// Limit is the most tunnels that are open at once.
	Limit int
	// KeepAlive is the TCP keep-alive configuration of the connections from instances.
	KeepAlive net.KeepAliveConfig
	Log       *zap.Logger

	// Opened counts the tunnels that were opened, Refused those that were not because the server
	// was full, Failed those that were not because Dial failed. Broken counts the tunnels that ended otherwise than by
	// the end of the server's output or of the instance's connection.
	Opened, Refused, Failed, Broken atomic.Int64

	mu       sync.Mutex
	open     map[*relay]bool // false until the server is connected
	checking bool
}

// Running returns the number of tunnels that are open or being opened.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Handle serves a call to Path. It takes over the connection and answers on it.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		ctx.SetContentType(httpcall.PeerContentType)
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	r := &relay{
		server: fleet.ServerID(ctx.QueryArgs().Peek(queryServer)),
		from:   fleet.InstanceID(ctx.QueryArgs().Peek(queryFrom)),
	}
	// The server is connected only after the library has handed the connection over: it doesn't
	// call the handler if the connection has failed, and a connected server would be left open.
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(nc net.Conn) { s.serve(r, nc) })
}

// serve connects the server, answers, and copies until either connection ends.
func (s *Server) serve(r *relay, nc net.Conn) {
	r.instance, r.accepted = nc, nc
	if h, ok := nc.(interface{ UnsafeConn() net.Conn }); ok {
		r.accepted = h.UnsafeConn() // closing the library's own connection does nothing
	}
	defer r.close()
	if !s.admit(r) {
		s.Refused.Add(1)
		s.refuse(r, PeerFull, nil)
		return
	}
	defer s.remove(r)
	if !s.takeDescriptor(r.accepted) {
		s.Refused.Add(1)
		s.refuse(r, PeerFull, sockets.ErrNoDescriptor)
		return
	}
	if err := s.prepare(r); err != nil {
		s.Failed.Add(1)
		s.refuse(r, ServerFailed, err)
		return
	}
	connect := s.Dial // takes a descriptor
	backend, err := connect(r.server)
	if err != nil {
		s.Failed.Add(1)
		s.refuse(r, reasonOf(err), err)
		return
	}
	r.backend = backend
	if r.backendRaw, err = rawOf(backend); err != nil {
		s.Failed.Add(1)
		s.refuse(r, ServerFailed, err)
		return
	}
	if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s: %s\r\n%s: %s\r\n\r\n",
		httpcall.PeerContentType, resultHeader, resultOpen, serverHeader, url.QueryEscape(string(r.server))); err != nil {
		s.Failed.Add(1)
		s.Log.Info("tunnel not opened", append(r.fields(), zap.Error(err))...)
		return
	}
	s.Opened.Add(1)
	s.Log.Debug("tunnel opened", r.fields()...)
	s.start(r)
	end := r.run()
	if end != nil {
		s.Broken.Add(1)
		s.Log.Info("tunnel broken", append(r.fields(), zap.Error(end))...)
		return
	}
	s.Log.Debug("tunnel closed", r.fields()...)
}

// takeDescriptor makes an accepted connection take its descriptor of the share of tunnels.
func (s *Server) takeDescriptor(accepted net.Conn) bool {
	c, ok := accepted.(*sockets.Conn)
	if !ok || s.Descriptors == nil || c.MoveTo(s.Descriptors) {
		return true
	}
	return s.Relieve != nil && !s.Descriptors.IsFull() && s.Relieve() && c.MoveTo(s.Descriptors)
}

// prepare sets the options of the instance's connection. It has no user timeout, which would
// close the connection of an instance whose caller reads nothing for as long.
func (s *Server) prepare(r *relay) error {
	nc := r.accepted
	if c, ok := nc.(*sockets.Conn); ok {
		nc = c.Conn
	}
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	var err error
	if r.raw, err = tc.SyscallConn(); err != nil {
		return err
	}
	return tc.SetKeepAliveConfig(s.KeepAlive)
}

func rawOf(nc net.Conn) (syscall.RawConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// refuse answers that no tunnel is opened.
func (s *Server) refuse(r *relay, reason Reason, cause error) {
	s.Log.Info("tunnel not opened", append(r.fields(), zap.String(logging.FieldReason, string(reason)), zap.Error(cause))...)
	address := ""
	var op *net.OpError
	if errors.As(cause, &op) && op.Op == "dial" && op.Addr != nil {
		address = fmt.Sprintf("%s: %s\r\n", addressHeader, op.Addr)
	}
	// A connection that has failed needs no answer.
	_, _ = fmt.Fprintf(r.instance, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: %s\r\n%s: %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n",
		httpcall.PeerContentType, resultHeader, reason, address)
}

// reasonOf returns the reason that an error of Dial stands for.
func reasonOf(err error) Reason {
	var ne net.Error
	switch {
	case errors.Is(err, ErrUnknownServer):
		return ServerUnknown
	case errors.Is(err, ErrNoLink):
		return PeerNoLink
	case errors.Is(err, sockets.ErrNoDescriptor), errors.Is(err, ErrFull):
		return PeerFull
	case errors.Is(err, syscall.ECONNREFUSED):
		return ServerRefused
	case errors.As(err, &ne) && ne.Timeout():
		return ServerSilent
	}
	return ServerFailed
}

// admit takes a place for a tunnel. It reports false if none is left.
func (s *Server) admit(r *relay) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.Limit {
		return false
	}
	if s.open == nil {
		s.open = map[*relay]bool{}
	}
	s.open[r] = false
	return true
}

func (s *Server) remove(r *relay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, r)
}

// start has a tunnel checked until it ends.
func (s *Server) start(r *relay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[r] = true
	if !s.checking {
		s.checking = true
		time.AfterFunc(checkInterval, s.check)
	}
}

// check closes the tunnels that carry nothing or whose instance is lost.
func (s *Server) check() {
	s.mu.Lock()
	var relays []*relay
	for r, connected := range s.open {
		if connected {
			relays = append(relays, r)
		}
	}
	s.checking = len(relays) > 0
	s.mu.Unlock()
	if len(relays) == 0 {
		return
	}
	for _, r := range relays {
		r.check()
	}
	time.AfterFunc(checkInterval, s.check)
}
