package state

// placeTasks starts and stops tasks as planned, all or none. Every start is
// checked against the condition and free resources of the instance and against
// the team's limit, so that a stale plan can't violate them.
func (s *State) placeTasks(c *PlaceTasks) *Error {
	p := newPlacementCheck(s)
	for i := range c.Start {
		if err := p.checkStart(&c.Start[i]); err != nil {
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

// placementCheck validates the starts of one command together. It adds up their
// resources by instance and their number by team.
type placementCheck struct {
	s           *State
	reserved    map[string]Resources
	teamStarts  map[string]int
	startedJobs map[string]bool
}

func newPlacementCheck(s *State) *placementCheck {
	p := &placementCheck{s: s, reserved: map[string]Resources{}, teamStarts: map[string]int{}, startedJobs: map[string]bool{}}
	for _, t := range s.Tasks {
		p.reserved[t.Instance] = p.reserved[t.Instance].Plus(t.Reserved)
	}
	return p
}

// checkStart validates one start and counts it for the checks of later ones.
func (p *placementCheck) checkStart(t *Task) *Error {
	if err := checkName("task", t.ID); err != nil {
		return err
	}
	if p.s.Tasks[t.ID] != nil {
		return reject(CodeConflict, "task %q exists already", t.ID)
	}
	job := p.s.Jobs[t.Job]
	if job == nil || job.Status != JobWaiting || p.startedJobs[t.Job] {
		return reject(CodeStale, "task %q: job %q is not waiting", t.ID, t.Job)
	}
	p.startedJobs[t.Job] = true
	n := p.s.Instances[t.Instance]
	switch {
	case n == nil:
		return reject(CodeNotFound, "task %q: instance %q is not known", t.ID, t.Instance)
	case n.Condition != Active:
		return reject(CodeStale, "task %q: instance %q is %s", t.ID, t.Instance, n.Condition)
	case n.Pool != job.Pool || n.PoolEpoch != t.PoolEpoch:
		return reject(CodeStale, "task %q: instance %q is in pool %q with epoch %d", t.ID, t.Instance, n.Pool, n.PoolEpoch)
	case p.s.hasTasksOfFormerPool(n):
		return reject(CodeStale, "task %q: instance %q still runs work of its former pool", t.ID, t.Instance)
	}
	total := p.reserved[t.Instance].Plus(t.Reserved)
	if !total.Fits(n.Resources) {
		return reject(CodeBudget, "task %q: instance %q has no room for it", t.ID, t.Instance)
	}
	p.reserved[t.Instance] = total
	p.teamStarts[job.Team]++
	if sum, limit := p.s.LimitUsage(job.Team)+p.teamStarts[job.Team], p.s.TeamLimit(job.Team); sum > limit {
		return reject(CodeInvariant, "team %q would have %d running or granted, above its limit of %d", job.Team, sum, limit)
	}
	return nil
}

// hasTasksOfFormerPool reports whether the instance runs tasks that were started
// under an earlier pool epoch. Its use enforces invariant I2.
func (s *State) hasTasksOfFormerPool(n *Instance) bool {
	for id := range s.tasksByInstance[n.ID] {
		if s.Tasks[id].PoolEpoch != n.PoolEpoch {
			return true
		}
	}
	return false
}

// reportTasks records the reports of the platform. A task that has ended is
// removed, and its job is done, waits again or fails.
func (s *State) reportTasks(c *ReportTasks) *Error {
	for _, r := range c.Reports {
		t := s.Tasks[r.Task]
		if t == nil {
			continue // a late report on a task that has ended
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

// endTask removes a task and updates its job. A job that was stopped by plan or
// failed waits again; after maxAttempts failures it has failed.
func (s *State) endTask(t *Task, failed bool) {
	job := s.Jobs[t.Job]
	if job != nil && job.Status == JobRunning {
		next := *job
		switch {
		case t.Status == TaskStopping:
			next.Status = JobWaiting // stopped by plan; resumes from its checkpoint
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

// countTask adds n to the number of tasks of the team, and adds the task to those
// of its instance or, if n is negative, removes it.
func (s *State) countTask(t *Task, n int) {
	if job := s.Jobs[t.Job]; job != nil {
		s.tasksByTeam[job.Team] += n
	}
	if n < 0 {
		delete(s.tasksByInstance[t.Instance], t.ID)
		return
	}
	if s.tasksByInstance[t.Instance] == nil {
		s.tasksByInstance[t.Instance] = map[string]bool{}
	}
	s.tasksByInstance[t.Instance][t.ID] = true
}

// LimitUsage returns what counts against a team's limit: the amounts held by its
// grants and its tasks.
func (s *State) LimitUsage(team string) int { return s.heldByTeam[team] + s.tasksByTeam[team] }

// TasksOf returns the number of tasks of a team.
func (s *State) TasksOf(team string) int { return s.tasksByTeam[team] }

// ReservedForJobs returns the part of a team's limit that is reserved from requests
// for its waiting jobs. It is at most what the team's tasks leave of half the
// limit, rounded up, so that neither requests nor jobs starve the other.
func (s *State) ReservedForJobs(team string) int {
	return min(s.waitingByTeam[team], max(0, (s.TeamLimit(team)+1)/2-s.tasksByTeam[team]))
}

// TasksOn returns the number of tasks on an instance.
func (s *State) TasksOn(instance string) int { return len(s.tasksByInstance[instance]) }
