package scheduling

import (
	"time"

	"cactusspar/internal/workload"
)

// meanRunProgress is the mean part of a running task that is done.
const meanRunProgress = 0.5

// CriticalPath returns the critical path through the unfinished steps of an occurrence
// and the processor time that they still need, in core-seconds. progress may be
// nil for an occurrence that has not started.
func CriticalPath(steps []workload.Step, progress []workload.Progress, times *RunTimes) (time.Duration, float64) {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	work := 0.0
	for i := range steps {
		s := &steps[i]
		remaining, running := s.Count, 0
		if progress != nil {
			remaining -= progress[i].Done()
			running = remaining - progress[i].Waiting()
		}
		var start time.Duration
		for _, dependency := range s.DependsOn {
			start = max(start, ends[dependency])
		}
		ends[i] = start
		if remaining > 0 {
			e := times.Predict(s)
			ends[i] += e
			work += (float64(remaining) - meanRunProgress*float64(running)) * e.Seconds() * float64(s.Resources.MilliCPU) / 1000
		}
		longest = max(longest, ends[i])
	}
	return longest, work
}
