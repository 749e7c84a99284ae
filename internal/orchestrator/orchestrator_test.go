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
	"cactusspar/internal/state"
	"cactusspar/internal/workload"
)

var one = resources.Amount{MilliCPU: 1000, MemoryMB: 10}

// Guards against a path that doesn't serve: steps in order, all tasks once.
func TestJobRunsItsStepsInOrder(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b"))
	s.submit("j1", workload.Step{Count: 6, Need: one}, workload.Step{Count: 3, Need: one, After: []int{0}})
	s.await("j1", workload.Completed)
	s.with(func() {
		require.Len(t, s.starts, 9)
		for task, n := range s.starts {
			require.Equal(t, 1, n, task.String())
		}
	})
}

// Guards against a task that starts elsewhere because the answer to its start, or
// the order itself, was lost.
func TestLostAnswersDoNotRunATaskTwice(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	n := 0
	f.lose = func(string, string) (bool, bool) {
		n++
		return n%3 != 0, n%4 != 0
	}
	s := newSystem(t, f)
	for i := range 10 {
		s.submit(fmt.Sprintf("j%d", i), workload.Step{Count: 4, Need: one})
	}
	for i := range 10 {
		s.await(fmt.Sprintf("j%d", i), workload.Completed)
	}
	s.with(func() {
		for task, n := range s.starts {
			require.Equal(t, 1, n, task.String())
		}
	})
}

// Guards against two runs of a task when a worker is cut off and runs on: its
// tasks may go elsewhere only after its lease has ended.
func TestCutOffWorkerKeepsItsTasksUntilTheLeaseEnds(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime, f.lease = 0, 4*time.Second // longer than a worker may be silent
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 2, Need: one})
	s.awaitRunning("a", 2)
	s.with(func() {
		s.workers["a"].cut = true
		s.workers["b"] = newFakeWorker("b", 1)
	})
	s.awaitRunning("b", 2)
	s.with(func() { s.taskTime = time.Millisecond })
	s.await("j1", workload.Completed)
}

// Guards against tasks of a crashed worker that wait for its lease although the
// platform lists the instance as down.
func TestListOfThePlatformEndsALifeBeforeItsLease(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime, f.lease = 0, time.Minute
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 2, Need: one})
	s.awaitRunning("a", 2)
	time.Sleep(listInterval) // for the list to have named the worker
	s.with(func() {
		delete(s.workers, "a")
		s.instances["m-a"].State, s.instances["m-a"].Worker = executor.Down, ""
		s.workers["b"] = newFakeWorker("b", 1)
	})
	s.awaitRunning("b", 2)
}

// Guards against ends of a later life that are forgotten because a former one
// had counted further: their tasks would run again. The worker started again
// unnoticed while it ran nothing.
func TestEndsOfALaterLifeAreNotForgotten(t *testing.T) {
	f := newFakeFleet(t, "a")
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 4, Need: one})
	s.await("j1", workload.Completed)
	time.Sleep(holdWait)
	s.with(func() {
		s.workers["a"] = newFakeWorker("a", 2)
		s.workers["a"].quiet = true
		s.taskTime = time.Millisecond
	})
	s.submit("j2", workload.Step{Count: 4, Need: one})
	time.Sleep(200 * time.Millisecond)
	s.with(func() { s.workers["a"].quiet = false })
	s.await("j2", workload.Completed)
}

// Guards against ends of a later life that are forgotten after a quick restart: a
// call that failed in between tells that the life may be another one.
func TestFailedHoldForgetsTheLife(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("j1", workload.Step{Count: 1, Need: one})
	s.await("j1", workload.Completed)
	require.NoError(t, s.replica.Await(context.Background(), func(done func(error)) {
		defer done(nil)
		session := s.o.sessions["a"]
		session.answering, session.listedAt = true, boottime.Now()
		s.o.holdFailed(session, errLost)
		require.Zero(t, session.listedAt)
		require.False(t, session.answering)
	}))
}

