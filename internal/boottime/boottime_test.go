package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against another clock being read, such as the monotonic one, which stops during a suspend.
func TestNowReadsTheBootTimeClock(t *testing.T) {
	var before, after unix.Timespec
	require.NoError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &before))
	now := Now()
	require.NoError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &after))
	require.GreaterOrEqual(t, int64(now), before.Nano())
	require.LessOrEqual(t, int64(now), after.Nano())
	require.Equal(t, time.Second, now.Add(time.Second).Sub(now))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
