package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// leave deregisters a worker, as a call does that arrives now.
func (s *system) leave(worker string) {
	s.t.Helper()
	s.eventually(func(ctx context.Context) error { return s.o.Leave(ctx, &LeaveRequest{Worker: worker}) })
}

// startDraining lets a worker report that it drains.
func (s *system) startDraining(worker string) {
	s.t.Helper()
	s.withLock(func() { s.workers[worker].draining = true })
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers[worker].Draining })
}

// startLongTask starts lastingTask and returns the worker that it runs on and the other one.
func (s *system) startLongTask() (worker, other string) {
	s.t.Helper()
	s.submit("lasts", lastingStep)
	require.Eventually(s.t, func() bool { return s.runningOn("a")+s.runningOn("b") == 1 }, 20*time.Second, 10*time.Millisecond)
	if s.runningOn("b") == 1 {
		return "b", "a"
	}
	return "a", "b"
}

// TestLateLeaveKeepsRunsOfNextIncarnation guards against tasks that run twice because the
// deregistration of a worker's former incarnation arrives late, also if the present one drains.
func TestLateLeaveKeepsRunsOfNextIncarnation(t *testing.T) {
	for name, drains := range map[string]bool{"in use": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, newFakeFleet(t, "a", "b"))
			worker, other := s.startLongTask()
			if drains {
				s.startDraining(worker)
			}
			s.leave(worker)
			require.Never(t, func() bool { return s.runningOn(other) > 0 }, time.Second, 10*time.Millisecond)
			require.Equal(t, 1, s.runningOn(worker))
			s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers[worker] != nil })
		})
	}
}

// TestLateLeaveKeepsCapacity guards against a pool without its only worker, which is idle when the
// deregistration of its former incarnation arrives late.
func TestLateLeaveKeepsCapacity(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.awaitOnLoop(func() bool { return s.o.sessions["a"] != nil })
	s.withLock(func() { s.workers["a"].noReports = true })
	s.leave("a")
	s.submit("j", oneCoreTasks(1))
	s.await("j", workload.Completed)
}

// TestForwardedLeaveKeepsNextIncarnation guards against the removal of a worker that registered after
// the deregistration of its former incarnation had arrived at another replica.
func TestForwardedLeaveKeepsNextIncarnation(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.withLock(func() { s.workers["a"] = newFakeWorker("a", 2) })
	s.awaitOnLoop(func() bool {
		w := s.o.leadership.State().Workers["a"]
		return w != nil && w.Incarnation == 2
	})
	s.startDraining("a")
	s.withLock(func() { s.workers["a"].noReports = true })
	s.eventually(func(ctx context.Context) error { return s.o.Leave(ctx, &LeaveRequest{Worker: "a", Incarnation: 1}) })
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"] != nil })
}

// TestLeaveFreesRunsOfEndedWorker guards against tasks that wait for the end of a lease although their
// worker has drained and left.
func TestLeaveFreesRunsOfEndedWorker(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b"))
	worker, other := s.startLongTask()
	s.startDraining(worker)
	s.leave(worker)
	s.withLock(func() {
		s.restartDelay = time.Hour
		s.crash(worker)
	})
	ended := time.Now()
	s.awaitRunning(other, 1)
	require.Less(t, time.Since(ended), listInterval+testLease/2)
}

// TestIdleWorkerIsRemovedWhenItLeaves guards against a worker that counts as a member of the fleet
// after it has drained and left.
func TestIdleWorkerIsRemovedWhenItLeaves(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.awaitOnLoop(func() bool { return s.o.sessions["a"] != nil })
	s.startDraining("a")
	s.withLock(func() { s.workers["a"].noReports = true })
	s.leave("a")
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"] == nil && s.o.sessions["a"] == nil })
}
