package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// TestRestartDuringMoveKeepsTasksOffInstance guards against long-running tasks that start on an
// instance while its move is on its way to the platform, which then ends them whatever their
// disruption budget is: the worker crashes, is back under its ID, and its cordon has ended with the
// former incarnation.
func TestRestartDuringMoveKeepsTasksOffInstance(t *testing.T) {
	f := newFakeFleet(t, "a")
	sent, arrive := make(chan struct{}, 1), make(chan struct{})
	f.inTransit = func(string) time.Duration {
		sent <- struct{}{}
		<-arrive
		return 0
	}
	s := newSystem(t, f)
	s.apply(&workload.Topology{
		Version: 2, Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Public: true, Timeout: 3 * time.Second, Pool: "p", MaxAttempts: 3, Stretch: 10, Slack: time.Minute}},
		Pools: []workload.Pool{{Name: "p"}, {Name: "other"}},
	})
	s.awaitOnLoop(func() bool {
		if s.o.fleet.instances["m-a"].Worker != "a" || !s.o.platformAuthority.valid() {
			return false
		}
		s.o.beginMove(scheduling.Move{Instance: "m-a", From: "p", To: "other"}, boottime.Now())
		return true
	})
	receive(t, sent)

	s.withLock(func() { s.workers["a"] = newFakeWorker("a", 2) })
	s.awaitOnLoop(func() bool { return s.o.sessions["a"].incarnation == 2 })
	budget := 0
	s.submit("serve", workload.Step{Count: 1, Resources: oneCore, LongRunning: true, MaxUnavailable: &budget})
	time.Sleep(3 * idlePlanInterval)
	onInstance := s.runningOn("a")
	close(arrive)
	require.Zero(t, onInstance, "a long-running task runs on an instance whose move is requested")
	require.Eventually(t, func() (moved bool) {
		s.withLock(func() { moved = s.instances["m-a"].Pool == "other" && s.instances["m-a"].State == executor.Up })
		return moved
	}, 10*time.Second, 5*time.Millisecond)
}
