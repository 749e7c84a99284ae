//go:build !cgo

package boottime

import "golang.org/x/sys/unix"

// read returns the clock in nanoseconds, or a negative number if it can't be read.
func read() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return -1
	}
	return t.Nano()
}
