// Package runner is a small stand-in for a backend server of the users' platform. It
// answers each request with its own name, as a whole or as a stream of events, and
// notes what it ran.
package runner

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Run is a request that the runner ran.
type Run struct {
	ID, Method, Path, Body, Tenant, LastEventID string
	// StartedAt is when it began.
	StartedAt time.Time
}

// Runner is a running stand-in.
type Runner struct {
	// ID is the name that requests must expect.
	ID string
	// Events is how many events a stream has; DisconnectAfter, above 0, ends the
	// connection after so many. Gap is the time between events.
	Events, DisconnectAfter int
	EventInterval           time.Duration
	// ProcessingTime is the time between the begin of a run and its answer.
	ProcessingTime time.Duration
	// AtCapacity refuses all requests as not run.
	AtCapacity bool

	ln          net.Listener
	srv         *fasthttp.Server
	mu          sync.Mutex
	runs        []Run
	disconnects int
}

// Start listens on loopback. The fields must not change afterwards.
func (r *Runner) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.ln = ln
	r.srv = &fasthttp.Server{Handler: r.handle}
	go func() { _ = r.srv.Serve(ln) }()
	return nil
}

// Address is the host:port address.
func (r *Runner) Address() string { return r.ln.Addr().String() }

// Close stops listening.
func (r *Runner) Close() { _ = r.ln.Close() }

// Runs are the requests that ran so far.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Disconnects is how many streams ended because their connection was closed.
func (r *Runner) Disconnects() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disconnects
}

// RegistryEntry is what the runner writes into the store.
func (r *Runner) RegistryEntry(service, zone, state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"slots":8,"state":%q,"cold_left_ms":0,"sequence":1,"born":1}`, service, r.Address(), zone, state)
}

func (r *Runner) handle(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	id := string(h.Peek("Request-Id"))
	ctx.Response.Header.Set("Request-Id", id)
	if want := string(h.Peek("Expect-Instance")); want != "" && want != r.ID {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if r.AtCapacity {
		ctx.Response.Header.Set("Not-Executed", "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	last := string(h.Peek("Last-Event-Id"))
	r.mu.Lock()
	r.runs = append(r.runs, Run{id, string(h.Method()), string(h.RequestURI()), string(ctx.PostBody()), string(h.Peek("Tenant")), last, time.Now()})
	r.mu.Unlock()
	time.Sleep(r.ProcessingTime)
	ctx.Response.Header.Set("Response-Seal", r.ID+"."+id)
	if !strings.HasPrefix(string(ctx.Path()), "/stream/") {
		ctx.SetBodyString("answer of " + r.ID)
		return
	}
	ctx.SetContentType("text/event-stream")
	first, _ := strconv.Atoi(last)
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { r.stream(w, conn, first) })
}

func (r *Runner) stream(w *bufio.Writer, conn net.Conn, after int) {
	for i := after + 1; i <= r.Events; i++ {
		if r.DisconnectAfter > 0 && i > r.DisconnectAfter {
			_ = conn.Close()
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		if w.Flush() != nil {
			r.mu.Lock()
			r.disconnects++
			r.mu.Unlock()
			return
		}
		time.Sleep(r.EventInterval)
	}
}
