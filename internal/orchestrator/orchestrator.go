// Package orchestrator runs submitted jobs on the leading control replica. It
// accepts jobs, decides with package scheduling where tasks run, commits each
// decision before it acts on it, sends orders to workers through package executor,
// and renews the workers' leases.
//
// All state is owned by the replica's goroutine. Calls to workers run on their own
// goroutines and post their results to the owning one.
package orchestrator

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"cactusspar/internal/boottime"
	"cactusspar/internal/control"
	"cactusspar/internal/executor"
	"cactusspar/internal/peer"
	"cactusspar/internal/relay"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/workload"
)

// Settings are the durations that a deployment may configure.
type Settings struct {
	// Lease is how long a worker keeps its runs without contact to the leader. With
	// a shorter lease, tasks of a silent worker restart elsewhere sooner; with a
	// longer one, runs survive a longer leader change. Default: 5s.
	Lease time.Duration
	// MaxLease is the longest lease that a worker holds from the moment at which it takes a call; it
	// shortens a longer one. At least Lease. Default: 10s.
	MaxLease time.Duration
	// StatusRetention is how long the status of an ended job remains available.
	// Default: 2m.
	StatusRetention time.Duration
	// ReportInterval is the interval between a worker's reports. Default: 1.5s.
	ReportInterval time.Duration
	// StopGrace is how long a run may take to end after it was told to stop.
	// Default: 1s.
	StopGrace time.Duration
	// HolderLease is how long the platform associates an instance with the replica that
	// last ordered its move or maintenance. A replica that returns as the leader waits
	// that long after its former orders. Default: 3s.
	HolderLease time.Duration
	// RelayMinWorkers is the number of workers from which on the other replicas carry the
	// leader's orders and polls. Below it, the leader's processor time for them is small,
	// and a call through another replica only takes longer. Default: 150.
	RelayMinWorkers int
	// LateFactor is how many times its objective the result of a job is of use to its caller.
	// Up to 1, jobs that can't be on time are refused and late ones start by their value.
	// Default: 0.
	LateFactor float64
	// SharesByWork limits a team that has had more than its weighted max-min share of a pool's
	// work while the pool is contended. Default: false; only the number of jobs that a team
	// submits is limited then.
	SharesByWork bool
	// DataCentres lists the data centres that operators may evacuate. If it is empty, these
	// are the data centres of the known workers.
	DataCentres []string
}

// DefaultSettings returns the settings that a deployment overrides.
func DefaultSettings() Settings {
	return Settings{Lease: 5 * time.Second, MaxLease: 10 * time.Second, StatusRetention: 2 * time.Minute, ReportInterval: 1500 * time.Millisecond, StopGrace: time.Second, HolderLease: 3 * time.Second, RelayMinWorkers: 150}
}

// Options configure an Orchestrator.
type Options struct {
	Settings  Settings
	Replica   *control.Replica
	Workers   executor.Workers
	Instances executor.Instances // nil disables moves and maintenance
	Advisor   executor.Advisor   // if nil, queues that need advice start no tasks
	// ReplicaName identifies this replica in calls to the platform.
	ReplicaName string
	// OnLeadershipChange is called with true when this replica becomes the leader
	// and with false when it steps down. It may be nil and must not block.
	OnLeadershipChange func(bool)
	Log                logr.Logger
	Metrics            *telemetry.Metrics
}

const (
	// confirmInterval is the interval at which the leadership is confirmed.
	confirmInterval = 200 * time.Millisecond
	// confirmationValidity is how long after a confirmation the leader may send
	// orders and serve reads. It covers a few lost confirmations and is well below
	// the time within which a change has to take effect.
	confirmationValidity = time.Second
	// planInterval is the minimum time between two placement rounds. A shorter one
	// costs processor time and commits fewer starts with each disk sync.
	planInterval = 20 * time.Millisecond
	// idlePlanInterval is the maximum time between two placement rounds.
	idlePlanInterval = 200 * time.Millisecond
)

