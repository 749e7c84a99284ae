package orchestrator

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/control"
	"cactusspar/internal/executor"
	"cactusspar/internal/resources"
	"cactusspar/internal/testutil"
	"cactusspar/internal/workload"
)

// agreementChecker is an orchestrator that compares its sessions with the replicated
// state whenever that has changed. Some of its commands are refused, more of those that
// remove runs.
type agreementChecker struct {
	*Orchestrator
	mu         sync.Mutex
	random     *rand.Rand
	refusals   float64 // share of the commands that are refused
	violations []string
}

var errRefusedCommand = errors.New("too many entries are not committed")

func (c *agreementChecker) BeginLeadership(l *control.Leadership) {
	c.Orchestrator.BeginLeadership(l)
	c.check("a change of leader")
}

func (c *agreementChecker) Applied(command *workload.Command) {
	c.Orchestrator.Applied(command)
	c.check(fmt.Sprintf("%+v", *command))
}

// Flush refuses some commands as the log does while too many entries are not committed.
func (c *agreementChecker) Flush() {
	o := c.Orchestrator
	c.mu.Lock()
	refusals := c.refusals
	if len(o.pending.Released)+len(o.pending.Ends)+len(o.pending.RemovedWorkers) > 0 {
		refusals *= 4
	}
	refused := c.random.Float64() < refusals
	c.mu.Unlock()
	if !refused || o.pending.Empty() {
		o.Flush()
		return
	}
	command, replies := o.pending, o.replies
	o.pending, o.replies = workload.Command{}, nil
	o.startsResolved(&command, len(command.Starts) > 0)
	o.cordonsRefused(command.Cordons)
	o.repropose(&command, errRefusedCommand)
	for _, reply := range replies {
		reply(errRefusedCommand)
	}
}

// check requires that the sessions are those of the state's workers, that each run has
// an order in the session of its worker and each order a run, and that no order keeps
// a run of an ended job or of a task that is done.
func (c *agreementChecker) check(after string) {
	for _, violation := range disagreements(c.Orchestrator) {
		c.mu.Lock()
		c.violations = append(c.violations, violation+" after "+after)
		c.mu.Unlock()
	}
}

func disagreements(o *Orchestrator) (out []string) {
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	state := o.leadership.State()
	for id, w := range state.Workers {
		if s := o.sessions[id]; s == nil || s.incarnation != w.Incarnation {
			add("worker %s has no session of its incarnation", id)
		}
	}
	for id, s := range o.sessions {
		if state.Workers[id] == nil {
			add("the session of %s has no worker", id)
		}
		for run := range s.orders {
			if r := state.FindRun(run); r == nil || r.Worker != id {
				add("the order of run %d of %s on %s has no run", run.Number, run.Task, id)
			}
		}
	}
	eachRun(state, func(id workload.RunID, r *workload.Run, obsolete bool) {
		s := o.sessions[r.Worker]
		if s == nil || s.orders[id] == nil {
			add("run %d of %s on %s has no order", id.Number, id.Task, r.Worker)
		} else if p := s.orders[id].phase; obsolete && (p == starting || p == running) {
			add("run %d of %s on %s goes on, and its job or its task has ended", id.Number, id.Task, r.Worker)
		}
	})
	return out
}

// eachRun calls f for each run in the state. obsolete reports that its job has ended or
// its task is done.
func eachRun(state *workload.State, f func(id workload.RunID, r *workload.Run, obsolete bool)) {
	for _, j := range state.Jobs {
		for k := range j.Occurrences {
			for p := range j.Occurrences[k].Steps {
				for i := range j.Occurrences[k].Steps[p].Tasks {
					t := &j.Occurrences[k].Steps[p].Tasks[i]
					for n := range t.Runs {
						id := workload.RunID{Task: workload.TaskID{Job: j.ID, Occurrence: k, Step: p, Index: i}, Number: t.Runs[n].Number}
						f(id, &t.Runs[n], j.Status.Ended() || t.Done)
					}
				}
			}
		}
	}
}

