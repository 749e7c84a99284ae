package orchestrator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// crashBound is how often a task may crash a worker before no worker starts it any more:
// three workers, and two starts that were decided before the third crash was known.
const crashBound = 5

func oneCoreTasks(n int) workload.Step { return workload.Step{Count: n, Resources: oneCore} }

// requireGivenUp waits until the job of a task that crashes workers has failed, and requires
// that no more starts follow.
func (s *system) requireGivenUp(job string) {
	s.t.Helper()
	task := workload.TaskID{Job: jobID(job)}
	require.Eventually(s.t, func() bool {
		starts := 0
		s.withLock(func() { starts = s.starts[task] })
		require.LessOrEqual(s.t, starts, crashBound, "starts of a task that crashes its workers")
		return s.status(job) == workload.Failed
	}, 20*time.Second, 20*time.Millisecond)
	time.Sleep(time.Second)
	s.withLock(func() { require.LessOrEqual(s.t, s.starts[task], crashBound) })
}

// A task that crashes each worker that starts it must not be started on one worker after
// the other.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, dark := range []bool{false, true} {
		s := newSystem(t, newFakeFleet(t, "a", "b", "c", "d"))
		s.withLock(func() {
			s.crashes[workload.TaskID{Job: jobID("deadly")}] = true
			s.dark = dark
		})
		s.submit("deadly", oneCoreTasks(1))
		s.requireGivenUp("deadly")
	}
}

// Tasks that were running on a crashed worker for long, or that started there with the task
// that crashed it, must not be given up and must end soon.
func TestTasksBesideACrashAreKept(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b", "c", "d"))
	s.withLock(func() { s.crashes[workload.TaskID{Job: jobID("deadly")}] = true })
	s.submit("lasts", workload.Step{Count: 2, Resources: oneCore, LongRunning: true})
	for _, id := range []string{"j1", "j2"} {
		s.submit(id, oneCoreTasks(1))
	}
	s.submit("deadly", oneCoreTasks(1))
	for _, id := range []string{"j3", "j4"} {
		s.submit(id, oneCoreTasks(1))
	}
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		s.await(id, workload.Completed)
	}
	s.requireGivenUp("deadly")
	require.Equal(t, workload.Active, s.status("lasts"))
	require.Eventually(t, func() bool {
		n := 0
		s.withLock(func() { n = s.serving() })
		return n == 2
	}, 5*time.Second, 20*time.Millisecond, "long-running tasks that are back at work")
}

// The crashes of a task have to be known to later leaders and after a restart of all
// replicas.
func TestCrashesSurviveRestart(t *testing.T) {
	t.Parallel()
	s := newSystem(t, newFakeFleet(t, "a", "b", "c", "d", "e", "f"))
	task := workload.TaskID{Job: jobID("deadly")}
	s.withLock(func() { s.crashes[task] = true })
	s.submit("deadly", oneCoreTasks(1))
	for n := range 2 {
		require.Eventually(t, func() bool {
			crashed := 0
			s.withLock(func() { crashed = len(s.crashed) })
			return crashed > n || s.status("deadly") == workload.Failed
		}, 20*time.Second, 5*time.Millisecond)
		s.restart()
	}
	s.requireGivenUp("deadly")
}

// Workers that crash by themselves, one after the other or with their whole rack, must not
// make the tasks on them guilty: these end, and soon.
func TestCrashesByThemselvesBlameNoTask(t *testing.T) {
	t.Parallel()
	s := newSystem(t, newFakeFleet(t, "a", "b", "c", "d", "e"))
	s.withLock(func() { s.taskTime = 300 * time.Millisecond })
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second): // each worker crashes every 5 s
			}
			s.withLock(func() {
				for id := range s.workers {
					s.crash(id)
					if n%3 != 2 {
						break
					}
				}
			})
		}
	}()
	s.submit("lasts", workload.Step{Count: 2, Resources: oneCore, LongRunning: true})
	for n := range 12 {
		s.submit(fmt.Sprintf("j%d", n), oneCoreTasks(2))
		time.Sleep(800 * time.Millisecond)
	}
	close(stop)
	<-ended
	for n := range 12 {
		id := fmt.Sprintf("j%d", n)
		require.Eventually(t, func() bool {
			status := s.status(id)
			require.NotEqual(t, workload.Failed, status, id)
			return status == workload.Completed
		}, 20*time.Second, 20*time.Millisecond, id)
	}
	require.Equal(t, workload.Active, s.status("lasts"))
}

// A worker may come back under its ID, so fast that only its report shows the crash.
func TestCrashIsSeenInTheReportOfTheNextIncarnation(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b", "c"))
	s.withLock(func() {
		s.crashes[workload.TaskID{Job: jobID("deadly")}] = true
		s.restartDelay, s.keepsID = 20*time.Millisecond, true
	})
	s.submit("deadly", oneCoreTasks(1))
	s.requireGivenUp("deadly")
}

