// Package orchestrator is the duty of the leading control replica towards
// submitted work: it takes jobs, decides with package scheduling, commits each
// decision before it acts on it, gives orders to workers through package
// executor, and keeps their leases.
//
// All state is owned by the replica's goroutine. Calls to workers run on
// goroutines of their own and post their results.
package orchestrator

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"cactusspar/internal/boottime"
	"cactusspar/internal/control"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/workload"
)

// Settings are the times that depend on the deployment.
type Settings struct {
	// Lease is how long a worker goes on without a word of the leader. A shorter
	// one lets tasks of a silent worker start elsewhere sooner; a longer one lets
	// work outlive a longer change of leader. Default: 4s.
	Lease time.Duration
	// StatusRetention is how long the status of an ended job is kept. Default: 2m.
	StatusRetention time.Duration
	// ReportInterval is how often workers report. Default: 1.5s.
	ReportInterval time.Duration
	// StopGrace is how long a run that was told to stop may stay. Default: 1s.
	StopGrace time.Duration
}

// DefaultSettings returns the settings that a deployment starts from.
func DefaultSettings() Settings {
	return Settings{Lease: 5 * time.Second, StatusRetention: 2 * time.Minute, ReportInterval: 1500 * time.Millisecond, StopGrace: time.Second}
}

// Options configure an Orchestrator.
type Options struct {
	Settings  Settings
	Replica   *control.Replica
	Workers   executor.Workers
	Instances executor.Instances // nil: no moves and no maintenance
	Advisor   executor.Advisor   // nil: queues that need advice run nothing
	// Holder names this replica towards the platform.
	Holder string
	// Leading is told when this replica begins and ends to lead; nil if nobody
	// needs to know. It must not block.
	Leading func(bool)
	Log     logr.Logger
	Metrics *telemetry.Metrics
}

const (
	// confirmInterval is the time between two confirmations of the leadership.
	confirmInterval = 200 * time.Millisecond
	// authority is how long a confirmation entitles to give orders and to answer
	// reads. It outlasts a few lost confirmations and is well below the bounds
	// within which a change has to be in force.
	authority = time.Second
	// planInterval is the shortest time between two placements; a shorter one
	// costs processor time and places fewer tasks with each sync.
	planInterval = 20 * time.Millisecond
	// idlePlanInterval is the longest time between two placements.
	idlePlanInterval = 200 * time.Millisecond
)

// Orchestrator implements control.Service.
type Orchestrator struct {
	Options
	wg     conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	// The rest is the leader's and empty otherwise.

	lead      *control.Leadership
	since     boottime.Instant
	confirmed boottime.Instant
	confirm   boottime.Instant // when the last confirmation was asked for
	pending   workload.Command
	replies   []func(error) // of what pending holds
	sessions  map[string]*session
	// submissions under way, by job.
	submitting map[string]bool
	unfinished map[string]bool // jobs whose end is not logged
	dirty      bool
	placing    bool           // starts are proposed and not applied
	targeted   map[string]int // starts that are proposed and not applied, by worker
	lastPlan   boottime.Instant
	lastForget boottime.Instant
	times      map[string]*scheduling.RunTimes // by queue
	sent       map[string][]boottime.Instant   // jobs of the last second, by team
	backlog    map[string]float64              // core-seconds accepted since the last plan, by pool
	outlook    outlook
	changed    chan struct{} // closed when the topology or the leadership changes
	fleet      fleetState
	advice     adviceCache
}

