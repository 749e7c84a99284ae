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
	s.onLoop(func() {
		require.Equal(t, "p", s.o.leadership.State().Workers["a"].Pool)
		require.Nil(t, s.o.leadership.State().Workers["new"])
	})
	s.submit("j", oneCoreTasks(1))
	s.await("j", workload.Completed)
	require.NoError(t, report("late", "gone"), "an instance was on its way to a pool when it was retired")
}
