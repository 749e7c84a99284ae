package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// Guards against a check of the fleet that fails whatever the leader does: with one clock, and
// leases no longer than the leader's, a lease of the former incarnation does no harm.
func TestLeaseOfFormerIncarnationWithSameClock(t *testing.T) {
	t.Parallel()
	s, n := newNetwork(t, testLease)
	restartUnnoticed(s, n, 0)
	s.report()
	s.awaitConfirmedRun(2)
	s.withLock(s.isolate)
	s.awaitRunElsewhere(3 * longLease)
}

// settledBound is the time within which the task of a worker that was cut off starts elsewhere if
// no call of a former incarnation is left: the lease and the time to notice its end, but not the
// longest lease.
const settledBound = 5 * time.Second

// awaitSettledRun makes an incarnation of worker "a" run the long-running task and respond for longer
// than the longest lease.
func (s *system) awaitSettledRun(n *network, incarnation int64) {
	s.t.Helper()
	if incarnation == 2 {
		restartUnnoticed(s, n, farBehind)
		s.report()
	} else {
		s.submit("lasts", lastingStep)
	}
	s.awaitConfirmedRun(incarnation)
	time.Sleep(longLease + time.Second)
}

// Guards against tasks that wait for the longest lease after the loss of a worker that has
// responded for longer than that.
func TestSettledWorkerIsGivenUpAfterItsLease(t *testing.T) {
	t.Parallel()
	for name, incarnation := range map[string]int64{"first incarnation": 1, "next incarnation": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, n := newNetwork(t, longLease)
			s.awaitSettledRun(n, incarnation)
			s.withLock(s.isolate)
			s.awaitRunElsewhere(settledBound)
		})
	}
}

// Guards against the same after a change of the leader. The next leader has to learn from the
// replicated state that no call of a former incarnation is left: the worker responded to the
// former leader for long, and to this one only shortly.
func TestNewLeaderGivesSettledWorkerUpAfterItsLease(t *testing.T) {
	t.Parallel()
	for name, incarnation := range map[string]int64{"first incarnation": 1, "next incarnation": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, n := newNetwork(t, longLease)
			s.awaitSettledRun(n, incarnation)
			s.restart()
			s.awaitConfirmedRun(incarnation)
			s.withLock(s.isolate)
			s.awaitRunElsewhere(settledBound)
		})
	}
}

// Guards against tasks that wait for ever for a worker that is lost for good, because the leader
// can't tell whether a start of theirs was carried out.
func TestTaskOfLostWorkerWithUnansweredStartRuns(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		lose   func(*system)
		within time.Duration
	}{
		"listed as down":             {func(s *system) { s.instances["m-a"].State, s.instances["m-a"].Worker = executor.Down, "" }, settledBound},
		"listed with another worker": {func(s *system) { s.instances["m-a"].Worker = "b" }, settledBound},
		"listed as before":           {func(*system) {}, 5 * longLease},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, n := newNetwork(t, longLease)
			s.withLock(func() {
				n.intercept = func(worker string, call any) error {
					if _, start := call.(*executor.Start); start && worker == "a" {
						n.intercept = nil
						s.isolate()
						c.lose(s)
						return errNoResponse
					}
					return nil
				}
			})
			s.submit("lasts", lastingStep)
			s.awaitOnLoop(func() bool { return s.order("a") != nil })
			require.Eventually(t, func() bool {
				lost := false
				s.withLock(func() { lost = s.workers["b"] != nil })
				return lost
			}, 20*time.Second, time.Millisecond)
			s.awaitRunElsewhere(c.within)
		})
	}
}

// Guards against tasks that wait for ever for a worker that is lost for good after its next
// incarnation has answered a start: the lease seems to end late by the clock of that one.
func TestTaskOfLostNextIncarnationRuns(t *testing.T) {
	t.Parallel()
	for name, ahead := range otherClocks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, n := newNetwork(t, longLease)
			startOnNextIncarnation(s, n, ahead)
			s.withLock(func() {
				s.isolate()
				delete(s.workers, "a")
				n.intercept = nil
			})
			s.awaitRunElsewhere(5 * longLease)
		})
	}
}

// Guards against a task that runs again after its end was acknowledged: the worker's next
// incarnation carries out a delayed start and then a delayed acknowledgement of the former one's
// ends, before it has seen a fencing token of its own.
func TestDelayedAcknowledgementDiscardsNoEnd(t *testing.T) {
	t.Parallel()
	s, n := newNetwork(t, longLease)
	var late *executor.Poll
	s.withLock(func() {
		n.intercept = func(_ string, call any) error {
			p, poll := call.(*executor.Poll)
			start, isStart := call.(*executor.Start)
			switch {
			case late == nil && poll && p.Acknowledged > 0:
				late = p
				return errNoResponse
			case late != nil && isStart && start.Task == firstTask("j2"):
				n.intercept = nil
				next := s.newIncarnation(farBehind)
				s.carryOut(start)
				s.end(next, start.Task, next.running[start.Task], workload.Succeeded)
				s.carryOut(late)
				next.noReports = false
				return errNoResponse
			}
			return nil
		}
	})
	s.submit("j1", oneCoreTasks(1))
	require.Eventually(t, func() bool {
		acknowledged := false
		s.withLock(func() { acknowledged = late != nil })
		return acknowledged
	}, 20*time.Second, time.Millisecond)
	s.submit("j2", oneCoreTasks(1))
	s.await("j2", workload.Completed)
}
