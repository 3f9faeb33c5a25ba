// Package bootclock reads a clock for permissions that end after a time. Unlike the time of day it is never
// set, and unlike Go's monotonic clock it goes on while the machine is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("bootclock: " + err.Error()) // the kernel has had this clock since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
