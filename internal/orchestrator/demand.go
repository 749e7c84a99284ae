package orchestrator

import (
	"time"

	"cactusspar/internal/boottime"
)

const (
	// demandSlot is the resolution of the offered work, demandSlots how many of
	// them are remembered: long enough to average over single jobs, short enough
	// to see a peak of a few seconds begin.
	demandSlot  = 100 * time.Millisecond
	demandSlots = 8
)

// demandMeter sums the work offered to a pool in a sliding window.
type demandMeter struct {
	slots [demandSlots]float64 // core-seconds
	slot  int64
}

func (m *demandMeter) add(now boottime.Instant, work float64) {
	m.advance(now)
	m.slots[m.slot%demandSlots] += work
}

func (m *demandMeter) advance(now boottime.Instant) {
	slot := int64(now) / int64(demandSlot)
	if slot-m.slot >= demandSlots {
		m.slots = [demandSlots]float64{}
		m.slot = slot
	}
	for m.slot < slot {
		m.slot++
		m.slots[m.slot%demandSlots] = 0
	}
}

// cores returns how many cores would keep up with the offered work.
func (m *demandMeter) cores(now boottime.Instant) float64 {
	m.advance(now)
	sum := 0.0
	for _, s := range m.slots {
		sum += s
	}
	return sum / (demandSlots * demandSlot).Seconds()
}
