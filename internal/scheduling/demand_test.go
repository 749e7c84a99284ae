package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
)

// offer adds jobs at an even rate for a duration and returns the time of the next
// job.
func offer(m *DemandMeter, start boottime.Instant, d time.Duration, perSecond int, work func(i int) float64) boottime.Instant {
	gap := time.Second / time.Duration(perSecond)
	at := start
	for i := 0; at < start.Add(d); i++ {
		m.Add(at, work(i))
		at = at.Add(gap)
	}
	return at
}

// arrivalsStart is the time at which the arrivals start.
const arrivalsStart = boottime.Instant(100 * time.Second)

// Jobs arrive at an even rate, and one in ten is twenty times as large as the others.
// A large job must not count as a rising peak, or instances would be moved in for
// each of them.
func TestLargeJobsAreNotAPeak(t *testing.T) {
	var m DemandMeter
	sizes := func(i int) float64 {
		if i%10 == 9 {
			return 100
		}
		return 5
	}
	at := offer(&m, arrivalsStart, 4*time.Second, 40, sizes)
	const offered = 40 * (0.9*5 + 0.1*100)
	for i := range 40 {
		at = offer(&m, at, 25*time.Millisecond, 40, func(int) float64 { return sizes(i) })
		require.InEpsilon(t, offered, m.Cores(at), 0.5)
	}
}

// Callers find no leader for a second and then all retry at once. The jobs must count
// at the time of their first request: neither as a rising trend nor not at all.
func TestDelayedJobsCountAtTheirFirstRequest(t *testing.T) {
	var m DemandMeter
	retry := arrivalsStart.Add(1600 * time.Millisecond)
	for at := arrivalsStart; at < retry; at = at.Add(25 * time.Millisecond) {
		m.Add(at, 10)
	}
	require.InEpsilon(t, 400, m.Cores(retry), 0.1)
	m.Add(arrivalsStart.Add(-time.Second), 10)
	require.InEpsilon(t, 400, m.Cores(retry), 0.1, "too old to count")
}

// The load of a queue rises from a twentieth of its mean to five times its mean. The
// rise must be forecast, because moved instances take moveLeadTime to arrive.
func TestRisingPeakIsForecast(t *testing.T) {
	var m DemandMeter
	work := func(int) float64 { return 10 }
	at := offer(&m, arrivalsStart, 4*time.Second, 1, work)
	require.Less(t, m.Cores(at), 40.0)
	at = offer(&m, at, 500*time.Millisecond, 40, work)
	require.Greater(t, m.Cores(at), 300.0, "most of the 400 cores that the peak needs")
	at = offer(&m, at, 3*time.Second, 40, work)
	require.InEpsilon(t, 400, m.Cores(at), 0.2)
	require.Zero(t, m.Cores(at.Add(2*time.Second)), "the peak is over")
}
