package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
)

// longLease is the longest lease that workers grant in the tests of this file.
const longLease = 8 * time.Second

// By how much the clock of a worker's next incarnation is ahead of the former one's.
const (
	farBehind = -2_500 * time.Second
	behind    = -5 * time.Second
	farAhead  = 5_000 * time.Second
)

var otherClocks = map[string]time.Duration{"far behind": farBehind, "behind": behind, "far ahead": farAhead}

// network is how the leader reaches the workers. Each call is passed to intercept before it
// arrives, with the fleet's lock held: if that returns an error, the call is lost.
type network struct {
	*fakeFleet
	intercept func(worker string, call any) error
}

func (n *network) send(worker string, call any) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.intercept == nil {
		return nil
	}
	return n.intercept(worker, call)
}

func (n *network) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	if err := n.send(t.ID, &s); err != nil {
		return 0, err
	}
	return n.fakeFleet.Start(ctx, t, s)
}

func (n *network) Stop(ctx context.Context, t executor.Target, s executor.Stop) error {
	if err := n.send(t.ID, &s); err != nil {
		return err
	}
	return n.fakeFleet.Stop(ctx, t, s)
}

func (n *network) Poll(ctx context.Context, t executor.Target, p executor.Poll) (executor.PollResponse, error) {
	if err := n.send(t.ID, &p); err != nil {
		return executor.PollResponse{}, err
	}
	return n.fakeFleet.Poll(ctx, t, p)
}

// fenceOf returns the fencing token of a call.
func fenceOf(call any) uint64 {
	switch c := call.(type) {
	case *executor.Start:
		return c.Fence
	case *executor.Stop:
		return c.Fence
	case *executor.Poll:
		return c.Fence
	}
	return 0
}

// newIncarnation replaces worker "a" by its next incarnation, which doesn't report itself yet and
// whose clock is ahead of the former one's. The caller holds the lock.
func (f *fakeFleet) newIncarnation(ahead time.Duration) *fakeWorker {
	former := f.workers["a"]
	next := newFakeWorker("a", former.incarnation+1)
	next.clockStart, next.noReports = former.clock()+ahead.Milliseconds(), true
	f.workers["a"] = next
	return next
}

// carryOut carries out a delayed call on the present incarnation of worker "a". The response is
// lost. The caller holds the lock.
func (f *fakeFleet) carryOut(call any) {
	w, err := f.reach(executor.Target{ID: "a"}, fenceOf(call))
	if err != nil {
		return
	}
	switch c := call.(type) {
	case *executor.Start:
		_ = f.start(w, c)
	case *executor.Poll:
		f.extendLease(w, c.Lease)
		f.acknowledge(w, c.Acknowledged)
	}
}

// report lets worker "a" report itself.
func (f *fakeFleet) report() { f.withLock(func() { f.workers["a"].noReports = false }) }

// isolate cuts worker "a" off and adds worker "b". The caller holds the lock.
func (f *fakeFleet) isolate() {
	f.workers["a"].unreachable, f.workers["a"].noReports = true, true
	f.workers["b"] = newFakeWorker("b", 1)
}

// newNetwork returns a system with worker "a" only.
func newNetwork(t *testing.T, maxLease time.Duration) (*system, *network) {
	f := newFakeFleet(t, "a")
	f.maxLease = maxLease
	n := &network{fakeFleet: f}
	s := newConfiguredSystem(t, f, func(s *system) { s.calls = n })
	s.awaitOnLoop(func() bool {
		a := s.o.sessions["a"]
		return a != nil && a.fenced && s.o.fleet.instanceOf["a"] != ""
	})
	return s, n
}

// awaitConfirmedRun waits until an incarnation of worker "a" runs the long-running task and the
// leader knows it.
func (s *system) awaitConfirmedRun(incarnation int64) {
	s.t.Helper()
	s.awaitOnLoop(func() bool {
		a, confirmed := s.o.sessions["a"], false
		if a == nil || a.incarnation != incarnation || !a.fenced {
			return false
		}
		for _, r := range a.orders {
			confirmed = confirmed || r.phase == running && r.confirmed()
		}
		return confirmed && s.runningOn("a") == 1
	})
}

// awaitRunElsewhere waits until worker "b" runs the long-running task. The fleet checks that
// worker "a" runs it no more by then.
func (s *system) awaitRunElsewhere(within time.Duration) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.runningOn("b") == 1 }, within, 5*time.Millisecond, "the task waits for ever")
}

