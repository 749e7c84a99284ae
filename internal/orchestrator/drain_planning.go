package orchestrator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// drainPlanning is what the drains of one tick are planned with. The room of the pools is found once
// for all of them, and each drain takes from it what its tasks need: those that have begun before the
// others, the oldest first.
type drainPlanning struct {
	at boottime.Instant
	// rooms is the room on the usable workers of each pool, less what long-running tasks need that
	// wait or whose workers are being drained.
	rooms map[string]*scheduling.Rooms
	// drains holds the plans of drains by their workers.
	drains map[string]*plannedDrain
	// away is how many tasks of a step are not known to serve, or are stopped by a plan.
	away map[workload.StepID]int
	// awaited holds the workers in a drain without progress that waiting tasks need, once it is known.
	awaited map[string]bool
	usable  []*scheduling.Worker
	// newPlans is the number of drains that have not begun and were planned, until is when this tick
	// plans no further ones.
	newPlans int
	until    time.Time
}

// plannedDrain is the plan of a drain and the runs at work on its worker by the step of its groups.
type plannedDrain struct {
	scheduling.DrainPlan
	runs [][]*order
}

const (
	// drainPlanningTime is how long a tick plans drains that have not begun. The next tick goes on with
	// the others, so that waves leave the owning goroutine to starts, commits and responses whatever the
	// size of the fleet is.
	drainPlanningTime = fleetInterval / 20
	// busyDrainPlanningTime is the same while the leader is behind.
	busyDrainPlanningTime = fleetInterval / 100
)

// drainPlanning returns the planning of the tick with the given time.
func (o *Orchestrator) drainPlanning(now boottime.Instant) *drainPlanning {
	if p := o.fleet.planning; p != nil && p.at == now {
		return p
	}
	p := &drainPlanning{at: now, rooms: map[string]*scheduling.Rooms{}, drains: map[string]*plannedDrain{}, away: map[workload.StepID]int{}}
	o.fleet.planning = p
	p.findRooms(o, now)
	p.planBegun(o)
	limit := drainPlanningTime
	if o.stepDelay(now) >= behindAfter {
		limit = busyDrainPlanningTime
	}
	p.until = time.Now().Add(limit)
	return p
}

// findRooms finds the room of the pools in one pass over the workers.
func (p *drainPlanning) findRooms(o *Orchestrator, now boottime.Instant) {
	byPool := map[string][]*scheduling.Worker{}
	for _, s := range o.sortedSessions() {
		if w := s.worker; w != nil && s.viewOf == w && o.usable(s, w, now) {
			byPool[w.Pool] = append(byPool[w.Pool], &s.view)
			p.usable = append(p.usable, &s.view)
		}
	}
	o.load.drainVisits += len(o.sessions)
	for pool, workers := range byPool {
		p.rooms[pool] = scheduling.NewRooms(workers)
	}
	for _, d := range o.unplaced {
		if d.Step.LongRunning {
			p.roomsOf(d.Pool).Take(d, len(d.Waiting))
		}
	}
}

func (p *drainPlanning) roomsOf(pool string) *scheduling.Rooms {
	r := p.rooms[pool]
	if r == nil {
		r = scheduling.NewRooms(nil)
		p.rooms[pool] = r
	}
	return r
}

// planBegun plans the drains that have begun.
func (p *drainPlanning) planBegun(o *Orchestrator) {
	begun := slices.SortedFunc(maps.Values(o.fleet.drains), func(a, b *drain) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.worker, b.worker))
	})
	for _, d := range begun {
		s := o.sessions[d.worker]
		if s == nil || s.incarnation != d.incarnation || s.worker == nil {
			continue
		}
		rooms := p.roomsOf(s.worker.Pool)
		rooms.Leave(s.id)
		rooms.StayAway()
		if plan, groups := p.plan(o, s); plan.Blocked != "" {
			for i := range groups {
				rooms.Take(groups[i].Demand, groups[i].Tasks) // kept until the plan is no longer blocked
			}
		}
	}
}

// planNew plans the drain of an instance that has not begun, and reports whether it may begin. A
// blocked plan takes no room.
func (p *drainPlanning) planNew(o *Orchestrator, instance string, s *session) bool {
	if s.worker == nil {
		return true // its removal is committed
	}
	p.newPlans++
	if retry := o.fleet.drainRetries[instance]; p.stillBlocked(o, s, &retry) {
		p.drains[s.id] = &plannedDrain{DrainPlan: scheduling.DrainPlan{Blocked: retry.block, Step: retry.step}}
		return false
	}
	rooms := p.roomsOf(s.worker.Pool)
	rooms.Leave(s.id)
	if plan, _ := p.plan(o, s); plan.Blocked != "" {
		rooms.Return()
		return false
	}
	rooms.StayAway()
	return true
}

