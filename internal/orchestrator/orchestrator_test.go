package orchestrator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/resources"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/state"
	"cactusspar/internal/workload"
)

var oneCore = resources.Amount{MilliCPU: 1000, MemoryMB: 10}

// TestJobRunsStepsInOrder guards against steps that run out of order and tasks that run
// more than once or not at all.
func TestJobRunsStepsInOrder(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b"))
	s.submit("j1", workload.Step{Count: 6, Resources: oneCore}, workload.Step{Count: 3, Resources: oneCore, DependsOn: []int{0}})
	s.await("j1", workload.Completed)
	s.withLock(func() {
		require.Len(t, s.starts, 9)
		for task, n := range s.starts {
			require.Equal(t, 1, n, task.String())
		}
	})
}

// TestLostResponsesDoNotRunTaskTwice guards against a second run of a task on another
// worker after the start or its response was lost.
func TestLostResponsesDoNotRunTaskTwice(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	n := 0
	f.deliver = func(string, string) (bool, bool) {
		n++
		return n%3 != 0, n%4 != 0
	}
	s := newSystem(t, f)
	for i := range 10 {
		s.submit(fmt.Sprintf("j%d", i), workload.Step{Count: 4, Resources: oneCore})
	}
	for i := range 10 {
		s.await(fmt.Sprintf("j%d", i), workload.Completed)
	}
	s.withLock(func() {
		for task, n := range s.starts {
			require.Equal(t, 1, n, task.String())
		}
	})
}

// TestUnreachableWorkerKeepsTasksUntilLeaseEnd guards against two concurrent runs of a
// task when a worker becomes unreachable but continues to run: its tasks may start
// elsewhere only after its lease has ended.
func TestUnreachableWorkerKeepsTasksUntilLeaseEnd(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime, f.lease = 0, 4*time.Second // longer than silentAfter
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 2, Resources: oneCore})
	s.awaitRunning("a", 2)
	s.withLock(func() {
		s.workers["a"].unreachable = true
		s.workers["b"] = newFakeWorker("b", 1)
	})
	s.awaitRunning("b", 2)
	s.withLock(func() { s.taskTime = time.Millisecond })
	s.await("j1", workload.Completed)
}

// TestPlatformListRemovesCrashedWorkerBeforeLeaseEnd guards against tasks of a crashed
// worker that wait for the end of its lease although the platform lists the instance as
// down.
func TestPlatformListRemovesCrashedWorkerBeforeLeaseEnd(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime, f.lease = 0, time.Minute
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 2, Resources: oneCore})
	s.awaitRunning("a", 2)
	time.Sleep(listInterval) // until the worker was listed
	s.withLock(func() {
		delete(s.workers, "a")
		s.instances["m-a"].State, s.instances["m-a"].Worker = executor.Down, ""
		s.workers["b"] = newFakeWorker("b", 1)
	})
	s.awaitRunning("b", 2)
}

// TestEndsOfNewIncarnationAreNotDiscarded guards against an acknowledgement for a
// worker's former incarnation that discards ends of the next one, whose numbers are
// lower: their tasks would run again. The worker restarts unnoticed while it is idle.
func TestEndsOfNewIncarnationAreNotDiscarded(t *testing.T) {
	f := newFakeFleet(t, "a")
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 4, Resources: oneCore})
	s.await("j1", workload.Completed)
	time.Sleep(pollWait)
	s.withLock(func() {
		s.workers["a"] = newFakeWorker("a", 2)
		s.workers["a"].noReports = true
		s.taskTime = time.Millisecond
	})
	s.submit("j2", workload.Step{Count: 4, Resources: oneCore})
	time.Sleep(200 * time.Millisecond)
	s.withLock(func() { s.workers["a"].noReports = false })
	s.await("j2", workload.Completed)
}

// TestFailedPollInvalidatesIncarnation guards against ends of a new incarnation that
// are discarded after a quick restart. After a failed call, the worker may be another
// incarnation.
func TestFailedPollInvalidatesIncarnation(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("j1", workload.Step{Count: 1, Resources: oneCore})
	s.await("j1", workload.Completed)
	require.NoError(t, s.replica.Await(context.Background(), func(done func(error)) {
		defer done(nil)
		session := s.o.sessions["a"]
		session.responsive, session.listedAt = true, boottime.Now()
		s.o.pollFailed(session, errNoResponse, boottime.Now())
		require.Zero(t, session.listedAt)
		require.False(t, session.responsive)
	}))
}

