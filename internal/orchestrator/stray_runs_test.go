package orchestrator

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// stopBound is the time within which a run of a cancelled job has to be gone: the time
// until a change takes effect, and that of a stop.
const stopBound = 3*time.Second + 900*time.Millisecond

var (
	lastingStep = workload.Step{Count: 1, Resources: oneCore, LongRunning: true}
	lastingTask = workload.TaskID{Job: jobID("lasts")}
)

// awaitOnLoop waits until a condition holds on the replica's event loop.
func (s *system) awaitOnLoop(condition func() bool) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		holds := false
		s.onLoop(func() { holds = s.o.leadership != nil && condition() })
		return holds
	}, 20*time.Second, time.Millisecond)
}

// order returns a worker's order of the first run of lastingTask, or nil.
func (s *system) order(worker string) *order {
	if session := s.o.sessions[worker]; session != nil {
		return session.orders[workload.RunID{Task: lastingTask, Number: 1}]
	}
	return nil
}

// awaitRelease waits until no run of a job is on a worker according to the state.
func (s *system) awaitRelease(worker string) {
	s.t.Helper()
	s.awaitOnLoop(func() bool { return len(s.o.leadership.State().RunsOn(worker)) == 0 })
}

func (s *system) cancelJob(id string) {
	s.t.Helper()
	require.Equal(s.t, Accepted, s.call(MethodCancel, &Call{Path: "/q/" + jobID(id)}).Outcome)
}

// reconnect lets a worker be reached again and waits until the leader has its report.
func (s *system) reconnect(worker string) {
	s.t.Helper()
	s.withLock(func() { s.workers[worker].unreachable = false })
	s.awaitOnLoop(func() bool {
		session := s.o.sessions[worker]
		return session != nil && !session.silent && session.clock.reading > 0
	})
}

// startLate carries out a delayed start of the first run of lastingTask. Its lease counts
// from now and is longer than any test, so that only a stop ends the run.
func (f *fakeFleet) startLate(worker string, fence uint64) error {
	_, err := f.Start(context.Background(), executor.Target{ID: worker}, executor.Start{
		Task: lastingTask, Run: 1, Spec: "lasts", Lease: executor.LeaseEnd(f.clock(worker) + takeoverLease.Milliseconds()), Fence: fence,
	})
	if err == nil {
		f.withLock(func() { f.workers[worker].leaseEnd = f.workers[worker].clock() + takeoverLease.Milliseconds() })
	}
	return err
}

