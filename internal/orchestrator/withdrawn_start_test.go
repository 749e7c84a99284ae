package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// waitingStarts is a system in which many starts wait for their turn at worker "a", which has no
// response to those in progress. Worker "b" has room for all tasks, but isn't there yet.
type waitingStarts struct {
	*system
	begunOnA int // runs that began on worker "a"
}

const waitingTasks = 24

func newWaitingStarts(t *testing.T) *waitingStarts {
	f := newFakeFleet(t, "a")
	f.lease, f.taskTime = takeoverLease, 100*time.Millisecond
	f.workers["a"].capacity.MilliCPU = waitingTasks * oneCore.MilliCPU
	f.workers["a"].labels = []string{"l", "r"}
	w := &waitingStarts{}
	f.started = func(worker string, _ workload.TaskID) {
		if worker == "a" {
			w.begunOnA++
		}
	}
	f.startsLost.Store(true)
	w.system = newSystem(t, f)
	w.apply(withService(2))
	w.awaitOnLoop(func() bool { return w.o.sessions["a"] != nil && w.o.sessions["a"].clock.reading != 0 })
	w.submit("j", workload.Step{Count: waitingTasks, Resources: oneCore, Label: "l"})
	w.awaitOnLoop(func() bool { return len(w.o.leadership.State().RunsOn("a")) == waitingTasks })
	return w
}

// addWorker adds worker "b", whose instance is in a pool.
func (w *waitingStarts) addWorker(pool string) {
	w.withLock(func() {
		w.addInstance("m-b", pool, "b")
		w.workers["b"].capacity.MilliCPU = waitingTasks * oneCore.MilliCPU
		w.workers["b"].labels = []string{"l", "r"}
	})
}

// TestBlockedStartsAreNotSent guards against starts that are sent long after the worker must not begin
// them any more: they were committed before and wait for their turn, while others have no response. A
// new leader, which doesn't know whether they were sent, must not send them either.
func TestBlockedStartsAreNotSent(t *testing.T) {
	for _, c := range []struct {
		name  string
		block func(*waitingStarts)
		pool  string
	}{
		{"draining", func(w *waitingStarts) { w.withLock(func() { w.workers["a"].draining = true }) }, "p"},
		{"cordoned", func(w *waitingStarts) {
			w.withLock(func() { delete(w.instances, "m-a") }) // no list ends the cordon
			w.awaitOnLoop(func() bool { return w.o.fleet.instances != nil && len(w.o.fleet.instances) == 0 })
			w.propose(&workload.Command{Cordons: []workload.Cordon{{Worker: "a", Incarnation: 1, Cordoned: true}}})
		}, "p"},
		{"label lost", func(w *waitingStarts) { w.withLock(func() { w.workers["a"].labels = []string{"other", "r"} }) }, "p"},
		{"no room", func(w *waitingStarts) { w.withLock(func() { w.workers["a"].capacity.MilliCPU = 0 }) }, "p"},
		{"queue of another pool", func(w *waitingStarts) {
			moved := withService(3, "other")
			moved.Queues[0].Pool = "other"
			w.apply(moved)
		}, "other"},
	} {
		for _, successor := range []bool{false, true} {
			name := c.name
			if successor {
				name += ", next leader"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				w := newWaitingStarts(t)
				if successor {
					w.withLock(func() { w.pollsLost = true }) // no list tells the next leader about the runs
					w.restart()
				}
				c.block(w)
				w.awaitOnLoop(func() bool {
					s := w.o.leadership.State()
					worker := s.Workers["a"]
					return s.StartBlocked(worker, s.Jobs[jobID("j")], &s.Jobs[jobID("j")].Steps[0], s.OccupiedOn("a"), s.UsedByTeam("")) != ""
				})
				w.addWorker(c.pool)
				w.startsLost.Store(false)
				w.withLock(func() { w.pollsLost = false })
				w.await("j", workload.Completed)
				w.withLock(func() { require.Zero(t, w.begunOnA, "runs that began on the worker") })
			})
		}
	}
}

// TestStartsThatWereNeverSentAreFreeAtOnce guards against tasks that wait for a worker without responses
// although nothing of them was ever sent there.
func TestStartsThatWereNeverSentAreFreeAtOnce(t *testing.T) {
	t.Parallel()
	w := newWaitingStarts(t)
	w.addWorker("p")
	w.withLock(func() { w.pollsLost = true }) // and so no run that was sent can be given up
	w.awaitOnLoop(func() bool { return w.o.sessions["b"] != nil })
	w.withLock(func() { w.workers["a"].draining = true })
	w.awaitOnLoop(func() bool { return w.o.leadership.State().Workers["a"].Draining })
	began := time.Now()
	w.awaitOnLoop(func() bool { return len(w.o.leadership.State().RunsOn("a")) <= 2*maxOrdersInFlight })
	require.Less(t, time.Since(began), waitingTasks/maxOrdersInFlight*callTimeout/2, "half of what their turns take")
}

