package orchestrator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/resources"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// maxTimeAway is how long a long-running task may have no run because of a drain: until the drain is
// given up, and a restart.
const maxTimeAway = drainPatience + 2*time.Second

// watchTasks watches the long-running tasks of a job until the given waves are done, for a time at
// most, and returns how long one of them had no run. Instances in maintenance are back after the given
// time.
func (s *system) watchTasks(job string, tasks int, watch, maintenance time.Duration, waves ...uint64) time.Duration {
	s.t.Helper()
	lastRun, back := make([]time.Time, tasks), map[string]time.Time{}
	for i := range lastRun {
		lastRun[i] = time.Now()
	}
	longest, returned := time.Duration(0), 0
	for begin := time.Now(); time.Since(begin) < watch; time.Sleep(10 * time.Millisecond) {
		n := 0
		s.withLock(func() { n = s.serving() })
		if len(waves) > 0 && n == tasks && !slices.ContainsFunc(waves, func(id uint64) bool { return !s.waveDone(id) }) {
			break
		}
		s.withLock(func() {
			for _, w := range s.workers {
				s.advance(w)
				for task, r := range w.running {
					if task.Job == jobID(job) && r.stoppedAt.IsZero() {
						lastRun[task.Index] = time.Now()
					}
				}
			}
			for id, i := range s.instances {
				if i.State != executor.Maintenance {
					delete(back, id)
				} else if back[id].IsZero() {
					back[id] = time.Now().Add(maintenance)
				}
			}
		})
		for id, at := range back {
			if time.Now().After(at) {
				returned++
				s.endMaintenance(id, fmt.Sprintf("%s-%d", id, returned))
				delete(back, id)
			}
		}
		for _, at := range lastRun {
			longest = max(longest, time.Since(at))
		}
	}
	return longest
}

// serveTasks submits a job of long-running tasks with a disruption budget and waits until all run.
func (s *system) serveTasks(step workload.Step, tasks, budget int) {
	s.t.Helper()
	step.Count, step.LongRunning, step.MaxUnavailable = tasks, true, &budget
	s.submit("serve", step)
	require.Eventually(s.t, func() bool {
		n := 0
		s.withLock(func() { n = s.serving() })
		return n == tasks
	}, 20*time.Second, 10*time.Millisecond)
	time.Sleep(s.mayInterruptAfter())
	s.withLock(func() { s.minServing = 1 << 30 })
}

// smallTask takes so little that a wave may take all instances of a pool at once.
var smallTask = resources.Amount{MilliCPU: 400, MemoryMB: 10}

// mayInterruptAfter is how long a new leader stops no task of a step with a budget.
func (s *system) mayInterruptAfter() time.Duration {
	return confirmationValidity + callTimeout + s.stopGrace
}

func (s *system) waveDone(id uint64) (done bool) {
	s.onLoop(func() { done = s.o.leadership.State().Waves[id].Done() })
	return done
}

// restarts returns how often the given number of tasks were started again.
func (s *system) restarts(tasks int) int {
	n := 0
	s.withLock(func() {
		for _, starts := range s.starts {
			n += starts
		}
	})
	return n - tasks
}

// TestWaveOfAllWorkersOfAStepKeepsItsTasks guards against a long-running task that is stopped for a
// wave and never started again: the wave cordons all workers that the step may use, and the budget
// allows no second stop, so that no maintenance begins.
func TestWaveOfAllWorkersOfAStepKeepsItsTasks(t *testing.T) {
	t.Parallel()
	s := newSystem(t, newFakeFleet(t, "a", "b", "c", "d"))
	s.serveTasks(workload.Step{Resources: smallTask}, 8, 1)
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a", "m-b", "m-c", "m-d"}, Cap: 4, TimeLimit: 10 * time.Second})
	require.Less(t, s.watchTasks("serve", 8, 20*time.Second, 300*time.Millisecond, 1), maxTimeAway)
	require.True(t, s.waveDone(1))
	s.withLock(func() { require.GreaterOrEqual(t, s.minServing, 7) })
}

