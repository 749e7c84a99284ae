// Package workload is the replicated model of submitted work: the topology that
// operators configure, jobs with their tasks and runs, workers, and maintenance
// waves.
//
// Apply is deterministic, reads no clock and does no I/O. It validates each
// change, so that a stale plan can't start a task twice or after its job ended.
package workload

import (
	"time"
)

// State is the replicated model. It is owned by one goroutine.
type State struct {
	Topology *Topology          `msgpack:"t"`
	Jobs     map[string]*Job    `msgpack:"j"`
	Workers  map[string]*Worker `msgpack:"w"`
	Waves    map[uint64]*Wave   `msgpack:"v"`

	// open holds the jobs that have not ended or have runs left.
	open map[string]*Job
	// onWorker holds the runs of each worker.
	onWorker map[string]map[RunID]*Job
}

// New returns an empty state.
func New() *State {
	return &State{
		Jobs: map[string]*Job{}, Workers: map[string]*Worker{}, Waves: map[uint64]*Wave{},
		open: map[string]*Job{}, onWorker: map[string]map[RunID]*Job{},
	}
}

// Index rebuilds what a snapshot doesn't hold.
func (s *State) Index() {
	s.open, s.onWorker = map[string]*Job{}, map[string]map[RunID]*Job{}
	if s.Topology != nil {
		s.Topology.Index()
	}
	for _, j := range s.Jobs {
		s.indexJob(j)
	}
}

func (s *State) indexJob(j *Job) {
	j.live = 0
	for o := range j.Occurrences {
		for p := range j.Occurrences[o].Steps {
			progress := &j.Occurrences[o].Steps[p]
			progress.done, progress.waiting = 0, 0
			for i := range progress.Tasks {
				t := &progress.Tasks[i]
				progress.count(t, 1)
				for _, r := range t.Runs {
					j.live++
					s.noteRun(r.Worker, RunID{TaskID{Job: j.ID, Occurrence: o, Step: p, Index: i}, r.Number}, j)
				}
			}
		}
	}
	s.noteOpen(j)
}

// count adds n times a task to the counts of its step.
func (p *Progress) count(t *Task, n int) {
	switch {
	case t.Done:
		p.done += n
	case len(t.Runs) == 0:
		p.waiting += n
	}
}

func (s *State) noteRun(worker string, id RunID, j *Job) {
	runs := s.onWorker[worker]
	if runs == nil {
		runs = map[RunID]*Job{}
		s.onWorker[worker] = runs
	}
	runs[id] = j
}

func (s *State) noteOpen(j *Job) {
	if j.Status.Ended() && j.live == 0 {
		delete(s.open, j.ID)
		j.Occurrences, j.Steps, j.Spec = nil, nil, ""
		return
	}
	s.open[j.ID] = j
}

// Open returns the jobs that have not ended or have runs left. The map must not
// be changed.
func (s *State) Open() map[string]*Job { return s.open }

// RunsOn returns the runs that may be at work on a worker. The map must not be
// changed.
func (s *State) RunsOn(worker string) map[RunID]*Job { return s.onWorker[worker] }

// Task returns a task and its step, or nil if it isn't known.
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

// FindRun returns a run that may be at work, or nil.
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

// Pending counts the jobs of a queue that are accepted and have not begun.
func (s *State) Pending(queue string) int {
	n := 0
	for _, j := range s.open {
		if j.Queue == queue && j.Status == Queued {
			n++
		}
	}
	return n
}

// Apply applies a command with the leader's clock reading.
func (s *State) Apply(c *Command, now time.Time) {
	s.applyTopology(c.Topology)
	for i := range c.Workers {
		s.applyWorker(c.Workers[i], now)
	}
	for _, l := range c.Gone {
		s.applyGone(l, now)
	}
	for i := range c.Submit {
		s.applySubmit(c.Submit[i], now)
	}
	for _, id := range c.Cancel {
		s.applyCancel(id, now)
	}
	for i := range c.Ends {
		s.applyEnd(&c.Ends[i], now)
	}
	for i := range c.Released {
		s.applyRelease(&c.Released[i])
	}
	for _, o := range c.Open {
		s.applyOpening(o)
	}
	s.applyStarts(c.Starts, now)
	for i := range c.Waves {
		s.applyWave(c.Waves[i], now)
	}
	for i := range c.Maintenance {
		s.applyWaveEvent(&c.Maintenance[i])
	}
	for _, id := range c.Forget {
		if j := s.Jobs[id]; j != nil && j.Status.Ended() && j.live == 0 {
			delete(s.Jobs, id)
		}
	}
}

func (s *State) applyTopology(t *Topology) {
	if t == nil || s.Topology != nil && t.Version <= s.Topology.Version {
		return
	}
	t.Index()
	s.Topology = t
}

func (s *State) applyWorker(w Worker, now time.Time) {
	known := s.Workers[w.ID]
	if known != nil && w.Born < known.Born {
		return
	}
	if known != nil && w.Born == known.Born {
		w.Noted, w.Since = known.Noted, known.Since
		// A worker that has said that it leaves doesn't come back in this life.
		w.Draining = w.Draining || known.Draining
	} else {
		w.Noted, w.Since = 0, now
	}
	s.Workers[w.ID] = &w
}

// applyGone removes a worker that has ended. Nothing runs on it any more.
func (s *State) applyGone(l Life, _ time.Time) {
	w := s.Workers[l.Worker]
	if w == nil || w.Born != l.Born {
		return
	}
	delete(s.Workers, l.Worker)
	for id := range s.onWorker[l.Worker] {
		if r := s.FindRun(id); r != nil && r.Born <= l.Born {
			s.removeRun(id, "")
		}
	}
}

func (s *State) applyWave(w Wave, now time.Time) {
	if s.Waves[w.ID] != nil {
		return
	}
	w.Accepted, w.Ordered, w.Begun = now, map[string]time.Time{}, map[string]bool{}
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
	if e.Begun {
		w.Begun[e.Instance] = true
	}
}