// TestCancelOfWaitingStartsNeedsNoStops guards against stops of runs that were never sent, which take
// the turns of other orders at a worker.
func TestCancelOfWaitingStartsNeedsNoStops(t *testing.T) {
	t.Parallel()
	w := newWaitingStarts(t)
	stops := 0
	w.withLock(func() {
		w.deliver = func(order, _ string) (bool, bool) {
			if order == "stop" {
				stops++
			}
			return true, true
		}
	})
	require.Equal(t, Accepted, w.call(MethodCancel, &Call{Path: "/q/" + jobID("j")}).Outcome)
	w.awaitOnLoop(func() bool { return len(w.o.leadership.State().RunsOn("a")) == 0 })
	w.withLock(func() { require.LessOrEqual(t, stops, 3*maxOrdersInFlight) })
}

// TestRunThatHasBegunOutlastsItsWithdrawal guards against a task at work that is stopped, beyond its
// step's MaxUnavailable, because its start had no response before its worker was cordoned.
func TestRunThatHasBegunOutlastsItsWithdrawal(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a")
	f.lease, f.pollsLost = takeoverLease, true
	stopsLost := true
	f.deliver = func(order, _ string) (carriedOut, responded bool) {
		if order == "start" {
			return true, false
		}
		return !stopsLost, !stopsLost
	}
	s := newSystem(t, f)
	budget := 0
	s.submit("serve", workload.Step{Count: 1, Resources: oneCore, LongRunning: true, MaxUnavailable: &budget})
	s.awaitRunning("a", 1)
	s.propose(&workload.Command{Cordons: []workload.Cordon{{Worker: "a", Incarnation: 1, Cordoned: true}}})
	s.awaitOnLoop(func() bool {
		for _, r := range s.o.sessions["a"].orders {
			return r.phase == stopPending
		}
		return false
	})
	s.withLock(func() { s.pollsLost = false })
	s.awaitOnLoop(func() bool {
		for _, r := range s.o.sessions["a"].orders {
			return r.phase == running
		}
		return false
	})
	s.withLock(func() { stopsLost = false })
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, 1, s.runningOn("a"))
}

// TestStartsOverLoweredCapAreNotSent guards against tasks that begin seconds after the cap of their team
// was lowered below what it runs, because their starts were committed before. Only as many as the cap
// doesn't allow are withdrawn, and a new leader sends none of them either.
func TestStartsOverLoweredCapAreNotSent(t *testing.T) {
	const allowed = 6
	for name, successor := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeFleet(t, "a")
			f.lease, f.taskTime = takeoverLease, 100*time.Millisecond
			f.workers["a"].capacity.MilliCPU = waitingTasks * oneCore.MilliCPU
			most := 0
			f.started = func(worker string, _ workload.TaskID) { most = max(most, len(f.workers[worker].running)) }
			f.startsLost.Store(true)
			stopsLost := true // a run that was sent isn't given up
			f.deliver = func(order, _ string) (bool, bool) {
				return order != "stop" || !stopsLost, order != "stop" || !stopsLost
			}
			s := newSystem(t, f)
			capped := func(version uint64, cores int64) *workload.Topology {
				return topologyOf(version, []workload.Team{{Name: "x", Keys: teamWithKeys("x", "k").Keys, Cap: oneCore.Times(int(cores))}}, keyedQueue("q", "/q/"))
			}
			s.apply(capped(2, waitingTasks))
			s.awaitOnLoop(func() bool { return s.o.sessions["a"] != nil && s.o.sessions["a"].clock.reading != 0 })
			path := "/q/" + jobID("j")
			require.Equal(t, Accepted, s.call(MethodSubmit, &Call{Path: path, Key: hashOf("k"), Job: &workload.Job{Spec: "short", Steps: []workload.Step{oneCoreTasks(waitingTasks)}}}).Outcome)
			s.awaitOnLoop(func() bool { return len(s.o.leadership.State().RunsOn("a")) == waitingTasks })
			if successor {
				s.withLock(func() { s.pollsLost = true })
				s.restart()
			}
			s.apply(capped(3, allowed))
			if !successor {
				s.awaitOnLoop(func() bool { return len(s.o.releasedOn) == 0 && len(s.o.leadership.State().RunsOn("a")) < waitingTasks })
				left := 0
				s.onLoop(func() { left = len(s.o.leadership.State().RunsOn("a")) })
				require.Equal(t, allowed, left)
			}
			s.startsLost.Store(false)
			s.withLock(func() { s.pollsLost, stopsLost = false, false })
			require.Eventually(t, func() bool {
				return s.call(MethodStatus, &Call{Path: path, Key: hashOf("k")}).Status == workload.Completed
			}, 20*time.Second, 20*time.Millisecond)
			s.withLock(func() { require.LessOrEqual(t, most, allowed, "tasks at a time") })
		})
	}
}
