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
	demandSlots = 16
	// moveLead is how long an instance takes from the decision to move it until
	// its first task.
	moveLead = 2 * time.Second
	// maxRise bounds the demand that is foreseen, as a multiple of the present one.
	maxRise = 2
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

// cores returns how many cores keep up with the offered work by the time at which
// an instance that is moved now begins to serve: a rise is taken to go on.
func (m *demandMeter) cores(now boottime.Instant) float64 {
	m.advance(now)
	const half = demandSlots / 2
	late, early := 0.0, 0.0
	for i := range int64(demandSlots) {
		v := m.slots[(m.slot-i+demandSlots)%demandSlots]
		if i < half {
			late += v
		} else {
			early += v
		}
	}
	span := (half * demandSlot).Seconds()
	mean := (late + early) / (2 * span)
	rise := max(late-early, 0) / span * (moveLead.Seconds() / span)
	return min(mean+rise, maxRise*mean)
}
