package workload

import (
	"cmp"
	"slices"
	"time"
)

// CrashVerdict tells whether a worker whose crash was presumed has crashed.
type CrashVerdict struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Worker      string
	Incarnation int64
	Crashed     bool
	// Tasks holds the tasks with a presumed crash of the worker.
	Tasks []TaskID
}

// PresumedCrash is a crash that only the silence of a worker suggests, with the tasks that may
// be the cause. Instance is empty if it wasn't known.
type PresumedCrash struct {
	Instance string
	tasks    map[TaskID]bool
}

// Tasks returns the tasks that may be the cause, sorted.
func (p *PresumedCrash) Tasks() []TaskID {
	out := make([]TaskID, 0, len(p.tasks))
	for id := range p.tasks {
		out = append(out, id)
	}
	slices.SortFunc(out, TaskID.Compare)
	return out
}

// PresumedCrashes returns the presumed crashes of workers. The map must not be modified.
func (s *State) PresumedCrashes() map[WorkerIncarnation]*PresumedCrash { return s.presumed }

func (c *Crash) worker() WorkerIncarnation {
	return WorkerIncarnation{Worker: c.Worker, Incarnation: c.Incarnation}
}

// AwaitedVerdict returns the worker with the latest presumed crash of a task under which other
// workers are known to have crashed: if it did, too, the task may be to blame.
func (t *Task) AwaitedVerdict() (WorkerIncarnation, bool) {
	if len(t.provenCrashes()) >= crashesToGiveUp {
		for i := len(t.Crashes) - 1; i >= 0; i-- {
			if t.Crashes[i].Presumed {
				return t.Crashes[i].worker(), true
			}
		}
	}
	return WorkerIncarnation{}, false
}

func (s *State) indexPresumed(id TaskID, c *Crash) {
	if !c.Presumed {
		return
	}
	p := s.presumed[c.worker()]
	if p == nil {
		p = &PresumedCrash{tasks: map[TaskID]bool{}}
		s.presumed[c.worker()] = p
	}
	p.Instance = cmp.Or(p.Instance, c.Instance)
	p.tasks[id] = true
}

func (s *State) unindexPresumed(id TaskID, c *Crash) {
	p := s.presumed[c.worker()]
	if p == nil || !c.Presumed {
		return
	}
	delete(p.tasks, id)
	if len(p.tasks) == 0 {
		delete(s.presumed, c.worker())
	}
}

// unindexPresumedOf removes the presumed crashes of the tasks of a job from the index.
func (s *State) unindexPresumedOf(j *Job) {
	if len(s.presumed) == 0 {
		return
	}
	j.eachTask(func(id TaskID, t *Task) {
		for i := range t.Crashes {
			s.unindexPresumed(id, &t.Crashes[i])
		}
	})
}

// removeCrashes removes the crashes of a task for which drop returns true.
func (s *State) removeCrashes(id TaskID, t *Task, drop func(*Crash) bool) {
	t.Crashes = slices.DeleteFunc(t.Crashes, func(c Crash) bool {
		if !drop(&c) {
			return false
		}
		s.unindexPresumed(id, &c)
		return true
	})
}

// applyVerdict counts the presumed crash of a worker with the tasks that may be the cause, or
// withdraws it. A task that has a run is not given up: the run, which may have outlasted the ones
// under which workers crashed, decides.
func (s *State) applyVerdict(v *CrashVerdict, now time.Time) {
	worker := WorkerIncarnation{Worker: v.Worker, Incarnation: v.Incarnation}
	var waiting []TaskID
	for _, id := range v.Tasks {
		t, j := s.Task(id)
		if t == nil || j.Status.Ended() {
			continue
		}
		presumed := func(c *Crash) bool { return c.Presumed && c.worker() == worker }
		if !v.Crashed || t.Done {
			s.removeCrashes(id, t, presumed)
			continue
		}
		for i := range t.Crashes {
			if c := &t.Crashes[i]; presumed(c) {
				s.unindexPresumed(id, c)
				c.Presumed = false
				s.suspectAfter(c, t, j)
			}
		}
		if len(t.Runs) == 0 {
			waiting = append(waiting, id)
		}
	}
	s.giveUp(waiting, now)
}
