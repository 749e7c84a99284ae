package scheduling

import (
	"math"
	"slices"

	"cactusspar/internal/resources"
)

// A worker may be lost to a step for good, because of its label, its size or its policy, or for
// some time, because it is drained, avoided, reserved or full. What is lost for some time counts as
// a reason to wait only if another worker can run the step: Suits decides about the former, RoomOn
// and Rooms about the latter.

// Suits reports whether a worker meets the requirements of a demand that don't change: its label,
// its size in each resource and the verdict of the policy service.
func (d *Demand) Suits(w *Worker) bool {
	return w.Pool == d.Pool && Fits(d.Step, w.Capacity) && (d.Step.Label == "" || slices.Contains(w.Labels, d.Step.Label)) && !d.RefusedWorkers[w.ID]
}

// neededAtOnce returns for how many tasks of a demand there must be room at the same time, so that
// none waits for good: a gang runs as a whole, and long-running tasks don't make room for others.
func (d *Demand) neededAtOnce() int {
	switch {
	case d.Step.Gang:
		return max(d.Step.Count, 1)
	case d.Step.LongRunning:
		return max(len(d.Waiting), 1)
	}
	return 1
}

// places returns for how many tasks of a demand a worker with the given free resources has room.
// ofStep is the number of the step's tasks that stay on it.
func (d *Demand) places(free resources.Amount, ofStep int) int {
	n := int64(math.MaxInt32)
	need := OccupiedResources(d.Step)
	for _, r := range [][2]int64{{need.MilliCPU, free.MilliCPU}, {need.MemoryMB, free.MemoryMB}, {need.Accelerators, free.Accelerators}} {
		if r[0] > 0 {
			n = min(n, max(r[1], 0)/r[0])
		}
	}
	if d.Step.MaxPerWorker > 0 {
		n = min(n, int64(max(d.Step.MaxPerWorker-ofStep, 0)))
	}
	return int(n)
}

// staying returns the number of a demand's tasks on a worker that don't end by themselves.
func (d *Demand) staying(w *Worker) int {
	if !d.Step.LongRunning {
		return 0
	}
	return w.tasksOf(d.Key)
}

// RoomOn reports whether the workers that may be used have room for the tasks of a demand that
// must run at the same time, once the short tasks on these workers have ended.
func (d *Demand) RoomOn(workers []*Worker, mayUse func(*Worker) bool) bool {
	missing := d.neededAtOnce()
	for _, w := range workers {
		if !d.Suits(w) || !mayUse(w) {
			continue
		}
		missing -= d.places(w.Capacity.Minus(w.Lasting), d.staying(w))
		if missing <= 0 {
			return true
		}
	}
	return false
}

// KeepRoom calls keep for those of the workers that may be lent to another pool without which the
// others have no room for the tasks of a demand that must run at the same time.
func (d *Demand) KeepRoom(workers []*Worker, lendable func(*Worker) bool, keep func(*Worker)) {
	everyWorker := func(*Worker) bool { return true }
	if d.RoomOn(workers, func(w *Worker) bool { return !lendable(w) }) || !d.RoomOn(workers, everyWorker) {
		return
	}
	missing := d.neededAtOnce()
	for _, kept := range []bool{true, false} {
		for _, w := range workers {
			if missing <= 0 {
				return
			}
			if !d.Suits(w) || lendable(w) == kept {
				continue
			}
			places := d.places(w.Capacity.Minus(w.Lasting), d.staying(w))
			if places > 0 && !kept {
				keep(w)
			}
			missing -= places
		}
	}
}

// Rooms is the room on workers, less what was taken from it. The workers that are full for a step are
// passed over from then on: many demands of one step cost one pass over the workers.
type Rooms struct {
	workers []*Worker
	index   map[string]int // of each worker, by its ID
	free    []resources.Amount
	// left reports the workers that were taken out of the rooms. leaving is one that may be put back,
	// or -1; leavingFrom is the number of takings before it left.
	left                 []bool
	leaving, leavingFrom int
	taken                []taking
	// takenOn is the number of takings on each worker, ofStep that of a step on a worker.
	takenOn []int
	ofStep  map[stepOnWorker]int
	full    map[StepKey]*fullWorkers
	visits  int
}

// taking is the room for one task of a demand on the worker with an index.
type taking struct {
	worker int
	demand *Demand
}

