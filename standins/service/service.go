// Package service is a small stand-in of a plain service whose calls must not
// be repeated. It counts the runs of each idempotency key independently of the
// router.
package service

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Config sets the behaviour of a server.
type Config struct {
	Name, Address string
	// Delay is the time that one call takes.
	Delay time.Duration
	// RunCounter counts runs; servers of one pool share it. Required.
	RunCounter *RunCounter
}

// RunCounter counts the runs of each key over all servers of a pool.
type RunCounter struct {
	mu                 sync.Mutex
	runs               map[string]int
	outOfService       map[string]time.Time
	startsOutOfService int
}

// NewRunCounter returns an empty ledger.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: map[string]int{}, outOfService: map[string]time.Time{}}
}

// Runs returns how often the key ran.
func (l *RunCounter) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// RepeatedKeys returns how many keys ran more than once.
func (l *RunCounter) RepeatedKeys() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.runs {
		if c > 1 {
			n++
		}
	}
	return n
}

// MarkOutOfService marks a server as out: calls that start at or after from count as new
// work after out.
func (l *RunCounter) MarkOutOfService(server string, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outOfService[server] = from
}

// MarkInService marks a server as in service.
func (l *RunCounter) MarkInService(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.outOfService, server)
}

// StartsOutOfService counts the calls that started after out.
func (l *RunCounter) StartsOutOfService() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startsOutOfService
}

func (l *RunCounter) record(server, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		l.runs[key]++
	}
	if from, outOfService := l.outOfService[server]; outOfService && !time.Now().Before(from) {
		l.startsOutOfService++
	}
}

// Server is a running stand-in.
type Server struct {
	cfg Config
	ln  net.Listener
	srv *fasthttp.Server
}

// Start starts a server.
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

// Address is the server's host:port.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Close stops the server.
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
