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
	// Ledger counts runs; servers of one pool share it. Required.
	Ledger *Ledger
}

// Ledger counts the runs of each key over all servers of a pool.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	out      map[string]time.Time
	afterOut int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}, out: map[string]time.Time{}} }

// Runs returns how often the key ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// RunTwice returns how many keys ran more than once.
func (l *Ledger) RunTwice() int {
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

// SetOut marks a server as out: calls that start at or after from count as new
// work after out.
func (l *Ledger) SetOut(server string, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out[server] = from
}

// SetIn marks a server as in service.
func (l *Ledger) SetIn(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.out, server)
}

// StartsAfterOut counts the calls that started after out.
func (l *Ledger) StartsAfterOut() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.afterOut
}

func (l *Ledger) add(server, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		l.runs[key]++
	}
	if from, out := l.out[server]; out && !time.Now().Before(from) {
		l.afterOut++
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
	s.cfg.Ledger.add(s.cfg.Name, key)
	time.Sleep(s.cfg.Delay)
	body, _ := json.Marshal(map[string]string{
		"server": s.cfg.Name, "key": key, "path": string(ctx.Path()), "body": string(ctx.PostBody()),
	})
	ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
