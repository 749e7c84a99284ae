package orchestrator

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

const (
	// backlogDrainTime is the time within which the requested cores should work off a
	// backlog. It is about as long as a job may wait and still be on time. Steps that
	// wait for other steps need no cores yet.
	backlogDrainTime = time.Second
	// moveHeadroom is the factor by which the requested cores exceed the offered work.
	moveHeadroom = 1.1
	// cordonSettleTime is how long an instance is cordoned before its maintenance may be
	// ordered, so that starts decided before the cordon have become orders.
	cordonSettleTime = 120 * time.Millisecond
	// moveDrainTimeout is how long the tasks on an instance may take to end before its
	// move is given up. A load peak ends soon after that time.
	moveDrainTimeout = 2500 * time.Millisecond
	// unansweredMoveTimeout is how long a move is requested from a platform that doesn't respond. The
	// worker could run tasks in the meantime.
	unansweredMoveTimeout = moveDrainTimeout + drainPatience
	// moveTimeout is how long a requested move may take before it is dropped and the
	// instance may be moved again.
	moveTimeout = 5 * time.Second
)

// movePolicy balances the cost of a move against that of an idle instance.
var movePolicy = scheduling.MovePolicy{MinDeficit: 0.4, Headroom: 0.2, MinShare: 0.4}

// move is the move of an instance to another pool.
type move struct {
	scheduling.Move
	worker      string
	incarnation int64
	since       boottime.Instant // when the drain or the request began
	begunAt     boottime.Instant // when the instance was cordoned
	requested   bool             // the request to the platform is in progress or was accepted
	accepted    bool
	// unanswered is whether an earlier request had no response, so that the move may have
	// taken place.
	unanswered bool
	// withdrawn is set once a request that waits for its turn at the platform must not be sent any
	// more. The goroutine of the call reads it.
	withdrawn atomic.Bool
}

// reasonPoolRetired is the reason of moves that end because the topology doesn't name their pool any
// more.
const reasonPoolRetired = "pool-retired"

// tickMoves advances the moves in progress and starts new ones.
func (o *Orchestrator) tickMoves(now boottime.Instant) {
	f := &o.fleet
	for id, m := range f.moves {
		o.advanceMove(id, m, now)
	}
	loads := o.poolLoads(now)
	policy := movePolicy
	policy.TotalCores = f.cores
	if o.platformAuthority.valid() { // otherwise, instances would be cordoned for nothing
		o.findDemandingSteps(now)
		waves := o.openWaves()
		movable := func(pool string) []scheduling.MovableInstance { return o.movableInstances(pool, waves, now) }
		for _, m := range scheduling.Moves(loads, movable, policy) {
			o.beginMove(m, now)
		}
	}
	need := 0.0
	f.surplus = make(map[string]float64, len(loads))
	for _, l := range loads {
		need += l.Need
		f.surplus[l.Name] = l.Capacity - l.Need
	}
	f.load = need / max(policy.TotalCores, 1)
	o.findArrivals()
	o.logLoads(loads, now)
}

// loadInterval is the interval at which the load of the pools is logged.
const loadInterval = time.Second

func (o *Orchestrator) logLoads(loads []scheduling.PoolLoad, now boottime.Instant) {
	if now.Sub(o.fleet.loadLoggedAt) < loadInterval {
		return
	}
	o.fleet.loadLoggedAt = now
	for _, l := range loads {
		o.Log.V(1).Info("Load of a pool.", "pool", l.Name, "instances", o.fleet.inPool(l.Name),
			"cores", int(l.Capacity), "used", int(o.poolStats.used[l.Name]), "coming", int(l.Incoming),
			"need", int(l.Need), "present", int(l.Present), "offered", int(l.OfferedLoad),
			"work_on_time", int(o.poolStats.onTime[l.Name]), "work", int(o.poolStats.work[l.Name]))
	}
}

