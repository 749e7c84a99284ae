package scheduling

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// lasting returns a demand of one long-running task.
func lasting(job string, step workload.Step) *Demand {
	step.LongRunning = true
	return demand(job, 1, step)
}

func workers(n int, cores int64) []*Worker {
	var all []*Worker
	for i := range n {
		all = append(all, worker(fmt.Sprintf("w%d", i), cores))
	}
	return all
}

// TestWaitForLostWorkerBlocksNoOthers guards against short tasks that wait beside idle workers because
// long-running ones wait for a worker that none of these can replace.
func TestWaitForLostWorkerBlocksNoOthers(t *testing.T) {
	for name, change := range map[string]func(*Demand){
		"label":   func(d *Demand) { d.Step.Label = "rare" },
		"policy":  func(d *Demand) { d.AllowedWorkers = map[string]bool{"lost": true} },
		"crashed": func(d *Demand) { d.AvoidedWorkers = map[string]bool{"w0": true, "w1": true, "w2": true, "w3": true} },
	} {
		t.Run(name, func(t *testing.T) {
			in := &Input{Now: now, Workers: workers(4, 8)}
			for i := range 8 {
				d := lasting(fmt.Sprintf("lasts-%d", i), workload.Step{})
				change(d)
				in.Demands = append(in.Demands, d)
			}
			in.Demands = append(in.Demands, demand("short", 4, workload.Step{}))
			require.Equal(t, 4, placed(placements(in), "short"))
		})
	}
}

// TestWaitBehindLastingTasksBlocksNoOthers guards against workers that are reserved for good: those that
// run long-running tasks have no room for a large one however long they are kept free.
func TestWaitBehindLastingTasksBlocksNoOthers(t *testing.T) {
	in := &Input{Now: now, Workers: workers(4, 8)}
	serving := &workload.Step{LongRunning: true, Resources: cores(4)}
	for i, w := range in.Workers {
		u := &workload.Usage{Occupied: cores(4), Lasting: cores(4), LongRunning: 1}
		w.Reset(u)
		in.Demands = append(in.Demands, lasting(fmt.Sprintf("lasts-%d", i), workload.Step{Resources: cores(5)}))
	}
	require.True(t, Fits(serving, in.Workers[0].Free))
	in.Demands = append(in.Demands, demand("short", 4, workload.Step{}))
	require.Equal(t, 4, placed(placements(in), "short"))
}

// TestReservationsLeaveHalfThePool guards against a pool in which no short task starts, because many
// long-running ones wait for room.
func TestReservationsLeaveHalfThePool(t *testing.T) {
	in := &Input{Now: now, Workers: workers(8, 8)}
	for i, w := range in.Workers {
		w.Free = cores(4)
		w.Free.MemoryMB = w.Capacity.MemoryMB
		in.Demands = append(in.Demands, lasting(fmt.Sprintf("lasts-%d", i), workload.Step{Resources: cores(8)}))
	}
	in.Demands = append(in.Demands, demand("short", 40, workload.Step{}))
	require.Equal(t, 16, placed(placements(in), "short"), "four workers have four free cores each")
}

// TestAvoidedWorkerDoesNotMakePoolFull guards against short tasks that wait because another task must
// not run on the only worker with room.
func TestAvoidedWorkerDoesNotMakePoolFull(t *testing.T) {
	crashed := demand("crashed", 1, workload.Step{})
	crashed.AvoidedWorkers = map[string]bool{"w0": true}
	crashed.Deadline = now
	require.Equal(t, 2, placed(placements(&Input{Now: now, Workers: workers(1, 2), Demands: []*Demand{crashed, demand("other", 2, workload.Step{})}}), "other"))
}

// TestSuspectClearsOnlyWorkersThatMayRunIt guards against a worker that is kept free for a suspect that
// needs another label, while others wait.
func TestSuspectClearsOnlyWorkersThatMayRunIt(t *testing.T) {
	suspect := demand("suspect", 1, workload.Step{Label: "rare"})
	suspect.Isolated = true
	out := Place(&Input{Now: now, Workers: workers(1, 2), Demands: []*Demand{suspect, demand("other", 2, workload.Step{})}})
	require.Equal(t, 2, placed(out.Placements, "other"))
	require.Empty(t, out.Cleared)
}