// TestRunEndedOnNextIncarnationCounts guards against a task that runs again although a
// repeated start reached the worker's next incarnation and the run ended there before
// the leader knew of that incarnation.
func TestRunEndedOnNextIncarnationCounts(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = time.Millisecond
	lost := true
	f.deliver = func(order, _ string) (bool, bool) { return order != "start" || !lost, order != "start" || !lost }
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 4, Resources: oneCore})
	time.Sleep(60 * time.Millisecond)
	s.withLock(func() {
		s.workers["a"] = newFakeWorker("a", 2)
		s.workers["a"].noReports = true
		s.pollsLost, lost = true, false
	})
	time.Sleep(100 * time.Millisecond)
	s.withLock(func() { s.workers["a"].noReports = false })
	time.Sleep(200 * time.Millisecond) // until the stops on the next incarnation have responses
	s.withLock(func() { s.pollsLost = false })
	s.await("j1", workload.Completed)
	s.withLock(func() {
		for task, n := range s.starts {
			require.Equal(t, 1, n, task.String())
		}
	})
}

// TestQueuedOrdersSurviveWorkerRestart guards against orders that are queued when their
// worker restarts and are then neither sent nor given up.
func TestQueuedOrdersSurviveWorkerRestart(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.startDelay = 50 * time.Millisecond
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 20, Resources: resources.Amount{MilliCPU: 100}})
	time.Sleep(120 * time.Millisecond)
	s.withLock(func() { s.workers["a"] = newFakeWorker("a", 2) })
	s.await("j1", workload.Completed)
}

// TestNewIncarnationGetsHigherFence guards against a delayed order for a former
// incarnation that takes effect on the next one.
func TestNewIncarnationGetsHigherFence(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 1, Resources: oneCore})
	s.awaitRunning("a", 1)
	var former uint64
	s.withLock(func() {
		former = s.workers["a"].fence
		s.workers["a"] = newFakeWorker("a", 2)
	})
	s.awaitRunning("a", 1)
	require.Eventually(t, func() bool {
		fence := uint64(0)
		s.withLock(func() { fence = s.workers["a"].fence })
		return fence > former
	}, 20*time.Second, 10*time.Millisecond)
}

// TestWorkerRestartLosesRuns guards against tasks that are lost or run twice when a
// worker restarts under the same ID.
func TestWorkerRestartLosesRuns(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 3, Resources: oneCore})
	s.awaitRunning("a", 3)
	s.withLock(func() { s.workers["a"] = newFakeWorker("a", 2) })
	s.awaitRunning("a", 3)
	s.withLock(func() { s.taskTime = time.Millisecond })
	s.await("j1", workload.Completed)
}

// TestCancelledJobStops guards against tasks of a cancelled job that continue, also when
// the response to their start or their stop was lost.
func TestCancelledJobStops(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.taskTime = 0
	n := 0
	f.deliver = func(order, _ string) (bool, bool) {
		n++
		return order != "stop" || n%2 == 0, n%3 != 0
	}
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 6, Resources: oneCore})
	require.Equal(t, Accepted, s.call(MethodCancel, &Call{Path: "/q/" + jobID("j1")}).Outcome)
	require.Equal(t, workload.Cancelled, s.status("j1"))
	s.awaitRunning("a", 0)
	s.awaitRunning("b", 0)
	require.Equal(t, Missing, s.call(MethodCancel, &Call{Path: "/q/" + jobID("unknown")}).Outcome)
}

// TestUnknownRunsAreStopped guards against a run that is not in the state and continues
// indefinitely, such as one whose start took effect late.
func TestUnknownRunsAreStopped(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 1, Resources: oneCore})
	s.awaitRunning("a", 1)
	stray := workload.TaskID{Job: "stray"}
	s.withLock(func() { s.workers["a"].running[stray] = &fakeRun{number: 1, startedAt: time.Now()} })
	s.awaitRunning("a", 1)
	s.withLock(func() { require.NotContains(t, s.workers["a"].running, stray) })
}

