package scheduling

import (
	"slices"
	"time"
)

// RunProgress is the progress of a run of a short task.
type RunProgress struct {
	// Elapsed is the time since its worker started it.
	Elapsed time.Duration
	// Done is the part of the task that is done, 0 to 1.
	Done float64
	// SinceProgress is the time since the worker last reported progress of the run.
	SinceProgress time.Duration
	// Predicted is the predicted run time.
	Predicted time.Duration
}

const (
	// MinProgressAge is the minimum age of a run for an estimate of its speed: a worker
	// reports progress in whole percents, and starts a task some milliseconds after
	// it has accepted it.
	MinProgressAge = 250 * time.Millisecond
	// slowWorkerFactor is the median slowness of a worker's runs from which the
	// worker counts as slow: three standard deviations of a single prediction.
	slowWorkerFactor = 3
	// slowSingleRunFactor is the same for a worker with a single run. It is higher,
	// because the task itself may be longer than predicted.
	slowSingleRunFactor = 6
	// stallTime, or stallShare of the predicted run time if that is longer, is the
	// time without progress after which a run counts as stalled: longer than a slow
	// run takes for one percent.
	stallTime  = 700 * time.Millisecond
	stallShare = 0.05
	// minRestartGain is the ratio of a run's remaining time to the time of a restart
	// elsewhere from which the restart pays off: finished work is lost, and the other
	// worker may be no faster.
	minRestartGain = 2
	// minDone is assumed for a run that has not reported one percent.
	minDone = 0.005
)

// Slowness returns the ratio of the run time at the current speed to the predicted
// one.
func (r RunProgress) Slowness() float64 {
	return r.Elapsed.Seconds() / max(r.Done, minDone) / max(r.Predicted.Seconds(), minRunSeconds)
}

// Stalled reports whether a run has made no progress for too long.
func (r RunProgress) Stalled() bool {
	return r.SinceProgress >= max(stallTime, time.Duration(stallShare*float64(r.Predicted)))
}

// Stragglers returns the indices of the runs of one worker that end sooner if they
// are restarted elsewhere, where they start after the given delay. A slow run among
// others that aren't slow is left alone: its task is long, its worker isn't slow. A
// stalled run is always returned.
func Stragglers(runs []RunProgress, restartDelay time.Duration) []int {
	var slowness []float64
	for _, r := range runs {
		if r.Elapsed >= MinProgressAge {
			slowness = append(slowness, r.Slowness())
		}
	}
	slices.Sort(slowness)
	slow := len(slowness) == 1 && slowness[0] >= slowSingleRunFactor || len(slowness) > 1 && slowness[(len(slowness)-1)/2] >= slowWorkerFactor
	var out []int
	for i, r := range runs {
		remaining := r.Slowness()*r.Predicted.Seconds() - r.Elapsed.Seconds()
		restarted := (restartDelay + r.Predicted).Seconds()
		if r.Stalled() || slow && r.Elapsed >= MinProgressAge && remaining > minRestartGain*restarted {
			out = append(out, i)
		}
	}
	return out
}
