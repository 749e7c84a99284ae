// Package scheduling makes the decisions about submitted work in pure functions of
// a snapshot: which jobs are admitted, which tasks run where, which instances
// move. It reads no clock and does no I/O.
package scheduling

import (
	"cmp"
	"slices"
	"time"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// Worker is a worker that accepts tasks.
type Worker struct {
	ID       string
	Pool     string
	Rack     string
	Labels   []string
	Capacity resources.Amount
	Free     resources.Amount
	// Lasting is what long-running tasks take from Capacity.
	Lasting    resources.Amount
	DataCentre string
	// Penalty is added to the cost of placing a task on the worker: 0 for a
	// healthy one.
	Penalty float64
	// LatencySensitive is the number of tasks with a tail latency target on it,
	// BestEffort that of best-effort tasks, which use processors that others leave
	// unused.
	LatencySensitive, BestEffort int
	// LongRunning is the number of long-running tasks on it that aren't best-effort.
	LongRunning int
	// TasksByStep is the number of tasks on it of each step that limits the tasks on a
	// worker. It isn't modified.
	TasksByStep map[StepKey]int

	// TrialJob is the job of the suspects that the worker runs: no other job's tasks start
	// on it. TrialTeam is that job's team.
	TrialJob, TrialTeam string
	// OnlyJob is the job of all runs on the worker; it is empty if there are none. Shared
	// reports that they are of several jobs. Both are set only if a demand is isolated.
	OnlyJob string
	Shared  bool
	// Claims is how many waiting tasks of each step were stopped on the worker for its maintenance, and
	// may run on no other one. Other long-running tasks don't start on it before them.
	Claims map[StepKey]int
	// ClearedFor is the job for which the last round kept other jobs' tasks off the worker.
	ClearedFor string

	placed   map[StepKey]int // tasks placed in this round, of the same steps
	reserved bool
}

// Reset sets the figures of a worker to what its runs take, which may be nil.
func (w *Worker) Reset(u *workload.Usage) {
	w.Free, w.TasksByStep, w.placed, w.reserved = w.Capacity, nil, nil, false
	w.LatencySensitive, w.BestEffort, w.LongRunning, w.Lasting = 0, 0, 0, resources.Amount{}
	w.TrialJob, w.TrialTeam, w.OnlyJob, w.Shared = "", "", "", false
	if u != nil {
		w.Free, w.Lasting, w.TasksByStep = w.Capacity.Minus(u.Occupied), u.Lasting, u.ByStep
		w.LatencySensitive, w.BestEffort, w.LongRunning = u.LatencySensitive, u.BestEffort, u.LongRunning
	}
}

// StepKey identifies a step of an occurrence.
type StepKey = workload.StepID

// Demand is a step with tasks that are waiting for a worker.
type Demand struct {
	Key      StepKey
	Step     *workload.Step
	Pool     string
	Team     string
	Priority int
	// Waiting holds the indices of the waiting tasks.
	Waiting []int
	// Deadline is when the job has to be done to be on time. Expiry is when its result is of
	// no more use; the zero time means that it always is.
	Deadline time.Time
	Expiry   time.Time
	// Remaining is the time that the job still needs if none of its tasks waits.
	Remaining time.Duration
	// Work is the processor time that the job still needs, in core-seconds.
	Work float64
	// Value is the value of completing the job on time.
	Value float64
	// AllowedWorkers is the set of workers that may run the tasks; nil means any
	// worker.
	AllowedWorkers map[string]bool
	// Isolated reports that a task of the job may have crashed its worker. Its tasks start
	// on workers without other jobs, which then get no tasks of others. TrialWait is how
	// long it has waited for such a worker.
	Isolated  bool
	TrialWait time.Duration
	// Risky reports that jobs of the queue have crashed workers lately. Its short tasks start
	// beside long-running ones only if there is no other room.
	Risky bool
	// RefusedWorkers is the set of workers that must not run the tasks according to the policy
	// service, which doesn't change its mind.
	RefusedWorkers map[string]bool
	// AvoidedWorkers is the set of workers that must not run the tasks. LastResorts is the set of
	// those that run them only if no other has room. See AvoidCrashed.
	AvoidedWorkers, LastResorts map[string]bool

	// exposed demands no longer wait for a worker without other jobs.
	exposed bool
	// apart is whether the demand is kept apart from long-running tasks in this round, once
	// apartKnown is set.
	apart, apartKnown bool
	// class and latest are the keys by which demands are ordered in a round.
	class  int
	latest time.Time
}

// Team is the resource usage and limit of a team.
type Team struct {
	Used resources.Amount
	// Cap limits Used; zero in a dimension means no limit.
	Cap    resources.Amount
	Weight float64
}

// Input is the snapshot on which a placement round is based.
type Input struct {
	Now     time.Time
	Workers []*Worker
	Demands []*Demand
	Teams   map[string]*Team
	// CrashingPools holds the pools of which many workers have crashed under tasks lately.
	CrashingPools map[string]bool
	// LateRoom is the capacity, in cores, that further tasks of late jobs may take from a
	// pool. A pool without an entry has no limit.
	LateRoom map[string]float64
	// LateStarts is the number of tasks of late jobs that may be placed in the round; 0 means
	// any number. Starts are decided faster than they can be carried out, and those
	// of late jobs would delay the ones of later rounds that can still be on time.
	LateStarts int
}

// Placement assigns a task to a worker.
type Placement struct {
	Task   workload.TaskID
	Worker string
}

// Result is the outcome of a placement round.
type Result struct {
	Placements []Placement
	// PoolsShort holds the pools in which a long-running task found no worker and a
	// further instance would have room for it.
	PoolsShort map[string]bool
	// Cleared holds the workers on which only a job's tasks start until they are without
	// other jobs, with that job.
	Cleared map[string]string
	// Unplaced holds the demands of which a task found no worker, within the limit of its team.
	Unplaced []*Demand
	// LateHeld reports that tasks of late jobs were held back by Input.LateStarts, LateStarted is
	// the number of those that were placed.
	LateHeld    bool
	LateStarted int
}

// Place chooses a worker for each waiting task for which there is room. It updates
// the workers and teams of the input.
func Place(in *Input) Result {
	for _, d := range in.Demands {
		d.class = class(in.Now, d)
		d.latest = d.latestUsefulStart()
	}
	slices.SortStableFunc(in.Demands, compare)
	p := &placer{in: in, byPool: map[string][]*Worker{}, full: map[string][]resources.Amount{}, out: Result{PoolsShort: map[string]bool{}, Cleared: map[string]string{}}}
	for _, w := range in.Workers {
		p.byPool[w.Pool] = append(p.byPool[w.Pool], w)
	}
	p.findRoom()
	// Isolated tasks come first, because later ones would take the last idle worker.
	for _, isolated := range []bool{true, false} {
		for _, d := range in.Demands {
			if d.Isolated != isolated || isolated && !p.mayTry(d) {
				continue
			}
			if d.Step.Gang {
				p.placeGang(d)
			} else {
				p.placeTasks(d)
			}
		}
	}
	return p.out
}

// class returns the class of a demand, the primary sort key. Long-running tasks
// serve their users all the time and come first, then jobs that can still be on
// time, then late jobs, then those whose result is of no more use, and last best-effort
// tasks.
func class(now time.Time, d *Demand) int {
	switch {
	case d.Step.LongRunning && !d.Step.BestEffort:
		return longRunningClass
	case d.Step.BestEffort:
		return bestEffortClass
	case d.expired(now):
		return expiredClass
	case now.After(d.latestStart()):
		return lateClass
	}
	return onTimeClass
}

// expired reports whether the job's result will be of no more use when it is done.
func (d *Demand) expired(now time.Time) bool {
	return !d.Expiry.IsZero() && now.Add(d.Remaining).After(d.Expiry)
}

// isLate reports whether the jobs of a class can't be on time.
func isLate(class int) bool { return class == lateClass || class == expiredClass }

// Classes of demands, in the order in which they are served.
const (
	longRunningClass = iota
	onTimeClass
	lateClass
	expiredClass
	bestEffortClass
)

// latestStart returns the latest time at which the job has to continue to be on
// time.
func (d *Demand) latestStart() time.Time { return d.Deadline.Add(-d.Remaining) }

// compare orders demands. Jobs that can still be on time are ordered by their
// latest start, because admission has left room for all of them. Late jobs are
// ordered by their value per remaining work.
func compare(a, b *Demand) int {
	if c := cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.Priority, b.Priority)); c != 0 {
		return c
	}
	if a.class == expiredClass || a.class == lateClass && (a.Expiry.IsZero() || b.Expiry.IsZero()) {
		if c := cmp.Compare(valueDensity(b), valueDensity(a)); c != 0 {
			return c
		}
	}
	if c := a.latest.Compare(b.latest); c != 0 {
		return c
	}
	return cmp.Or(
		cmp.Compare(a.Key.Job, b.Key.Job),
		cmp.Compare(a.Key.Occurrence, b.Key.Occurrence),
		cmp.Compare(a.Key.Step, b.Key.Step),
	)
}

