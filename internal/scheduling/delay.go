package scheduling

import (
	"time"

	"cactusspar/internal/boottime"
)

const (
	// delaySlot is the length of a time slot in which delays are averaged, delaySlots the
	// number of slots in the window: short enough that a refusal of new work ends soon after
	// the delay does.
	delaySlot  = 50 * time.Millisecond
	delaySlots = 6
)

// DelayMeter is the mean of the delays within the last 300 ms. The zero value is ready for
// use.
type DelayMeter struct {
	sums   [delaySlots]time.Duration
	counts [delaySlots]int
	slot   int64
}

// Add adds a delay that ended at an instant.
func (m *DelayMeter) Add(now boottime.Instant, delay time.Duration) {
	m.advance(now)
	m.sums[m.slot%delaySlots] += max(delay, 0)
	m.counts[m.slot%delaySlots]++
}

// Mean returns the mean delay, or 0 if none has been added lately.
func (m *DelayMeter) Mean(now boottime.Instant) time.Duration {
	m.advance(now)
	sum, count := time.Duration(0), 0
	for i := range m.sums {
		sum += m.sums[i]
		count += m.counts[i]
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// Rate returns how many delays have ended per second.
func (m *DelayMeter) Rate(now boottime.Instant) float64 {
	m.advance(now)
	count := 0
	for i := range m.counts {
		count += m.counts[i]
	}
	return float64(count) / (delaySlots * delaySlot).Seconds()
}

func (m *DelayMeter) advance(now boottime.Instant) {
	slot := int64(now) / int64(delaySlot)
	if slot-m.slot >= delaySlots {
		*m = DelayMeter{slot: slot}
	}
	for m.slot < slot {
		m.slot++
		m.sums[m.slot%delaySlots], m.counts[m.slot%delaySlots] = 0, 0
	}
}