// Guards against a task that runs again although a repeated order had reached the
// worker's next life, where the run has ended before the leader knew of it.
func TestRunThatEndedOnTheNextLifeCounts(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = time.Millisecond
	lost := true
	f.lose = func(order, _ string) (bool, bool) { return order != "start" || !lost, order != "start" || !lost }
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 4, Need: one})
	time.Sleep(60 * time.Millisecond)
	s.with(func() {
		s.workers["a"] = newFakeWorker("a", 2)
		s.workers["a"].quiet = true
		s.unheld, lost = true, false
	})
	time.Sleep(100 * time.Millisecond)
	s.with(func() { s.workers["a"].quiet = false })
	time.Sleep(200 * time.Millisecond) // the stops on the next life are answered
	s.with(func() { s.unheld = false })
	s.await("j1", workload.Completed)
	s.with(func() {
		for task, n := range s.starts {
			require.Equal(t, 1, n, task.String())
		}
	})
}

// Guards against orders that wait to be sent when their worker is born again, and
// are never sent nor given up.
func TestOrdersThatWaitSurviveARebirth(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.startDelay = 50 * time.Millisecond
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 20, Need: resources.Amount{MilliCPU: 100}})
	time.Sleep(120 * time.Millisecond)
	s.with(func() { s.workers["a"] = newFakeWorker("a", 2) })
	s.await("j1", workload.Completed)
}

// Guards against an order for a former life that arrives late at the next one.
func TestLaterLifeGetsAHigherFence(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 1, Need: one})
	s.awaitRunning("a", 1)
	var former uint64
	s.with(func() {
		former = s.workers["a"].fence
		s.workers["a"] = newFakeWorker("a", 2)
	})
	s.awaitRunning("a", 1)
	require.Eventually(t, func() bool {
		fence := uint64(0)
		s.with(func() { fence = s.workers["a"].fence })
		return fence > former
	}, 20*time.Second, 10*time.Millisecond)
}

// Guards against runs that are lost, or doubled, when a worker starts again under
// its identity.
func TestWorkerBornAgainLosesItsRuns(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 3, Need: one})
	s.awaitRunning("a", 3)
	s.with(func() { s.workers["a"] = newFakeWorker("a", 2) })
	s.awaitRunning("a", 3)
	s.with(func() { s.taskTime = time.Millisecond })
	s.await("j1", workload.Completed)
}

// Guards against tasks of a cancelled job that go on, also when their start was
// answered late or their stop was lost.
func TestCancelledJobStops(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.taskTime = 0
	n := 0
	f.lose = func(order, _ string) (bool, bool) {
		n++
		return order != "stop" || n%2 == 0, n%3 != 0
	}
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 6, Need: one})
	require.Equal(t, Accepted, s.call(MethodCancel, &Call{Path: "/q/" + jobID("j1")}).Outcome)
	require.Equal(t, workload.Cancelled, s.status("j1"))
	s.awaitRunning("a", 0)
	s.awaitRunning("b", 0)
	require.Equal(t, Missing, s.call(MethodCancel, &Call{Path: "/q/" + jobID("unknown")}).Outcome)
}

// Guards against a run that nobody knows and that goes on for ever, such as one
// whose order was carried out late.
func TestUnknownRunsAreStopped(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 1, Need: one})
	s.awaitRunning("a", 1)
	stray := workload.TaskID{Job: "stray"}
	s.with(func() { s.workers["a"].running[stray] = &fakeRun{number: 1, since: time.Now()} })
	s.awaitRunning("a", 1)
	s.with(func() { require.NotContains(t, s.workers["a"].running, stray) })
}

