package scheduling

import "slices"

// DrainGroup is the long-running tasks of a step at work on a worker that is to be drained.
type DrainGroup struct {
	// Demand holds the step and the requirements of its tasks.
	Demand *Demand
	// Tasks is the number of the step's tasks at work on the worker.
	Tasks int
	// Limited reports that the step has a disruption budget. Budget is how many of its tasks may be
	// unavailable, Away how many others are.
	Limited      bool
	Budget, Away int
}

// DrainBlock is why a worker can't be drained now. The values are stable.
type DrainBlock string

const (
	// NoRoomElsewhere means that tasks have no other worker to run on, and that their budget doesn't
	// allow to stop all of them until the worker is back, or any.
	NoRoomElsewhere DrainBlock = "no-room-elsewhere"
	// NoBudget means that tasks of a step are away, so that its budget allows no further stop.
	NoBudget DrainBlock = "no-budget"
)

// DrainPlan is how the tasks of a worker get out of the way of its maintenance: on other workers as
// far as these have room. The others are stopped together, once nothing else runs on the worker, and
// run again when it is back.
type DrainPlan struct {
	// Blocked is empty if the worker can be drained; Step is the step that blocks it otherwise.
	Blocked DrainBlock
	Step    StepKey
	// Stop is how many tasks of each group may be stopped now. Together reports that these are all
	// that are left, which run again when the worker is back: they have a claim to it.
	Stop     []int
	Together bool
}

// PlanDrain plans the drain of a worker. alone reports that nothing else runs on it than the tasks
// of the groups. rooms is the room on the workers that remain, of which the plan takes what the
// tasks need unless it is blocked.
func PlanDrain(groups []DrainGroup, alone bool, rooms *Rooms) DrainPlan {
	plan := DrainPlan{Stop: make([]int, len(groups))}
	before, relocated := len(rooms.taken), 0
	for i := range groups {
		g := &groups[i]
		elsewhere := rooms.Take(g.Demand, g.Tasks)
		relocated += elsewhere
		plan.Stop[i] = min(elsewhere, g.allowed())
		if block := g.block(g.Tasks - elsewhere); block == NoRoomElsewhere || block != "" && plan.Blocked == "" {
			plan.Blocked, plan.Step = block, g.Demand.Key
		}
	}
	plan.Together = plan.Blocked == "" && relocated == 0 && alone
	for i := range groups {
		switch {
		case plan.Blocked == NoRoomElsewhere:
			plan.Stop[i] = 0 // in vain
		case plan.Together:
			plan.Stop[i] = groups[i].Tasks
		}
	}
	if plan.Blocked != "" {
		rooms.undoTo(before)
	}
	return plan
}

// allowed returns how many tasks of a step its budget allows to stop.
func (g *DrainGroup) allowed() int {
	if !g.Limited {
		return g.Tasks
	}
	return max(g.Budget-g.Away, 0)
}

// block returns why the budget of a step doesn't allow the drain if a number of its tasks have to
// stay away until the worker is back.
func (g *DrainGroup) block(staying int) DrainBlock {
	switch {
	case !g.Limited || g.Tasks == 0:
		return ""
	case staying > g.Budget || g.Budget == 0:
		return NoRoomElsewhere
	case g.allowed() < max(staying, 1):
		return NoBudget
	}
	return ""
}

// Awaited returns those of the workers that are being drained for which a demand waits: it suits
// them, and the usable workers have no room for the tasks that must run at the same time.
func Awaited(waiting []*Demand, usable, drained []*Worker) map[string]bool {
	var awaited map[string]bool
	lasting := NewRooms(usable)
	for _, d := range waiting {
		suits := func(w *Worker) bool { return d.Suits(w) }
		if !slices.ContainsFunc(drained, suits) {
			continue
		}
		needed := d.neededAtOnce()
		if d.Step.LongRunning && lasting.Take(d, needed) >= needed || !d.Step.LongRunning && d.RoomOn(usable, func(*Worker) bool { return true }) {
			continue
		}
		if awaited == nil {
			awaited = map[string]bool{}
		}
		for _, w := range drained {
			if suits(w) {
				awaited[w.ID] = true
			}
		}
	}
	return awaited
}
