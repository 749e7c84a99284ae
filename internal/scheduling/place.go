// Package scheduling holds the decisions about submitted work as pure functions
// of a snapshot: which job is admitted, which task runs where, which instance
// moves. It reads no clock and does no I/O.
package scheduling

import (
	"cmp"
	"slices"
	"time"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// Worker is a worker that may take tasks.
type Worker struct {
	ID         string
	Pool       string
	Rack       string
	Labels     []string
	Capacity   resources.Amount
	Free       resources.Amount
	DataCentre string
	// Penalty is how strongly a worker is to be avoided: 0 for a sound one.
	Penalty float64
	// Serving is the number of tasks with a response time target on it, Filling
	// that of tasks that use what others leave.
	Serving, Filling int
	// Lasting is the number of long-running tasks on it that don't fill.
	Lasting int
	// OfStep counts the tasks of a step on it, by StepKey.
	OfStep map[StepKey]int

	reserved bool
}

// StepKey names a step of an occurrence.
type StepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// Demand is a step with tasks that wait for a worker.
type Demand struct {
	Key      StepKey
	Step     *workload.Step
	Pool     string
	Team     string
	Priority int
	// Waiting holds the indices of the tasks.
	Waiting []int
	// Deadline is when the job has to be done to be on time.
	Deadline time.Time
	// Remaining is the time that the job still needs if nothing waits.
	Remaining time.Duration
	// Work is the processor time that the job still needs, in core-seconds.
	Work float64
	// Worth is the job's value if it is on time.
	Worth float64
	// Allowed restricts the workers, if it is not nil.
	Allowed map[string]bool
}

// Team is what a team has running and may have.
type Team struct {
	Used resources.Amount
	// Cap is a limit in each dimension that is not zero.
	Cap    resources.Amount
	Weight float64
}

// Input is what a placement depends on.
type Input struct {
	Now     time.Time
	Workers []*Worker
	Demands []*Demand
	Teams   map[string]*Team
}

// Placement is a task on a worker.
type Placement struct {
	Task   workload.TaskID
	Worker string
}

// Result is what a placement decided.
type Result struct {
	Placements []Placement
	// Short are the pools in which a long-running task found no worker although
	// another instance would have room for it.
	Short map[string]bool
}

// Place chooses a worker for each task for which there is room. It updates the
// workers and teams of the input.
func Place(in *Input) Result {
	slices.SortStableFunc(in.Demands, func(a, b *Demand) int { return compare(in.Now, a, b) })
	p := &placer{in: in, byPool: map[string][]*Worker{}, out: Result{Short: map[string]bool{}}}
	for _, w := range in.Workers {
		p.byPool[w.Pool] = append(p.byPool[w.Pool], w)
	}
	for _, d := range in.Demands {
		if d.Step.Gang {
			p.placeGang(d)
		} else {
			p.placeTasks(d)
		}
	}
	return p.out
}

// class orders demands before all else: long-running tasks serve their users
// all the time and come first, then jobs that can still be on time, then late
// ones, and at last tasks that only fill what others leave.
func class(now time.Time, d *Demand) int {
	switch {
	case d.Step.LongRunning && !d.Step.Fill:
		return servingClass
	case d.Step.Fill:
		return fillingClass
	case now.After(d.latestStart()):
		return lateClass
	}
	return onTimeClass
}

// Classes of demands, the first ones first.
const (
	servingClass = iota
	onTimeClass
	lateClass
	fillingClass
)

// latestStart is when the job has to go on to be on time.
func (d *Demand) latestStart() time.Time { return d.Deadline.Add(-d.Remaining) }

// compare orders demands. Among jobs that can still be on time, the one that has
// to go on soonest comes first: admission has left room for all of them. Among
// late ones, the one with the highest worth for the work that is left does.
func compare(now time.Time, a, b *Demand) int {
	byValue := 0
	if class(now, a) == lateClass {
		byValue = cmp.Compare(density(b), density(a))
	}
	return cmp.Or(
		cmp.Compare(class(now, a), class(now, b)),
		cmp.Compare(a.Priority, b.Priority),
		byValue,
		a.latestStart().Compare(b.latestStart()),
		cmp.Compare(a.Key.Job, b.Key.Job),
		cmp.Compare(a.Key.Occurrence, b.Key.Occurrence),
		cmp.Compare(a.Key.Step, b.Key.Step),
	)
}

// minWork keeps the density of a job that is almost done finite.
const minWork = 0.001

func density(d *Demand) float64 { return d.Worth / max(d.Work, minWork) }

// wouldFit tells whether one more instance in the pool would help a demand. Which
// labels the platform's next instance has is not known.
func (p *placer) wouldFit(d *Demand) bool {
	if d.Step.Label != "" || d.Allowed != nil {
		return false
	}
	workers := p.byPool[d.Pool]
	return len(workers) == 0 || slices.ContainsFunc(workers, func(w *Worker) bool { return Room(d.Step, w.Capacity) })
}

type placer struct {
	in     *Input
	byPool map[string][]*Worker
	out    Result
}

func (p *placer) placeTasks(d *Demand) {
	for _, index := range d.Waiting {
		if !p.teamRoom(d, 1) {
			return
		}
		w := p.choose(d, "")
		if w == nil {
			p.reserve(d)
			return
		}
		p.take(d, index, w)
	}
}

// placeGang places all tasks of a gang or none, and none while some of a former
// start have not ended: they work only together, under one run number. A gang that
// wants one rack is placed within one if that is possible.
func (p *placer) placeGang(d *Demand) {
	if len(d.Waiting) < d.Step.Count || !p.teamRoom(d, len(d.Waiting)) {
		return
	}
	racks := []string{""}
	if d.Step.SameRack {
		racks = append(p.racks(d.Pool), "")
	}
	for _, rack := range racks {
		if p.tryGang(d, rack) {
			return
		}
	}
}

func (p *placer) racks(pool string) []string {
	var racks []string
	for _, w := range p.byPool[pool] {
		if !slices.Contains(racks, w.Rack) {
			racks = append(racks, w.Rack)
		}
	}
	slices.Sort(racks)
	return racks
}

// tryGang places a gang on one rack, or anywhere if rack is empty.
func (p *placer) tryGang(d *Demand, rack string) bool {
	taken := make([]*Worker, 0, len(d.Waiting))
	for range d.Waiting {
		w := p.choose(d, rack)
		if w == nil {
			for _, t := range taken {
				p.giveBack(d, t)
			}
			return false
		}
		p.put(d, w)
		taken = append(taken, w)
	}
	for i, index := range d.Waiting {
		p.note(d, index, taken[i])
	}
	return true
}

// teamRoom tells whether a team may have n more tasks running.
func (p *placer) teamRoom(d *Demand, n int) bool {
	t := p.in.Teams[d.Team]
	if t == nil {
		return true
	}
	return t.allows(d.Step.Need.Times(n))
}

// allows tells whether a team may have more running.
func (t *Team) allows(more resources.Amount) bool {
	next := t.Used.Plus(more)
	within := func(used, limit int64) bool { return limit == 0 || used <= limit }
	return within(next.MilliCPU, t.Cap.MilliCPU) && within(next.MemoryMB, t.Cap.MemoryMB) && within(next.Accelerators, t.Cap.Accelerators)
}

// choose returns the best worker with room, of one rack or of all if rack is
// empty, or nil.
func (p *placer) choose(d *Demand, rack string) *Worker {
	var best *Worker
	var bestCost float64
	for _, w := range p.byPool[d.Pool] {
		if rack != "" && w.Rack != rack || !p.eligible(d, w) {
			continue
		}
		if c := cost(d, w); best == nil || c < bestCost {
			best, bestCost = w, c
		}
	}
	return best
}

func (p *placer) eligible(d *Demand, w *Worker) bool {
	if w.reserved && !d.Step.LongRunning || !Room(d.Step, w.Free) {
		return false
	}
	if d.Step.Label != "" && !slices.Contains(w.Labels, d.Step.Label) {
		return false
	}
	if d.Allowed != nil && !d.Allowed[w.ID] {
		return false
	}
	return d.Step.MaxPerWorker == 0 || w.OfStep[d.Key] < d.Step.MaxPerWorker
}

// Room tells whether a task of a step fits into what is free.
func Room(s *workload.Step, free resources.Amount) bool {
	return Occupied(s).Fits(free)
}

// Occupied is what a task of a step takes from a worker's capacity. A task that
// fills uses no processors of its own.
func Occupied(s *workload.Step) resources.Amount {
	need := s.Need
	if s.Fill {
		need.MilliCPU = 0
	}
	return need
}

// Weights of the reasons for and against a worker, against a load of 0 to 1.
const (
	// remoteCost outweighs any load: data on another rack makes a task slower by
	// a multiple.
	remoteCost = 10
	// disturbCost keeps tasks that fill away from tasks that serve.
	disturbCost = 2
	// newHostCost and hostTaskCost put two long-running tasks on a worker before
	// the next one is used: an instance can't be moved while it has one, and the
	// loss of an instance should take few of them.
	newHostCost  = 0.45
	hostTaskCost = 0.25
	// hostGain draws short tasks to workers that can't be moved anyway.
	hostGain = 1
)

// cost is lower for a better worker. Short tasks are packed on the fullest worker
// with room, so that others fall idle and can be moved. Long-running ones are
// spread thinly over few workers, and over all workers if their load slows each
// other down.
func cost(d *Demand, w *Worker) float64 {
	load := 1 - float64(w.Free.MilliCPU)/float64(max(w.Capacity.MilliCPU, 1))
	c := w.Penalty
	switch {
	case !d.Step.LongRunning:
		c += 1 - load
		if w.Lasting > 0 {
			c -= hostGain
		}
	case d.Step.Fill || d.Step.TailTarget > 0:
		c += load
	default:
		c += hostTaskCost * float64(w.Lasting)
		if w.Lasting == 0 {
			c += newHostCost
		}
	}
	if d.Step.DataRack != "" && d.Step.DataRack != w.Rack {
		c += remoteCost
	}
	if d.Step.Fill {
		c += disturbCost * float64(w.Serving)
	}
	if d.Step.TailTarget > 0 {
		c += disturbCost * float64(w.Filling)
	}
	return c
}

func (p *placer) take(d *Demand, index int, w *Worker) {
	p.put(d, w)
	p.note(d, index, w)
}

func (p *placer) put(d *Demand, w *Worker) {
	w.Free = w.Free.Minus(Occupied(d.Step))
	if w.OfStep == nil {
		w.OfStep = map[StepKey]int{}
	}
	w.OfStep[d.Key]++
	w.Count(d.Step, 1)
}

func (p *placer) giveBack(d *Demand, w *Worker) {
	w.Free = w.Free.Plus(Occupied(d.Step))
	w.OfStep[d.Key]--
	w.Count(d.Step, -1)
}

// Count adds n tasks of a step to the kinds of tasks on a worker.
func (w *Worker) Count(s *workload.Step, n int) {
	switch {
	case s.Fill:
		w.Filling += n
	case s.LongRunning:
		w.Lasting += n
	}
	if s.TailTarget > 0 {
		w.Serving += n
	}
}

func (p *placer) note(d *Demand, index int, w *Worker) {
	if t := p.in.Teams[d.Team]; t != nil {
		t.Used = t.Used.Plus(d.Step.Need)
	}
	task := workload.TaskID{Job: d.Key.Job, Occurrence: d.Key.Occurrence, Step: d.Key.Step, Index: index}
	p.out.Placements = append(p.out.Placements, Placement{Task: task, Worker: w.ID})
}

// reserve keeps the freest suitable worker for a long-running task that found
// no room, so that short tasks don't take what is freed one by one.
func (p *placer) reserve(d *Demand) {
	if !d.Step.LongRunning || d.Step.Fill {
		return
	}
	if p.wouldFit(d) {
		p.out.Short[d.Pool] = true
	}
	var best *Worker
	for _, w := range p.byPool[d.Pool] {
		if w.reserved || d.Step.MaxPerWorker > 0 && w.OfStep[d.Key] >= d.Step.MaxPerWorker || !Room(d.Step, w.Capacity) {
			continue
		}
		if best == nil || w.Free.MemoryMB > best.Free.MemoryMB {
			best = w
		}
	}
	if best != nil {
		best.reserved = true
	}
}
