//go:build cgo

package boottime

/*
#cgo noescape boottime_ns
#cgo nocallback boottime_ns
#include <time.h>

static long long boottime_ns(void) {
	struct timespec t;
	if (clock_gettime(CLOCK_BOOTTIME, &t) != 0) {
		return -1;
	}
	return (long long)t.tv_sec * 1000000000LL + t.tv_nsec;
}
*/
import "C"

// read returns the clock in nanoseconds, or a negative number if it can't be read. The C library
// reads it without a system call, of which a leader otherwise makes several for each run.
func read() int64 { return int64(C.boottime_ns()) }
