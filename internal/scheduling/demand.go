package scheduling

import (
	"math"
	"time"

	"cactusspar/internal/boottime"
)

const (
	// demandSlot is the length of a time slot in which arriving jobs are counted,
	// demandSlots the number of slots in the window: long enough to average over
	// single jobs, short enough to detect the start of a peak of a few seconds.
	demandSlot  = 100 * time.Millisecond
	demandSlots = 16
	// moveLeadTime is the time from the decision to move an instance until it runs
	// its first task.
	moveLeadTime = 2 * time.Second
	// maxGrowth bounds the forecast demand as a multiple of the current demand.
	maxGrowth = 3
	// trendNoise is the number of standard deviations of a random arrival count
	// that a change has to exceed to count as a trend.
	trendNoise = 0.5
	// meanWindow is the number of jobs over which the mean work per job is taken.
	meanWindow = 30
)

// DemandMeter estimates the work offered to a pool. It counts jobs, whose number
// varies far less than the sum of their work, and multiplies the arrival rate by
// the mean work per job.
type DemandMeter struct {
	jobs     [demandSlots]int
	slot     int64
	samples  float64
	meanWork float64 // core-seconds per job
}

// Add counts a job with the given work, in core-seconds, in the slot of the time at
// which its caller first requested it. A job older than the window still
// contributes to the mean work per job.
func (m *DemandMeter) Add(requestedAt boottime.Instant, work float64) {
	m.advance(requestedAt)
	if slot := int64(requestedAt) / int64(demandSlot); slot > m.slot-demandSlots {
		m.jobs[slot%demandSlots]++
	}
	m.samples = min(m.samples+1, meanWindow)
	m.meanWork += (work - m.meanWork) / m.samples
}

func (m *DemandMeter) advance(now boottime.Instant) {
	slot := int64(now) / int64(demandSlot)
	if slot-m.slot >= demandSlots {
		m.jobs = [demandSlots]int{}
		m.slot = slot
	}
	for m.slot < slot {
		m.slot++
		m.jobs[m.slot%demandSlots] = 0
	}
}

// Cores returns the number of cores needed for the offered work at the time when an
// instance that is moved now begins to serve. It extrapolates a rising trend.
func (m *DemandMeter) Cores(now boottime.Instant) float64 {
	m.advance(now)
	const half = demandSlots / 2
	recent, older := 0.0, 0.0
	for i := range int64(demandSlots) {
		v := float64(m.jobs[(m.slot-i+demandSlots)%demandSlots])
		if i < half {
			recent += v
		} else {
			older += v
		}
	}
	span := (half * demandSlot).Seconds()
	rate := (recent + older) / (2 * span)
	growth := max(recent-older-trendNoise*math.Sqrt(recent+older), 0) / span * (moveLeadTime.Seconds() / span)
	return min(rate+growth, maxGrowth*rate) * m.meanWork
}