// lateWorkers is a fleet that leaves some orders unanswered and carries them out late,
// unless the worker has ended by then.
type lateWorkers struct {
	*fakeFleet
	mu       sync.Mutex
	random   *rand.Rand
	late     float64         // share of the orders that are late
	replaced map[string]bool // workers at whose address another one responds
}

func (l *lateWorkers) delay(worker string, carryOut func()) error {
	l.mu.Lock()
	replaced, late := l.replaced[worker], l.random.Float64() < l.late
	delay := time.Duration(l.random.Intn(800)) * time.Millisecond
	l.mu.Unlock()
	if replaced {
		return &executor.RefusedError{Reason: executor.WrongWorker}
	}
	if !late {
		return nil
	}
	life := func() (w *fakeWorker) {
		l.withLock(func() { w = l.workers[worker] })
		return w
	}
	began := life()
	time.AfterFunc(delay, func() {
		if life() == began {
			carryOut()
		}
	})
	return errNoResponse
}

func (l *lateWorkers) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	if err := l.delay(t.ID, func() { _, _ = l.fakeFleet.Start(context.Background(), t, s) }); err != nil {
		return 0, err
	}
	return l.fakeFleet.Start(ctx, t, s)
}

func (l *lateWorkers) Stop(ctx context.Context, t executor.Target, s executor.Stop) error {
	if err := l.delay(t.ID, func() { _ = l.fakeFleet.Stop(context.Background(), t, s) }); err != nil {
		return err
	}
	return l.fakeFleet.Stop(ctx, t, s)
}

func (l *lateWorkers) Poll(ctx context.Context, t executor.Target, p executor.Poll) (executor.PollResponse, error) {
	l.mu.Lock()
	replaced := l.replaced[t.ID]
	l.mu.Unlock()
	if replaced {
		return executor.PollResponse{}, &executor.RefusedError{Reason: executor.WrongWorker}
	}
	return l.fakeFleet.Poll(ctx, t, p)
}

// disturbance changes the workers, the leader and the jobs of a system at random.
type disturbance struct {
	*lateWorkers
	random       *rand.Rand
	changeLeader func()
	leader       func() *Orchestrator // the replica that probably leads
	checkers     []*agreementChecker  // of all leaders
	jobs         []string
	long         map[string]int // number of tasks of the long-running jobs
	// cancelled holds the jobs whose cancel was acknowledged, undecided those whose
	// submission or cancel has no certain outcome.
	cancelled, undecided map[string]bool
	away                 map[string]time.Time // when a worker returns
	incarnation          int64
}

func newDisturbance(t *testing.T, seed int64) *disturbance {
	f := newFakeFleet(t, "a", "b", "c", "d")
	f.taskTime, f.lease, f.stopGrace = 60*time.Millisecond, 800*time.Millisecond, 20*time.Millisecond
	n := 0
	f.deliver = func(string, string) (bool, bool) {
		n++
		return n%13 != 0, n%11 != 0
	}
	return &disturbance{
		lateWorkers: &lateWorkers{fakeFleet: f, random: rand.New(rand.NewSource(seed + 1)), late: 0.1, replaced: map[string]bool{}},
		random:      rand.New(rand.NewSource(seed)), long: map[string]int{}, cancelled: map[string]bool{}, undecided: map[string]bool{},
		away: map[string]time.Time{}, incarnation: time.Now().UnixMilli(),
	}
}

// check returns the service of a replica, which compares its sessions with the state.
func (d *disturbance) check(o *Orchestrator) control.Service {
	c := &agreementChecker{Orchestrator: o, random: rand.New(rand.NewSource(d.random.Int63())), refusals: 0.1}
	d.checkers = append(d.checkers, c)
	return c
}

func disturbSystem(t *testing.T, seed int64) *disturbance {
	d := newDisturbance(t, seed)
	s := newConfiguredSystem(t, d.fakeFleet, func(s *system) {
		s.calls, s.wrap = d.lateWorkers, d.check
		s.adjust = func(settings *Settings) { settings.ReportInterval = 100 * time.Millisecond }
	})
	d.changeLeader, d.leader = s.restart, func() *Orchestrator { return s.o }
	return d
}