// TestTakeoverContinuesCommittedRuns guards against tasks that run twice or are lost
// when another leader takes over with outstanding orders, and against ends that are
// acknowledged before they are committed.
func TestTakeoverContinuesCommittedRuns(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.taskTime, f.lease = 200*time.Millisecond, takeoverLease
	s := newSystem(t, f)
	for i := range 8 {
		s.submit(fmt.Sprintf("j%d", i), workload.Step{Count: 3, Resources: oneCore}, workload.Step{Count: 2, Resources: oneCore, DependsOn: []int{0}})
	}
	require.Eventually(t, func() bool { return s.runningOn("a")+s.runningOn("b") > 0 }, 20*time.Second, time.Millisecond)
	s.restart()
	for i := range 8 {
		s.await(fmt.Sprintf("j%d", i), workload.Completed)
	}
	s.withLock(func() {
		for task, n := range s.starts {
			require.Equal(t, 1, n, task.String())
		}
	})
}

// TestTakeoverSendsUnsentOrders guards against a committed run whose start was never
// sent: its task would wait indefinitely, because it has a run.
func TestTakeoverSendsUnsentOrders(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.deliver = func(string, string) (bool, bool) { return false, false }
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 4, Resources: oneCore})
	time.Sleep(100 * time.Millisecond) // until the runs are committed
	s.restart()
	s.withLock(func() { s.deliver = func(string, string) (bool, bool) { return true, true } })
	s.await("j1", workload.Completed)
	s.withLock(func() { require.Len(t, s.starts, 4) })
}

// TestFailingJobDoesNotMarkWorkerSuspect guards against a worker that gets no tasks
// because of a job that fails everywhere.
func TestFailingJobDoesNotMarkWorkerSuspect(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.fails[jobID("bad")] = true
	s := newSystem(t, f)
	s.submit("bad", workload.Step{Count: 4, Resources: oneCore})
	s.await("bad", workload.Failed)
	began := time.Now()
	s.submit("good", workload.Step{Count: 4, Resources: oneCore})
	s.await("good", workload.Completed)
	require.Less(t, time.Since(began), firstSuspectPause+5*time.Second)
	s.withLock(func() {
		for task, n := range s.starts {
			if task.Job == jobID("bad") {
				require.LessOrEqual(t, n, 3, "attempts of %s", task)
			}
		}
	})
}

// TestSilentIdleWorkerReturnsToUse guards against an idle worker that remains unused
// after its reports failed for a while.
func TestSilentIdleWorkerReturnsToUse(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("j1", workload.Step{Count: 1, Resources: oneCore})
	s.await("j1", workload.Completed)
	// The reports stop until the worker counts as silent, and resume before it is
	// removed.
	s.withLock(func() { s.workers["a"].unreachable = true })
	time.Sleep(confirmationValidity + testLease + 300*time.Millisecond)
	s.withLock(func() { s.workers["a"].unreachable = false })
	s.submit("j2", workload.Step{Count: 1, Resources: oneCore})
	s.await("j2", workload.Completed)
}

// TestWaveRespectsCapAndDisruptionBudget guards against a wave that takes down more
// instances than its cap, stops more tasks of a step than its MaxUnavailable allows, or
// is reported as done too early.
func TestWaveRespectsCapAndDisruptionBudget(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c", "d")
	s := newSystem(t, f)
	budget := 1
	s.submit("serve", workload.Step{Count: 3, Resources: oneCore, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: &budget})
	require.Eventually(t, func() bool {
		n := 0
		s.withLock(func() { n = s.serving() })
		return n == 3
	}, 20*time.Second, 10*time.Millisecond)
	wave := &workload.Wave{ID: 1, Instances: []string{"m-a", "m-b", "m-c"}, Cap: 2, TimeLimit: 20 * time.Second}
	s.eventually(func(ctx context.Context) error { return s.o.StartWave(ctx, wave) })
	done := func() bool {
		var status *WaveStatus
		s.eventually(func(ctx context.Context) (err error) {
			status, err = s.o.WaveStatus(ctx, 1)
			return err
		})
		return status.Done
	}
	back := 0
	require.Eventually(t, func() bool {
		var down []string
		s.withLock(func() {
			for id, i := range s.instances {
				if i.State != "up" {
					down = append(down, id)
				}
			}
		})
		for _, id := range down {
			back++
			s.endMaintenance(id, fmt.Sprintf("new-%d", back))
		}
		return done()
	}, 40*time.Second, 50*time.Millisecond)
	s.withLock(func() {
		require.LessOrEqual(t, s.maxDown, 2)
		require.GreaterOrEqual(t, s.minServing, 2, "more tasks were interrupted than allowed")
		require.Equal(t, 3, back+s.down, "every instance had its maintenance")
	})
}

