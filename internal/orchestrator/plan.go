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

// outlook is what the last placement saw, for the decisions about submissions,
// moves and maintenance until the next one.
type outlook struct {
	// work is the processor time that the jobs of a pool still need, cores what
	// its usable workers have for short tasks.
	work, cores map[string]float64
	// used is what runs on the pool's workers take, in cores.
	used map[string]float64
	// onTime is the part of work that can still be done on time.
	onTime map[string]float64
	// runnable is what tasks that run, or wait for nothing but a worker, would use
	// if all of them ran at once, in cores.
	runnable map[string]float64
	// lasting is what long-running tasks of a pool use, in cores.
	lasting map[string]float64
	// short are the pools that lack a worker for a long-running task.
	short map[string]bool
}

// plan places what waits and proposes the starts.
func (o *Orchestrator) plan(now boottime.Instant) {
	began := time.Now()
	o.lastPlan = now
	o.dirty = false
	if !o.mayOrder(now) || o.lead.State().Topology == nil {
		return
	}
	in := o.planInput(now, began)
	result := scheduling.Place(in)
	o.outlook.short = result.Short
	o.propose(result.Placements)
	o.backlog = map[string]float64{}
	o.Metrics.Histogram("placement_round").RecordSince(began)
}

func (o *Orchestrator) planInput(now boottime.Instant, clock time.Time) *scheduling.Input {
	s := o.lead.State()
	in := &scheduling.Input{Now: clock, Teams: map[string]*scheduling.Team{}}
	for i := range s.Topology.Teams {
		t := &s.Topology.Teams[i]
		in.Teams[t.Name] = &scheduling.Team{Cap: t.Cap, Weight: t.Weight}
	}
	workers := o.planWorkers(in, now)
	o.outlook = outlook{
		work: map[string]float64{}, cores: map[string]float64{}, onTime: map[string]float64{},
		runnable: map[string]float64{}, lasting: map[string]float64{}, used: map[string]float64{},
	}
	for _, w := range in.Workers {
		o.outlook.cores[w.Pool] += float64(w.Capacity.MilliCPU) / 1000
	}
	for _, j := range s.Open() {
		o.planJob(in, workers, j, clock)
	}
	for _, w := range workers {
		o.outlook.used[w.Pool] += float64(w.Capacity.MilliCPU-w.Free.MilliCPU) / 1000
	}
	return in
}

// planWorkers adds the workers that may take tasks. Those that may not are
// returned as well, because what runs on them counts against teams.
func (o *Orchestrator) planWorkers(in *scheduling.Input, now boottime.Instant) map[string]*scheduling.Worker {
	s := o.lead.State()
	all := make(map[string]*scheduling.Worker, len(s.Workers))
	for id, w := range s.Workers {
		session := o.sessions[id]
		if session == nil {
			continue
		}
		view := &scheduling.Worker{
			ID: id, Pool: w.Pool, Rack: w.Rack(), Labels: w.Labels, Capacity: w.Capacity, Free: w.Capacity,
			DataCentre: w.DataCentre, Penalty: float64(min(session.failures, maxPenalty)), OfStep: map[scheduling.StepKey]int{},
		}
		if now < session.cold {
			view.Penalty += coldPenalty
		}
		all[id] = view
		if o.usable(session, w, now) {
			in.Workers = append(in.Workers, view)
		}
	}
	sortWorkers(in.Workers)
	return all
}

const (
	// maxPenalty bounds the weight of a worker's failures against its load.
	maxPenalty = 5
	// coldPenalty is the weight of a worker's slow start against its load.
	coldPenalty = 0.5
)

