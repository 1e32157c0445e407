//go:build !linux

package clock

import "time"

// Boot returns 0: the time including suspensions is only read on Linux.
func Boot() time.Duration { return 0 }