// latestUsefulStart returns the time by which jobs of a class are ordered: the latest time at
// which the job has to continue to be on time or, if it is late, to be of use.
func (d *Demand) latestUsefulStart() time.Time {
	if !d.Expiry.IsZero() && d.class == lateClass {
		return d.Expiry.Add(-d.Remaining)
	}
	return d.latestStart()
}

// minWork is the lower bound of the remaining work, in core-seconds, in the value
// density. It keeps the density of a job that is almost done finite.
const minWork = 0.001

// valueDensity returns the value of a job per core-second of remaining work.
func valueDensity(d *Demand) float64 { return d.Value / max(d.Work, minWork) }

// fitsNewInstance reports whether a further instance in the pool would have room for a
// task of the demand. A demand that needs a label or certain workers doesn't
// count, because the labels of the platform's next instance aren't known.
func (p *placer) fitsNewInstance(d *Demand) bool {
	if d.Step.Label != "" || d.AllowedWorkers != nil {
		return false
	}
	workers := p.byPool[d.Pool]
	return len(workers) == 0 || slices.ContainsFunc(workers, func(w *Worker) bool { return Fits(d.Step, w.Capacity) })
}

type placer struct {
	in     *Input
	byPool map[string][]*Worker
	// full holds sizes of tasks for which no worker of a pool has room, so that larger
	// ones need no further search.
	full map[string][]resources.Amount
	// smallest is the least processor time that a task takes which waits for a pool, in each
	// pool. withRoom holds the workers that have as much.
	smallest map[string]int64
	withRoom map[string][]*Worker
	out      Result
}

