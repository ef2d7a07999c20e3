// Package clock reads a monotonic clock that includes the time while the machine is
// suspended. It holds no state.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"cyclamenhitch/core/freshness"
)

// SinceBoot returns the time since the machine booted, including suspended time, which
// Go's monotonic clock does not count.
func SinceBoot() freshness.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux always has this clock. Without it the process cannot tell how old its
		// data is and must not act on it.
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