// Guards against tasks that run twice or get lost when another leader takes over
// with orders open, and against ends that are forgotten before they are committed.
func TestTakeoverGoesOnWithCommittedRuns(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.taskTime = 200 * time.Millisecond
	s := newSystem(t, f)
	for i := range 8 {
		s.submit(fmt.Sprintf("j%d", i), workload.Step{Count: 3, Need: one}, workload.Step{Count: 2, Need: one, After: []int{0}})
	}
	s.restart()
	for i := range 8 {
		s.await(fmt.Sprintf("j%d", i), workload.Completed)
	}
	s.with(func() {
		for task, n := range s.starts {
			require.Equal(t, 1, n, task.String())
		}
	})
}

// Guards against a committed run whose order was never sent: it would wait for
// ever, because the task has a run.
func TestTakeoverSendsOrdersThatWereNotSent(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.lose = func(string, string) (bool, bool) { return false, false }
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 4, Need: one})
	time.Sleep(100 * time.Millisecond) // for the runs to be committed
	s.restart()
	s.with(func() { s.lose = func(string, string) (bool, bool) { return true, true } })
	s.await("j1", workload.Completed)
	s.with(func() { require.Len(t, s.starts, 4) })
}

// Guards against a worker that is put aside because of a job that fails
// everywhere.
func TestFailingJobEndsAndBlamesNobody(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.fails[jobID("bad")] = true
	s := newSystem(t, f)
	s.submit("bad", workload.Step{Count: 4, Need: one})
	s.await("bad", workload.Failed)
	began := time.Now()
	s.submit("good", workload.Step{Count: 4, Need: one})
	s.await("good", workload.Completed)
	require.Less(t, time.Since(began), firstPause+5*time.Second)
	s.with(func() {
		for task, n := range s.starts {
			if task.Job == jobID("bad") {
				require.LessOrEqual(t, n, 3, "attempts of %s", task)
			}
		}
	})
}

// Guards against an idle worker that is taken for silent between two reports.
func TestIdleWorkersStayInUse(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("j1", workload.Step{Count: 1, Need: one})
	s.await("j1", workload.Completed)
	// Its reports stay away until it counts as silent, and come again before it is
	// removed.
	s.with(func() { s.workers["a"].cut = true })
	time.Sleep(authority + testLease + 300*time.Millisecond)
	s.with(func() { s.workers["a"].cut = false })
	s.submit("j2", workload.Step{Count: 1, Need: one})
	s.await("j2", workload.Completed)
}

// Guards against a wave that takes more instances than its cap, interrupts more
// tasks of a step than that allows, or is called done too early.
func TestWaveKeepsItsCapAndTheBudgetOfTasks(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c", "d")
	s := newSystem(t, f)
	budget := 1
	s.submit("serve", workload.Step{Count: 3, Need: one, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: &budget})
	require.Eventually(t, func() bool {
		n := 0
		s.with(func() { n = s.lasting() })
		return n == 3
	}, 20*time.Second, 10*time.Millisecond)
	wave := &workload.Wave{ID: 1, Instances: []string{"m-a", "m-b", "m-c"}, Cap: 2, Within: 20 * time.Second}
	s.try(func(ctx context.Context) error { return s.o.StartWave(ctx, wave) })
	done := func() bool {
		var status *WaveStatus
		s.try(func(ctx context.Context) (err error) {
			status, err = s.o.WaveStatus(ctx, 1)
			return err
		})
		return status.Done
	}
	back := 0
	require.Eventually(t, func() bool {
		var down []string
		s.with(func() {
			for id, i := range s.instances {
				if i.State != "up" {
					down = append(down, id)
				}
			}
		})
		for _, id := range down {
			back++
			s.returns(id, fmt.Sprintf("new-%d", back))
		}
		return done()
	}, 40*time.Second, 50*time.Millisecond)
	s.with(func() {
		require.LessOrEqual(t, s.maxDown, 2)
		require.GreaterOrEqual(t, s.minLasting, 2, "more tasks were interrupted than allowed")
		require.Equal(t, 3, back+s.down, "every instance had its maintenance")
	})
}

