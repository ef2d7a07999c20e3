// Package httpapi serves callers over HTTP: chat completions, plain-service
// routes and the address lookup. It owns the caller connections and their
// limits; decisions belong to the ports it is given.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Opener runs a request until its answer begins; *gateway.Gateway implements it.
type Opener interface {
	Open(ctx context.Context, req *gateway.Request) (gateway.Answer, error)
}

// Directory answers address lookups.
type Directory interface {
	// Addresses returns the caller addresses for a chat, best first. It never
	// names a leaving instance.
	Addresses(pool *manifest.Pool, chat fleet.ChatKey) []string
}

// Gate says whether the instance takes new work.
type Gate interface {
	// Check returns nil or an error with outcome not_run.
	Check() error
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
	Gate      Gate
	// Observe is called once at the end of each chat or service request.
	Observe func(Observation)
	Log     *zap.Logger
	// NewID returns a unique request id.
	NewID func() string

	// srv is stored when Serve begins; Shutdown may run on another goroutine.
	srv atomic.Pointer[fasthttp.Server]
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
	srv := &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "cyclamenhitch",
		ReadTimeout:           l.ReadTimeout,
		WriteTimeout:          l.WriteTimeout,
		IdleTimeout:           l.IdleTimeout,
		Concurrency:           l.MaxConnections,
		MaxConnsPerIP:         l.MaxConnectionsPerIP,
		MaxRequestBodySize:    l.MaxBodyBytes,
		ReadBufferSize:        l.MaxHeaderBytes,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		ErrorHandler:          s.handleProtocolError,
	}
	s.srv.Store(srv)
	return srv.Serve(ln)
}

// Shutdown stops accepting and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if srv := s.srv.Load(); srv != nil {
		return srv.ShutdownWithContext(ctx)
	}
	return nil
}

func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	code := result.BadRequest
	if err == fasthttp.ErrBodyTooLarge {
		code = result.BodyTooLarge
	}
	writeError(ctx, result.New(code, "request cannot be read: %v", err))
}

var (
	pathChat    = []byte("/v1/chat/completions")
	pathLookup  = []byte("/v1/lookup")
	pathService = []byte("/svc/")
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	x := s.Config()
	if x == nil {
		writeError(ctx, result.New(result.NotReady, "the instance has no configuration yet").WithRetryAfter(time.Second))
		return
	}
	account := x.AccountByKey(bearer(ctx))
	if account == nil {
		writeError(ctx, result.New(result.Unauthenticated, "the bearer key is missing or unknown"))
		return
	}
	path := ctx.Path()
	switch {
	case bytes.Equal(path, pathChat):
		s.handleChat(ctx, x, account)
	case bytes.Equal(path, pathLookup):
		s.handleLookup(ctx, x, account)
	case bytes.HasPrefix(path, pathService):
		s.handleService(ctx, x, account)
	default:
		writeError(ctx, result.New(result.UnknownRoute, "no such path"))
	}
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
	addrs := s.Directory.Addresses(pool, chatKey(account, args.Peek("chat")))
	if len(addrs) == 0 {
		writeError(ctx, result.New(result.NoServer, "no instance takes new work").WithRetryAfter(time.Second))
		return
	}
	body, err := json.Marshal(lookupAnswer{addrs, x.Manifest.Fleet.KeepSeconds, x.Version})
	if err != nil {
		writeError(ctx, result.As(err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// chatKey separates the chats of different accounts.
func chatKey(account *manifest.Account, chat []byte) fleet.ChatKey {
	return fleet.ChatKey(fleet.Mix(fleet.HashID(string(account.Name)), uint64(fleet.KeyOf(chat))))
}

// run opens the answer of req and passes it on.
func (s *Server) run(ctx *fasthttp.RequestCtx, req *gateway.Request) {
	start := time.Now()
	obs := Observation{Account: req.Account.Name, Pool: req.Pool.Name}
	if err := s.Gate.Check(); err != nil {
		s.finish(ctx, req, obs, start, result.As(err))
		return
	}
	// The request outlives the handler when it streams, so it must not use ctx.
	ans, err := s.Opener.Open(context.Background(), req)
	if err != nil {
		s.finish(ctx, req, obs, start, result.As(err))
		return
	}
	ctx.SetStatusCode(ans.Status())
	for _, f := range ans.Fields() {
		ctx.Response.Header.Set(f.Name, f.Value)
	}
	ctx.Response.Header.Set("X-Request-Id", req.ID)
	if req.Stream {
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStream(&relay{srv: s, req: req, ans: ans, obs: obs, start: start}, -1)
		return
	}
	body, rerr := collect(ans)
	ans.Close()
	if rerr != nil {
		ctx.Response.Reset()
		s.finish(ctx, req, obs, start, result.As(rerr))
		return
	}
	ctx.SetBody(body)
	obs.Parts, obs.FirstPart = 1, time.Since(start)
	s.finish(ctx, req, obs, start, nil)
}

// finish records the end of the request and, for an error, writes the answer.
func (s *Server) finish(ctx *fasthttp.RequestCtx, req *gateway.Request, obs Observation, start time.Time, e *result.Error) {
	if e != nil && ctx != nil {
		writeError(ctx, e)
		ctx.Response.Header.Set("X-Request-Id", req.ID)
	}
	s.record(req, obs, start, e)
}

func (s *Server) record(req *gateway.Request, obs Observation, start time.Time, e *result.Error) {
	obs.Total = time.Since(start)
	obs.Outcome = result.Ran
	if req.Server != nil {
		obs.DataCentre = req.Server.DataCentre
	}
	if e != nil {
		obs.Code, obs.Outcome = e.Code, e.Outcome
		s.Log.Info("request failed", zap.String(logging.FieldRequest, req.ID),
			zap.String(logging.FieldAccount, string(req.Account.Name)), zap.String(logging.FieldPool, string(req.Pool.Name)),
			zap.Int(logging.FieldCode, int(e.Code)), zap.String(logging.FieldOutcome, string(e.Outcome)), zap.Error(e))
	}
	if s.Observe != nil {
		s.Observe(obs)
	}
}

// errorBody is the JSON form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code             result.Code    `json:"code"`
	Name             string         `json:"name"`
	Message          string         `json:"message"`
	Outcome          result.Outcome `json:"outcome"`
	RetryAfterMillis int64          `json:"retry_after_ms,omitempty"`
}

func encodeError(e *result.Error) []byte {
	body, err := json.Marshal(errorBody{errorDetail{
		e.Code, e.Code.Info().Name, e.Message, e.Outcome, e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return []byte(`{"error":{"code":5005,"name":"internal","outcome":"unknown"}}`)
	}
	return body
}

func writeError(ctx *fasthttp.RequestCtx, e *result.Error) {
	ctx.SetStatusCode(e.Code.Info().HTTPStatus)
	ctx.SetContentType("application/json")
	if e.RetryAfter > 0 {
		secs := int((e.RetryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(secs))
	}
	ctx.SetBody(encodeError(e))
}
