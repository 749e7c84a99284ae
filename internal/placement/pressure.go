package placement

import (
	"sort"
	"time"

	"cactusspar/internal/state"
)

// Relief is a measure that reduces the resource usage of a task.
type Relief string

// Reliefs, from the mildest to the most severe.
const (
	Throttle   Relief = "throttle"
	Checkpoint Relief = "checkpoint"
	StopTask   Relief = "stop"
)

// Action applies a relief to a task.
type Action struct {
	Task   string `json:"task"`
	Relief Relief `json:"relief"`
}

const (
	// pressureThreshold is the fraction of an instance's memory or processors in use
	// above which it is under pressure. It is below 1 because usage reports lag.
	pressureThreshold = 0.95
	// checkpointAfter and stopAfter are the durations of pressure after which
	// the relief escalates.
	checkpointAfter = 10 * time.Second
	stopAfter       = 30 * time.Second
)

// UnderPressure reports whether the usage of its tasks puts an instance under
// pressure.
func UnderPressure(inst *state.Instance, tasks []state.Task) bool {
	var used state.Resources
	for i := range tasks {
		used = used.Plus(tasks[i].Used)
	}
	return fraction(used.MilliCPU, inst.Resources.MilliCPU) > pressureThreshold || fraction(used.MemoryMB, inst.Resources.MemoryMB) > pressureThreshold
}

// Relieve returns the action for an instance that has been under pressure for
// the given duration: throttle, later checkpoint, finally stop. It applies to
// the batch task of the lowest priority that exceeds its reservation or, if none
// does, to the batch task of the lowest priority. Urgent tasks and workspaces
// are never affected.
func Relieve(tasks []state.Task, jobs map[string]*state.Job, duration time.Duration) []Action {
	var candidates []*state.Task
	for i := range tasks {
		if job := jobs[tasks[i].Job]; job != nil && job.Kind == state.Batch && tasks[i].Status == state.TaskRunning {
			candidates = append(candidates, &tasks[i])
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if exceedsReservation(a) != exceedsReservation(b) {
			return exceedsReservation(a)
		}
		if pa, pb := jobs[a.Job].Priority, jobs[b.Job].Priority; pa != pb {
			return pa > pb
		}
		return a.ID < b.ID
	})
	relief := Throttle
	switch {
	case duration >= stopAfter:
		relief = StopTask
	case duration >= checkpointAfter:
		relief = Checkpoint
	}
	return []Action{{candidates[0].ID, relief}}
}

func exceedsReservation(t *state.Task) bool { return !t.Used.Fits(t.Reserved) }
