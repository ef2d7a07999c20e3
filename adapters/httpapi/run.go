package httpapi

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// run sends req to a server and forwards the response to the caller.
func (s *Server) run(ctx *fasthttp.RequestCtx, req *gateway.Request) {
	start := time.Now()
	obs := Observation{Pool: req.Pool.Name}
	if req.Account != nil {
		obs.Account = req.Account.Name
	}
	conn := callerOf(ctx)
	conn.setRequest(req.ID)
	if err := s.Admission.Check(); err != nil {
		e := result.As(err)
		if !req.Idempotent && s.Frontend == nil { // the idempotency key's claim was not looked up
			e = e.WithOutcome(result.Unknown)
		}
		s.finish(ctx, req, obs, start, e)
		return
	}
	// A streamed request outlives the handler, so it must not use ctx.
	work, cancelWith := context.WithCancelCause(context.Background())
	cancel := func() { cancelWith(nil) }
	ignoreAbort := context.AfterFunc(s.baseContext(), func() { cancelWith(context.Cause(s.base)) })
	if conn != nil {
		conn.setOnDisconnect(cancel)
	}
	end := func() {
		if conn != nil {
			conn.setOnDisconnect(nil)
		}
		ignoreAbort()
		cancel()
	}
	ans, err := s.Opener.Open(work, req)
	if err != nil {
		end()
		s.finish(ctx, req, obs, start, result.As(err))
		return
	}
	// A response that is not in memory as a whole is passed on as it arrives.
	stream, length := s.Frontend != nil && !gateway.IsStored(ans), -1
	if stream && !req.Stream {
		s.logUnbuffered(req)
	}
	// An aborted response could only break off, since the API of a Frontend has no error event.
	if stream && !ignoreAbort() {
		ans.Close()
		end()
		s.finish(ctx, req, obs, start, result.As(context.Cause(s.base)))
		return
	}
	obs.Status = ans.Status()
	ctx.SetStatusCode(obs.Status)
	for _, f := range ans.Fields() {
		switch f.Name {
		case "Content-Length": // of a response to HEAD, or of one that is passed on as it arrives
			if n, err := strconv.Atoi(f.Value); err == nil {
				ctx.Response.Header.SetContentLength(n)
				length = n
			}
			continue
		case "Content-Type":
			stream = stream || req.Stream && strings.HasPrefix(f.Value, "text/event-stream")
		}
		ctx.Response.Header.Set(f.Name, f.Value)
	}
	if s.Frontend == nil {
		ctx.Response.Header.Set("X-Request-Id", req.ID)
	}
	// An HTTP/1.0 caller knows no chunks: a stream for it would end with the connection, so that
	// any part would look complete. It gets the response once it is whole.
	if stream && (length >= 0 || ctx.Request.Header.IsHTTP11()) {
		// Otherwise a body that breaks off early would end the connection without a response.
		ctx.Response.ImmediateHeaderFlush = length >= 0
		ctx.SetBodyStream(&relay{srv: s, req: req, ans: ans, obs: obs, start: start, release: end, conn: conn}, length)
		return
	}
	s.writeBuffered(ctx, req, ans, obs, start)
	end()
}

// heldBody is a response body that is in memory until it is written.
type heldBody struct {
	bytes.Reader
	release func()
}

// SupportsBodyWriteTo makes the HTTP server use WriteTo, which saves a copy.
func (b *heldBody) SupportsBodyWriteTo() bool { return true }

// Close implements io.Closer. The HTTP server calls it after the response is written.
func (b *heldBody) Close() error {
	b.release()
	return nil
}

// writeBuffered forwards a response that is not streamed once it is complete.
func (s *Server) writeBuffered(ctx *fasthttp.RequestCtx, req *gateway.Request, ans gateway.Response, obs Observation, start time.Time) {
	body, hold, err := gateway.ReadAll(ans, 0, s.Memory)
	if err != nil {
		ans.Close()
		ctx.Response.Reset()
		if s.draining.Load() {
			ctx.SetConnectionClose()
		}
		s.finish(ctx, req, obs, start, result.As(err))
		return
	}
	held := &heldBody{release: hold.Release}
	if gateway.IsStored(ans) {
		held.release = ans.Close
	} else {
		ans.Close()
	}
	held.Reset(body)
	if len(body) > 0 {
		ctx.SetBodyStream(held, len(body))
	} else {
		held.release()
	}
	obs.Parts, obs.FirstPart = 1, time.Since(start)
	callerOf(ctx).setCompleted()
	s.finish(ctx, req, obs, start, nil)
}

// finish records the end of the request and writes the error response, if any.
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
