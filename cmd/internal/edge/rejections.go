package edge

import (
	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/logging"
)

// rejections returns a function that logs and counts rejected responses. The request may be
// served by another server afterwards, so that no other line names the response.
func rejections(m *meters, log *zap.Logger) func(engine.Rejection) {
	return func(r engine.Rejection) {
		m.responsesRejected.Add(r.Reason, 1)
		log.Warn("response rejected", zap.String(logging.FieldRequest, r.RequestID), zap.String(logging.FieldPool, string(r.Pool)),
			zap.String(logging.FieldServer, string(r.Server)), zap.String(logging.FieldAddress, r.Address),
			zap.String(logging.FieldReason, r.Reason), zap.Bool("reused", r.Reused), zap.Error(r.Err))
	}
}