// planJob adds the waiting steps of a job and takes what its runs use.
func (o *Orchestrator) planJob(in *scheduling.Input, workers map[string]*scheduling.Worker, j *workload.Job, clock time.Time) {
	q := o.lead.State().Topology.Queue(j.Queue)
	times := o.runTimes(j.Queue)
	for k := range j.Occurrences {
		occurrence := &j.Occurrences[k]
		for p := range occurrence.Steps {
			o.countRuns(in, workers, j, k, p)
		}
		if j.Status.Ended() || occurrence.Done || q == nil {
			continue
		}
		remaining, work := scheduling.Chain(j.Steps, occurrence.Steps, times)
		whole, wholeWork := scheduling.Chain(j.Steps, nil, times)
		deadline := occurrence.Due.Add(q.Slack + time.Duration(q.Stretch*float64(whole)))
		if j.LongRunning() {
			o.outlook.lasting[q.Pool] += lastingCores(j)
		} else {
			o.outlook.work[q.Pool] += work
			if clock.Add(remaining).Before(deadline) {
				o.outlook.onTime[q.Pool] += work
				o.outlook.runnable[q.Pool] += runnableCores(j, k)
			}
		}
		for p := range occurrence.Steps {
			if occurrence.Steps[p].Waiting() == 0 || !j.StepReady(k, p) {
				continue
			}
			d := &scheduling.Demand{
				Key: scheduling.StepKey{Job: j.ID, Occurrence: k, Step: p}, Step: &j.Steps[p], Pool: q.Pool, Team: j.Team,
				Priority: q.Priority, Deadline: deadline, Remaining: remaining, Work: work, Worth: worth(wholeWork),
			}
			waitingTasks(d, &occurrence.Steps[p])
			if q.Advice != nil && !o.advise(d, q, in) {
				continue
			}
			in.Demands = append(in.Demands, d)
		}
	}
}

// runnableCores is what the tasks of an occurrence that run, or may start, use.
func runnableCores(j *workload.Job, k int) float64 {
	sum := 0.0
	for p := range j.Steps {
		if !j.StepReady(k, p) {
			continue
		}
		progress := &j.Occurrences[k].Steps[p]
		sum += float64((len(progress.Tasks)-progress.Done())*int(scheduling.Occupied(&j.Steps[p]).MilliCPU)) / 1000
	}
	return sum
}

// lastingCores is what the serving tasks of a long-running job use.
func lastingCores(j *workload.Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += float64(j.Steps[i].Count) * float64(scheduling.Occupied(&j.Steps[i]).MilliCPU) / 1000
	}
	return sum
}

// worth is a job's value beside others of its queue: it has a fixed part and
// grows with its work.
func worth(work float64) float64 { return fixedWorth + work }

// fixedWorth is the part of a job's value that doesn't depend on its size, in
// core-seconds.
const fixedWorth = 8

func waitingTasks(d *scheduling.Demand, p *workload.Progress) {
	for i := range p.Tasks {
		if !p.Tasks[i].Done && len(p.Tasks[i].Runs) == 0 {
			d.Waiting = append(d.Waiting, i)
		}
	}
}

// countRuns takes what the runs of a step use from their workers and team.
func (o *Orchestrator) countRuns(in *scheduling.Input, workers map[string]*scheduling.Worker, j *workload.Job, k, p int) {
	if len(j.Steps) == 0 {
		return
	}
	step := &j.Steps[p]
	key := scheduling.StepKey{Job: j.ID, Occurrence: k, Step: p}
	for i := range j.Occurrences[k].Steps[p].Tasks {
		for _, r := range j.Occurrences[k].Steps[p].Tasks[i].Runs {
			if t := in.Teams[j.Team]; t != nil {
				t.Used = t.Used.Plus(step.Need)
			}
			w := workers[r.Worker]
			if w == nil {
				continue
			}
			w.Free = w.Free.Minus(scheduling.Occupied(step))
			w.OfStep[key]++
			w.Count(step, 1)
		}
	}
}

// propose turns placements into starts with the next run numbers. The members
// of a gang share one.
func (o *Orchestrator) propose(placements []scheduling.Placement) {
	s := o.lead.State()
	for _, p := range placements {
		t, j := s.Task(p.Task)
		w := s.Workers[p.Worker]
		if t == nil || w == nil {
			continue
		}
		run := t.LastRun + 1
		if j.Steps[p.Task.Step].Gang {
			run = nextGangRun(&j.Occurrences[p.Task.Occurrence].Steps[p.Task.Step])
		}
		o.targeted[w.ID]++
		o.pending.Starts = append(o.pending.Starts, workload.Start{Task: p.Task, Run: run, Worker: w.ID, Born: w.Born})
	}
	o.placing = o.placing || len(o.pending.Starts) > 0
	o.logPlacements(placements)
}

// logPlacements writes a line for each step of which tasks were placed.
func (o *Orchestrator) logPlacements(placements []scheduling.Placement) {
	for len(placements) > 0 {
		first := placements[0].Task
		n := 1
		for n < len(placements) && sameStep(first, placements[n].Task) {
			n++
		}
		_, j := o.lead.State().Task(first)
		progress := &j.Occurrences[first.Occurrence].Steps[first.Step]
		o.Log.V(1).Info("Placed tasks.", "job", first.Job, "occurrence", first.Occurrence, "step", first.Step, "tasks", n,
			"waiting", progress.Waiting()-n, "done", progress.Done(), "age_ms", time.Since(j.Accepted).Milliseconds())
		placements = placements[n:]
	}
}

