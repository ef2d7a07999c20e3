// Package model implements a test server for a model engine. It serves the chat
// completions protocol, keeps a bounded prefix cache, reports its load, and
// counts requests independently of the router.
package model

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Config configures an engine.
type Config struct {
	Name string
	// Address to listen on; "127.0.0.1:0" picks a port.
	Address string
	// TokenInterval is the time between tokens of a stream.
	TokenInterval time.Duration
	// PrefillPerToken is the processing time of each uncached prompt token.
	PrefillPerToken time.Duration
	// CacheChats is the capacity of the prefix cache in chats; 0 means unbounded.
	CacheChats int
	// ChecksFencing rejects orders whose fencing number is below the highest seen.
	ChecksFencing bool
	// WeightStore is the base URL that items are loaded from; empty means that
	// items load without a request.
	WeightStore string
	// Meter measures the load of the pool; optional.
	Meter *Meter
	// EventIDs numbers the events of a stream, so that a client can resume it with
	// the Last-Event-ID header.
	EventIDs bool
	// KeepAlive is the interval of keep-alive comments between tokens; 0 disables
	// them.
	KeepAlive time.Duration
}

// Fault is a fault injected into the next response.
type Fault string

// Faults that SetFault accepts.
const (
	FaultNone      Fault = ""
	FaultTruncate  Fault = "truncate" // end the stream after two tokens without [DONE]
	FaultWrongID   Fault = "cross"    // respond with the ID of another request
	FaultStall     Fault = "silent"   // stop sending after two tokens and keep the connection open
	FaultError     Fault = "error"    // respond with status 500
	FaultShortBody Fault = "short"    // send fewer bytes than Content-Length
)

// Counts holds the request and token counters of an engine.
type Counts struct {
	Started, Completed, Running, MaxRunning int64
	PromptTokens, CachedTokens              int64
	// LastStart is the start time of the latest request.
	LastStart time.Time
}

// Engine is a running model engine.
type Engine struct {
	cfg         Config
	ln          *blackholeListener
	srv         *fasthttp.Server
	incarnation int64

	started, completed, running, maxRunning, promptTokens, cachedTokens atomic.Int64

	mu            sync.Mutex
	cache         map[string]int // cached tokens by first message of the chat
	evictionOrder []string       // cache keys in insertion order
	fault         Fault
	lastStart     time.Time
	requests      map[string]bool // IDs of requests that can be resumed
	resumed       atomic.Int64
	closed        chan struct{}

	orders orderState
}

// Start listens on cfg.Address and serves requests.
func Start(cfg Config) (*Engine, error) {
	tcp, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	if cfg.Meter != nil {
		cfg.Meter.register(cfg.Name)
	}
	ln := &blackholeListener{Listener: tcp}
	e := &Engine{
		cfg: cfg, ln: ln, incarnation: time.Now().UnixMilli(),
		cache: map[string]int{}, requests: map[string]bool{}, closed: make(chan struct{}),
	}
	e.srv = &fasthttp.Server{Handler: e.handle, MaxRequestBodySize: 16 << 20, NoDefaultServerHeader: true}
	go func() { _ = e.srv.Serve(ln) }()
	return e, nil
}

// Address returns the host:port that the engine listens on.
func (e *Engine) Address() string { return e.ln.Addr().String() }

// Close shuts the server down and ends stalled streams.
func (e *Engine) Close() {
	close(e.closed)
	_ = e.srv.Shutdown()
}

// SetFault injects a fault into the next response.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Counts returns a snapshot of the counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	last := e.lastStart
	e.mu.Unlock()
	return Counts{
		e.started.Load(), e.completed.Load(), e.running.Load(), e.maxRunning.Load(),
		e.promptTokens.Load(), e.cachedTokens.Load(), last,
	}
}

type chatRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// CompletionWords returns the words that an engine generates for a prompt. Callers
// use it to check that a response is complete and belongs to their request.
func CompletionWords(lastMessage string, tokens int) []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(lastMessage))
	prefix := fmt.Sprintf("w%08x-", h.Sum32())
	words := make([]string, tokens)
	for i := range words {
		words[i] = prefix + strconv.Itoa(i) + " "
	}
	return words
}

