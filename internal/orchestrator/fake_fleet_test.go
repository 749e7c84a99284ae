package orchestrator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
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

var errNoResponse = errors.New("no response")

// fakeFleet simulates the workers and the platform. It checks that no task has two
// concurrent runs and that none starts after its end was acknowledged.
type fakeFleet struct {
	t  *testing.T
	mu sync.Mutex
	// workers by ID
	workers      map[string]*fakeWorker
	acknowledged map[workload.TaskID]bool // tasks whose successful end was acknowledged
	starts       map[workload.TaskID]int
	// taskTime is the run time of a task; 0 means that it runs until it is stopped.
	taskTime time.Duration
	fails    map[string]bool // jobs whose tasks fail
	// crashes holds the tasks that crash each worker that starts them. The worker's instance
	// runs a new worker after restartDelay; crashed lists the workers that crashed.
	crashes          map[workload.TaskID]bool
	crashingInstance string // crashes whatever starts on it
	restartDelay     time.Duration
	dark             bool // connections to crashed workers time out instead of being refused
	keepsID          bool // the new worker has the ID of the crashed one
	crashed          []string
	lostRuns         map[string]int // runs of each job that were lost with their workers
	// deliver decides whether an order is carried out and whether its response arrives. It
	// is called with the lock held.
	deliver func(order, worker string) (carriedOut, responded bool)
	// beforeResponse is called after an order was carried out and before its response is
	// sent, without the lock; nil means that responses take no time.
	beforeResponse func(order string)
	// started is called with each run that has started, with the lock held; it may be nil.
	started func(worker string, task workload.TaskID)

	instances map[string]*executor.Instance
	orders    []platformCall // orders that arrived at the platform
	// inTransit returns how long an order of a holder takes to arrive; nil means no time.
	inTransit    func(holder string) time.Duration
	platformDown bool   // moves and maintenance calls have no effect and no response
	declined     string // the reason for which maintenance calls are declined, if any
	// lostMaintenance is the number of maintenance orders that are carried out without a
	// response. maintained holds the last wave for which an instance was maintained: an
	// order that is repeated for it has no effect.
	lostMaintenance int
	maintained      map[string]uint64
	// staleList is what the platform lists instead of the instances, if it is set.
	staleList []executor.Instance
	unlisted  map[string]int // number of lists from which an instance is missing
	pollsLost bool           // polls don't arrive
	down      int            // number of instances in maintenance
	moved     []time.Time    // when instances changed pools
	// migration is how long a move takes. If it is 0, the worker stays and reports from the new pool.
	migration  time.Duration
	maxDown    int
	violations []string
	// lease is the duration of the leases that the leader grants; minServing is the
	// lowest number of serving long-running tasks after a stop.
	lease time.Duration
	// maxLease is the longest lease that a worker grants; 0 means a default, see longestLease.
	maxLease   time.Duration
	startsLost atomic.Bool              // starts are lost, which their senders notice by their time limit only
	startDelay time.Duration            // delay in transit of each start
	stopGrace  time.Duration            // time until a stopped run has ended
	full       func(worker string) bool // reports whether a start is refused for lack of room
	minServing int
}

type fakeWorker struct {
	id          string
	incarnation int64
	fence       uint64
	// The clock of each incarnation starts anew: it read clockStart at bornAt.
	clockStart  int64
	bornAt      time.Time
	leaseEnd    int64 // on the worker's clock
	unreachable bool
	noReports   bool
	draining    bool
	dataCentre  string
	labels      []string
	// capacity is what the worker reports; it doesn't refuse what exceeds it. resizedAt is
	// when it changed.
	capacity   resources.Amount
	resizedAt  time.Time
	slowdown   int   // factor on the run time of tasks; 0 counts as 1
	clockAhead int64 // added to the clock in responses to starts
	running    map[workload.TaskID]*fakeRun
	ended      []workload.RunEnd
	lastEnd    uint64
	highestRun map[workload.TaskID]int // highest run number of a task that ended or was stopped
}

type fakeRun struct {
	number      int
	startedAt   time.Time
	spec        string
	longRunning bool
	// stoppedAt is when the run was told to stop.
	stoppedAt time.Time
}

