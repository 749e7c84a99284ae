package workload

import "cactusspar/internal/resources"

// StepID identifies a step of an occurrence.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// StepID returns the step that a task belongs to.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// Usage is what the runs on a worker take from it. It is updated with each run that is
// added or removed, so that a placement round needs no pass over all runs.
type Usage struct {
	// Runs holds the runs that may be executing, with their jobs.
	Runs map[RunID]*Job
	// Occupied is what they take from the worker's capacity.
	Occupied resources.Amount
	// Lasting is the part of Occupied that long-running tasks take, which doesn't become free by
	// itself.
	Lasting resources.Amount
	// LatencySensitive is the number of tasks with a tail latency target, BestEffort that
	// of best-effort tasks, and LongRunning that of long-running tasks that aren't
	// best-effort.
	LatencySensitive, BestEffort, LongRunning int
	// ByStep is the number of tasks of each step that limits the tasks on a worker.
	ByStep map[StepID]int
	// Suspects is the number of runs of tasks that are suspected of crashing their workers.
	Suspects int
}

// Occupied returns what a task of the step takes from a worker's capacity. A best-effort
// task has no processors of its own.
func (s *Step) Occupied() resources.Amount {
	occupied := s.Resources
	if s.BestEffort {
		occupied.MilliCPU = 0
	}
	return occupied
}

// add adds n runs of a step, which may be negative.
func (u *Usage) add(id StepID, s *Step, n int) {
	u.Occupied = u.Occupied.Plus(s.Occupied().Times(n))
	if s.LongRunning {
		u.Lasting = u.Lasting.Plus(s.Occupied().Times(n))
	}
	switch {
	case s.BestEffort:
		u.BestEffort += n
	case s.LongRunning:
		u.LongRunning += n
	}
	if s.TailLatencyTarget > 0 {
		u.LatencySensitive += n
	}
	if s.MaxPerWorker == 0 {
		return
	}
	if u.ByStep == nil {
		u.ByStep = map[StepID]int{}
	}
	if u.ByStep[id] += n; u.ByStep[id] == 0 {
		delete(u.ByStep, id)
	}
}

// indexRun adds a run to the usage of its worker and team.
func (s *State) indexRun(worker string, id RunID, j *Job) {
	u := s.usage[worker]
	if u == nil {
		u = &Usage{Runs: map[RunID]*Job{}}
		s.usage[worker] = u
	}
	u.Runs[id] = j
	s.countRun(u, id, j, 1)
}

// unindexRun removes a run from the usage of its worker and team.
func (s *State) unindexRun(worker string, id RunID, j *Job) {
	u := s.usage[worker]
	if u == nil || u.Runs[id] == nil {
		return
	}
	delete(u.Runs, id)
	s.countRun(u, id, j, -1)
	if len(u.Runs) == 0 {
		delete(s.usage, worker)
	}
}

func (s *State) countRun(u *Usage, id RunID, j *Job, n int) {
	step := &j.Steps[id.Task.Step]
	u.add(id.Task.StepID(), step, n)
	if t, _ := s.Task(id.Task); t != nil && t.Suspect {
		u.Suspects += n
	}
	s.usedByTeam[j.Team] = s.usedByTeam[j.Team].Plus(step.Resources.Times(n))
	if s.usedByTeam[j.Team] == (resources.Amount{}) {
		delete(s.usedByTeam, j.Team)
	}
}

// Usage returns what the runs on a worker take, or nil if it has none. It must not be
// modified.
func (s *State) Usage(worker string) *Usage { return s.usage[worker] }

// RunsOn returns the runs that may be executing on a worker, with their jobs. The
// map must not be modified.
func (s *State) RunsOn(worker string) map[RunID]*Job {
	if u := s.usage[worker]; u != nil {
		return u.Runs
	}
	return nil
}

// UsedByTeam returns the resources of a team's runs.
func (s *State) UsedByTeam(team string) resources.Amount { return s.usedByTeam[team] }
