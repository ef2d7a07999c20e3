// Package logging builds the JSON-lines logger and defines the field names that
// all log lines share. It holds no state.
package logging

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Field names used in all log lines.
const (
	FieldInstance   = "instance"
	FieldDataCentre = "data_centre"
	FieldRequest    = "request_id"
	FieldAccount    = "account"
	FieldPool       = "pool"
	FieldServer     = "server"
	FieldVersion    = "version"
	FieldCode       = "code"
	FieldOutcome    = "outcome"
	FieldOperator   = "operator"
	FieldAction     = "action"
	FieldReason     = "reason"
	FieldAddress    = "address"
)

// New returns a logger that writes JSON lines to w at or above level ("debug",
// "info", "warn" or "error"; anything else means info).
func New(w io.Writer, level string, fields ...zap.Field) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "ts"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		lvl = zapcore.InfoLevel
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), lvl)
	return zap.New(core).With(fields...)
}
