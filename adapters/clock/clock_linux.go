// Package clock reads a clock that neither jumps nor stops while the machine is
// suspended. It holds no state.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"cyclamenhitch/core/freshness"
)

// SinceBoot returns the time since the machine started, suspensions included. Go's
// own monotonic clock does not count them.
func SinceBoot() freshness.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux always has this clock; a process without it must not act on its view.
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