// requireStop waits until the run of lastingTask on a worker is told to stop, and logs how
// long that took.
func (f *fakeFleet) requireStop(worker string) {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < stopBound {
		stopped := false
		f.withLock(func() {
			r := f.workers[worker].running[lastingTask]
			stopped = r == nil || !r.stoppedAt.IsZero()
		})
		if stopped {
			f.t.Logf("stopped after %d ms", time.Since(began).Milliseconds())
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	require.Fail(f.t, "the run goes on", "after %s", stopBound)
}

// cutOff makes a worker unreachable once it has been sent the start of lastingTask, and
// waits until the run is given up. It returns the fence of the start.
func (s *system) cutOff(worker string) (fence uint64) {
	s.t.Helper()
	s.awaitOnLoop(func() bool { return s.order(worker) != nil })
	s.withLock(func() { s.workers[worker].unreachable = true })
	s.onLoop(func() { fence = s.o.fence(s.o.sessions[worker]) })
	s.awaitRelease(worker)
	return fence
}

// holdResponses holds the responses to orders of a kind until respond is called. Each one is
// announced on held.
func (f *fakeFleet) holdResponses(kind string) (held <-chan struct{}, respond func()) {
	announced, released := make(chan struct{}, 100), make(chan struct{})
	f.beforeResponse = func(order string) {
		if order == kind {
			announced <- struct{}{}
			<-released
		}
	}
	return announced, sync.OnceFunc(func() { close(released) })
}

// TestLateStartOnIdleWorkerIsStopped guards against a run that goes on because its start is
// carried out after the leader gave it up, on a worker that has no other runs.
func TestLateStartOnIdleWorkerIsStopped(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.deliver = func(order, _ string) (bool, bool) { return order != "start", order != "start" }
	s := newSystem(t, f)
	s.submit("lasts", lastingStep)
	fence := s.cutOff("a")
	s.cancelJob("lasts")
	s.reconnect("a")
	s.withLock(func() { f.deliver = func(string, string) (bool, bool) { return true, true } })
	if f.startLate("a", fence) == nil {
		f.requireStop("a")
	}
}

// TestRunOnReturningWorkerIsStopped guards against a run that goes on because its worker's
// lease was extended by a delayed poll after the leader gave the run up.
func TestRunOnReturningWorkerIsStopped(t *testing.T) {
	f := newFakeFleet(t, "a")
	s := newSystem(t, f)
	s.submit("lasts", lastingStep)
	s.awaitRunning("a", 1)
	s.withLock(func() { s.workers["a"].leaseEnd += takeoverLease.Milliseconds() })
	s.cutOff("a")
	s.cancelJob("lasts")
	s.reconnect("a")
	f.requireStop("a")
}

// TestLateStartOfFormerLeaderIsStopped guards against a run that goes on because its start
// by a former leader is carried out on a worker that has restarted under its ID, has no
// orders, and has reported before the new leader polled it.
func TestLateStartOfFormerLeaderIsStopped(t *testing.T) {
	f := newFakeFleet(t, "a")
	s := newSystem(t, f)
	s.awaitOnLoop(func() bool { return s.o.sessions["a"] != nil })
	s.withLock(func() { s.workers["a"] = newFakeWorker("a", 2) })
	s.awaitOnLoop(func() bool { return s.o.sessions["a"].incarnation == 2 && s.o.sessions["a"].fenced })
	var fence uint64
	s.onLoop(func() { fence = s.o.fence(s.o.sessions["a"]) })
	s.withLock(func() { f.pollsLost = true })
	s.restart()
	s.awaitOnLoop(func() bool {
		session := s.o.sessions["a"]
		return session != nil && session.clock.reading > 0 && !session.polling && s.o.leadershipConfirmed(s.o.confirmedAt)
	})
	s.withLock(func() { f.pollsLost = false })
	if f.startLate("a", fence) == nil {
		f.requireStop("a")
	}
}

// TestStopOfUnknownRunIsRepeated guards against a run that goes on because the stop that
// followed its only list was lost, and the worker has no orders.
func TestStopOfUnknownRunIsRepeated(t *testing.T) {
	f := newFakeFleet(t, "a")
	lost := true
	f.deliver = func(order, _ string) (bool, bool) {
		delivered := order != "stop" || !lost
		lost = lost && order != "stop"
		return delivered, delivered
	}
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 1, Resources: oneCore})
	s.awaitRunning("a", 1)
	s.withLock(func() {
		s.workers["a"].running[lastingTask] = &fakeRun{number: 1, startedAt: time.Now(), longRunning: true}
		s.workers["a"].leaseEnd += takeoverLease.Milliseconds()
	})
	s.await("j1", workload.Completed)
	f.requireStop("a")
}

// TestStopDuringPendingStartReachesWorker guards against a stop that is not sent because it was
// decided while the response to the start was outstanding.
func TestStopDuringPendingStartReachesWorker(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.startDelay = 300 * time.Millisecond
	s := newSystem(t, f)
	s.submit("lasts", lastingStep)
	s.awaitOnLoop(func() bool {
		order := s.order("a")
		return order != nil && order.callPending
	})
	s.cancelJob("lasts")
	s.awaitRunning("a", 1)
	f.requireStop("a")
}

