package scheduling

import (
	"time"

	"cactusspar/internal/workload"
)

// RelocationCandidate is a long-running task at work in an evacuated data centre.
type RelocationCandidate struct {
	Run workload.RunID
	// Demand holds the pool and the requirements of the task.
	Demand *Demand
}

// maxRelocations bounds the tasks of a pool that are relocated at a time: callers of
// long-running jobs notice each task that is away.
const maxRelocations = 4

// Relocations chooses the tasks that are stopped so that they start in other data centres.
// rooms holds the room on the workers there, by pool, of which the chosen tasks take what they need.
// inProgress is the number of tasks of each pool that are away already. mayStop reports whether the
// disruption budget of a task's step allows to stop it; it is called only for tasks for which there
// is room on a worker that suits them.
func Relocations(candidates []RelocationCandidate, rooms map[string]*Rooms, inProgress map[string]int, mayStop func(workload.RunID) bool) []workload.RunID {
	var chosen []workload.RunID
	started := map[string]int{}
	stoppedSteps := map[StepKey]bool{}
	for i := range candidates {
		c := &candidates[i]
		step, pool := c.Run.Task.StepID(), c.Demand.Pool
		if rooms[pool] == nil || inProgress[pool]+started[pool] >= maxRelocations || stoppedSteps[step] {
			continue
		}
		before := len(rooms[pool].taken)
		if rooms[pool].Take(c.Demand, 1) == 0 {
			continue
		}
		if !mayStop(c.Run) {
			rooms[pool].undoTo(before)
			continue
		}
		started[pool]++
		stoppedSteps[step] = true // the budget counts it only once it has stopped
		chosen = append(chosen, c.Run)
	}
	return chosen
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