// TestJobsAreIsolatedByTeam guards against a caller that can see or cancel another
// team's job, and against a withdrawn key that is still accepted.
func TestJobsAreIsolatedByTeam(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	x, y := workload.HashKey("x"), workload.HashKey("y")
	keyed := &workload.Topology{
		Version: 2, Pools: []workload.Pool{{Name: "p"}}, Teams: []workload.Team{{Name: "x", Keys: []workload.KeyHash{x}}, {Name: "y", Keys: []workload.KeyHash{y}}},
		Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Stretch: 10, Slack: time.Minute, Timeout: 3 * time.Second}},
	}
	s.apply(keyed)
	path := "/q/" + jobID("j1")
	job := func() *workload.Job { return &workload.Job{Steps: []workload.Step{{Count: 1, Resources: oneCore}}} }
	require.Equal(t, Unauthorized, s.call(MethodSubmit, &Call{Path: path, Job: job()}).Outcome)
	require.Equal(t, Accepted, s.call(MethodSubmit, &Call{Path: path, Key: &x, Job: job()}).Outcome)
	require.Equal(t, Missing, s.call(MethodStatus, &Call{Path: path, Key: &y}).Outcome)
	require.Equal(t, Missing, s.call(MethodCancel, &Call{Path: path, Key: &y}).Outcome)
	require.Equal(t, Found, s.call(MethodStatus, &Call{Path: path, Key: &x}).Outcome)
	withdrawn := *keyed
	withdrawn.Version, withdrawn.Teams = 3, keyed.Teams[1:]
	s.apply(&withdrawn)
	require.Equal(t, Unauthorized, s.call(MethodStatus, &Call{Path: path, Key: &x}).Outcome)
}

// TestTakeoverVacatesInstanceBeforeMaintenance guards against a new leader that repeats
// the maintenance request for an instance although long-running tasks were placed on it
// in the meantime.
func TestTakeoverVacatesInstanceBeforeMaintenance(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.platformDown = true
	s := newSystem(t, f)
	wave := &workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Second}
	s.eventually(func(ctx context.Context) error { return s.o.StartWave(ctx, wave) })
	ordered := func() bool {
		done := false
		require.NoError(t, s.replica.Read(context.Background(), func(st *state.State) { done = len(st.Workload.Waves[1].Ordered) == 1 }))
		return done
	}
	require.Eventually(t, ordered, 20*time.Second, 20*time.Millisecond)
	s.restart()
	budget := 1
	s.submit("serve", workload.Step{Count: 2, Resources: oneCore, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: &budget})
	s.awaitRunning("b", 1)
	time.Sleep(2 * fleetInterval)
	s.withLock(func() { s.platformDown = false })
	require.Eventually(t, func() bool {
		down := 0
		s.withLock(func() { down = s.down })
		return down == 1
	}, 20*time.Second, 20*time.Millisecond)
}

// TestTakeoverWaitsForPredecessorsStops guards against a new leader that counts a run as
// serving although its predecessor told it to stop, and therefore stops more tasks of a
// step than its MaxUnavailable allows.
func TestTakeoverWaitsForPredecessorsStops(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c")
	f.stopGrace, f.lease = 4*time.Second, takeoverLease
	s := newSystem(t, f)
	budget := 1
	s.submit("serve", workload.Step{Count: 2, Resources: oneCore, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: &budget})
	serving := func(n int) func() bool {
		return func() bool {
			is := 0
			s.withLock(func() { is = s.serving() })
			return is == n
		}
	}
	require.Eventually(t, serving(2), 20*time.Second, 10*time.Millisecond)
	time.Sleep(2 * pollWait) // until both are known to serve
	var instances []string
	s.withLock(func() {
		for id, w := range s.workers {
			if len(w.running) > 0 {
				instances = append(instances, "m-"+id)
			}
		}
	})
	require.Len(t, instances, 2)
	start := func(id uint64, instance string) {
		wave := &workload.Wave{ID: id, Instances: []string{instance}, Cap: 1, TimeLimit: 20 * time.Second}
		s.eventually(func(ctx context.Context) error { return s.o.StartWave(ctx, wave) })
	}
	start(2, instances[0])
	require.Eventually(t, serving(1), 20*time.Second, 2*time.Millisecond)
	start(1, instances[1]) // the new leader processes this wave first
	s.restart()
	time.Sleep(f.stopGrace + testLease)
	s.withLock(func() { require.Equal(t, 1, s.minServing, "lowest number of long-running tasks that serve requests") })
}

