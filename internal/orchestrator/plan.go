package orchestrator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/resources"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// poolStats holds the figures of each pool from the last placement round. Decisions
// about submissions, moves and maintenance use them until the next round.
type poolStats struct {
	// work is the processor time that the jobs of a pool still need, in core-seconds.
	// cores is the capacity of its usable workers.
	work, cores map[string]float64
	// unpolled is the capacity of the workers that a new leader has not polled yet.
	unpolled map[string]float64
	// capacity is the capacity of the usable workers in all resources.
	capacity map[string]resources.Amount
	// used is the capacity taken by the runs on the pool's workers, in cores.
	used map[string]float64
	// onTime is the part of work that can still meet its deadline.
	onTime map[string]float64
	// runnable is the capacity, in cores, that the running tasks of jobs that can still be on time and
	// those that wait only for a worker would use if all of them ran at once that the caps of their
	// teams allow.
	runnable map[string]float64
	// cappedRunnable is the part of runnable that belongs to each team with a cap, as if it had none.
	cappedRunnable map[string]*teamRunnable
	// late is the part of work that can't meet its deadline but will be of use, offered what
	// the arriving jobs take, in cores.
	late map[string]float64
	// lateRunning is the capacity, in cores, that the running tasks of late jobs use.
	lateRunning map[string]float64
	// longRunning is the capacity that the long-running tasks of a pool use, in cores.
	longRunning map[string]float64
	// needsInstance is true for pools that need a further instance for a long-running task.
	needsInstance map[string]bool
}

// plan runs a placement round for the waiting tasks and proposes their starts.
func (o *Orchestrator) plan(now boottime.Instant) {
	began := time.Now()
	o.lastPlan = now
	if o.dirty {
		o.delays.round.Add(now, now.Sub(o.dirtySince))
	}
	o.dirty = false
	if !o.leadershipConfirmed(now) || o.leadership.State().Topology == nil {
		return
	}
	in := o.planInput(now, began)
	result := scheduling.Place(in)
	o.poolStats.needsInstance = result.PoolsShort
	o.cleared, o.lateHeld, o.unplaced = result.Cleared, result.LateHeld, result.Unplaced
	o.load.placedLate += result.LateStarted
	o.propose(result.Placements)
	o.backlog, o.lateBacklog = map[string]float64{}, map[string]float64{}
	took := time.Since(began)
	o.load.rounds++
	o.load.round = max(o.load.round, took)
	o.Metrics.Histogram("placement_round").Record(took)
}

func (o *Orchestrator) planInput(now boottime.Instant, clock time.Time) *scheduling.Input {
	s := o.leadership.State()
	in := &scheduling.Input{Now: clock, Teams: map[string]*scheduling.Team{}}
	for i := range s.Topology.Teams {
		t := &s.Topology.Teams[i]
		in.Teams[t.Name] = &scheduling.Team{Used: s.UsedByTeam(t.Name), Cap: t.Cap, Weight: t.Weight}
	}
	for name, t := range s.RetiredTeams {
		in.Teams[name] = &scheduling.Team{Used: s.UsedByTeam(name), Cap: t.Cap, Weight: t.Weight}
	}
	o.poolStats = poolStats{
		work: map[string]float64{}, cores: map[string]float64{}, unpolled: map[string]float64{}, capacity: map[string]resources.Amount{}, onTime: map[string]float64{},
		runnable: map[string]float64{}, late: map[string]float64{}, lateRunning: map[string]float64{}, longRunning: map[string]float64{}, used: map[string]float64{},
		cappedRunnable: map[string]*teamRunnable{},
	}
	for name, t := range in.Teams {
		if t.Cap != (resources.Amount{}) {
			o.poolStats.cappedRunnable[name] = &teamRunnable{limit: t.Cap, cores: map[string]float64{}}
		}
	}
	o.planWorkers(in, now)
	in.CrashingPools = o.crashingPools()
	if now.Sub(o.jobPlansSince) >= jobPlanValidity {
		o.jobPlans, o.jobPlansSince = map[string]*jobPlan{}, now
	}
	o.nextTrialWaits, o.waitingTasks = map[string]boottime.Instant{}, 0
	o.scratch.used, o.scratch.waiting = 0, o.scratch.waiting[:0]
	o.unplaced, o.unadvised = nil, o.unadvised[:0] // their demands are used again
	delay := o.stepDelay(now)
	for _, j := range s.Open() {
		o.planJob(in, j, clock, delay)
	}
	o.limitRunnable()
	o.trialWaits = o.nextTrialWaits
	in.LateRoom, in.LateStarts = o.lateRoom(now), o.lateStarts(now)
	return in
}

