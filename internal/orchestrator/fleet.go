package orchestrator

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// fleetState is the leader's volatile state of the instances, their moves and their
// maintenance.
type fleetState struct {
	instances  map[string]executor.Instance
	cores      float64             // of all instances
	byPool     map[string][]string // sorted IDs of the instances of each pool
	instanceOf map[string]string   // instance of each worker that was ever listed
	// listCount is the number of lists read, lastListed the number of the last list
	// that contained an instance.
	listCount  int
	lastListed map[string]int
	moves      map[string]*move
	// incoming and arriving are the cores that are on their way to each pool, as of the last tick, and
	// those of them that no longer wait for tasks to end.
	incoming, arriving map[string]float64
	demand             map[string]*scheduling.DemandMeter
	poolNeeds          recentNeeds
	listRequestedAt    boottime.Instant // when the last list was requested
	listedAsOf         boottime.Instant // when the list in instances was requested
	listing            bool
	lastTick           boottime.Instant
	load               float64 // needed part of all cores
	// surplus is the capacity of each pool's usable instances beyond its need, in cores.
	surplus      map[string]float64
	loadLoggedAt boottime.Instant // when the load of the pools was last logged
	// maintaining contains the instances with a maintenance call in progress, or whose
	// maintenance was accepted and is not yet committed as started.
	maintaining map[string]bool
	// drains holds the instances that are being prepared for their maintenance, drainRetries when
	// others may be.
	drains       map[string]*drain
	drainRetries map[string]drainRetry
	claims       map[string]*claim // by instance
	// planning is that of the drains in the last tick that planned any.
	planning *drainPlanning
	// drainsNeedInstance is until when a pool needs a further instance because the tasks of one
	// that is due for maintenance have room on no other.
	drainsNeedInstance map[string]boottime.Instant
	// lastOrderAt is when the last order for an instance returned.
	lastOrderAt map[string]boottime.Instant
	// retryAt is when a failed platform call for an instance may be repeated.
	retryAt map[string]boottime.Instant
	// crashedAt is when an instance was lost with a worker that a task may have crashed.
	crashedAt map[string]boottime.Instant
	// kept contains the instances that aren't moved because a wave waits for them.
	kept map[string]bool
}

const (
	// fleetInterval is the interval at which waves and moves are advanced.
	fleetInterval = 100 * time.Millisecond
	// listInterval is the minimum time between two readings of the platform's list of
	// instances.
	listInterval = 700 * time.Millisecond
	// lossListInterval is the same while a worker refuses connections: the list shows
	// whether it has ended.
	lossListInterval = 200 * time.Millisecond
	// shortTaskDrainTimeout is how long short tasks may continue on an instance that is
	// cordoned for maintenance before they are stopped.
	shortTaskDrainTimeout = 3 * time.Second
	// platformTimeout bounds a call to the platform.
	platformTimeout = 2 * time.Second
	// declinedPause is the delay before a declined call is repeated.
	declinedPause = time.Second
)

// tickFleet advances maintenance waves and moves.
func (o *Orchestrator) tickFleet(now boottime.Instant) {
	f := &o.fleet
	if o.Instances == nil || now.Sub(f.lastTick) < fleetInterval || !o.leadershipConfirmed(now) {
		return
	}
	f.lastTick = now
	if o.leadership.State().Topology == nil {
		return
	}
	if now.Sub(f.listRequestedAt) >= o.listInterval() {
		o.timed(tickListPart, func() { o.listInstances(now) })
	}
	if f.instances == nil || o.poolStats.cores == nil {
		return // the load is not known before the first placement round of a new leader
	}
	o.timed(tickWavesPart, func() {
		f.kept = map[string]bool{}
		for _, w := range o.openWaves() {
			o.tickWave(w, now)
		}
		o.endAbandonedDrains(now)
	})
	o.timed(tickEvacuationsPart, func() { o.tickEvacuations(now) })
	o.timed(tickMovesPart, func() { o.tickMoves(now) })
}

