package scheduling

import (
	"time"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// RelocationCandidate is a long-running task at work in an evacuated data centre.
type RelocationCandidate struct {
	Run  workload.RunID
	Pool string
	// Occupied is what the task takes from a worker's capacity.
	Occupied resources.Amount
}

// maxRelocations bounds the tasks of a pool that are relocated at a time: callers of
// long-running jobs notice each task that is away.
const maxRelocations = 4

// Relocations chooses the tasks that are stopped so that they start in other data centres.
// rooms holds the free resources of the workers there, by pool, and is reduced by what the
// chosen tasks take. inProgress is the number of tasks of each pool that are away already.
// mayStop reports whether the disruption budget of a task's step allows to stop it; it is
// called only for tasks for which there is room.
func Relocations(candidates []RelocationCandidate, rooms map[string][]resources.Amount, inProgress map[string]int, mayStop func(workload.RunID) bool) []workload.RunID {
	var chosen []workload.RunID
	started := map[string]int{}
	stoppedSteps := map[StepKey]bool{}
	for i := range candidates {
		c := &candidates[i]
		step := c.Run.Task.StepID()
		if inProgress[c.Pool]+started[c.Pool] >= maxRelocations || stoppedSteps[step] {
			continue
		}
		room := findRoom(rooms[c.Pool], c.Occupied)
		if room < 0 || !mayStop(c.Run) {
			continue
		}
		rooms[c.Pool][room] = rooms[c.Pool][room].Minus(c.Occupied)
		started[c.Pool]++
		stoppedSteps[step] = true // the budget counts it only once it has stopped
		chosen = append(chosen, c.Run)
	}
	return chosen
}

// findRoom returns the index of the first room that fits, or -1.
func findRoom(rooms []resources.Amount, need resources.Amount) int {
	for i := range rooms {
		if need.Fits(rooms[i]) {
			return i
		}
	}
	return -1
}

// MinWarmShare is the part of its capacity that a cold worker takes: it warms up by work.
const MinWarmShare = 0.25

// WarmShare returns the part of its capacity that a worker takes while it warms up. It rises
// with the time that has passed, so that callers aren't all sent to slow workers at once.
func WarmShare(left, total time.Duration) float64 {
	if left <= 0 || total <= 0 {
		return 1
	}
	return max(1-left.Seconds()/total.Seconds(), MinWarmShare)
}

// LimitTo leaves only a part of a worker's capacity free, less what its runs take.
func (w *Worker) LimitTo(share float64) {
	allowed := w.Capacity.Scale(share)
	w.Free = w.Free.Minus(w.Capacity.Minus(allowed))
}
