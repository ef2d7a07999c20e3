package edge

import (
	"strconv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
)

// crashCheckTimeout limits the connect that tells a crashed server from a lost
// connection. The host of a crashed process refuses within a round trip.
const crashCheckTimeout = 100 * time.Millisecond

// crashWatch recognizes servers that crashed while they worked on a request.
type crashWatch struct {
	meters *meters
	log    *zap.Logger
}

// onUnanswered is called when a request ended with err before the first part of a
// response. It returns once it is known whether the server crashed.
func (w *crashWatch) onUnanswered(req *gateway.Request, srv *manifest.Server, err error) {
	if !isConnectionEnd(err) || !engine.RefusesConnections(srv.Address, crashCheckTimeout) {
		return
	}
	w.meters.serverCrashes.Add(string(srv.Pool), 1)
	w.log.Warn("server crashed before it answered a request", zap.String(logging.FieldRequest, req.ID), zap.String(logging.FieldAccount, accountName(req)),
		zap.String(logging.FieldPool, string(srv.Pool)), zap.String(logging.FieldServer, string(srv.Name)), zap.String(logging.FieldAddress, srv.Address),
		zap.Array("prompt_parts", partIDs(req.Parts)))
}

// isConnectionEnd reports whether err is the end of a connection on which a request was
// sent, as opposed to silence, a refusal or an invalid response.
func isConnectionEnd(err error) bool {
	e := result.As(err)
	return e.Outcome != result.NotRun && (e.Code == result.ConnectionLost || e.Code == result.AnswerTruncated)
}

func accountName(req *gateway.Request) string {
	if req.Account == nil {
		return ""
	}
	return string(req.Account.Name)
}

// maxLoggedParts limits the prompt parts in a log line.
const maxLoggedParts = 16

// partIDs logs the ids of prompt parts in hexadecimal, as callers state them.
type partIDs []placement.Part

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (p partIDs) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, part := range p[:min(len(p), maxLoggedParts)] {
		enc.AppendString(strconv.FormatUint(part.ID, 16))
	}
	return nil
}
