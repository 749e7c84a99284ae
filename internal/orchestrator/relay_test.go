package orchestrator

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// awaitCarriers waits until both followers carry the orders of the leader.
func (g *group) awaitCarriers(leader *groupMember) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		carriers := map[string]bool{}
		for i := range 100 {
			carriers[leader.o.relayClient.CarrierOf(fmt.Sprint(i))] = true
		}
		return len(carriers) == len(g.members)-1 && !carriers[""]
	}, 20*time.Second, 5*time.Millisecond)
}

func TestFollowersCarryOrders(t *testing.T) {
	g := newGroupOnFleet(t, newFakeFleet(t, "a", "b", "c", "d"))
	leader := g.leader(nil)
	g.awaitCarriers(leader)
	before := leader.starts.Load()
	g.submit(leader, "job", nil, "short", workload.Step{Count: 8, Resources: oneCore, Estimate: time.Second})
	require.Eventually(t, func() bool {
		response, err := g.call(leader, MethodStatus, &Call{Path: "/q/" + jobID("job")})
		return err == nil && response.Status == workload.Completed
	}, 20*time.Second, 10*time.Millisecond)
	require.Equal(t, before, leader.starts.Load(), "the leader has sent starts itself")
}

// A follower acknowledges a report only if it passes it on, or the leader has it.
func TestFollowerPassesOnReports(t *testing.T) {
	g := newGroupOnFleet(t, newFakeFleet(t, "a"))
	leader := g.leader(nil)
	g.awaitCarriers(leader)
	var follower *groupMember
	for _, m := range g.members {
		if m != leader {
			follower = m
		}
	}
	client := &Client{Replica: follower.replica, Orchestrator: follower.o}
	report := func(sequence uint64, draining bool) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.Report(ctx, &Report{Sequence: sequence, Clock: g.clock("a"), Worker: workload.Worker{
			ID: "a", Incarnation: 1, Address: "a", Pool: "p", Capacity: fakeCapacity, Labels: []string{"a", "r"}, Draining: draining,
		}})
		return err
	}
	session := func() (sequence uint64, draining bool) {
		require.NoError(t, leader.replica.Await(t.Context(), func(done func(error)) {
			if s, w := leader.o.sessions["a"], leader.o.leadership.State().Workers["a"]; s != nil && w != nil {
				sequence, draining = s.sequence, w.Draining
			}
			done(nil)
		}))
		return sequence, draining
	}
	const later = 1 << 40 // above the sequence of the test's other reports
	require.Eventually(t, func() bool { return follower.o.relayServer.Connected() }, 20*time.Second, 5*time.Millisecond)
	require.NoError(t, report(later, false))
	require.Eventually(t, func() bool { sequence, _ := session(); return sequence == later }, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, report(later+1, true))
	_, draining := session()
	require.True(t, draining, "acknowledged before the drain was committed")

	g.isolated.Store(&follower.name)
	require.Eventually(t, func() bool { return report(later+2, true) != nil }, 10*time.Second, 10*time.Millisecond)
}

// impatientWorkers respond to polls at once, whatever they may wait.
type impatientWorkers struct {
	*scaleFleet
	polls atomic.Int64
}

func (w *impatientWorkers) Poll(ctx context.Context, t executor.Target, p executor.Poll) (executor.PollResponse, error) {
	w.polls.Add(1)
	p.Wait = 0
	return w.scaleFleet.Poll(ctx, t, p)
}

// A worker that ignores how long it may wait must not be polled in a loop.
func TestImpatientWorkerIsPolledOnceATick(t *testing.T) {
	f := &impatientWorkers{scaleFleet: newScaleFleet(1, time.Hour)}
	o := startScaleSystem(t, f.scaleFleet, f)
	step := workload.Step{Count: 1, Resources: oneCore, Estimate: time.Second}
	require.Eventually(t, func() bool {
		response, err := o.Call(t.Context(), MethodSubmit, &Call{
			Host: "h", Path: "/p0/" + jobID("job"), Remaining: 3 * time.Second, Job: &workload.Job{Spec: "s", Steps: []workload.Step{step}},
		})
		return err == nil && response.Outcome == Accepted
	}, 10*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return f.polls.Load() > 0 }, 10*time.Second, time.Millisecond)
	before := f.polls.Load()
	time.Sleep(time.Second)
	require.LessOrEqual(t, f.polls.Load()-before, int64(time.Second/(20*time.Millisecond))+1)
}