// Nobody is to blame for the runs that end with a worker that leaves as announced, or with
// one that was only cut off.
func TestPlannedLeaveAndSilenceBlameNoTask(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b"))
	s.submit("lasts", lastingStep)
	for _, worker := range []string{"a", "b"} {
		if s.runningOn(worker) == 0 {
			continue
		}
		s.withLock(func() { s.workers[worker].draining = true })
		s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers[worker].Draining })
		s.withLock(func() { s.crash(worker) })
		s.awaitRelease(worker)
	}
	s.awaitOnLoop(func() bool {
		task, _ := s.o.leadership.State().Task(lastingTask)
		return len(task.Runs) == 1 && len(task.Crashes) == 0
	})
}

// An order that was given up may take effect late, when the worker is in use again. Its end by
// that order must not count against the tasks on it.
func TestLateOrderThatEndsWorkerBlamesNoTask(t *testing.T) {
	for _, state := range []executor.InstanceState{executor.Moving, executor.Maintenance} {
		s := newSystem(t, newFakeFleet(t, "a"))
		s.submit("lasts", lastingStep)
		s.awaitRunning("a", 1)
		s.awaitOnLoop(func() bool { return s.o.fleet.instanceOf["a"] != "" })
		s.withLock(func() {
			delete(s.workers, "a")
			s.instances["m-a"].State, s.instances["m-a"].Worker = state, ""
		})
		crashes := 0
		s.awaitOnLoop(func() bool {
			task, _ := s.o.leadership.State().Task(lastingTask)
			crashes = len(task.Crashes)
			return len(task.Runs) == 0
		})
		require.Zero(t, crashes, "instance listed as %s", state)
	}
}

// A task must not crash one worker after the other because the leader intends to maintain the
// instance of each: the loss is planned only once an order may have been sent.
func TestCrashOnInstanceToBeMaintainedIsCounted(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("lasts", lastingStep)
	s.awaitRunning("a", 1)
	s.awaitOnLoop(func() bool {
		s.o.sessions["a"].cordoned = true
		return true
	})
	s.withLock(func() { s.crash("a") })
	s.awaitOnLoop(func() bool {
		task, _ := s.o.leadership.State().Task(lastingTask)
		return len(task.Crashes) == 1
	})
}

// The same for an instance that is to be moved: its cordon is committed while the runs on it end,
// and no order is sent before.
func TestCrashOnInstanceToBeMovedIsCounted(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("lasts", lastingStep)
	s.awaitRunning("a", 1)
	s.awaitOnLoop(func() bool {
		if s.o.fleet.instances["m-a"].Worker != "a" {
			return false // not listed yet
		}
		if s.o.fleet.moves["m-a"] == nil {
			s.o.beginMove(scheduling.Move{Instance: "m-a", From: "p", To: "other"}, boottime.Now())
		}
		return s.o.leadership.State().Workers["a"].Cordoned
	})
	s.withLock(func() { s.crash("a") })
	s.awaitOnLoop(func() bool {
		task, _ := s.o.leadership.State().Task(lastingTask)
		return len(task.Crashes) == 1
	})
}

// After a crash the cause has to be found from the job's ID: the interface names the task and
// the workers.
func TestGivenUpJobNamesItsCause(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b", "c", "d"))
	task := workload.TaskID{Job: jobID("deadly")}
	s.withLock(func() { s.crashes[task] = true })
	s.submit("deadly", oneCoreTasks(1))
	s.requireGivenUp("deadly")
	s.awaitOnLoop(func() bool {
		j := s.o.leadership.State().Jobs[jobID("deadly")]
		return j.CrashedTask != nil && *j.CrashedTask == task && len(j.CrashedWorkers) >= 2
	})
	s.withLock(func() { require.Subset(t, s.crashed, s.o.leadership.State().Jobs[jobID("deadly")].CrashedWorkers) })
}

// An instance that crashes whatever starts on it must not take the blame away from itself, and
// is used last once its tasks have run elsewhere.
func TestInstanceThatCrashesIsUsedLast(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b", "c"))
	s.withLock(func() { s.crashingInstance = "m-a" })
	for n := range 25 {
		id := fmt.Sprintf("j%02d", n)
		s.submit(id, oneCoreTasks(1))
		// Polled here: a call of require.Eventually may outlast a test that fails.
		for s.status(id) != workload.Completed {
			require.NotEqual(t, workload.Failed, s.status(id))
			time.Sleep(20 * time.Millisecond)
		}
	}
	s.withLock(func() { require.LessOrEqual(t, len(s.crashed), 4) })
}

// A leader that was suspended for longer than the leases has missed the responses of its workers. It
// must not take that for a crash of each of them.
func TestSuspendedLeaderBlamesNoTask(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("lasts", lastingStep)
	require.Eventually(t, func() bool { return s.runningOn("a")+s.runningOn("b") == 1 }, 20*time.Second, 10*time.Millisecond)
	s.awaitOnLoop(func() bool {
		task, _ := s.o.leadership.State().Task(lastingTask)
		return len(task.Runs) == 1 && s.o.sessions[task.Runs[0].Worker].lastContact != 0
	})
	s.onLoop(func() { time.Sleep(testLease + s.o.silentAfter() + time.Second) })
	crashes := 0
	s.awaitOnLoop(func() bool {
		task, _ := s.o.leadership.State().Task(lastingTask)
		crashes = max(crashes, len(task.Crashes))
		return task.LastRun > 1 && len(task.Runs) == 1
	})
	require.Zero(t, crashes)
}
