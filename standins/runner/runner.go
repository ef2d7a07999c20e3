// Package runner implements a test backend server of the users' platform. It
// responds to each request with its own ID, in one body or as an event stream, and
// records the requests that it executed.
package runner

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Run records a request that a runner executed.
type Run struct {
	ID, Method, Path, Body, Tenant, LastEventID string
	// Server is the ID of the runner.
	Server string
	// PromptParts is the Prefix-Hash header.
	PromptParts string
	// Leaving is set if the response announced that the runner was leaving.
	Leaving   bool
	StartedAt time.Time
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
	// AnswerBytes is the size of an answer that is no stream; 0 selects a short text.
	AnswerBytes int
	// Version is the version of its software in its entry. Each FailEvery-th request is answered
	// with status 500; 0 means none.
	Version   string
	FailEvery int
	// Spoiled are bytes, one after the other, that are sent instead of each SpoilEvery-th
	// answer, and the connection is closed. "{id}" in them stands for the id of the request,
	// which has run.
	Spoiled    []string
	SpoilEvery int
	// AtCapacity rejects all requests as not executed.
	AtCapacity bool
	// Cached lists the prompt parts that the runner has cached, as "ID:TOKENS" with the ID
	// in hexadecimal.
	Cached []string
	// CrashParts are prompt parts, as hexadecimal IDs, on which the runner crashes when it
	// is about to respond. It listens again after RestartTime.
	CrashParts  []string
	RestartTime time.Duration
	// OnCrash, unless nil, is called when the runner crashes, before its connections end.
	OnCrash func()

	mu           sync.Mutex
	ln           net.Listener
	addr         string
	conns        map[net.Conn]bool
	closed, down bool
	runs         []Run
	crashes      int
	renamed      string
	leaving      bool
	pause        string
	refusals     []Refusal
	disconnects  int
	onRestart    func()
	lists        int
	room         room
}

// Start listens on a free loopback port. The exported fields must not change
// afterwards.
func (r *Runner) Start() error {
	r.conns = map[net.Conn]bool{}
	return r.listen("127.0.0.1:0")
}

func (r *Runner) listen(addr string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.ln, r.addr, r.down = ln, ln.Addr().String(), false
	srv := &fasthttp.Server{Handler: r.handle, ConnState: r.trackConn}
	go func() { _ = srv.Serve(recordingListener{ln}) }() // ends when the listener is closed
	return nil
}

func (r *Runner) trackConn(c net.Conn, state fasthttp.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == fasthttp.StateClosed {
		delete(r.conns, c)
	} else {
		r.conns[c] = true
	}
}

// Address returns the host:port that the runner listens on.
func (r *Runner) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// Close closes the listener; open connections stay open.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.ln.Close()
}

// Crash closes the listener and all connections. The runner listens again after
// RestartTime.
func (r *Runner) Crash() {
	if r.OnCrash != nil {
		r.OnCrash()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down { // several requests may crash it at once
		return
	}
	r.down = true
	r.crashes++
	r.room.restart()
	// A client that sees its connection end finds the port closed.
	_ = r.ln.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	addr := r.addr
	time.AfterFunc(r.RestartTime, func() {
		for r.listen(addr) != nil { // the port may still be in use
			time.Sleep(restartRetryDelay)
		}
		r.mu.Lock()
		onRestart := r.onRestart
		r.mu.Unlock()
		if onRestart != nil {
			onRestart()
		}
	})
}

// restartRetryDelay is the time between two attempts to listen on the old port.
const restartRetryDelay = 5 * time.Millisecond

// SetOnRestart sets a function that is called once the runner listens again after a crash.
func (r *Runner) SetOnRestart(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onRestart = f
}

// Rename makes the process at the runner's address another server.
func (r *Runner) Rename(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renamed = id
}

// id returns the ID of the server at the address.
func (r *Runner) id() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cmp.Or(r.renamed, r.ID)
}

// SetLeaving sets whether responses announce that the runner is leaving.
func (r *Runner) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// SetPause makes the runner refuse all requests with a Retry-After of the given value; ""
// ends that.
func (r *Runner) SetPause(retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = retryAfter
}

// Refusal records a request that was refused because of SetPause.
type Refusal struct {
	// ID is the id of the request, RetryAfter the value sent.
	ID, RetryAfter string
	At             time.Time
}

// Refusals returns the requests refused because of SetPause.
func (r *Runner) Refusals() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Refusal(nil), r.refusals...)
}

