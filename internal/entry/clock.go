package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseDetector measures the time between calls of elapsed, from which pauses of the process
// are detected. While the machine is suspended, the monotonic clock stands still and the boot
// time clock continues. While only the process is stopped, the monotonic clock continues. The
// wall clock is not used because it may jump.
type pauseDetector struct {
	// monotonic and sinceBoot are the times of both clocks at the last call.
	monotonic time.Time
	sinceBoot time.Duration
}

// elapsed returns the time since the last call, including pauses, and 0 at the first call.
func (p *pauseDetector) elapsed(now time.Time) time.Duration {
	sinceBoot := timeSinceBoot()
	last := *p
	p.monotonic, p.sinceBoot = now, sinceBoot
	if last.monotonic.IsZero() {
		return 0
	}
	return max(now.Sub(last.monotonic), sinceBoot-last.sinceBoot)
}

// timeSinceBoot returns the time since the machine was booted, including suspensions, or 0
// if the clock cannot be read.
func timeSinceBoot() time.Duration {
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		// Linux has had this clock since 2.6.39. Without it, elapsed depends on the
		// monotonic clock alone.
		return 0
	}
	return time.Duration(sinceBoot.Nano())
}
