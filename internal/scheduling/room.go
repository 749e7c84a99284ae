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

// Rooms is the room on workers, less what was taken from it.
type Rooms struct {
	workers []*Worker
	free    []resources.Amount
	taken   []taking
}

// taking is the room for one task of a step on the worker with an index.
type taking struct {
	worker int
	key    StepKey
	amount resources.Amount
}

// NewRooms returns the room on workers once their short tasks have ended.
func NewRooms(workers []*Worker) *Rooms {
	r := &Rooms{workers: workers, free: make([]resources.Amount, len(workers))}
	for i, w := range workers {
		r.free[i] = w.Capacity.Minus(w.Lasting)
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

// Take takes the room for up to n tasks of a demand and returns for how many there was room.
func (r *Rooms) Take(d *Demand, n int) int {
	left, amount := n, OccupiedResources(d.Step)
	for i, w := range r.workers {
		if left == 0 {
			break
		}
		if !d.Suits(w) {
			continue
		}
		ofStep := d.staying(w)
		if d.Step.MaxPerWorker > 0 {
			ofStep += r.takenBy(i, d.Key)
		}
		for range min(d.places(r.free[i], ofStep), left) {
			r.free[i] = r.free[i].Minus(amount)
			r.taken = append(r.taken, taking{i, d.Key, amount})
			left--
		}
	}
	return n - left
}

func (r *Rooms) takenBy(worker int, key StepKey) int {
	n := 0
	for _, t := range r.taken {
		if t.worker == worker && t.key == key {
			n++
		}
	}
	return n
}

// undoTo returns the room that was taken after the first n takings.
func (r *Rooms) undoTo(n int) {
	for _, t := range r.taken[n:] {
		r.free[t.worker] = r.free[t.worker].Plus(t.amount)
	}
	r.taken = r.taken[:n]
}
