package edge

import (
	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/logging"
)

// connectionEnds returns a function that logs and counts how it was decided whether responses
// that ended with their connections are complete. Without its own line, a response that counts
// as complete would leave no trace of the evidence.
func connectionEnds(m *meters, log *zap.Logger) func(engine.ConnectionEnd) {
	return func(c engine.ConnectionEnd) {
		m.connectionEnds.Add(c.Verdict.String()+"/"+string(c.Reason), 1)
		log.Info("response ended with its connection", zap.String(logging.FieldRequest, c.RequestID), zap.String(logging.FieldPool, string(c.Pool)),
			zap.String(logging.FieldServer, string(c.Server)), zap.String(logging.FieldAddress, c.Address),
			zap.Stringer("verdict", c.Verdict), zap.String(logging.FieldReason, string(c.Reason)),
			zap.Int64("start_reported", c.Evidence.StartMillis), zap.Int64("start_known", c.Evidence.EntryMillis), zap.Int64("start_reported_before", c.Evidence.ReportMillis),
			zap.Bool("run_listed", c.Evidence.RunListed), zap.Bool("leaving", c.Evidence.Leaving),
			zap.Int("events", c.Evidence.Events), zap.Int("events_made", c.Evidence.EventsMade), zap.Duration("waited", c.Waited))
	}
}