// poolLoads returns the load of each pool as of the last placement round.
func (o *Orchestrator) poolLoads(now boottime.Instant) []scheduling.PoolLoad {
	f := &o.fleet
	var out []scheduling.PoolLoad
	for _, p := range o.leadership.State().Topology.Pools {
		meter := f.demand[p.Name]
		offered := 0.0
		if meter != nil {
			offered = meter.Cores(now) * moveHeadroom
		}
		backlog := min(o.poolStats.onTime[p.Name]/backlogDrainTime.Seconds(), o.poolStats.runnable[p.Name])
		need := max(offered, backlog) + o.poolStats.longRunning[p.Name]
		load := scheduling.PoolLoad{
			Name: p.Name, Spare: p.Spare, Capacity: o.poolStats.cores[p.Name], Incoming: o.incomingCores(p.Name),
			Need: need, Present: o.poolStats.runnable[p.Name] + o.poolStats.longRunning[p.Name], OfferedLoad: offered,
			NeedsInstance: o.poolStats.needsInstance[p.Name] || now < f.drainsNeedInstance[p.Name],
		}
		if len(f.byPool[p.Name]) == 0 && load.Present > 0 {
			load.NeedsInstance = true // however little its work is, it would wait for good
		}
		load.RecentPeak = f.poolNeeds.record(now, p.Name, need)
		if now.Sub(o.leadingSince) < switchOffAfter {
			load.RecentPeak = load.Capacity // a new leader doesn't know the recent needs yet
		}
		out = append(out, load)
	}
	for _, name := range o.retiredPools() {
		out = append(out, scheduling.PoolLoad{Name: name, Retired: true})
	}
	return out
}

