// Package workload holds the replicated state of submitted work: the topology that
// operators configure, jobs with their tasks and runs, workers, and maintenance
// waves.
//
// State.Apply is deterministic, reads no clock and does no I/O. It validates each
// change, so that a stale plan can't start a task twice or after its job has ended.
package workload

import (
	"time"

	"cactusspar/internal/resources"
)

// State is the replicated state. It isn't safe for concurrent use.
type State struct {
	Topology *Topology          `msgpack:"t"`
	Jobs     map[string]*Job    `msgpack:"j"`
	Workers  map[string]*Worker `msgpack:"w"`
	Waves    map[uint64]*Wave   `msgpack:"v"`
	// EarlyCancels holds the cancels of jobs that are not known, by the jobs' IDs.
	EarlyCancels map[string]EarlyCancel `msgpack:"c"`
	// Holders holds the last term in which each replica may have ordered moves and
	// maintenance.
	Holders map[string]uint64 `msgpack:"h"`
	// Evacuations holds the data centres that are or were evacuated.
	Evacuations map[string]Evacuation `msgpack:"e"`
	// RetiredPools holds the pools that a former topology named and the present one doesn't. Instances
	// may still be in them.
	RetiredPools map[string]RetiredPool `msgpack:"p"`
	// RetiredQueues and RetiredTeams hold the last version of those that the topology doesn't name any
	// more, by their names, as long as a job or an early cancel names them.
	RetiredQueues map[string]Queue `msgpack:"q"`
	RetiredTeams  map[string]Team  `msgpack:"u"`

	// open holds the jobs that have not ended or still have runs.
	open map[string]*Job
	// usage holds what the runs on each worker take, usedByTeam the resources of the runs
	// of each team.
	usage      map[string]*Usage
	usedByTeam map[string]resources.Amount
	// suspects is the number of suspects of jobs that have not ended.
	suspects int
	// presumed holds the presumed crashes under tasks of jobs that have not ended.
	presumed map[WorkerIncarnation]*PresumedCrash
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		Jobs: map[string]*Job{}, Workers: map[string]*Worker{}, Waves: map[uint64]*Wave{}, EarlyCancels: map[string]EarlyCancel{}, Evacuations: map[string]Evacuation{}, Holders: map[string]uint64{},
		RetiredPools: map[string]RetiredPool{}, RetiredQueues: map[string]Queue{}, RetiredTeams: map[string]Team{},
		open: map[string]*Job{}, usage: map[string]*Usage{}, usedByTeam: map[string]resources.Amount{}, presumed: map[WorkerIncarnation]*PresumedCrash{},
	}
}

// BuildIndex rebuilds the indices and counters that a snapshot doesn't hold.
func (s *State) BuildIndex() {
	s.suspects = 0
	if s.EarlyCancels == nil {
		s.EarlyCancels = map[string]EarlyCancel{} // snapshots of earlier versions lack it
	}
	if s.Holders == nil {
		s.Holders = map[string]uint64{} // the same
	}
	if s.Evacuations == nil {
		s.Evacuations = map[string]Evacuation{} // the same
	}
	if s.RetiredPools == nil {
		s.RetiredPools = map[string]RetiredPool{} // the same
	}
	if s.RetiredQueues == nil {
		s.RetiredQueues = map[string]Queue{} // the same
	}
	if s.RetiredTeams == nil {
		s.RetiredTeams = map[string]Team{} // the same
	}
	s.open, s.usage, s.usedByTeam, s.presumed = map[string]*Job{}, map[string]*Usage{}, map[string]resources.Amount{}, map[WorkerIncarnation]*PresumedCrash{}
	if s.Topology != nil {
		s.Topology.BuildIndex()
	}
	for _, j := range s.Jobs {
		s.indexJob(j)
	}
}