const (
	// maxStartWindow is the number of starts in progress from which on those of late jobs are
	// not limited: a fleet that the design allows for never has as many. minStartWindow keeps
	// the leader busy between two rounds.
	maxStartWindow, minStartWindow = 4096, 64
	// startWindowGrowth and startWindowDecrease change the window in each round. The delay that
	// they follow is the mean of the last 300 ms, some ten rounds.
	startWindowGrowth, startWindowDecrease = 1.1, 0.85
	// minLateStartShare is the part of the leader's starts that tasks of late jobs get in any
	// case, so that late jobs end while others keep arriving.
	minLateStartShare = 0.05
)

// lateStarts returns how many tasks of late jobs may start in a round; 0 means any number. The
// window of starts in progress follows the delay of a step, by which submissions are judged: the
// leader is kept busy, and late jobs add to its queues only what does not make others late.
func (o *Orchestrator) lateStarts(now boottime.Instant) int {
	if o.stepDelay(now) >= behindAfter {
		o.startWindow = max(min(o.startWindow, max(float64(o.ahead), minStartWindow))*startWindowDecrease, minStartWindow)
	} else {
		o.startWindow = min(o.startWindow*startWindowGrowth, maxStartWindow)
	}
	if o.startWindow >= maxStartWindow {
		return 0
	}
	elapsed := min(now.Sub(o.lateCreditAt), idlePlanInterval)
	o.lateCredit, o.lateCreditAt = o.lateCredit+minLateStartShare*o.knownStartRate(now)*elapsed.Seconds(), now
	starts := max(int(o.startWindow)-o.ahead, int(o.lateCredit), 1)
	o.lateCredit = max(o.lateCredit-float64(starts), 0)
	return starts
}

// lateRoom returns the capacity that further tasks of late jobs may take from each pool.
func (o *Orchestrator) lateRoom(now boottime.Instant) map[string]float64 {
	room := map[string]float64{}
	for pool, cores := range o.poolStats.cores {
		use := scheduling.PoolUse{Cores: cores, OnTime: o.poolStats.runnable[pool], Late: o.poolStats.lateRunning[pool]}
		if meter := o.fleet.demand[pool]; meter != nil {
			use.Offered = meter.Cores(now)
		}
		room[pool] = scheduling.LateRoom(use)
	}
	return room
}

// poolUsage is what planWorkers finds of a pool's workers, in cores.
type poolUsage struct {
	used, cores float64
	capacity    resources.Amount
}

