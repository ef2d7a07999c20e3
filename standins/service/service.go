// Package service implements a test server for a service whose calls must not be
// executed twice. It counts the executions of each idempotency key independently
// of the router.
package service

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Config configures a server.
type Config struct {
	Name, Address string
	// Delay is the processing time of a call.
	Delay time.Duration
	// RunCounter counts executions; the servers of a pool share it. Required.
	RunCounter *RunCounter
}

// RunCounter counts the executions of each idempotency key over all servers of a
// pool.
type RunCounter struct {
	mu                 sync.Mutex
	runs               map[string]int
	outOfService       map[string]time.Time
	startsOutOfService int
}

// NewRunCounter returns a counter without executions.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: map[string]int{}, outOfService: map[string]time.Time{}}
}

// Runs returns the number of executions of the key.
func (r *RunCounter) Runs(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[key]
}

// RepeatedKeys returns the number of keys that were executed more than once.
func (r *RunCounter) RepeatedKeys() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.runs {
		if c > 1 {
			n++
		}
	}
	return n
}

// MarkOutOfService takes a server out of service. Calls that start on it at or
// after from count in StartsOutOfService.
func (r *RunCounter) MarkOutOfService(server string, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outOfService[server] = from
}

// MarkInService reverts MarkOutOfService for a server.
func (r *RunCounter) MarkInService(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outOfService, server)
}

// StartsOutOfService returns the number of calls that started on servers that were
// out of service.
func (r *RunCounter) StartsOutOfService() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startsOutOfService
}

func (r *RunCounter) record(server, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if key != "" {
		r.runs[key]++
	}
	if from, outOfService := r.outOfService[server]; outOfService && !time.Now().Before(from) {
		r.startsOutOfService++
	}
}

// Server is a running service.
type Server struct {
	cfg Config
	ln  net.Listener
	srv *fasthttp.Server
}

// Start listens on cfg.Address and serves calls.
func Start(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, ln: ln}
	s.srv = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Close shuts the server down.
func (s *Server) Close() { _ = s.srv.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	s.cfg.RunCounter.record(s.cfg.Name, key)
	time.Sleep(s.cfg.Delay)
	body, _ := json.Marshal(map[string]string{
		"server": s.cfg.Name, "key": key, "path": string(ctx.Path()), "body": string(ctx.PostBody()),
	})
	ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