func newFakeFleet(t *testing.T, workers ...string) *fakeFleet {
	f := &fakeFleet{
		t: t, workers: map[string]*fakeWorker{}, acknowledged: map[workload.TaskID]bool{}, starts: map[workload.TaskID]int{},
		taskTime: 50 * time.Millisecond, fails: map[string]bool{}, crashes: map[workload.TaskID]bool{}, restartDelay: 300 * time.Millisecond, lostRuns: map[string]int{}, instances: map[string]*executor.Instance{}, maintained: map[string]uint64{},
		deliver: func(string, string) (bool, bool) { return true, true }, lease: testLease, minServing: 1 << 30,
	}
	for _, id := range workers {
		f.workers[id] = newFakeWorker(id, 1)
		f.instances["m-"+id] = &executor.Instance{ID: "m-" + id, Pool: "p", State: executor.Up, Worker: id, Capacity: fakeCapacity}
	}
	return f
}

var fakeCapacity = resources.Amount{MilliCPU: 4000, MemoryMB: 4000}

// clockStarts are the readings in milliseconds at which the clocks of incarnations 0, 1, 2, 3 and
// so on start, in turn. The next incarnation's may be ahead of the former one's or behind it, by
// far more than any lease.
var clockStarts = []int64{200_000, 3_000_000, 8_000_000}

func newFakeWorker(id string, incarnation int64) *fakeWorker {
	return &fakeWorker{
		id: id, incarnation: incarnation, clockStart: clockStarts[incarnation%int64(len(clockStarts))], bornAt: time.Now(),
		labels: []string{"a", "r"}, capacity: fakeCapacity, running: map[workload.TaskID]*fakeRun{}, highestRun: map[workload.TaskID]int{},
	}
}

// clock returns the reading of the worker's clock in milliseconds.
func (w *fakeWorker) clock() int64 { return w.clockStart + time.Since(w.bornAt).Milliseconds() }

// clock returns the reading of a worker's clock in milliseconds. The caller doesn't hold the lock.
// A worker that is not there has the clock of a first incarnation.
func (f *fakeFleet) clock(worker string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[worker]; w != nil {
		return w.clock()
	}
	return newFakeWorker(worker, 1).clock()
}

// longestLease returns the longest lease that a worker grants, counted from the call that asks for
// it. By default it is longer than the leader's leases, as in production.
func (f *fakeFleet) longestLease() time.Duration {
	switch {
	case f.maxLease != 0:
		return f.maxLease
	case f.lease == testLease:
		return 2 * time.Second
	default:
		return 2 * f.lease
	}
}

// extendLease extends a worker's lease as a call asks that the worker takes now. A lease is never
// shortened.
func (f *fakeFleet) extendLease(w *fakeWorker, end executor.LeaseEnd) {
	w.leaseEnd = max(w.leaseEnd, min(int64(end), w.clock()+f.longestLease().Milliseconds()))
}

// settings returns the settings of replicas that lead the fleet.
func (f *fakeFleet) settings() Settings {
	settings := DefaultSettings()
	settings.Lease, settings.MaxLease, settings.ReportInterval, settings.StopGrace = f.lease, f.longestLease(), 200*time.Millisecond, f.stopGrace
	return settings
}

