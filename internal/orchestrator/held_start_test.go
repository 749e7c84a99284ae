package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
)

// heldStarts is a network on which starts to worker "a" are passed to hold before they arrive, without
// a lock held. If that returns false, the start is lost.
type heldStarts struct {
	*network
	hold func(ctx context.Context, start *executor.Start) bool
}

func (h *heldStarts) Start(ctx context.Context, t executor.Target, start executor.Start) (int64, error) {
	if t.ID == "a" && !h.hold(ctx, &start) {
		return 0, errNoResponse
	}
	return h.network.Start(ctx, t, start)
}

// awaitRunOnB reports whether worker "b" runs the task before the time limit of a call has passed.
func awaitRunOnB(ctx context.Context, s *system) bool {
	for ctx.Err() == nil {
		if s.runningOn("b") == 1 {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func newHeldSystem(t *testing.T, incarnation int64) (*system, *heldStarts) {
	f := newFakeFleet(t, "a")
	f.maxLease, f.taskTime = longLease, 2*time.Second
	f.workers["a"].incarnation = incarnation
	h := &heldStarts{network: &network{fakeFleet: f}}
	s := newConfiguredSystem(t, f, func(s *system) {
		s.calls = h
		s.adjust = func(settings *Settings) { settings.ReportInterval = 1500 * time.Millisecond }
	})
	s.awaitOnLoop(func() bool {
		a := s.o.sessions["a"]
		return a != nil && a.fenced && s.o.fleet.instanceOf["a"] != ""
	})
	return s, h
}

// Guards against a task that runs twice because its worker is removed, by the platform's list, while a
// start is in progress that the next incarnation takes.
func TestStartInProgressWhenWorkerIsListedAsDown(t *testing.T) {
	t.Parallel()
	s, h := newHeldSystem(t, 1)
	lost, taken := false, make(chan struct{}, 1)
	h.hold = func(ctx context.Context, _ *executor.Start) bool {
		s.withLock(func() {
			if !lost {
				lost = true
				s.isolate()
				s.instances["m-a"].State, s.instances["m-a"].Worker = executor.Down, ""
			}
		})
		if !awaitRunOnB(ctx, s) {
			return false
		}
		s.withLock(func() {
			s.newIncarnation(farBehind).noReports = false
			s.instances["m-a"].State, s.instances["m-a"].Worker = executor.Up, "a"
		})
		taken <- struct{}{}
		return true
	}
	s.submit("lasts", lastingStep)
	select {
	case <-taken:
		require.Eventually(t, func() bool { return s.runningOn("a")+s.runningOn("b") == 1 }, 20*time.Second, 5*time.Millisecond)
	case <-time.After(6 * time.Second): // the task starts elsewhere after the start in progress
		require.Equal(t, 1, s.runningOn("b"))
	}
}