func newFleetState() fleetState {
	return fleetState{
		instanceOf: map[string]string{}, lastOrderAt: map[string]boottime.Instant{}, lastListed: map[string]int{}, maintaining: map[string]bool{}, crashedAt: map[string]boottime.Instant{}, drains: map[string]*drain{}, drainRetries: map[string]drainRetry{}, claims: map[string]*claim{}, drainsNeedInstance: map[string]boottime.Instant{}, retryAt: map[string]boottime.Instant{},
		moves: map[string]*move{}, demand: map[string]*scheduling.DemandMeter{}, poolNeeds: recentNeeds{}, load: 1,
	}
}

func (f *fleetState) setInstances(list []executor.Instance) {
	f.listCount++
	f.instances = make(map[string]executor.Instance, len(list))
	for _, i := range list {
		f.instances[i.ID] = i
		f.lastListed[i.ID] = f.listCount
		if i.Worker != "" {
			f.instanceOf[i.Worker] = i.ID
		}
	}
	f.cores, f.byPool = 0, map[string][]string{}
	for id, i := range f.instances {
		f.cores += float64(i.Capacity.MilliCPU) / 1000
		f.byPool[i.Pool] = append(f.byPool[i.Pool], id)
	}
	for _, ids := range f.byPool {
		slices.Sort(ids)
	}
}

// maxMissedLists is the number of consecutive lists without an instance after which it
// has left the fleet. A long list is read in pages, and an instance whose position
// changes between two pages may be missing once or twice.
const maxMissedLists = 3

// hasLeft reports whether an instance has left the fleet.
func (f *fleetState) hasLeft(instance string) bool {
	return f.listCount-f.lastListed[instance] >= maxMissedLists
}

// inPool returns the number of instances that the platform lists in a pool.
func (f *fleetState) inPool(pool string) int {
	n := 0
	for _, i := range f.instances {
		if i.Pool == pool {
			n++
		}
	}
	return n
}

func (o *Orchestrator) listInterval() time.Duration {
	for _, s := range o.sessions {
		if s.disconnected && !s.removing && !s.silent {
			return lossListInterval
		}
	}
	return listInterval
}

// removeEndedWorkers removes workers whose instance is down, has left or runs another
// worker, according to a list requested after the last contact with the worker. This
// detects a crash long before the worker's lease ends.
func (o *Orchestrator) removeEndedWorkers(requestedAt boottime.Instant) {
	for id, s := range o.sessions {
		s.startsWithheld = false
		instance, known := o.fleet.instanceOf[id]
		i, listed := o.fleet.instances[instance]
		w := o.leadership.State().Workers[id]
		if !known || w == nil || !s.disconnected && requestedAt.Sub(max(s.lastContact, s.lastReport)) < o.Settings.ReportInterval/2 {
			continue
		}
		if s.disconnected && requestedAt <= max(s.failingSince, s.lastReport) {
			continue
		}
		ended := !listed && o.fleet.hasLeft(instance) || o.listedEnded(id)
		s.startsWithheld = ended
		if !ended || s.removing || s.startInProgress() {
			continue
		}
		s.removing = true
		o.Log.Info("The platform lists a worker no more.", "worker", id, "instance", instance, "listed", listed, "state", i.State, "now", i.Worker, "runs", len(s.orders))
		if i.State == executor.Moving || i.State == executor.Maintenance {
			// An order ended the worker. It may have been given up before it took effect.
			o.count("workers_lost_total", "ordered")
		} else {
			o.workerLost(s, false, "listed-down")
		}
		o.proposeRemoval(workload.WorkerIncarnation{Worker: id, Incarnation: s.incarnation})
	}
}

func (o *Orchestrator) openWaves() []*workload.Wave {
	var waves []*workload.Wave
	for _, w := range o.leadership.State().Waves {
		if !w.Done() {
			waves = append(waves, w)
		}
	}
	slices.SortFunc(waves, func(a, b *workload.Wave) int { return int(a.ID) - int(b.ID) })
	return waves
}

