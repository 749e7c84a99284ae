package orchestrator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/control"
	"cactusspar/internal/executor"
	"cactusspar/internal/resources"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/testutil"
	"cactusspar/internal/workload"
)

var errLost = errors.New("no answer")

// fakeFleet stands in for workers and the platform. It checks that no task runs
// twice at a time and that none starts after its end was noted.
type fakeFleet struct {
	t  *testing.T
	mu sync.Mutex
	// workers by identity
	workers map[string]*fakeWorker
	began   time.Time
	noted   map[workload.TaskID]bool // tasks whose end as done was forgotten by a worker
	starts  map[workload.TaskID]int
	// taskTime is how long a task runs; 0 means until it is stopped.
	taskTime time.Duration
	fails    map[string]bool // jobs whose tasks fail
	// lose tells, under the lock, what happens to an order: whether it is carried
	// out, and whether it is answered.
	lose func(order, worker string) (carry, answer bool)

	instances map[string]*executor.Instance
	deaf      bool           // the platform carries nothing out
	unlisted  map[string]int // for how many lists an instance is left out
	unheld    bool           // holds don't arrive
	down      int
	moved     []time.Time // when instances changed their pool
	maxDown   int
	violation []string
	// lease is what the leader grants; minLasting is the lowest number of
	// long-running tasks after a stop.
	lease      time.Duration
	startDelay time.Duration            // of each start, on its way
	stopGrace  time.Duration            // until a stopped run has ended
	full       func(worker string) bool // refuses a start for want of room
	minLasting int
}

type fakeWorker struct {
	id      string
	born    int64
	fence   uint64
	until   int64
	cut     bool
	quiet   bool // it sends no reports
	slow    int  // how many times longer tasks run on it
	running map[workload.TaskID]*fakeRun
	ended   []workload.End
	last    uint64
	highest map[workload.TaskID]int // runs that ended or were stopped
}

type fakeRun struct {
	number int
	since  time.Time
	spec   string
	lasts  bool
	// stopped is when the run was told to stop.
	stopped time.Time
}

func newFakeFleet(t *testing.T, workers ...string) *fakeFleet {
	f := &fakeFleet{
		t: t, workers: map[string]*fakeWorker{}, began: time.Now(), noted: map[workload.TaskID]bool{}, starts: map[workload.TaskID]int{},
		taskTime: 50 * time.Millisecond, fails: map[string]bool{}, instances: map[string]*executor.Instance{},
		lose: func(string, string) (bool, bool) { return true, true }, lease: testLease, minLasting: 1 << 30,
	}
	for _, id := range workers {
		f.workers[id] = newFakeWorker(id, 1)
		f.instances["m-"+id] = &executor.Instance{ID: "m-" + id, Pool: "p", State: executor.Up, Worker: id, Capacity: fakeCapacity}
	}
	return f
}

var fakeCapacity = resources.Amount{MilliCPU: 4000, MemoryMB: 4000}

func newFakeWorker(id string, born int64) *fakeWorker {
	return &fakeWorker{id: id, born: born, running: map[workload.TaskID]*fakeRun{}, highest: map[workload.TaskID]int{}}
}

// clock is the workers' clock in milliseconds.
func (f *fakeFleet) clock() int64 { return time.Since(f.began).Milliseconds() + 1000 }

func (f *fakeFleet) violate(format string, args ...any) {
	f.violation = append(f.violation, fmt.Sprintf(format, args...))
}

// advance ends what is due on a worker.
func (f *fakeFleet) advance(w *fakeWorker) {
	for task, r := range w.running {
		switch {
		case !r.stopped.IsZero():
			if time.Since(r.stopped) >= f.stopGrace {
				f.end(w, task, r, workload.Stopped)
			}
		case w.until < f.clock():
			f.end(w, task, r, workload.Lapsed)
		case !r.lasts && f.taskTime > 0 && time.Since(r.since) >= f.timeOn(w) && f.fails[task.Job]:
			f.end(w, task, r, workload.Faulted)
		case !r.lasts && f.taskTime > 0 && time.Since(r.since) >= f.timeOn(w):
			f.end(w, task, r, workload.Succeeded)
		}
	}
}

