//go:build !linux

package clock

import "time"

// Boot returns 0: only Linux is known to tell the time of suspensions.
func Boot() time.Duration { return 0 }