func disturbGroup(t *testing.T, seed int64) *disturbance {
	d := newDisturbance(t, seed)
	g := newConfiguredGroup(t, d.fakeFleet, func(string) executor.Instances { return d.fakeFleet }, d.lateWorkers, d.check)
	g.apply(g.leader(nil), nil, workload.Pool{Name: "p"})
	d.changeLeader = func() {
		if g.isolated.Swap(nil) == nil {
			g.isolated.Store(&g.leader(nil).name)
		}
	}
	d.leader = func() *Orchestrator {
		isolated := g.isolated.Load()
		for _, m := range g.members {
			if m.leading.Load() && (isolated == nil || *isolated != m.name || d.random.Intn(3) == 0) {
				return m.o
			}
		}
		return g.members[0].o
	}
	return d
}

// change makes one change at random.
func (d *disturbance) change() {
	worker := []string{"a", "b", "c", "d"}[d.random.Intn(4)]
	switch d.random.Intn(19) {
	case 0, 1, 2, 3:
		d.submitAny()
	case 4, 5, 6, 7, 8:
		d.cancelAny()
	case 9, 10:
		d.restartWorker(worker)
	case 11, 12:
		d.removeWorker(worker, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_ = d.leader().Leave(ctx, &LeaveRequest{Worker: worker})
		})
	case 13, 14:
		d.removeWorker(worker, func() {
			d.withLock(func() { d.instances["m-"+worker].State, d.instances["m-"+worker].Worker = executor.Down, "" })
		})
	case 15:
		d.removeWorker(worker, func() {
			d.mu.Lock()
			d.replaced[worker] = true
			d.mu.Unlock()
		})
	case 16, 17:
		d.withLock(func() {
			if w := d.workers[worker]; w != nil {
				w.unreachable = true
				d.away[worker] = time.Now().Add(time.Duration(d.random.Intn(2500)) * time.Millisecond)
			}
		})
	case 18:
		d.withLock(func() { d.pollsLost = !d.pollsLost })
	}
}

func (d *disturbance) submitAny() {
	id := fmt.Sprintf("%d", len(d.jobs))
	step := workload.Step{Count: 1 + d.random.Intn(3), Resources: resources.Amount{MilliCPU: 100}}
	spec := "short"
	switch d.random.Intn(6) {
	case 0, 1, 2:
		step.LongRunning, spec = true, "lasts"
	case 3:
		step.Gang = true
	case 4:
		d.withLock(func() { d.fails[jobID(id)] = true })
	}
	d.jobs = append(d.jobs, id)
	response := d.try(MethodSubmit, &Call{Path: "/q/" + jobID(id), Job: &workload.Job{Spec: spec, Steps: []workload.Step{step}}})
	switch {
	case response == nil:
		d.undecided[id] = true
	case response.Outcome == Accepted && step.LongRunning:
		d.long[id] = step.Count
	}
}

func (d *disturbance) cancelAny() {
	if len(d.jobs) == 0 {
		return
	}
	id := d.jobs[d.random.Intn(len(d.jobs))]
	response := d.try(MethodCancel, &Call{Path: "/q/" + jobID(id)})
	switch {
	case response == nil:
		d.undecided[id] = true
	case response.Outcome == Accepted:
		d.cancelled[id] = true
	}
}

// try repeats a call for a while, as callers do. It returns nil if the outcome is unknown.
func (d *disturbance) try(method string, c *Call) *CallResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	c.Host, c.Remaining = "h", 3*time.Second
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if response, err := d.leader().Call(ctx, method, c); err == nil && response.Outcome != Undecided {
			return response
		}
	}
	return nil
}

func (d *disturbance) restartWorker(worker string) {
	d.mu.Lock()
	delete(d.replaced, worker)
	d.mu.Unlock()
	d.withLock(func() {
		d.incarnation++
		d.workers[worker] = newFakeWorker(worker, d.incarnation)
		i := d.instances["m-"+worker]
		i.State, i.Worker = executor.Up, worker
	})
	delete(d.away, worker)
}

