package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// TestEvacuationOfBusyDataCentreRelocatesFewTasksAtATime guards against an evacuation that
// stops the long-running tasks of a whole data centre together. The load is a third of a
// fleet: 20 jobs in each of two pools with 8 tasks each in the data centre.
func TestEvacuationOfBusyDataCentreRelocatesFewTasksAtATime(t *testing.T) {
	occupied := resources.Amount{MilliCPU: 8000, MemoryMB: 61000}
	var candidates []RelocationCandidate
	for _, pool := range []string{"a", "b"} {
		for job := range 20 {
			for task := range 8 {
				id := workload.TaskID{Job: fmt.Sprintf("%s%02d", pool, job), Index: task}
				d := &Demand{Key: id.StepID(), Pool: pool, Step: &workload.Step{Resources: occupied, LongRunning: true}}
				candidates = append(candidates, RelocationCandidate{Run: workload.RunID{Task: id, Number: 1}, Demand: d})
			}
		}
	}
	workersWith := func(pool string, n int, free resources.Amount) *Rooms {
		var workers []*Worker
		for i := range n {
			workers = append(workers, &Worker{ID: fmt.Sprint(pool, i), Pool: pool, Capacity: resources.Amount{MilliCPU: 64000, MemoryMB: 256000}, Free: free})
		}
		return NewFreeRooms(workers)
	}
	rooms := map[string]*Rooms{"a": workersWith("a", 40, resources.Amount{MilliCPU: 64000, MemoryMB: 256000}), "b": workersWith("b", 2, occupied)}
	budget := func(id workload.RunID) bool { return id.Task.Job != "a00" } // is used up

	chosen := map[string]map[string]int{"a": {}, "b": {}}
	for _, run := range Relocations(candidates, rooms, map[string]int{"a": 1}, budget) {
		chosen[run.Task.Job[:1]][run.Task.Job]++
	}
	require.Equal(t, map[string]int{"a01": 1, "a02": 1, "a03": 1}, chosen["a"], "one is away already")
	require.Equal(t, map[string]int{"b00": 1, "b01": 1}, chosen["b"], "there is room for two")
	require.Empty(t, Relocations(candidates, map[string]*Rooms{}, map[string]int{}, budget), "tasks without room elsewhere stay")
}

// TestRelocationNeedsSuitableWorker guards against tasks of an evacuated data centre that are stopped
// although no worker elsewhere may run them: for a label, the policy or a limit for each worker.
func TestRelocationNeedsSuitableWorker(t *testing.T) {
	w := worker("elsewhere", 8)
	w.Free, w.TasksByStep = w.Capacity, map[StepKey]int{{Job: "j"}: 1}
	for name, change := range map[string]func(*Demand){
		"label":  func(d *Demand) { d.Step.Label = "x" },
		"policy": func(d *Demand) { d.RefusedWorkers = map[string]bool{"elsewhere": true} },
		"limit":  func(d *Demand) { d.Step.MaxPerWorker = 1 },
		"none":   func(*Demand) {},
	} {
		d := demand("j", 1, workload.Step{LongRunning: true})
		change(d)
		candidates := []RelocationCandidate{{Run: workload.RunID{Task: workload.TaskID{Job: "j"}, Number: 1}, Demand: d}}
		chosen := Relocations(candidates, map[string]*Rooms{"p": NewFreeRooms([]*Worker{w})}, nil, func(workload.RunID) bool { return true })
		require.Equal(t, name == "none", len(chosen) == 1, name)
	}
}

// TestColdWorkersTakeWorkAsTheyWarmUp guards against callers that are all sent to the cold
// workers of a data centre that was just restored.
func TestColdWorkersTakeWorkAsTheyWarmUp(t *testing.T) {
	total := 8 * time.Second
	last := 0.0
	for left := total; left >= 0; left -= time.Second {
		share := WarmShare(left, total)
		require.GreaterOrEqual(t, share, max(last, MinWarmShare))
		last = share
	}
	require.InDelta(t, 1, last, 0)
	require.InDelta(t, MinWarmShare, WarmShare(total, total), 0)

	w := &Worker{Capacity: resources.Amount{MilliCPU: 16000, MemoryMB: 32000}}
	w.Reset(&workload.Usage{Occupied: resources.Amount{MilliCPU: 3000, MemoryMB: 10000}})
	w.LimitTo(MinWarmShare)
	require.Equal(t, resources.Amount{MilliCPU: 1000, MemoryMB: -2000}, w.Free)
}