// findRoom finds the workers that have room for the smallest waiting task of their pool. In a
// peak these are few, and each search for a worker passes over them.
func (p *placer) findRoom() {
	p.smallest, p.withRoom = map[string]int64{}, map[string][]*Worker{}
	for _, d := range p.in.Demands {
		size := OccupiedResources(d.Step).MilliCPU
		if known, ok := p.smallest[d.Pool]; !ok || size < known {
			p.smallest[d.Pool] = size
		}
	}
	for pool := range p.smallest {
		p.withRoom[pool] = slices.Clone(p.byPool[pool])
		p.dropFull(pool)
	}
}

// dropFull removes the workers of a pool that have no room for any waiting task.
func (p *placer) dropFull(pool string) {
	smallest := p.smallest[pool]
	p.withRoom[pool] = slices.DeleteFunc(p.withRoom[pool], func(w *Worker) bool { return w.Free.MilliCPU < smallest })
}

func (p *placer) placeTasks(d *Demand) {
	if !d.Isolated && p.isFull(d) {
		return
	}
	var w *Worker
	late := !d.Isolated && isLate(d.class)
	for n, index := range d.Waiting {
		if late && p.lateStartsTaken() {
			p.out.LateHeld = true
			return
		}
		if !p.withinTeamLimit(d, 1) || late && !p.withinLateRoom(d) {
			return
		}
		// A worker on which short tasks are packed remains the best one until it is full.
		if w == nil || !d.packed() || !p.eligible(d, w) {
			w = p.choose(d, "")
		}
		if w == nil {
			p.unplaced(d, d.Waiting[n:])
		}
		switch {
		case w == nil && d.Isolated:
			p.clearForTrial(d)
			return
		case w == nil:
			p.markFull(d)
			p.reserve(d)
			return
		}
		p.assign(d, index, w)
		if late {
			p.out.LateStarted++
		}
	}
}

// lateStartsTaken reports whether the round has placed as many tasks of late jobs as it may.
func (p *placer) lateStartsTaken() bool {
	return p.in.LateStarts > 0 && p.out.LateStarted >= p.in.LateStarts
}

