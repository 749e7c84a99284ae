package placement

import (
	"sort"

	"cactusspar/internal/state"
)

// fleet indexes the instances for one plan.
type fleet struct {
	all    map[string][]*host // by pool
	usable map[string][]*host // active ones
	byID   map[string]*host
	// spread counts the tasks of a team in a rack.
	spread map[teamRack]int
}

type teamRack struct{ team, rack string }

// host is an instance as a place for tasks.
type host struct {
	fleet *fleet
	inst  *state.Instance
	free  state.Resources
	tasks []*hosted
	// trial tells that the instance gets one task at a time.
	trial bool
}

// hosted is a task on a host.
type hosted struct {
	task     *state.Task
	job      *state.Job
	size     state.Resources
	stopping bool
}

func newFleet(in Input) *fleet {
	f := &fleet{all: map[string][]*host{}, usable: map[string][]*host{}, byID: map[string]*host{}, spread: map[teamRack]int{}}
	for i := range in.Instances {
		inst := &in.Instances[i]
		h := &host{fleet: f, inst: inst, free: inst.Resources}
		f.byID[inst.ID] = h
		f.all[inst.Pool] = append(f.all[inst.Pool], h)
		health := in.Health[inst.ID]
		h.trial = health.Ejected()
		if inst.Condition != state.Active || h.trial && in.Now.Before(health.Until) {
			continue
		}
		f.usable[inst.Pool] = append(f.usable[inst.Pool], h)
	}
	return f
}

// host counts a task that is not ended.
func (f *fleet) host(t *state.Task, job *state.Job) {
	h := f.byID[t.Instance]
	if h == nil {
		return
	}
	// A task that uses more than its reservation takes what it uses.
	size := t.Reserved.Max(t.Used)
	h.tasks = append(h.tasks, &hosted{task: t, job: job, size: size, stopping: t.Status == state.TaskStopping})
	h.free = h.free.Minus(size)
	f.spread[teamRack{job.Team, h.inst.Rack}]++
}

// best returns the instance for a job of that size: the one with the fewest of
// the team's tasks in its rack, and among these the fullest, so that room for
// large jobs stays in one piece. It returns nil if none has room.
// The instance where the job failed last is taken only if no other has room.
func (f *fleet) best(job *state.Job, size state.Resources) *host {
	if h := f.bestBut(job, size, job.FailedOn); h != nil || job.FailedOn == "" {
		return h
	}
	return f.bestBut(job, size, "")
}

func (f *fleet) bestBut(job *state.Job, size state.Resources, avoid string) *host {
	var best *host
	bestSpread, bestLeft := 0, 0.0
	for _, h := range f.usable[job.Pool] {
		if h.inst.ID == avoid {
			continue
		}
		clipped := h.clip(size)
		if !clipped.Fits(h.free) || h.trial && len(h.tasks) > 0 {
			continue
		}
		spread, left := f.spread[teamRack{job.Team, h.inst.Rack}], h.left(clipped)
		if best == nil || spread < bestSpread || spread == bestSpread && left < bestLeft {
			best, bestSpread, bestLeft = h, spread, left
		}
	}
	return best
}

// clip bounds a reservation by the instance's size: a margin on top of a large
// declared size must not make a job impossible.
func (h *host) clip(size state.Resources) state.Resources {
	r := h.inst.Resources
	return state.Resources{
		MilliCPU: min(size.MilliCPU, r.MilliCPU), MemoryMB: min(size.MemoryMB, r.MemoryMB), Accelerators: size.Accelerators,
	}
}

// left returns the part of the instance that stays free, as the largest of its
// dimensions.
func (h *host) left(size state.Resources) float64 {
	r, f := h.inst.Resources, h.free.Minus(size)
	return max(part(f.MilliCPU, r.MilliCPU), part(f.MemoryMB, r.MemoryMB), part(f.Accelerators, r.Accelerators))
}

func part(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (h *host) take(job *state.Job, size state.Resources) {
	size = h.clip(size)
	h.free = h.free.Minus(size)
	h.tasks = append(h.tasks, &hosted{task: &state.Task{}, job: job, size: size, stopping: true}) // not a victim in this plan
	h.fleet.spread[teamRack{job.Team, h.inst.Rack}]++
}

// victims returns the tasks to stop so that size fits, or nil if stopping all
// that may be stopped is not enough. Tasks that are being stopped already make
// room at no cost.
func (h *host) victims(size state.Resources) []*hosted {
	size = h.clip(size)
	free := h.free
	var candidates []*hosted
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
		return a.task.StartedAt.After(b.task.StartedAt) // the younger one loses less
	})
	victims := []*hosted{}
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