// planWorkers adds the workers that may get tasks to the input, and the capacity of these
// and the usage of all to poolStats.
func (o *Orchestrator) planWorkers(in *scheduling.Input, now boottime.Instant) {
	s := o.leadership.State()
	o.ahead = 0
	pools := map[string]*poolUsage{}
	evacuations := len(s.Evacuations) > 0
	isolating := len(o.cleared) > 0 || s.Suspects() > 0
	in.Workers = make([]*scheduling.Worker, 0, len(o.sessions))
	for _, session := range o.sortedSessions() {
		o.ahead += len(session.queue) + session.inFlight
		w := session.worker
		if w == nil {
			continue
		}
		usage := s.Usage(session.id)
		view := session.planView(w, usage, now)
		if evacuations {
			o.limitColdWorker(session, view, now)
		}
		if view.ClearedFor = ""; isolating || usage != nil && usage.Suspects > 0 {
			o.isolationView(view, usage)
		}
		pool := pools[w.Pool]
		if pool == nil {
			pool = &poolUsage{}
			pools[w.Pool] = pool
		}
		pool.used += float64(w.Capacity.MilliCPU-view.Free.MilliCPU) / 1000
		usable := o.usable(session, w, now)
		if view.Claims = nil; len(o.fleet.claims) > 0 {
			view.Claims = o.claimsOn(session.id, usable, now)
		}
		if usable {
			pool.cores += float64(w.Capacity.MilliCPU) / 1000
			pool.capacity = pool.capacity.Plus(w.Capacity)
			in.Workers = append(in.Workers, view)
		} else if o.unpolled(session, w, now) {
			o.poolStats.unpolled[w.Pool] += float64(w.Capacity.MilliCPU) / 1000
		}
	}
	for name, pool := range pools {
		o.poolStats.used[name] = pool.used
		if pool.cores > 0 || pool.capacity != (resources.Amount{}) {
			o.poolStats.cores[name], o.poolStats.capacity[name] = pool.cores, pool.capacity
		}
	}
}

// unpolledValidity is how long the workers that a new leader has not polled count for the admission
// of jobs. Most are polled within half of it, others are lost.
const unpolledValidity = time.Second

// unpolled reports whether a worker will probably be usable as soon as this leader has polled it.
func (o *Orchestrator) unpolled(s *session, w *workload.Worker, now boottime.Instant) bool {
	return s.clock.reading == 0 && now.Sub(o.leadingSince) < unpolledValidity && !w.Draining && !w.Cordoned && !s.disconnected && !o.leadership.State().Evacuated(w.DataCentre)
}

// sortedSessions returns the sessions in the order of their workers' IDs.
func (o *Orchestrator) sortedSessions() []*session {
	if o.sessionOrder == nil {
		o.sessionOrder = slices.SortedFunc(maps.Values(o.sessions), func(a, b *session) int { return cmp.Compare(a.id, b.id) })
	}
	return o.sessionOrder
}

// planView returns the view of a worker for a placement round. usage may be nil. The view
// is reused by the next round.
func (s *session) planView(w *workload.Worker, usage *workload.Usage, now boottime.Instant) *scheduling.Worker {
	if s.viewOf != w {
		s.viewOf = w
		s.view = scheduling.Worker{ID: w.ID, Pool: w.Pool, Rack: w.Rack(), Labels: w.Labels, Capacity: w.Capacity, DataCentre: w.DataCentre}
	}
	s.view.Reset(usage)
	s.view.Penalty = float64(min(s.failures, maxPenalty))
	if now < s.warmUpUntil {
		s.view.Penalty += warmUpPenalty
	}
	return &s.view
}

const (
	// maxPenalty bounds the weight of a worker's failures relative to its load.
	maxPenalty = 5
	// warmUpPenalty is the weight of a worker's warm-up relative to its load.
	warmUpPenalty = 0.5
)

// jobPlan is what a job's steps are predicted to need.
type jobPlan struct {
	// length is the critical path of the job if it has not started, and work the processor
	// time that it needs, in core-seconds.
	length time.Duration
	work   float64
	// tasks is the run time of a task of each step.
	tasks []time.Duration
}

// jobPlanValidity is how long a jobPlan is used, whose predicted run times change slowly.
const jobPlanValidity = 500 * time.Millisecond