// TestNewLeaderKeepsInstancesUntilLoadIsKnown guards against a new leader that switches
// instances off because it has not seen the load they are needed for. This happens when
// the leader fails during a load peak.
func TestNewLeaderKeepsInstancesUntilLoadIsKnown(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c", "d")
	f.platformDown = true
	s := newSystem(t, f)
	s.apply(&workload.Topology{Version: 2, Pools: []workload.Pool{{Name: "p"}, {Name: "spare", Spare: true}}})
	s.restart()
	restarted := time.Now()
	s.withLock(func() { s.platformDown = false })
	moved := func() bool {
		n := 0
		s.withLock(func() { n = len(s.moved) })
		return n > 0
	}
	require.Eventually(t, moved, 20*time.Second, 10*time.Millisecond, "instances that nobody needs are switched off")
	s.withLock(func() { require.Greater(t, s.moved[0].Sub(restarted), switchOffAfter) })
}

// TestGangRestartsWhenMemberIsRefused guards against members of a gang that wait
// indefinitely for one whose start was refused.
func TestGangRestartsWhenMemberIsRefused(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.taskTime = 0
	refused := 0
	f.full = func(worker string) bool {
		if worker == "a" && refused == 0 {
			refused++
			return true
		}
		return false
	}
	s := newSystem(t, f)
	s.submit("gang", workload.Step{Count: 8, Resources: oneCore, Gang: true, Estimate: time.Second})
	require.Eventually(t, func() bool {
		together := 0
		s.withLock(func() {
			for _, w := range s.workers {
				for _, r := range w.running {
					if r.number == 2 && r.stoppedAt.IsZero() {
						together++
					}
				}
			}
		})
		return together == 8
	}, 10*time.Second, 10*time.Millisecond, "all members run again, under one number")
}

// TestTasksLeaveSlowWorker guards against jobs that wait for tasks on a worker that is
// ten times slower than the others but responds and reports in time, against concurrent
// runs caused by a restart, and against a task that is restarted again and again.
func TestTasksLeaveSlowWorker(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c")
	f.taskTime = time.Second
	f.workers["a"].slowdown = 10
	s := newSystem(t, f)
	began := time.Now()
	s.submit("j1", workload.Step{Count: 12, Resources: oneCore, Estimate: time.Second})
	s.await("j1", workload.Completed)
	require.Less(t, time.Since(began), 8*time.Second)
	s.withLock(func() {
		for task, n := range s.starts {
			require.LessOrEqual(t, n, 1+maxRestarts, task.String())
		}
	})
}

// TestTaskStaysOnItsOnlySlowWorker guards against slow tasks that are stopped although no other worker
// can run them, so that they lose their work and then wait for the same worker.
func TestTaskStaysOnItsOnlySlowWorker(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a", "b", "c")
	f.taskTime = 300 * time.Millisecond
	f.workers["a"].slowdown, f.workers["a"].labels = 8, []string{"a", "only"}
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 2, Resources: oneCore, Estimate: f.taskTime, Label: "only"})
	s.await("j1", workload.Completed)
	s.withLock(func() {
		for task, n := range s.starts {
			require.Equal(t, 1, n, task.String())
		}
	})
}

