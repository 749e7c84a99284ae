package scheduling

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// drawWorkers returns a pool of which long-running tasks take some room.
func drawWorkers(t *rapid.T) []*Worker {
	var out []*Worker
	for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
		w := &Worker{ID: fmt.Sprintf("w%d", i), Pool: "p"}
		w.Capacity = resources.Amount{MilliCPU: 1000 * rapid.Int64Range(1, 8).Draw(t, "cores"), MemoryMB: 1000 * rapid.Int64Range(1, 8).Draw(t, "memory"), Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators")}
		if rapid.Bool().Draw(t, "labelled") {
			w.Labels = []string{"x"}
		}
		usage := &workload.Usage{}
		if rapid.Bool().Draw(t, "taken") {
			usage.Lasting, usage.LongRunning = w.Capacity.Scale(0.5), 1
			usage.Occupied = usage.Lasting
		}
		w.Reset(usage)
		out = append(out, w)
	}
	return out
}

func drawDemand(t *rapid.T) *Demand {
	s := &workload.Step{Count: rapid.IntRange(1, 6).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"), LongRunning: rapid.Bool().Draw(t, "long-running"), MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "per worker")}
	s.Resources = resources.Amount{MilliCPU: 1000 * rapid.Int64Range(0, 4).Draw(t, "cores"), MemoryMB: 1000 * rapid.Int64Range(0, 4).Draw(t, "memory"), Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerator")}
	if rapid.Bool().Draw(t, "label") {
		s.Label = "x"
	}
	d := &Demand{Key: StepKey{Job: "s"}, Step: s, Pool: "p"}
	for i := range s.Count {
		d.Waiting = append(d.Waiting, i)
	}
	return d
}

// TestCrashesKeepNoTaskWaiting guards against tasks that wait for good because their job avoids the
// workers that crashed, and the others can't run them: for a label, the size in a resource, the
// policy, a limit for each worker, the width of a gang, or tasks that don't end.
func TestCrashesKeepNoTaskWaiting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, d := drawWorkers(t), drawDemand(t)
		for _, w := range workers {
			if rapid.Bool().Draw(t, "refused") {
				d.RefusedWorkers = map[string]bool{w.ID: true}
			}
		}
		crashed := map[string]bool{}
		for _, w := range workers {
			if rapid.Bool().Draw(t, "crashed") {
				crashed[w.ID] = true
			}
		}
		runnable := d.RoomOn(workers, func(*Worker) bool { return true })
		d.Isolated, d.Risky = true, rapid.Bool().Draw(t, "risky")
		d.AvoidCrashed(crashed, workers)
		if runnable && !d.RoomOn(workers, func(w *Worker) bool { return !d.AvoidedWorkers[w.ID] }) {
			t.Fatalf("no room beside the avoided workers %v", d.AvoidedWorkers)
		}
		// Later it waits for no worker without other jobs, either.
		d.AvoidedWorkers, d.LastResorts, d.TrialWait = nil, nil, maxTrialWait
		d.AvoidCrashed(crashed, workers)
		n := len(Place(&Input{Now: now, Workers: workers, Demands: []*Demand{d}, CrashingPools: map[string]bool{"p": true}}).Placements)
		if runnable && (n == 0 || d.Step.LongRunning && n < d.Step.Count) {
			t.Fatalf("%d of %d tasks were placed", n, d.Step.Count)
		}
	})
}

// TestRiskyTasksUseTheWorkersThatAreLeft guards against tasks that wait while many workers crash,
// because they are kept off workers with long-running tasks and the others can't run them.
func TestRiskyTasksUseTheWorkersThatAreLeft(t *testing.T) {
	shared, other := worker("shared", 8), worker("other", 4)
	shared.LongRunning, shared.Labels = 1, []string{"x"}
	for name, step := range map[string]workload.Step{
		"label": {Label: "x"}, "size": {Resources: cores(6)}, "gang": {Gang: true, Resources: cores(4)},
	} {
		d := demand("risky", 2, step)
		d.Risky = true
		in := &Input{Now: now, Workers: []*Worker{shared, other}, Demands: []*Demand{d}, CrashingPools: map[string]bool{"p": true}}
		for _, w := range in.Workers {
			w.Free = w.Capacity
		}
		require.NotEmpty(t, placements(in), name)
	}
	for _, w := range []*Worker{shared, other} {
		w.Free = w.Capacity
	}
	d := demand("risky", 1, workload.Step{})
	d.Risky = true
	out := placements(&Input{Now: now, Workers: []*Worker{shared, other}, Demands: []*Demand{d}, CrashingPools: map[string]bool{"p": true}})
	require.Equal(t, "other", out[0].Worker)
}

// Guards against a worker that crashed under a task and gets it again while another one has room,
// because the others were lost for a moment.
func TestLastResortIsUsedLast(t *testing.T) {
	d := suspect("s")
	d.TrialWait = maxTrialWait
	workers := []*Worker{worker("a", 4), worker("b", 4)}
	workers[1].Free.MilliCPU = 1000
	d.AvoidCrashed(map[string]bool{"a": true}, workers)
	require.Empty(t, d.AvoidedWorkers)
	out := placements(&Input{Now: now, Workers: workers, Demands: []*Demand{d}})
	require.Len(t, out, 1)
	require.Equal(t, "b", out[0].Worker)
}

// Guards against a worker that is kept empty for good: for a gang that waits for more workers than
// there are, or for a task for which the long-running tasks there leave no room.
func TestNoWorkerIsKeptClearForGood(t *testing.T) {
	gang := suspect("s")
	gang.Step.Gang, gang.Step.MaxPerWorker, gang.Step.Count, gang.Waiting, gang.TrialWait = true, 1, 3, []int{0, 1, 2}, maxTrialWait
	result := Place(&Input{Now: now, Workers: busyPool(2), Demands: []*Demand{gang}})
	require.Empty(t, result.Placements)
	require.Empty(t, result.Cleared)

	workers := busyPool(2)
	for _, w := range workers {
		w.Lasting, w.BestEffort = resources.Amount{MilliCPU: 3500}, 1
		w.Free.MilliCPU = 500
	}
	result = Place(&Input{Now: now, Workers: workers, Demands: []*Demand{suspect("s")}})
	require.Empty(t, result.Cleared)
}
