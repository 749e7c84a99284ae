package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

func (s *system) startWave(w *workload.Wave) {
	s.t.Helper()
	s.eventually(func(ctx context.Context) error { return s.o.StartWave(ctx, w) })
}

// TestLateReportDoesNotReturnInstanceToItsWave guards against more instances down than the
// wave's cap: a report of the worker that the maintenance ended arrives afterwards, while the
// platform's list still shows the instance as up.
func TestLateReportDoesNotReturnInstanceToItsWave(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c")
	s := newSystem(t, f)
	s.awaitOnLoop(func() bool { return len(s.o.sessions) == 3 && s.o.fleet.instances != nil })
	list, err := f.List(t.Context())
	require.NoError(t, err)
	s.withLock(func() { f.staleList = list })
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a", "m-b"}, Cap: 1, TimeLimit: time.Minute})
	var ended string
	require.Eventually(t, func() bool {
		s.withLock(func() {
			for _, i := range f.instances {
				if i.State == executor.Maintenance {
					ended = i.Worker
				}
			}
		})
		return ended != ""
	}, 10*time.Second, time.Millisecond)
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers[ended] == nil })
	s.withLock(func() { f.staleList = nil })
	s.onLoop(func() { s.o.fleet.listRequestedAt = boottime.Now() })
	require.NoError(t, s.o.Report(t.Context(), &Report{Sequence: 1 << 62, Clock: f.clock(ended), Worker: workload.Worker{
		ID: ended, Incarnation: 1, Address: ended, Pool: "p", Capacity: fakeCapacity, Labels: []string{"a", "r"},
	}}))
	time.Sleep(5 * fleetInterval) // less than until the next list
	s.withLock(func() { require.Equal(t, 1, f.maxDown) })
}

// TestWaveGoesOnWithoutOrderedInstanceThatLeft guards against a wave that never ends, and
// whose cap stays in use: the order for an instance had no response, and the instance left
// the fleet.
func TestWaveGoesOnWithoutOrderedInstanceThatLeft(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	f.platformDown = true
	s := newSystem(t, f)
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Second})
	s.awaitOnLoop(func() bool {
		w := s.o.leadership.State().Waves[1]
		return w != nil && len(w.Ordered) == 1
	})
	s.withLock(func() {
		f.platformDown = false
		delete(f.instances, "m-a")
		delete(f.workers, "a")
	})
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Waves[1].Done() })
}

// Guards against a wave that takes the instances which a load peak needs, because those that have
// just arrived for it run the fewest tasks, while other pools have idle instances.
func TestWaveTakesInstancesThatTheirPoolsDoNotNeed(t *testing.T) {
	o := &Orchestrator{sessions: map[string]*session{}}
	o.fleet.instances = map[string]executor.Instance{}
	o.fleet.surplus = map[string]float64{"peak": -500, "idle": 100}
	add := func(instance, pool string, runs int) {
		s := &session{worker: &workload.Worker{Capacity: resources.Amount{MilliCPU: 64000}}, orders: map[workload.RunID]*order{}}
		for i := range runs {
			s.orders[workload.RunID{Number: i}] = &order{}
		}
		o.sessions["w-"+instance] = s
		o.fleet.instances[instance] = executor.Instance{ID: instance, Pool: pool, Worker: "w-" + instance}
	}
	add("arrived", "peak", 0)
	add("loaded", "peak", 3)
	add("serving", "idle", 1)
	add("unused", "idle", 0)
	add("last", "idle", 0) // the pool needs it
	instances := []string{"loaded", "arrived", "serving", "unused", "last"}
	o.sortForMaintenance(instances)
	require.Equal(t, []string{"unused", "arrived", "last", "serving", "loaded"}, instances)
}

// TestUnlistedInstanceCountsAgainstWaveCap guards against more instances down than the wave's cap:
// a list that was read in pages lacks an instance whose maintenance is in progress.
func TestUnlistedInstanceCountsAgainstWaveCap(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c")
	s := newSystem(t, f)
	s.awaitOnLoop(func() bool { return len(s.o.sessions) == 3 && s.o.fleet.instances != nil })
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a", "m-b"}, Cap: 1, TimeLimit: time.Minute})
	s.awaitOnLoop(func() bool { return len(s.o.leadership.State().Waves[1].Started) == 1 })
	lists := 0
	s.onLoop(func() { lists = s.o.fleet.listCount })
	s.withLock(func() {
		for id, i := range f.instances {
			if i.State == executor.Maintenance {
				f.unlisted = map[string]int{id: maxMissedLists - 1}
			}
		}
	})
	s.awaitOnLoop(func() bool { return s.o.fleet.listCount >= lists+maxMissedLists+1 })
	s.withLock(func() { require.Equal(t, 1, f.maxDown) })
}

// TestLateReportBringsNoTasksToEndedWorker guards against tasks that are sent to a worker that
// ended with our own order, and are suspected of having crashed it: a report that was delayed on
// its way registers the worker again.
func TestLateReportBringsNoTasksToEndedWorker(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	s := newSystem(t, f)
	s.awaitOnLoop(func() bool { return len(s.o.sessions) == 2 && s.o.fleet.instances != nil })
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Minute})
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"] == nil })
	s.endMaintenance("m-a", "next")
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["next"] != nil })
	starts := 0
	s.withLock(func() {
		f.deliver = func(order, worker string) (bool, bool) {
			if order == "start" && worker == "a" {
				starts++
			}
			return true, true
		}
	})
	require.NoError(t, s.o.Report(t.Context(), &Report{Sequence: 1, Clock: f.clock("a"), Worker: workload.Worker{
		ID: "a", Incarnation: 1, Address: "a", Pool: "p", Capacity: fakeCapacity, Labels: []string{"a", "r"},
	}}))
	s.submit("j", oneCoreTasks(12))
	s.await("j", workload.Completed)
	s.withLock(func() { require.Zero(t, starts, "starts sent to a worker that has ended") })
}

// TestLateReportAfterTakeoverBringsNoTasks guards against the same under a new leader, which doesn't
// know which incarnations were removed.
func TestLateReportAfterTakeoverBringsNoTasks(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	s := newSystem(t, f)
	s.awaitOnLoop(func() bool { return len(s.o.sessions) == 2 && s.o.fleet.instances != nil })
	s.startWave(&workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Minute})
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"] == nil })
	s.endMaintenance("m-a", "next")
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["next"] != nil })
	s.restart()
	starts := 0
	s.withLock(func() {
		f.deliver = func(order, worker string) (bool, bool) {
			if order == "start" && worker == "a" {
				starts++
			}
			return true, true
		}
	})
	s.eventually(func(ctx context.Context) error {
		return s.o.Report(ctx, &Report{Sequence: 1, Clock: f.clock("a"), Worker: workload.Worker{
			ID: "a", Incarnation: 1, Address: "a", Pool: "p", Capacity: fakeCapacity, Labels: []string{"a", "r"},
		}})
	})
	s.submit("j", oneCoreTasks(12))
	s.await("j", workload.Completed)
	s.withLock(func() { require.Zero(t, starts, "starts sent to a worker that has ended") })
}
