package orchestrator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

var lasting = workload.Step{Count: 1, Resources: oneCore, LongRunning: true}

// onLoop runs f on the event loop of the leader.
func (s *system) onLoop(f func()) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		led := false
		require.NoError(s.t, s.replica.Await(context.Background(), func(done func(error)) {
			if led = s.o.leadership != nil; led {
				f()
			}
			done(nil)
		}))
		return led
	}, 20*time.Second, 5*time.Millisecond)
}

// propose commits a command as it is and waits until it is applied.
func (s *system) propose(c *workload.Command) {
	s.t.Helper()
	applied := make(chan error, 1)
	s.onLoop(func() { s.o.leadership.Propose(c, func(err error) { applied <- err }) })
	require.NoError(s.t, <-applied)
	s.onLoop(func() {}) // the orchestrator acts on it after the proposer
}

func (s *system) disagreements() (out []string) {
	s.onLoop(func() { out = disagreements(s.o) })
	return out
}

// runOf returns the run number of a task on a worker, or 0.
func (f *fakeFleet) runOf(worker string, task workload.TaskID) (number int) {
	f.withLock(func() {
		w := f.workers[worker]
		if w == nil {
			return
		}
		f.advance(w)
		if r := w.running[task]; r != nil {
			number = r.number
		}
	})
	return number
}

func firstTask(id string) workload.TaskID { return workload.TaskID{Job: jobID(id)} }

// awaitStopped waits until a cancelled job runs nowhere and has no runs in the state.
func (s *system) awaitStopped(id string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		active := false
		s.onLoop(func() {
			j := s.o.leadership.State().Jobs[jobID(id)]
			active = j != nil && j.HasActiveRuns()
		})
		s.withLock(func() {
			for _, w := range s.workers {
				s.advance(w)
				for task := range w.running {
					active = active || task.Job == jobID(id)
				}
			}
		})
		return !active
	}, 5*time.Second, 10*time.Millisecond, "the tasks of a cancelled job run on")
}

func (s *system) cancel(id string) {
	s.t.Helper()
	require.Equal(s.t, Accepted, s.call(MethodCancel, &Call{Path: "/q/" + jobID(id)}).Outcome)
}

// TestLongRunningTaskRestartsAfterAnyEnd guards against a long-running task that does not
// run again after its run has ended, or that can't be stopped after that.
func TestLongRunningTaskRestartsAfterAnyEnd(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("serve", lasting)
	task := firstTask("serve")
	outcomes := []workload.Outcome{workload.RunFailed, workload.RunFailed, workload.RunFailed, workload.Stopped, workload.LeaseExpired, workload.GangBroken}
	runs := func(number int) func() bool { return func() bool { return s.runOf("a", task) == number } }
	for i, outcome := range outcomes {
		require.Eventually(t, runs(i+1), 5*time.Second, 2*time.Millisecond, "run %d", i+1)
		s.withLock(func() { s.end(s.workers["a"], task, s.workers["a"].running[task], outcome) })
	}
	require.Eventually(t, runs(len(outcomes)+1), 5*time.Second, 2*time.Millisecond)
	require.Empty(t, s.disagreements())
	s.cancel("serve")
	s.awaitStopped("serve")
}

// TestStartInCommandOfCancelHasNoEffect guards against a task that starts although its job
// is cancelled by the same command, or by one that was committed before.
func TestStartInCommandOfCancelHasNoEffect(t *testing.T) {
	s := newSystem(t, newFakeFleet(t))
	s.submit("serve", lasting)
	s.propose(&workload.Command{Workers: []workload.Worker{{ID: "b", Incarnation: 1, Address: "b", Pool: "other"}}})
	start := workload.RunStart{Task: firstTask("serve"), Run: 9, Worker: "b", Incarnation: 1}
	s.propose(&workload.Command{Cancel: []string{jobID("serve")}, Starts: []workload.RunStart{start}})
	s.propose(&workload.Command{Starts: []workload.RunStart{start}})
	require.Empty(t, s.disagreements())
	s.awaitStopped("serve")
	s.withLock(func() { require.Zero(t, s.starts[start.Task]) })
}

// TestStartOfFormerLeaderIsStoppedAfterCancel guards against a task of a cancelled job that
// runs on: its start and the cancel were committed by a former leader, which sent neither
// the stop nor, in the second round, the start.
func TestStartOfFormerLeaderIsStoppedAfterCancel(t *testing.T) {
	for _, sent := range []bool{true, false} {
		t.Run(fmt.Sprintf("sent %t", sent), func(t *testing.T) {
			f := newFakeFleet(t, "a")
			f.lease = takeoverLease
			f.deliver = func(order, _ string) (bool, bool) { return order == "start" && sent, false }
			s := newSystem(t, f)
			s.submit("serve", lasting)
			if sent {
				s.awaitRunning("a", 1)
			}
			s.cancel("serve")
			s.restart()
			s.withLock(func() { s.deliver = func(string, string) (bool, bool) { return true, true } })
			s.awaitStopped("serve")
			require.Empty(t, s.disagreements())
		})
	}
}

// TestCancelOfUnknownOutcomeTakesEffectOrNot guards against a job that is shown as
// cancelled and runs on, or that is not cancelled and is not restarted: the leader ends
// while the cancel is being committed.
func TestCancelOfUnknownOutcomeTakesEffectOrNot(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.lease = takeoverLease
	s := newSystem(t, f)
	for i := range 3 {
		id := fmt.Sprintf("serve%d", i)
		s.submit(id, lasting)
		require.Eventually(t, func() bool { return s.runOf("a", firstTask(id)) > 0 }, 5*time.Second, time.Millisecond)
		s.onLoop(func() {
			s.o.pending.Cancel = append(s.o.pending.Cancel, jobID(id))
			s.o.Flush()
		})
		s.restart() // while the command is being synced
		if s.status(id) != workload.Cancelled {
			require.Positive(t, s.runOf("a", firstTask(id)))
			s.cancel(id)
		}
		s.awaitStopped(id)
	}
	require.Empty(t, s.disagreements())
}