func (f *fakeFleet) end(w *fakeWorker, task workload.TaskID, r *fakeRun, how workload.Outcome) {
	delete(w.running, task)
	w.last++
	w.highest[task] = max(w.highest[task], r.number)
	w.ended = append(w.ended, workload.End{Sequence: w.last, Task: task, Run: r.number, Outcome: how})
}

// worker returns the addressed worker if the order reaches it.
func (f *fakeFleet) worker(t executor.Target, fence uint64) (*fakeWorker, error) {
	w := f.workers[t.ID]
	if w == nil || w.cut {
		return nil, errLost
	}
	f.advance(w)
	if fence < w.fence {
		return nil, &executor.Refused{Reason: executor.Fenced, Clock: f.clock()}
	}
	w.fence = fence
	return w, nil
}

func (f *fakeFleet) Start(_ context.Context, t executor.Target, s executor.Start) (int64, error) {
	time.Sleep(f.startDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	carry, answer := f.lose("start", t.ID)
	if !carry {
		return 0, errLost
	}
	w, err := f.worker(t, s.Fence)
	if err == nil {
		err = f.start(w, &s)
	}
	if !answer {
		return 0, errLost
	}
	return f.clock(), err
}

func (f *fakeFleet) start(w *fakeWorker, s *executor.Start) error {
	if int64(s.Lease) <= f.clock() {
		return &executor.Refused{Reason: executor.Expired, Clock: f.clock()}
	}
	w.until = max(w.until, int64(s.Lease))
	if r := w.running[s.Task]; r != nil && r.number == s.Run {
		return nil
	}
	if f.full != nil && f.full(w.id) {
		return &executor.Refused{Reason: executor.NoRoom, Clock: f.clock()}
	}
	if s.Run <= w.highest[s.Task] {
		return &executor.Refused{Reason: executor.Superseded, Clock: f.clock()}
	}
	for _, other := range f.workers {
		f.advance(other)
		if other.running[s.Task] != nil {
			f.violate("task %s starts on %s while it runs on %s", s.Task, w.id, other.id)
		}
	}
	if f.noted[s.Task] {
		f.violate("task %s starts after its end was noted", s.Task)
	}
	f.starts[s.Task]++
	w.running[s.Task] = &fakeRun{number: s.Run, since: time.Now(), spec: s.Spec, lasts: s.Spec == "lasts"}
	return nil
}

func (f *fakeFleet) Stop(_ context.Context, t executor.Target, s executor.Stop) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	carry, answer := f.lose("stop", t.ID)
	if !carry {
		return errLost
	}
	w, err := f.worker(t, s.Fence)
	if err != nil {
		return err
	}
	if r := w.running[s.Task]; r != nil && r.number <= s.Run && r.stopped.IsZero() {
		r.stopped = time.Now()
		f.advance(w)
		if r.lasts {
			f.minLasting = min(f.minLasting, f.lasting())
		}
	}
	w.highest[s.Task] = max(w.highest[s.Task], s.Run)
	if !answer {
		return errLost
	}
	return nil
}

// percent is the progress that a worker lists: that of a long-running task is
// complete while it serves.
func (f *fakeFleet) percent(w *fakeWorker, r *fakeRun) int {
	if r.lasts || f.taskTime == 0 {
		return 100
	}
	return min(int(100*time.Since(r.since)/f.timeOn(w)), 99)
}

// timeOn is how long a task runs on a worker.
func (f *fakeFleet) timeOn(w *fakeWorker) time.Duration {
	return f.taskTime * time.Duration(max(w.slow, 1))
}

// lasting counts the long-running tasks at work that are not being stopped.
func (f *fakeFleet) lasting() int {
	n := 0
	for _, w := range f.workers {
		for _, r := range w.running {
			if r.lasts && r.stopped.IsZero() {
				n++
			}
		}
	}
	return n
}