// TestStopAnsweredByFormerIncarnationIsRepeated guards against a run that goes on because the
// response of a worker's former incarnation to the stop counts for the next one, on which a
// delayed start was carried out.
func TestStopAnsweredByFormerIncarnationIsRepeated(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.stopGrace = time.Second
	held, respond := f.holdResponses("stop")
	s := newSystem(t, f)
	defer respond()
	s.submit("lasts", lastingStep)
	s.awaitRunning("a", 1)
	s.cancelJob("lasts")
	receive(t, held)
	s.withLock(func() {
		s.workers["a"] = newFakeWorker("a", 2)
		s.workers["a"].running[lastingTask] = &fakeRun{number: 1, startedAt: time.Now(), longRunning: true}
		s.workers["a"].leaseEnd = s.workers["a"].clock() + takeoverLease.Milliseconds()
	})
	s.awaitOnLoop(func() bool { return s.o.sessions["a"].incarnation == 2 })
	respond()
	f.requireStop("a")
}

// TestIneffectiveStopIsRepeated guards against a run that goes on although its worker has
// responded to the stop.
func TestIneffectiveStopIsRepeated(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.stopGrace = 100 * time.Millisecond
	first := true
	f.beforeResponse = func(order string) {
		f.withLock(func() {
			if r := f.workers["a"].running[lastingTask]; first && order == "stop" && r != nil {
				first, r.stoppedAt = false, time.Time{}
			}
		})
	}
	s := newSystem(t, f)
	s.submit("lasts", lastingStep)
	s.awaitRunning("a", 1)
	s.cancelJob("lasts")
	f.requireStop("a")
}

// TestRunListedAfterReleaseIsStopped guards against a run that goes on because its worker is
// reached again right after the leader has proposed to give the run up, with or without a poll
// in progress.
func TestRunListedAfterReleaseIsStopped(t *testing.T) {
	for name, polling := range map[string]bool{"poll in progress": true, "no poll in progress": false} {
		t.Run(name, func(t *testing.T) {
			f := newFakeFleet(t, "a")
			s := newSystem(t, f)
			s.submit("lasts", lastingStep)
			s.awaitRunning("a", 1)
			s.withLock(func() {
				s.workers["a"].leaseEnd += takeoverLease.Milliseconds()
				s.pollsLost = !polling
			})
			s.awaitOnLoop(func() bool {
				session := s.o.sessions["a"]
				if session.polling != polling {
					return false
				}
				s.o.pending.Cancel = append(s.o.pending.Cancel, jobID("lasts"))
				s.o.fallSilent(session, boottime.Now())
				for _, r := range session.orders {
					s.o.release(r, "lease-ended")
				}
				return true
			})
			s.withLock(func() { s.pollsLost = false })
			s.awaitRelease("a")
			f.requireStop("a")
		})
	}
}