// Guards against a job of another team that is shown, or cancelled, and against a
// call whose key was withdrawn.
func TestJobsAreTheirTeamsOnly(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	x, y := workload.HashKey("x"), workload.HashKey("y")
	keyed := &workload.Topology{
		Version: 2, Pools: []workload.Pool{{Name: "p"}}, Teams: []workload.Team{{Name: "x", Keys: []workload.KeyHash{x}}, {Name: "y", Keys: []workload.KeyHash{y}}},
		Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Stretch: 10, Slack: time.Minute, Timeout: 3 * time.Second}},
	}
	s.apply(keyed)
	path := "/q/" + jobID("j1")
	job := func() *workload.Job { return &workload.Job{Steps: []workload.Step{{Count: 1, Need: one}}} }
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

// Guards against a new leader that repeats the order for an instance's maintenance
// while serving tasks have been placed on it meanwhile.
func TestTakeoverEmptiesAnInstanceBeforeItsMaintenance(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.deaf = true
	s := newSystem(t, f)
	wave := &workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, Within: time.Second}
	s.try(func(ctx context.Context) error { return s.o.StartWave(ctx, wave) })
	ordered := func() bool {
		done := false
		require.NoError(t, s.replica.Read(context.Background(), func(st *state.State) { done = len(st.Workload.Waves[1].Ordered) == 1 }))
		return done
	}
	require.Eventually(t, ordered, 20*time.Second, 20*time.Millisecond)
	s.restart()
	budget := 1
	s.submit("serve", workload.Step{Count: 2, Need: one, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: &budget})
	s.awaitRunning("b", 1)
	time.Sleep(2 * fleetInterval)
	s.with(func() { s.deaf = false })
	require.Eventually(t, func() bool {
		down := 0
		s.with(func() { down = s.down })
		return down == 1
	}, 20*time.Second, 20*time.Millisecond)
}

// Guards against a new leader that takes a run which its predecessor has told to
// stop for one at work, and interrupts more tasks of a step than that allows.
func TestTakeoverWaitsForStopsOfItsPredecessor(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c")
	f.stopGrace = 4 * time.Second
	s := newSystem(t, f)
	budget := 1
	s.submit("serve", workload.Step{Count: 2, Need: one, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: &budget})
	lasting := func(n int) func() bool {
		return func() bool {
			is := 0
			s.with(func() { is = s.lasting() })
			return is == n
		}
	}
	require.Eventually(t, lasting(2), 20*time.Second, 10*time.Millisecond)
	time.Sleep(2 * holdWait) // for both to be known to serve
	start := func(id uint64, instance string) {
		wave := &workload.Wave{ID: id, Instances: []string{instance}, Cap: 1, Within: 20 * time.Second}
		s.try(func(ctx context.Context) error { return s.o.StartWave(ctx, wave) })
	}
	start(2, "m-a")
	require.Eventually(t, lasting(1), 20*time.Second, 2*time.Millisecond)
	start(1, "m-b") // the new leader looks at it first
	s.restart()
	time.Sleep(f.stopGrace + testLease)
	s.with(func() { require.Equal(t, 1, s.minLasting, "tasks at work at the worst moment") })
}

// Pattern: the leader is lost in a peak. Guards against a new one that switches
// instances off because it has not seen what they were needed for.
func TestNewLeaderKeepsInstancesUntilItKnowsTheLoad(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c", "d")
	f.deaf = true
	s := newSystem(t, f)
	s.apply(&workload.Topology{Version: 2, Pools: []workload.Pool{{Name: "p"}, {Name: "spare", Spare: true}}})
	s.restart()
	restarted := time.Now()
	s.with(func() { s.deaf = false })
	moved := func() bool {
		n := 0
		s.with(func() { n = len(s.moved) })
		return n > 0
	}
	require.Eventually(t, moved, 20*time.Second, 10*time.Millisecond, "instances that nobody needs are switched off")
	s.with(func() { require.Greater(t, s.moved[0].Sub(restarted), switchOffAfter) })
}

