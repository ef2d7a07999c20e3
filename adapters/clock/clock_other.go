//go:build !linux

package clock

import (
	"time"

	"cyclamenhitch/core/freshness"
)

var start = time.Now()

// SinceBoot returns the time since the process started. Outside Linux no clock that
// includes suspended time is read.
func SinceBoot() freshness.Instant { return time.Since(start) }
