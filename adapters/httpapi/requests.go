package httpapi

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// bytesPerToken is the customary estimate for prompts; it only scales load.
const bytesPerToken = 4

// maxKeyBytes bounds chat ids and idempotency keys.
const maxKeyBytes = 256

func (s *Server) handleChat(ctx *fasthttp.RequestCtx, x *manifest.Index, account *manifest.Account) {
	if !ctx.IsPost() {
		writeError(ctx, result.New(result.BadRequest, "want POST"))
		return
	}
	req, e := parseChat(ctx.PostBody(), x, account, ctx.Request.Header.Peek("X-Chat-Id"))
	if e == nil {
		e = s.setRequestOptions(ctx, req)
	}
	if e != nil {
		writeError(ctx, e)
		return
	}
	req.Method, req.Path = fasthttp.MethodPost, pathChat
	req.Fields = append(req.Fields, gateway.Field{Name: "Content-Type", Value: "application/json"})
	s.run(ctx, req)
}

// parseChat builds the request of a chat body. The body is not copied.
func parseChat(body []byte, x *manifest.Index, account *manifest.Account, chatID []byte) (*gateway.Request, *result.Error) {
	b, err := scanChat(body)
	if err != nil {
		return nil, result.New(result.BadRequest, "body is not a chat completion request: %v", err)
	}
	pool := x.PoolByModel(b.model)
	if pool == nil {
		return nil, result.New(result.UnknownModel, "no pool serves model %q", b.model)
	}
	if !account.MayUse(pool.Name) {
		return nil, result.New(result.PoolForbidden, "account %s may not use pool %s", account.Name, pool.Name)
	}
	if len(chatID) > maxKeyBytes {
		return nil, result.New(result.BadRequest, "X-Chat-Id is over %d bytes", maxKeyBytes)
	}
	out := max(b.maxTokens, b.maxCompletionTokens)
	if out <= 0 || out > pool.ExpectedOutputTokens {
		out = pool.ExpectedOutputTokens
	}
	if len(chatID) == 0 {
		chatID = b.prefix
	}
	return &gateway.Request{
		Account: account, Pool: pool, Chat: chatKey(account, chatID), Body: body,
		Stream: b.stream, Idempotent: true,
		PromptTokens: len(body) / bytesPerToken, OutputTokens: out,
	}, nil
}

// forwardedFields are the request header fields passed on to plain services.
// Authorization is not among them: a caller's key never reaches a server.
var forwardedFields = []string{
	"Accept", "Accept-Encoding", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Range", "If-Unmodified-Since", "Range",
}

func (s *Server) handleService(ctx *fasthttp.RequestCtx, x *manifest.Index, account *manifest.Account, t target) {
	name, rest, _ := strings.Cut(t.path[len(pathService):], "/")
	route := x.Route(name)
	if route == nil {
		writeError(ctx, result.New(result.UnknownRoute, "no route %q", name))
		return
	}
	pool := x.Pool(route.Pool)
	if !account.MayUse(pool.Name) {
		writeError(ctx, result.New(result.PoolForbidden, "account %s may not use pool %s", account.Name, pool.Name))
		return
	}
	if e := checkServicePath(string(ctx.Method()), rest); e != nil {
		writeError(ctx, e)
		return
	}
	req := &gateway.Request{
		Account: account, Pool: pool, Route: route, Method: string(ctx.Method()), Path: "/" + rest + t.query,
		Body: ctx.PostBody(), IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
		PromptTokens: 1,
	}
	for _, f := range forwardedFields {
		if v := ctx.Request.Header.Peek(f); len(v) > 0 {
			req.Fields = append(req.Fields, gateway.Field{Name: f, Value: string(v)})
		}
	}
	safe := ctx.IsGet() || ctx.IsHead() || ctx.IsOptions()
	req.Idempotent = route.Idempotent || safe
	if e := s.checkIdempotencyKey(req); e != nil {
		writeError(ctx, e)
		return
	}
	if e := s.setRequestOptions(ctx, req); e != nil {
		writeError(ctx, e)
		return
	}
	req.Chat = fleet.ChatKey(fleet.HashID(req.ID))
	s.run(ctx, req)
}

func (s *Server) checkIdempotencyKey(req *gateway.Request) *result.Error {
	if len(req.IdempotencyKey) > maxKeyBytes {
		return result.New(result.BadRequest, "Idempotency-Key is over %d bytes", maxKeyBytes)
	}
	if !req.Idempotent && req.IdempotencyKey == "" {
		return result.New(result.IdempotencyKeyMissing, "route %s needs an Idempotency-Key", req.Route.Name)
	}
	return nil
}

// setRequestOptions sets the id, the priority and the deadline.
func (s *Server) setRequestOptions(ctx *fasthttp.RequestCtx, req *gateway.Request) *result.Error {
	req.ID = s.NewID()
	req.Priority = *req.Account.Priority
	if v := ctx.Request.Header.Peek("X-Priority"); len(v) > 0 {
		p, err := strconv.Atoi(string(v))
		if err != nil || p < 0 || p > 9 {
			return result.New(result.BadRequest, "X-Priority is %q, accepted range: 0 to 9", v)
		}
		req.Priority = min(p, req.Priority)
	}
	timeout := time.Duration(req.Pool.TimeoutSeconds) * time.Second
	if v := ctx.Request.Header.Peek("X-Request-Deadline-Ms"); len(v) > 0 {
		ms, err := strconv.ParseInt(string(v), 10, 32)
		if err != nil || ms < 0 {
			return result.New(result.BadRequest, "X-Request-Deadline-Ms is %q, want milliseconds", v)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	req.Deadline = time.Now().Add(timeout)
	return nil
}
