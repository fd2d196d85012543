// Package clock reads the time that leases are counted by, and calls functions in intervals.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the boot of the host. Unlike the monotonic clock of package time it goes on while
// the host is suspended, so that a lease has ended when a suspended host returns.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel supports the clock since 2.6.39; without it no lease could be trusted.
		panic("CLOCK_BOOTTIME is not supported: " + err.Error())
	}
	return time.Duration(t.Nano())
}