func (o *Orchestrator) listInstances(now boottime.Instant) {
	f := &o.fleet
	if f.listing {
		return
	}
	f.listing, f.listRequestedAt = true, now
	leadership := o.leadership
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, platformTimeout)
		defer cancel()
		list, err := o.Instances.List(ctx)
		leadership.Post(func() {
			f.listing = false
			if err != nil {
				o.count("platform_failures_total", "list")
				return
			}
			f.setInstances(list)
			f.listedAsOf = now
			o.removeEndedWorkers(now)
			o.decidePresumedCrashes(now)
			o.releaseStaleCordons(now)
		})
	})
}

// tickWave cordons instances of a wave and orders the maintenance of those on which
// nothing runs any more, within the wave's limit of instances that are down.
func (o *Orchestrator) tickWave(w *workload.Wave, now boottime.Instant) {
	down := 0
	var waiting []string
	for _, id := range w.Instances {
		at, ordered := w.Ordered[id]
		instance, known := o.fleet.instances[id]
		switch {
		case ordered && w.Started[id]:
			// An instance that a list lacks may still be in maintenance.
			if known && !o.returned(&instance, at) || !known && !o.fleet.hasLeft(id) {
				down++
			}
		case !w.Started[id] && !known:
			if ordered {
				down++ // it may be in maintenance
			}
			// The instance may return, and would then have missed its maintenance.
			if !o.fleet.hasLeft(id) || time.Since(w.Accepted) < w.TimeLimit {
				continue
			}
			o.pending.Maintenance = append(o.pending.Maintenance, workload.WaveEvent{Wave: w.ID, Instance: id, Started: true})
		case ordered:
			down++
			o.maintain(w, id, now)
		case !w.Started[id]:
			waiting = append(waiting, id)
		}
	}
	progress := scheduling.MaintenanceWave{
		Instances: len(w.Instances), Started: len(w.Instances) - len(waiting), Down: down, Cap: w.Cap,
		Elapsed: time.Since(w.Accepted), TimeLimit: w.TimeLimit, Load: o.fleet.load,
	}
	// Drains that have begun go on at a higher load, because they have interrupted tasks already.
	slots := max(scheduling.MaintenanceSlots(progress), min(o.drainsBegun(waiting), w.Cap-down))
	keeps := scheduling.KeepsForMaintenance(progress)
	o.sortForMaintenance(waiting)
	for _, id := range waiting {
		if keeps {
			o.fleet.kept[id] = true
		}
	}
	for _, id := range waiting {
		if o.fleet.drains[id] == nil && (slots <= 0 || o.drainPlanning(now).timeOver()) {
			continue
		}
		state := o.drainInstance(w.ID, id, now)
		if state == notDrained {
			continue // it keeps no other instance from its maintenance
		}
		if state == drained && slots > 0 && o.platformAuthority.valid() {
			o.ensureCordoned(o.fleet.instances[id].Worker) // committed together with the order
			o.pending.Maintenance = append(o.pending.Maintenance, workload.WaveEvent{Wave: w.ID, Instance: id, Ordered: true, At: time.Now()})
		}
		slots--
	}
}

// drainsBegun returns how many of the instances are being drained.
func (o *Orchestrator) drainsBegun(instances []string) int {
	n := 0
	for _, id := range instances {
		if o.fleet.drains[id] != nil {
			n++
		}
	}
	return n
}

