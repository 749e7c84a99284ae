package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// pacedFleet is a fake fleet that carries out paces, and lists a load of the tasks that serve.
type pacedFleet struct {
	*fakeFleet
	load      int64 // tail latency in milliseconds
	percent   int   // pace of the best-effort task
	unnoticed bool  // paces are carried out without a response
}

// pacedTarget is the tail latency target of the task that serves.
const pacedTarget = 100 * time.Millisecond

func (f *pacedFleet) Pace(_ context.Context, t executor.Target, p executor.Pace) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.reach(t, p.Fence); err != nil {
		return err
	}
	f.percent = p.Percent
	if f.unnoticed {
		return errNoResponse
	}
	return nil
}

func (f *pacedFleet) Poll(ctx context.Context, t executor.Target, p executor.Poll) (executor.PollResponse, error) {
	p.Wait = min(p.Wait, 50*time.Millisecond) // the load is listed soon
	response, err := f.fakeFleet.Poll(ctx, t, p)
	f.withLock(func() {
		for i := range response.Running {
			response.Running[i].Load = f.load
		}
	})
	return response, err
}

func (f *pacedFleet) setLoad(load time.Duration) { f.withLock(func() { f.load = load.Milliseconds() }) }

func (f *pacedFleet) awaitPercent(reached func(percent int) bool, failure string) {
	f.t.Helper()
	require.Eventually(f.t, func() (ok bool) {
		f.withLock(func() { ok = reached(f.percent) })
		return ok
	}, 10*time.Second, 5*time.Millisecond, failure)
}

func isStopped(percent int) bool { return percent == 0 }

// newPacedSystem returns a system with one worker, which runs a best-effort task beside one that
// serves. The best-effort task is stopped because the other one misses its target.
func newPacedSystem(t *testing.T) (*system, *pacedFleet) {
	fleet := &pacedFleet{fakeFleet: newFakeFleet(t, "a"), percent: fullPace}
	fleet.lease = takeoverLease
	s := newConfiguredSystem(t, fleet.fakeFleet, func(s *system) { s.calls = fleet })
	s.submit("serve", workload.Step{Count: 1, Resources: oneCore, LongRunning: true, TailLatencyTarget: pacedTarget})
	s.submit("fill", workload.Step{Count: 1, Resources: oneCore, LongRunning: true, BestEffort: true})
	s.awaitRunning("a", 2)
	fleet.setLoad(2 * pacedTarget)
	fleet.awaitPercent(isStopped, "not paced at all")
	return s, fleet
}

// TestPaceWithoutResponseIsReplaced guards against a best-effort task that disturbs one that misses
// its target: a faster pace had no response but was carried out, and the leader takes the former one
// to be in force.
func TestPaceWithoutResponseIsReplaced(t *testing.T) {
	_, fleet := newPacedSystem(t)
	fleet.withLock(func() { fleet.unnoticed = true })
	fleet.setLoad(0)
	fleet.awaitPercent(func(percent int) bool { return percent > 0 }, "not sped up")
	fleet.setLoad(2 * pacedTarget)
	fleet.withLock(func() { fleet.unnoticed = false })
	fleet.awaitPercent(isStopped, "the pace of the leader is not in force")
}

// TestSuccessorRaisesPaceOfFormerLeader guards against a best-effort task that never goes on: a former
// leader has stopped it, and its successor takes it to be at full pace.
func TestSuccessorRaisesPaceOfFormerLeader(t *testing.T) {
	s, fleet := newPacedSystem(t)
	s.restart()
	fleet.setLoad(0)
	fleet.awaitPercent(func(percent int) bool { return percent == fullPace }, "the task remains slow")
	require.Equal(t, 2, s.runningOn("a"))
}