// removeWorker ends a worker, which later returns under its ID.
func (d *disturbance) removeWorker(worker string, announce func()) {
	d.withLock(func() { delete(d.workers, worker) })
	announce()
	d.away[worker] = time.Now().Add(time.Duration(d.random.Intn(1200)) * time.Millisecond)
}

func (d *disturbance) returnWorkers(all bool) {
	for worker, at := range d.away {
		if !all && time.Now().Before(at) {
			continue
		}
		ended := false
		d.withLock(func() {
			w := d.workers[worker]
			if ended = w == nil; !ended {
				w.unreachable = false
			}
		})
		if ended {
			d.restartWorker(worker)
		}
		delete(d.away, worker)
	}
}

// calm ends all disturbances.
func (d *disturbance) calm() {
	d.returnWorkers(true)
	d.mu.Lock()
	d.late = 0
	d.mu.Unlock()
	d.withLock(func() {
		d.pollsLost = false
		d.deliver = func(string, string) (bool, bool) { return true, true }
	})
	for _, c := range d.checkers {
		c.mu.Lock()
		c.refusals = 0
		c.mu.Unlock()
	}
}

// wrong returns what is not as it has to be in the end: cancelled jobs of which tasks run,
// and long-running ones of which tasks don't run.
func (d *disturbance) wrong() (stillRun, missing []string) {
	d.withLock(func() {
		running := map[string]int{}
		for _, w := range d.workers {
			d.advance(w)
			for task := range w.running {
				running[task.Job]++
			}
		}
		for _, id := range d.jobs {
			n, isLong := d.long[id]
			switch {
			case d.cancelled[id] && running[jobID(id)] > 0:
				stillRun = append(stillRun, id)
			case isLong && !d.cancelled[id] && !d.undecided[id] && running[jobID(id)] != n:
				missing = append(missing, fmt.Sprintf("%s is to last with %d tasks, of which %d run", id, n, running[jobID(id)]))
			}
		}
	})
	return stillRun, missing
}

// run makes changes, ends the disturbances and requires that the tasks of cancelled jobs
// stop in the time in which they have to, and that long-running ones run.
func (d *disturbance) run(changes int) {
	for i := range changes {
		d.returnWorkers(false)
		d.change()
		if i%20 == 10 {
			d.changeLeader()
		}
		time.Sleep(time.Duration(d.random.Intn(40)) * time.Millisecond)
	}
	d.calm()
	var stillRuns, missing []string
	calmAt := time.Now()
	for stillRuns, missing = d.wrong(); len(stillRuns)+len(missing) > 0 && time.Since(calmAt) < 10*time.Second; stillRuns, missing = d.wrong() {
		if len(stillRuns) > 0 && time.Since(calmAt) > cancelBound {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, c := range d.checkers {
		c.mu.Lock()
		assert.Empty(d.t, c.violations)
		c.mu.Unlock()
	}
	require.Empty(d.t, stillRuns, "tasks of cancelled jobs run on")
	require.Empty(d.t, missing)
	d.t.Logf("jobs %d, cancelled %d, undecided %d, settled after %d ms", len(d.jobs), len(d.cancelled), len(d.undecided), time.Since(calmAt).Milliseconds())
}

// cancelBound is the time in which the tasks of a cancelled job have to end.
const cancelBound = 3 * time.Second

// TestSessionsAgreeWithState guards against runs in the state that no order controls, so
// that they are neither stopped nor given up, and against orders without a run: workers
// end, restart and return under their IDs, orders are late, commands are refused and
// leaders change while jobs are submitted and cancelled.
func TestSessionsAgreeWithState(t *testing.T) {
	seed := testutil.Seed(t)
	for name, disturb := range map[string]func(*testing.T, int64) *disturbance{"restarts": disturbSystem, "isolation": disturbGroup} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			disturb(t, seed).run(50)
		})
	}
}