// awaitReturn lets worker "a" be reached again once its lease has ended, and waits until one
// worker runs the long-running task.
func (s *system) awaitReturn() {
	s.t.Helper()
	s.awaitRunning("a", 0)
	s.withLock(func() { s.workers["a"].unreachable, s.workers["a"].noReports = false, false })
	require.Eventually(s.t, func() bool { return s.runningOn("a")+s.runningOn("b") == 1 }, 3*longLease, 5*time.Millisecond, "the task waits for ever")
}

// restartUnnoticed replaces worker "a", which runs the long-running task, by its next incarnation,
// and waits until that one has taken a poll of the former one's lease.
func restartUnnoticed(s *system, n *network, ahead time.Duration) {
	s.t.Helper()
	s.submit("lasts", lastingStep)
	s.awaitConfirmedRun(1)
	polled := make(chan struct{}, 100)
	s.withLock(func() {
		s.newIncarnation(ahead)
		n.intercept = func(worker string, call any) error {
			if p, ok := call.(*executor.Poll); ok && worker == "a" && p.Lease != 0 {
				select {
				case polled <- struct{}{}:
				default:
				}
			}
			return nil
		}
	})
	receive(s.t, polled)
	receive(s.t, polled) // the first one has been carried out
}

// Guards against a task that runs twice because the worker's next incarnation, before it reported
// itself, took a lease that was meant for the former one: it holds that one for longer than the
// leader has granted it since.
func TestLeaseOfFormerIncarnationTakenBeforeReport(t *testing.T) {
	t.Parallel()
	for name, ahead := range otherClocks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, n := newNetwork(t, longLease)
			restartUnnoticed(s, n, ahead)
			s.report()
			s.awaitConfirmedRun(2)
			s.withLock(s.isolate)
			s.awaitRunElsewhere(3 * longLease)
		})
	}
}

// Guards against the same if the next incarnation reports itself at once and takes a delayed poll
// of the former one before it has seen a fencing token of its own.
func TestDelayedPollOfFormerIncarnation(t *testing.T) {
	t.Parallel()
	for name, beforeFence := range map[string]bool{"before the report": false, "before the first call with the new fence": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, n := newNetwork(t, longLease)
			s.submit("lasts", lastingStep)
			s.awaitConfirmedRun(1)
			var late *executor.Poll
			s.withLock(func() {
				n.intercept = func(worker string, call any) error {
					p, ok := call.(*executor.Poll)
					switch {
					case worker != "a":
					case late == nil && ok && p.Lease != 0:
						late = p
						s.newIncarnation(farBehind).noReports = false
						if !beforeFence {
							s.carryOut(late)
						}
						return errNoResponse
					case late != nil && fenceOf(call) > late.Fence:
						n.intercept = nil
						if beforeFence {
							s.carryOut(late)
						}
					case late != nil:
						return errNoResponse
					}
					return nil
				}
			})
			s.awaitConfirmedRun(2)
			s.withLock(s.isolate)
			s.awaitRunElsewhere(3 * longLease)
		})
	}
}

// Guards against the same if the worker was removed before its next incarnation took the delayed
// poll: it registers again under its ID.
func TestDelayedPollOfRemovedIncarnation(t *testing.T) {
	t.Parallel()
	s, n := newNetwork(t, longLease)
	s.submit("lasts", lastingStep)
	s.awaitConfirmedRun(1)
	var late *executor.Poll
	s.withLock(func() {
		n.intercept = func(worker string, call any) error {
			if worker != "a" {
				return nil
			}
			if p, ok := call.(*executor.Poll); ok && late == nil && p.Lease != 0 {
				late = p
				s.workers["a"].noReports = true
			}
			return errNoResponse
		}
	})
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"] == nil })
	s.withLock(func() {
		n.intercept = nil
		s.newIncarnation(farBehind).noReports = false
		s.carryOut(late)
	})
	s.awaitConfirmedRun(2)
	s.withLock(s.isolate)
	s.awaitRunElsewhere(3 * longLease)
}