// TestTaskWithoutOtherPlaceIsNotStopped guards against the same for one instance: the step has
// reached its limit on each other worker.
func TestTaskWithoutOtherPlaceIsNotStopped(t *testing.T) {
	t.Parallel()
	s := newSystem(t, newFakeFleet(t, "a", "b"))
	s.serveTasks(workload.Step{Resources: oneCore, MaxPerWorker: 2}, 4, 1)
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Second})
	require.Less(t, s.watchTasks("serve", 4, 4*time.Second, time.Second), time.Second)
	require.Zero(t, s.restarts(4))
	require.False(t, s.waveDone(1))
	cordoned := false
	s.onLoop(func() { cordoned = s.o.sessions["a"].cordoned })
	require.False(t, cordoned, "the worker remains in use")
	require.Positive(t, s.o.Metrics.Counter("drains_postponed_total", "reason", "no-room-elsewhere").Count())
}

// TestBlockedInstanceHoldsUpNoOther guards against a wave whose cap is taken by an instance that
// can't be drained.
func TestBlockedInstanceHoldsUpNoOther(t *testing.T) {
	t.Parallel()
	s := newSystem(t, newFakeFleet(t, "a", "b"))
	s.apply(topologyOf(2, nil, publicQueue("q", "/q/")))
	s.serveTasks(workload.Step{Resources: oneCore, MaxPerWorker: 2}, 4, 1)
	s.withLock(func() {
		s.workers["c"] = newFakeWorker("c", 1)
		s.instances["m-c"] = &executor.Instance{ID: "m-c", Pool: "other", State: executor.Up, Worker: "c", Capacity: fakeCapacity}
	})
	s.awaitOnLoop(func() bool { return s.o.sessions["c"] != nil && s.o.fleet.instances["m-c"].Worker == "c" })
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a", "m-b", "m-c"}, Cap: 1, TimeLimit: time.Second})
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Waves[1].Started["m-c"] })
	require.Zero(t, s.restarts(4))
}

// TestTasksWithoutOtherPlaceStopTogether guards against a drain that waits for a place elsewhere for
// good although the budget allows to stop all tasks on the instance until it is back.
func TestTasksWithoutOtherPlaceStopTogether(t *testing.T) {
	t.Parallel()
	s := newSystem(t, newFakeFleet(t, "a", "b"))
	s.serveTasks(workload.Step{Resources: oneCore, MaxPerWorker: 2}, 4, 2)
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a", "m-b"}, Cap: 2, TimeLimit: 5 * time.Second})
	require.Less(t, s.watchTasks("serve", 4, 10*time.Second, 300*time.Millisecond, 1), maxTimeAway)
	require.True(t, s.waveDone(1))
	s.withLock(func() { require.GreaterOrEqual(t, s.minServing, 2) })
}

// TestTasksRunAgainIfMaintenanceDoesNotBegin guards against tasks that stay away for as long as the
// platform doesn't carry out the maintenance for which they were stopped.
func TestTasksRunAgainIfMaintenanceDoesNotBegin(t *testing.T) {
	for name, hold := range map[string]func(*fakeFleet){
		"unanswered": func(f *fakeFleet) { f.platformDown = true },
		"declined":   func(f *fakeFleet) { f.declined = "busy" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, newFakeFleet(t, "a"))
			s.serveTasks(workload.Step{Resources: oneCore}, 2, 2)
			s.withLock(func() { hold(s.fakeFleet) })
			s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Second})
			s.awaitOnLoop(func() bool { return len(s.o.leadership.State().Waves[1].Ordered) == 1 })
			require.Less(t, s.watchTasks("serve", 2, 8*time.Second, time.Second), maxTimeAway)
			require.Positive(t, s.restarts(2))
			s.withLock(func() { s.platformDown, s.declined = false, "" })
			s.watchTasks("serve", 2, firstDrainPause+2*time.Second, 300*time.Millisecond, 1)
			require.True(t, s.waveDone(1))
		})
	}
}

// TestWorkerIsGivenBackToItsOwnTasks guards against a task that waits for good because those of another
// instance, which were stopped at the same time, took the only worker on which it can run.
func TestWorkerIsGivenBackToItsOwnTasks(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a", "b")
	f.platformDown = true
	f.workers["a"].labels = []string{"a", "only"}
	f.workers["a"].capacity.MilliCPU, f.workers["b"].capacity.MilliCPU = 1000, 3000
	s := newSystem(t, f)
	s.awaitOnLoop(func() bool { return len(s.o.sessions) == 2 })
	s.submit("any", workload.Step{Count: 4, Resources: oneCore, LongRunning: true})
	s.awaitRunning("a", 1)
	s.awaitRunning("b", 3)
	s.resize("a", 3)
	s.submit("only", workload.Step{Count: 1, Resources: resources.Amount{MilliCPU: 2000, MemoryMB: 10}, LongRunning: true, Label: "only"})
	s.awaitRunning("a", 2)
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a", "m-b"}, Cap: 2, TimeLimit: time.Second})
	s.awaitOnLoop(func() bool { return len(s.o.leadership.State().Waves[1].Ordered) == 2 })
	require.Less(t, s.watchTasks("only", 1, 9*time.Second, time.Second), maxTimeAway)
}

