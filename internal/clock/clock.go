// Package clock provides the clock that leases are measured by, and periodic calls.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host booted. Unlike the monotonic clock of package time it includes the time
// during which the host is suspended, so that leases also expire during a suspend.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has supported CLOCK_BOOTTIME since 2.6.39. Without it no lease can be trusted.
		panic("CLOCK_BOOTTIME is not supported: " + err.Error())
	}
	return time.Duration(t.Nano())
}
