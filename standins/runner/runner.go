// Package runner implements a test backend server of the users' platform. It
// responds to each request with its own ID, in one body or as an event stream, and
// records the requests that it executed.
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

// Run records a request that a runner executed.
type Run struct {
	ID, Method, Path, Body, Tenant, LastEventID string
	StartedAt                                   time.Time
}

// Runner is a backend server. Set the exported fields before Start.
type Runner struct {
	// ID identifies the runner. A request whose Expect-Instance header names another
	// ID is rejected with status 421.
	ID string
	// Events is the number of events in a stream. If DisconnectAfter is above 0, the
	// connection is closed after that event. EventInterval is the time between
	// events.
	Events, DisconnectAfter int
	EventInterval           time.Duration
	// ProcessingTime is the time from the start of a request to its response.
	ProcessingTime time.Duration
	// AtCapacity rejects all requests as not executed.
	AtCapacity bool
	// Cached lists the prompt parts that the runner has cached, as "ID:TOKENS" with the ID
	// in hexadecimal.
	Cached []string

	ln          net.Listener
	srv         *fasthttp.Server
	mu          sync.Mutex
	runs        []Run
	disconnects int
	lists       int
}

// Start listens on a free loopback port. The exported fields must not change
// afterwards.
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

// Address returns the host:port that the runner listens on.
func (r *Runner) Address() string { return r.ln.Addr().String() }

// Close closes the listener; open connections stay open.
func (r *Runner) Close() { _ = r.ln.Close() }

// Runs returns the requests executed so far.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Disconnects returns the number of streams that ended because the client closed
// the connection.
func (r *Runner) Disconnects() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disconnects
}

// Lists returns how often the cached prompt parts were listed.
func (r *Runner) Lists() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lists
}

// RegistryEntry returns the JSON entry that registers the runner in the store.
func (r *Runner) RegistryEntry(service, zone, state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"slots":8,"state":%q,"cold_left_ms":0,"sequence":1,"born":1}`, service, r.Address(), zone, state)
}

func (r *Runner) handle(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	id := string(h.Peek("Request-Id"))
	ctx.Response.Header.Set("Request-Id", id)
	if string(ctx.Path()) == "/kv-list" {
		r.list(ctx)
		return
	}
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

// list responds with the cached prompt parts.
func (r *Runner) list(ctx *fasthttp.RequestCtx) {
	r.mu.Lock()
	r.lists++
	r.mu.Unlock()
	held := make([]string, 0, len(r.Cached))
	for _, part := range r.Cached {
		id, tokens, _ := strings.Cut(part, ":")
		held = append(held, fmt.Sprintf(`["",%q,%s,"m"]`, id, tokens))
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"epoch":1,"next":1,"held":[` + strings.Join(held, ",") + `]}`)
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
