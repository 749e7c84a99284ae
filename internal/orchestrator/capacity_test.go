package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// awaitCapacity waits until the leader knows that a worker has room for n tasks.
func (s *system) awaitCapacity(worker string, n int64) {
	s.t.Helper()
	s.awaitOnLoop(func() bool {
		w := s.o.leadership.State().Workers[worker]
		return w != nil && w.Capacity.MilliCPU == n*oneCore.MilliCPU
	})
}

// A worker whose capacity shrinks while starts are on their way must not be filled beyond it
// by their repetition. It may not refuse them.
func TestShrunkWorkerIsNotOverfilled(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.awaitCapacity("a", 4)
	s.startsLost.Store(true)
	s.submit("j", oneCoreTasks(4))
	s.awaitOnLoop(func() bool { return len(s.o.leadership.State().RunsOn("a")) == 4 })
	s.resize("a", 1)
	s.awaitCapacity("a", 1)
	time.Sleep(resizeNotice)
	s.startsLost.Store(false)
	s.await("j", workload.Completed)
}

// The same if the next leader repeats the starts.
func TestNextLeaderDoesNotOverfillShrunkWorker(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.lease = takeoverLease
	s := newSystem(t, f)
	s.awaitCapacity("a", 4)
	s.startsLost.Store(true)
	s.submit("j", oneCoreTasks(4))
	s.awaitOnLoop(func() bool { return len(s.o.leadership.State().RunsOn("a")) == 4 })
	s.resize("a", 1)
	s.restart()
	s.awaitCapacity("a", 1)
	time.Sleep(resizeNotice)
	s.startsLost.Store(false)
	s.await("j", workload.Completed)
}

// A worker that runs more than its shrunken capacity must get nothing until there is room
// again, also while runs on it are being stopped, and must be used when it has grown.
func TestCapacityThatShrinksAndGrows(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.stopGrace = time.Second
	f.taskTime = 0 // tasks run until they are stopped
	s := newSystem(t, f)
	s.awaitCapacity("a", 4)
	s.submit("j1", oneCoreTasks(3))
	s.awaitRunning("a", 3)
	s.resize("a", 2)
	s.awaitCapacity("a", 2)
	s.submit("j2", oneCoreTasks(1))
	s.cancelJob("j1")
	time.Sleep(resizeNotice)
	require.Equal(t, 3, s.runningOn("a"), "the stopped runs have not ended yet")
	s.awaitRunning("a", 1)
	s.submit("j3", oneCoreTasks(3))
	s.awaitRunning("a", 2)
	s.resize("a", 4)
	s.awaitRunning("a", 4)
}
