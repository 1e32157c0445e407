package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the host booted, including the time that it was suspended,
// which the monotonic clock of package time doesn't count. It returns 0 if the system call
// fails.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