type stepOnWorker struct {
	worker int
	step   StepKey
}

// fullWorkers is the number of the first workers that have no room for a demand.
type fullWorkers struct {
	demand *Demand
	n      int
}

// NewRooms returns the room on workers once their short tasks have ended.
func NewRooms(workers []*Worker) *Rooms {
	r := &Rooms{
		workers: workers, index: make(map[string]int, len(workers)), free: make([]resources.Amount, len(workers)), left: make([]bool, len(workers)), leaving: -1,
		takenOn: make([]int, len(workers)), ofStep: map[stepOnWorker]int{}, full: map[StepKey]*fullWorkers{},
	}
	for i, w := range workers {
		r.index[w.ID], r.free[i] = i, w.Capacity.Minus(w.Lasting)
	}
	return r
}

// NewFreeRooms returns what workers have free now.
func NewFreeRooms(workers []*Worker) *Rooms {
	r := NewRooms(workers)
	for i, w := range workers {
		r.free[i] = w.Free
	}
	return r
}

// Visits returns how many workers were looked at to take room.
func (r *Rooms) Visits() int { return r.visits }

// Take takes the room for up to n tasks of a demand and returns for how many there was room.
func (r *Rooms) Take(d *Demand, n int) int {
	full := r.full[d.Key]
	if full == nil {
		full = &fullWorkers{demand: d}
		r.full[d.Key] = full
	}
	left := n
	for i := full.n; i < len(r.workers) && left > 0; i++ {
		r.visits++
		places := r.places(d, i)
		for range min(places, left) {
			r.take(d, i)
		}
		if left -= min(places, left); left > 0 && full.n == i && i != r.leaving {
			full.n++
		}
	}
	return n - left
}

// HasRoom reports whether there is room for a task of a demand.
func (r *Rooms) HasRoom(d *Demand) bool {
	before := len(r.taken)
	n := r.Take(d, 1)
	r.undoTo(before)
	return n > 0
}

// places returns for how many tasks of a demand the worker with an index has room.
func (r *Rooms) places(d *Demand, i int) int {
	w := r.workers[i]
	if r.left[i] || !d.Suits(w) {
		return 0
	}
	ofStep := d.staying(w)
	if d.Step.MaxPerWorker > 0 {
		ofStep += r.ofStep[stepOnWorker{i, d.Key}]
	}
	return d.places(r.free[i], ofStep)
}

func (r *Rooms) take(d *Demand, i int) {
	r.free[i] = r.free[i].Minus(OccupiedResources(d.Step))
	r.taken = append(r.taken, taking{i, d})
	r.takenOn[i]++
	if d.Step.MaxPerWorker > 0 {
		r.ofStep[stepOnWorker{i, d.Key}]++
	}
}

// undoTo returns the room that was taken after the first n takings.
func (r *Rooms) undoTo(n int) {
	undone := r.taken[n:]
	for _, t := range undone {
		r.free[t.worker] = r.free[t.worker].Plus(OccupiedResources(t.demand.Step))
		r.takenOn[t.worker]--
		if t.demand.Step.MaxPerWorker > 0 {
			r.ofStep[stepOnWorker{t.worker, t.demand.Key}]--
		}
	}
	r.taken = r.taken[:n]
	for _, t := range undone {
		for _, full := range r.full {
			if t.worker < full.n && r.places(full.demand, t.worker) > 0 {
				full.n = t.worker
			}
		}
	}
}

// Leave takes a worker out of the rooms until Return or StayAway. What was taken on it is taken on others
// as far as they have room.
func (r *Rooms) Leave(worker string) {
	r.leaving, r.leavingFrom = -1, len(r.taken)
	i, known := r.index[worker]
	if !known || r.left[i] {
		return
	}
	r.leaving, r.left[i] = i, true
	if r.takenOn[i] == 0 {
		return
	}
	for _, t := range r.taken[:r.leavingFrom:r.leavingFrom] {
		if t.worker == i {
			r.Take(t.demand, 1)
		}
	}
}

// Return puts the worker back that has left, and the room that was taken since.
func (r *Rooms) Return() {
	if r.leaving >= 0 {
		r.left[r.leaving], r.leaving = false, -1
	}
	r.undoTo(r.leavingFrom)
}

// StayAway ends the possibility of Return.
func (r *Rooms) StayAway() { r.leaving = -1 }
