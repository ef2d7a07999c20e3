// Package httpapi serves callers over HTTP: chat completions, routes of plain services
// and the address lookup. It manages the caller connections and their limits; admission
// and routing are left to the interfaces it is given.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Opener runs a request until its response begins. *gateway.Gateway implements it.
type Opener interface {
	Open(ctx context.Context, req *gateway.Request) (gateway.Response, error)
}

// Directory answers address lookups.
type Directory interface {
	// Addresses returns the caller addresses for a chat, best first. It never returns an
	// instance that is leaving.
	Addresses(pool *manifest.Pool, chat fleet.ChatKey) []string
}

// Admission decides whether the instance accepts new requests.
type Admission interface {
	// Check returns nil, or an error with outcome not_run.
	Check() error
}

// Frontend translates between another caller-facing API than the built-in one and the
// requests, errors and header names of the fleet.
type Frontend interface {
	// Parse returns the request of a call, including its id, route and deadline.
	Parse(ctx *fasthttp.RequestCtx) (*gateway.Request, *result.Error)
	// Account returns the account whose request a header begins, or the error of a request
	// whose body need not be read. Requests without an account have one name in common.
	Account(h *fasthttp.RequestHeader) (string, *result.Error)
	// RequestID returns the request id that the caller sent, for log lines.
	RequestID(ctx *fasthttp.RequestCtx) string
	// WriteError writes an error response. Its status must let the caller recognise an
	// error with outcome not_run.
	WriteError(ctx *fasthttp.RequestCtx, e *result.Error)
}

// Limits limits the resources that callers can use.
type Limits struct {
	MaxBodyBytes, MaxHeaderBytes, MaxConnections, MaxConnectionsPerIP int
	ReadTimeout, WriteTimeout, IdleTimeout                            time.Duration
	// Descriptors is taken by each connection; nil means no limit besides MaxConnections,
	// which is not limited if 0. The connection that has been idle for longest is closed
	// for a new one.
	Descriptors *budget.Share
	// Bodies is taken by the bodies of requests; nil means no limit. A body for which there
	// is no room waits unread for up to BodyWait and is refused then.
	Bodies   *budget.Bodies
	BodyWait time.Duration
	// Reading is taken by requests that are being read and take nothing from Bodies; nil
	// means no limit.
	Reading *budget.Reading
	// Unread is taken by what callers may send while their request runs; nil means no limit.
	Unread *budget.Bytes
	// BodyPace is the progress that a body which takes from Bodies must make.
	BodyPace budget.Pace
	// Relieve, unless nil, closes an idle connection to a server if no caller's is idle, and
	// reports whether it did.
	Relieve func() bool
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
	// Frontend, unless nil, replaces the built-in API.
	Frontend Frontend
	// LogOneIn is the sampling interval for logging successful requests: one in this many
	// is logged; 0 logs none. Requests that fail or are late are always logged.
	LogOneIn uint64
	// Memory is taken by responses that are read whole here; nil means no limit.
	Memory *budget.Bytes
	// NewID returns a unique request id.
	NewID func() string

	// srv is set when Serve begins; Shutdown may run on another goroutine.
	srv   atomic.Pointer[fasthttp.Server]
	conns atomic.Pointer[callerListener]
	// unanswered and responding count the calls in these phases.
	unanswered, responding atomic.Int64
	served                 atomic.Uint64
	baseOnce               sync.Once
	base                   context.Context
	abort                  context.CancelCauseFunc
	// roomLogged is when a body was last logged as refused, in ns since 1970.
	roomLogged atomic.Int64

	draining atomic.Bool
	stopping atomic.Bool
}

// Observation holds the result and timing of a finished request.
type Observation struct {
	Account fleet.ClientAccountID
	Pool    fleet.PoolID
	// DataCentre is the data centre of the last server; empty if none was chosen.
	DataCentre fleet.DataCentreID
	// Code is 0 for a complete response.
	Code    result.Code
	Outcome result.Outcome
	// Status is the HTTP status of the server's response; 0 without one.
	Status int
	// FirstPart is the time to the first part of the response; 0 without one.
	FirstPart time.Duration
	// Total is the time to the end of the response.
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
	conns, err := newCallerListener(s, ln, l)
	if err != nil {
		return err
	}
	defer conns.stop()
	s.conns.Store(conns)
	s.srv.Store(srv)
	return srv.Serve(conns)
}

