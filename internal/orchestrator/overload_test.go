package orchestrator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// slowOrders lets one start at a time through, each of which takes an interval, as a leader
// without processor time or with slow commits does.
type slowOrders struct {
	*scaleFleet
	interval time.Duration

	mu   sync.Mutex
	next time.Time
}

func (w *slowOrders) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	w.mu.Lock()
	w.next = w.next.Add(w.interval)
	if now := time.Now(); w.next.Before(now) {
		w.next = now
	}
	at := w.next
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(time.Until(at)):
	}
	return w.scaleFleet.Start(ctx, t, s)
}

// Guards against a collapse when jobs arrive faster than the leader can start their tasks: it
// accepted all of them, because cores were free, and served them late. The load is
// that of a queue whose turn brings four times what the leader bears, into a pool with room.
func TestOfferBeyondTheRateOfStartsIsServedOnTime(t *testing.T) {
	const (
		tasks    = 8
		interval = 2 * time.Millisecond // 62 jobs a second
		duration = 4 * time.Second
	)
	onTime := func(jobsPerSecond int) (onTime, accepted int) {
		f := newScaleFleet(100, 100*time.Millisecond)
		f.slack = 600 * time.Millisecond
		o := startScaleSystem(t, f, &slowOrders{scaleFleet: f, interval: interval})
		require.Eventually(t, func() bool { return o.usableWorkers(t) == len(f.workers) }, 20*time.Second, 10*time.Millisecond)
		var calls sync.WaitGroup
		errs := make([]error, int(duration.Seconds())*jobsPerSecond)
		for i := range errs {
			calls.Go(func() {
				step := workload.Step{Count: tasks, Resources: resources.Amount{MilliCPU: 1000, MemoryMB: 100}, Estimate: f.taskTime}
				_, errs[i] = o.Call(t.Context(), MethodSubmit, &Call{
					Host: "h", Path: fmt.Sprintf("/p0/%016x", i), Remaining: 3 * time.Second, Job: &workload.Job{Spec: "s", Steps: []workload.Step{step}},
				})
			})
			time.Sleep(time.Second / time.Duration(jobsPerSecond))
		}
		calls.Wait()
		require.NoError(t, errors.Join(errs...))
		time.Sleep(2 * time.Second)
		limit := f.slack + time.Duration(scaleStretch*float64(f.taskTime))
		require.NoError(t, o.Replica.Await(t.Context(), func(done func(error)) {
			for _, j := range o.leadership.State().Jobs {
				accepted++
				if j.Status == workload.Completed && j.EndedAt.Sub(j.Accepted) <= limit {
					onTime++
				}
			}
			done(nil)
		}))
		return onTime, accepted
	}
	atCapacity, _ := onTime(50)
	beyond, accepted := onTime(250)
	t.Logf("on time: %d jobs at 50 a second, %d of %d accepted at 250", atCapacity, beyond, accepted)
	require.GreaterOrEqual(t, beyond, atCapacity*8/10, "fewer jobs are on time when more are offered")
}

// usableWorkers returns the number of workers that may get tasks.
func (o *Orchestrator) usableWorkers(t *testing.T) int {
	n := 0
	require.NoError(t, o.Replica.Await(t.Context(), func(done func(error)) {
		for id, s := range o.sessions {
			if w := o.leadership.State().Workers[id]; w != nil && s.clock.reading > 0 {
				n++
			}
		}
		done(nil)
	}))
	return n
}

// Guards against jobs of many short steps that are refused by a leader with nothing to do, or by
// one with slow disks: what a step takes at any load is not a queue.
func TestUsualDelayOfStepsIsNoReasonToRefuse(t *testing.T) {
	now := boottime.Instant(time.Hour)
	o := &Orchestrator{}
	for range 100 {
		o.delays.round.Add(now, 30*time.Millisecond)
		o.delays.commit.Add(now, 300*time.Millisecond)
		o.delays.order.Add(now, 40*time.Millisecond)
		o.delays.result.Add(now, 10*time.Millisecond)
	}
	o.ahead = 500
	require.Zero(t, o.queueDelay(now))
	// Starts are late: 1,000 a second have a response, and 500 are ahead.
	now = now.Add(time.Minute)
	for range 300 {
		o.delays.order.Add(now, 200*time.Millisecond)
	}
	require.Equal(t, 500*time.Millisecond, o.queueDelay(now))
	o.ahead = 0
	require.Zero(t, o.queueDelay(now), "the queue is empty again")
}

// Guards against jobs that are accepted and served late by a leader on a slow machine: its rounds
// and commits wait for the processor like its orders. The load is a turn of a queue on a large fleet
// whose control instances run half as fast.
func TestRoundsAndCommitsCountOnceTheLeaderIsBehind(t *testing.T) {
	now := boottime.Instant(time.Hour)
	o := &Orchestrator{ahead: 150}
	add := func(order time.Duration) {
		for range 300 {
			o.delays.round.Add(now, 100*time.Millisecond)
			o.delays.commit.Add(now, 200*time.Millisecond)
			o.delays.order.Add(now, order)
		}
	}
	add(behindAfter / 2)
	require.Zero(t, o.queueDelay(now))
	now = now.Add(time.Minute)
	add(behindAfter) // 1,000 a second
	require.Equal(t, 650*time.Millisecond, o.queueDelay(now))
}