// completion is the JSON response. It is a struct rather than a map to reduce
// allocations: garbage collection of responses distorts measurements of a router
// that runs in the same process.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int     `json:"index"`
	FinishReason string  `json:"finish_reason"`
	Message      message `json:"message"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetStatusCode(200)
	case "/load":
		e.handleLoad(ctx)
	case "/orders":
		e.handleOrders(ctx)
	case "/v1/chat/completions":
		e.handleChat(ctx)
	default:
		ctx.SetStatusCode(404)
	}
}

func (e *Engine) handleLoad(ctx *fasthttp.RequestCtx) {
	items, role := e.LoadedItems()
	body, _ := json.Marshal(map[string]any{
		"items": items, "role": role,
		"engine": e.cfg.Name, "incarnation": e.incarnation, "running": e.running.Load(),
		"at_ms": time.Now().UnixMilli(),
	})
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (e *Engine) handleChat(ctx *fasthttp.RequestCtx) {
	var req chatRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil || len(req.Messages) == 0 {
		ctx.SetStatusCode(400)
		return
	}
	e.beginRequest()
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	e.mu.Lock()
	fault := e.fault
	e.fault = FaultNone
	e.mu.Unlock()
	if fault == FaultWrongID {
		id = "other-request"
	}
	if fault == FaultError {
		e.running.Add(-1)
		ctx.SetStatusCode(500)
		return
	}
	uncached := e.lookupPrefix(&req)
	tokens := req.MaxTokens
	if tokens <= 0 {
		tokens = 16
	}
	if m := e.cfg.Meter; m != nil {
		m.start(e.cfg.Name, uncached+tokens)
	}
	time.Sleep(time.Duration(uncached) * e.cfg.PrefillPerToken)
	ctx.Response.Header.Set("X-Request-Id", id)
	words := CompletionWords(req.Messages[len(req.Messages)-1].Content, tokens)
	if req.Stream {
		ctx.SetContentType("text/event-stream")
		from, ok := e.resumeFrom(ctx, id)
		if !ok {
			e.finishRequest(uncached + tokens)
			ctx.SetStatusCode(404)
			return
		}
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(w, id, words, from, fault, uncached) })
		return
	}
	defer e.finishRequest(uncached + tokens)
	time.Sleep(time.Duration(tokens) * e.cfg.TokenInterval)
	body, _ := json.Marshal(completion{
		ID: id, Object: "chat.completion", Model: req.Model,
		Choices: []choice{{FinishReason: "stop", Message: message{Role: "assistant", Content: strings.Join(words, "")}}},
	})
	ctx.SetContentType("application/json")
	e.completed.Add(1)
	if fault == FaultShortBody {
		writeTruncatedBody(ctx, id, body)
		return
	}
	ctx.SetBody(body)
}

// writeTruncatedBody sends the Content-Length of the whole body, then half of the
// body, and closes the connection.
func writeTruncatedBody(ctx *fasthttp.RequestCtx, id string, body []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", id, len(body))
		_, _ = c.Write(body[:len(body)/2])
		_ = c.Close()
	})
}

func (e *Engine) finishRequest(tokens int) {
	e.running.Add(-1)
	if m := e.cfg.Meter; m != nil {
		m.end(e.cfg.Name, tokens)
	}
}

func (e *Engine) beginRequest() {
	e.started.Add(1)
	n := e.running.Add(1)
	for {
		m := e.maxRunning.Load()
		if n <= m || e.maxRunning.CompareAndSwap(m, n) {
			break
		}
	}
	e.mu.Lock()
	e.lastStart = time.Now()
	e.mu.Unlock()
}

// lookupPrefix returns the number of uncached prompt tokens and caches the prompt.
// A token is estimated as four bytes of content.
func (e *Engine) lookupPrefix(req *chatRequest) int {
	total := 0
	for _, m := range req.Messages {
		total += len(m.Content)/4 + 1
	}
	chat := req.Messages[0].Content
	e.mu.Lock()
	defer e.mu.Unlock()
	cached, found := e.cache[chat]
	cached = min(cached, total)
	if !found {
		e.evictionOrder = append(e.evictionOrder, chat)
		if e.cfg.CacheChats > 0 && len(e.evictionOrder) > e.cfg.CacheChats {
			delete(e.cache, e.evictionOrder[0])
			e.evictionOrder = e.evictionOrder[1:]
		}
	}
	e.cache[chat] = total
	e.promptTokens.Add(int64(total))
	e.cachedTokens.Add(int64(cached))
	return total - cached
}

// ClearCache empties the prefix cache without a restart.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.cache)
	e.evictionOrder = nil
}

// resumeFrom returns the number of events that the client already received. ok is
// false if the client resumes a stream that the engine does not know.
func (e *Engine) resumeFrom(ctx *fasthttp.RequestCtx, id string) (from int, ok bool) {
	if !e.cfg.EventIDs {
		return 0, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	last := ctx.Request.Header.Peek("Last-Event-ID")
	if len(last) == 0 {
		e.requests[id] = true
		return 0, true
	}
	from, err := strconv.Atoi(string(last))
	e.resumed.Add(1)
	return from, err == nil && e.requests[id]
}

// ResumedStreams returns the number of attempts to resume a stream, including
// those refused.
func (e *Engine) ResumedStreams() int64 { return e.resumed.Load() }

// BlackholeConnections discards all further traffic on the connections accepted so
// far and keeps them open. New connections work.
func (e *Engine) BlackholeConnections() { e.ln.blackholedUpTo.Store(e.ln.accepted.Load()) }

func (e *Engine) stream(w *bufio.Writer, id string, words []string, from int, fault Fault, uncached int) {
	defer e.finishRequest(uncached + len(words))
	for i, word := range words[min(from, len(words)):] {
		if i == 2 && fault == FaultTruncate {
			return
		}
		if i == 2 && fault == FaultStall {
			<-e.closed
			return
		}
		if i > 0 && !e.waitNextToken(w) {
			return
		}
		if e.cfg.EventIDs {
			fmt.Fprintf(w, "id: %d\n", from+i+1)
		}
		fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", id, word)
		if w.Flush() != nil {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	if w.Flush() == nil {
		e.completed.Add(1)
	}
}

// waitNextToken waits for the token interval and sends keep-alive comments
// meanwhile. It returns false if the client has disconnected.
func (e *Engine) waitNextToken(w *bufio.Writer) bool {
	left := e.cfg.TokenInterval
	for e.cfg.KeepAlive > 0 && left > e.cfg.KeepAlive {
		time.Sleep(e.cfg.KeepAlive)
		left -= e.cfg.KeepAlive
		fmt.Fprint(w, ": keep-alive\n\n")
		if w.Flush() != nil {
			return false
		}
	}
	if left > 0 {
		time.Sleep(left)
	}
	return true
}