// Guards against the same if the leader changes meanwhile: the next one counts on the leases that
// it has granted itself.
func TestLeaseOfFormerIncarnationOutlastsLeader(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*system, *network){
		"change before the report": func(s *system, _ *network) {
			s.restart()
			s.report()
		},
		"change before the first response": func(s *system, n *network) {
			s.withLock(func() {
				n.intercept = func(worker string, _ any) error {
					if worker == "a" {
						return errNoResponse
					}
					return nil
				}
			})
			s.report()
			s.awaitOnLoop(func() bool { return s.o.sessions["a"].incarnation == 2 })
			s.stop()
			s.withLock(func() { n.intercept = nil })
			s.launch()
		},
		"change after the first response": func(s *system, _ *network) {
			s.report()
			s.awaitOnLoop(func() bool { return s.o.sessions["a"].incarnation == 2 && s.o.sessions["a"].fenced })
			s.restart()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, n := newNetwork(t, longLease)
			restartUnnoticed(s, n, farBehind)
			change(s, n)
			s.awaitConfirmedRun(2)
			s.withLock(s.isolate)
			s.awaitRunElsewhere(3 * longLease)
		})
	}
}

// Guards against a task that runs twice because a delayed start was carried out by the worker's
// next incarnation, which is then cut off: its silence was taken for the end of the run, although
// it holds its lease for as long as workers may.
func TestDelayedStartOnNextIncarnationIsNotGivenUp(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ reports, change bool }{
		"with a report": {reports: true},
		"with a report and a change of the leader":      {reports: true, change: true},
		"without a report":                              {},
		"without a report, with a change of the leader": {change: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, n := newNetwork(t, longLease)
			s.withLock(func() {
				replaced := false
				n.intercept = func(worker string, call any) error {
					start, ok := call.(*executor.Start)
					switch {
					case worker != "a":
						return nil
					case ok && !replaced:
						replaced = true
						s.newIncarnation(farBehind).noReports = !c.reports
						s.carryOut(start)
						if !c.reports {
							s.isolate()
						}
					}
					return errNoResponse
				}
			})
			s.submit("lasts", lastingStep)
			if c.reports {
				s.awaitOnLoop(func() bool { return s.o.sessions["a"].incarnation == 2 })
				s.withLock(s.isolate)
			}
			require.Eventually(t, func() bool {
				isolated := false
				s.withLock(func() { isolated = s.workers["b"] != nil })
				return isolated
			}, 20*time.Second, time.Millisecond)
			require.Equal(t, 1, s.runningOn("a"))
			s.withLock(func() { n.intercept = nil })
			if c.change {
				s.restart()
			}
			s.awaitReturn()
		})
	}
}

// Guards against a task that runs twice because a start was answered by the worker's next
// incarnation, which has not reported itself yet: its lease ends by its own clock, and not by the
// one that the leader knows.
func TestStartAnsweredByNextIncarnation(t *testing.T) {
	t.Parallel()
	for name, ahead := range otherClocks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testStartAnsweredByNextIncarnation(t, ahead, func(*system) {})
		})
	}
}

// Guards against the same if the leader changes meanwhile: the next one knows neither clock.
func TestStartAnsweredByNextIncarnationOutlastsLeader(t *testing.T) {
	t.Parallel()
	testStartAnsweredByNextIncarnation(t, farBehind, (*system).restart)
}

func testStartAnsweredByNextIncarnation(t *testing.T, ahead time.Duration, change func(*system)) {
	s, n := newNetwork(t, longLease)
	startOnNextIncarnation(s, n, ahead)
	s.withLock(func() {
		s.isolate()
		n.intercept = nil
	})
	change(s)
	s.awaitReturn()
}

// startOnNextIncarnation replaces worker "a", which is idle, by its next incarnation, and waits
// until that one has answered the start of the long-running task. It gets no other calls. If its
// clock is ahead, it refuses the start because the lease seems to have ended.
func startOnNextIncarnation(s *system, n *network, ahead time.Duration) {
	s.t.Helper()
	s.withLock(func() {
		s.newIncarnation(ahead)
		n.intercept = func(worker string, call any) error {
			if _, start := call.(*executor.Start); !start && worker == "a" {
				return errNoResponse
			}
			return nil
		}
	})
	s.submit("lasts", lastingStep)
	s.awaitOnLoop(func() bool { return s.order("a") != nil && s.order("a").phase != starting })
	if ahead < 0 {
		require.Equal(s.t, 1, s.runningOn("a"))
	}
}
