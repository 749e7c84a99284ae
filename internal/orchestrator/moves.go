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
	// that are asked for: about what a job may wait and still be on time.
	drainShare = time.Second
	// moveHeadroom is how much more than the offered work is asked for.
	moveHeadroom = 1.1
	// cordonSettle is how long an instance is kept free before it is moved, so
	// that starts that were decided before have become orders.
	cordonSettle = 120 * time.Millisecond
	// moveLimit is how long a move may take before the instance is looked at anew.
	moveLimit = 5 * time.Second
)

// movePolicy weighs a move at its price against an idle instance's.
var movePolicy = scheduling.MovePolicy{MinDeficit: 0.4, Keep: 0.2, KeepCores: 64, ParkAfter: 4 * time.Second}

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
	for _, m := range scheduling.Moves(o.poolLoads(now), o.idleInstances(now), movePolicy) {
		o.beginMove(m, now)
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
			offered = meter.cores(now) * moveHeadroom
		}
		need := max(offered, o.outlook.onTime[p.Name]/drainShare.Seconds()) + o.outlook.lasting[p.Name]
		load := scheduling.PoolLoad{Name: p.Name, Spare: p.Spare, Have: o.outlook.cores[p.Name], Need: need, Coming: o.coming(p.Name)}
		if need > load.Have/2 || f.busy[p.Name] == 0 {
			f.busy[p.Name] = now
		}
		load.Quiet = now.Sub(f.busy[p.Name])
		out = append(out, load)
	}
	return out
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
		if !pool.Spare && !o.idle(&i, now) {
			continue
		}
		out = append(out, scheduling.MovableInstance{ID: id, Pool: i.Pool, Cores: float64(i.Capacity.MilliCPU) / 1000})
	}
	return out
}

// idle tells that an instance's worker is usable and runs nothing.
func (o *Orchestrator) idle(i *executor.Instance, now boottime.Instant) bool {
	w := o.lead.State().Workers[i.Worker]
	s := o.sessions[i.Worker]
	return w != nil && s != nil && w.Pool == i.Pool && o.usable(s, w, now) && len(s.orders) == 0 && len(o.lead.State().RunsOn(w.ID)) == 0
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
	o.Log.Info("Moving an instance.", "instance", m.Instance, "worker", i.Worker, "from", m.From, "to", m.To)
}

// carryOn calls the platform once nothing can start on the instance any more, and
// forgets a move that is done.
func (o *Orchestrator) carryOn(id string, m *move, now boottime.Instant) {
	switch {
	case !m.called && now.Sub(m.since) >= cordonSettle:
		if s := o.sessions[m.worker]; s != nil && (len(s.orders) > 0 || len(o.lead.State().RunsOn(m.worker)) > 0) {
			o.endMove(id, m, "busy")
			return
		}
		m.called = true
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