// Orchestrator implements control.Service.
type Orchestrator struct {
	Options
	wg     conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	// relayClient calls workers, directly or through other replicas. relayServer carries
	// out the calls of another replica that leads.
	relayClient *relay.Client
	relayServer *relay.Server
	// topologyReads holds the topology requests of gateways that share the next one to the leader.
	topologyReads   sharedReads
	accessTransfers AccessTransfers
	// platformAuthority belongs to the replica and outlives a leadership.
	platformAuthority orderAuthority

	// The remaining fields are used by the leader only.

	// holderProposed and holderRecorded are whether it is proposed and committed that this
	// replica may order moves and maintenance in this term.
	holderProposed, holderRecorded bool

	// settling is whether calls to workers wait for the carriers of a new leader.
	settling bool

	leadership         *control.Leadership
	leadingSince       boottime.Instant
	confirmedAt        boottime.Instant
	confirmRequestedAt boottime.Instant // when the last confirmation was requested
	// resumedAt is when this process went on after a pause in which it missed the responses and
	// reports of workers.
	resumedAt    boottime.Instant
	pending      workload.Command
	replies      []func(error) // to the requests in pending
	proposals    int           // number of proposals in progress
	proposedAt   boottime.Instant
	sessions     map[string]*session
	sessionOrder []*session // sorted by the workers' IDs; nil if it has to be sorted
	// rackSessions holds the sessions by the racks of their workers; nil if they have to be found.
	rackSessions map[string][]*session
	// nextGenerations holds the next generation of workers that were removed, in case
	// they return under the same ID.
	nextGenerations map[string]uint64
	// removedIncarnations holds the last incarnation of those workers.
	removedIncarnations map[string]int64
	// releasedOn holds the workers of runs whose release is proposed and not applied.
	releasedOn map[workload.RunID]string
	// releasingSums is what these runs take, or nil if it has to be added up.
	releasingSums *releasingSums
	// submitting holds the jobs whose submission is proposed and not settled.
	submitting map[string]*submission
	unfinished map[string]bool // jobs whose end has not been logged
	begunJobs  map[string]bool // those of which a task is known to have begun
	dirty      bool            // the next placement round is not delayed by idlePlanInterval
	dirtySince boottime.Instant
	delays     leaderDelays
	callWaits  callWaits
	// startRate is the rate of starts per second as of startRateAt, when the leader was last
	// behind.
	startRate       float64
	startRateAt     boottime.Instant
	startsInFlight  bool           // starts are proposed and not yet applied
	pendingStarts   map[string]int // number of proposed starts not yet applied, by worker
	lastPlan        boottime.Instant
	lastPurge       boottime.Instant
	runTimesByQueue map[string]*scheduling.RunTimes
	// jobPlans holds the plans of jobs by their IDs, from jobPlansSince on.
	jobPlans      map[string]*jobPlan
	jobPlansSince boottime.Instant
	// failedGangRuns holds the runs of gangs whose failure is proposed.
	failedGangRuns map[gangRun]bool
	// trialWaits is since when a job has waited for a worker without other jobs, as of the
	// last placement round; nextTrialWaits is collected by the present one.
	trialWaits, nextTrialWaits map[string]boottime.Instant
	// cleared holds the workers that the last placement round set aside, with their jobs.
	cleared map[string]string
	// unplaced holds the demands of which tasks found no worker in the last placement round,
	// unadvised those without a worker that the policy service allows.
	unplaced, unadvised []*scheduling.Demand
	// demandingSteps holds the steps of open jobs that ask the most of the workers of each pool, as of
	// demandingStepsAt.
	demandingSteps   map[string][]*scheduling.Demand
	demandingStepsAt boottime.Instant
	// presumptions holds what this leader knows of the presumed crashes of workers,
	// verdictsProposed those about which it has decided.
	presumptions     map[workload.WorkerIncarnation]*presumption
	verdictsProposed map[workload.WorkerIncarnation]bool
	// riskyUntil is until when tasks of a queue are kept away from long-running ones.
	riskyUntil map[string]boottime.Instant
	recentJobs map[string][]boottime.Instant // submission times within the last second, by team
	backlog    map[string]float64            // core-seconds accepted since the last placement round, by pool
	// lateBacklog is the same for jobs that were accepted although they will be late.
	lateBacklog map[string]float64
	// competitions holds what is known of the callers that compete for each pool.
	competitions map[string]*competition
	poolStats    poolStats
	load         leaderLoad
	// waitingTasks is the number of tasks that waited for a worker before the last placement
	// round.
	waitingTasks int
	// lateHeld is whether the last placement round held back tasks of late jobs for want of starts.
	lateHeld bool
	// startWindow is the number of starts in progress up to which tasks of late jobs start.
	startWindow float64
	scratch     planScratch
	// lateCredit is the number of starts that tasks of late jobs have coming in any case, as of
	// lateCreditAt.
	lateCredit   float64
	lateCreditAt boottime.Instant
	// ahead is the number of starts that wait for the leader: tasks accepted since the last
	// placement round, those that it placed, and orders that had no response then. Tasks that
	// the round did not place wait for cores.
	ahead int
	// confirmationReads are the reads that the next periodic confirmation serves.
	confirmationReads []func(error)

	changed chan struct{} // closed when the topology or the leadership changes
	fleet   fleetState
	advice  adviceCache
}

