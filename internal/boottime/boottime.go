// Package boottime reads a clock that also counts the time during which the
// machine was suspended. The runtime's own monotonic clock doesn't, so that a
// lease based on it would outlive a pause.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock, since an arbitrary start.
type Instant time.Duration

// Now reads the clock.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel that Go supports has this clock.
		panic("read the boot-time clock: " + err.Error())
	}
	return Instant(t.Nano())
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
