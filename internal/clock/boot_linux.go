package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the host was booted, with that of suspensions, which the
// runtime's clock does not count; or 0 if the system does not tell.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
