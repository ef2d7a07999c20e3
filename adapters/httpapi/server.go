// Package httpapi serves callers over HTTP: chat completions, plain-service
// routes and the address lookup. It owns the caller connections and their
// limits; decisions belong to the ports it is given.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Opener runs a request until its answer begins; *gateway.Gateway implements it.
type Opener interface {
	Open(ctx context.Context, req *gateway.Request) (gateway.Response, error)
}

// Directory answers address lookups.
type Directory interface {
	// Addresses returns the caller addresses for a chat, best first. It never
	// names a leaving instance.
	Addresses(pool *manifest.Pool, chat fleet.ChatKey) []string
}

// Admission says whether the instance takes new work.
type Admission interface {
	// Check returns nil or an error with outcome not_run.
	Check() error
}

// Frontend maps between callers that speak another form than the product's own and
// the requests, errors and header names of the fleet.
type Frontend interface {
	// Parse returns the request of a call, with its id, route and deadline.
	Parse(ctx *fasthttp.RequestCtx) (*gateway.Request, *result.Error)
	// RequestID is the id that a call states, for log lines.
	RequestID(ctx *fasthttp.RequestCtx) string
	// WriteError answers a call. The status of an error with outcome not_run must
	// tell so.
	WriteError(ctx *fasthttp.RequestCtx, e *result.Error)
}

// Limits bounds what callers can make the instance hold.
type Limits struct {
	MaxBodyBytes, MaxHeaderBytes, MaxConnections, MaxConnectionsPerIP int
	ReadTimeout, WriteTimeout, IdleTimeout                            time.Duration
}

// Server serves callers.
type Server struct {
	// Config returns the configuration in force, or nil.
	Config    func() *manifest.Index
	Opener    Opener
	Directory Directory
	Admission Admission
	// Observe is called once at the end of each chat or service request.
	Observe func(Observation)
	Log     *zap.Logger
	// Frontend, unless nil, takes the place of the product's own paths.
	Frontend Frontend
	// LogOneIn logs one in this many requests that ended well; 0 means none.
	// Requests that fail or are late are logged always.
	LogOneIn uint64
	// NewID returns a unique request id.
	NewID func() string

	// srv is stored when Serve begins; Shutdown may run on another goroutine.
	srv      atomic.Pointer[fasthttp.Server]
	running  atomic.Int64
	served   atomic.Uint64
	baseOnce sync.Once
	base     context.Context
	abort    context.CancelCauseFunc
	draining atomic.Bool
	stopping atomic.Bool
}

// Observation is what a finished request showed.
type Observation struct {
	Account fleet.ClientAccountID
	Pool    fleet.PoolID
	// DataCentre is that of the last server; empty when none was chosen.
	DataCentre fleet.DataCentreID
	// Code is 0 for a complete answer.
	Code    result.Code
	Outcome result.Outcome
	// Status is that of the server's answer; 0 without one.
	Status int
	// FirstPart is the time to the first part of the answer; 0 without one.
	FirstPart time.Duration
	// Total is the time to the end.
	Total time.Duration
	// LargestGap is the longest time between two parts of a stream.
	LargestGap time.Duration
	// MeanGap is the mean time between two parts of a stream.
	MeanGap time.Duration
	Parts   int
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener, l Limits) error {
	srv := s.newHTTP(l)
	conns, err := newCallerListener(ln, l)
	if err != nil {
		return err
	}
	defer conns.stop()
	s.srv.Store(srv)
	return srv.Serve(conns)
}

func (s *Server) newHTTP(l Limits) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            s.handle,
		Name:               "cyclamenhitch",
		ReadTimeout:        l.ReadTimeout,
		IdleTimeout:        l.IdleTimeout,
		Concurrency:        l.MaxConnections + 1, // the listener refuses first, with a code
		MaxRequestBodySize: l.MaxBodyBytes,
		ReadBufferSize:     l.MaxHeaderBytes,
		// Returns the read buffer of max_header_bytes to a pool while a
		// request runs; open streams would keep it otherwise.
		ReduceMemoryUsage:     true,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		// A multipart body is passed on as it is, not parsed and rebuilt.
		DisablePreParseMultipartForm: true,
		// Errors of the library quote header bytes, among them keys.
		SecureErrorLogMessage: true,
		Logger:                debugLogger{s.Log},
		ErrorHandler:          s.handleProtocolError,
	}
}

// debugLogger passes the library's log lines on at level debug.
type debugLogger struct{ log *zap.Logger }

func (l debugLogger) Printf(format string, args ...any) {
	l.log.Debug("caller connection", zap.String("detail", fmt.Sprintf(format, args...)))
}

// Drain closes each connection after its running request, so that callers look
// up an address again. New requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Refuse answers new requests with code 2006.
func (s *Server) Refuse() { s.stopping.Store(true) }

