package placement

import (
	"sort"
	"time"

	"cactusspar/internal/state"
)

// Relief is how a task's use is reduced.
type Relief string

// Reliefs, from the mildest to the hardest.
const (
	Throttle   Relief = "throttle"
	Checkpoint Relief = "checkpoint"
	StopTask   Relief = "stop"
)

// Action is a relief on a task.
type Action struct {
	Task   string `json:"task"`
	Relief Relief `json:"relief"`
}

const (
	// pressure is the part of an instance's memory or processors in use above
	// which it is under pressure. Reports lag, so that some room must be left.
	pressure = 0.95
	// Harder reliefs follow if pressure lasts.
	checkpointAfter = 10 * time.Second
	stopAfter       = 30 * time.Second
)

// Pressed tells whether an instance is under pressure by its tasks' use.
func Pressed(inst *state.Instance, tasks []state.Task) bool {
	var used state.Resources
	for i := range tasks {
		used = used.Plus(tasks[i].Used)
	}
	return part(used.MilliCPU, inst.Resources.MilliCPU) > pressure || part(used.MemoryMB, inst.Resources.MemoryMB) > pressure
}

// Relieve returns what to do on an instance that has been under pressure for
// that long: first throttling, then a checkpoint, then a stop, of the least
// important task that uses more than it reserved, or else of the least
// important one. Urgent tasks and workspaces are never touched.
func Relieve(tasks []state.Task, jobs map[string]*state.Job, lasting time.Duration) []Action {
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
		if over(a) != over(b) {
			return over(a)
		}
		if pa, pb := jobs[a.Job].Priority, jobs[b.Job].Priority; pa != pb {
			return pa > pb
		}
		return a.ID < b.ID
	})
	relief := Throttle
	switch {
	case lasting >= stopAfter:
		relief = StopTask
	case lasting >= checkpointAfter:
		relief = Checkpoint
	}
	return []Action{{candidates[0].ID, relief}}
}

func over(t *state.Task) bool { return !t.Used.Fits(t.Reserved) }
