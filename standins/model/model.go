// Package model is a small stand-in of a model engine: it speaks the chat
// completions protocol, keeps a bounded prefix cache, reports its load with a
// lag, and counts what it ran independently of the router.
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

// Config sets the behaviour of an engine.
type Config struct {
	Name string
	// Address to listen on; "127.0.0.1:0" picks a port.
	Address string
	// TokenInterval is the time between tokens of a stream.
	TokenInterval time.Duration
	// PrefillPerToken is the time for each prompt token that is not cached.
	PrefillPerToken time.Duration
	// CacheChats bounds the prefix cache, in chats.
	CacheChats int
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// WeightStore is the base URL that loads come from; empty means none.
	WeightStore string
	// Meter sums the load of the pool; nil means none.
	Meter *Meter
	// EventIDs numbers the events of a stream and allows to resume it with the
	// header Last-Event-ID.
	EventIDs bool
	// KeepAlive is the time between comments of a quiet stream; 0 means none.
	KeepAlive time.Duration
}

// Fault is a fault of the next answer.
type Fault string

// Faults.
const (
	FaultNone      Fault = ""
	FaultTruncate  Fault = "truncate" // close the stream after two tokens
	FaultWrongID   Fault = "cross"    // answer with the id of another request
	FaultStall     Fault = "silent"   // stop sending and keep the connection
	FaultError     Fault = "error"    // status 500
	FaultShortBody Fault = "short"    // fewer bytes than declared
)

// Counts are independent counters of an engine.
type Counts struct {
	Started, Completed, Running, MaxRunning int64
	PromptTokens, CachedTokens              int64
	// LastStart is when the newest request began.
	LastStart time.Time
}

// Engine is a running stand-in.
type Engine struct {
	cfg         Config
	ln          *blackholeListener
	srv         *fasthttp.Server
	incarnation int64

	started, completed, running, maxRunning, promptTokens, cachedTokens atomic.Int64

	mu            sync.Mutex
	cache         map[string]int // chat prefix to cached tokens
	evictionOrder []string       // insertion order for eviction
	fault         Fault
	lastStart     time.Time
	requests      map[string]bool // request ids that can be resumed
	resumed       atomic.Int64
	closed        chan struct{}

	orders orderState
}

// Start starts an engine.
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

// Address is the engine's host:port.
func (e *Engine) Address() string { return e.ln.Addr().String() }

// Close stops the engine.
func (e *Engine) Close() {
	close(e.closed)
	_ = e.srv.Shutdown()
}

// SetFault sets the fault of the next answer.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Counts returns the counters.
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

// CompletionWords is the text that an engine gives for a prompt; callers use it to check
// that an answer is whole and their own.
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

// completion is the JSON answer. Structs instead of maps, because the garbage of
// the stand-in's answers disturbs a router that is measured in the same process.
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

// writeTruncatedBody declares the whole body and sends half of it.
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

// lookupPrefix returns the prompt tokens that are not cached, and caches the prompt.
func (e *Engine) lookupPrefix(req *chatRequest) int {
	total := 0
	for _, m := range req.Messages {
		total += len(m.Content)/4 + 1
	}
	chat := req.Messages[0].Content
	e.mu.Lock()
	defer e.mu.Unlock()
	cached, warm := e.cache[chat]
	cached = min(cached, total)
	if !warm {
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

// ClearCache forgets all prefixes without a restart.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.cache)
	e.evictionOrder = nil
}

// resumeFrom returns how many events the caller has; ok is false when it asks
// for a stream that the engine does not know.
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

// ResumedStreams is how many streams were resumed.
func (e *Engine) ResumedStreams() int64 { return e.resumed.Load() }

// BlackholeConnections makes all open connections silent for good: nothing is
// sent or read on them any more, and they stay open. New ones work.
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

// waitNextToken waits for the next token and sends keep-alive comments meanwhile. It
// returns false when the caller is gone.
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