// refuses writes what the runner announces and reports whether it refuses the request.
func (r *Runner) refuses(ctx *fasthttp.RequestCtx) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.room.Limit > 0 {
		ctx.Response.Header.Set("Server-Brittle", strconv.Itoa(r.room.Limit))
	}
	if r.leaving {
		ctx.Response.Header.Set("Server-Leaving", "1")
	}
	if r.pause == "" {
		return false
	}
	r.refusals = append(r.refusals, Refusal{string(ctx.Request.Header.Peek("Request-Id")), r.pause, time.Now()})
	ctx.Response.Header.Set("Retry-After", r.pause)
	ctx.Response.Header.Set("Not-Executed", "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	return true
}

// Crashes returns how often the runner crashed.
func (r *Runner) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// crashesOn reports whether a prompt holds a part on which the runner crashes.
func (r *Runner) crashesOn(promptParts string) bool {
	for _, part := range strings.Split(promptParts, ",") {
		id, _, _ := strings.Cut(part, ":")
		if slices.Contains(r.CrashParts, id) {
			return true
		}
	}
	return false
}

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

// RegistryEntry returns the JSON entry that registers the runner in the store. Its start changes
// with each crash.
func (r *Runner) RegistryEntry(service, zone, state string) []byte {
	entry := registryEntry(service, r.Address(), zone, state, entryStart+r.Crashes())
	if r.Version != "" {
		entry = fmt.Appendf(entry[:len(entry)-1], `,"version":%q}`, r.Version)
	}
	return entry
}

func (r *Runner) handle(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	id := string(h.Peek("Request-Id"))
	ctx.Response.Header.Set("Request-Id", id)
	if string(ctx.Path()) == "/kv-list" {
		r.list(ctx)
		return
	}
	if string(ctx.Path()) == "/report" {
		r.report(ctx)
		return
	}
	refused := r.refuses(ctx)
	if want := string(h.Peek("Expect-Instance")); want != "" && want != r.id() {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if refused {
		return
	}
	if r.AtCapacity {
		ctx.Response.Header.Set("Not-Executed", "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	leave := r.takeSlot()
	if leave == nil {
		ctx.Response.Header.Set("Not-Executed", "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer leave()
	r.run(ctx, id)
}

// run executes a request and responds to it.
func (r *Runner) run(ctx *fasthttp.RequestCtx, id string) {
	h := &ctx.Request.Header
	last := string(h.Peek("Last-Event-Id"))
	r.mu.Lock()
	r.runs = append(r.runs, Run{
		ID: id, Method: string(h.Method()), Path: string(h.RequestURI()), Body: string(ctx.PostBody()), Tenant: string(h.Peek("Tenant")),
		LastEventID: last, Server: r.ID, PromptParts: string(h.Peek("Prefix-Hash")), Leaving: r.leaving, StartedAt: time.Now(),
	})
	fails := r.FailEvery > 0 && len(r.runs)%r.FailEvery == 0
	spoiled := ""
	if r.SpoilEvery > 0 && len(r.runs)%r.SpoilEvery == 0 {
		spoiled = r.Spoiled[len(r.runs)/r.SpoilEvery%len(r.Spoiled)]
	}
	r.mu.Unlock()
	time.Sleep(r.ProcessingTime)
	if spoiled != "" {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _, _ = io.WriteString(c, strings.ReplaceAll(spoiled, "{id}", id)) })
		return
	}
	if fails {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	if r.crashesOn(string(h.Peek("Prefix-Hash"))) {
		r.Crash()
		return
	}
	ctx.Response.Header.Set("Response-Seal", r.id()+"."+id)
	if !strings.HasPrefix(string(ctx.Path()), "/stream/") {
		ctx.SetBodyString("answer of " + r.id())
		if r.AnswerBytes > 0 {
			// A stream keeps large answers out of the memory of the test process.
			ctx.SetBodyStream(io.LimitReader(endlessText{}, int64(r.AnswerBytes)), r.AnswerBytes)
		}
		return
	}
	ctx.SetContentType("text/event-stream")
	first, _ := strconv.Atoi(last)
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { r.stream(w, conn, first) })
}

// endlessText reads as the letter a without end.
type endlessText struct{}

func (endlessText) Read(p []byte) (int, error) {
	n := copy(p, "a")
	for ; n > 0 && n < len(p); n *= 2 {
		copy(p[n:], p[:n])
	}
	return len(p), nil
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
			// The server copies the stream to the connection in another goroutine.
			conn.(*recordingConn).waitFor(event(i - 1))
			_ = conn.Close()
			return
		}
		_, _ = w.WriteString(event(i)) // Flush returns the error
		if w.Flush() != nil {
			r.mu.Lock()
			r.disconnects++
			r.mu.Unlock()
			return
		}
		time.Sleep(r.EventInterval)
	}
}

// event returns the event with a number.
func event(number int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", number, number) }
