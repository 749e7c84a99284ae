package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// busyPool returns n workers of 4 cores, of which each runs a task of another job.
func busyPool(n int) []*Worker {
	var out []*Worker
	for i := range n {
		w := worker(fmt.Sprintf("w%d", i), 4)
		w.Free.MilliCPU, w.OnlyJob = 1000, fmt.Sprintf("other%d", i)
		out = append(out, w)
	}
	return out
}

func suspect(job string) *Demand {
	d := demand(job, 1, workload.Step{})
	d.Isolated, d.Team = true, "team-"+job
	return d
}

// A task that may have crashed its worker must not take the work of other jobs with it: it
// waits for a worker without any, and no other task joins it there.
func TestSuspectsStartApart(t *testing.T) {
	workers := busyPool(4)
	out := placements(&Input{Now: now, Workers: workers, Demands: []*Demand{suspect("s")}})
	require.Empty(t, out)
	idle := worker("idle", 4)
	out = placements(&Input{Now: now, Workers: append(busyPool(4), idle), Demands: []*Demand{demand("k", 9, workload.Step{}), suspect("s")}})
	require.Equal(t, 1, placed(out, "s"))
	for _, p := range out {
		require.Equal(t, p.Task.Job == "s", p.Worker == "idle", p.Task.Job)
	}
}

// While no worker is without other jobs, one must become so, and the same one in each round:
// else none ever would.
func TestWorkerIsKeptClearForSuspects(t *testing.T) {
	cleared := ""
	for range 3 {
		workers := busyPool(4)
		for _, w := range workers {
			if w.ID == cleared {
				w.ClearedFor = "s"
				w.Free.MilliCPU = 500 // another one has become emptier
			}
		}
		result := Place(&Input{Now: now, Workers: workers, Demands: []*Demand{demand("k", 9, workload.Step{}), suspect("s")}})
		require.Len(t, result.Cleared, 1)
		for id := range result.Cleared {
			require.True(t, cleared == "" || cleared == id)
			cleared = id
		}
		for _, p := range result.Placements {
			require.NotEqual(t, cleared, p.Worker)
		}
	}
}

// A queue or a team whose jobs crash workers all the time must leave most of a pool in use to
// others.
func TestTrialsAreBounded(t *testing.T) {
	var workers []*Worker
	for i := range 16 {
		w := worker(fmt.Sprintf("w%d", i), 4)
		if i >= 7 { // less than half of the pool is free
			w.Free.MilliCPU, w.OnlyJob = 0, "other"
		}
		workers = append(workers, w)
	}
	var demands []*Demand
	for i := range 20 {
		demands = append(demands, suspect(fmt.Sprintf("s%02d", i)))
	}
	require.Len(t, placements(&Input{Now: now, Workers: workers, Demands: demands}), 4)

	for _, w := range workers {
		w.TrialJob, w.TrialTeam = "", ""
	}
	for _, d := range demands {
		d.Team = "one"
	}
	require.Len(t, placements(&Input{Now: now, Workers: workers, Demands: demands}), 2)
}

// Suspects are innocent more often than not: none may wait for long while its pool has room.
func TestSuspectsDoNotWaitForLong(t *testing.T) {
	place := func(wait time.Duration, free int64) int {
		workers := busyPool(4)
		for i, w := range workers {
			w.Free.MilliCPU = free
			w.LongRunning = min(i, 1)
		}
		d := suspect("s")
		d.TrialWait = wait
		out := placements(&Input{Now: now, Workers: workers, Demands: []*Demand{d}})
		if len(out) > 0 {
			require.Equal(t, "w0", out[0].Worker, "the worker without long-running tasks")
		}
		return len(out)
	}
	require.Zero(t, place(time.Second, 3000))
	require.Equal(t, 1, place(trialPatience, 3000))
	require.Zero(t, place(trialPatience, 1000), "the pool is in use")
	require.Equal(t, 1, place(maxTrialWait, 1000))
}

// A task must be tried on another worker than the one that crashed, which may be the cause.
func TestSuspectsAvoidTheirFormerWorkers(t *testing.T) {
	d := suspect("s")
	d.AvoidedWorkers = map[string]bool{"a": true}
	out := placements(&Input{Now: now, Workers: []*Worker{worker("a", 4), worker("b", 4)}, Demands: []*Demand{d}})
	require.Len(t, out, 1)
	require.Equal(t, "b", out[0].Worker)
}

// Long-running tasks must not be lost with the workers that short tasks of another queue
// crash: these avoid them, and don't use their workers at all while many crash.
func TestRiskyTasksAvoidLongRunningTasks(t *testing.T) {
	place := func(tasks int, crashing bool) map[string]int {
		lasting := worker("a", 4)
		lasting.LongRunning, lasting.Free.MilliCPU = 1, 3000
		d := demand("j", tasks, workload.Step{})
		d.Risky = true
		on := map[string]int{}
		for _, p := range placements(&Input{Now: now, Workers: []*Worker{lasting, worker("b", 4)}, Demands: []*Demand{d}, CrashingPools: map[string]bool{"p": crashing}}) {
			on[p.Worker]++
		}
		return on
	}
	require.Equal(t, map[string]int{"b": 4}, place(4, false))
	require.Equal(t, map[string]int{"a": 2, "b": 4}, place(6, false))
	require.Equal(t, map[string]int{"b": 4}, place(6, true))
}

// Guards against a long-running task that doesn't run again within 6 s although there is room: a
// run of it was lost with its worker, and each worker runs long-running tasks of other jobs.
func TestLongRunningSuspectStartsInTime(t *testing.T) {
	workers := busyPool(4)
	for _, w := range workers {
		w.LongRunning = 1
	}
	d := suspect("s")
	d.Step.LongRunning = true
	d.TrialWait = 5 * time.Second
	require.Equal(t, 1, placed(placements(&Input{Now: now, Workers: workers, Demands: []*Demand{d}}), "s"))
}