// Abort ends the running requests with code 2006; streams end with its event.
func (s *Server) Abort() {
	s.baseContext()
	s.abort(result.New(result.Stopping, "the instance stops and the request did not end in time").WithOutcome(result.Unknown))
}

// baseContext is the parent of all requests' contexts.
func (s *Server) baseContext() context.Context {
	s.baseOnce.Do(func() { s.base, s.abort = context.WithCancelCause(context.Background()) })
	return s.base
}

// Running is the number of requests that have not ended, streams included.
func (s *Server) Running() int { return int(s.running.Load()) }

// Shutdown stops accepting and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if srv := s.srv.Load(); srv != nil {
		return srv.ShutdownWithContext(ctx)
	}
	return nil
}

// handleProtocolError answers a request that cannot be read. The library's
// message is not passed on, because it may quote the header.
func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	e := result.New(result.BadRequest, "the request is not valid HTTP")
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		e = result.New(result.BodyTooLarge, "the request body is over the limit")
	case errors.As(err, &small):
		e = result.New(result.HeaderTooLarge, "the request header is over the limit")
	case errors.As(err, &ne) && ne.Timeout():
		e = result.New(result.BadRequest, "the request did not arrive in time")
	}
	s.writeError(ctx, e)
	ctx.SetConnectionClose()
}

// writeError answers a call in the form that its caller speaks.
func (s *Server) writeError(ctx *fasthttp.RequestCtx, e *result.Error) {
	if s.Frontend != nil {
		s.Frontend.WriteError(ctx, e)
		return
	}
	writeError(ctx, e)
}

// handleFrontend serves a call in the form of the Frontend.
func (s *Server) handleFrontend(ctx *fasthttp.RequestCtx) {
	if e := checkFraming(&ctx.Request.Header); e != nil {
		s.logRefused(ctx, e)
		s.writeError(ctx, e)
		ctx.SetConnectionClose()
		return
	}
	req, e := s.Frontend.Parse(ctx)
	if e != nil {
		s.logRefused(ctx, e)
		s.writeError(ctx, e)
		return
	}
	s.run(ctx, req)
}

const (
	pathChat    = "/v1/chat/completions"
	pathLookup  = "/v1/lookup"
	pathService = "/svc/"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if p := recover(); p != nil {
			s.Log.Error("request handler panicked", zap.Any("panic", p), zap.Stack("stack"))
			ctx.Response.Reset()
			s.writeError(ctx, result.New(result.Internal, "an unexpected error inside the instance"))
			ctx.SetConnectionClose()
		}
	}()
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	if s.stopping.Load() {
		e := result.New(result.Stopping, "the instance is stopping")
		s.logRefused(ctx, e)
		s.writeError(ctx, refusalBeforeRouting(ctx, e))
		return
	}
	if s.Frontend != nil {
		s.handleFrontend(ctx)
		return
	}
	x := s.Config()
	if x == nil {
		writeError(ctx, refusalBeforeRouting(ctx, result.New(result.NotReady, "the instance has no configuration yet").WithRetryAfter(time.Second)))
		return
	}
	account := x.AccountByKey(bearer(ctx))
	if account == nil {
		writeError(ctx, result.New(result.Unauthenticated, "the bearer key is missing or unknown"))
		return
	}
	t, e := parseTarget(ctx.Request.Header.RequestURI())
	if e != nil {
		writeError(ctx, e)
		return
	}
	switch {
	case t.path == pathChat:
		s.handleChat(ctx, x, account)
	case t.path == pathLookup:
		s.handleLookup(ctx, x, account)
	case strings.HasPrefix(t.path, pathService):
		s.handleService(ctx, x, account, t)
	default:
		writeError(ctx, result.New(result.UnknownRoute, "no such path"))
	}
}

// refusalBeforeRouting makes a refusal before the route is known true for an idempotency
// key: nobody has looked up whether an earlier call with it ran.
func refusalBeforeRouting(ctx *fasthttp.RequestCtx, e *result.Error) *result.Error {
	safe := ctx.IsGet() || ctx.IsHead() || ctx.IsOptions()
	if !safe && len(ctx.Request.Header.Peek("Idempotency-Key")) > 0 && bytes.HasPrefix(ctx.Path(), []byte(pathService)) {
		return e.WithOutcome(result.Unknown)
	}
	return e
}

func bearer(ctx *fasthttp.RequestCtx) []byte {
	key, ok := bytes.CutPrefix(ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
	if !ok {
		return nil
	}
	return key
}

// lookupAnswer is the JSON body of a lookup.
type lookupAnswer struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds int      `json:"keep_seconds"`
	Version     uint64   `json:"version"`
}