// TestTakeoverRestoresDemand guards against a new leader that starts without demand
// after its predecessor failed during a load peak. It counts the jobs in the state, and
// callers that were without a leader count as new.
func TestTakeoverRestoresDemand(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = time.Minute
	s := newSystem(t, f)
	for i := range 8 {
		s.submit(fmt.Sprintf("j%d", i), workload.Step{Count: 1, Resources: oneCore, Estimate: time.Second})
	}
	s.restart()
	demand := 0.0
	s.eventually(func(ctx context.Context) error {
		return s.replica.Await(ctx, func(done func(error)) {
			if s.o.leadership == nil {
				done(errNoResponse)
				return
			}
			now := boottime.Now()
			demand = s.o.demand("p").Cores(now)
			late := &workload.Job{SubmitDelay: now.Sub(s.o.leadingSince) + time.Second}
			require.False(t, s.o.submittedBefore(late, now), "its caller asked the former leader")
			done(nil)
		})
	})
	require.Positive(t, demand)
	time.Sleep(2 * retryingAfter)
	require.True(t, s.o.submittedBefore(&workload.Job{SubmitDelay: retryingAfter + time.Millisecond}, boottime.Now()))
}

// TestIncompleteInstanceListChangesNothing guards against a wave that is reported as
// done, and a worker that is removed, because a list read in pages lacks an instance.
func TestIncompleteInstanceListChangesNothing(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.unlisted = map[string]int{"m-a": 2 * maxMissedLists}
	s := newSystem(t, f)
	wave := &workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: 10 * time.Second}
	s.eventually(func(ctx context.Context) error { return s.o.StartWave(ctx, wave) })
	require.Eventually(t, func() bool {
		var status *WaveStatus
		s.eventually(func(ctx context.Context) (err error) {
			status, err = s.o.WaveStatus(ctx, 1)
			return err
		})
		return status.Done
	}, 20*time.Second, 20*time.Millisecond)
	s.withLock(func() { require.Equal(t, 1, s.down, "the instance had its maintenance") })
}

// TestCallsAreResolvedByTheLeader guards against calls that reach a queue other than the
// one in their path.
func TestCallsAreResolvedByTheLeader(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	for path, want := range map[string]CallOutcome{
		"/none/" + jobID("j"): Unresolved, "/q/short": Malformed, "/q/" + jobID("j") + "/x": Malformed,
		"/q/0123456789abcdeg": Malformed, "/q/" + jobID("j"): Missing,
	} {
		require.Equal(t, want, s.call(MethodStatus, &Call{Path: path}).Outcome, path)
	}
	require.Equal(t, Malformed, s.call(MethodSubmit, &Call{Path: "/q/" + jobID("j")}).Outcome, "no job")
	require.Equal(t, Found, s.call(MethodPending, &Call{Path: "/q/"}).Outcome)
}

// TestTopologyVersions guards against a lower version that is refused or takes effect,
// and against accepted calls to a removed queue.
func TestTopologyVersions(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.apply(&workload.Topology{Version: 7, Pools: []workload.Pool{{Name: "p"}}})
	s.apply(&workload.Topology{Version: 3})
	s.apply(&workload.Topology{Version: 7})
	s.eventually(func(ctx context.Context) error {
		current, err := s.o.ReadTopology(ctx)
		if err == nil {
			require.EqualValues(t, 7, current.Version)
			require.Len(t, current.Pools, 1)
		}
		return err
	})
	require.Equal(t, Unresolved, s.call(MethodStatus, &Call{Path: "/q/" + jobID("j1")}).Outcome)
}

// A peak begins, and an instance of another pool is lent that still runs a short task. Its
// cordon must be committed while the task runs, so that the move is not delayed by it.
func TestCordonOfMoveIsCommittedWhileTasksEnd(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = 3 * time.Second
	s := newSystem(t, f)
	s.apply(&workload.Topology{
		Version: 2, Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Public: true, Timeout: 3 * time.Second, Pool: "p", MaxAttempts: 3, Stretch: 10, Slack: time.Minute}},
		Pools: []workload.Pool{{Name: "p"}, {Name: "other"}},
	})
	s.submit("job", workload.Step{Count: 1, Resources: oneCore, Estimate: time.Second})
	s.awaitRunning("a", 1)
	onLoop := func(f func()) {
		require.NoError(t, s.replica.Await(t.Context(), func(done func(error)) {
			f()
			done(nil)
		}))
	}
	listed := func() (ok bool) {
		onLoop(func() { _, ok = s.o.fleet.instances["m-a"] })
		return ok
	}
	require.Eventually(t, listed, 2*time.Second, 10*time.Millisecond)
	onLoop(func() {
		s.o.beginMove(scheduling.Move{Instance: "m-a", From: "p", To: "other", Cores: 4}, boottime.Now())
	})
	cordoned := func() (ok bool) {
		onLoop(func() { ok = s.o.leadership.State().Workers["a"].Cordoned })
		return ok
	}
	require.Eventually(t, cordoned, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, 1, s.runningOn("a"), "the task has ended before the cordon")
}

