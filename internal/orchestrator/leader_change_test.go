package orchestrator

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// newGroupOnFleet starts a group whose replicas reach the fake fleet's platform.
func newGroupOnFleet(t *testing.T, f *fakeFleet) *group {
	g := newGroup(t, f, func(string) executor.Instances { return f })
	g.apply(g.leader(nil), nil, workload.Pool{Name: "p"})
	return g
}

// startWave starts the maintenance of all instances, all at the same time.
func (g *group) startWave() {
	g.t.Helper()
	wave := &workload.Wave{ID: 1, TimeLimit: time.Second}
	for id := range g.instances {
		wave.Instances = append(wave.Instances, id)
	}
	wave.Cap = len(wave.Instances)
	require.Eventually(g.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return g.leader(nil).o.StartWave(ctx, wave) == nil
	}, 20*time.Second, 10*time.Millisecond)
}

// awaitOrdersOf waits until an order of a holder that satisfies a condition has
// arrived at the platform.
func (g *group) awaitOrdersOf(holder func(string) bool) {
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
	g := newGroupOnFleet(t, newFakeFleet(t, "a", "b", "c", "d"))
	g.inTransit = func(holder string) time.Duration {
		if g.isolated.CompareAndSwap(nil, &holder) || *g.isolated.Load() == holder {
			return 1500 * time.Millisecond
		}
		return 0
	}
	g.startWave()
	g.awaitOrdersOf(func(holder string) bool { return holder != *g.isolated.Load() })
	time.Sleep(2 * platformTimeout) // until every call of the former leader has ended
	g.requireRisingTerms()
}

// TestSuccessorWaitsForOrdersInTransit guards against a successor that orders an instance
// while orders of the former leader are on their way. The former leader does not learn of
// the election until later.
func TestSuccessorWaitsForOrdersInTransit(t *testing.T) {
	g := newGroupOnFleet(t, newFakeFleet(t, "a", "b", "c", "d"))
	former := g.leader(nil)
	sent := make(chan struct{}, 100)
	g.inTransit = func(holder string) time.Duration {
		if holder != former.name {
			return 0
		}
		sent <- struct{}{}
		return 250 * time.Millisecond
	}
	g.startWave()
	receive(t, sent)
	g.depose(former)
	g.awaitOrdersOf(func(holder string) bool { return holder != former.name })
	time.Sleep(platformTimeout)
	g.requireRisingTerms()
}

// TestRepeatedMaintenanceSparesNextWorker guards against a task that runs twice: the
// response to a repeated order arrives when the instance has had its maintenance already
// and runs another worker, which is taken for the one that has ended.
func TestRepeatedMaintenanceSparesNextWorker(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 2, Resources: oneCore, MaxPerWorker: 1})
	s.awaitRunning("a", 1)
	var removed []workload.WorkerIncarnation
	require.NoError(t, s.replica.Await(context.Background(), func(done func(error)) {
		s.o.sessions["a"].cordoned = true // by another wave
		s.o.handleMaintainResponse(1, "m-a", workload.WorkerIncarnation{Worker: "former", Incarnation: 1}, nil)
		removed = s.o.pending.RemovedWorkers
		done(nil)
	}))
	require.Empty(t, removed)
}

