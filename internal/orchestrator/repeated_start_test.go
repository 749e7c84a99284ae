package orchestrator

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
)

// crashingStart replaces a worker by its next incarnation, which does not report itself, when
// the first start arrives. It counts the starts of that run on the next one.
type crashingStart struct {
	*fakeFleet
	failure  error // of the first start
	crash    sync.Once
	repeated int
}

func (c *crashingStart) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	crashed := false
	c.crash.Do(func() {
		crashed = true
		c.withLock(func() {
			c.workers[t.ID] = newFakeWorker(t.ID, 2)
			c.workers[t.ID].noReports = true
		})
	})
	if crashed {
		return 0, c.failure
	}
	c.withLock(func() {
		if s.Run == 1 {
			c.repeated++
		}
	})
	return c.fakeFleet.Start(ctx, t, s)
}

// TestStartIsNotRepeatedToNextIncarnation guards against a run that is started on two
// incarnations of a worker: the worker crashed under the first start, whose connection was
// reset, and is back under its ID before its report arrives.
func TestStartIsNotRepeatedToNextIncarnation(t *testing.T) {
	testStartAfterCrash(t, executor.ErrDisconnected)
}

// TestSilentStartIsNotRepeatedToNextIncarnation guards against the same if the worker crashed
// without a reset.
func TestSilentStartIsNotRepeatedToNextIncarnation(t *testing.T) {
	testStartAfterCrash(t, errNoResponse)
}

// testStartAfterCrash requires that a start that ended with failure, because its worker
// crashed, is not repeated to the worker's next incarnation.
func testStartAfterCrash(t *testing.T, failure error) {
	f := newFakeFleet(t, "a")
	calls := &crashingStart{fakeFleet: f, failure: failure}
	s := newConfiguredSystem(t, f, func(s *system) { s.calls = calls })
	s.submit("j1", oneCoreTasks(1))
	time.Sleep(10 * orderRetryDelay)
	s.withLock(func() {
		require.Zero(t, calls.repeated)
		s.workers["a"].noReports = false
	})
	s.await("j1", "completed")
	s.withLock(func() { require.Zero(t, calls.repeated) })
}

// waitingPolls loses the first start, and responds to no poll that may wait. It records the numbers
// of the runs that were started.
type waitingPolls struct {
	*fakeFleet
	lost    sync.Once
	started []int
}

func (w *waitingPolls) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	lost := false
	w.lost.Do(func() { lost = true })
	if lost {
		return 0, errNoResponse
	}
	w.withLock(func() { w.started = append(w.started, s.Run) })
	return w.fakeFleet.Start(ctx, t, s)
}

func (w *waitingPolls) Poll(ctx context.Context, t executor.Target, p executor.Poll) (executor.PollResponse, error) {
	if p.Wait > 0 {
		<-ctx.Done()
		return executor.PollResponse{}, ctx.Err()
	}
	return w.fakeFleet.Poll(ctx, t, p)
}

// TestLostStartIsRepeatedBesidePendingPoll guards against a lost start that is repeated only after
// the pending poll, so that the run is given up meanwhile.
func TestLostStartIsRepeatedBesidePendingPoll(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.lease = takeoverLease // outlasts the poll
	calls := &waitingPolls{fakeFleet: f}
	s := newConfiguredSystem(t, f, func(s *system) { s.calls = calls })
	s.submit("j1", oneCoreTasks(1))
	s.await("j1", "completed")
	s.withLock(func() { require.Equal(t, []int{1}, calls.started) })
}

// TestRefusedRepetitionDoesNotStopRun guards against the stop of a run that its worker has
// listed, because an earlier attempt of its start was carried out and a later one refused.
func TestRefusedRepetitionDoesNotStopRun(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("lasts", lastingStep)
	s.awaitRunning("a", 1)
	s.awaitOnLoop(func() bool { return s.order("a").phase == running })
	s.onLoop(func() {
		r := s.order("a")
		r.attempts = 2
		for _, reason := range []executor.Reason{executor.Unhealthy, executor.NoRoom, executor.NoTicket, executor.Invalid} {
			s.o.startRefused(s.o.sessions["a"], r, &executor.RefusedError{Reason: reason}, boottime.Now())
			assert.Equal(t, running, r.phase, reason)
		}
		r.phase = starting
		s.o.startRefused(s.o.sessions["a"], r, &executor.RefusedError{Reason: executor.NoRoom}, boottime.Now())
		assert.Equal(t, stopPending, r.phase, "the earlier attempt may still take effect")
	})
}
