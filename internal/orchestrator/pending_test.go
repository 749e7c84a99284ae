package orchestrator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestJobsWithoutBegunTaskArePending guards against jobs that aren't counted as pending although none of
// their tasks has begun: their starts were committed, but have no response. A new leader counts them,
// too.
func TestJobsWithoutBegunTaskArePending(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a")
	f.lease, f.taskTime = takeoverLease, 0
	f.startsLost.Store(true)
	s := newSystem(t, f)
	pending := func() int { return s.call(MethodPending, &Call{Path: "/q/"}).Pending }
	for _, id := range []string{"1", "2"} {
		s.submit(id, oneCoreTasks(1))
	}
	s.awaitOnLoop(func() bool { return len(s.o.leadership.State().RunsOn("a")) == 2 })
	require.Equal(t, 2, pending())
	s.withLock(func() { s.pollsLost = true })
	s.restart()
	require.Equal(t, 2, pending(), "under the next leader")

	s.startsLost.Store(false)
	s.withLock(func() { s.pollsLost = false })
	s.awaitRunning("a", 2)
	s.awaitOnLoop(func() bool { return s.o.pendingJobs("q") == 0 })
	s.restart()
	s.awaitOnLoop(func() bool { return s.o.pendingJobs("q") == 0 })
	s.withLock(func() { s.workers["a"] = newFakeWorker("a", 2) }) // it crashes, and the runs are given up
	s.startsLost.Store(true)
	s.awaitOnLoop(func() bool { return s.o.sessions["a"] != nil && s.o.sessions["a"].incarnation == 2 })
	require.Zero(t, pending(), "jobs that have begun")
}