func (s *Server) newHTTP(l Limits) *fasthttp.Server {
	concurrency := 0 // the library's default
	if l.MaxConnections > 0 {
		concurrency = l.MaxConnections + 1 // the listener refuses earlier, with an error code
	}
	return &fasthttp.Server{
		Handler:            s.handle,
		Name:               "cyclamenhitch",
		ReadTimeout:        l.ReadTimeout,
		IdleTimeout:        l.IdleTimeout,
		Concurrency:        concurrency,
		HeaderReceived:     s.onHeader,
		MaxRequestBodySize: l.MaxBodyBytes,
		ReadBufferSize:     l.MaxHeaderBytes,
		// Returns the read buffer of max_header_bytes to a pool while a request
		// runs; otherwise open streams would hold it.
		ReduceMemoryUsage:     true,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		// Forwards a multipart body unchanged instead of parsing and re-encoding it.
		DisablePreParseMultipartForm: true,
		// The library's error messages quote header bytes, which may include keys.
		SecureErrorLogMessage: true,
		Logger:                debugLogger{s.Log},
		ErrorHandler:          s.handleProtocolError,
		ConnState:             s.trackConnection,
	}
}

// CloseOldestIdle closes the caller connection that has been idle for longest. It reports
// false if none is idle.
func (s *Server) CloseOldestIdle() bool {
	conns := s.conns.Load()
	return conns != nil && conns.CloseOldestIdle()
}

// debugLogger logs the library's messages at level debug.
type debugLogger struct{ log *zap.Logger }

func (l debugLogger) Printf(format string, args ...any) {
	l.log.Debug("caller connection", zap.String("detail", fmt.Sprintf(format, args...)))
}

// handleProtocolError responds to a request that cannot be read. The library's error
// message is not included, because it may quote the header.
func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	c := callerOf(ctx)
	gaveWay := c != nil && c.request.Load().IsEnded()
	c.beginCall()
	defer c.beginResponse()
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	e := result.New(result.BadRequest, "request is not valid HTTP")
	switch {
	case c != nil && c.room.refusal != nil:
		e = c.room.refusal
	case gaveWay:
		// Not the caller's fault: it may send the request again.
		e = result.New(result.ConnectionLimit, "too many requests are being read").WithRetryAfter(time.Second)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		e = result.New(result.BodyTooLarge, "request body is over the size limit")
	case errors.As(err, &small):
		e = result.New(result.HeaderTooLarge, "request header is over the size limit")
	case errors.As(err, &ne) && ne.Timeout():
		e = result.New(result.BadRequest, "request was not received within the read timeout")
	}
	s.writeError(ctx, e)
	ctx.SetConnectionClose()
}

// writeError writes an error response in the format of the API in use.
func (s *Server) writeError(ctx *fasthttp.RequestCtx, e *result.Error) {
	if s.Frontend != nil {
		s.Frontend.WriteError(ctx, e)
		return
	}
	writeError(ctx, e)
}

// handleFrontend serves a call that the Frontend parses.
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
	if c, ok := ctx.Conn().(*callerConn); ok {
		req.Deadline = req.Deadline.Add(-c.room.waited - c.delayed)
		req.ReleaseBody = func() {
			ctx.Request.ResetBody()
			c.releaseRoom()
		}
	}
	s.run(ctx, req)
}

const (
	pathChat    = "/v1/chat/completions"
	pathLookup  = "/v1/lookup"
	pathService = "/svc/"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	callerOf(ctx).beginCall()
	defer callerOf(ctx).beginResponse()
	defer func() {
		if p := recover(); p != nil {
			s.Log.Error("request handler panicked", zap.Any("panic", p), zap.Stack("stack"))
			ctx.Response.Reset()
			s.writeError(ctx, result.New(result.Internal, "internal error"))
			ctx.SetConnectionClose()
		}
	}()
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	keepFromPool(&ctx.Request)
	if c := callerOf(ctx); c != nil && c.room.body != nil {
		ctx.Request.SetBodyRaw(c.room.body)
	}
	if c, ok := ctx.Conn().(*callerConn); ok && c.evicted {
		s.writeError(ctx, result.New(result.ConnectionLimit, "the connection was closed for being idle").WithRetryAfter(time.Second))
		ctx.SetConnectionClose()
		return
	}
	if c := callerOf(ctx); c != nil && c.unread.overfull {
		c.room.refused.Store(true) // what the caller still sends is discarded
		s.writeError(ctx, result.New(result.ConnectionLimit, "no memory for what follows the request").WithRetryAfter(time.Second))
		ctx.SetConnectionClose()
		return
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

// refusalBeforeRouting returns the error for a call that is refused before its route is
// known. With an idempotency key the outcome is unknown, because an earlier call with the
// same key may have run and the key's claim was not looked up.
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

// lookupAnswer is the JSON body of a lookup response.
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
		writeError(ctx, result.New(result.NoServer, "no instance accepts new requests").WithRetryAfter(time.Second))
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

// chatKey returns a chat key that is distinct for each account.
func chatKey(account *manifest.Account, chat []byte) fleet.ChatKey {
	return fleet.ChatKey(fleet.Mix(fleet.HashID(string(account.Name)), uint64(fleet.HashChatKey(chat))))
}