func (f *fakeFleet) Pace(context.Context, executor.Target, executor.Pace) error { return nil }

func (f *fakeFleet) Hold(ctx context.Context, t executor.Target, h executor.Hold) (executor.Held, error) {
	for limit := time.Now().Add(h.Wait); ; {
		held, more, err := f.hold(t, &h)
		h.Noted = 0 // it counts once, on arrival
		if err != nil || more || time.Now().After(limit) {
			return held, err
		}
		select {
		case <-ctx.Done():
			return executor.Held{}, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (f *fakeFleet) hold(t executor.Target, h *executor.Hold) (executor.Held, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unheld {
		return executor.Held{}, false, errLost
	}
	w, err := f.worker(t, h.Fence)
	if err != nil {
		return executor.Held{}, false, err
	}
	w.until = max(w.until, int64(h.Lease))
	for len(w.ended) > 0 && w.ended[0].Sequence <= h.Noted {
		if w.ended[0].Outcome == workload.Succeeded {
			f.noted[w.ended[0].Task] = true
		}
		w.ended = w.ended[1:]
	}
	out := executor.Held{Clock: f.clock(), Born: w.born, Complete: true, Ended: append([]workload.End{}, w.ended...)}
	for task, r := range w.running {
		out.Running = append(out.Running, executor.Running{Task: task, Run: r.number, Percent: f.percent(w, r)})
	}
	return out, len(w.ended) > 0, nil
}

func (f *fakeFleet) List(context.Context) ([]executor.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []executor.Instance
	for _, i := range f.instances {
		if f.unlisted[i.ID] > 0 {
			f.unlisted[i.ID]--
			continue
		}
		out = append(out, *i)
	}
	return out, nil
}

func (f *fakeFleet) Move(_ context.Context, _ executor.Authority, instance, pool string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.deaf {
		return errLost
	}
	f.instances[instance].Pool = pool
	f.moved = append(f.moved, time.Now())
	return nil
}

func (f *fakeFleet) Maintain(_ context.Context, _ executor.Authority, instance string, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.deaf {
		return errLost
	}
	i := f.instances[instance]
	if i.State == executor.Maintenance {
		return nil
	}
	if w := f.workers[i.Worker]; w != nil {
		for _, r := range w.running {
			if r.lasts {
				f.violate("a long-running task is on %s at its maintenance", w.id)
			}
		}
		delete(f.workers, i.Worker)
	}
	i.State = executor.Maintenance
	f.down++
	f.maxDown = max(f.maxDown, f.down)
	return nil
}

// returns brings an instance back with a new worker.
func (f *fakeFleet) returns(instance, worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[worker] = newFakeWorker(worker, time.Now().UnixMilli())
	f.instances[instance].State, f.instances[instance].Worker = executor.Up, worker
	f.down--
}

func (f *fakeFleet) with(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fakeFleet) runningOn(worker string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(f.workers[worker])
	return len(f.workers[worker].running)
}

func (f *fakeFleet) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Empty(f.t, f.violation)
}

// system is one replica with its orchestrator and a fake fleet.
type system struct {
	*fakeFleet
	o       *Orchestrator
	replica *control.Replica
	self    control.Address
	folder  string
	stop    func()
}

// testLease is long enough for a loaded machine to extend it in time.
const testLease = 1500 * time.Millisecond

func newSystem(t *testing.T, f *fakeFleet) *system {
	s := &system{fakeFleet: f, self: control.Address{Name: "c", Peer: testutil.FreeAddr(t)}, folder: filepath.Join(t.TempDir(), "data")}
	s.launch()
	t.Cleanup(func() {
		s.stop()
		f.check()
	})
	s.apply(&workload.Topology{Version: 1, Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Public: true, Timeout: 3 * time.Second, Pool: "p", MaxAttempts: 3, Stretch: 10, Slack: time.Minute}}, Pools: []workload.Pool{{Name: "p"}}})
	return s
}

