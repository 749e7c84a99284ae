package scheduling

import (
	"slices"
	"time"
)

// RunProgress is how far a run of a short task has come.
type RunProgress struct {
	// Elapsed is the time since its worker began it.
	Elapsed time.Duration
	// Done is the part of it that is done, 0 to 1.
	Done float64
	// Still is for how long no progress was listed.
	Still time.Duration
	// Predicted is how long it should take.
	Predicted time.Duration
}

const (
	// MinEvidence is the age from which the progress of a run tells its speed:
	// a worker lists whole percents, and begins a task some milliseconds after
	// it answered.
	MinEvidence = 250 * time.Millisecond
	// slowWorker is how many times longer than predicted half of a worker's runs
	// have to take for the worker to count as slow: three standard deviations of
	// a single prediction.
	slowWorker = 3
	// slowAlone is the same for a worker with one run, which may be long by itself.
	slowAlone = 6
	// stillTime and stillShare of the predicted time are how long a run may stand
	// still: longer than one percent of a slow run takes.
	stillTime  = 700 * time.Millisecond
	stillShare = 0.05
	// restartGain is how many times longer the rest of a run has to take than a
	// restart elsewhere: work that is done gets lost, and the other worker may be
	// no faster.
	restartGain = 2
	// leastDone stands for a run without a whole percent done.
	leastDone = 0.005
)

// Slowness is how many times longer than predicted a run takes at its speed.
func (r RunProgress) Slowness() float64 {
	return r.Elapsed.Seconds() / max(r.Done, leastDone) / max(r.Predicted.Seconds(), shortestRun)
}

func (r RunProgress) stalled() bool {
	return r.Still >= max(stillTime, time.Duration(stillShare*float64(r.Predicted)))
}

// Stragglers returns which runs of one worker end sooner if they are started again
// elsewhere, where they begin after restart. A run that is slow beside others
// that are not is left alone: its task is long, not its worker slow.
func Stragglers(runs []RunProgress, restart time.Duration) []int {
	var known []float64
	for _, r := range runs {
		if r.Elapsed >= MinEvidence {
			known = append(known, r.Slowness())
		}
	}
	slices.Sort(known)
	slow := len(known) == 1 && known[0] >= slowAlone || len(known) > 1 && known[(len(known)-1)/2] >= slowWorker
	var out []int
	for i, r := range runs {
		left := r.Slowness()*r.Predicted.Seconds() - r.Elapsed.Seconds()
		again := (restart + r.Predicted).Seconds()
		if r.stalled() || slow && r.Elapsed >= MinEvidence && left > restartGain*again {
			out = append(out, i)
		}
	}
	return out
}