// TestRunGivenUpEarlierIsStopped guards against two runs of a long-running task, of which
// the first was given up with a worker that was removed and is back in the same
// incarnation, and against one that goes on after the job is cancelled.
func TestRunGivenUpEarlierIsStopped(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.lease = takeoverLease
	s := newSystem(t, f)
	s.submit("serve", lasting)
	s.awaitRunning("a", 1)
	s.withLock(func() { s.workers["a"].noReports = true })
	s.propose(&workload.Command{RemovedWorkers: []workload.WorkerIncarnation{{Worker: "a", Incarnation: 1}}})
	require.Empty(t, s.disagreements())
	s.cancel("serve")
	s.withLock(func() { s.workers["a"].noReports = false })
	s.awaitStopped("serve")
}

// TestEndOfCancelledJobIsAcknowledged guards against ends that a worker lists for ever, and
// against runs that are not stopped, after the job has no tasks in the state any more.
func TestEndOfCancelledJobIsAcknowledged(t *testing.T) {
	f := newFakeFleet(t, "a")
	s := newSystem(t, f)
	s.submit("other", lasting)
	s.submit("serve", lasting)
	s.awaitRunning("a", 2)
	s.cancel("serve")
	s.awaitStopped("serve")
	task := firstTask("serve")
	s.withLock(func() {
		w := s.workers["a"]
		s.end(w, task, &fakeRun{number: 8}, workload.Stopped)
		w.running[task] = &fakeRun{number: 9, startedAt: time.Now(), longRunning: true}
	})
	s.awaitStopped("serve")
	require.Eventually(t, func() bool {
		left := 0
		s.withLock(func() { left = len(s.workers["a"].ended) })
		return left == 0
	}, 5*time.Second, 5*time.Millisecond)
	require.Empty(t, s.disagreements())
}

// TestSubmissionSentAgainAfterCancel guards against a job that runs again because its
// submission is sent again after its cancel. Once the job is purged, it is a new one,
// whose run numbers a worker may have seen.
func TestSubmissionSentAgainAfterCancel(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("serve", lasting)
	s.awaitRunning("a", 1)
	s.cancel("serve")
	s.awaitStopped("serve")
	s.submit("serve", lasting)
	require.Equal(t, workload.Cancelled, s.status("serve"))
	s.awaitStopped("serve")

	s.propose(&workload.Command{RemovedJobs: []string{jobID("serve")}})
	s.submit("serve", lasting)
	s.awaitRunning("a", 1)
	s.cancel("serve")
	s.awaitStopped("serve")
	require.Empty(t, s.disagreements())
}

// TestRestartWithEarlierClockIsNoticed guards against a long-running task that doesn't run
// for the rest of the day: its worker restarts under its ID after the machine's clock was
// set back, so that the new incarnation is below the known one.
func TestRestartWithEarlierClockIsNoticed(t *testing.T) {
	f := newFakeFleet(t)
	f.workers["a"] = newFakeWorker("a", 1000)
	s := newSystem(t, f)
	s.submit("serve", lasting)
	s.awaitRunning("a", 1)
	s.withLock(func() { s.workers["a"] = newFakeWorker("a", 900) })
	require.Eventually(t, func() bool { return s.runOf("a", firstTask("serve")) > 0 }, testLease+5*time.Second, 10*time.Millisecond,
		"the task doesn't run on the restarted worker")
}

// deafWorkers respond to the first stop without carrying it out.
type deafWorkers struct {
	*fakeFleet
	stops int
}

func (d *deafWorkers) Stop(ctx context.Context, t executor.Target, s executor.Stop) error {
	first := false
	d.withLock(func() {
		d.stops++
		first = d.stops == 1
	})
	if first {
		return nil
	}
	return d.fakeFleet.Stop(ctx, t, s)
}

// TestStopIsRepeatedWhileRunIsListed guards against a run of a cancelled job that goes on
// although the worker has responded to its stop, for example as a former incarnation.
func TestStopIsRepeatedWhileRunIsListed(t *testing.T) {
	f := newFakeFleet(t, "a")
	s := newConfiguredSystem(t, f, func(s *system) { s.calls = &deafWorkers{fakeFleet: f} })
	s.submit("serve", lasting)
	s.awaitRunning("a", 1)
	s.cancel("serve")
	s.awaitStopped("serve")
}

// TestIgnoredEndLeavesNoRunWithoutOrder guards against a run that no order controls: an end
// that the state ignores, because its number is acknowledged, drops the order of a run that
// the state keeps. Such a run is neither stopped nor given up, and its task doesn't restart.
func TestIgnoredEndLeavesNoRunWithoutOrder(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("serve", lasting)
	s.awaitRunning("a", 1)
	task := firstTask("serve")
	s.withLock(func() {
		delete(s.workers["a"].running, task)
		s.workers["a"].highestRun[task] = 1
	})
	s.propose(&workload.Command{Ends: []workload.RunEnd{{Worker: "a", Incarnation: 1, Task: task, Run: 1, Outcome: workload.Stopped}}})
	assert.Empty(t, s.disagreements())
	assert.Eventually(t, func() bool { return s.runOf("a", task) == 2 }, 2*time.Second, 5*time.Millisecond, "the task doesn't run again")
	s.cancel("serve")
	s.awaitStopped("serve")
}
