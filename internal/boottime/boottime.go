// Package boottime reads the boot-time clock, which is monotonic and includes the time
// during which the system was suspended. The monotonic clock of the Go runtime stops
// during a suspend, so a lease measured with it would last longer than its duration.
package boottime

import "time"

// Instant is a reading of the boot-time clock, counted from an arbitrary origin.
type Instant time.Duration

// Now returns the current reading of the boot-time clock.
func Now() Instant {
	now := read()
	if now < 0 {
		// Unreachable: every Linux kernel that Go supports has CLOCK_BOOTTIME.
		panic("read the boot-time clock: not supported")
	}
	return Instant(now)
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i - o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
