package orchestrator

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/peer"
	"cactusspar/internal/workload"
)

// Guards against the leader serving the status requests of all callers: in a load peak of a large
// fleet they were more than half of its calls. A follower must not say that a job doesn't exist,
// because the leader may have accepted it, nor serve anything once it doesn't hear the leader.
func TestFollowersServeStatus(t *testing.T) {
	g := newGroupOnFleet(t, newFakeFleet(t, "a", "b"))
	leader := g.leader(nil)
	g.awaitCarriers(leader)
	var follower *groupMember
	for _, m := range g.members {
		if m != leader {
			follower = m
		}
	}
	status := func(job string) (*CallResponse, error) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return follower.o.FollowerStatus(ctx, &Call{Host: "h", Path: "/q/" + jobID(job)})
	}
	g.submit(leader, "job", nil, "short", workload.Step{Count: 4, Resources: oneCore, Estimate: time.Second})
	require.Eventually(t, func() bool {
		response, err := status("job")
		return err == nil && response.Outcome == Found && response.Status == workload.Completed
	}, 20*time.Second, 10*time.Millisecond)
	response, err := status("unknown")
	require.NoError(t, err)
	require.Equal(t, Missing, response.Outcome, "the leader is to be asked")

	g.isolated.Store(&follower.name)
	require.Eventually(t, func() bool {
		_, err := status("job")
		return err != nil
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against a leader that spends its time on receiving the calls of all gateways one by one, and
// against a follower that says more than the leader: without a leader it forwards nothing.
func TestFollowersForwardCalls(t *testing.T) {
	g := newGroupOnFleet(t, newFakeFleet(t, "a", "b"))
	leader := g.leader(nil)
	g.awaitCarriers(leader)
	g.apply(leader, nil, workload.Pool{Name: "p"})
	var follower *groupMember
	for _, m := range g.members {
		if m != leader {
			follower = m
		}
	}
	forward := func(method string, c *Call) (*CallResponse, error) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Host, c.Remaining = "h", time.Second
		return follower.o.Forward(ctx, &ForwardRequest{Method: method, Call: c})
	}
	require.Eventually(t, func() bool {
		step := workload.Step{Count: 4, Resources: oneCore, Estimate: time.Second}
		response, err := forward(MethodSubmit, &Call{Path: "/q/" + jobID("job"), Job: &workload.Job{Spec: "short", Steps: []workload.Step{step}}})
		return err == nil && response.Outcome == Accepted
	}, 20*time.Second, 10*time.Millisecond)
	response, err := forward(MethodStatus, &Call{Path: "/q/" + jobID("unknown")})
	require.NoError(t, err)
	require.Equal(t, Missing, response.Outcome, "the leader says so")
	_, err = forward(MethodApplyTopology, &Call{})
	require.True(t, peer.NotHandled(err), "only calls of gateways are forwarded")

	g.isolated.Store(&follower.name)
	require.Eventually(t, func() bool {
		_, err := forward(MethodStatus, &Call{Path: "/q/" + jobID("job")})
		return err != nil && peer.NotHandled(err)
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against a leader that answers the topology requests of each gateway, two a second and a ping
// between them: they were 890 of its 1,200 frames a second without any traffic. A follower tells
// nothing once it doesn't hear the leader, and a change as soon as the leader does.
func TestFollowersShareTopologyReads(t *testing.T) {
	g := newGroupOnFleet(t, newFakeFleet(t, "a", "b"))
	leader := g.leader(nil)
	g.awaitCarriers(leader)
	g.apply(leader, nil, workload.Pool{Name: "p"})
	var follower *groupMember
	for _, m := range g.members {
		if m != leader {
			follower = m
		}
	}
	read := func(r TopologyRequest) (*TopologyResponse, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		return follower.o.FollowerTopology(ctx, &r)
	}
	reads := func() (n int) {
		require.NoError(t, leader.replica.Await(t.Context(), func(done func(error)) {
			n = leader.o.load.reads
			leader.o.load.reads, leader.o.load.since = 0, boottime.Now() // no line about the load resets it
			done(nil)
		}))
		return n
	}
	var known *TopologyResponse
	require.Eventually(t, func() bool {
		var err error
		known, err = read(TopologyRequest{})
		return err == nil && known.Topology != nil
	}, 20*time.Second, 10*time.Millisecond)
	_ = reads()
	var gateways sync.WaitGroup
	for range 40 {
		gateways.Go(func() {
			response, err := read(TopologyRequest{Version: known.Version, Wait: 300 * time.Millisecond})
			assert.NoError(t, err)
			if err == nil {
				assert.Equal(t, known.Version, response.Version)
				assert.Nil(t, response.Topology)
			}
		})
	}
	gateways.Wait()
	require.LessOrEqual(t, reads(), 10, "of 40 gateways")

	gateways.Go(func() {
		response, err := read(TopologyRequest{Version: known.Version, Wait: 2 * time.Second})
		assert.NoError(t, err)
		if err == nil {
			assert.Greater(t, response.Version, known.Version)
			assert.NotNil(t, response.Topology)
		}
	})
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return leader.o.ApplyTopology(ctx, &workload.Topology{Version: known.Version + 1, Pools: known.Topology.Pools}) == nil
	}, 20*time.Second, 10*time.Millisecond)
	gateways.Wait()

	g.isolated.Store(&follower.name)
	require.Eventually(t, func() bool {
		_, err := read(TopologyRequest{Version: known.Version, Wait: time.Millisecond})
		return err != nil
	}, 5*time.Second, 10*time.Millisecond)
}