// New returns an Orchestrator, which the caller sets as the replica's service.
func New(o Options) *Orchestrator {
	r := &Orchestrator{Options: o, changed: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.platformAuthority.lastOrder = boottime.Now()
	self := o.Replica.SelfAddress().Peer
	r.relayClient = relay.NewClient(relay.ClientOptions{Direct: o.Workers, Send: o.Replica.SendPeer, Self: self, OnReports: r.handlePassedReports, Post: r.postResponses, Log: o.Log, Metrics: o.Metrics})
	r.relayServer = relay.NewServer(relay.ServerOptions{Workers: o.Workers, Send: o.Replica.SendPeer, Self: self, Log: o.Log, Metrics: o.Metrics, Processor: func() time.Duration {
		used, _ := processorTime() // the leader's load counts failures
		return used
	}})
	return r
}

// Close cancels all calls in progress and waits for them to return.
func (o *Orchestrator) Close() {
	o.platformAuthority.end()
	o.cancel()
	o.relayClient.Close()
	o.relayServer.Close()
	o.wg.Wait()
}

// BeginLeadership takes over as the leader. Every run in the state may be executing:
// polls of the workers show which ones are, and orders are repeated for the others.
func (o *Orchestrator) BeginLeadership(l *control.Leadership) {
	now := boottime.Now()
	o.leadership, o.leadingSince, o.confirmedAt, o.confirmRequestedAt, o.resumedAt = l, now, 0, 0, 0
	o.pending, o.replies, o.proposals = workload.Command{}, nil, 0
	o.startRate, o.startRateAt = o.relayServer.StartRate()
	o.nextGenerations, o.removedIncarnations, o.releasedOn, o.releasingSums = map[string]uint64{}, map[string]int64{}, map[workload.RunID]string{}, nil
	o.rackSessions = nil
	o.sessionOrder, o.jobPlans, o.jobPlansSince = nil, map[string]*jobPlan{}, now
	o.sessions, o.submitting, o.unfinished, o.begunJobs = map[string]*session{}, map[string]*submission{}, map[string]bool{}, map[string]bool{}
	o.startsInFlight, o.dirty, o.dirtySince, o.pendingStarts, o.delays, o.callWaits = false, true, now, map[string]int{}, leaderDelays{}, callWaits{}
	o.runTimesByQueue, o.backlog, o.lateBacklog, o.recentJobs = map[string]*scheduling.RunTimes{}, map[string]float64{}, map[string]float64{}, map[string][]boottime.Instant{}
	o.cleared, o.competitions, o.lateHeld = nil, map[string]*competition{}, false
	o.failedGangRuns = map[gangRun]bool{}
	// What has waited for a leader is late for the most part: its starts are added slowly.
	o.lateCredit, o.lateCreditAt, o.startWindow = 0, now, minStartWindow
	o.trialWaits, o.riskyUntil = map[string]boottime.Instant{}, map[string]boottime.Instant{}
	o.presumptions, o.verdictsProposed = map[workload.WorkerIncarnation]*presumption{}, map[workload.WorkerIncarnation]bool{}
	o.unplaced, o.unadvised, o.demandingSteps, o.demandingStepsAt = nil, nil, nil, 0
	o.poolStats, o.fleet, o.advice, o.load = poolStats{}, newFleetState(), adviceCache{}, leaderLoad{}
	o.beginAuthority(now)
	o.relayClient.Begin(l.Term())
	o.settling = len(l.State().Workers) >= o.Settings.RelayMinWorkers
	if o.OnLeadershipChange != nil {
		o.OnLeadershipChange(true)
	}
	o.restoreDemand(now)
	s := l.State()
	for id := range s.Workers {
		o.session(id)
	}
	for id, j := range s.Open() {
		if j.Suspected() {
			o.markRisky(j.Queue, now)
		}
		if !j.Status.Ended() {
			o.unfinished[id] = true
			if mayHaveBegun(j) {
				o.begunJobs[id] = true
			}
		}
		o.adoptRuns(j)
	}
	o.recordAccess()
	if s.Topology != nil {
		// Callers that have waited for a leader ask before its first round, which waits for the
		// confirmation of the leadership.
		o.planInput(now, time.Now())
	}
	o.Log.Info("Took over the jobs.", "term", l.Term(), "jobs", len(s.Open()), "workers", len(s.Workers))
}

// StepDown discards the leader's state.
func (o *Orchestrator) StepDown() {
	o.Log.Info("Stepped down as the leader of the jobs.", "term", o.leadership.Term())
	o.platformAuthority.end()
	o.relayClient.End()
	for _, reply := range o.replies {
		reply(errOutcomeUnknown)
	}
	for _, serve := range o.confirmationReads {
		serve(o.Replica.NotLeader())
	}
	o.confirmationReads = nil
	o.leadership, o.sessions, o.sessionOrder, o.replies = nil, nil, nil, nil
	if o.OnLeadershipChange != nil {
		o.OnLeadershipChange(false)
	}
	o.notifyWatchers()
}

// Tick performs the periodic work that is due.
func (o *Orchestrator) Tick() {
	now := boottime.Now()
	if last := o.load.lastTick; last != 0 && now.Sub(last) > confirmationValidity {
		o.resumedAt = now
		o.Log.Info("The leader was suspended.", "for_ms", now.Sub(last).Milliseconds())
	}
	o.tickLoad(now)
	if now.Sub(o.confirmRequestedAt) >= confirmInterval {
		o.confirmRequestedAt = now
		leadership, reads := o.leadership, o.confirmationReads
		o.confirmationReads = nil
		leadership.Confirm(func(err error) {
			if err == nil && o.leadership == leadership {
				o.confirmedAt = max(o.confirmedAt, now)
				o.confirmAuthority(now)
			}
			for _, serve := range reads {
				serve(err)
			}
		})
	}
	o.timed(tickCarriersPart, func() { o.tickCarriers(now) })
	o.timed(tickOccurrencesPart, o.openOccurrences)
	o.timed(tickSessionsPart, func() { o.tickSessions(now) })
	o.tickFleet(now)
	o.timed(tickPurgePart, func() { o.purgeJobs(now) })
	if !o.startsInFlight && now.Sub(o.lastPlan) >= planInterval && (o.dirty || now.Sub(o.lastPlan) >= idlePlanInterval) {
		o.timed(tickPlanPart, func() { o.plan(now) })
	}
}

func (o *Orchestrator) tickSessions(now boottime.Instant) {
	for _, s := range o.sortedSessions() {
		if s.due(now) {
			o.tickSession(s, now)
		}
	}
}

// tickCarriers lets the other replicas carry orders if the fleet is large enough.
func (o *Orchestrator) tickCarriers(now boottime.Instant) {
	var replicas []string
	if len(o.leadership.State().Workers) >= o.Settings.RelayMinWorkers {
		replicas = o.Replica.PeerAddresses()
	}
	o.relayClient.SetStartRate(o.knownStartRate(now))
	o.relayClient.Tick(now, replicas)
	o.settling = o.relayClient.Settling(now)
}

// HandleMessage receives the messages between a leader and the replicas that carry its
// orders.
func (o *Orchestrator) HandleMessage(_ peer.Identity, method string, body []byte) {
	var err error
	switch method {
	case relay.MethodOrders:
		orders := new(relay.Orders)
		if err = peer.Decode(body, orders); err == nil {
			o.relayServer.HandleOrders(orders)
		}
	case relay.MethodResults:
		results := new(relay.Results)
		if err = peer.Decode(body, results); err == nil {
			o.relayClient.HandleResults(results)
		}
	default:
		o.count("requests_refused_total", "unknown-method")
	}
	if err != nil {
		o.count("requests_refused_total", "malformed-message")
		o.Log.Info("Refused a message.", "method", method, "reason", err.Error())
	}
}

// postResponses runs f on the event loop unless the leadership with the given term has ended.
func (o *Orchestrator) postResponses(term uint64, f func()) {
	run := func() {
		if o.leadership != nil && o.leadership.Term() == term {
			f()
		}
	}
	if o.Replica.TryPost(run) {
		return
	}
	o.wg.Go(func() {
		_ = o.Replica.Await(o.ctx, func(done func(error)) { // fails only if the replica stops
			run()
			done(nil)
		})
	})
}

// proposalInterval is the minimum time between two proposals while one is in progress. Each
// costs a sync, and a message to and from each replica; changes in between share the next one.
const proposalInterval = 10 * time.Millisecond

// Flush proposes all pending changes as one command.
func (o *Orchestrator) Flush() {
	if o.pending.Empty() {
		return
	}
	proposedAt := boottime.Now()
	if o.proposals > 0 && proposedAt.Sub(o.proposedAt) < proposalInterval {
		return
	}
	o.proposals, o.proposedAt = o.proposals+1, proposedAt
	c, replies := o.pending, o.replies
	o.pending, o.replies = workload.Command{}, nil
	starts := len(c.Starts) > 0
	leadership := o.leadership
	leadership.Propose(&c, func(err error) {
		if o.leadership == leadership {
			o.releasingSums = nil // the command is applied
			o.proposals--
			o.observeCommit(proposedAt)
			o.startsResolved(&c, starts)
		}
		if err != nil && o.leadership == leadership {
			o.holderProposed = o.holderProposed && c.Holder == nil
			o.cordonsRefused(c.Cordons)
			o.repropose(&c, err)
		}
		for _, reply := range replies {
			reply(err)
		}
	})
}

// startsResolved updates the counts of proposed starts after a command was applied
// or refused.
func (o *Orchestrator) startsResolved(c *workload.Command, starts bool) {
	if starts {
		o.startsInFlight = false
	}
	for i := range c.Starts {
		worker := c.Starts[i].Worker
		if o.pendingStarts[worker]--; o.pendingStarts[worker] <= 0 {
			delete(o.pendingStarts, worker)
		}
	}
}

// nothingRunsOn reports whether a worker has no runs and no proposed starts.
func (o *Orchestrator) nothingRunsOn(s *session) bool {
	return len(s.orders) == 0 && o.pendingStarts[s.id] == 0 && len(o.leadership.State().RunsOn(s.id)) == 0
}

// repropose queues the changes of a refused command that must eventually be
// committed. They are idempotent: applying one twice has no further effect.
func (o *Orchestrator) repropose(c *workload.Command, err error) {
	o.Log.Info("A command was not committed; its events are proposed again.", "reason", err.Error())
	o.count("commands_repeated_total", "refused")
	p := &o.pending
	p.Verdicts = append(p.Verdicts, c.Verdicts...)
	p.Crashes = append(p.Crashes, c.Crashes...)
	p.RemovedWorkers = append(p.RemovedWorkers, c.RemovedWorkers...)
	p.Ends = append(p.Ends, c.Ends...)
	p.Released = append(p.Released, c.Released...)
	p.Maintenance = append(p.Maintenance, c.Maintenance...)
	p.Fences = append(p.Fences, c.Fences...)
}

// leadershipConfirmed reports whether a quorum has confirmed the leadership so
// recently that no other leader can have given up a run ordered by this one.
func (o *Orchestrator) leadershipConfirmed(now boottime.Instant) bool {
	return o.leadership != nil && o.confirmedAt != 0 && now.Sub(o.confirmedAt) < confirmationValidity
}

// Applied acts on a committed command.
func (o *Orchestrator) Applied(c *workload.Command) {
	o.markDirty()
	if len(c.Workers)+len(c.RemovedWorkers) > 0 {
		o.rackSessions = nil
	}
	o.releasingSums = nil
	if c.Topology != nil {
		o.recordAccess()
		o.notifyWatchers()
		o.stopEndedJobs()
	}
	if c.Holder != nil && c.Holder.Term == o.leadership.Term() {
		o.holderRecorded = true
	}
	for i := range c.Verdicts {
		o.verdictApplied(&c.Verdicts[i])
	}
	for i := range c.Crashes {
		o.crashApplied(&c.Crashes[i])
	}
	for i := range c.Workers {
		o.workerApplied(&c.Workers[i])
		o.cordonRestarted(c.Workers[i].ID)
	}
	for _, removed := range c.RemovedWorkers {
		o.workerRemoved(removed)
	}
	for i := range c.Submit {
		o.unfinished[c.Submit[i].ID] = true
		o.logJobEnd(c.Submit[i].ID) // it may have been cancelled before
	}
	for _, id := range c.Cancel {
		o.cancelApplied(id)
	}
	for i := range c.EarlyCancels {
		o.cancelApplied(c.EarlyCancels[i].Job)
	}
	for i := range c.Ends {
		e := &c.Ends[i]
		if id := (workload.RunID{Task: e.Task, Number: e.Run}); o.leadership.State().FindRun(id) == nil {
			o.dropOrder(e.Worker, id)
		}
		if e.Outcome == workload.RunFailed {
			delete(o.failedGangRuns, gangRunOf(e)) // the state shows it
		}
		o.logJobEnd(e.Task.Job)
		o.endApplied(e)
	}
	for i := range c.Released {
		r := &c.Released[i]
		o.dropReleased(workload.RunID{Task: r.Task, Number: r.Run})
		o.stopGang(r.Task)
	}
	if len(c.Starts) > 0 {
		now := boottime.Now()
		for i := range c.Starts {
			o.startApplied(&c.Starts[i], now)
		}
	}
	for i := range c.Cordons {
		o.cordonApplied(&c.Cordons[i])
	}
	if c.Topology != nil || len(c.Evacuations) > 0 {
		for _, s := range o.sessions {
			o.withdrawBlockedStarts(s)
		}
	}
	o.maintenanceApplied(c.Maintenance)
}

// endApplied stops the runs that are obsolete after the end of another one: the others of its
// job if that has ended, of its gang, or of its task.
func (o *Orchestrator) endApplied(e *workload.RunEnd) {
	t, j := o.leadership.State().Task(e.Task)
	switch {
	case t == nil:
	case j.Status.Ended(), j.Steps[e.Task.Step].Gang:
		o.stopObsoleteRuns(j.ID)
	case t.Done && len(t.Runs) > 0:
		o.stopRuns(e.Task, t, "job-"+string(j.Status))
	}
}

// stopEndedJobs stops the runs of the jobs that a new topology has ended.
func (o *Orchestrator) stopEndedJobs() {
	for id := range o.unfinished {
		if j := o.leadership.State().Jobs[id]; j != nil && j.Status.Ended() {
			o.logJobEnd(id)
			o.stopObsoleteRuns(id)
		}
	}
}

func (o *Orchestrator) cancelApplied(id string) {
	o.logJobEnd(id)
	o.stopObsoleteRuns(id)
}

// logJobEnd logs the end of a job once.
func (o *Orchestrator) logJobEnd(id string) {
	j := o.leadership.State().Jobs[id]
	if !o.unfinished[id] || j != nil && !j.Status.Ended() {
		return
	}
	delete(o.unfinished, id)
	delete(o.begunJobs, id)
	if j == nil {
		return // its submission had no effect
	}
	log := o.Log
	if j.Status != workload.Failed {
		log = log.V(1)
	}
	if j.CrashedTask != nil {
		o.count("jobs_given_up_total", "crashed-workers")
		log = log.WithValues("reason", "crashed-workers", "task", j.CrashedTask.String(), "crashed_workers", j.CrashedWorkers)
	}
	log.Info("A job ended.", "job", id, "queue", j.Queue, "team", j.Team, "status", j.Status, "age_ms", j.EndedAt.Sub(j.Accepted).Milliseconds())
}

// openOccurrences proposes to open the occurrences that are due, so that their tasks
// can be placed.
func (o *Orchestrator) openOccurrences() {
	now := time.Now()
	for id, j := range o.leadership.State().Open() {
		if j.OccurrenceCount == 0 || j.Status.Ended() || len(j.Occurrences) >= j.OccurrenceCount {
			continue
		}
		next := len(j.Occurrences)
		if now.Before(j.DueAt(next)) || o.openProposed(id, next) {
			continue
		}
		o.pending.Openings = append(o.pending.Openings, workload.OccurrenceOpening{Job: id, Occurrence: next})
	}
}

func (o *Orchestrator) openProposed(job string, occurrence int) bool {
	for _, p := range o.pending.Openings {
		if p.Job == job && p.Occurrence == occurrence {
			return true
		}
	}
	return false
}

// purgeInterval is the interval at which old jobs are removed.
const purgeInterval = 5 * time.Second

func (o *Orchestrator) purgeJobs(now boottime.Instant) {
	if now.Sub(o.lastPurge) < purgeInterval {
		return
	}
	o.lastPurge = now
	before := time.Now().Add(-2 * o.Settings.StatusRetention)
	for id, j := range o.leadership.State().Jobs {
		if j.Status.Ended() && !j.HasActiveRuns() && j.EndedAt.Before(before) {
			o.pending.RemovedJobs = append(o.pending.RemovedJobs, id)
		}
	}
}

// count increments the named counter with a reason label.
func (o *Orchestrator) count(name, reason string) {
	o.Metrics.Counter(name, "reason", reason).Inc(1)
}
