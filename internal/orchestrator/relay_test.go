package orchestrator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// awaitCarriers waits until both followers carry the orders of the leader.
func (g *group) awaitCarriers(leader *groupMember) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		carriers := map[string]bool{}
		for i := range 100 {
			carriers[leader.o.carriers.CarrierOf(fmt.Sprint(i))] = true
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
		_, err := client.Report(ctx, &Report{Sequence: sequence, Clock: g.clock(), Worker: workload.Worker{
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
	require.Eventually(t, func() bool { return follower.o.carrying.Connected() }, 20*time.Second, 5*time.Millisecond)
	require.NoError(t, report(later, false))
	require.Eventually(t, func() bool { sequence, _ := session(); return sequence == later }, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, report(later+1, true))
	_, draining := session()
	require.True(t, draining, "acknowledged before the drain was committed")

	g.isolated.Store(&follower.name)
	require.Eventually(t, func() bool { return report(later+2, true) != nil }, 10*time.Second, 10*time.Millisecond)
}
