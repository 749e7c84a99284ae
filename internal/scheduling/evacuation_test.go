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
				candidates = append(candidates, RelocationCandidate{Run: workload.RunID{Task: id, Number: 1}, Pool: pool, Occupied: occupied})
			}
		}
	}
	rooms := map[string][]resources.Amount{"a": make([]resources.Amount, 40), "b": {occupied, occupied}}
	for i := range rooms["a"] {
		rooms["a"][i] = resources.Amount{MilliCPU: 64000, MemoryMB: 256000}
	}
	budget := func(id workload.RunID) bool { return id.Task.Job != "a00" } // is used up

	chosen := map[string]map[string]int{"a": {}, "b": {}}
	for _, run := range Relocations(candidates, rooms, map[string]int{"a": 1}, budget) {
		chosen[run.Task.Job[:1]][run.Task.Job]++
	}
	require.Equal(t, map[string]int{"a01": 1, "a02": 1, "a03": 1}, chosen["a"], "one is away already")
	require.Equal(t, map[string]int{"b00": 1, "b01": 1}, chosen["b"], "there is room for two")
	require.Empty(t, Relocations(candidates, map[string][]resources.Amount{}, map[string]int{}, budget), "tasks without room elsewhere stay")
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