func (s *State) indexJob(j *Job) {
	j.activeRuns, j.suspects = 0, 0
	for o := range j.Occurrences {
		for p := range j.Occurrences[o].Steps {
			progress := &j.Occurrences[o].Steps[p]
			progress.done, progress.waiting = 0, 0
			for i := range progress.Tasks {
				s.indexTask(TaskID{Job: j.ID, Occurrence: o, Step: p, Index: i}, &progress.Tasks[i], j)
			}
		}
	}
	s.updateOpen(j)
}

func (s *State) indexTask(id TaskID, t *Task, j *Job) {
	j.Occurrences[id.Occurrence].Steps[id.Step].count(t, 1)
	if t.Suspect {
		s.countSuspects(j, 1)
	}
	for i := range t.Crashes {
		if !j.Status.Ended() {
			s.indexPresumed(id, &t.Crashes[i])
		}
	}
	for _, r := range t.Runs {
		j.activeRuns++
		s.indexRun(r.Worker, RunID{id, r.Number}, j)
	}
}

// count adds n to the counter of the tasks in the state of t. Tasks that have a run and
// are not done are not counted.
func (p *Progress) count(t *Task, n int) {
	switch {
	case t.Done:
		p.done += n
	case len(t.Runs) == 0:
		p.waiting += n
	}
}

// updateOpen updates the membership of a job in open. It drops the bulky fields of a
// job that has ended and has no runs left.
func (s *State) updateOpen(j *Job) {
	if j.Status.Ended() && j.activeRuns == 0 {
		delete(s.open, j.ID)
		j.Occurrences, j.Steps, j.Spec, j.suspects = nil, nil, "", 0
		return
	}
	s.open[j.ID] = j
}

// Open returns the jobs that have not ended or still have runs. The map must not be
// modified.
func (s *State) Open() map[string]*Job { return s.open }

// Task returns a task and its job, or nil if the task isn't known.
func (s *State) Task(id TaskID) (*Task, *Job) {
	j := s.Jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= len(j.Occurrences) || id.Step < 0 {
		return nil, nil
	}
	steps := j.Occurrences[id.Occurrence].Steps
	if id.Step >= len(steps) || id.Index < 0 || id.Index >= len(steps[id.Step].Tasks) {
		return nil, nil
	}
	return &steps[id.Step].Tasks[id.Index], j
}

// FindRun returns a run that may be executing, or nil if it isn't known.
func (s *State) FindRun(id RunID) *Run {
	t, _ := s.Task(id.Task)
	if t == nil {
		return nil
	}
	for i := range t.Runs {
		if t.Runs[i].Number == id.Number {
			return &t.Runs[i]
		}
	}
	return nil
}

// Pending returns the number of a queue's accepted jobs that have not started.
func (s *State) Pending(queue string) int {
	n := 0
	for _, j := range s.open {
		if j.Queue == queue && j.Status == Queued {
			n++
		}
	}
	return n
}

// Apply applies a command. now is the leader's clock reading, which is the same on
// every replica.
func (s *State) Apply(c *Command, now time.Time) {
	s.applyTopology(c.Topology, now)
	s.applyHolder(c.Holder)
	for i := range c.Evacuations {
		s.applyEvacuation(&c.Evacuations[i], now)
	}
	for i := range c.Verdicts {
		s.applyVerdict(&c.Verdicts[i], now)
	}
	for i := range c.Crashes {
		s.applyCrash(&c.Crashes[i], now)
	}
	for i := range c.Workers {
		s.applyWorker(c.Workers[i], now)
	}
	for _, removed := range c.RemovedWorkers {
		s.applyRemovedWorker(removed, now)
	}
	for _, f := range c.Fences {
		if w := s.Workers[f.Worker]; w != nil && w.Incarnation == f.Incarnation {
			w.Fence = max(w.Fence, f.State)
		}
	}
	for i := range c.Submit {
		s.applySubmit(c.Submit[i], now)
	}
	for _, id := range c.Cancel {
		s.applyCancel(id, now)
	}
	for _, early := range c.EarlyCancels {
		s.applyEarlyCancel(early, now)
	}
	for i := range c.Ends {
		s.applyEnd(&c.Ends[i], now)
	}
	for i := range c.Released {
		s.applyRelease(&c.Released[i])
	}
	for _, id := range c.Acquitted {
		s.applyAcquittal(id)
	}
	for _, o := range c.Openings {
		s.applyOpening(o)
	}
	for _, k := range c.Cordons {
		if w := s.Workers[k.Worker]; w != nil && w.Incarnation == k.Incarnation {
			w.Cordoned = k.Cordoned
		}
	}
	s.applyStarts(c.Starts, now)
	for i := range c.Waves {
		s.applyWave(c.Waves[i], now)
	}
	for i := range c.Maintenance {
		s.applyWaveEvent(&c.Maintenance[i])
	}
	for _, id := range c.RemovedJobs {
		if j := s.Jobs[id]; j != nil && j.Status.Ended() && j.activeRuns == 0 {
			delete(s.Jobs, id)
		}
	}
}

