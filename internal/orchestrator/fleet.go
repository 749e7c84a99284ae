package orchestrator

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// fleetState is what the leader knows of instances beyond their workers.
type fleetState struct {
	instances  map[string]executor.Instance
	order      []string          // of the instances, sorted
	instanceOf map[string]string // the instance of each worker that was ever listed
	// lists counts the lists, and lastListed tells in which one an instance was last.
	lists      int
	lastListed map[string]int
	moves      map[string]*move
	demand     map[string]*scheduling.DemandMeter
	needed     recentNeeds
	listed     boottime.Instant // when the list was asked for
	listing    bool
	tick       boottime.Instant
	load       float64          // part of all cores that work needs
	logged     boottime.Instant // when the load of the pools was last logged
	// calls are the instances with a call to the platform under way.
	calls map[string]bool
	// cordoned is since when an instance gets no tasks.
	cordoned map[string]boottime.Instant
	// retry is when a declined call may be repeated.
	retry map[string]boottime.Instant
}

const (
	// fleetInterval is the time between two looks at waves.
	fleetInterval = 100 * time.Millisecond
	// listInterval is the time between two readings of the instances while a wave
	// or a move needs them.
	listInterval = 700 * time.Millisecond
	// drainPatience is how long short tasks may keep a cordoned instance before
	// they are stopped.
	drainPatience = 3 * time.Second
	// platformTimeout bounds a call to the platform.
	platformTimeout = 2 * time.Second
	// declinedPause is the time until a declined call is repeated.
	declinedPause = time.Second
)

// tickFleet carries out maintenance waves.
func (o *Orchestrator) tickFleet(now boottime.Instant) {
	f := &o.fleet
	if o.Instances == nil || now.Sub(f.tick) < fleetInterval || !o.mayOrder(now) {
		return
	}
	f.tick = now
	if o.lead.State().Topology == nil {
		return
	}
	if now.Sub(f.listed) >= listInterval {
		o.listInstances(now)
	}
	if f.instances == nil || o.outlook.cores == nil {
		return // before the first placement of a new leader nothing is known of the load
	}
	for _, w := range o.openWaves() {
		o.tickWave(w, now)
	}
	o.tickMoves(now)
}

func newFleetState() fleetState {
	return fleetState{
		instanceOf: map[string]string{}, lastListed: map[string]int{}, calls: map[string]bool{}, cordoned: map[string]boottime.Instant{}, retry: map[string]boottime.Instant{},
		moves: map[string]*move{}, demand: map[string]*scheduling.DemandMeter{}, needed: recentNeeds{}, load: 1,
	}
}

func (f *fleetState) take(list []executor.Instance) {
	f.lists++
	f.instances = make(map[string]executor.Instance, len(list))
	f.order = f.order[:0]
	for _, i := range list {
		f.instances[i.ID] = i
		f.lastListed[i.ID] = f.lists
		f.order = append(f.order, i.ID)
		if i.Worker != "" {
			f.instanceOf[i.Worker] = i.ID
		}
	}
	slices.Sort(f.order)
}

// goneAfter is the number of lists in a row without an instance after which it has
// left the fleet. A long list comes in pages, and an instance that changes its place
// between two of them is left out once or twice.
const goneAfter = 3

// gone tells that an instance has left the fleet.
func (f *fleetState) gone(instance string) bool { return f.lists-f.lastListed[instance] >= goneAfter }

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

// endedLives removes workers whose instance is down, or runs another worker, by a
// list that was asked for after the worker was last heard of. It tells of a crash
// long before the worker's lease ends.
func (o *Orchestrator) endedLives(asked boottime.Instant) {
	for id, s := range o.sessions {
		instance, known := o.fleet.instanceOf[id]
		i, listed := o.fleet.instances[instance]
		w := o.lead.State().Workers[id]
		if !known || w == nil || asked.Sub(max(s.contact, s.report)) < o.Settings.ReportInterval/2 {
			continue
		}
		ended := !listed && o.fleet.gone(instance) || listed && (i.State == executor.Down || i.Worker != id)
		if !ended || s.leaving {
			continue
		}
		s.leaving = true
		o.Log.Info("The platform lists a worker no more.", "worker", id, "instance", instance, "listed", listed, "state", i.State, "now", i.Worker, "runs", len(s.orders))
		o.pending.Gone = append(o.pending.Gone, workload.Life{Worker: id, Born: s.born})
	}
}

