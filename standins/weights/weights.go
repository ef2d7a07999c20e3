// Package weights is a small stand-in of a weight store that serves loads up to
// a rate and refuses the others. It keeps the times of loads in memory.
package weights

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Server is a running stand-in.
type Server struct {
	ln             net.Listener
	srv            *fasthttp.Server
	loadsPerMinute int

	mu      sync.Mutex
	served  []time.Time
	refused int
}

// Start listens on addr and serves up to perMinute loads in any minute.
func Start(addr string, perMinute int) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, loadsPerMinute: perMinute}
	s.srv = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// URL is the base URL.
func (s *Server) URL() string { return "http://" + s.ln.Addr().String() }

// Close stops the server.
func (s *Server) Close() { _ = s.srv.Shutdown() }

// Counts returns the loads served and refused so far.
func (s *Server) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.served), s.refused
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := 0
	for i := len(s.served) - 1; i >= 0 && now.Sub(s.served[i]) < time.Minute; i-- {
		recent++
	}
	if recent >= s.loadsPerMinute {
		s.refused++
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	s.served = append(s.served, now)
}
