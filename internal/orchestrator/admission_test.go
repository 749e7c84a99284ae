package orchestrator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/workload"
)

// onLeader runs f on the owning goroutine once this replica leads.
func (s *system) onLeader(f func(now boottime.Instant)) {
	s.t.Helper()
	s.eventually(func(ctx context.Context) error {
		return s.replica.Await(ctx, func(done func(error)) {
			if s.o.leadership == nil {
				done(errNoResponse)
				return
			}
			f(boottime.Now())
			done(nil)
		})
	})
}

// TestTakeoverRestoresShares guards against a new leader that gives a workspace its share again
// although its predecessor has just given it all of it.
func TestTakeoverRestoresShares(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = time.Minute
	s := newSystem(t, f)
	key := workload.HashKey("k")
	s.apply(&workload.Topology{
		Version: 2, Pools: []workload.Pool{{Name: "p"}}, Teams: []workload.Team{{Name: "t", Keys: []workload.KeyHash{key}, Weight: 100}},
		Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Timeout: 3 * time.Second, Pool: "p", MaxAttempts: 3, Stretch: 10, Slack: time.Minute}},
	})
	for i := range 4 {
		response := s.call(MethodSubmit, &Call{Path: "/q/" + jobID(fmt.Sprint("j", i)), Key: &key, Job: &workload.Job{Spec: "short", Steps: []workload.Step{{Count: 1, Resources: oneCore, Estimate: time.Second}}}})
		require.Equal(t, Accepted, response.Outcome)
	}
	s.restart()
	s.onLeader(func(now boottime.Instant) {
		given, _ := s.o.competition("p").division.Share(now, "t")
		require.InDelta(t, 1, given, 0.1, "four jobs of one core-second on a worker with four cores")
	})
}

// TestRefusedCallerReturnsInItsTurn guards against a refused caller that comes back at the time
// that it was told and is refused again, because new callers have taken the room.
func TestRefusedCallerReturnsInItsTurn(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = time.Second
	s := newSystem(t, f)
	topology := &workload.Topology{
		Version: 2, Pools: []workload.Pool{{Name: "p"}},
		Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Public: true, Timeout: 10 * time.Second, Pool: "p", MaxAttempts: 3, Stretch: 1, Slack: 2500 * time.Millisecond}},
	}
	s.apply(topology)
	submit := func(id string) *CallResponse {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		response, err := s.o.Call(ctx, MethodSubmit, &Call{
			Host: "h", Path: "/q/" + jobID(id), Remaining: 10 * time.Second,
			Job: &workload.Job{Spec: "short", Steps: []workload.Step{{Count: 4, Resources: oneCore, Estimate: time.Second}}},
		})
		require.NoError(t, err)
		return response
	}
	require.Eventually(t, func() bool { return submit("first").Outcome == Accepted }, 20*time.Second, 20*time.Millisecond, "the worker is known")
	var refused *CallResponse
	id := ""
	for i := 0; refused == nil || refused.Outcome == Accepted; i++ {
		id = fmt.Sprint("j", i)
		refused = submit(id)
	}
	require.Equal(t, "overload", refused.Reason)
	require.Zero(t, refused.RetryAfter%time.Second, "callers are told whole seconds")
	time.Sleep(refused.RetryAfter - 500*time.Millisecond)
	s.onLeader(func(now boottime.Instant) {
		require.Positive(t, s.o.competition("p").returns.Held(now, time.Second), "the room is kept from new callers")
	})
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, Accepted, submit(id).Outcome)
}