func (o *Orchestrator) openWaves() []*workload.Wave {
	var waves []*workload.Wave
	for _, w := range o.lead.State().Waves {
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
	f.listing, f.listed = true, now
	lead := o.lead
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, platformTimeout)
		defer cancel()
		list, err := o.Instances.List(ctx)
		lead.Post(func() {
			f.listing = false
			if err != nil {
				o.count("platform_failures_total", "list")
				return
			}
			f.take(list)
			o.endedLives(now)
		})
	})
}

// tickWave cordons instances, and orders the maintenance of those that run
// nothing any more, within the wave's bound of instances that are down.
func (o *Orchestrator) tickWave(w *workload.Wave, now boottime.Instant) {
	down := 0
	var waiting []string
	for _, id := range w.Instances {
		at, ordered := w.Ordered[id]
		instance, known := o.fleet.instances[id]
		switch {
		case ordered && w.Begun[id]:
			if known && !o.returned(&instance, at) {
				down++
			}
		case ordered:
			down++
			o.maintain(w, id, now)
		case !w.Begun[id] && !known:
			// It may come back, and would then have missed its maintenance.
			if !o.fleet.gone(id) || time.Since(w.Accepted) < w.Within {
				continue
			}
			o.pending.Maintenance = append(o.pending.Maintenance, workload.WaveEvent{Wave: w.ID, Instance: id, Begun: true})
		case !w.Begun[id]:
			waiting = append(waiting, id)
		}
	}
	slots := scheduling.MaintenanceSlots(scheduling.MaintenanceWave{
		Instances: len(w.Instances), Begun: len(w.Instances) - len(waiting), Down: down, Cap: w.Cap,
		Elapsed: time.Since(w.Accepted), Within: w.Within, Load: o.fleet.load,
	})
	o.sortForMaintenance(waiting)
	for _, id := range waiting {
		if slots <= 0 {
			return
		}
		slots--
		if o.vacate(id, now) {
			o.pending.Maintenance = append(o.pending.Maintenance, workload.WaveEvent{Wave: w.ID, Instance: id, Ordered: true, At: time.Now()})
		}
	}
}

