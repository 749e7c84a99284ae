package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
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

// beginMoveOf begins the move of an instance on the event loop.
func (s *system) beginMoveOf(instance, from, to string) {
	s.t.Helper()
	s.awaitOnLoop(func() bool {
		i, listed := s.o.fleet.instances[instance]
		if !listed || i.Pool != from || !s.o.platformAuthority.valid() || i.Worker != "" && s.o.sessions[i.Worker] == nil {
			return false
		}
		if s.o.fleet.moves[instance] == nil {
			s.o.beginMove(scheduling.Move{Instance: instance, From: from, To: to, Cores: 4}, boottime.Now())
		}
		return s.o.fleet.moves[instance] != nil
	})
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

// TestMoveToRetiredPoolEnds guards against a leader that ends by itself, and against moves, cordons and
// instances that are left behind, when a new topology doesn't name the pool to which an instance is
// being moved.
func TestMoveToRetiredPoolEnds(t *testing.T) {
	retire := func(s *system) { s.apply(withService(3)) }
	setUp := func(t *testing.T, change func(*fakeFleet)) *system {
		f := newFakeFleet(t, "a")
		f.migration = 200 * time.Millisecond
		f.addInstance("m-off", "spare", "")
		change(f)
		s := newSystem(t, f)
		s.apply(withService(2, "late"))
		return s
	}
	t.Run("tasks delay the move", func(t *testing.T) {
		t.Parallel()
		s := setUp(t, func(f *fakeFleet) { f.taskTime = 2 * time.Second })
		s.submit("j", oneCoreTasks(1))
		s.awaitRunning("a", 1)
		s.beginMoveOf("m-a", "p", "late")
		s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"].Cordoned })
		retire(s)
		s.awaitSettled("late")
		require.Equal(t, 1, s.instancesIn("p"), "the instance stays where it is needed")
		s.await("j", workload.Completed)
	})
	t.Run("request in progress", func(t *testing.T) {
		t.Parallel()
		sent, arrive := make(chan struct{}, 1), make(chan struct{})
		s := setUp(t, func(f *fakeFleet) {
			f.inTransit = func(string) time.Duration {
				select {
				case sent <- struct{}{}:
					<-arrive
				default:
				}
				return 0
			}
		})
		s.beginMoveOf("m-off", "spare", "late")
		receive(t, sent)
		retire(s)
		time.Sleep(3 * fleetInterval)
		close(arrive)
		s.awaitSettled("late")
	})
	t.Run("requests without a response", func(t *testing.T) {
		t.Parallel()
		s := setUp(t, func(f *fakeFleet) { f.platformDown = true })
		s.beginMoveOf("m-a", "p", "late")
		s.awaitOnLoop(func() bool { m := s.o.fleet.moves["m-a"]; return m != nil && m.unanswered })
		retire(s)
		time.Sleep(3 * fleetInterval)
		sent := 0
		s.withLock(func() { sent = len(s.orders) })
		s.awaitSettled("late")
		s.withLock(func() { require.Len(t, s.orders, sent, "the request is repeated") })
	})
	t.Run("instance on its way", func(t *testing.T) {
		t.Parallel()
		s := setUp(t, func(*fakeFleet) {})
		s.beginMoveOf("m-off", "spare", "late")
		s.awaitOnLoop(func() bool { m := s.o.fleet.moves["m-off"]; return m != nil && m.accepted })
		retire(s)
		s.awaitSettled("late")
	})
	t.Run("instance on its way to a spare pool", func(t *testing.T) {
		t.Parallel()
		s := setUp(t, func(f *fakeFleet) { f.addInstance("m-b", "late", "b") })
		s.beginMoveOf("m-b", "late", "spare")
		s.awaitOnLoop(func() bool { m := s.o.fleet.moves["m-b"]; return m == nil || m.accepted })
		renamed := withService(3, "late")
		renamed.Pools[1].Name = "off"
		s.apply(renamed)
		s.awaitSettled("spare")
	})
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
	t.Parallel()
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

// TestWaveEndsInRetiredSparePool guards against a wave that never ends because its instances are switched
// off in a pool that the topology doesn't name any more, and no other pool is spare.
func TestWaveEndsInRetiredSparePool(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a")
	f.migration = 200 * time.Millisecond
	f.addInstance("m-off", "spare", "")
	s := newSystem(t, f)
	s.apply(withService(2))
	s.apply(&workload.Topology{Version: 3, Queues: []workload.Queue{publicQueue("q", "/q/")}, Pools: []workload.Pool{{Name: "p"}}})
	s.eventually(func(ctx context.Context) error {
		return s.o.StartWave(ctx, &workload.Wave{ID: 1, Instances: []string{"m-off"}, Cap: 1, TimeLimit: 2 * time.Second})
	})
	require.Eventually(t, func() (maintained bool) {
		s.withLock(func() { maintained = s.maintained["m-off"] == 1 })
		return maintained
	}, 20*time.Second, 10*time.Millisecond)
}

// TestJobOfRemovedQueueGoesOn guards against an accepted job whose remaining steps never run because its
// queue was removed, also under the next leader. In a retired pool nothing starts: there, the job goes on
// once its queue is back.
func TestJobOfRemovedQueueGoesOn(t *testing.T) {
	for _, c := range []struct {
		name              string
		poolRetired, next bool
	}{{"pool stays", false, false}, {"pool stays, next leader", false, true}, {"pool retired", true, false}, {"pool retired, next leader", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFakeFleet(t, "a")
			f.lease, f.migration = takeoverLease, 100*time.Millisecond
			f.addInstance("m-b", "s", "b")
			f.taskTime = time.Second
			s := newSystem(t, f)
			s.apply(withService(2, "s"))
			s.awaitOnLoop(func() bool { return len(s.o.sessions) == 2 })
			require.Equal(t, Accepted, s.call(MethodSubmit, &Call{Path: "/s/" + jobID("j"), Job: &workload.Job{Spec: "short", Steps: []workload.Step{
				oneCoreTasks(1), {Count: 1, Resources: oneCore, DependsOn: []int{0}},
			}}}).Outcome)
			s.awaitRunning("b", 1)
			next := withService(3, "s")
			next.Queues = next.Queues[:1]
			if c.poolRetired {
				next = withService(3)
			}
			s.apply(next)
			if c.next {
				s.restart()
			}
			completed := func() bool { return s.o.leadership.State().Jobs[jobID("j")].Status == workload.Completed }
			if c.poolRetired {
				s.awaitSettled("s") // its instance has left
				early := false
				s.onLoop(func() { early = completed() })
				require.False(t, early)
				back := withService(4)
				back.Queues = append(back.Queues, publicQueue("back", "/s/"))
				s.apply(back)
			}
			s.awaitOnLoop(completed)
		})
	}
}

// TestLittleWorkOfEmptyPoolGetsInstance guards against a job that waits for good because its queue leads
// to a pool without instances and its work is too little to be worth a move.
func TestLittleWorkOfEmptyPoolGetsInstance(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a")
	f.migration, f.taskTime = 100*time.Millisecond, 500*time.Millisecond
	f.addInstance("m-off", "spare", "")
	s := newSystem(t, f)
	s.apply(withService(2))
	require.Equal(t, Accepted, s.call(MethodSubmit, &Call{Path: "/q/" + jobID("j"), Job: &workload.Job{Spec: "short", Steps: []workload.Step{
		oneCoreTasks(1), {Count: 1, Resources: oneCore, DependsOn: []int{0}}, // of four cores of an instance
	}}}).Outcome)
	s.awaitRunning("a", 1)
	next := withService(3, "new")
	next.Queues[0].Pool = "new"
	s.apply(next)
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Jobs[jobID("j")].Status == workload.Completed })
}