func (f *fakeFleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// advance ends the runs on a worker that are due to end.
func (f *fakeFleet) advance(w *fakeWorker) {
	for task, r := range w.running {
		switch {
		case !r.stoppedAt.IsZero():
			if time.Since(r.stoppedAt) >= f.stopGrace {
				f.end(w, task, r, workload.Stopped)
			}
		case w.leaseEnd < w.clock():
			f.end(w, task, r, workload.LeaseExpired)
		case !r.longRunning && f.taskTime > 0 && time.Since(r.startedAt) >= f.durationOn(w) && f.fails[task.Job]:
			f.end(w, task, r, workload.RunFailed)
		case !r.longRunning && f.taskTime > 0 && time.Since(r.startedAt) >= f.durationOn(w):
			f.end(w, task, r, workload.Succeeded)
		}
	}
}

func (f *fakeFleet) end(w *fakeWorker, task workload.TaskID, r *fakeRun, outcome workload.Outcome) {
	delete(w.running, task)
	w.lastEnd++
	w.highestRun[task] = max(w.highestRun[task], r.number)
	w.ended = append(w.ended, workload.RunEnd{Sequence: w.lastEnd, Task: task, Run: r.number, Outcome: outcome})
}

// acknowledge discards the ends on a worker up to a sequence number.
func (f *fakeFleet) acknowledge(w *fakeWorker, sequence uint64) {
	for len(w.ended) > 0 && w.ended[0].Sequence <= sequence {
		if w.ended[0].Outcome == workload.Succeeded {
			f.acknowledged[w.ended[0].Task] = true
		}
		w.ended = w.ended[1:]
	}
}

// reach returns the addressed worker, or an error if it is unreachable or refuses the
// fencing token.
func (f *fakeFleet) reach(t executor.Target, fence uint64) (*fakeWorker, error) {
	w := f.workers[t.ID]
	if w == nil && !f.dark && slices.Contains(f.crashed, t.ID) {
		return nil, executor.ErrDisconnected
	}
	if w == nil || w.unreachable {
		return nil, errNoResponse
	}
	f.advance(w)
	if fence < w.fence {
		return nil, &executor.RefusedError{Reason: executor.Fenced, Clock: w.clock()}
	}
	w.fence = fence
	return w, nil
}

func (f *fakeFleet) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	time.Sleep(f.startDelay)
	if f.startsLost.Load() {
		<-ctx.Done()
		return 0, errNoResponse
	}
	clock, err := f.receiveStart(t, &s)
	if f.beforeResponse != nil {
		f.beforeResponse("start")
	}
	return clock, err
}

func (f *fakeFleet) receiveStart(t executor.Target, s *executor.Start) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	carriedOut, responded := f.deliver("start", t.ID)
	if !carriedOut {
		return 0, errNoResponse
	}
	w, err := f.reach(t, s.Fence)
	if err == nil {
		err = f.start(w, s)
	}
	if !responded {
		return 0, errNoResponse
	}
	if w == nil {
		return 0, err
	}
	return w.clock() + w.clockAhead, err
}

func (f *fakeFleet) start(w *fakeWorker, s *executor.Start) error {
	if int64(s.Lease) <= w.clock() {
		return &executor.RefusedError{Reason: executor.Expired, Clock: w.clock()}
	}
	f.extendLease(w, s.Lease)
	if r := w.running[s.Task]; r != nil && r.number == s.Run {
		return nil
	}
	if f.full != nil && f.full(w.id) {
		return &executor.RefusedError{Reason: executor.NoRoom, Clock: w.clock()}
	}
	if s.Run <= w.highestRun[s.Task] {
		return &executor.RefusedError{Reason: executor.Superseded, Clock: w.clock()}
	}
	for _, other := range f.workers {
		f.advance(other)
		if other.running[s.Task] != nil {
			f.addViolation("task %s starts on %s while it runs on %s", s.Task, w.id, other.id)
		}
	}
	if f.acknowledged[s.Task] {
		f.addViolation("task %s starts after its end was acknowledged", s.Task)
	}
	// The tasks of tests that resize workers take one core each. A start that was sent before
	// the leader could know is allowed.
	if !w.resizedAt.IsZero() && time.Since(w.resizedAt) > resizeNotice && int64(len(w.running)+1)*oneCore.MilliCPU > w.capacity.MilliCPU {
		f.addViolation("task %s starts on %s, which has room for %d and runs %d", s.Task, w.id, w.capacity.MilliCPU/oneCore.MilliCPU, len(w.running))
	}
	f.starts[s.Task]++
	w.running[s.Task] = &fakeRun{number: s.Run, startedAt: time.Now(), spec: s.Spec, longRunning: s.Spec == "lasts"}
	if f.started != nil {
		f.started(w.id, s.Task)
	}
	if f.crashes[s.Task] || f.crashingInstance != "" && f.instances[f.crashingInstance].Worker == w.id {
		time.AfterFunc(crashDelay, func() { f.withLock(func() { f.crash(w.id) }) })
	}
	return nil
}

// resizeNotice is how long after a change of its capacity a worker may still receive starts
// that were decided before.
const resizeNotice = 300 * time.Millisecond

// resize changes the capacity of a worker to n cores.
func (f *fakeFleet) resize(worker string, n int64) {
	f.withLock(func() {
		f.workers[worker].capacity.MilliCPU, f.workers[worker].resizedAt = n*oneCore.MilliCPU, time.Now()
	})
}