func (s *Server) handleLookup(ctx *fasthttp.RequestCtx, x *manifest.Index, account *manifest.Account) {
	args := ctx.QueryArgs()
	pool := x.PoolByModel(string(args.Peek("model")))
	if route := x.Route(string(args.Peek("route"))); route != nil {
		pool = x.Pool(route.Pool)
	}
	if pool == nil {
		writeError(ctx, result.New(result.UnknownModel, "no pool serves model %q", args.Peek("model")))
		return
	}
	if !account.MayUse(pool.Name) {
		writeError(ctx, result.New(result.PoolForbidden, "account %s may not use pool %s", account.Name, pool.Name))
		return
	}
	addrs := s.Directory.Addresses(pool, chatKey(account, args.Peek("chat")))
	if len(addrs) == 0 {
		writeError(ctx, result.New(result.NoServer, "no instance takes new work").WithRetryAfter(time.Second))
		return
	}
	body, err := json.Marshal(lookupAnswer{addrs, x.Manifest.Fleet.LookupTTLSeconds, x.Version})
	if err != nil {
		writeError(ctx, result.As(err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// chatKey separates the chats of different accounts.
func chatKey(account *manifest.Account, chat []byte) fleet.ChatKey {
	return fleet.ChatKey(fleet.Mix(fleet.HashID(string(account.Name)), uint64(fleet.HashChatKey(chat))))
}

// run opens the answer of req and passes it on.
func (s *Server) run(ctx *fasthttp.RequestCtx, req *gateway.Request) {
	start := time.Now()
	obs := Observation{Pool: req.Pool.Name}
	if req.Account != nil {
		obs.Account = req.Account.Name
	}
	s.running.Add(1)
	if err := s.Admission.Check(); err != nil {
		e := result.As(err)
		if !req.Idempotent && s.Frontend == nil { // the state of the key is not looked up
			e = e.WithOutcome(result.Unknown)
		}
		s.finish(ctx, req, obs, start, e)
		return
	}
	// The request outlives the handler when it streams, so it must not use ctx.
	work, cancel := context.WithCancel(s.baseContext())
	conn, _ := ctx.Conn().(*callerConn)
	if conn != nil {
		conn.setOnDisconnect(cancel)
	}
	end := func() {
		if conn != nil {
			conn.setOnDisconnect(nil)
		}
		cancel()
	}
	ans, err := s.Opener.Open(work, req)
	if err != nil {
		end()
		s.finish(ctx, req, obs, start, result.As(err))
		return
	}
	stream := false
	obs.Status = ans.Status()
	ctx.SetStatusCode(obs.Status)
	for _, f := range ans.Fields() {
		switch f.Name {
		case "Content-Length": // of an answer to HEAD
			if n, err := strconv.Atoi(f.Value); err == nil {
				ctx.Response.Header.SetContentLength(n)
			}
			continue
		case "Content-Type":
			stream = req.Stream && strings.HasPrefix(f.Value, "text/event-stream")
		}
		ctx.Response.Header.Set(f.Name, f.Value)
	}
	if s.Frontend == nil {
		ctx.Response.Header.Set("X-Request-Id", req.ID)
	}
	if stream {
		ctx.SetBodyStream(&relay{srv: s, req: req, ans: ans, obs: obs, start: start, release: end}, -1)
		return
	}
	s.writeBuffered(ctx, req, ans, obs, start)
	end()
}

// writeBuffered passes an answer on that is not streamed, once it is complete.
func (s *Server) writeBuffered(ctx *fasthttp.RequestCtx, req *gateway.Request, ans gateway.Response, obs Observation, start time.Time) {
	body, err := gateway.ReadAll(ans, 0)
	ans.Close()
	if err != nil {
		ctx.Response.Reset()
		if s.draining.Load() {
			ctx.SetConnectionClose()
		}
		s.finish(ctx, req, obs, start, result.As(err))
		return
	}
	ctx.Response.SetBodyRaw(body)
	obs.Parts, obs.FirstPart = 1, time.Since(start)
	s.finish(ctx, req, obs, start, nil)
}

// finish records the end of the request and, for an error, writes the answer.
func (s *Server) finish(ctx *fasthttp.RequestCtx, req *gateway.Request, obs Observation, start time.Time, e *result.Error) {
	if e != nil && ctx != nil {
		s.writeError(ctx, e)
		if s.Frontend == nil {
			ctx.Response.Header.Set("X-Request-Id", req.ID)
		}
	}
	s.record(req, obs, start, e)
}

func (s *Server) record(req *gateway.Request, obs Observation, start time.Time, e *result.Error) {
	s.running.Add(-1)
	obs.Total = time.Since(start)
	obs.Outcome = result.Ran
	if req.Server != nil {
		obs.DataCentre = req.Server.DataCentre
	}
	if e != nil {
		obs.Code, obs.Outcome = e.Code, e.Outcome
	}
	s.logCompletion(req, obs, e)
	if s.Observe != nil {
		s.Observe(obs)
	}
}
