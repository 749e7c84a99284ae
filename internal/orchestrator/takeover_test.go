package orchestrator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
	"cactusspar/internal/state"
	"cactusspar/internal/workload"
)

// heldPlatform is the platform as one replica reaches it. Moves and maintenance calls wait
// in transit until release is closed, and lists until listable is closed.
type heldPlatform struct {
	*fakeFleet
	release, listable chan struct{}
	held              chan string // instances whose call waits
}

func (p *heldPlatform) wait(ctx context.Context, until chan struct{}) error {
	select {
	case <-until:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *heldPlatform) List(ctx context.Context) ([]executor.Instance, error) {
	if err := p.wait(ctx, p.listable); err != nil {
		return nil, err
	}
	return p.fakeFleet.List(ctx)
}

func (p *heldPlatform) Move(ctx context.Context, a executor.Authority, instance, pool string) error {
	select {
	case p.held <- instance:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := p.wait(ctx, p.release); err != nil {
		return err
	}
	p.withLock(func() {
		if w := p.workers[p.instances[instance].Worker]; w != nil {
			for task, r := range w.running {
				if r.longRunning {
					p.addViolation("%s moves %s while the long-running task %s is on it", a.Holder, instance, task)
				}
			}
		}
	})
	return p.fakeFleet.Move(ctx, a, instance, pool)
}

func (p *heldPlatform) Maintain(ctx context.Context, a executor.Authority, instance string, wave uint64) error {
	select {
	case p.held <- instance:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := p.wait(ctx, p.release); err != nil {
		return err
	}
	return p.fakeFleet.Maintain(ctx, a, instance, wave)
}

// newHeldPlatforms returns a platform for each replica. Lists of the first leader arrive
// at once, those of the others only after release.
func newHeldPlatforms(f *fakeFleet) (platforms map[string]*heldPlatform, platform func(string) executor.Instances) {
	platforms = map[string]*heldPlatform{}
	for i := range 3 {
		p := &heldPlatform{fakeFleet: f, release: make(chan struct{}), listable: make(chan struct{}), held: make(chan string, 100)}
		platforms[fmt.Sprintf("c%d", i)] = p
	}
	return platforms, func(name string) executor.Instances { return platforms[name] }
}

// deliver lets the former leader's calls arrive, and the successor's after they can have
// taken effect.
func deliver(former, successor *heldPlatform) {
	close(former.release)
	time.Sleep(50 * time.Millisecond)
	close(successor.listable)
	close(successor.release)
}

// runsLongTask reports whether a long-running task is on a worker.
func (f *fakeFleet) runsLongTask(worker string) bool {
	found := false
	f.withLock(func() {
		for _, r := range f.workers[worker].running {
			found = found || r.longRunning
		}
	})
	return found
}

// awaitLongTask gives the successor time to start a long-running task on a worker, and
// returns as soon as it has.
func (g *group) awaitLongTask(worker string) {
	for range 300 {
		if g.runsLongTask(worker) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSuccessorKeepsTasksOffInstanceInMove guards against a new leader that starts
// long-running tasks on an instance whose move its predecessor has requested: the move
// then ends them whatever their disruption budget is.
func TestSuccessorKeepsTasksOffInstanceInMove(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	platforms, platform := newHeldPlatforms(f)
	g := newGroup(t, f, platform)
	former := g.leader(nil)
	close(platforms[former.name].listable)
	g.apply(former, nil, workload.Pool{Name: "p"}, workload.Pool{Name: "spare", Spare: true})
	instance := receive(t, platforms[former.name].held) // an idle instance is switched off

	successor := g.depose(former)
	budget := 1
	g.submit(successor, "serve", nil, "lasts", workload.Step{Count: 2, Resources: oneCore, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: &budget})
	g.awaitLongTask(f.instances[instance].Worker)
	deliver(platforms[former.name], platforms[successor.name])
}

// TestSuccessorKeepsTasksOffInstanceToBeMaintained guards against a new leader that starts
// long-running tasks on an instance whose maintenance its predecessor has requested, before
// it has read the list of instances.
func TestSuccessorKeepsTasksOffInstanceToBeMaintained(t *testing.T) {
	f := newFakeFleet(t, "a", "b")
	platforms, platform := newHeldPlatforms(f)
	g := newGroup(t, f, platform)
	former := g.leader(nil)
	close(platforms[former.name].listable)
	g.apply(former, nil, workload.Pool{Name: "p"})
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return former.o.StartWave(ctx, &workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1, TimeLimit: time.Second}) == nil
	}, 20*time.Second, 10*time.Millisecond)
	require.Equal(t, "m-a", receive(t, platforms[former.name].held))
	time.Sleep(100 * time.Millisecond) // until the others have the order

	successor := g.depose(former)
	budget := 1
	g.submit(successor, "serve", nil, "lasts", workload.Step{Count: 2, Resources: oneCore, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: &budget})
	g.awaitLongTask("a")
	deliver(platforms[former.name], platforms[successor.name])
}

// TestDelayedStartForRemovedWorkerIsRefused guards against a delayed start for a worker that
// was removed and has returned under its ID: the task would run twice.
func TestDelayedStartForRemovedWorkerIsRefused(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime = 0
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 1, Resources: oneCore})
	s.awaitRunning("a", 1)
	s.startDraining("a")
	delayed := executor.Start{Run: 1, Spec: "short", Lease: executor.LeaseEnd(f.clock("a") + time.Minute.Milliseconds())}
	s.withLock(func() {
		delayed.Fence = s.workers["a"].fence
		for task := range s.workers["a"].running {
			delayed.Task = task
		}
		s.workers["a"] = newFakeWorker("a", 2)
		s.workers["a"].unreachable = true
		s.workers["b"] = newFakeWorker("b", 1)
	})
	s.awaitRunning("b", 1) // after the lease of the worker that was not reachable
	s.leave("a")
	s.awaitOnLoop(func() bool { return s.o.leadership.State().Workers["a"] == nil })

	s.withLock(func() { s.workers["a"].unreachable = false })
	registered := func() bool {
		known := false
		require.NoError(t, s.replica.Read(context.Background(), func(st *state.State) { known = st.Workload.Workers["a"] != nil }))
		return known
	}
	require.Eventually(t, registered, 20*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		raised := false
		s.withLock(func() { raised = s.workers["a"].fence > delayed.Fence })
		return raised
	}, 20*time.Second, 10*time.Millisecond, "an idle worker that has returned is contacted")
	_, err := f.Start(context.Background(), executor.Target{ID: "a"}, delayed)
	var refused *executor.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, executor.Fenced, refused.Reason)
}

// TestCordonOutlastsMove guards against tasks that start on an instance in a move: a new
// leader finds the cordon of its predecessor and the worker's former entry in the list.
func TestCordonOutlastsMove(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.instances["m-a"].State = executor.Moving
	s := newSystem(t, f)
	s.eventually(func(ctx context.Context) error {
		return s.replica.Await(ctx, func(done func(error)) {
			if s.o.leadership == nil || s.o.sessions["a"] == nil {
				done(errNoResponse)
				return
			}
			s.o.proposeCordon(s.o.sessions["a"], true)
			done(nil)
		})
	})
	cordoned := func() bool {
		is := false
		require.NoError(t, s.replica.Read(context.Background(), func(st *state.State) { is = st.Workload.Workers["a"].Cordoned }))
		return is
	}
	require.Eventually(t, cordoned, 20*time.Second, 10*time.Millisecond)
	time.Sleep(orderValidity + orderTransit + 2*listInterval)
	require.True(t, cordoned())
	s.withLock(func() { f.instances["m-a"].State = executor.Up })
	require.Eventually(t, func() bool { return !cordoned() }, 20*time.Second, 10*time.Millisecond, "the move did not take place")
}