// crashDelay is the time from the response to a start to the crash of the worker.
const crashDelay = 10 * time.Millisecond

// crash ends a worker with all its runs. Its instance runs a new worker after restartDelay.
func (f *fakeFleet) crash(id string) {
	w := f.workers[id]
	if w == nil {
		return
	}
	f.advance(w)
	for task := range w.running {
		f.lostRuns[task.Job]++
	}
	f.crashed = append(f.crashed, id)
	delete(f.workers, id)
	for _, i := range f.instances {
		if i.Worker == id {
			i.State, i.Worker = executor.Down, ""
			time.AfterFunc(f.restartDelay, func() {
				f.withLock(func() {
					name := id
					if !f.keepsID {
						name = fmt.Sprintf("%s+%d", id, len(f.crashed))
					}
					// Rounded, so that the clock starts at the reading after that of w in clockStarts.
					n := int64(len(clockStarts))
					next := newFakeWorker(name, time.Now().UnixMilli()/n*n+(w.incarnation+1)%n)
					next.labels, next.capacity = w.labels, w.capacity
					f.workers[next.id] = next
					i.State, i.Worker = executor.Up, next.id
				})
			})
		}
	}
}

func (f *fakeFleet) Stop(_ context.Context, t executor.Target, s executor.Stop) error {
	err := f.stop(t, &s)
	if f.beforeResponse != nil {
		f.beforeResponse("stop")
	}
	return err
}

func (f *fakeFleet) stop(t executor.Target, s *executor.Stop) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	carriedOut, responded := f.deliver("stop", t.ID)
	if !carriedOut {
		return errNoResponse
	}
	w, err := f.reach(t, s.Fence)
	if err != nil {
		return err
	}
	if r := w.running[s.Task]; r != nil && r.number <= s.Run && r.stoppedAt.IsZero() {
		r.stoppedAt = time.Now()
		f.advance(w)
		if r.longRunning {
			f.minServing = min(f.minServing, f.serving())
		}
	}
	w.highestRun[s.Task] = max(w.highestRun[s.Task], s.Run)
	if !responded {
		return errNoResponse
	}
	return nil
}

// percent returns the progress that a worker lists. A long-running task that serves is
// listed with 100.
func (f *fakeFleet) percent(w *fakeWorker, r *fakeRun) int {
	if r.longRunning || f.taskTime == 0 {
		return 100
	}
	return min(int(100*time.Since(r.startedAt)/f.durationOn(w)), 99)
}

// durationOn returns the run time of a task on a worker.
func (f *fakeFleet) durationOn(w *fakeWorker) time.Duration {
	return f.taskTime * time.Duration(max(w.slowdown, 1))
}

// serving returns the number of long-running tasks that run and are not being
// stopped.
func (f *fakeFleet) serving() int {
	n := 0
	for _, w := range f.workers {
		for _, r := range w.running {
			if r.longRunning && r.stoppedAt.IsZero() {
				n++
			}
		}
	}
	return n
}

func (f *fakeFleet) Pace(context.Context, executor.Target, executor.Pace) error { return nil }

