package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// queueOf returns a public queue whose name, prefix and pool derive from one name.
func queueOf(name string) workload.Queue {
	q := publicQueue(name, "/"+name+"/")
	q.Pool = name
	return q
}

// withService returns a topology with the pools p, spare and those named, each with a queue of its
// name.
func withService(version uint64, names ...string) *workload.Topology {
	t := &workload.Topology{Version: version, Queues: []workload.Queue{publicQueue("q", "/q/")}, Pools: []workload.Pool{{Name: "p"}, {Name: "spare", Spare: true}}}
	for _, name := range names {
		t.Queues = append(t.Queues, queueOf(name))
		t.Pools = append(t.Pools, workload.Pool{Name: name})
	}
	return t
}

// addInstance adds an instance of a pool, with a worker unless the pool is spare.
func (f *fakeFleet) addInstance(id, pool, worker string) {
	f.instances[id] = &executor.Instance{ID: id, Pool: pool, State: executor.Up, Worker: worker, Capacity: fakeCapacity}
	if worker != "" {
		f.workers[worker] = newFakeWorker(worker, 1)
	}
}

func (s *system) submitTo(queue, id string, step workload.Step) {
	s.t.Helper()
	spec := "short"
	if step.LongRunning {
		spec = "lasts"
	}
	require.Equal(s.t, Accepted, s.call(MethodSubmit, &Call{Path: "/" + queue + "/" + jobID(id), Job: &workload.Job{Spec: spec, Steps: []workload.Step{step}}}).Outcome)
}

// awaitSettled waits until no move and no cordon is left and no instance is in a pool.
func (s *system) awaitSettled(pool string) {
	s.t.Helper()
	s.awaitOnLoop(func() bool {
		for _, w := range s.o.leadership.State().Workers {
			if w.Cordoned {
				return false
			}
		}
		return len(s.o.fleet.moves) == 0 && s.instancesIn(pool) == 0
	})
}

func (f *fakeFleet) instancesIn(pool string) int {
	n := 0
	f.withLock(func() {
		for _, i := range f.instances {
			if i.Pool == pool {
				n++
			}
		}
	})
	return n
}

// TestIdleInstancesOfRetiredPoolReturn guards against instances that are paid for and lost to all pools,
// because nothing moves them out of a pool that the topology doesn't name any more, also after a change
// of leader. Their long-running tasks must go on.
func TestIdleInstancesOfRetiredPoolReturn(t *testing.T) {
	for name, restart := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeFleet(t, "a")
			f.lease, f.migration = takeoverLease, 200*time.Millisecond
			for _, id := range []string{"b", "c", "d"} {
				f.addInstance("m-"+id, "gone", id)
			}
			s := newSystem(t, f)
			s.apply(withService(2, "gone"))
			s.awaitOnLoop(func() bool { return len(s.o.sessions) == 4 })
			s.submitTo("gone", "lasts", longRunningStep)
			s.submitTo("gone", "cancelled", longRunningStep)
			running := func() int { return s.runningOn("b") + s.runningOn("c") + s.runningOn("d") }
			require.Eventually(t, func() bool { return running() == 2 }, 20*time.Second, 10*time.Millisecond)
			require.Equal(t, Accepted, s.call(MethodCancel, &Call{Path: "/gone/" + jobID("cancelled")}).Outcome)

			s.apply(withService(3))
			if restart {
				s.restart()
			}
			s.awaitOnLoop(func() bool { return s.instancesIn("gone") == 1 && len(s.o.fleet.moves) == 0 })
			time.Sleep(10 * fleetInterval)
			serving := 0
			s.withLock(func() { serving = s.serving() })
			require.Equal(t, 1, serving, "the job that lasts goes on")
			require.Equal(t, 1, s.instancesIn("gone"))

			back := withService(4)
			back.Queues = append(back.Queues, publicQueue("gone", "/gone/")) // its pool is p now
			s.apply(back)
			require.Equal(t, Accepted, s.call(MethodCancel, &Call{Path: "/gone/" + jobID("lasts")}).Outcome)
			s.awaitSettled("gone")
		})
	}
}

// TestInstancesOfUnknownPoolsStay guards against instances that are moved out of a pool which no
// topology ever named, or because of an entry of the list that contradicts the reports of their worker.
func TestInstancesOfUnknownPoolsStay(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.migration = 200 * time.Millisecond
	f.addInstance("m-b", "foreign", "")
	s := newSystem(t, f)
	s.apply(withService(2, "gone"))
	s.awaitOnLoop(func() bool { return s.o.fleet.instanceOf["a"] != "" })
	s.apply(withService(3))
	s.withLock(func() {
		s.staleList = []executor.Instance{{ID: "m-a", Pool: "gone", State: executor.Up, Capacity: fakeCapacity}, *s.instances["m-b"]}
	})
	listed := 0
	s.awaitOnLoop(func() bool { listed = s.o.fleet.listCount; return s.o.fleet.instances["m-a"].Pool == "gone" })
	s.awaitOnLoop(func() bool { return s.o.fleet.listCount >= listed+2 })
	s.withLock(func() { require.Empty(t, s.moved) })
}