func sameStep(a, b workload.TaskID) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
}

func nextGangRun(p *workload.Progress) int {
	highest := 0
	for i := range p.Tasks {
		highest = max(highest, p.Tasks[i].LastRun)
	}
	return highest + 1
}

// submit decides about a job and proposes it. reply is called once, with the
// verdict and with an error if the outcome is open.
func (o *Orchestrator) submit(j *workload.Job, reply func(scheduling.Verdict, error)) {
	s := o.lead.State()
	if s.Jobs[j.ID] != nil {
		reply(scheduling.Verdict{Admitted: true, Reason: "known"}, nil)
		return
	}
	q := s.Topology.Queue(j.Queue)
	times := o.runTimes(j.Queue)
	_, work := scheduling.Chain(j.Steps, nil, times)
	if !o.submitting[j.ID] {
		o.meter(q.Pool, j, work)
		v := scheduling.Admit(j, q, o.poolBacklog(q.Pool), times, o.beyondShare(j))
		if !v.Admitted {
			reply(v, nil)
			return
		}
		o.backlog[q.Pool] += work
		o.submitting[j.ID] = true
		o.pending.Submit = append(o.pending.Submit, *j)
	}
	o.replies = append(o.replies, func(err error) {
		delete(o.submitting, j.ID)
		if err == nil && o.lead != nil && o.lead.State().Jobs[j.ID] == nil {
			err = errNotApplied
		}
		reply(scheduling.Verdict{Admitted: true}, err)
	})
}

// meter counts offered work once, at the time when it was first offered.
func (o *Orchestrator) meter(pool string, j *workload.Job, work float64) {
	now := boottime.Now()
	if !j.LongRunning() && !o.askedBefore(j, now) {
		o.demand(pool).Add(now.Add(-j.Waited), work)
	}
}

// recallDemand counts the jobs that the former leader accepted.
func (o *Orchestrator) recallDemand(now boottime.Instant) {
	s := o.lead.State()
	if s.Topology == nil {
		return
	}
	jobs := slices.SortedFunc(maps.Values(s.Jobs), func(a, b *workload.Job) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range jobs {
		q := s.Topology.Queue(j.Queue)
		if q == nil || len(j.Steps) == 0 || j.LongRunning() {
			continue
		}
		_, work := scheduling.Chain(j.Steps, nil, nil)
		o.demand(q.Pool).Add(now.Add(-max(time.Since(j.Accepted), 0)), work)
	}
}

func (o *Orchestrator) demand(pool string) *scheduling.DemandMeter {
	m := o.fleet.demand[pool]
	if m == nil {
		m = &scheduling.DemandMeter{}
		o.fleet.demand[pool] = m
	}
	return m
}

// beyondShare tells that a job's team has sent more jobs within a second than its
// weight stands for. Each job counts once, however often it comes back.
func (o *Orchestrator) beyondShare(j *workload.Job) bool {
	team := o.lead.State().Topology.Team(j.Team)
	if team == nil || team.Weight <= 0 || j.LongRunning() {
		return false
	}
	now := boottime.Now()
	recent := o.sent[j.Team][:0]
	for _, at := range o.sent[j.Team] {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	if !o.askedBefore(j, now) {
		recent = append(recent, now)
	}
	o.sent[j.Team] = recent
	return float64(len(recent)) > team.Weight
}

// askedBefore tells that a job's caller has asked this leader before. Callers that
// found no leader come for the first time.
func (o *Orchestrator) askedBefore(j *workload.Job, now boottime.Instant) bool {
	return j.Waited > returnedAfter && now.Add(-j.Waited) > o.since
}

// returnedAfter is how long a caller has tried when it counts as one that
// returns after a refusal.
const returnedAfter = 300 * time.Millisecond

func (o *Orchestrator) poolBacklog(pool string) scheduling.Backlog {
	return scheduling.Backlog{Work: o.outlook.onTime[pool] + o.backlog[pool], Cores: o.outlook.cores[pool] + comingShare*o.arriving(pool)}
}

// comingShare is the part of the cores on their way to a pool that counts for
// jobs that are admitted now: they arrive within the time that a job may wait.
const comingShare = 0.4