func (f *fakeFleet) Poll(ctx context.Context, t executor.Target, p executor.Poll) (executor.PollResponse, error) {
	for limit := time.Now().Add(p.Wait); ; {
		response, more, err := f.poll(t, &p)
		p.Acknowledged, p.Lease = 0, 0 // these take effect once, on arrival
		if err != nil || more || time.Now().After(limit) {
			return response, err
		}
		select {
		case <-ctx.Done():
			return executor.PollResponse{}, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (f *fakeFleet) poll(t executor.Target, p *executor.Poll) (executor.PollResponse, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pollsLost {
		return executor.PollResponse{}, false, errNoResponse
	}
	w, err := f.reach(t, p.Fence)
	if err != nil {
		return executor.PollResponse{}, false, err
	}
	f.extendLease(w, p.Lease)
	f.acknowledge(w, p.Acknowledged)
	out := executor.PollResponse{Clock: w.clock(), Incarnation: w.incarnation, Complete: true, Ended: append([]workload.RunEnd{}, w.ended...)}
	for task, r := range w.running {
		out.Running = append(out.Running, executor.Running{Task: task, Run: r.number, Percent: f.percent(w, r)})
	}
	return out, len(w.ended) > 0, nil
}

func (f *fakeFleet) List(context.Context) ([]executor.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.staleList != nil {
		return f.staleList, nil
	}
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

// platformCall is an order that arrived at the platform.
type platformCall struct {
	instance string
	executor.Authority
	at time.Time
}

// receive waits until an order has arrived and records it. An order whose call is
// cancelled in transit doesn't arrive.
func (f *fakeFleet) receive(ctx context.Context, a executor.Authority, instance string) error {
	if !a.Valid() {
		return executor.ErrAuthorityEnded
	}
	if f.inTransit != nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(f.inTransit(a.Holder)):
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, platformCall{instance, a, time.Now()})
	return nil
}

func (f *fakeFleet) Move(ctx context.Context, a executor.Authority, instance, pool string) error {
	if err := f.receive(ctx, a, instance); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown {
		return errNoResponse
	}
	f.moved = append(f.moved, time.Now())
	if f.migration > 0 {
		f.migrate(f.instances[instance], pool)
		return nil
	}
	f.instances[instance].Pool = pool
	return nil
}

// migrate ends the worker of an instance. After the migration a new one runs on it, unless the pool is
// spare.
func (f *fakeFleet) migrate(i *executor.Instance, pool string) {
	if w := f.workers[i.Worker]; w != nil {
		for _, r := range w.running {
			if r.longRunning {
				f.addViolation("a long-running task is on %s when it is moved", w.id)
			}
		}
		delete(f.workers, i.Worker)
	}
	i.State, i.Pool, i.Worker = executor.Moving, pool, ""
	time.AfterFunc(f.migration, func() {
		f.withLock(func() {
			i.State = executor.Up
			if pool != "spare" {
				w := newFakeWorker(fmt.Sprintf("%s+%d", i.ID, len(f.moved)), time.Now().UnixMilli())
				f.workers[w.id], i.Worker = w, w.id
			}
		})
	})
}

func (f *fakeFleet) Maintain(ctx context.Context, a executor.Authority, instance string, wave uint64) error {
	if err := f.receive(ctx, a, instance); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown {
		return errNoResponse
	}
	i := f.instances[instance]
	if i == nil {
		return &executor.DeclinedError{Reason: "unknown"}
	}
	if f.declined != "" {
		return &executor.DeclinedError{Reason: f.declined}
	}
	if i.State == executor.Maintenance || f.maintained[instance] == wave {
		return nil
	}
	f.maintained[instance] = wave
	if w := f.workers[i.Worker]; w != nil {
		for _, r := range w.running {
			if r.longRunning {
				f.addViolation("a long-running task is on %s at its maintenance", w.id)
			}
		}
		delete(f.workers, i.Worker)
	}
	i.State = executor.Maintenance
	f.down++
	f.maxDown = max(f.maxDown, f.down)
	if f.lostMaintenance > 0 {
		f.lostMaintenance--
		return errNoResponse
	}
	return nil
}

// endMaintenance ends the maintenance of an instance, which returns with a new worker.
func (f *fakeFleet) endMaintenance(instance, worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[worker] = newFakeWorker(worker, time.Now().UnixMilli())
	f.instances[instance].State, f.instances[instance].Worker = executor.Up, worker
	f.down--
}

func (f *fakeFleet) withLock(do func()) {
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

func (f *fakeFleet) checkViolations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Empty(f.t, f.violations)
}

// system is one replica with its orchestrator and a fake fleet.
type system struct {
	*fakeFleet
	o          *Orchestrator
	replica    *control.Replica
	self       control.Address
	dataFolder string
	stop       func()
	// calls is how the orchestrator reaches the workers.
	calls executor.Workers
	// advisor is the policy service; nil means none.
	advisor executor.Advisor
	// adjust changes the settings, and wrap the service that the replica calls, if set.
	adjust func(*Settings)
	wrap   func(*Orchestrator) control.Service
}

// testLease is long enough to be extended in time on a loaded test machine.
const testLease = 1500 * time.Millisecond

// takeoverLease is longer than a takeover on a loaded test machine. A task whose lease
// ends during the takeover is rightly run again.
const takeoverLease = 20 * time.Second

func newSystem(t *testing.T, f *fakeFleet) *system {
	return newConfiguredSystem(t, f, func(*system) {})
}

// newConfiguredSystem returns a system that configure has changed before its start.
func newConfiguredSystem(t *testing.T, f *fakeFleet, configure func(*system)) *system {
	s := &system{fakeFleet: f, calls: f, self: control.Address{Name: "c", Peer: testutil.FreeAddr(t)}, dataFolder: filepath.Join(t.TempDir(), "data")}
	configure(s)
	s.launch()
	t.Cleanup(func() {
		s.stop()
		f.checkViolations()
	})
	s.apply(&workload.Topology{Version: 1, Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/q/", Public: true, Timeout: 3 * time.Second, Pool: "p", MaxAttempts: 3, Stretch: 10, Slack: time.Minute}}, Pools: []workload.Pool{{Name: "p"}}})
	return s
}

func (s *system) launch() {
	ln, err := net.Listen("tcp", s.self.Peer)
	require.NoError(s.t, err)
	metrics := telemetry.NewMetrics()
	s.replica, err = control.Open(control.Options{
		Cluster: "test", Self: s.self, Members: []control.Address{s.self}, DataFolder: s.dataFolder, Listener: ln, Log: logr.Discard(), Metrics: metrics,
	})
	require.NoError(s.t, err)
	settings := s.settings()
	if s.adjust != nil {
		s.adjust(&settings)
	}
	s.o = New(Options{Settings: settings, Replica: s.replica, Workers: s.calls, Instances: s.fakeFleet, Advisor: s.advisor, ReplicaName: s.self.Name, Log: logr.Discard(), Metrics: metrics})
	s.replica.SetService(s.o)
	if s.wrap != nil {
		s.replica.SetService(s.wrap(s.o))
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	reported := make(chan struct{})
	go func() { ended <- s.replica.Run(ctx) }()
	go func() {
		defer close(reported)
		s.sendReports(ctx)
	}()
	s.stop = func() {
		s.stop = func() {} // the cleanup calls stop again if a restart failed
		cancel()
		err := <-ended
		s.o.Close() // the replica starts calls of the orchestrator until it has ended
		<-reported  // the next launch replaces the orchestrator that receives the reports
		require.NoError(s.t, err)
	}
}

// restart stops the replica and starts it again with the same data, which causes a
// takeover.
func (s *system) restart() {
	s.stop()
	s.launch()
}

// sendReports sends the reports of all workers that are reachable and send reports.
func (s *system) sendReports(ctx context.Context) {
	for sequence := uint64(time.Now().UnixNano()); ctx.Err() == nil; sequence++ {
		var reports []*Report
		s.withLock(func() {
			for _, w := range s.workers {
				if !w.unreachable && !w.noReports {
					reports = append(reports, &Report{Sequence: sequence, Clock: w.clock(), Worker: workload.Worker{
						ID: w.id, Incarnation: w.incarnation, Address: w.id, Pool: s.poolOf(w.id), Capacity: w.capacity, Labels: w.labels, Draining: w.draining, DataCentre: w.dataCentre,
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

// eventually repeats a call until it succeeds.
func (s *system) eventually(call func(ctx context.Context) error) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return call(ctx) == nil
	}, 20*time.Second, 10*time.Millisecond)
}

func (s *system) apply(t *workload.Topology) {
	s.t.Helper()
	s.eventually(func(ctx context.Context) error { return s.o.ApplyTopology(ctx, t) })
}

func (s *system) call(method string, c *Call) *CallResponse {
	s.t.Helper()
	var response *CallResponse
	c.Host, c.Remaining = "h", 3*time.Second
	s.eventually(func(ctx context.Context) error {
		a, err := s.o.Call(ctx, method, c)
		response = a
		if err == nil && a.Outcome == Refused {
			return errNoResponse
		}
		return err
	})
	return response
}

// jobID converts a short name into a job ID.
func jobID(name string) string {
	return fmt.Sprintf("%016x", name)[:16]
}

func (s *system) submit(id string, steps ...workload.Step) {
	s.t.Helper()
	spec := "short"
	if steps[0].LongRunning {
		spec = "lasts"
	}
	response := s.call(MethodSubmit, &Call{Path: "/q/" + jobID(id), Job: &workload.Job{Spec: spec, Steps: steps}})
	require.Equal(s.t, Accepted, response.Outcome)
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