func (o *Orchestrator) jobPlan(j *workload.Job) *jobPlan {
	plan := o.jobPlans[j.ID]
	if plan == nil || len(plan.tasks) != len(j.Steps) {
		plan = &jobPlan{tasks: scheduling.PredictSteps(j.Steps, o.runTimes(j.Queue))}
		plan.length, plan.work = scheduling.PredictedPath(j.Steps, nil, plan.tasks)
		o.jobPlans[j.ID] = plan
	}
	return plan
}

// planJob adds the waiting steps of a job to the input, and its work to poolStats. delay is what
// the leader adds to the time that the job still needs.
func (o *Orchestrator) planJob(in *scheduling.Input, j *workload.Job, clock time.Time, delay time.Duration) {
	q := o.leadership.State().Queue(j.Queue)
	if j.Status.Ended() || q == nil {
		return
	}
	whole := o.jobPlan(j)
	for k := range j.Occurrences {
		occurrence := &j.Occurrences[k]
		if occurrence.Done {
			continue
		}
		remaining, work := scheduling.PredictedPath(j.Steps, occurrence.Steps, whole.tasks)
		remaining += delay
		allowance := q.Slack + time.Duration(q.Stretch*float64(whole.length))
		deadline := occurrence.Due.Add(allowance)
		var expiry time.Time
		if o.Settings.LateFactor > 1 {
			expiry = occurrence.Due.Add(time.Duration(o.Settings.LateFactor * float64(allowance)))
		}
		if j.LongRunning() {
			o.poolStats.longRunning[q.Pool] += longRunningCores(j)
		} else {
			o.poolStats.work[q.Pool] += work
			if clock.Add(remaining).Before(deadline) {
				o.poolStats.onTime[q.Pool] += work
				o.addRunnable(q.Pool, j, k)
			} else {
				o.poolStats.lateRunning[q.Pool] += runningCores(j, k)
				if clock.Add(remaining).Before(expiry) {
					o.poolStats.late[q.Pool] += work
				}
			}
		}
		for p := range occurrence.Steps {
			if occurrence.Steps[p].Waiting() == 0 || !j.StepReady(k, p) || j.Suspected() && o.awaitsVerdict(&occurrence.Steps[p], o.lastPlan) {
				continue
			}
			d := o.nextDemand()
			*d = scheduling.Demand{
				Key: scheduling.StepKey{Job: j.ID, Occurrence: k, Step: p}, Step: &j.Steps[p], Pool: q.Pool, Team: j.Team,
				Priority: q.Priority, Deadline: deadline, Expiry: expiry, Remaining: remaining, Work: work, Value: jobValue(whole.work),
			}
			o.waitingTasksOf(d, &occurrence.Steps[p])
			o.waitingTasks += len(d.Waiting)
			if q.Advice != nil {
				d.RefusedWorkers = o.refusedWorkers(d.Key)
			}
			o.isolate(d, j, in, o.lastPlan)
			if q.Advice != nil && !o.advise(d, q, in) {
				o.unadvised = append(o.unadvised, d)
				continue
			}
			in.Demands = append(in.Demands, d)
		}
	}
}

// teamRunnable is what the tasks of a team would take that are running or may start.
type teamRunnable struct {
	limit, taken resources.Amount
	cores        map[string]float64 // by pool
}

// addRunnable counts the tasks of an occurrence that are running or may start.
func (o *Orchestrator) addRunnable(pool string, j *workload.Job, k int) {
	cores := 0.0
	var taken resources.Amount
	for p := range j.Steps {
		if !j.StepReady(k, p) {
			continue
		}
		progress := &j.Occurrences[k].Steps[p]
		tasks := len(progress.Tasks) - progress.Done()
		cores += float64(tasks*int(scheduling.OccupiedResources(&j.Steps[p]).MilliCPU)) / 1000
		taken = taken.Plus(j.Steps[p].Resources.Times(tasks))
	}
	o.poolStats.runnable[pool] += cores
	if team := o.poolStats.cappedRunnable[j.Team]; team != nil {
		team.cores[pool] += cores
		team.taken = team.taken.Plus(taken)
	}
}

