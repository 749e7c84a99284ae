package orchestrator

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// TestJobRunsAgainAfterCrashOfItsOnlyWorkers guards against a job that waits for good after one crash,
// because it avoids the worker and no other one can run its step.
func TestJobRunsAgainAfterCrashOfItsOnlyWorkers(t *testing.T) {
	big := resources.Amount{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 1}
	for name, step := range map[string]workload.Step{
		"label":        {Count: 2, Resources: oneCore, Label: "only"},
		"processors":   {Count: 1, Resources: resources.Amount{MilliCPU: 5000, MemoryMB: 10}},
		"memory":       {Count: 1, Resources: resources.Amount{MilliCPU: 1000, MemoryMB: 5000}},
		"accelerator":  {Count: 1, Resources: resources.Amount{MilliCPU: 1000, MemoryMB: 10, Accelerators: 1}},
		"long-running": {Count: 2, Resources: oneCore, Label: "only", LongRunning: true},
		"limit":        {Count: 3, Resources: oneCore, LongRunning: true, MaxPerWorker: 1},
		"gang":         {Count: 3, Resources: oneCore, Gang: true, MaxPerWorker: 1},
		"wide gang":    {Count: 15, Resources: oneCore, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeFleet(t, "a", "b", "c")
			f.keepsID, f.taskTime = true, 1500*time.Millisecond
			f.workers["a"].capacity, f.workers["a"].labels = big, []string{"a", "only"}
			var once sync.Once
			f.started = func(worker string, _ workload.TaskID) {
				if worker == "a" {
					once.Do(func() { time.AfterFunc(crashDelay, func() { f.withLock(func() { f.crashUnder("a", step.Gang) }) }) })
				}
			}
			s := newSystem(t, f)
			s.awaitOnLoop(func() bool { return s.o.sessions["a"] != nil && len(s.o.sessions) == 3 })
			s.submit("j", step)
			if step.LongRunning {
				require.Eventually(t, func() bool {
					done := false
					s.withLock(func() { done = len(s.crashed) == 1 && s.serving() == step.Count })
					return done
				}, 10*time.Second, 20*time.Millisecond)
				return
			}
			require.Eventually(t, func() bool { return s.status("j") == workload.Completed }, 10*time.Second, 20*time.Millisecond)
			s.withLock(func() { require.Len(t, s.crashed, 1) })
		})
	}
}

// crashUnder crashes a worker. The other members of a gang end with it.
func (f *fakeFleet) crashUnder(worker string, gang bool) {
	f.crash(worker)
	for _, w := range f.workers {
		for task, r := range w.running {
			if gang {
				f.end(w, task, r, workload.GangBroken)
			}
		}
	}
}

// TestJobRunsAgainAfterCrashOfAllowedWorker guards against the same where the policy service allows the
// step on one worker only.
func TestJobRunsAgainAfterCrashOfAllowedWorker(t *testing.T) {
	t.Parallel()
	s, _ := newAdvisedSystem(t, 3, "w00")
	var once sync.Once
	s.withLock(func() {
		s.keepsID, s.taskTime = true, 300*time.Millisecond
		s.started = func(worker string, _ workload.TaskID) {
			once.Do(func() { time.AfterFunc(crashDelay, func() { s.withLock(func() { s.crash(worker) }) }) })
		}
	})
	s.submit("j", oneCoreTasks(1))
	require.Eventually(t, func() bool { return s.status("j") == workload.Completed }, 10*time.Second, 20*time.Millisecond)
	s.withLock(func() { require.Len(t, s.crashed, 1) })
}

// TestOnlyWorkerOfOpenJobIsNotLent guards against a job whose later step waits for good because the
// instance of the only worker that can run it was switched off or lent to another pool.
func TestOnlyWorkerOfOpenJobIsNotLent(t *testing.T) {
	for name, last := range map[string]workload.Step{
		"label": {Count: 1, Resources: oneCore, Label: "only"},
		"size":  {Count: 1, Resources: resources.Amount{MilliCPU: 6000, MemoryMB: 10}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeFleet(t, "a", "b", "c", "d")
			f.taskTime = 4 * time.Second
			f.workers["a"].labels, f.workers["b"].labels = []string{"a", "only"}, []string{"a", "first"}
			f.workers["a"].capacity.MilliCPU = 8000
			s := newSystem(t, f)
			s.apply(&workload.Topology{Version: 2, Queues: []workload.Queue{{
				Name: "q", Host: "h", Prefix: "/q/", Public: true, Timeout: 3 * time.Second, Pool: "p", MaxAttempts: 3, Stretch: 10, Slack: time.Minute,
			}}, Pools: []workload.Pool{{Name: "p"}, {Name: "spare", Spare: true}}})
			last.DependsOn = []int{0}
			s.submit("j", workload.Step{Count: 1, Resources: oneCore, Label: "first"}, last)
			s.await("j", workload.Completed)
			s.withLock(func() { require.NotEmpty(t, s.moved, "unneeded instances are switched off") })
		})
	}
}
