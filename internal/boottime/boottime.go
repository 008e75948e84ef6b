// Package boottime reads a clock that also counts the time during which the machine is suspended, and that no step of the time of
// day moves. What another party counts as well, such as leases and the freshness of a read, goes by it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a moment of the clock, since the machine's start.
type Time time.Duration

// Now returns the clock's time.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Systems without the clock aren't suspended either; the monotonic clock of the process serves there.
		return Time(time.Since(started))
	}
	return Time(ts.Nano())
}

// started is the moment from which the fallback counts.
var started = time.Now()