// sortForMaintenance sorts instances by the cost of their maintenance: cordoned ones
// first, then switched off ones, then idle ones that their pools don't need, then those with the
// fewest runs. Instances in a move come last. Those that have just arrived in a pool for a load peak
// have the fewest runs. Instances that had to wait come after those that no tick has examined yet, in
// the order in which they are due again, so that each gets its turn although a tick examines only some.
func (o *Orchestrator) sortForMaintenance(instances []string) {
	surplus := maps.Clone(o.fleet.surplus)
	rank := func(id string) int {
		i := o.fleet.instances[id]
		s := o.sessions[i.Worker]
		switch {
		case o.fleet.moves[id] != nil:
			return math.MaxInt
		case s == nil:
			return 0
		case s.cordoned:
			return -1
		case len(s.orders) == 0 && s.worker != nil:
			if cores := float64(s.worker.Capacity.MilliCPU) / 1000; surplus[i.Pool] >= cores {
				surplus[i.Pool] -= cores
				return 1
			}
		}
		return 2 + len(s.orders)
	}
	ranks := make(map[string]int, len(instances))
	for _, id := range instances {
		ranks[id] = rank(id)
	}
	slices.SortStableFunc(instances, func(a, b string) int {
		return cmp.Or(cmp.Compare(o.fleet.drainRetries[a].at, o.fleet.drainRetries[b].at), cmp.Compare(ranks[a], ranks[b]))
	})
}

// returned reports whether an instance is back from a maintenance that was ordered at a
// time and has started: a list shows it that was requested after the platform accepted the
// maintenance, or after a former leader did, and a new incarnation of its worker has registered
// since the order. A worker alone proves nothing, because the last report of the one that ended
// may arrive late. In a spare pool an instance is switched off and has no worker.
func (o *Orchestrator) returned(i *executor.Instance, ordered time.Time) bool {
	if i.State != executor.Up || o.fleet.listedAsOf <= max(o.fleet.lastOrderAt[i.ID], o.leadingSince) {
		return false
	}
	if o.leadership.State().SpareInstances(i.Pool) {
		return true
	}
	w := o.leadership.State().Workers[i.Worker]
	return w != nil && w.Since.After(ordered)
}

// mayInterrupt reports whether the step's disruption budget (MaxUnavailable) allows
// stopping a run. Tasks that are down for any other reason, such as a crash, count
// against the budget as well. A new leader waits until the stops of its predecessor
// have taken effect, because a run that was told to stop is listed as running until it
// has ended.
func (o *Orchestrator) mayInterrupt(j *workload.Job, r *order) bool {
	step := &j.Steps[r.id.Task.Step]
	if step.MaxUnavailable == nil {
		return true
	}
	if boottime.Now().Sub(o.leadingSince) < confirmationValidity+callTimeout+o.Settings.StopGrace {
		return false
	}
	return o.unavailableBeside(j, r) < *step.MaxUnavailable
}

// unavailableBeside returns how many tasks of a run's step, other than its own, are not known
// to serve requests.
func (o *Orchestrator) unavailableBeside(j *workload.Job, r *order) int {
	unavailable := 0
	tasks := j.Occurrences[r.id.Task.Occurrence].Steps[r.id.Task.Step].Tasks
	for i := range tasks {
		if i != r.id.Task.Index && !o.serving(workload.TaskID{Job: j.ID, Occurrence: r.id.Task.Occurrence, Step: r.id.Task.Step, Index: i}, &tasks[i]) {
			unavailable++
		}
	}
	return unavailable
}

// serving reports whether a long-running task is known to serve requests.
func (o *Orchestrator) serving(id workload.TaskID, t *workload.Task) bool {
	now := boottime.Now()
	for _, run := range t.Runs {
		s := o.sessions[run.Worker]
		if s == nil || now.Sub(s.lastContact) > 2*pollWait {
			continue
		}
		r := s.orders[workload.RunID{Task: id, Number: run.Number}]
		if r != nil && r.phase == running && r.percent >= fullPace {
			return true
		}
	}
	return false
}

// maintenanceApplied acts on committed maintenance events: it requests the maintenance
// of ordered instances and logs completed waves.
func (o *Orchestrator) maintenanceApplied(events []workload.WaveEvent) {
	for _, e := range events {
		if e.Started {
			delete(o.fleet.maintaining, e.Instance)
		}
		w := o.leadership.State().Waves[e.Wave]
		if w == nil {
			continue
		}
		if e.Started && w.Done() {
			o.Log.Info("Completed a maintenance wave.", "wave", w.ID)
		}
		if e.Ordered && !w.Started[e.Instance] {
			o.maintainDrained(w, e.Instance, boottime.Now())
		}
	}
}