// New returns an orchestrator, to be set as the replica's service.
func New(o Options) *Orchestrator {
	r := &Orchestrator{Options: o, changed: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Close ends all calls in progress.
func (o *Orchestrator) Close() {
	o.cancel()
	o.wg.Wait()
}

// Lead takes over: every run in the state may be at work, and each is found out
// about by repeating its order.
func (o *Orchestrator) Lead(l *control.Leadership) {
	now := boottime.Now()
	o.lead, o.since, o.confirmed, o.confirm = l, now, 0, 0
	o.pending, o.replies = workload.Command{}, nil
	o.sessions, o.submitting, o.unfinished = map[string]*session{}, map[string]bool{}, map[string]bool{}
	o.placing, o.dirty, o.targeted = false, true, map[string]int{}
	o.times, o.backlog, o.sent = map[string]*scheduling.RunTimes{}, map[string]float64{}, map[string][]boottime.Instant{}
	o.outlook, o.fleet, o.advice = outlook{}, newFleetState(), adviceCache{}
	if o.Leading != nil {
		o.Leading(true)
	}
	o.recallDemand(now)
	s := l.State()
	for id := range s.Workers {
		o.session(id)
	}
	for id, j := range s.Open() {
		if !j.Status.Ended() {
			o.unfinished[id] = true
		}
		o.adoptRuns(j)
	}
	o.Log.Info("Took over the jobs.", "term", l.Term(), "jobs", len(s.Open()), "workers", len(s.Workers))
}

// StepDown forgets everything that belongs to the leadership.
func (o *Orchestrator) StepDown() {
	o.Log.Info("Gave up the jobs.", "term", o.lead.Term())
	for _, reply := range o.replies {
		reply(errOutcomeUnknown)
	}
	o.lead, o.sessions, o.replies = nil, nil, nil
	if o.Leading != nil {
		o.Leading(false)
	}
	o.notifyWatchers()
}

// Tick does what is due.
func (o *Orchestrator) Tick() {
	now := boottime.Now()
	if now.Sub(o.confirm) >= confirmInterval {
		o.confirm = now
		o.lead.Confirm(func(err error) {
			if err == nil && o.lead != nil {
				o.confirmed = max(o.confirmed, now)
			}
		})
	}
	o.openOccurrences()
	for _, s := range o.sessions {
		o.tickSession(s, now)
	}
	o.tickFleet(now)
	o.forgetJobs(now)
	if !o.placing && now.Sub(o.lastPlan) >= planInterval && (o.dirty || now.Sub(o.lastPlan) >= idlePlanInterval) {
		o.plan(now)
	}
}

// Flush proposes what has gathered, as one command.
func (o *Orchestrator) Flush() {
	if o.pending.Empty() {
		return
	}
	c, replies := o.pending, o.replies
	o.pending, o.replies = workload.Command{}, nil
	starts := len(c.Starts) > 0
	lead := o.lead
	lead.Propose(&c, func(err error) {
		if o.lead == lead {
			o.startsSettled(&c, starts)
		}
		if err != nil && o.lead == lead {
			o.proposeAgain(&c, err)
		}
		for _, reply := range replies {
			reply(err)
		}
	})
}

// startsSettled notes that proposed starts are applied or lost.
func (o *Orchestrator) startsSettled(c *workload.Command, starts bool) {
	if starts {
		o.placing = false
	}
	for i := range c.Starts {
		worker := c.Starts[i].Worker
		if o.targeted[worker]--; o.targeted[worker] <= 0 {
			delete(o.targeted, worker)
		}
	}
}

// nothingRunsOn tells that a worker has no run and that no start is on its way.
func (o *Orchestrator) nothingRunsOn(s *session) bool {
	return len(s.orders) == 0 && o.targeted[s.id] == 0 && len(o.lead.State().RunsOn(s.id)) == 0
}

// proposeAgain keeps what has to be committed sooner or later when a proposal was
// refused. Applying it twice changes nothing.
func (o *Orchestrator) proposeAgain(c *workload.Command, err error) {
	o.Log.Info("A command was not committed.", "reason", err.Error())
	o.count("commands_repeated_total", "refused")
	p := &o.pending
	p.Gone = append(p.Gone, c.Gone...)
	p.Ends = append(p.Ends, c.Ends...)
	p.Released = append(p.Released, c.Released...)
	p.Maintenance = append(p.Maintenance, c.Maintenance...)
}

// mayOrder tells whether a quorum has confirmed the leadership so recently that
// no other leader can have given up what this one ordered.
func (o *Orchestrator) mayOrder(now boottime.Instant) bool {
	return o.lead != nil && o.confirmed != 0 && now.Sub(o.confirmed) < authority
}

// Applied acts on what was committed.
func (o *Orchestrator) Applied(c *workload.Command) {
	o.dirty = true
	if c.Topology != nil {
		o.notifyWatchers()
	}
	for i := range c.Workers {
		o.workerApplied(&c.Workers[i])
	}
	for _, l := range c.Gone {
		o.workerGone(l)
	}
	for i := range c.Submit {
		o.unfinished[c.Submit[i].ID] = true
	}
	for _, id := range c.Cancel {
		o.logEnd(id)
		o.settleJob(id)
	}
	for i := range c.Ends {
		e := &c.Ends[i]
		o.dropOrder(e.Worker, workload.RunID{Task: e.Task, Number: e.Run})
		o.logEnd(e.Task.Job)
		o.settleJob(e.Task.Job)
	}
	for i := range c.Released {
		r := &c.Released[i]
		o.dropOrderAnywhere(workload.RunID{Task: r.Task, Number: r.Run})
		o.stopGang(r.Task)
	}
	for i := range c.Starts {
		o.startApplied(&c.Starts[i])
	}
	o.maintenanceApplied(c.Maintenance)
}

// logEnd writes a line once a job has ended.
func (o *Orchestrator) logEnd(id string) {
	j := o.lead.State().Jobs[id]
	if !o.unfinished[id] || j != nil && !j.Status.Ended() {
		return
	}
	delete(o.unfinished, id)
	if j == nil {
		return // its submission was left out
	}
	log := o.Log
	if j.Status != workload.Failed {
		log = log.V(1)
	}
	log.Info("A job ended.", "job", id, "queue", j.Queue, "team", j.Team, "status", j.Status, "age_ms", j.EndedAt.Sub(j.Accepted).Milliseconds())
}

// openOccurrences makes occurrences wait for workers once they are due.
func (o *Orchestrator) openOccurrences() {
	now := time.Now()
	for id, j := range o.lead.State().Open() {
		if j.Times == 0 || j.Status.Ended() || len(j.Occurrences) >= j.Times {
			continue
		}
		next := len(j.Occurrences)
		if now.Before(j.DueAt(next)) || o.opening(id, next) {
			continue
		}
		o.pending.Open = append(o.pending.Open, workload.Opening{Job: id, Occurrence: next})
	}
}

func (o *Orchestrator) opening(job string, occurrence int) bool {
	for _, p := range o.pending.Open {
		if p.Job == job && p.Occurrence == occurrence {
			return true
		}
	}
	return false
}

// forgetInterval is the time between two removals of old jobs.
const forgetInterval = 5 * time.Second

func (o *Orchestrator) forgetJobs(now boottime.Instant) {
	if now.Sub(o.lastForget) < forgetInterval {
		return
	}
	o.lastForget = now
	before := time.Now().Add(-2 * o.Settings.StatusRetention)
	for id, j := range o.lead.State().Jobs {
		if j.Status.Ended() && !j.Live() && j.EndedAt.Before(before) {
			o.pending.Forget = append(o.pending.Forget, id)
		}
	}
}

// count increments a counter of the orchestrator.
func (o *Orchestrator) count(name, reason string) {
	o.Metrics.Counter(name, "reason", reason).Inc(1)
}
