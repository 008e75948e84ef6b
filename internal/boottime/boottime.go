// Package boottime reads a monotonic clock that includes the time during which the machine is suspended and isn't affected by changes of
// the wall clock. It is meant for times that other parties measure as well, such as leases and the age of a read.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of the clock: the time since the machine's boot.
type Time time.Duration

// Now returns the current time of the clock.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Systems without CLOCK_BOOTTIME are not suspended; use the monotonic clock of the process instead.
		return Time(time.Since(started))
	}
	return Time(ts.Nano())
}

// started is the origin of the fallback clock.
var started = time.Now()
