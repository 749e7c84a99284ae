package scheduling

import (
	"time"

	"cactusspar/internal/workload"
)

// defaultEstimate stands for a task without an estimate.
const defaultEstimate = time.Second

// begunShare is the part of a task that is done, on average, while it runs.
const begunShare = 0.5

// Estimate returns how long a task of a step is expected to run. scale is how
// much longer than estimated the queue's tasks ran of late.
func Estimate(s *workload.Step, scale float64) time.Duration {
	e := s.Estimate
	if e <= 0 {
		e = defaultEstimate
	}
	return time.Duration(float64(e) * scale)
}

// Chain returns the longest chain of an occurrence's steps that are not done
// yet, and the processor time that they still need in core-seconds. progress
// may be nil for an occurrence that has not begun.
func Chain(steps []workload.Step, progress []workload.Progress, scale float64) (time.Duration, float64) {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	work := 0.0
	for i := range steps {
		s := &steps[i]
		left, begun := s.Count, 0
		if progress != nil {
			left -= progress[i].Done()
			begun = left - progress[i].Waiting()
		}
		var begin time.Duration
		for _, after := range s.After {
			begin = max(begin, ends[after])
		}
		ends[i] = begin
		if left > 0 {
			e := Estimate(s, scale)
			ends[i] += e
			work += (float64(left) - begunShare*float64(begun)) * e.Seconds() * float64(s.Need.MilliCPU) / 1000
		}
		longest = max(longest, ends[i])
	}
	return longest, work
}
