package httpapi

import (
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// logRefused logs a call that was refused before it was parsed into a request.
func (s *Server) logRefused(ctx *fasthttp.RequestCtx, e *result.Error) {
	if s.Frontend == nil {
		return
	}
	s.Log.Info("request refused", zap.String(logging.FieldRequest, s.Frontend.RequestID(ctx)),
		zap.Int(logging.FieldCode, int(e.Code)), zap.String(logging.FieldOutcome, string(e.Outcome)), zap.Error(e))
}

// logUnbuffered logs that a response is passed on before it is complete because memory is
// short. If it breaks off, the caller gets a truncated body instead of an error response.
func (s *Server) logUnbuffered(req *gateway.Request) {
	fields := []zap.Field{zap.String(logging.FieldRequest, req.ID), zap.String(logging.FieldPool, string(req.Pool.Name))}
	if req.Server != nil {
		fields = append(fields, zap.String(logging.FieldServer, string(req.Server.Name)))
	}
	s.Log.Warn("memory is short: response passed on as it arrives", fields...)
}

// logCompletion logs a finished request if it failed, if the server responded with a 5xx
// status or if the first part missed its objective. Of the other requests it logs one in
// LogOneIn.
func (s *Server) logCompletion(req *gateway.Request, obs Observation, e *result.Error) {
	msg := "request served"
	switch {
	case e != nil:
		msg = "request failed"
	case obs.Status >= fasthttp.StatusInternalServerError:
		msg = "server answered an error"
	case req.Objective > 0 && obs.FirstPart > req.Objective:
		msg = "request late"
	case req.LastEventID != "":
		msg = "stream taken up"
	case s.LogOneIn == 0 || s.served.Add(1)%s.LogOneIn != 0:
		return
	}
	fields := []zap.Field{
		zap.String(logging.FieldRequest, req.ID), zap.String(logging.FieldAccount, string(obs.Account)),
		zap.String(logging.FieldPool, string(req.Pool.Name)), zap.Duration("first_part", obs.FirstPart), zap.Duration("total", obs.Total),
		zap.Int("status", obs.Status), zap.Int("parts", obs.Parts), zap.Duration("largest_gap", obs.LargestGap), zap.Duration("objective", req.Objective),
	}
	if req.LastEventID != "" || req.Origin.Begun && len(req.Decisions) > 1 {
		fields = append(fields, zap.String("resumes", req.Resumes), zap.String("last_event", req.LastEventID),
			zap.String("stream_version", req.Origin.Version), zap.Bool("version_known", req.Origin.Known), zap.String("version_source", string(req.Origin.Source)))
	}
	if len(req.Decisions) > 0 {
		fields = append(fields, zap.Array("decisions", decisions(req.Decisions)))
	}
	if e != nil {
		fields = append(fields, zap.Int(logging.FieldCode, int(e.Code)), zap.String(logging.FieldOutcome, string(e.Outcome)), zap.Error(e))
	}
	s.Log.Info(msg, fields...)
}

// decisions logs the routing decisions of a request.
type decisions []gateway.Decision

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (d decisions) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range d {
		if err := enc.AppendObject(decision{&d[i]}); err != nil {
			return err
		}
	}
	return nil
}

type decision struct{ *gateway.Decision }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (d decision) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString(logging.FieldServer, string(d.Server))
	enc.AddDuration("at", d.Elapsed)
	enc.AddDuration("waited", d.Waited)
	enc.AddFloat64("cost", d.Cost)
	enc.AddDuration("expected", d.ExpectedWait)
	enc.AddInt("cached", d.Cached)
	enc.AddInt("fetched", d.Fetched)
	enc.AddInt("candidates", d.Candidates)
	enc.AddUint64(logging.FieldVersion, d.ConfigVersion)
	enc.AddDuration("view_age", d.ConfigAge)
	if d.Stopping {
		enc.AddDuration("stop_left", d.StopLeft)
		enc.AddFloat64("stop_risk", d.StopRisk)
	}
	if d.Through != "" {
		enc.AddString("through", string(d.Through))
	}
	if d.EndReason != "" {
		enc.AddString("ended", d.EndReason)
	}
	return nil
}
