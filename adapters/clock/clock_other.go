//go:build !linux

package clock

import (
	"time"

	"cyclamenhitch/core/freshness"
)

var start = time.Now()

// SinceBoot returns the time since the process started, where the system has no
// clock that counts suspensions.
func SinceBoot() freshness.Instant { return time.Since(start) }