// limitRunnable takes from the runnable work of each pool what the caps of the teams keep from running.
// Room that is kept for it would serve nobody.
func (o *Orchestrator) limitRunnable() {
	for _, team := range o.poolStats.cappedRunnable {
		excess := 1 - team.limit.ShareOf(team.taken)
		for pool, cores := range team.cores {
			o.poolStats.runnable[pool] = max(o.poolStats.runnable[pool]-excess*cores, 0)
		}
	}
}

// runningCores returns the cores that the running tasks of an occurrence use.
func runningCores(j *workload.Job, k int) float64 {
	sum := 0.0
	for p := range j.Steps {
		progress := &j.Occurrences[k].Steps[p]
		sum += float64((len(progress.Tasks)-progress.Done()-progress.Waiting())*int(scheduling.OccupiedResources(&j.Steps[p]).MilliCPU)) / 1000
	}
	return sum
}

// longRunningCores returns the cores that the tasks of a long-running job use.
func longRunningCores(j *workload.Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += float64(j.Steps[i].Count) * float64(scheduling.OccupiedResources(&j.Steps[i]).MilliCPU) / 1000
	}
	return sum
}

// jobValue returns a job's value relative to others of its queue. It has a fixed part
// and grows with the job's work.
func jobValue(work float64) float64 { return fixedJobValue + work }

// fixedJobValue is the part of a job's value that does not depend on its work, in
// core-seconds.
const fixedJobValue = 8

// planScratch is memory that placement rounds reuse.
type planScratch struct {
	demands []*scheduling.Demand
	used    int
	waiting []int
}

// nextDemand returns a demand for the present round.
func (o *Orchestrator) nextDemand() *scheduling.Demand {
	if o.scratch.used == len(o.scratch.demands) {
		o.scratch.demands = append(o.scratch.demands, &scheduling.Demand{})
	}
	o.scratch.used++
	return o.scratch.demands[o.scratch.used-1]
}

// waitingTasksOf sets the waiting tasks of a demand.
func (o *Orchestrator) waitingTasksOf(d *scheduling.Demand, p *workload.Progress) {
	first := len(o.scratch.waiting)
	for i := range p.Tasks {
		if !p.Tasks[i].Done && len(p.Tasks[i].Runs) == 0 {
			o.scratch.waiting = append(o.scratch.waiting, i)
		}
	}
	d.Waiting = o.scratch.waiting[first:len(o.scratch.waiting):len(o.scratch.waiting)]
}

// propose turns placements into starts with the next run numbers. The members of a
// gang share a run number.
func (o *Orchestrator) propose(placements []scheduling.Placement) {
	s := o.leadership.State()
	for _, p := range placements {
		t, j := s.Task(p.Task)
		w := s.Workers[p.Worker]
		if t == nil || w == nil {
			continue
		}
		run := t.LastRun + 1
		if j.Steps[p.Task.Step].Gang {
			run = nextGangRun(&j.Occurrences[p.Task.Occurrence].Steps[p.Task.Step])
		}
		o.load.placed++
		o.ahead++
		if !j.Started && !j.LongRunning() && j.OccurrenceCount == 0 {
			o.load.firstStart = max(o.load.firstStart, time.Since(j.Accepted))
		}
		o.pendingStarts[w.ID]++
		o.pending.Starts = append(o.pending.Starts, workload.RunStart{Task: p.Task, Run: run, Worker: w.ID, Incarnation: w.Incarnation})
	}
	o.startsInFlight = o.startsInFlight || len(o.pending.Starts) > 0
	o.logPlacements(placements)
}

