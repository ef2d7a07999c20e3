package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// adminComponent serves operators and health checks.
type adminComponent struct {
	d   *Daemon
	srv *fasthttp.Server
}

func newAdminComponent(d *Daemon) *adminComponent {
	c := &adminComponent{d: d}
	c.srv = &fasthttp.Server{
		Handler: c.handle, MaxRequestBodySize: manifest.MaxBytes, NoDefaultServerHeader: true,
		ReadTimeout: time.Minute, WriteTimeout: time.Minute,
	}
	return c
}

func (c *adminComponent) serve(ln net.Listener) error { return c.srv.Serve(ln) }

func (c *adminComponent) shutdown(ctx context.Context) { _ = c.srv.ShutdownWithContext(ctx) }

func (c *adminComponent) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/admin/healthz":
		ctx.SetBodyString("ok\n")
		return
	case "/admin/readyz":
		c.handleReady(ctx)
		return
	}
	operator := c.d.operators.Name(bearerKey(string(ctx.Request.Header.Peek("Authorization"))))
	if operator == "" {
		c.d.log.Warn("operator refused", zap.String(logging.FieldAddress, ctx.RemoteAddr().String()), zap.ByteString(logging.FieldAction, ctx.Path()))
		writeAdminError(ctx, result.New(result.OperatorForbidden, "the operator key is missing or unknown"))
		return
	}
	switch string(ctx.Path()) {
	case "/admin/metrics":
		expvarhandler.ExpvarHandler(ctx)
	case "/admin/status":
		writeAdminJSON(ctx, c.status())
	case "/admin/explain":
		c.handleExplain(ctx)
	case "/admin/manifest":
		c.handleManifest(ctx)
	case "/admin/apply":
		c.handleApply(ctx, operator)
	case "/admin/offer":
		c.handleOffer(ctx, operator)
	case "/admin/slo":
		c.d.slo.handleSLO(ctx)
	case "/admin/slo/summaries":
		c.d.slo.handleSummaries(ctx)
	case "/admin/slo/summary":
		c.d.slo.handleSummary(ctx)
	default:
		writeAdminError(ctx, result.New(result.UnknownRoute, "no such path"))
	}
}

// Status is the answer of /admin/status.
type Status struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"`
	Ready      bool   `json:"ready"`
	// Reasons says why the instance is not ready; it is empty otherwise.
	Reasons []string `json:"reasons"`
	// ConfirmedAgeSeconds is the age of the last confirmation of the version by
	// the table service; -1 means never.
	ConfirmedAgeSeconds float64 `json:"confirmed_age_seconds"`
}

func (c *adminComponent) status() Status {
	s := Status{Instance: string(c.d.set.Instance), DataCentre: string(c.d.set.DataCentre), Reasons: []string{}}
	s.Version = c.d.config.version()
	s.ConfirmedAgeSeconds = -1
	if age := c.d.config.confirmedAge(); age >= 0 {
		s.ConfirmedAgeSeconds = age.Seconds()
	}
	if err := c.d.config.Check(); err != nil {
		e := result.As(err)
		s.Reasons = append(s.Reasons, e.Code.Info().Name+": "+e.Message)
	}
	if c.d.stopper.leaving.Load() {
		s.Reasons = append(s.Reasons, result.Stopping.Info().Name+": a planned stop has begun")
	}
	if c.d.stopper.leaving.Load() {
		s.Reasons = append(s.Reasons, result.Stopping.Info().Name+": the instance is stopping as planned")
	}
	s.Ready = len(s.Reasons) == 0
	return s
}

func (c *adminComponent) handleReady(ctx *fasthttp.RequestCtx) {
	s := c.status()
	if !s.Ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	writeAdminJSON(ctx, s)
}

// handleManifest answers the body of the newest accepted version.
func (c *adminComponent) handleManifest(ctx *fasthttp.RequestCtx) {
	head, err := configstate.ReadHead(context.Background(), c.d.store)
	if err != nil {
		writeAdminError(ctx, result.As(err))
		return
	}
	ctx.Response.Header.Set("X-Config-Version", strconv.FormatUint(head.Version, 10))
	if head.Version == 0 {
		writeAdminError(ctx, result.New(result.ConfigMissing, "no configuration has been accepted yet"))
		return
	}
	body, err := configstate.LoadBody(context.Background(), c.d.store, head)
	if err != nil {
		writeAdminError(ctx, result.As(err))
		return
	}
	ctx.Response.Header.Set("X-Config-Proof", c.d.proof(head))
	ctx.SetContentType("application/toml")
	ctx.SetBody(body)
}

func (c *adminComponent) handleApply(ctx *fasthttp.RequestCtx, operator string) {
	base, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("base")), 10, 64)
	if err != nil {
		writeAdminError(ctx, result.New(result.BadRequest, "parameter base must be a version number"))
		return
	}
	reason := string(ctx.QueryArgs().Peek("reason"))
	head, err := configstate.Accept(context.Background(), c.d.store, c.d.store, base, ctx.PostBody(), operator, newID())
	c.audit(ctx, operator, "apply", reason, base, head.Version, err)
	if err != nil {
		writeAdminError(ctx, result.As(err))
		return
	}
	c.d.config.applyAccepted(head, bytes.Clone(ctx.PostBody()))
	writeAdminJSON(ctx, applyResponse{head, c.d.proof(head)})
}

// maxReasonBytes bounds what an operator's command adds to the audit log.
const maxReasonBytes = 200

// audit logs one operator action, also one that was refused or whose outcome is
// not known. version is 0 unless the action made one.
func (c *adminComponent) audit(ctx *fasthttp.RequestCtx, operator, action, reason string, base, version uint64, err error) {
	metricActions.Add(action, 1)
	code, outcome := result.Code(0), result.Ran
	if err != nil {
		e := result.As(err)
		code, outcome = e.Code, e.Outcome
	}
	c.d.log.Info("operator action",
		zap.String(logging.FieldOperator, operator), zap.String(logging.FieldAction, action),
		zap.String(logging.FieldReason, reason[:min(len(reason), maxReasonBytes)]),
		zap.Uint64("base", base), zap.Uint64(logging.FieldVersion, version),
		zap.Int(logging.FieldCode, int(code)), zap.String(logging.FieldOutcome, string(outcome)),
		zap.String(logging.FieldAddress, ctx.RemoteAddr().String()))
}

func writeAdminJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeAdminError(ctx, result.As(err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func writeAdminError(ctx *fasthttp.RequestCtx, e *result.Error) {
	ctx.SetStatusCode(e.Code.Info().HTTPStatus)
	message := e.Message
	if e.Cause != nil {
		message += ": " + e.Cause.Error()
	}
	writeAdminJSON(ctx, map[string]any{"error": map[string]any{
		"code": e.Code, "name": e.Code.Info().Name, "message": message, "outcome": e.Outcome,
	}})
}
