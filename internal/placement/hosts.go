package placement

import (
	"sort"

	"cactusspar/internal/state"
)

// fleetIndex indexes the instances and their tasks for one plan.
type fleetIndex struct {
	byPool map[string][]*host
	usable map[string][]*host // active and not ejected at present, by pool
	byID   map[string]*host
	// teamTasks counts the tasks of each team in each rack.
	teamTasks map[teamRack]int
}

type teamRack struct{ team, rack string }

// host is an instance with its tasks and free resources.
type host struct {
	fleet *fleetIndex
	inst  *state.Instance
	free  state.Resources
	tasks []*placedTask
	// trial reports whether the instance gets only one task at a time.
	trial bool
}

// placedTask is a task that occupies resources of a host.
type placedTask struct {
	task     *state.Task
	job      *state.Job
	size     state.Resources
	stopping bool
}

func newFleetIndex(in Input) *fleetIndex {
	f := &fleetIndex{byPool: map[string][]*host{}, usable: map[string][]*host{}, byID: map[string]*host{}, teamTasks: map[teamRack]int{}}
	for i := range in.Instances {
		inst := &in.Instances[i]
		h := &host{fleet: f, inst: inst, free: inst.Resources}
		f.byID[inst.ID] = h
		f.byPool[inst.Pool] = append(f.byPool[inst.Pool], h)
		health := in.Health[inst.ID]
		h.trial = health.Ejected()
		if inst.Condition != state.Active || h.trial && in.Now.Before(health.EjectedUntil) {
			continue
		}
		f.usable[inst.Pool] = append(f.usable[inst.Pool], h)
	}
	return f
}

// addTask adds a task that has not ended to its host.
func (f *fleetIndex) addTask(t *state.Task, job *state.Job) {
	h := f.byID[t.Instance]
	if h == nil {
		return
	}
	// A task that exceeds its reservation counts with its actual usage.
	size := t.Reserved.Max(t.Used)
	h.tasks = append(h.tasks, &placedTask{task: t, job: job, size: size, stopping: t.Status == state.TaskStopping})
	h.free = h.free.Minus(size)
	f.teamTasks[teamRack{job.Team, h.inst.Rack}]++
}

// bestHost returns the host for a job of the given size: the one with the fewest
// tasks of the team in its rack and, among these, the fullest one, which limits
// fragmentation so that large jobs still fit. It returns nil if no host has room.
// The instance on which the job failed last is used only if no other has room.
func (f *fleetIndex) bestHost(job *state.Job, size state.Resources) *host {
	if h := f.bestHostExcept(job, size, job.FailedOn); h != nil || job.FailedOn == "" {
		return h
	}
	return f.bestHostExcept(job, size, "")
}

func (f *fleetIndex) bestHostExcept(job *state.Job, size state.Resources, avoid string) *host {
	var best *host
	bestTeamTasks, bestFree := 0, 0.0
	for _, h := range f.usable[job.Pool] {
		if h.inst.ID == avoid {
			continue
		}
		clamped := h.clamp(size)
		if !clamped.Fits(h.free) || h.trial && len(h.tasks) > 0 {
			continue
		}
		teamTasks, free := f.teamTasks[teamRack{job.Team, h.inst.Rack}], h.freeFraction(clamped)
		if best == nil || teamTasks < bestTeamTasks || teamTasks == bestTeamTasks && free < bestFree {
			best, bestTeamTasks, bestFree = h, teamTasks, free
		}
	}
	return best
}

// clamp limits a reservation to the size of the instance: the margin on top of a
// large declared size must not make a job impossible to place.
func (h *host) clamp(size state.Resources) state.Resources {
	r := h.inst.Resources
	return state.Resources{
		MilliCPU: min(size.MilliCPU, r.MilliCPU), MemoryMB: min(size.MemoryMB, r.MemoryMB), Accelerators: size.Accelerators,
	}
}

// freeFraction returns the fraction of the instance that stays free after a task of
// the given size is placed, as the maximum over the resource dimensions.
func (h *host) freeFraction(size state.Resources) float64 {
	r, f := h.inst.Resources, h.free.Minus(size)
	return max(fraction(f.MilliCPU, r.MilliCPU), fraction(f.MemoryMB, r.MemoryMB), fraction(f.Accelerators, r.Accelerators))
}

func fraction(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (h *host) reserve(job *state.Job, size state.Resources) {
	size = h.clamp(size)
	h.free = h.free.Minus(size)
	h.tasks = append(h.tasks, &placedTask{task: &state.Task{}, job: job, size: size, stopping: true}) // stopping: not preempted in this plan
	h.fleet.teamTasks[teamRack{job.Team, h.inst.Rack}]++
}

// victims returns the tasks to preempt so that size fits, or nil if preempting
// all batch tasks is not enough. The resources of tasks that are already
// stopping count as free.
func (h *host) victims(size state.Resources) []*placedTask {
	size = h.clamp(size)
	free := h.free
	var candidates []*placedTask
	for _, t := range h.tasks {
		switch {
		case t.stopping && t.task.ID != "":
			free = free.Plus(t.size)
		case !t.stopping && t.job.Kind == state.Batch:
			candidates = append(candidates, t)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.job.Priority != b.job.Priority {
			return a.job.Priority > b.job.Priority
		}
		return a.task.StartedAt.After(b.task.StartedAt) // the later one loses less work
	})
	victims := []*placedTask{}
	for _, c := range candidates {
		if size.Fits(free) {
			break
		}
		free = free.Plus(c.size)
		victims = append(victims, c)
	}
	if !size.Fits(free) {
		return nil
	}
	return victims
}