// TestRepeatedMaintenanceSparesRestartedWorker guards against a task that runs twice: the
// response to an order is lost, and the order is repeated while the list still shows the
// instance in maintenance although its worker is back under the same ID and runs tasks.
// The platform has nothing to do and accepts; the worker must not be taken for one that
// has ended.
func TestRepeatedMaintenanceSparesRestartedWorker(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.taskTime, f.lostMaintenance = 0, 1
	s := newSystem(t, f)
	onLoop := func(f func()) {
		require.NoError(t, s.replica.Await(t.Context(), func(done func(error)) {
			f()
			done(nil)
		}))
	}
	retryAt := func(at boottime.Instant) { onLoop(func() { s.o.fleet.retryAt["m-a"] = at }) }
	wave := &workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Second}
	s.eventually(func(ctx context.Context) error { return s.o.StartWave(ctx, wave) })
	require.Eventually(t, func() (unanswered bool) {
		onLoop(func() { unanswered = s.o.fleet.retryAt["m-a"] != 0 })
		return unanswered
	}, 20*time.Second, time.Millisecond)
	retryAt(boottime.Now().Add(time.Hour))
	require.Eventually(t, func() (listed bool) {
		onLoop(func() { listed = s.o.fleet.instances["m-a"].State == executor.Maintenance })
		return listed
	}, 20*time.Second, time.Millisecond)
	list, err := s.List(t.Context())
	require.NoError(t, err)
	s.withLock(func() { s.staleList = list })
	s.endMaintenance("m-a", "a")
	s.submit("job", workload.Step{Count: 2, Resources: oneCore, MaxPerWorker: 1})
	s.awaitRunning("a", 1)

	runs := func() (out []workload.RunID) {
		onLoop(func() { out = slices.Collect(maps.Keys(s.o.leadership.State().RunsOn("a"))) })
		return out
	}
	before := runs()
	require.Len(t, before, 1)

	retryAt(0)
	time.Sleep(2 * declinedPause)
	require.Equal(t, before, runs(), "the run was given up while it executes")
	s.withLock(func() { s.staleList = nil })
}

// TestInstanceInMaintenanceIsNotOrderedForOtherWave guards against a worker that ends right
// after its instance is back, with its tasks: the order of another wave is repeated while
// the instance is in maintenance, and carried out as soon as it is not.
func TestInstanceInMaintenanceIsNotOrderedForOtherWave(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	s := newSystem(t, f)
	for id := range uint64(2) {
		wave := &workload.Wave{ID: id + 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Second}
		s.eventually(func(ctx context.Context) error { return s.o.StartWave(ctx, wave) })
	}
	require.Eventually(t, func() bool {
		down := 0
		s.withLock(func() { down = s.down })
		return down == 1
	}, 20*time.Second, 5*time.Millisecond)
	time.Sleep(2 * listInterval)
	s.withLock(func() { require.Len(t, s.orders, 1) })
	s.endMaintenance("m-a", "next")
	require.Eventually(t, func() bool {
		down := 0
		s.withLock(func() { down = s.down })
		return down == 1
	}, 20*time.Second, 5*time.Millisecond, "the other wave maintains the instance too")
}

// requireRisingTerms checks that no order for an instance arrived after one of a later
// leader.
func (g *group) requireRisingTerms() {
	g.t.Helper()
	g.withLock(func() {
		highest := map[string]uint64{}
		for _, c := range g.orders {
			require.GreaterOrEqual(g.t, c.Fence, highest[c.instance], "%s ordered %s in term %d after an order of a later leader", c.Holder, c.instance, c.Fence)
			highest[c.instance] = c.Fence
		}
	})
}

// TestAcceptedMaintenanceIsNotOrderedAgain guards against a leader that repeats an order
// which the platform has accepted, because its start can't be committed.
func TestAcceptedMaintenanceIsNotOrderedAgain(t *testing.T) {
	g := newGroupOnFleet(t, newFakeFleet(t, "a", "b", "c", "d"))
	g.inTransit = func(holder string) time.Duration {
		g.isolated.CompareAndSwap(nil, &holder)
		return 0
	}
	g.startWave()
	g.awaitOrdersOf(func(holder string) bool { return holder != *g.isolated.Load() })
	g.withLock(func() {
		orders := map[string]int{}
		for _, c := range g.orders {
			if c.Holder == *g.isolated.Load() {
				orders[c.instance]++
			}
		}
		for instance, n := range orders {
			require.Equal(t, 1, n, "orders for %s", instance)
		}
	})
}