// Guards against members of a gang that wait for one which was refused.
func TestGangIsStoppedWhenAMemberIsRefused(t *testing.T) {
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
	s.submit("gang", workload.Step{Count: 8, Need: one, Gang: true, Estimate: time.Second})
	require.Eventually(t, func() bool {
		together := 0
		s.with(func() {
			for _, w := range s.workers {
				for _, r := range w.running {
					if r.number == 2 && r.stopped.IsZero() {
						together++
					}
				}
			}
		})
		return together == 8
	}, 10*time.Second, 10*time.Millisecond, "all members run again, under one number")
}

// Pattern: a worker turns ten times slower while it answers and reports well.
// Guards against jobs that wait for their tasks there, against runs that are
// doubled by their restart, and against one that is stopped again and again.
func TestSlowWorkerLosesItsTasks(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c")
	f.taskTime = time.Second
	f.workers["a"].slow = 10
	s := newSystem(t, f)
	began := time.Now()
	s.submit("j1", workload.Step{Count: 12, Need: one, Estimate: time.Second})
	s.await("j1", workload.Completed)
	require.Less(t, time.Since(began), 8*time.Second)
	s.with(func() {
		for task, n := range s.starts {
			require.LessOrEqual(t, n, 1+maxRestarts, task.String())
		}
	})
}

// Pattern: the leader is lost in a peak. Guards against a new one that begins
// without demand: it knows the jobs of its predecessor, and callers that found no
// leader come to it for the first time.
func TestTakeoverKnowsTheDemand(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = time.Minute
	s := newSystem(t, f)
	for i := range 8 {
		s.submit(fmt.Sprintf("j%d", i), workload.Step{Count: 1, Need: one, Estimate: time.Second})
	}
	s.restart()
	demand := 0.0
	s.try(func(ctx context.Context) error {
		return s.replica.Await(ctx, func(done func(error)) {
			if s.o.lead == nil {
				done(errLost)
				return
			}
			now := boottime.Now()
			demand = s.o.demand("p").Cores(now)
			late := &workload.Job{Waited: now.Sub(s.o.since) + time.Second}
			require.False(t, s.o.askedBefore(late, now), "its caller asked the former leader")
			done(nil)
		})
	})
	require.Positive(t, demand)
	time.Sleep(2 * returnedAfter)
	require.True(t, s.o.askedBefore(&workload.Job{Waited: returnedAfter + time.Millisecond}, boottime.Now()))
}

// Guards against a wave that is called done, and a worker that is given up, because
// a list in pages left an instance out.
func TestListThatLeavesAnInstanceOutChangesNothing(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.unlisted = map[string]int{"m-a": 2 * goneAfter}
	s := newSystem(t, f)
	wave := &workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, Within: 10 * time.Second}
	s.try(func(ctx context.Context) error { return s.o.StartWave(ctx, wave) })
	require.Eventually(t, func() bool {
		var status *WaveStatus
		s.try(func(ctx context.Context) (err error) {
			status, err = s.o.WaveStatus(ctx, 1)
			return err
		})
		return status.Done
	}, 20*time.Second, 20*time.Millisecond)
	s.with(func() { require.Equal(t, 1, s.down, "the instance had its maintenance") })
}

// Guards against calls that reach another queue than they name.
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

// Guards against a lower version that is refused or takes effect, and against
// calls to a queue that has been removed.
func TestTopologyVersions(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.apply(&workload.Topology{Version: 7, Pools: []workload.Pool{{Name: "p"}}})
	s.apply(&workload.Topology{Version: 3})
	s.apply(&workload.Topology{Version: 7})
	s.try(func(ctx context.Context) error {
		current, err := s.o.ReadTopology(ctx)
		if err == nil {
			require.EqualValues(t, 7, current.Version)
			require.Len(t, current.Pools, 1)
		}
		return err
	})
	require.Equal(t, Unresolved, s.call(MethodStatus, &Call{Path: "/q/" + jobID("j1")}).Outcome)
}