// Switched-off instances are maintained while their pool is not needed. They have no worker
// that registers afterwards, and must not count as down for the rest of the wave.
func TestWaveGoesOnAfterMaintenanceOfSwitchedOffInstance(t *testing.T) {
	f := newFakeFleet(t, "w")
	for _, id := range []string{"m-a", "m-b"} {
		f.instances[id] = &executor.Instance{ID: id, Pool: "spare", State: executor.Up, Capacity: fakeCapacity}
	}
	s := newSystem(t, f)
	s.apply(&workload.Topology{Version: 2, Pools: []workload.Pool{{Name: "p"}, {Name: "spare", Spare: true}}})
	s.eventually(func(ctx context.Context) error {
		return s.o.StartWave(ctx, &workload.Wave{ID: 1, Instances: []string{"m-a", "m-b"}, Cap: 1, TimeLimit: time.Minute})
	})
	for range 2 {
		var down *executor.Instance
		require.Eventually(t, func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, id := range []string{"m-a", "m-b"} {
				if f.instances[id].State == executor.Maintenance {
					down = f.instances[id]
				}
			}
			return down != nil
		}, 10*time.Second, 5*time.Millisecond)
		time.Sleep(2 * listInterval) // lists show the instance in maintenance
		f.withLock(func() {
			require.Equal(t, 1, f.down)
			down.State = executor.Up
			f.down--
		})
	}
}

// Guards against a task that serves and is stopped, beyond its step's MaxUnavailable,
// because its start was not answered, although the worker has listed it as running since.
func TestRunThatIsListedAfterUnansweredStartsGoesOn(t *testing.T) {
	f := newFakeFleet(t, "w1")
	f.lease = takeoverLease // the run doesn't end by itself
	f.pollsLost = true
	stopsLost, stops := true, 0
	f.deliver = func(order, _ string) (carriedOut, responded bool) {
		if order == "start" {
			return true, false
		}
		stops++
		return !stopsLost, !stopsLost
	}
	s := newSystem(t, f)
	budget := 0
	s.submit("serve", workload.Step{Count: 1, Resources: oneCore, LongRunning: true, MaxUnavailable: &budget})
	require.Eventually(t, func() (gaveUp bool) {
		s.withLock(func() { gaveUp = stops > 0 })
		return gaveUp
	}, 5*time.Second, time.Millisecond)
	s.withLock(func() { f.pollsLost = false })
	time.Sleep(300 * time.Millisecond) // the next polls list the run
	s.withLock(func() { stopsLost = false })
	time.Sleep(300 * time.Millisecond)
	s.withLock(func() { require.Equal(t, 1, f.starts[workload.TaskID{Job: jobID("serve")}]) })
	require.Equal(t, 1, s.runningOn("w1"))
}

// TestRunsOfJobEndedByTopologyAreStopped guards against runs that go on after their job has ended,
// because a topology allows fewer failures than a task of the job already had.
func TestRunsOfJobEndedByTopologyAreStopped(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("j", oneCoreTasks(2))
	s.awaitRunning("a", 2)
	s.apply(&workload.Topology{Version: 2, Pools: []workload.Pool{{Name: "other"}}}) // nothing starts in p
	s.propose(&workload.Command{Ends: []workload.RunEnd{{Worker: "a", Incarnation: 1, Sequence: 1, Task: firstTask("j"), Run: 1, Outcome: workload.RunFailed}}})
	s.awaitRunning("a", 1)
	s.awaitOnLoop(func() bool { return s.o.sessions["a"].lastProposedEnd > 0 && s.o.pending.Empty() && s.o.proposals == 0 })
	s.apply(&workload.Topology{
		Version: 3, Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Public: true, Timeout: 3 * time.Second, Pool: "p", MaxAttempts: 1, Stretch: 10, Slack: time.Minute}},
		Pools: []workload.Pool{{Name: "p"}},
	})
	s.awaitRunning("a", 0)
	require.Equal(t, workload.Failed, s.status("j"))
}