// packed reports whether the tasks of a demand are packed on the fullest worker.
func (d *Demand) packed() bool {
	return !d.Step.LongRunning && !d.Step.BestEffort && d.Step.TailLatencyTarget == 0
}

// anyWorker reports whether a demand accepts each worker of its pool that has room.
func (p *placer) anyWorker(d *Demand) bool {
	return d.packed() && d.Step.Label == "" && d.AllowedWorkers == nil && len(d.AvoidedWorkers)+len(d.RefusedWorkers) == 0 && d.Step.MaxPerWorker == 0 && !p.keepsApart(d)
}

// isFull reports whether it is known that no worker has room for a task of a demand. No
// room becomes free during a round.
func (p *placer) isFull(d *Demand) bool {
	if !d.packed() {
		return false
	}
	size := OccupiedResources(d.Step)
	return slices.ContainsFunc(p.full[d.Pool], func(other resources.Amount) bool { return other.Fits(size) })
}

func (p *placer) markFull(d *Demand) {
	if p.anyWorker(d) {
		p.full[d.Pool] = append(p.full[d.Pool], OccupiedResources(d.Step))
	}
}

// withinLateRoom reports whether a pool has room for a further task of a late job beside the
// work that can be on time, and takes the room.
func (p *placer) withinLateRoom(d *Demand) bool {
	room, limited := p.in.LateRoom[d.Pool]
	cores := float64(OccupiedResources(d.Step).MilliCPU) / 1000
	if !limited {
		return true
	}
	if cores > room {
		return false
	}
	p.in.LateRoom[d.Pool] = room - cores
	return true
}

// PoolUse is how a pool's capacity is used, in cores.
type PoolUse struct {
	// Cores is the capacity of the usable workers.
	Cores float64
	// OnTime is what the tasks of jobs that can be on time would take if all that may run
	// did, Late what the running tasks of late jobs take.
	OnTime, Late float64
	// Offered is what the arriving jobs take.
	Offered float64
}

const (
	// minLateShare is the part of a pool that late jobs may take in any case, so that they
	// end while others keep arriving.
	minLateShare = 0.25
	// arrivingFactor bounds the room that is kept for arriving jobs as a multiple of what
	// the accepted ones take: jobs that are refused need none.
	arrivingFactor = 1.5
)

// LateRoom returns the capacity that further tasks of late jobs may take. A task that runs late
// holds its cores for its whole run time, in which jobs arrive that could be on time.
func LateRoom(u PoolUse) float64 {
	kept := min(u.Offered, arrivingFactor*u.OnTime)
	return max(u.Cores-max(kept, u.OnTime), minLateShare*u.Cores) - u.Late
}