// Guards against callers that are refused with leader-busy although the leader is not what their
// jobs would wait for: the load is a pool that is full after a change of leader, while late jobs
// are held back in it and the leader was behind a moment ago.
func TestTasksThatWaitForCoresAreNotAheadInTheLeader(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = time.Minute
	s := newSystem(t, f)
	for i := range 2 {
		s.submit(fmt.Sprintf("j%d", i), workload.Step{Count: 50, Resources: oneCore, Estimate: time.Second})
	}
	var waiting int
	var delay time.Duration
	s.eventually(func(ctx context.Context) error {
		return s.replica.Await(ctx, func(done func(error)) {
			if waiting = s.o.waitingTasks; waiting < 90 {
				done(errNoResponse)
				return
			}
			s.o.startRate, s.o.startRateAt = 100, boottime.Now()
			delay = s.o.queueDelay(boottime.Now())
			done(nil)
		})
	})
	require.Zero(t, delay, "%d tasks wait for cores", waiting)
}

// Guards against a leader that counts as behind, and refuses jobs, because some workers leave orders
// unanswered: their starts are repeated after a timeout, which tells nothing of the leader's queues.
func TestUnansweredStartsAreNoDelayOfTheLeader(t *testing.T) {
	now := boottime.Instant(time.Hour)
	o := &Orchestrator{ahead: 500}
	for i := range 100 {
		r := &order{committedAt: now.Add(-60 * time.Millisecond), attempts: 1}
		if i%10 == 0 {
			r.committedAt, r.attempts = now.Add(-1500*time.Millisecond), 3
		}
		o.observeStart(r, now)
	}
	require.Zero(t, o.queueDelay(now))
}

// Guards against jobs that are held back as late, although they would be on time, because starts
// that have ended meanwhile had waited long: the jobs held back are not ahead in the leader, so that
// more are accepted, and all of them are started at once, late, when the delay is forgotten.
func TestDelayOfQueueThatIsGoneMakesNoJobLate(t *testing.T) {
	now := boottime.Instant(time.Hour)
	o := &Orchestrator{ahead: 400}
	for range 150 {
		o.delays.order.Add(now, 800*time.Millisecond)
	}
	require.Equal(t, 800*time.Millisecond, o.queueDelay(now), "500 starts a second")
	require.Equal(t, 800*time.Millisecond, o.stepDelay(now))
	o.ahead = 50
	require.Equal(t, 100*time.Millisecond, o.stepDelay(now))
}

// Guards against callers that are refused with no-workers after a change of leader, although the
// workers are there: the new leader has not polled them yet. Those that it can't poll in a second
// count no more.
func TestNewLeaderCountsWorkersThatItHasNotPolled(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	s := newSystem(t, f)
	all := 2 * float64(fakeCapacity.MilliCPU) / 1000
	var usable, unpolled, lost float64
	require.Eventually(t, func() bool {
		require.NoError(t, s.replica.Await(t.Context(), func(done func(error)) {
			defer done(nil)
			now := boottime.Now()
			s.o.planInput(now, time.Now())
			if usable = s.o.poolStats.cores["p"]; usable != all {
				return
			}
			for _, session := range s.o.sessions {
				session.clock = clockSample{}
			}
			s.o.leadingSince = now
			s.o.planInput(now, time.Now())
			unpolled = s.o.poolBacklog("p").Cores
			s.o.leadingSince = now.Add(-unpolledValidity)
			s.o.planInput(now, time.Now())
			lost = s.o.poolBacklog("p").Cores
		}))
		return usable == all
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, all, unpolled)
	require.Zero(t, lost)
}

// Guards against callers that are refused with no-workers because they ask between the takeover of a
// new leader and its first round, which waits until the leadership is confirmed.
func TestNewLeaderKnowsItsPoolsBeforeItsFirstRound(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b"))
	all := 2 * float64(fakeCapacity.MilliCPU) / 1000
	var before, after float64
	require.Eventually(t, func() bool {
		require.NoError(t, s.replica.Await(t.Context(), func(done func(error)) {
			defer done(nil)
			if before = s.o.poolStats.cores["p"]; before == all {
				s.o.BeginLeadership(s.o.leadership)
				after = s.o.poolBacklog("p").Cores
			}
		}))
		return before == all
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, all, after)
}

// Guards against late jobs that fill the leader although its commits are slow: jobs that could be on
// time are then refused with leader-busy.
func TestLateJobsYieldWhenCommitsAreSlow(t *testing.T) {
	now := boottime.Instant(time.Hour)
	o := &Orchestrator{startWindow: maxStartWindow, ahead: 100, lateCreditAt: now}
	starts := 0
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		o.delays.order.Add(now, behindAfter/4)
		o.delays.commit.Add(now, behindAfter/2)
		starts = o.lateStarts(now)
	}
	require.Equal(t, 1, starts)
}