func (s *system) launch() {
	ln, err := net.Listen("tcp", s.self.Peer)
	require.NoError(s.t, err)
	metrics := telemetry.NewMetrics()
	s.replica, err = control.Open(control.Options{
		Cluster: "test", Self: s.self, Members: []control.Address{s.self}, Folder: s.folder, Listener: ln, Log: logr.Discard(), Metrics: metrics,
	})
	require.NoError(s.t, err)
	settings := DefaultSettings()
	settings.Lease, settings.ReportInterval, settings.StopGrace = s.lease, 200*time.Millisecond, s.stopGrace
	s.o = New(Options{Settings: settings, Replica: s.replica, Workers: s.fakeFleet, Instances: s.fakeFleet, Holder: "c", Log: logr.Discard(), Metrics: metrics})
	s.replica.SetService(s.o)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	reported := make(chan struct{})
	go func() { ended <- s.replica.Run(ctx) }()
	go func() {
		defer close(reported)
		s.report(ctx)
	}()
	s.stop = func() {
		s.stop = func() {} // a failed start runs the cleanup after a stop
		cancel()
		s.o.Close()
		<-reported // the next start replaces what the reports are sent to
		require.NoError(s.t, <-ended)
	}
}

// restart stops the replica and starts it again on its disk: a takeover.
func (s *system) restart() {
	s.stop()
	s.launch()
}

// report sends the reports of all workers that are not cut off.
func (s *system) report(ctx context.Context) {
	for sequence := uint64(time.Now().UnixNano()); ctx.Err() == nil; sequence++ {
		var reports []*Report
		s.with(func() {
			for _, w := range s.workers {
				if !w.cut && !w.quiet {
					reports = append(reports, &Report{Sequence: sequence, Clock: s.clock(), Worker: workload.Worker{
						ID: w.id, Born: w.born, Address: w.id, Pool: s.poolOf(w.id), Capacity: fakeCapacity, Labels: []string{"a", "r"},
					}})
				}
			}
		})
		for _, r := range reports {
			c, cancel := context.WithTimeout(ctx, time.Second)
			_ = s.o.Report(c, r)
			cancel()
		}
		time.Sleep(30 * time.Millisecond)
	}
}

func (s *system) poolOf(worker string) string {
	for _, i := range s.instances {
		if i.Worker == worker {
			return i.Pool
		}
	}
	return "p"
}

// try repeats a call until it succeeds.
func (s *system) try(call func(ctx context.Context) error) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return call(ctx) == nil
	}, 20*time.Second, 10*time.Millisecond)
}

func (s *system) apply(t *workload.Topology) {
	s.t.Helper()
	s.try(func(ctx context.Context) error { return s.o.ApplyTopology(ctx, t) })
}

func (s *system) call(method string, c *Call) *CallAnswer {
	s.t.Helper()
	var answer *CallAnswer
	c.Host, c.Left = "h", 3*time.Second
	s.try(func(ctx context.Context) error {
		a, err := s.o.Call(ctx, method, c)
		answer = a
		if err == nil && a.Outcome == Refused {
			return errLost
		}
		return err
	})
	return answer
}

// jobID turns a short name into a job's identity.
func jobID(name string) string {
	return fmt.Sprintf("%016x", name)[:16]
}

func (s *system) submit(id string, steps ...workload.Step) {
	s.t.Helper()
	spec := "short"
	if steps[0].LongRunning {
		spec = "lasts"
	}
	answer := s.call(MethodSubmit, &Call{Path: "/q/" + jobID(id), Job: &workload.Job{Spec: spec, Steps: steps}})
	require.Equal(s.t, Accepted, answer.Outcome)
}

func (s *system) status(id string) workload.Status {
	s.t.Helper()
	return s.call(MethodStatus, &Call{Path: "/q/" + jobID(id)}).Status
}

func (s *system) await(id string, want workload.Status) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.status(id) == want }, 20*time.Second, 20*time.Millisecond)
}

func (s *system) awaitRunning(worker string, n int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.runningOn(worker) == n }, 20*time.Second, 10*time.Millisecond)
}