// maintain requests the maintenance of an instance from the platform. The request may
// be repeated, also by a new leader. Because tasks may have started on the instance in
// the meantime, it is drained before each request.
func (o *Orchestrator) maintain(w *workload.Wave, instance string, now boottime.Instant) {
	if i := o.fleet.instances[instance]; i.State == executor.Maintenance {
		if o.orderedByOtherWave(w, instance) || !o.vacated(i.Worker) {
			return // the instance is or could be back and run tasks
		}
	} else if o.drainInstance(w.ID, instance, now) != drained {
		return
	}
	o.requestMaintenance(w, instance, now)
}

// maintainDrained requests the maintenance of an instance on which nothing runs any more. The next tick
// advances the others.
func (o *Orchestrator) maintainDrained(w *workload.Wave, instance string, now boottime.Instant) {
	s, state := o.drainable(instance)
	if d := o.fleet.drains[instance]; state == drained || s != nil && d != nil && o.isDrained(d, s, now) {
		o.requestMaintenance(w, instance, now)
	}
}

func (o *Orchestrator) requestMaintenance(w *workload.Wave, instance string, now boottime.Instant) {
	f := &o.fleet
	if f.maintaining[instance] || now < f.retryAt[instance] || !o.ensureCordoned(f.instances[instance].Worker) {
		return
	}
	wave, ended := w.ID, workload.WorkerIncarnation{Worker: f.instances[instance].Worker}
	if known := o.leadership.State().Workers[ended.Worker]; known != nil {
		ended.Incarnation = known.Incarnation
	}
	f.maintaining[instance] = o.sendToPlatform(platformOrder{
		kind: "maintain", instance: instance,
		send: func(ctx context.Context, a executor.Authority) error {
			return o.Instances.Maintain(ctx, a, instance, wave)
		},
		done: func(err error) { o.handleMaintainResponse(wave, instance, ended, err) },
	})
}

// vacated reports whether nothing runs or can start on a worker. A worker that is back under
// its ID is not cordoned: the cordon ends with the incarnation.
func (o *Orchestrator) vacated(worker string) bool {
	w, s := o.leadership.State().Workers[worker], o.sessions[worker]
	return w == nil || w.Cordoned && (s == nil || o.nothingRunsOn(s))
}

// orderedByOtherWave reports whether a wave other than w has ordered the maintenance of an
// instance, so that the instance may be in maintenance for that one.
func (o *Orchestrator) orderedByOtherWave(w *workload.Wave, instance string) bool {
	for _, other := range o.leadership.State().Waves {
		if _, ordered := other.Ordered[instance]; ordered && other.ID != w.ID {
			return true
		}
	}
	return false
}

// handleMaintainResponse handles the response to a request of maintenance. ended is the
// worker that the instance ran when the request was sent.
func (o *Orchestrator) handleMaintainResponse(wave uint64, instance string, ended workload.WorkerIncarnation, err error) {
	f := &o.fleet
	if err != nil {
		delete(f.maintaining, instance)
		f.retryAt[instance] = boottime.Now().Add(declinedPause)
		o.count("platform_failures_total", "maintain "+platformResult(err))
		o.Log.Info("The platform did not confirm the maintenance of an instance.", "wave", wave, "instance", instance, "reason", err.Error())
		return
	}
	o.Log.Info("The maintenance of an instance has started.", "wave", wave, "instance", instance)
	delete(f.drains, instance)
	delete(f.drainRetries, instance)
	o.pending.Maintenance = append(o.pending.Maintenance, workload.WaveEvent{Wave: wave, Instance: instance, Started: true})
	// The worker has ended, and nothing ran on it. The instance may run another one by
	// now: the maintenance may have taken place at an earlier request.
	if known := o.leadership.State().Workers[ended.Worker]; known != nil && known.Incarnation == ended.Incarnation {
		o.proposeRemoval(ended)
	}
}
