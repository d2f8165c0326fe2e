package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseClock finds out that the process has stood still. A suspended machine's steady
// clock does not count the time, but the boot clock does; a stopped process's steady
// clock does. The time of day is not looked at, as it may jump.
type pauseClock struct {
	steady time.Time
	boot   time.Duration
}

// pause returns the time since the last call, frozen time included.
func (p *pauseClock) pause(now time.Time) time.Duration {
	boot := bootTime()
	before := *p
	p.steady, p.boot = now, boot
	if before.steady.IsZero() {
		return 0
	}
	return max(now.Sub(before.steady), boot-before.boot)
}

func bootTime() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Every Linux since 2.6.39 has this clock. Without it only the steady one
		// counts.
		return 0
	}
	return time.Duration(at.Nano())
}
