package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// gangOf returns a step of n members that work together.
func gangOf(n int) workload.Step {
	return workload.Step{Count: n, Resources: oneCore, Gang: true, Estimate: 50 * time.Millisecond}
}

// TestGangIsGivenUpAfterAllAttempts guards against a gang that is given up after one attempt, because
// the members that failed in it count as attempts.
func TestGangIsGivenUpAfterAllAttempts(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b"))
	s.withLock(func() { s.fails[jobID("gang")] = true })
	s.submit("gang", gangOf(4))
	s.await("gang", workload.Failed)
	s.withLock(func() {
		for i := range 4 {
			require.Equal(t, 3, s.starts[workload.TaskID{Job: jobID("gang"), Index: i}], "attempts of member %d", i)
		}
	})
}

// TestGangFailureIsCountedOnceByNextLeader guards against a second attempt that is counted for a
// run because the ends of its members are committed by two leaders.
func TestGangFailureIsCountedOnceByNextLeader(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("gang", gangOf(2))
	s.awaitRunning("a", 2)
	task := workload.TaskID{Job: jobID("gang")}
	member := func(index int) workload.TaskID {
		id := task
		id.Index = index
		return id
	}
	s.withLock(func() { f.end(s.workers["a"], member(0), s.workers["a"].running[member(0)], workload.RunFailed) })
	failures := func() (n int) {
		s.onLoop(func() { n = s.o.leadership.State().Jobs[task.Job].Occurrences[0].Steps[0].Failures })
		return n
	}
	require.Eventually(t, func() bool { return failures() == 1 }, 20*time.Second, 5*time.Millisecond)
	s.restart()
	s.awaitOnLoop(func() bool { return s.o.leadership != nil && s.o.sessions["a"] != nil })
	s.withLock(func() { f.end(s.workers["a"], member(1), s.workers["a"].running[member(1)], workload.RunFailed) })
	s.awaitOnLoop(func() bool { return s.o.leadership.State().FindRun(workload.RunID{Task: member(1), Number: 1}) == nil })
	require.Equal(t, 1, failures())
}

// TestGangFailureOutlastsOtherEnds guards against a second failure that is counted for a run, because
// another member's end is committed between the first one's proposal and its commit.
func TestGangFailureOutlastsOtherEnds(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.withLock(func() { s.taskTime = 0 })
	s.submit("gang", gangOf(3))
	s.awaitRunning("a", 3)
	end := func(index int, outcome workload.Outcome) workload.RunEnd {
		return workload.RunEnd{Task: workload.TaskID{Job: jobID("gang"), Index: index}, Run: 1, Outcome: outcome}
	}
	first, second := end(0, workload.RunFailed), end(2, workload.RunFailed)
	s.onLoop(func() {
		s.o.countGangFailureOnce(&first)
		s.o.Applied(&workload.Command{Ends: []workload.RunEnd{end(1, workload.GangBroken)}})
		s.o.countGangFailureOnce(&second)
	})
	require.Equal(t, workload.RunFailed, first.Outcome)
	require.Equal(t, workload.GangBroken, second.Outcome)
}

// TestGangsOnOneWorkerAreOnePieceOfEvidenceEach guards against a worker that gets no tasks because the
// members of two gangs fail on it in turn.
func TestGangsOnOneWorkerAreOnePieceOfEvidenceEach(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("one", workload.Step{Count: 2, Resources: oneCore, Gang: true, LongRunning: true})
	s.submit("two", workload.Step{Count: 2, Resources: oneCore, Gang: true, LongRunning: true})
	s.awaitRunning("a", 4)
	failures := 0
	s.onLoop(func() {
		session := s.o.sessions["a"]
		for index := range 2 {
			for _, job := range []string{"one", "two"} {
				id := workload.RunID{Task: workload.TaskID{Job: jobID(job), Index: index}, Number: 1}
				s.o.observeEnd(session, &workload.RunEnd{Task: id.Task, Run: id.Number, Outcome: workload.RunFailed}, 0)
			}
		}
		failures = session.failures
	})
	require.Equal(t, 2, failures)
}