// logPlacements logs the number of tasks placed for each step.
func (o *Orchestrator) logPlacements(placements []scheduling.Placement) {
	for len(placements) > 0 {
		first := placements[0].Task
		n := 1
		for n < len(placements) && sameStep(first, placements[n].Task) {
			n++
		}
		_, j := o.leadership.State().Task(first)
		progress := &j.Occurrences[first.Occurrence].Steps[first.Step]
		o.Log.V(1).Info("Placed tasks.", "job", first.Job, "occurrence", first.Occurrence, "step", first.Step, "tasks", n,
			"waiting", progress.Waiting()-n, "done", progress.Done(), "age_ms", time.Since(j.Accepted).Milliseconds())
		placements = placements[n:]
	}
}

func sameStep(a, b workload.TaskID) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
}

func nextGangRun(p *workload.Progress) int {
	highest := 0
	for i := range p.Tasks {
		highest = max(highest, p.Tasks[i].LastRun)
	}
	return highest + 1
}

// recordDemand counts a job's work at the time when it was first submitted.
func (o *Orchestrator) recordDemand(pool string, j *workload.Job, work float64) {
	if !j.LongRunning() {
		o.demand(pool).Add(boottime.Now().Add(-j.SubmitDelay), work)
	}
}

// restoreDemand counts the jobs that earlier leaders accepted.
func (o *Orchestrator) restoreDemand(now boottime.Instant) {
	s := o.leadership.State()
	if s.Topology == nil {
		return
	}
	jobs := slices.SortedFunc(maps.Values(s.Jobs), func(a, b *workload.Job) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	capacity := map[string]resources.Amount{}
	for _, w := range s.Workers {
		capacity[w.Pool] = capacity[w.Pool].Plus(w.Capacity)
	}
	for _, j := range jobs {
		q := s.Topology.Queue(j.Queue)
		if q == nil || len(j.Steps) == 0 || j.LongRunning() {
			continue
		}
		_, work := scheduling.CriticalPath(j.Steps, nil, nil)
		accepted := now.Add(-max(time.Since(j.Accepted), 0))
		o.demand(q.Pool).Add(accepted, work)
		o.restoreShare(j, q.Pool, capacity[q.Pool], accepted)
	}
}

func (o *Orchestrator) demand(pool string) *scheduling.DemandMeter {
	m := o.fleet.demand[pool]
	if m == nil {
		m = &scheduling.DemandMeter{}
		o.fleet.demand[pool] = m
	}
	return m
}

// submittedBefore reports whether a job's caller has probably submitted it to this leader
// before. A caller that has tried since before this leader took over was without a
// leader in the meantime: its submission counts as the first one.
func (o *Orchestrator) submittedBefore(j *workload.Job, now boottime.Instant) bool {
	return j.SubmitDelay > retryingAfter && now.Add(-j.SubmitDelay) > o.leadingSince
}

// retryingAfter is how long a caller must have tried to submit a job for its submission
// to count as a retry after a refusal.
const retryingAfter = 300 * time.Millisecond

func (o *Orchestrator) poolBacklog(pool string) scheduling.Backlog {
	cores := o.poolStats.cores[pool] + o.poolStats.unpolled[pool] + arrivingShare*o.fleet.arriving[pool]
	offered := 0.0
	if meter := o.fleet.demand[pool]; meter != nil {
		offered = meter.Cores(boottime.Now())
	}
	backlog := scheduling.Backlog{
		Work: o.poolStats.onTime[pool] + o.backlog[pool], Cores: cores,
		LateWork:  o.poolStats.late[pool] + o.lateBacklog[pool],
		StepDelay: o.queueDelay(boottime.Now()), Waited: o.leadership.EventWait(),
	}
	if !o.lateHeld { // otherwise, late jobs wait for the leader, whatever cores they have
		backlog.LateCores = scheduling.LateRoom(scheduling.PoolUse{Cores: cores, OnTime: o.poolStats.runnable[pool], Offered: offered})
	}
	return backlog
}

// arrivingShare is the part of the cores arriving in a pool that counts for the
// admission of jobs: those cores are available within the time that a job may wait.
const arrivingShare = 0.4
