package orchestrator

import (
	"context"
	"errors"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

const (
	// drainShare is the time in which a backlog should be worked off by the cores
	// that are asked for: about what a job may wait and still be on time. Steps
	// that wait for others need nothing yet.
	drainShare = time.Second
	// moveHeadroom is how much more than the offered work is asked for.
	moveHeadroom = 1.1
	// cordonSettle is how long an instance is kept free before it is moved, so
	// that starts that were decided before have become orders.
	cordonSettle = 120 * time.Millisecond
	// moveDrainLimit is how long the tasks on an instance may take to end before
	// its move is given up; a peak is over soon after.
	moveDrainLimit = 2500 * time.Millisecond
	// moveLimit is how long a move may take before the instance is looked at anew.
	moveLimit = 5 * time.Second
)

// movePolicy weighs a move at its price against an idle instance's.
var movePolicy = scheduling.MovePolicy{MinDeficit: 0.4, Keep: 0.2, KeepShare: 0.4}

// move is an instance on its way to another pool.
type move struct {
	scheduling.Move
	worker string
	born   int64
	since  boottime.Instant
	called bool // the platform is being asked, or agreed
	agreed bool
}

// tickMoves decides about moves and carries on those under way.
func (o *Orchestrator) tickMoves(now boottime.Instant) {
	f := &o.fleet
	for id, m := range f.moves {
		o.carryOn(id, m, now)
	}
	loads := o.poolLoads(now)
	policy := movePolicy
	for _, i := range f.instances {
		policy.AllCores += float64(i.Capacity.MilliCPU) / 1000
	}
	for _, m := range scheduling.Moves(loads, o.idleInstances(now), policy) {
		o.beginMove(m, now)
	}
	need := 0.0
	for _, l := range loads {
		need += l.Need
	}
	f.load = need / max(policy.AllCores, 1)
	o.logLoads(loads, now)
}

// loadInterval is the time between two log lines about the load of the pools.
const loadInterval = time.Second

func (o *Orchestrator) logLoads(loads []scheduling.PoolLoad, now boottime.Instant) {
	if now.Sub(o.fleet.logged) < loadInterval {
		return
	}
	o.fleet.logged = now
	for _, l := range loads {
		o.Log.V(1).Info("Load of a pool.", "pool", l.Name, "instances", o.fleet.inPool(l.Name),
			"cores", int(l.Have), "used", int(o.outlook.used[l.Name]), "coming", int(l.Coming),
			"need", int(l.Need), "offered", int(l.Offered),
			"work_on_time", int(o.outlook.onTime[l.Name]), "work", int(o.outlook.work[l.Name]))
	}
}

// poolLoads describes the pools as the last placement saw them.
func (o *Orchestrator) poolLoads(now boottime.Instant) []scheduling.PoolLoad {
	f := &o.fleet
	var out []scheduling.PoolLoad
	for _, p := range o.lead.State().Topology.Pools {
		meter := f.demand[p.Name]
		offered := 0.0
		if meter != nil {
			offered = meter.Cores(now) * moveHeadroom
		}
		backlog := min(o.outlook.onTime[p.Name]/drainShare.Seconds(), o.outlook.runnable[p.Name])
		need := max(offered, backlog) + o.outlook.lasting[p.Name]
		load := scheduling.PoolLoad{
			Name: p.Name, Spare: p.Spare, Have: o.outlook.cores[p.Name], Coming: o.coming(p.Name),
			Need: need, Offered: offered, Short: o.outlook.short[p.Name],
		}
		load.Needed = f.needed.note(now, p.Name, need)
		if now.Sub(o.since) < switchOffAfter {
			load.Needed = load.Have // a new leader doesn't know what was needed
		}
		out = append(out, load)
	}
	return out
}

// switchOffAfter is how long cores have to go unused before their instances are
// switched off: two moves cost as much as an instance for 2.3 s, and a peak has
// gaps between single jobs.
const switchOffAfter = 1500 * time.Millisecond

// recentNeeds holds what pools have needed of late.
type recentNeeds map[string][]pastNeed

type pastNeed struct {
	at    boottime.Instant
	cores float64
}

// note adds a need and returns the highest within switchOffAfter.
func (r recentNeeds) note(now boottime.Instant, pool string, need float64) float64 {
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

// coming is what moves and maintenance are about to bring to a pool.
func (o *Orchestrator) coming(pool string) float64 {
	sum := 0.0
	for _, m := range o.fleet.moves {
		if m.To == pool {
			sum += m.Cores
		}
	}
	return sum
}

// arriving is the part of what is coming that needs no more tasks to end first.
func (o *Orchestrator) arriving(pool string) float64 {
	sum := 0.0
	for _, m := range o.fleet.moves {
		if m.To == pool && m.called {
			sum += m.Cores
		}
	}
	return sum
}

// idleInstances returns the instances that run nothing and are not wanted for
// anything else.
func (o *Orchestrator) idleInstances(now boottime.Instant) []scheduling.MovableInstance {
	var out []scheduling.MovableInstance
	s := o.lead.State()
	waves := o.openWaves()
	for _, id := range o.fleet.order {
		i := o.fleet.instances[id]
		pool := s.Topology.Pool(i.Pool)
		if i.State != executor.Up || o.fleet.moves[id] != nil || pool == nil || now < o.fleet.retry[id] || inWave(waves, id) {
			continue
		}
		runs, ok := o.shortRuns(&i, now)
		if !pool.Spare && !ok {
			continue
		}
		out = append(out, scheduling.MovableInstance{ID: id, Pool: i.Pool, Cores: float64(i.Capacity.MilliCPU) / 1000, Runs: runs})
	}
	return out
}

// shortRuns returns the number of tasks on an instance's worker, and whether the
// worker may be given away once they have ended: long-running tasks don't end.
func (o *Orchestrator) shortRuns(i *executor.Instance, now boottime.Instant) (int, bool) {
	s := o.lead.State()
	w, session := s.Workers[i.Worker], o.sessions[i.Worker]
	if w == nil || session == nil || w.Pool != i.Pool || !o.usable(session, w, now) {
		return 0, false
	}
	runs := s.RunsOn(w.ID)
	for id, j := range runs {
		if len(j.Steps) <= id.Task.Step || j.Steps[id.Task.Step].LongRunning {
			return 0, false
		}
	}
	return len(runs), true
}

func inWave(waves []*workload.Wave, instance string) bool {
	for _, w := range waves {
		if at, ordered := w.Ordered[instance]; ordered && !w.Begun[instance] && !at.IsZero() {
			return true
		}
	}
	return false
}

// beginMove keeps tasks away from an instance that is to be moved.
func (o *Orchestrator) beginMove(m scheduling.Move, now boottime.Instant) {
	i := o.fleet.instances[m.Instance]
	next := &move{Move: m, worker: i.Worker, since: now}
	if s := o.sessions[i.Worker]; s != nil {
		if s.cordon {
			return
		}
		s.cordon = true
		next.born = s.born
	}
	o.fleet.moves[m.Instance] = next
	if next.born == 0 {
		o.carryOn(m.Instance, next, now)
	}
	o.Log.Info("Moving an instance.", "instance", m.Instance, "worker", i.Worker, "from", m.From, "to", m.To)
}

// carryOn calls the platform once nothing can start on the instance any more, and
// forgets a move that is done.
func (o *Orchestrator) carryOn(id string, m *move, now boottime.Instant) {
	switch {
	case !m.called && (m.born == 0 || now.Sub(m.since) >= cordonSettle):
		if s := o.sessions[m.worker]; s != nil && !o.nothingRunsOn(s) {
			if now.Sub(m.since) > moveDrainLimit {
				o.endMove(id, m, "busy")
			}
			return
		}
		m.called, m.since = true, now
		o.callMove(id, m)
	case m.agreed && o.arrived(id, m), m.called && now.Sub(m.since) > moveLimit:
		delete(o.fleet.moves, id)
	}
}

// arrived tells that the instance's new worker has reported to its pool.
func (o *Orchestrator) arrived(id string, m *move) bool {
	i := o.fleet.instances[id]
	w := o.lead.State().Workers[i.Worker]
	return i.Pool == m.To && w != nil && w.Pool == m.To || i.Pool == m.To && o.lead.State().Topology.Pool(m.To).Spare
}

func (o *Orchestrator) callMove(id string, m *move) {
	lead := o.lead
	authority := executor.Authority{Holder: o.Holder, Fence: lead.Term()}
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, platformTimeout)
		defer cancel()
		err := o.Instances.Move(ctx, authority, id, m.To)
		lead.Post(func() { o.moveAnswered(id, m, err) })
	})
}

func (o *Orchestrator) moveAnswered(id string, m *move, err error) {
	if o.fleet.moves[id] != m {
		return
	}
	var declined *executor.Declined
	switch {
	case errors.As(err, &declined):
		o.count("platform_failures_total", "move "+declined.Reason)
		o.fleet.retry[id] = boottime.Now().Add(declinedPause)
		o.endMove(id, m, declined.Reason)
	case err != nil:
		// It may still be carried out: the instance stays free, and is asked for
		// again.
		o.count("platform_failures_total", "move unanswered")
		m.called = false
	default:
		o.count("moves_total", m.To)
		m.agreed = true
		if known := o.lead.State().Workers[m.worker]; known != nil && known.Born == m.born {
			o.pending.Gone = append(o.pending.Gone, workload.Life{Worker: m.worker, Born: m.born})
		}
	}
}

// endMove gives up a move and lets tasks start on the instance again.
func (o *Orchestrator) endMove(id string, m *move, reason string) {
	o.Log.Info("Gave up a move.", "instance", id, "to", m.To, "reason", reason)
	delete(o.fleet.moves, id)
	if s := o.sessions[m.worker]; s != nil && s.born == m.born {
		s.cordon = false
	}
}
