package orchestrator

import (
	"cmp"
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// drain is the preparation of an instance for its maintenance: its worker gets no tasks any more,
// and those on it end or are stopped.
type drain struct {
	worker      string
	incarnation int64
	wave        uint64
	since       boottime.Instant // when the worker was cordoned
	// progressAt is when a run on the worker last ended, left the number of runs then.
	progressAt boottime.Instant
	left       int
	// continuedAt is the tick in which its wave last advanced it.
	continuedAt boottime.Instant
	stops       int // runs stopped for it
}

// drainRetry is when an instance may be drained again, and the pause before.
type drainRetry struct {
	at    boottime.Instant
	pause time.Duration
	block scheduling.DrainBlock // why it could not be drained
	// step is the one that blocked the drain, runs the number of runs on the worker then.
	step workload.StepID
	runs int
}

// claim holds how many tasks of each step were stopped together for the maintenance of an instance.
// They run on its worker before other long-running tasks. It is lost with the leader.
type claim struct {
	tasks map[workload.StepID]int
	// usableSince is when the worker became usable again, 0 until then.
	usableSince boottime.Instant
}

// drainState is how far the drain of an instance is.
type drainState int

const (
	// notDrained means that the instance can't be drained now, and that its worker is in use.
	notDrained drainState = iota
	// draining means that its worker gets no tasks, and that some are still on it.
	draining
	// drained means that nothing runs on the instance.
	drained
)

const (
	// drainPatience is how long a drain may make no progress while a task waits for the worker. It is
	// about as long as a restart of a worker takes, and longer than short tasks may continue and than
	// an order to the platform usually takes.
	drainPatience = restartTime
	// blockedDrainPause is the delay after which it is examined again whether an instance can be
	// drained.
	blockedDrainPause = 2 * fleetInterval
	// firstDrainPause is the delay before an instance is drained again after a drain without
	// progress. It doubles each time up to maxDrainPause, because tasks are interrupted each time.
	firstDrainPause = 10 * time.Second
	maxDrainPause   = 80 * time.Second
	// blockedDrainTimeout is how long a drain may make no progress while its plan is blocked and no
	// task waits for the worker. A task that was stopped has to serve again before the next one.
	blockedDrainTimeout = 10 * time.Second
)

// drainInstance cordons an instance for maintenance and stops the tasks on it. Long-running ones
// are stopped as far as their steps' disruption budgets allow and if they can run again soon: on
// another worker or, if all that are left can be stopped together, on this one after its
// maintenance. Short ones are stopped after shortTaskDrainTimeout. A drain that can't succeed isn't
// begun, and one without progress is given up.
func (o *Orchestrator) drainInstance(wave uint64, instance string, now boottime.Instant) drainState {
	f := &o.fleet
	s, state := o.drainable(instance)
	if s == nil {
		return state
	}
	d := f.drains[instance]
	if d == nil && now < f.drainRetries[instance].at {
		return notDrained
	}
	p := o.drainPlanning(now)
	if d == nil {
		if d = o.beginDrain(wave, instance, s, p, now); d == nil {
			return notDrained
		}
	}
	d.continuedAt, s.cordoned = now, true
	if len(s.orders) < d.left {
		d.progressAt = now
	}
	d.left = len(s.orders)
	plan := p.planOf(s)
	if reason := o.drainStalled(d, s, plan, p, now); reason != "" {
		if o.orderSettled(instance, s) {
			o.giveUpDrain(instance, d, s, reason, now)
			return notDrained
		}
		if s.worker != nil {
			o.probe(s, s.worker, now) // a list shows whether an order has taken effect
		}
	}
	if o.isDrained(d, s, now) {
		return drained
	}
	o.stopForDrain(d, s, plan, now)
	return draining
}

// drainable returns the session of an instance's worker that can be drained, or nil and the state of
// the instance. It ends the drain of a former incarnation.
func (o *Orchestrator) drainable(instance string) (*session, drainState) {
	f := &o.fleet
	i := f.instances[instance]
	if i.State != executor.Up || f.moves[instance] != nil {
		return nil, notDrained
	}
	s := o.sessions[i.Worker]
	if s == nil {
		// An instance in a spare pool is switched off and has no worker.
		if o.leadership.State().SpareInstances(i.Pool) {
			return nil, drained
		}
		return nil, notDrained
	}
	if d := f.drains[instance]; d != nil && (d.worker != s.id || d.incarnation != s.incarnation) {
		delete(f.drains, instance) // the cordon ended with the incarnation
	}
	return s, notDrained
}

// isDrained reports whether nothing runs or can start on a worker that is being drained.
func (o *Orchestrator) isDrained(d *drain, s *session, now boottime.Instant) bool {
	return now.Sub(d.since) >= cordonSettleTime && o.nothingRunsOn(s)
}

// beginDrain cordons the worker of an instance, or returns nil if it can't be drained now. A worker
// whose cordon is committed and whose maintenance is ordered is drained in any case: the platform may
// have been asked for it.
func (o *Orchestrator) beginDrain(wave uint64, instance string, s *session, p *drainPlanning, now boottime.Instant) *drain {
	f := &o.fleet
	w := o.leadership.State().Workers[s.id]
	committed := s.cordonProposed || w != nil && w.Cordoned
	switch {
	case committed && !inWave(o.openWaves(), instance):
		return nil // the cordon of a move that was given up is about to end
	case committed:
	case !o.platformAuthority.valid():
		return nil // its maintenance can't be ordered
	case !p.planNew(o, instance, s):
		o.postponeDrain(wave, instance, s, &p.planOf(s).DrainPlan, now)
		s.cordoned = false
		return nil
	}
	d := &drain{worker: s.id, incarnation: s.incarnation, wave: wave, since: now, progressAt: now, left: len(s.orders)}
	f.drains[instance] = d
	f.drainRetries[instance] = drainRetry{pause: f.drainRetries[instance].pause}
	o.Log.Info("Cordoned an instance for maintenance.", "instance", instance, "worker", s.id, "runs", len(s.orders))
	return d
}

// postponeDrain notes that an instance can't be drained now. A step without room elsewhere may get
// it from a further instance of the pool.
func (o *Orchestrator) postponeDrain(wave uint64, instance string, s *session, plan *scheduling.DrainPlan, now boottime.Instant) {
	f := &o.fleet
	retry := f.drainRetries[instance]
	if retry.block != plan.Blocked {
		o.count("drains_postponed_total", string(plan.Blocked))
		o.Log.Info("The maintenance of an instance has to wait.", "wave", wave, "instance", instance, "worker", s.id, "reason", plan.Blocked,
			"job", plan.Step.Job, "step", plan.Step.Step, "runs", len(s.orders))
	}
	retry.at, retry.block, retry.step, retry.runs = now.Add(blockedDrainPause), plan.Blocked, plan.Step, len(s.orders)
	f.drainRetries[instance] = retry
	if j := o.leadership.State().Jobs[plan.Step.Job]; plan.Blocked == scheduling.NoRoomElsewhere && j != nil && j.Steps[plan.Step.Step].Label == "" && s.worker != nil {
		f.drainsNeedInstance[s.worker.Pool] = now.Add(time.Second)
	}
}

// runsOnly reports whether nothing else runs or can start on a worker than the given runs.
func (o *Orchestrator) runsOnly(s *session, groups [][]*order) bool {
	n := 0
	for _, runs := range groups {
		n += len(runs)
	}
	return len(s.orders) == n && o.pendingStarts[s.id] == 0
}

// lastingRuns returns the long-running tasks at work on a worker by step, and their runs.
func (o *Orchestrator) lastingRuns(s *session, p *drainPlanning) ([]scheduling.DrainGroup, [][]*order) {
	byStep := map[workload.StepID][]*order{}
	var keys []workload.StepID
	for id, r := range s.orders {
		j := o.leadership.State().Jobs[id.Task.Job]
		if j == nil || j.Status.Ended() || !j.Steps[id.Task.Step].LongRunning || r.phase == released {
			continue // the runs of a job that has ended need no other place
		}
		key := id.Task.StepID()
		if _, known := byStep[key]; !known {
			keys = append(keys, key)
			byStep[key] = nil
		}
		if r.phase == running || r.phase == starting {
			byStep[key] = append(byStep[key], r)
		}
	}
	slices.SortFunc(keys, compareSteps)
	groups := make([]scheduling.DrainGroup, len(keys))
	runs := make([][]*order, len(keys))
	for i, key := range keys {
		runs[i] = byStep[key]
		slices.SortFunc(runs[i], func(a, b *order) int { return a.id.Task.Compare(b.id.Task) })
		groups[i] = o.drainGroup(s, key, runs[i], p)
	}
	return groups, runs
}

func compareSteps(a, b workload.StepID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

func (o *Orchestrator) drainGroup(s *session, key workload.StepID, runs []*order, p *drainPlanning) scheduling.DrainGroup {
	j := o.leadership.State().Jobs[key.Job]
	step := &j.Steps[key.Step]
	g := scheduling.DrainGroup{Demand: o.demandOf(j, key, s.worker.Pool), Tasks: len(runs)}
	if step.MaxUnavailable == nil {
		return g
	}
	g.Limited, g.Budget, g.Away = true, *step.MaxUnavailable, p.tasksAway(o, key)
	tasks := j.Occurrences[key.Occurrence].Steps[key.Step].Tasks
	for _, r := range runs {
		if id := r.id.Task; !o.serving(id, &tasks[id.Index]) {
			g.Away--
		}
	}
	return g
}

// demandOf returns a demand of a step for decisions about where its tasks could run.
func (o *Orchestrator) demandOf(j *workload.Job, key workload.StepID, pool string) *scheduling.Demand {
	return &scheduling.Demand{Key: key, Step: &j.Steps[key.Step], Pool: pool, Team: j.Team, RefusedWorkers: o.refusedWorkers(key)}
}

// stopping returns the number of a step's runs on a worker that are being stopped.
func (o *Orchestrator) stopping(s *session, key workload.StepID) int {
	n := 0
	for id, r := range s.orders {
		if id.Task.StepID() == key && (r.phase == stopPending || r.phase == stopResponded) {
			n++
		}
	}
	return n
}

// stopForDrain stops the runs on a worker that may be stopped now.
func (o *Orchestrator) stopForDrain(d *drain, s *session, plan *plannedDrain, now boottime.Instant) {
	for i, runs := range plan.runs {
		for _, r := range runs[:plan.Stop[i]] {
			if o.stopWithinBudget(d, s, r) && plan.Together {
				o.addClaim(o.fleet.instanceOf[s.id], r.id.Task.StepID())
			}
		}
	}
	if now.Sub(d.since) < shortTaskDrainTimeout || plan.Blocked == scheduling.NoRoomElsewhere {
		return
	}
	for id, r := range s.orders {
		if j := o.leadership.State().Jobs[id.Task.Job]; j != nil && len(j.Steps) > id.Task.Step && !j.Steps[id.Task.Step].LongRunning {
			o.stopWithinBudget(d, s, r)
		}
	}
}

// stopWithinBudget stops a run if the budget of its step allows it, and reports whether it did.
func (o *Orchestrator) stopWithinBudget(d *drain, s *session, r *order) bool {
	j := o.leadership.State().Jobs[r.id.Task.Job]
	if r.phase != running && r.phase != starting || !o.mayInterrupt(j, r) {
		return false
	}
	d.stops++
	o.stop(s, r, "maintenance")
	return true
}

func (o *Orchestrator) addClaim(instance string, step workload.StepID) {
	c := o.fleet.claims[instance]
	if c == nil || c.usableSince != 0 {
		c = &claim{tasks: map[workload.StepID]int{}}
		o.fleet.claims[instance] = c
	}
	c.tasks[step]++
}

// claimsOn returns how many waiting tasks of each step have a claim to a worker. The claims end when
// none waits, or when the worker has been usable for drainPatience.
func (o *Orchestrator) claimsOn(worker string, usable bool, now boottime.Instant) map[workload.StepID]int {
	instance := o.fleet.instanceOf[worker]
	c := o.fleet.claims[instance]
	switch {
	case c == nil, !usable:
		return nil
	case c.usableSince == 0:
		c.usableSince = now
	}
	waiting := map[workload.StepID]int{}
	for step, n := range c.tasks {
		j := o.leadership.State().Jobs[step.Job]
		if j == nil || j.Status.Ended() {
			continue
		}
		if n = min(n, j.Occurrences[step.Occurrence].Steps[step.Step].Waiting()); n > 0 {
			waiting[step] = n
		}
	}
	if len(waiting) == 0 || now.Sub(c.usableSince) > drainPatience {
		delete(o.fleet.claims, instance)
		return nil
	}
	return waiting
}

// drainStalled returns why a drain without progress has to be given up, or "": a task waits for the
// worker, or a task on it can't be stopped.
func (o *Orchestrator) drainStalled(d *drain, s *session, plan *plannedDrain, p *drainPlanning, now boottime.Instant) string {
	idle := now.Sub(d.progressAt)
	switch {
	case idle >= drainPatience && p.isAwaited(o, s.id, now):
		return "task-waits"
	case idle >= blockedDrainTimeout && plan.Blocked != "":
		return string(plan.Blocked)
	}
	return ""
}

// orderSettled reports whether no order that was sent for an instance can still end its worker: a
// list of the platform, or of the worker's runs, was requested after any such order had arrived and
// shows that it goes on.
func (o *Orchestrator) orderSettled(instance string, s *session) bool {
	f := &o.fleet
	w := o.leadership.State().Workers[s.id]
	switch {
	case f.maintaining[instance] || s.cordonProposed:
		return false
	case w != nil && !w.Cordoned:
		return true // no order is sent before the cordon is committed
	}
	shown := max(f.listedAsOf, s.aliveAt)
	return o.platformAuthority.begunBy(shown) && shown >= f.lastOrderAt[instance].Add(orderTransit)
}

// giveUpDrain gives a worker back that is not drained, or whose maintenance doesn't begin.
func (o *Orchestrator) giveUpDrain(instance string, d *drain, s *session, reason string, now boottime.Instant) {
	f := &o.fleet
	pause := min(max(2*f.drainRetries[instance].pause, firstDrainPause), maxDrainPause)
	f.drainRetries[instance] = drainRetry{at: now.Add(pause), pause: pause}
	delete(f.drains, instance)
	o.count("drains_given_up_total", reason)
	o.Log.Info("Gave up the drain of an instance.", "wave", d.wave, "instance", instance, "worker", s.id, "reason", reason, "runs", len(s.orders),
		"stopped", d.stops, "idle_ms", now.Sub(d.progressAt).Milliseconds(), "drained_for_ms", now.Sub(d.since).Milliseconds(), "retry_ms", pause.Milliseconds())
	o.uncordon(s)
}

// endAbandonedDrains gives back the workers of drains that no wave has advanced in this tick.
func (o *Orchestrator) endAbandonedDrains(now boottime.Instant) {
	f := &o.fleet
	waves := o.openWaves()
	for instance, d := range f.drains {
		i, s := f.instances[instance], o.sessions[d.worker]
		switch {
		case d.continuedAt == now, f.maintaining[instance]:
		case s == nil || s.incarnation != d.incarnation || i.State != executor.Up || i.Worker != d.worker:
			delete(f.drains, instance)
		case !inWave(waves, instance):
			o.giveUpDrain(instance, d, s, "not-continued", now)
		}
	}
}