// TestUnfitWorkerStopsRuns guards against a stop that is not sent to a worker that gets no
// tasks.
func TestUnfitWorkerStopsRuns(t *testing.T) {
	for name, change := range map[string]func(*system){
		"draining": func(s *system) {
			s.eventually(func(ctx context.Context) error {
				return s.o.Report(ctx, &Report{Sequence: 1 << 62, Clock: s.clock("a"), Worker: workload.Worker{
					ID: "a", Incarnation: 1, Address: "a", Pool: "p", Capacity: fakeCapacity, Labels: []string{"a", "r"}, Draining: true,
				}})
			})
		},
		"other-pool": func(s *system) {
			s.withLock(func() { s.instances["m-a"].Pool = "other" })
			s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"].Pool == "other" })
		},
		"cordoned": func(s *system) {
			s.onLoop(func() { s.o.proposeCordon(s.o.sessions["a"], true) })
		},
		"slow": func(s *system) {
			s.onLoop(func() { s.o.sessions["a"].avoidUntil = boottime.Now().Add(time.Hour) })
		},
		"polls-lost": func(s *system) { s.withLock(func() { s.pollsLost = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeFleet(t, "a")
			s := newSystem(t, f)
			s.apply(topologyOf(2, nil, publicQueue("q", "/q/")))
			s.submit("lasts", lastingStep)
			s.awaitRunning("a", 1)
			change(s)
			s.cancelJob("lasts")
			f.requireStop("a")
		})
	}
}

// TestReportingWorkerIsGivenUp guards against tasks that don't start elsewhere although their
// lease has ended, because the worker's reports arrive while no call reaches it.
func TestReportingWorkerIsGivenUp(t *testing.T) {
	f := newFakeFleet(t, "a")
	s := newSystem(t, f)
	s.submit("lasts", lastingStep)
	s.awaitRunning("a", 1)
	s.withLock(func() {
		s.pollsLost = true
		s.deliver = func(_, worker string) (bool, bool) { return worker != "a", worker != "a" }
		s.workers["b"] = newFakeWorker("b", 1)
	})
	began := time.Now()
	s.awaitRunning("a", 0)
	t.Logf("the lease has ended after %d ms", time.Since(began).Milliseconds())
	require.Eventually(t, func() bool { return s.runningOn("b") == 1 }, 3*testLease, 10*time.Millisecond)
}

// TestLateResponseOfFormerIncarnationBringsNoClock guards against a lease that the leader takes
// for longer than it is, because the response of a worker's former incarnation to a start
// brought the clock of that one: the tasks of the next one would not be given up.
func TestLateResponseOfFormerIncarnationBringsNoClock(t *testing.T) {
	f := newFakeFleet(t, "a")
	held, respond := f.holdResponses("start")
	s := newSystem(t, f)
	defer respond()
	ahead := 24 * time.Hour.Milliseconds() // above the clock of the next incarnation
	s.withLock(func() { s.workers["a"].clockAhead = ahead })
	s.submit("lasts", lastingStep)
	receive(t, held)
	s.withLock(func() { s.workers["a"] = newFakeWorker("a", 2) })
	s.awaitOnLoop(func() bool { return s.o.sessions["a"].incarnation == 2 })
	respond()
	var highest int64
	s.awaitOnLoop(func() bool {
		highest = max(highest, s.o.sessions["a"].clock.reading)
		return s.order("a") == nil // stopped on the new incarnation and given up
	})
	require.Less(t, highest, ahead)
}

// TestSuccessorStopsCancelledRun guards against a run that goes on because the leader changes
// between the cancel of its job and the stop, also if followers carry the orders, a first stop
// is lost, and the former leader is cut off from the others or from none.
func TestSuccessorStopsCancelledRun(t *testing.T) {
	for name, isolated := range map[string]bool{"former leader is deposed": false, "former leader is isolated": true} {
		t.Run(name, func(t *testing.T) {
			f := newFakeFleet(t, "a", "b")
			f.lease = takeoverLease
			g := newGroupOnFleet(t, f)
			former := g.leader(nil)
			g.awaitCarriers(former)
			g.submit(former, "lasts", nil, "lasts", lastingStep)
			worker := ""
			require.Eventually(t, func() bool {
				for _, id := range []string{"a", "b"} {
					if g.runsLongTask(id) {
						worker = id
					}
				}
				return worker != ""
			}, 20*time.Second, time.Millisecond)
			lost := 2
			g.withLock(func() {
				f.deliver = func(order, _ string) (bool, bool) {
					if order == "stop" && (former.leading.Load() || lost > 0) {
						lost--
						return false, false
					}
					return true, true
				}
			})
			response, err := g.call(former, MethodCancel, &Call{Path: "/q/" + jobID("lasts")})
			require.NoError(t, err)
			require.Equal(t, Accepted, response.Outcome)
			if isolated {
				g.isolated.Store(&former.name)
				g.leader(former)
			} else {
				g.depose(former)
			}
			f.requireStop(worker)
		})
	}
}