// sortForMaintenance puts those that are being emptied first, then those that are
// missed least: switched off ones, and the ones with the fewest runs.
func (o *Orchestrator) sortForMaintenance(instances []string) {
	rank := func(id string) int {
		s := o.sessions[o.fleet.instances[id].Worker]
		switch {
		case o.fleet.moves[id] != nil:
			return math.MaxInt
		case s == nil:
			return 0
		case s.cordon:
			return -1
		}
		return 1 + len(s.orders)
	}
	slices.SortStableFunc(instances, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
}

// returned tells that a new life of an instance's worker has reported after its
// maintenance was ordered.
func (o *Orchestrator) returned(i *executor.Instance, ordered time.Time) bool {
	w := o.lead.State().Workers[i.Worker]
	return i.State == executor.Up && w != nil && w.Since.After(ordered)
}

// vacate keeps tasks away from an instance and reports true once nothing runs on
// it. Long-running tasks are stopped as far as their steps allow.
func (o *Orchestrator) vacate(instance string, now boottime.Instant) bool {
	i := o.fleet.instances[instance]
	if i.State != executor.Up {
		return false
	}
	if o.fleet.moves[instance] != nil {
		return false
	}
	s := o.sessions[i.Worker]
	if s == nil {
		// A switched off instance has no worker.
		pool := o.lead.State().Topology.Pool(i.Pool)
		return pool != nil && pool.Spare
	}
	if !s.cordon {
		s.cordon = true
		o.fleet.cordoned[instance] = now
		o.Log.Info("Cordoned an instance for maintenance.", "instance", instance, "worker", s.id, "runs", len(s.orders))
	}
	if o.emptied(s, instance, now) {
		return true
	}
	patient := now.Sub(o.fleet.cordoned[instance]) < drainPatience
	for _, r := range s.orders {
		if r.phase != running && r.phase != starting {
			continue
		}
		j := o.lead.State().Jobs[r.id.Task.Job]
		if j == nil || len(j.Steps) <= r.id.Task.Step {
			continue
		}
		if !j.Steps[r.id.Task.Step].LongRunning && patient {
			continue
		}
		if o.mayInterrupt(j, r) {
			o.stop(s, r, "maintenance")
		}
	}
	return false
}

// emptied tells that nothing runs on a cordoned instance, and that nothing which
// was decided before the cordon can start there any more.
func (o *Orchestrator) emptied(s *session, instance string, now boottime.Instant) bool {
	return s.cordon && now.Sub(o.fleet.cordoned[instance]) >= cordonSettle && o.nothingRunsOn(s)
}

// mayInterrupt tells whether a run may be stopped on purpose: so many tasks of
// its step may be away, those lost without intent included. A new leader waits
// until the stops of its predecessor have had their effect: a run that was told to
// stop is listed as present until it has ended.
func (o *Orchestrator) mayInterrupt(j *workload.Job, r *order) bool {
	step := &j.Steps[r.id.Task.Step]
	if step.MaxUnavailable == nil {
		return true
	}
	if boottime.Now().Sub(o.since) < authority+callTimeout+o.Settings.StopGrace {
		return false
	}
	away := 0
	tasks := j.Occurrences[r.id.Task.Occurrence].Steps[r.id.Task.Step].Tasks
	for i := range tasks {
		if i != r.id.Task.Index && !o.atWork(workload.TaskID{Job: j.ID, Occurrence: r.id.Task.Occurrence, Step: r.id.Task.Step, Index: i}, &tasks[i]) {
			away++
		}
	}
	return away < *step.MaxUnavailable
}

// atWork tells that a long-running task is known to serve.
func (o *Orchestrator) atWork(id workload.TaskID, t *workload.Task) bool {
	now := boottime.Now()
	for _, run := range t.Runs {
		s := o.sessions[run.Worker]
		if s == nil || now.Sub(s.contact) > 2*holdWait {
			continue
		}
		r := s.orders[workload.RunID{Task: id, Number: run.Number}]
		if r != nil && r.phase == running && r.percent >= fullPace {
			return true
		}
	}
	return false
}

// maintenanceApplied calls the platform for what was committed.
func (o *Orchestrator) maintenanceApplied(events []workload.WaveEvent) {
	for _, e := range events {
		w := o.lead.State().Waves[e.Wave]
		if w == nil {
			continue
		}
		if e.Begun && w.Done() {
			o.Log.Info("Completed a maintenance wave.", "wave", w.ID)
		}
		if e.Ordered && !w.Begun[e.Instance] {
			o.maintain(w, e.Instance, boottime.Now())
		}
	}
}

// maintain asks the platform to maintain an instance. It may be asked again, also
// by a new leader, under which tasks may have started there since: the instance
// is emptied first each time.
func (o *Orchestrator) maintain(w *workload.Wave, instance string, now boottime.Instant) {
	f := &o.fleet
	if f.instances[instance].State != executor.Maintenance && !o.vacate(instance, now) {
		return
	}
	if f.calls[instance] || now < f.retry[instance] || !o.mayOrder(now) {
		return
	}
	f.calls[instance] = true
	lead, wave := o.lead, w.ID
	authority := executor.Authority{Holder: o.Holder, Fence: lead.Term()}
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, platformTimeout)
		defer cancel()
		err := o.Instances.Maintain(ctx, authority, instance, wave)
		lead.Post(func() { o.maintained(wave, instance, err) })
	})
}

func (o *Orchestrator) maintained(wave uint64, instance string, err error) {
	f := &o.fleet
	delete(f.calls, instance)
	if err != nil {
		f.retry[instance] = boottime.Now().Add(declinedPause)
		var declined *executor.Declined
		reason := "unanswered"
		if errors.As(err, &declined) {
			reason = declined.Reason
		}
		o.count("platform_failures_total", "maintain "+reason)
		o.Log.Info("The platform did not confirm the maintenance of an instance.", "wave", wave, "instance", instance, "reason", err.Error())
		return
	}
	o.Log.Info("The maintenance of an instance has begun.", "wave", wave, "instance", instance)
	o.pending.Maintenance = append(o.pending.Maintenance, workload.WaveEvent{Wave: wave, Instance: instance, Begun: true})
	// Nothing runs on the former life any more.
	if i, ok := f.instances[instance]; ok {
		if known := o.lead.State().Workers[i.Worker]; known != nil && o.sessions[i.Worker] != nil && o.sessions[i.Worker].cordon {
			o.pending.Gone = append(o.pending.Gone, workload.Life{Worker: i.Worker, Born: known.Born})
		}
	}
}