// TestDrainIsGivenUpIfTheOtherPlaceIsLost guards against a task that stays away because the worker
// on which it could run was lost after the stop: its own worker is given back.
func TestDrainIsGivenUpIfTheOtherPlaceIsLost(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a", "b")
	f.stopGrace = 500 * time.Millisecond
	s := newSystem(t, f)
	s.withLock(func() { s.workers["b"].unreachable = true })
	s.serveTasks(workload.Step{Resources: oneCore}, 2, 1)
	require.Equal(t, 2, s.runningOn("a"))
	s.withLock(func() { s.workers["b"].unreachable = false })
	s.awaitOnLoop(func() bool {
		b := s.o.sessions["b"]
		return b != nil && b.worker != nil && s.o.usable(b, b.worker, s.o.lastPlan)
	})
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Second})
	s.awaitOnLoop(func() bool { return s.o.fleet.drains["m-a"] != nil && s.o.fleet.drains["m-a"].stops > 0 })
	s.withLock(func() {
		s.restartDelay = time.Hour
		s.crash("b")
	})
	require.Less(t, s.watchTasks("serve", 2, 10*time.Second, time.Second), maxTimeAway)
	require.Positive(t, s.o.Metrics.Counter("drains_given_up_total", "reason", "task-waits").Count())
}

// TestSuccessorKeepsTasksOfWave guards against the same under a leader that takes over in the
// middle of a wave.
func TestSuccessorKeepsTasksOfWave(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a", "b", "c", "d")
	f.lease = takeoverLease
	s := newSystem(t, f)
	s.serveTasks(workload.Step{Resources: smallTask}, 8, 1)
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a", "m-b"}, Cap: 4, TimeLimit: 10 * time.Second})
	s.startWave(&workload.Wave{ID: 2, Instances: []string{"m-c", "m-d"}, Cap: 4, TimeLimit: 10 * time.Second})
	s.awaitOnLoop(func() bool { return len(s.o.fleet.drains) > 0 })
	s.restart()
	require.Less(t, s.watchTasks("serve", 8, 30*time.Second, 300*time.Millisecond, 1, 2), maxTimeAway+s.mayInterruptAfter())
	require.True(t, s.waveDone(1))
	require.True(t, s.waveDone(2))
	s.withLock(func() { require.GreaterOrEqual(t, s.minServing, 7) })
}

// TestJobCancelledDuringDrain guards against a drain that waits for places for the tasks of a job that
// was cancelled while they are being stopped.
func TestJobCancelledDuringDrain(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a", "b")
	f.stopGrace = time.Second
	s := newSystem(t, f)
	s.serveTasks(workload.Step{Resources: smallTask}, 4, 1)
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a", "m-b"}, Cap: 2, TimeLimit: 10 * time.Second})
	s.awaitOnLoop(func() bool { return len(s.o.fleet.drains) > 0 })
	s.cancel("serve")
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Waves[1].Done() })
}

// TestUnansweredMoveIsGivenUp guards against a worker that gets no tasks for as long as the platform
// doesn't respond to the request to move its instance.
func TestUnansweredMoveIsGivenUp(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a")
	f.platformDown = true
	s := newSystem(t, f)
	s.awaitOnLoop(func() bool {
		if s.o.fleet.instances["m-a"].Worker != "a" || s.o.poolStats.cores["p"] == 0 || !s.o.platformAuthority.valid() {
			return false
		}
		s.o.beginMove(scheduling.Move{Instance: "m-a", From: "p", To: "other", Cores: 4}, boottime.Now())
		return true
	})
	s.submit("serve", lasting)
	require.Eventually(t, func() bool { return s.runningOn("a") == 1 }, unansweredMoveTimeout+3*time.Second, 10*time.Millisecond)
}
