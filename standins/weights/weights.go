// Package weights implements a test server for a weight store that serves loads up
// to a rate and rejects the rest with status 429.
package weights

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Server is a running weight store.
type Server struct {
	ln             net.Listener
	srv            *fasthttp.Server
	loadsPerMinute int

	mu      sync.Mutex
	served  []time.Time
	refused int
}

// Start listens on addr and serves at most loadsPerMinute loads in any minute.
func Start(addr string, loadsPerMinute int) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, loadsPerMinute: loadsPerMinute}
	s.srv = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// URL returns the base URL of the weight store.
func (s *Server) URL() string { return "http://" + s.ln.Addr().String() }

// Close shuts the server down.
func (s *Server) Close() { _ = s.srv.Shutdown() }

// Counts returns the number of loads served and rejected so far.
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