func (s *State) applyTopology(t *Topology, now time.Time) {
	if t == nil || s.Topology != nil && t.Version <= s.Topology.Version {
		return
	}
	t.BuildIndex()
	s.applyRenames(t)
	s.retirePools(t)
	s.retireNames(t)
	s.Topology = t
	s.recheckFailures(now)
}

// applyRenames gives the jobs of queues and teams that have another name in the topology t
// that name. A queue is renamed if its host and prefix lead to a new one, a team if a new
// one has one of its keys. Either may have been retired in between.
func (s *State) applyRenames(t *Topology) {
	if s.Topology == nil {
		return
	}
	queues, teams := s.renamedQueues(t), s.renamedTeams(t)
	if len(queues)+len(teams) == 0 {
		return
	}
	for _, j := range s.Jobs {
		if name, ok := queues[j.Queue]; ok {
			j.Queue = name
		}
		if name, ok := teams[j.Team]; ok {
			j.Team = name
		}
	}
	s.renameEarlyCancels(queues, teams)
	for from, to := range teams {
		if used, ok := s.usedByTeam[from]; ok {
			s.usedByTeam[to] = s.usedByTeam[to].Plus(used)
			delete(s.usedByTeam, from)
		}
	}
}

func (s *State) applyWorker(w Worker, now time.Time) {
	known := s.Workers[w.ID]
	if known != nil && w.Incarnation < known.Incarnation {
		return
	}
	if known != nil && w.Incarnation == known.Incarnation {
		w.Acknowledged, w.Since, w.Cordoned, w.Fence = known.Acknowledged, known.Since, known.Cordoned, known.Fence
		// Draining is final within an incarnation.
		w.Draining = w.Draining || known.Draining
	} else {
		w.Acknowledged, w.Since, w.Cordoned, w.Fence = 0, now, false, Unfenced
	}
	s.Workers[w.ID] = &w
}

// applyRemovedWorker removes a worker that has ended, and its runs. An earlier incarnation
// than the known one is ignored.
func (s *State) applyRemovedWorker(removed WorkerIncarnation, _ time.Time) {
	w := s.Workers[removed.Worker]
	if w == nil || w.Incarnation != removed.Incarnation {
		return
	}
	delete(s.Workers, removed.Worker)
	for id := range s.RunsOn(removed.Worker) {
		if r := s.FindRun(id); r != nil && r.Incarnation <= removed.Incarnation {
			s.removeRun(id, "")
		}
	}
}

func (s *State) applyWave(w Wave, now time.Time) {
	if s.Waves[w.ID] != nil {
		return
	}
	w.Accepted, w.Ordered, w.Started = now, map[string]time.Time{}, map[string]bool{}
	s.Waves[w.ID] = &w
}

func (s *State) applyWaveEvent(e *WaveEvent) {
	w := s.Waves[e.Wave]
	if w == nil {
		return
	}
	if _, ok := w.Ordered[e.Instance]; e.Ordered && !ok {
		w.Ordered[e.Instance] = e.At
	}
	if e.Started {
		w.Started[e.Instance] = true
	}
}