// placeGang places either all tasks of a gang or none, and none while tasks of an
// earlier start have not ended: they work only together, under one run number. A
// gang with SameRack is placed on one rack if that is possible.
func (p *placer) placeGang(d *Demand) {
	if len(d.Waiting) < d.Step.Count || !p.withinTeamLimit(d, len(d.Waiting)) {
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
	p.unplaced(d, d.Waiting)
	// Once it is exposed, a gang waits for room on several workers, and needs no empty one.
	if d.Isolated && !d.exposed {
		p.clearForTrial(d)
	}
}

// unplaced records that the given tasks of a demand found no worker.
func (p *placer) unplaced(d *Demand, waiting []int) {
	d.Waiting = waiting
	p.out.Unplaced = append(p.out.Unplaced, d)
}

// racks returns the racks of a pool's workers in sorted order.
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

// tryGang places a gang on one rack, or on any racks if rack is empty. It reports
// whether all tasks were placed.
func (p *placer) tryGang(d *Demand, rack string) bool {
	occupied := make([]*Worker, 0, len(d.Waiting))
	for range d.Waiting {
		w := p.choose(d, rack)
		if w == nil {
			for _, t := range occupied {
				p.undoOccupy(d, t)
			}
			return false
		}
		p.occupy(d, w)
		occupied = append(occupied, w)
	}
	for i, index := range d.Waiting {
		p.record(d, index, occupied[i])
	}
	return true
}

// withinTeamLimit reports whether the team's limit allows n more tasks of a demand.
func (p *placer) withinTeamLimit(d *Demand, n int) bool {
	t := p.in.Teams[d.Team]
	if t == nil {
		return true
	}
	return t.allows(d.Step.Resources.Times(n))
}

// allows reports whether the team's limit allows the given resources on top of
// those that it uses.
func (t *Team) allows(more resources.Amount) bool {
	return t.Used.Plus(more).Within(t.Cap)
}

// choose returns the eligible worker with the lowest cost, or nil. It considers the
// workers on one rack, or all if rack is empty.
func (p *placer) choose(d *Demand, rack string) *Worker {
	var best *Worker
	var bestCost float64
	for _, w := range p.withRoom[d.Pool] {
		if rack != "" && w.Rack != rack || !p.eligible(d, w) {
			continue
		}
		if c := cost(d, w); best == nil || c < bestCost {
			best, bestCost = w, c
		}
	}
	return best
}

// eligible reports whether a worker has room for a task of a demand and satisfies
// its constraints.
func (p *placer) eligible(d *Demand, w *Worker) bool {
	if w.reserved && !d.Step.LongRunning || !Fits(d.Step, w.Free) || !d.MayRunOn(w) {
		return false
	}
	if w.LongRunning > 0 && p.keepsApart(d) || !d.mayShare(w) || len(w.Claims) > 0 && w.claimedByOthers(d) {
		return false
	}
	return d.Step.MaxPerWorker == 0 || w.tasksOf(d.Key) < d.Step.MaxPerWorker
}

// claimedByOthers reports whether a long-running task must not take room on the worker before tasks
// of other steps that have a claim to it.
func (w *Worker) claimedByOthers(d *Demand) bool {
	if !d.Step.LongRunning || w.Claims[d.Key] > 0 {
		return false
	}
	for _, n := range w.Claims {
		if n > 0 {
			return true
		}
	}
	return false
}

// MayRunOn reports whether a worker could run a task of the demand if nothing else ran there.
func (d *Demand) MayRunOn(w *Worker) bool {
	return d.Suits(w) && (d.AllowedWorkers == nil || d.AllowedWorkers[w.ID]) && !d.AvoidedWorkers[w.ID]
}

// tasksOf returns the number of tasks of a step on a worker, with those placed in this
// round.
func (w *Worker) tasksOf(key StepKey) int { return w.TasksByStep[key] + w.placed[key] }

// Fits reports whether a task of a step fits into the free resources.
func Fits(s *workload.Step, free resources.Amount) bool {
	return OccupiedResources(s).Fits(free)
}

// OccupiedResources returns what a task of a step takes from a worker's capacity.
func OccupiedResources(s *workload.Step) resources.Amount { return s.Occupied() }

// Terms of the cost of a worker, relative to a load of 0 to 1.
const (
	// remoteDataCost outweighs any load: data on another rack makes a task several
	// times slower.
	remoteDataCost = 10
	// interferenceCost separates best-effort tasks from latency-sensitive tasks.
	interferenceCost = 2
	// firstLongRunningCost and longRunningTaskCost put two long-running tasks on a
	// worker before another one is used: an instance can't be moved while it runs
	// one, and the loss of an instance should affect few of them.
	firstLongRunningCost = 0.45
	longRunningTaskCost  = 0.25
	// unmovableWorkerGain prefers workers with long-running tasks for short tasks,
	// because their instances can't be moved anyway.
	unmovableWorkerGain = 1
	// lastResortCost outweighs the load of the other workers.
	lastResortCost = 5
	// lostRunCost keeps tasks that may crash their worker away from long-running ones.
	lostRunCost = 2
)

// cost returns the cost of placing a task of a demand on a worker. Short tasks are
// packed on the fullest worker with room, so that others become idle and can be
// moved. Long-running tasks are placed two to a worker, or are spread over all
// workers if they are best-effort or latency-sensitive, because their
// load slows each other down.
func cost(d *Demand, w *Worker) float64 {
	load := 1 - float64(w.Free.MilliCPU)/float64(max(w.Capacity.MilliCPU, 1))
	c := w.Penalty
	switch {
	case d.exposed:
		c += load + lostRunCost*float64(w.LongRunning)
	case d.Risky && !d.Step.LongRunning:
		c += 1 - load + lostRunCost*float64(w.LongRunning)
	case !d.Step.LongRunning:
		c += 1 - load
		if w.LongRunning > 0 {
			c -= unmovableWorkerGain
		}
	case d.Step.BestEffort || d.Step.TailLatencyTarget > 0:
		c += load
	default:
		c += longRunningTaskCost * float64(w.LongRunning)
		if w.LongRunning == 0 {
			c += firstLongRunningCost
		}
	}
	if d.Step.DataRack != "" && d.Step.DataRack != w.Rack {
		c += remoteDataCost
	}
	if d.LastResorts[w.ID] {
		c += lastResortCost
	}
	if d.Step.BestEffort {
		c += interferenceCost * float64(w.LatencySensitive)
	}
	if d.Step.TailLatencyTarget > 0 {
		c += interferenceCost * float64(w.BestEffort)
	}
	return c
}

// assign places a task on a worker.
func (p *placer) assign(d *Demand, index int, w *Worker) {
	p.occupy(d, w)
	p.record(d, index, w)
}

// occupy takes the resources of a task from a worker.
func (p *placer) occupy(d *Demand, w *Worker) {
	w.Free = w.Free.Minus(OccupiedResources(d.Step))
	w.useClaim(d, 1)
	w.countPlaced(d, 1)
	w.AddTasks(d.Step, 1)
}

// useClaim takes n tasks off the claims of a demand's step, which may be negative.
func (w *Worker) useClaim(d *Demand, n int) {
	if _, claimed := w.Claims[d.Key]; claimed {
		w.Claims[d.Key] -= n
	}
}

func (w *Worker) countPlaced(d *Demand, n int) {
	if d.Step.MaxPerWorker == 0 {
		return
	}
	if w.placed == nil {
		w.placed = map[StepKey]int{}
	}
	w.placed[d.Key] += n
}

// undoOccupy returns the resources of a task to a worker.
func (p *placer) undoOccupy(d *Demand, w *Worker) {
	w.Free = w.Free.Plus(OccupiedResources(d.Step))
	w.useClaim(d, -1)
	w.countPlaced(d, -1)
	w.AddTasks(d.Step, -1)
}

// AddTasks adds n tasks of a step to the worker's counts by kind of task.
func (w *Worker) AddTasks(s *workload.Step, n int) {
	switch {
	case s.BestEffort:
		w.BestEffort += n
	case s.LongRunning:
		w.LongRunning += n
	}
	if s.LongRunning {
		w.Lasting = w.Lasting.Plus(s.Occupied().Times(n))
	}
	if s.TailLatencyTarget > 0 {
		w.LatencySensitive += n
	}
}

// record adds a placement to the result and to the usage of its team.
func (p *placer) record(d *Demand, index int, w *Worker) {
	if t := p.in.Teams[d.Team]; t != nil {
		t.Used = t.Used.Plus(d.Step.Resources)
	}
	task := workload.TaskID{Job: d.Key.Job, Occurrence: d.Key.Occurrence, Step: d.Key.Step, Index: index}
	p.out.Placements = append(p.out.Placements, Placement{Task: task, Worker: w.ID})
	if d.Isolated {
		w.TrialJob, w.TrialTeam = d.Key.Job, d.Team
	}
}

// maxReservedShare is the part of a pool's workers that may be reserved at a time. Short tasks whose
// pool is half free must not wait.
const maxReservedShare = 0.5

// reserve reserves the suitable worker with the most free memory for a long-running
// task that found no room, so that short tasks don't take the room as it is freed
// bit by bit. A worker is suitable if the end of its short tasks makes room for the task.
func (p *placer) reserve(d *Demand) {
	if !d.Step.LongRunning || d.Step.BestEffort {
		return
	}
	if p.fitsNewInstance(d) {
		p.out.PoolsShort[d.Pool] = true
	}
	var best *Worker
	reserved := 0
	for _, w := range p.byPool[d.Pool] {
		if w.reserved {
			reserved++
			continue
		}
		if !d.MayRunOn(w) || !d.mayShare(w) || !Fits(d.Step, w.Capacity.Minus(w.Lasting)) || d.Step.MaxPerWorker > 0 && w.tasksOf(d.Key) >= d.Step.MaxPerWorker {
			continue
		}
		if best == nil || w.Free.MemoryMB > best.Free.MemoryMB {
			best = w
		}
	}
	if best != nil && reserved < max(1, int(maxReservedShare*float64(len(p.byPool[d.Pool])))) {
		best.reserved = true
	}
}
