package state

// placeTasks starts and stops tasks as planned, all or none. Every start is
// checked against the instance, its free room and the team's limit, so that a
// stale plan can't break one of these.
func (s *State) placeTasks(c *PlaceTasks) *Error {
	p := newPlacementCheck(s)
	for i := range c.Start {
		if err := p.start(&c.Start[i]); err != nil {
			return err
		}
	}
	for _, id := range c.Stop {
		if s.Tasks[id] == nil {
			return reject(CodeStale, "task %q is not known", id)
		}
	}
	if len(c.Refuse) > 0 {
		if err := s.refuseJobs(c.Refuse); err != nil {
			return err
		}
	}
	for _, t := range c.Start {
		t.Status, t.StartedAt, t.Used, t.Failed = TaskStarting, s.Clock, Resources{}, false
		s.putTask(t)
		next := *s.Jobs[t.Job]
		next.Status = JobRunning
		s.putJob(next)
	}
	for _, id := range c.Stop {
		next := *s.Tasks[id]
		next.Status = TaskStopping
		s.putTask(next)
	}
	return nil
}

// placementCheck adds up the starts of one command.
type placementCheck struct {
	s     *State
	used  map[string]Resources
	teams map[string]int
	jobs  map[string]bool
}

func newPlacementCheck(s *State) *placementCheck {
	p := &placementCheck{s: s, used: map[string]Resources{}, teams: map[string]int{}, jobs: map[string]bool{}}
	for _, t := range s.Tasks {
		p.used[t.Instance] = p.used[t.Instance].Plus(t.Reserved)
	}
	return p
}

func (p *placementCheck) start(t *Task) *Error {
	if err := checkName("task", t.ID); err != nil {
		return err
	}
	if p.s.Tasks[t.ID] != nil {
		return reject(CodeConflict, "task %q exists already", t.ID)
	}
	job := p.s.Jobs[t.Job]
	if job == nil || job.Status != JobWaiting || p.jobs[t.Job] {
		return reject(CodeStale, "task %q: job %q is not waiting", t.ID, t.Job)
	}
	p.jobs[t.Job] = true
	n := p.s.Instances[t.Instance]
	switch {
	case n == nil:
		return reject(CodeNotFound, "task %q: instance %q is not known", t.ID, t.Instance)
	case n.Condition != Active:
		return reject(CodeStale, "task %q: instance %q is %s", t.ID, t.Instance, n.Condition)
	case n.Pool != job.Pool || n.PoolEpoch != t.PoolEpoch:
		return reject(CodeStale, "task %q: instance %q is in pool %q with epoch %d", t.ID, t.Instance, n.Pool, n.PoolEpoch)
	case p.s.hasOldTasks(n):
		return reject(CodeStale, "task %q: instance %q still runs work of its former pool", t.ID, t.Instance)
	}
	total := p.used[t.Instance].Plus(t.Reserved)
	if !total.Fits(n.Resources) {
		return reject(CodeBudget, "task %q: instance %q has no room for it", t.ID, t.Instance)
	}
	p.used[t.Instance] = total
	p.teams[job.Team]++
	if sum, limit := p.s.Committed(job.Team)+p.teams[job.Team], p.s.TeamLimit(job.Team); sum > limit {
		return reject(CodeInvariant, "team %q would have %d running or granted, above its limit of %d", job.Team, sum, limit)
	}
	return nil
}

// hasOldTasks tells whether the instance runs tasks of an earlier pool. (I2)
func (s *State) hasOldTasks(n *Instance) bool {
	for id := range s.tasksOn[n.ID] {
		if s.Tasks[id].PoolEpoch != n.PoolEpoch {
			return true
		}
	}
	return false
}

// reportTasks records what the platform reported. A task that ended is dropped
// and its job ends, waits again or fails.
func (s *State) reportTasks(c *ReportTasks) *Error {
	for _, r := range c.Reports {
		t := s.Tasks[r.Task]
		if t == nil {
			continue // a lagged report of a task that has ended
		}
		if r.Status == TaskEnded {
			s.endTask(t, r.Failed)
			continue
		}
		next := *t
		next.Used, next.LeaseEnds = r.Used, r.LeaseEnds
		if t.Status == TaskStarting {
			next.Status = TaskRunning
		}
		s.putTask(next)
	}
	return nil
}

func (s *State) endTask(t *Task, failed bool) {
	job := s.Jobs[t.Job]
	if job != nil && job.Status == JobRunning {
		next := *job
		switch {
		case t.Status == TaskStopping:
			next.Status = JobWaiting // stopped by plan, goes on from its checkpoint
		case !failed:
			next.Status = JobDone
		default:
			next.Failures++
			next.FailedOn = t.Instance
			next.Status = JobWaiting
			if next.Failures >= maxAttempts {
				next.Status, next.Reason = JobFailed, "failed on every attempt"
			}
		}
		s.putJob(next)
	}
	delete(s.Tasks, t.ID)
	s.countTask(t, -1)
}

func (s *State) putTask(t Task) {
	t.Index = s.Index
	if s.Tasks[t.ID] == nil {
		s.countTask(&t, 1)
	}
	s.Tasks[t.ID] = &t
}

// countTask keeps the number of tasks of each team and the tasks of each instance.
func (s *State) countTask(t *Task, n int) {
	if job := s.Jobs[t.Job]; job != nil {
		s.teamTasks[job.Team] += n
	}
	if n < 0 {
		delete(s.tasksOn[t.Instance], t.ID)
		return
	}
	if s.tasksOn[t.Instance] == nil {
		s.tasksOn[t.Instance] = map[string]bool{}
	}
	s.tasksOn[t.Instance][t.ID] = true
}

// Committed returns what counts against a team's limit: grants and tasks.
func (s *State) Committed(team string) int { return s.held[team] + s.teamTasks[team] }

// TasksOf returns the number of a team's tasks.
func (s *State) TasksOf(team string) int { return s.teamTasks[team] }

// RoomForJobs returns the part of a team's limit that requests must leave to its
// waiting jobs: up to half of the limit, so that neither keeps out the other.
func (s *State) RoomForJobs(team string) int {
	return min(s.teamWaiting[team], max(0, (s.TeamLimit(team)+1)/2-s.teamTasks[team]))
}

// TasksOn returns the number of tasks on an instance.
func (s *State) TasksOn(instance string) int { return len(s.tasksOn[instance]) }
