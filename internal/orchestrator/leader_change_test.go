package orchestrator

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/control"
	"cactusspar/internal/testutil"
	"cactusspar/internal/workload"
)

// replicaGroup is a group of three replicas that share a fleet. One of them can be
// cut off from the others; it still reaches the workers and the platform.
type replicaGroup struct {
	*fakeFleet
	replicas []*system
	cutOff   atomic.Pointer[string] // name of the replica that is cut off
}

func newReplicaGroup(t *testing.T, f *fakeFleet) *replicaGroup {
	g := &replicaGroup{fakeFleet: f}
	var members []control.Address
	for i := range 3 {
		members = append(members, control.Address{Name: fmt.Sprintf("c%d", i+1), Peer: testutil.FreeAddr(t)})
	}
	for _, self := range members {
		blocked := func(other string) bool {
			name := g.cutOff.Load()
			return name != nil && (*name == self.Name || *name == other)
		}
		g.replicas = append(g.replicas, newReplica(t, f, self, members, blocked))
	}
	g.onLeader(func(ctx context.Context, o *Orchestrator) error { return o.ApplyTopology(ctx, testTopology()) })
	return g
}

// onLeader repeats a call on all replicas until one of them, the leader, succeeds.
func (g *replicaGroup) onLeader(call func(context.Context, *Orchestrator) error) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		for _, s := range g.replicas {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := call(ctx, s.o)
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	}, 20*time.Second, 10*time.Millisecond)
}

// startWave starts the maintenance of all instances, all at the same time.
func (g *replicaGroup) startWave() {
	g.t.Helper()
	wave := &workload.Wave{ID: 1, TimeLimit: time.Second}
	for id := range g.instances {
		wave.Instances = append(wave.Instances, id)
	}
	wave.Cap = len(wave.Instances)
	g.onLeader(func(ctx context.Context, o *Orchestrator) error { return o.StartWave(ctx, wave) })
}

// awaitOrdersOf waits until an order of a holder that satisfies a condition has
// arrived at the platform.
func (g *replicaGroup) awaitOrdersOf(holder func(string) bool) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, c := range g.orders {
			if holder(c.Holder) {
				return true
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
}

// TestOrdersOfFormerLeaderEndBeforeSuccessorBegins guards against an instance that is
// ordered by two leaders at the same time: the former leader is cut off from the other
// replicas while its orders are on their way to the platform.
func TestOrdersOfFormerLeaderEndBeforeSuccessorBegins(t *testing.T) {
	g := newReplicaGroup(t, newFakeFleet(t, "a", "b", "c", "d"))
	g.inTransit = func(holder string) time.Duration {
		if g.cutOff.CompareAndSwap(nil, &holder) || *g.cutOff.Load() == holder {
			return 1500 * time.Millisecond
		}
		return 0
	}
	g.startWave()
	g.awaitOrdersOf(func(holder string) bool { return holder != *g.cutOff.Load() })
	time.Sleep(2 * platformTimeout) // until every call of the former leader has ended
	g.withLock(func() {
		highest := map[string]uint64{}
		for _, c := range g.orders {
			require.GreaterOrEqual(t, c.Fence, highest[c.instance], "%s ordered %s in term %d after an order of a later leader", c.Holder, c.instance, c.Fence)
			highest[c.instance] = c.Fence
		}
	})
}

// TestAcceptedMaintenanceIsNotOrderedAgain guards against a leader that repeats an order
// which the platform has accepted, because its start can't be committed.
func TestAcceptedMaintenanceIsNotOrderedAgain(t *testing.T) {
	g := newReplicaGroup(t, newFakeFleet(t, "a", "b", "c", "d"))
	g.inTransit = func(holder string) time.Duration {
		g.cutOff.CompareAndSwap(nil, &holder)
		return 0
	}
	g.startWave()
	g.awaitOrdersOf(func(holder string) bool { return holder != *g.cutOff.Load() })
	g.withLock(func() {
		orders := map[string]int{}
		for _, c := range g.orders {
			if c.Holder == *g.cutOff.Load() {
				orders[c.instance]++
			}
		}
		for instance, n := range orders {
			require.Equal(t, 1, n, "orders for %s", instance)
		}
	})
}