// retiredPools returns the pools with instances that a former topology named, sorted. Other pools that
// the platform lists belong to somebody else.
func (o *Orchestrator) retiredPools() []string {
	var names []string
	for name := range o.fleet.byPool {
		if _, retired := o.leadership.State().RetiredPools[name]; retired {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// switchOffAfter is how long cores must be unused before their instances are switched
// off. Two moves cost as much as 2.3 s of an instance, and a load peak has gaps between
// its jobs.
const switchOffAfter = 1500 * time.Millisecond

// recentNeeds holds the needs of each pool within switchOffAfter.
type recentNeeds map[string][]pastNeed

type pastNeed struct {
	at    boottime.Instant
	cores float64
}

// record adds a pool's need and returns its highest one within switchOffAfter.
func (r recentNeeds) record(now boottime.Instant, pool string, need float64) float64 {
	kept := r[pool][:0]
	highest := need
	for _, p := range r[pool] {
		if now.Sub(p.at) < switchOffAfter {
			kept = append(kept, p)
			highest = max(highest, p.cores)
		}
	}
	r[pool] = append(kept, pastNeed{now, need})
	return highest
}

// incomingCores returns the cores that moves in progress bring to a pool.
func (o *Orchestrator) incomingCores(pool string) float64 {
	sum := 0.0
	for _, m := range o.fleet.moves {
		if m.To == pool {
			sum += m.Cores
		}
	}
	return sum + o.restartingCores(pool)
}

// restartTime is how long an instance may be down after its worker crashed under a task. Up to
// then it counts as incoming: instances that follow it would crash under the same tasks.
const restartTime = 4 * time.Second

// restartingCores returns the cores of the instances of a pool that are down because a task
// of one of its queues may have crashed their workers.
func (o *Orchestrator) restartingCores(pool string) float64 {
	sum := 0.0
	now := boottime.Now()
	for id, at := range o.fleet.crashedAt {
		i, listed := o.fleet.instances[id]
		switch {
		case now.Sub(at) >= restartTime:
			delete(o.fleet.crashedAt, id)
		case listed && i.State == executor.Down && i.Pool == pool:
			sum += float64(i.Capacity.MilliCPU) / 1000
		}
	}
	return sum
}

// arrivingCores returns the part of incomingCores whose instances no longer wait for
// their tasks to end.
func (o *Orchestrator) arrivingCores(pool string) float64 {
	sum := 0.0
	for _, m := range o.fleet.moves {
		if m.To == pool && m.requested {
			sum += m.Cores
		}
	}
	return sum
}

// findArrivals adds up the cores that are on their way to each pool. Admission asks for them with each
// submission, and a peak brings hundreds of moves and of submissions at the same time.
func (o *Orchestrator) findArrivals() {
	f := &o.fleet
	f.incoming, f.arriving = map[string]float64{}, map[string]float64{}
	for _, p := range o.leadership.State().Topology.Pools {
		f.incoming[p.Name], f.arriving[p.Name] = o.incomingCores(p.Name), o.arrivingCores(p.Name)
	}
}

// movableInstances returns the instances of a pool that run short tasks only or nothing, and
// that are not in a move or a wave. Those of a retired pool run nothing: what still runs there goes on
// to its end.
func (o *Orchestrator) movableInstances(name string, waves []*workload.Wave, now boottime.Instant) []scheduling.MovableInstance {
	var out []scheduling.MovableInstance
	s := o.leadership.State()
	pool := s.Topology.Pool(name)
	var reported map[string][]*workload.Worker
	if pool == nil {
		reported = o.workersByInstance()
	}
	for _, id := range o.fleet.byPool[name] {
		i := o.fleet.instances[id]
		if i.State != executor.Up || o.fleet.moves[id] != nil || s.Evacuated(i.DataCentre) || now < o.fleet.retryAt[id] || inWave(waves, id) {
			continue
		}
		if pool == nil {
			if o.idleInRetiredPool(&i, reported[id], now) {
				out = append(out, scheduling.MovableInstance{ID: id, Pool: i.Pool, Cores: float64(i.Capacity.MilliCPU) / 1000})
			}
			continue
		}
		drainTime, ok := o.drainTime(&i, now)
		if !pool.Spare && (!ok || drainTime > moveDrainTimeout) {
			continue
		}
		out = append(out, scheduling.MovableInstance{ID: id, Pool: i.Pool, Cores: float64(i.Capacity.MilliCPU) / 1000, DrainTime: drainTime, Kept: o.fleet.kept[id]})
	}
	o.keepOnlyWorkers(name, out, now)
	return out
}

// workersByInstance returns the known workers of each instance that was ever listed with them.
func (o *Orchestrator) workersByInstance() map[string][]*workload.Worker {
	out := map[string][]*workload.Worker{}
	for id, w := range o.leadership.State().Workers {
		if instance, listed := o.fleet.instanceOf[id]; listed {
			out[instance] = append(out[instance], w)
		}
	}
	return out
}

// idleInRetiredPool reports whether nothing runs or can start on an instance of a retired pool, given
// its known workers. An entry of the list that doesn't agree with what they report proves nothing. An
// instance without one is switched off, or its worker hasn't reported and gets no tasks.
func (o *Orchestrator) idleInRetiredPool(i *executor.Instance, reported []*workload.Worker, now boottime.Instant) bool {
	for _, w := range reported {
		s := o.sessions[w.ID]
		if w.ID != i.Worker || w.Pool != i.Pool || w.Draining || w.Cordoned || s == nil || !o.responds(s, now) || !o.nothingRunsOn(s) {
			return false
		}
	}
	return true
}

// keepOnlyWorkers keeps those of a pool's movable instances where they are without whose workers the
// pool has no room for a step of an open job. An instance that is lent comes back by the cores that
// its pool needs, whatever its label and size.
func (o *Orchestrator) keepOnlyWorkers(pool string, movable []scheduling.MovableInstance, now boottime.Instant) {
	needs := o.demandingSteps[pool]
	if len(needs) == 0 || len(movable) == 0 {
		return
	}
	lendable := map[string]*scheduling.MovableInstance{} // by worker
	for i := range movable {
		if !movable[i].Kept {
			lendable[o.fleet.instances[movable[i].ID].Worker] = &movable[i]
		}
	}
	var workers []*scheduling.Worker
	for _, s := range o.sortedSessions() {
		if w := s.worker; w != nil && w.Pool == pool && s.viewOf == w && o.usable(s, w, now) {
			workers = append(workers, &s.view)
		}
	}
	for _, d := range needs {
		d.KeepRoom(workers, func(w *scheduling.Worker) bool { return lendable[w.ID] != nil }, func(w *scheduling.Worker) {
			lendable[w.ID].Kept = true
			delete(lendable, w.ID)
			o.count("moves_prevented_total", "only-worker")
		})
	}
}

// minDrainTime is the drain time of an instance whose tasks should have ended.
const minDrainTime = 100 * time.Millisecond

// drainTime returns how long the runs on an instance's worker are expected to go on, and
// whether the instance can be moved once they have ended. Long-running tasks don't end by
// themselves.
func (o *Orchestrator) drainTime(i *executor.Instance, now boottime.Instant) (time.Duration, bool) {
	s := o.leadership.State()
	w, session := s.Workers[i.Worker], o.sessions[i.Worker]
	if w == nil || session == nil || w.Pool != i.Pool || !o.usable(session, w, now) {
		return 0, false
	}
	longest := time.Duration(0)
	for id, j := range s.RunsOn(w.ID) {
		if len(j.Steps) <= id.Task.Step || j.Steps[id.Task.Step].LongRunning {
			return 0, false
		}
		left := o.jobPlan(j).tasks[id.Task.Step]
		if r := session.orders[id]; r != nil && r.sentAt != 0 {
			left -= now.Sub(r.sentAt)
		}
		longest = max(longest, left, minDrainTime)
	}
	return longest, true
}

// inWave reports whether the maintenance of an instance is ordered and has not started.
func inWave(waves []*workload.Wave, instance string) bool {
	for _, w := range waves {
		if at, ordered := w.Ordered[instance]; ordered && !w.Started[instance] && !at.IsZero() {
			return true
		}
	}
	return false
}

// beginMove cordons an instance that is to be moved.
func (o *Orchestrator) beginMove(m scheduling.Move, now boottime.Instant) {
	i := o.fleet.instances[m.Instance]
	next := &move{Move: m, worker: i.Worker, since: now, begunAt: now}
	if s := o.sessions[i.Worker]; s != nil {
		if s.cordoned {
			return
		}
		s.cordoned = true
		next.incarnation = s.incarnation
		o.ensureCordoned(i.Worker) // is committed while the tasks on the instance end
	}
	o.fleet.moves[m.Instance] = next
	if next.incarnation == 0 {
		o.advanceMove(m.Instance, next, now)
	}
	o.Log.Info("Moving an instance.", "instance", m.Instance, "worker", i.Worker, "from", m.From, "to", m.To)
}

// advanceMove requests the move from the platform once nothing runs or can start on the
// instance: a start that was committed before the cordon is a run on the worker, and none
// is committed after it. It drops a move that is complete or has timed out.
func (o *Orchestrator) advanceMove(id string, m *move, now boottime.Instant) {
	switch {
	case !m.accepted && o.leadership.State().Topology.Pool(m.To) == nil:
		o.withdrawMove(id, m, now)
	case !m.requested:
		if s := o.sessions[m.worker]; s != nil && !o.nothingRunsOn(s) {
			if now.Sub(m.since) > moveDrainTimeout {
				o.abandonMove(id, m, "busy")
			}
			return
		}
		if i := o.fleet.instances[id]; m.unanswered && (i.Worker != m.worker || i.Pool != m.From) {
			delete(o.fleet.moves, id) // the instance may run another worker by now
			return
		}
		if m.unanswered && now.Sub(m.begunAt) > unansweredMoveTimeout {
			o.giveUpUnanswered(id, m, now)
			return
		}
		if o.platformAuthority.valid() && o.ensureCordoned(m.worker) && o.callMove(id, m) {
			m.requested, m.since = true, now
		}
	case m.accepted && o.arrived(id, m), m.requested && now.Sub(m.since) > moveTimeout:
		delete(o.fleet.moves, id)
	}
}

// withdrawMove ends a move that was not accepted to a pool that the topology doesn't name any more.
// An instance that arrives there in spite of it is brought back like any other of a retired pool.
func (o *Orchestrator) withdrawMove(id string, m *move, now boottime.Instant) {
	m.withdrawn.Store(true)
	i := o.fleet.instances[id]
	switch {
	case m.requested && now.Sub(m.since) <= moveTimeout: // its response is outstanding
	case m.requested || m.unanswered && (i.Worker != m.worker || i.Pool != m.From):
		delete(o.fleet.moves, id) // a later list shows where the instance is
	case m.unanswered:
		o.giveUpUnanswered(id, m, now)
	default:
		o.abandonMove(id, m, reasonPoolRetired)
	}
}

// giveUpUnanswered gives up a move whose requests had no response, once the worker is known to go on.
func (o *Orchestrator) giveUpUnanswered(id string, m *move, now boottime.Instant) {
	s := o.sessions[m.worker]
	switch {
	case s == nil || s.incarnation != m.incarnation || s.worker == nil:
		delete(o.fleet.moves, id) // the worker has ended
	case o.orderSettled(id, s):
		o.fleet.retryAt[id] = now.Add(firstDrainPause)
		o.abandonMove(id, m, "unanswered")
	default:
		o.probe(s, s.worker, now)
	}
}

// arrived reports whether the instance's worker has reported from the new pool. A spare pool has no
// workers, and those of a retired one need not be awaited.
func (o *Orchestrator) arrived(id string, m *move) bool {
	i, s := o.fleet.instances[id], o.leadership.State()
	if i.Pool != m.To {
		return false
	}
	if s.Topology.Pool(m.To) == nil {
		return i.State == executor.Up
	}
	w := s.Workers[i.Worker]
	return w != nil && w.Pool == m.To || s.SpareInstances(m.To)
}

// callMove requests a move and reports whether the request is in progress.
func (o *Orchestrator) callMove(id string, m *move) bool {
	return o.sendToPlatform(platformOrder{
		kind: "move", instance: id, needed: func() bool { return !m.withdrawn.Load() },
		send: func(ctx context.Context, a executor.Authority) error { return o.Instances.Move(ctx, a, id, m.To) },
		done: func(err error) { o.handleMoveResponse(id, m, err) },
	})
}

func (o *Orchestrator) handleMoveResponse(id string, m *move, err error) {
	if o.fleet.moves[id] != m {
		return
	}
	if err != nil {
		o.count("platform_failures_total", "move "+platformResult(err))
	}
	var declined *executor.DeclinedError
	switch {
	case errors.As(err, &declined):
		o.fleet.retryAt[id] = boottime.Now().Add(declinedPause)
		if m.unanswered {
			delete(o.fleet.moves, id) // the cordon ends by a later list, see releaseStaleCordons
			return
		}
		o.abandonMove(id, m, declined.Reason)
	case err != nil:
		// The move may still be carried out: the instance stays cordoned, and the
		// request is repeated.
		m.requested, m.unanswered = false, true
	default:
		o.count("moves_total", m.To)
		m.accepted = true
		if known := o.leadership.State().Workers[m.worker]; known != nil && known.Incarnation == m.incarnation {
			o.proposeRemoval(workload.WorkerIncarnation{Worker: m.worker, Incarnation: m.incarnation})
		}
	}
}

// abandonMove gives up a move and uncordons the instance.
func (o *Orchestrator) abandonMove(id string, m *move, reason string) {
	o.Log.Info("Gave up a move.", "instance", id, "to", m.To, "reason", reason)
	delete(o.fleet.moves, id)
	if s := o.sessions[m.worker]; s != nil && s.incarnation == m.incarnation {
		o.uncordon(s)
	}
}
