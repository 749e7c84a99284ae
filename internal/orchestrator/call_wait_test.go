package orchestrator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// TestUnansweredStartIsRepeatedSoon guards against tasks that wait for half a second and more for an
// order that was lost, while the other orders are answered within milliseconds.
func TestUnansweredStartIsRepeatedSoon(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a")
	var lose atomic.Bool
	var lostAt, repeatedAt atomic.Int64
	h := &heldStarts{network: &network{fakeFleet: f}, hold: func(ctx context.Context, _ *executor.Start) bool {
		if lose.CompareAndSwap(true, false) {
			lostAt.Store(time.Now().UnixNano())
			<-ctx.Done()
			return false
		}
		repeatedAt.Store(time.Now().UnixNano())
		return true
	}}
	s := newConfiguredSystem(t, f, func(s *system) { s.calls = h })
	s.awaitOnLoop(func() bool { return s.o.sessions["a"] != nil && s.o.sessions["a"].fenced })
	for _, job := range []string{"j1", "j2", "j3", "j4", "j5"} {
		s.submit(job, oneCoreTasks(12))
		s.await(job, workload.Completed)
	}
	lose.Store(true)
	s.submit("lost", oneCoreTasks(1))
	s.await("lost", workload.Completed)
	require.Positive(t, lostAt.Load())
	require.Less(t, time.Duration(repeatedAt.Load()-lostAt.Load()), callTimeout, "the start goes out again")
}

// TestCallsAreNotGivenUpEarlyOnSlowFleet guards against repeats that multiply the load of workers which
// are slow for a common reason.
func TestCallsAreNotGivenUpEarlyOnSlowFleet(t *testing.T) {
	var w callWaits
	for range 1000 {
		w.wait(0)
		w.responses.Observe(10 * time.Millisecond)
	}
	early := 0
	for range 1000 {
		if wait := w.wait(0); wait < callTimeout {
			early++
			w.gaveUp(wait)
		}
	}
	require.LessOrEqual(t, early, int(maxEarly+1000*earlyShare))
	require.Equal(t, callTimeout, w.wait(2), "a worker without responses to two calls")
}
