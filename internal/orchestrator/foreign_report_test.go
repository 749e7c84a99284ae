package orchestrator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/peer"
	"cactusspar/internal/workload"
)

// TestReportOfUnknownPoolNamesNoWorker guards against a report of another writer, with a pool that no
// topology has named, that replaces a worker's pool, address and count of reports: its tasks run twice,
// or it gets none any more.
func TestReportOfUnknownPoolNamesNoWorker(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a")
	s := newSystem(t, f)
	s.apply(withService(2, "gone"))
	s.apply(withService(3))
	s.awaitOnLoop(func() bool { return s.o.sessions["a"] != nil })
	report := func(id, pool string) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return s.o.Report(ctx, &Report{Sequence: uint64(time.Now().UnixNano()) + 1e18, Worker: workload.Worker{ID: id, Incarnation: 1, Address: "elsewhere", Pool: pool, Capacity: fakeCapacity}})
	}
	for _, id := range []string{"a", "new"} {
		var refused *peer.RemoteError
		require.True(t, errors.As(report(id, "foreign"), &refused))
		require.Equal(t, CodeUnknownPool, refused.Code)
	}
	var pool string
	var added *workload.Worker
	s.onLoop(func() { pool, added = s.o.leadership.State().Workers["a"].Pool, s.o.leadership.State().Workers["new"] })
	require.Equal(t, "p", pool)
	require.Nil(t, added)
	s.submit("j", oneCoreTasks(1))
	s.await("j", workload.Completed)
	require.NoError(t, report("late", "gone"), "an instance was on its way to a pool when it was retired")
}

// TestEntryWithoutWorkerEndsNoRun guards against tasks that run twice because an incomplete entry of the
// platform's list, which names no worker, counts as the end of the instance's worker.
func TestEntryWithoutWorkerEndsNoRun(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a", "b")
	f.lease, f.taskTime = takeoverLease, 0
	s := newSystem(t, f)
	s.apply(withService(2))
	s.awaitOnLoop(func() bool {
		return len(s.o.sessions) == 2 && s.o.fleet.instanceOf["a"] != "" && s.o.fleet.instanceOf["b"] != ""
	})
	s.submit("j", oneCoreTasks(2))
	require.Eventually(t, func() bool { return s.runningOn("a")+s.runningOn("b") == 2 }, 20*time.Second, 10*time.Millisecond)
	s.withLock(func() {
		for _, i := range s.instances {
			entry := *i
			s.staleList = append(s.staleList, entry)
			entry.Worker = ""
			s.staleList = append(s.staleList, entry)
		}
		// Their reports are late, as those before a list may be.
		s.workers["a"].noReports, s.workers["b"].noReports = true, true
	})
	listed := 0
	s.awaitOnLoop(func() bool { listed = s.o.fleet.listCount; return s.o.fleet.instances["m-a"].Worker == "" })
	s.awaitOnLoop(func() bool { return s.o.fleet.listCount >= listed+3 })
	workers := 0
	s.onLoop(func() { workers = len(s.o.leadership.State().Workers) })
	require.Equal(t, 2, workers)
	s.withLock(func() { require.Equal(t, 1, s.starts[firstTask("j")]) })
}
