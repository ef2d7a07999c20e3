// Package logging builds the JSON-lines logger and defines the field names that
// all log lines share. It holds no state.
package logging

import (
	"io"
	"sync/atomic"
	"time"

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
	return zap.New(newCore(w, level)).With(fields...)
}

// Bounds of the lines with one message in a second: the first ones are written, and
// then one in sampleAfter.
const (
	sampleFirst      = 100
	sampleThereafter = 20
)

// NewSampled is New with a bound on the lines that are written each second. dropped,
// unless nil, counts those that are not.
func NewSampled(w io.Writer, level string, dropped *atomic.Int64, fields ...zap.Field) *zap.Logger {
	hook := func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if dropped != nil && d&zapcore.LogDropped > 0 {
			dropped.Add(1)
		}
	}
	core := zapcore.NewSamplerWithOptions(newCore(w, level), time.Second, sampleFirst, sampleThereafter, zapcore.SamplerHook(hook))
	return zap.New(core).With(fields...)
}

func newCore(w io.Writer, level string) zapcore.Core {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "ts"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		lvl = zapcore.InfoLevel
	}
	return zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), lvl)
}
