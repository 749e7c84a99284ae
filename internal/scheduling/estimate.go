package scheduling

import (
	"time"

	"cactusspar/internal/workload"
)

// meanRunProgress is the mean part of a running task that is done.
const meanRunProgress = 0.5

// PredictSteps returns the predicted run time of a task of each step.
func PredictSteps(steps []workload.Step, times *RunTimes) []time.Duration {
	predicted := make([]time.Duration, len(steps))
	for i := range steps {
		predicted[i] = times.Predict(&steps[i])
	}
	return predicted
}

// CriticalPath returns the critical path through the unfinished steps of an occurrence
// and the processor time that they still need, in core-seconds. progress may be
// nil for an occurrence that has not started.
func CriticalPath(steps []workload.Step, progress []workload.Progress, times *RunTimes) (time.Duration, float64) {
	return PredictedPath(steps, progress, PredictSteps(steps, times))
}

// fewSteps is the number of steps up to which PredictedPath needs no allocation.
const fewSteps = 8

// PredictedPath is CriticalPath with the predicted run times of the steps' tasks.
func PredictedPath(steps []workload.Step, progress []workload.Progress, predicted []time.Duration) (time.Duration, float64) {
	var few [fewSteps]time.Duration
	ends := few[:]
	if len(steps) > fewSteps {
		ends = make([]time.Duration, len(steps))
	}
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
			e := predicted[i]
			ends[i] += e
			work += (float64(remaining) - meanRunProgress*float64(running)) * e.Seconds() * float64(s.Resources.MilliCPU) / 1000
		}
		longest = max(longest, ends[i])
	}
	return longest, work
}