// stillBlocked reports whether what blocked the last plan of a drain blocks it now, too: runs of the same
// step are on the worker, whose budget is used up elsewhere, or for which there is no room.
func (p *drainPlanning) stillBlocked(o *Orchestrator, s *session, retry *drainRetry) bool {
	j := o.leadership.State().Jobs[retry.step.Job]
	if retry.block == "" || retry.runs != len(s.orders) || j == nil || j.Status.Ended() {
		return false
	}
	if len(j.Steps) <= retry.step.Step || len(j.Occurrences) <= retry.step.Occurrence || j.Steps[retry.step.Step].MaxUnavailable == nil {
		return false // another job has the same ID by now
	}
	here, awayHere := 0, 0
	tasks := j.Occurrences[retry.step.Occurrence].Steps[retry.step.Step].Tasks
	for id, r := range s.orders {
		if id.Task.StepID() != retry.step || r.phase != running && r.phase != starting {
			continue
		}
		if here++; !o.serving(id.Task, &tasks[id.Task.Index]) {
			awayHere++
		}
	}
	if retry.block == scheduling.NoBudget {
		return here > 0 && p.tasksAway(o, retry.step)-awayHere >= *j.Steps[retry.step.Step].MaxUnavailable
	}
	rooms := p.roomsOf(s.worker.Pool)
	defer p.countVisits(o, rooms, rooms.Visits())
	return here > 0 && !rooms.HasRoom(o.demandOf(j, retry.step, s.worker.Pool))
}

func (p *drainPlanning) countVisits(o *Orchestrator, rooms *scheduling.Rooms, before int) {
	o.load.drainVisits += rooms.Visits() - before
}

// plan plans the drain of a worker, and takes the room that its tasks need unless the plan is blocked.
func (p *drainPlanning) plan(o *Orchestrator, s *session) (*plannedDrain, []scheduling.DrainGroup) {
	o.load.drainPlans++
	planned := &plannedDrain{}
	p.drains[s.id] = planned
	groups, runs := o.lastingRuns(s, p)
	if len(groups) == 0 {
		return planned, nil
	}
	rooms := p.roomsOf(s.worker.Pool)
	defer p.countVisits(o, rooms, rooms.Visits())
	for i := range groups {
		rooms.Take(groups[i].Demand, o.stopping(s, groups[i].Demand.Key))
	}
	planned.DrainPlan, planned.runs = scheduling.PlanDrain(groups, o.runsOnly(s, runs), rooms), runs
	for i := range groups {
		if groups[i].Limited {
			p.away[groups[i].Demand.Key] += planned.Stop[i]
		}
	}
	return planned, groups
}

// planOf returns the plan of a worker's drain, which is empty if nothing that lasts runs on it.
func (p *drainPlanning) planOf(s *session) *plannedDrain {
	if plan := p.drains[s.id]; plan != nil {
		return plan
	}
	return &plannedDrain{}
}

// tasksAway returns how many tasks of a step are not known to serve, or are stopped by a plan.
func (p *drainPlanning) tasksAway(o *Orchestrator, key workload.StepID) int {
	n, known := p.away[key]
	if known {
		return n
	}
	tasks := o.leadership.State().Jobs[key.Job].Occurrences[key.Occurrence].Steps[key.Step].Tasks
	for i := range tasks {
		if !o.serving(workload.TaskID{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: i}, &tasks[i]) {
			n++
		}
	}
	p.away[key] = n
	return n
}

// isAwaited reports whether a task waits for a worker in a drain without progress.
func (p *drainPlanning) isAwaited(o *Orchestrator, worker string, now boottime.Instant) bool {
	if p.awaited == nil {
		var stalled []*scheduling.Worker
		for _, d := range o.fleet.drains {
			if s := o.sessions[d.worker]; s != nil && s.viewOf != nil && now.Sub(d.progressAt) >= drainPatience {
				stalled = append(stalled, &s.view)
			}
		}
		p.awaited = scheduling.Awaited(slices.Concat(o.unplaced, o.unadvised), p.usable, stalled)
		if p.awaited == nil {
			p.awaited = map[string]bool{}
		}
	}
	return p.awaited[worker]
}

// timeOver reports whether this tick plans no further drains. It plans one in any case, so that a wave
// makes progress.
func (p *drainPlanning) timeOver() bool { return p.newPlans > 0 && time.Now().After(p.until) }
