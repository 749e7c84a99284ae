package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// silence makes worker "a" fall silent under a long-running task and returns once its crash is
// presumed.
func silence(t *testing.T, change func(*fakeFleet)) *system {
	t.Parallel()
	f := newFakeFleet(t, "a")
	f.workers["a"].incarnation = 1000
	s := newSystem(t, f)
	s.submit("lasts", lastingStep)
	s.awaitRunning("a", 1)
	s.awaitOnLoop(func() bool { return s.o.sessions["a"].listedAt != 0 && s.o.fleet.instanceOf["a"] != "" })
	s.withLock(func() { change(f) })
	s.awaitOnLoop(func() bool { return len(s.o.leadership.State().PresumedCrashes()) == 1 })
	return s
}

// lastingCrashes returns how many crashes under the long-running task were proved and presumed.
func (s *system) lastingCrashes() (proved, presumed int) {
	s.onLoop(func() {
		task, _ := s.o.leadership.State().Task(lastingTask)
		for i := range task.Crashes {
			if task.Crashes[i].Presumed {
				presumed++
			} else {
				proved++
			}
		}
	})
	return proved, presumed
}

// awaitVerdict waits until the presumed crash has been decided and returns whether it was proved.
func (s *system) awaitVerdict() (crashed bool) {
	s.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		proved, presumed := s.lastingCrashes()
		if presumed == 0 {
			return proved > 0
		}
		require.True(s.t, time.Now().Before(deadline), "the crash is still presumed")
	}
}

func cutOffA(f *fakeFleet) { f.workers["a"].unreachable = true }

// A worker that was out of reach and was maintained meanwhile has not crashed. The next leader
// must not take its end for a crash.
func TestMaintenanceByFormerLeaderIsNoCrash(t *testing.T) {
	s := silence(t, cutOffA)
	s.awaitRunning("a", 0) // its lease has ended
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Minute})
	for ended := false; !ended; time.Sleep(time.Millisecond) {
		s.withLock(func() {
			if ended = s.instances["m-a"].State == executor.Maintenance; ended {
				s.staleList = []executor.Instance{{ID: "m-a", Pool: "p", State: executor.Up, Worker: "a", Capacity: fakeCapacity}}
			}
		})
	}
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"] == nil })
	s.stop()
	s.endMaintenance("m-a", "next")
	s.withLock(func() { s.staleList = nil })
	s.launch()
	require.False(t, s.awaitVerdict())
}

// A worker that drains and is then deregistered has left as announced, even if it was out of
// reach of polls. Its end must not be taken for a crash.
func TestAnnouncedLeaveOfSilentWorkerIsNoCrash(t *testing.T) {
	s := silence(t, cutOffA)
	report := &Report{Sequence: uint64(time.Now().UnixNano()), Clock: s.clock("a"), Worker: workload.Worker{
		ID: "a", Incarnation: 1000, Address: "a", Pool: "p", Capacity: fakeCapacity, Labels: []string{"a", "r"}, Draining: true,
	}}
	require.NoError(t, s.o.Report(t.Context(), report))
	s.leave("a")
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"] == nil })
	s.withLock(func() {
		delete(s.workers, "a")
		s.workers["next"] = newFakeWorker("next", 2000)
		s.instances["m-a"].Worker = "next"
	})
	require.False(t, s.awaitVerdict())
}

// Another worker at the address of a silent one proves that it has ended. Its crash must be
// counted although the platform's list doesn't show it.
func TestReplacedSilentWorkerHasCrashed(t *testing.T) {
	s := silence(t, cutOffA)
	s.onLoop(func() {
		s.o.pollFailed(s.o.sessions["a"], &executor.RefusedError{Reason: executor.WrongWorker}, boottime.Now())
	})
	require.True(t, s.awaitVerdict())
}

// A worker may return under its ID with an earlier time of start, because its machine's clock was
// set back. The crash of the former incarnation must be counted.
func TestCrashBeforeClockWasSetBackIsCounted(t *testing.T) {
	for name, removed := range map[string]bool{"soon": false, "after its removal": true} {
		t.Run(name, func(t *testing.T) {
			s := silence(t, cutOffA)
			if removed {
				s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"] == nil })
			}
			s.withLock(func() { s.workers["a"] = newFakeWorker("a", 5) })
			require.True(t, s.awaitVerdict())
		})
	}
}

// A worker that is back must not stay under presumption because it is idle: it would be taken for
// crashed when it ends much later. It has responded to a poll that was sent before the presumption
// was committed.
func TestIdleWorkerThatIsBackIsCleared(t *testing.T) {
	s := silence(t, func(f *fakeFleet) {
		cutOffA(f)
		f.workers["b"] = newFakeWorker("b", 1)
		f.instances["m-b"] = &executor.Instance{ID: "m-b", Pool: "p", State: executor.Up, Worker: "b", Capacity: fakeCapacity}
	})
	s.awaitRunning("b", 1)
	s.onLoop(func() {
		session := s.o.sessions["a"]
		before := s.o.presumedSince(workload.WorkerIncarnation{Worker: "a", Incarnation: 1000}).Add(-time.Millisecond)
		s.o.handlePollResponse(session, &executor.Poll{Fence: s.o.fence(session)}, &executor.PollResponse{Clock: s.clock("a"), Incarnation: 1000, Complete: true}, nil, before, boottime.Now())
		s.withLock(func() { s.workers["a"].unreachable = false })
	})
	require.False(t, s.awaitVerdict())
}

// A task that crashes each worker that starts it must be bounded also while the platform's list is
// not available, and the workers come back under other names and addresses.
func TestCrashesOfSilentWorkersAreBoundedWithoutList(t *testing.T) {
	t.Parallel()
	workers := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	s := newSystem(t, newFakeFleet(t, workers...))
	task := firstTask("deadly")
	s.withLock(func() {
		s.crashes[task], s.dark = true, true
		for _, id := range workers {
			s.staleList = append(s.staleList, *s.instances["m-"+id])
		}
	})
	s.submit("deadly", oneCoreTasks(1))
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && s.status("deadly") != workload.Failed; time.Sleep(20 * time.Millisecond) {
		started := 0
		s.withLock(func() { started = s.starts[task] })
		require.LessOrEqual(t, started, crashBound, "starts of a task that crashes its workers")
	}
}
