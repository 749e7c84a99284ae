package state

import "sort"

const (
	// maxJobs bounds the jobs that wait or run.
	maxJobs = 50_000
	// maxEndedJobs bounds the ended jobs that are kept for operators to look at.
	maxEndedJobs = 5_000
	maxJobBatch  = 1024
	maxPriority  = 7
	// maxAttempts is how often a job is started before its failure stands.
	maxAttempts = 3
)

// submitJobs adds jobs, all or none. A job for an unknown pool or team is
// rejected; whether it fits an instance is for the planner to say.
func (s *State) submitJobs(c *SubmitJobs) *Error {
	if n := len(c.Jobs); n == 0 || n > maxJobBatch {
		return reject(CodeInvalid, "%d jobs in one command, expected 1 to %d", n, maxJobBatch)
	}
	if s.liveJobs+len(c.Jobs) > maxJobs {
		return reject(CodeBudget, "%d jobs wait or run, at most %d are allowed", s.liveJobs, maxJobs)
	}
	seen := map[string]bool{}
	for i := range c.Jobs {
		if err := s.checkJob(&c.Jobs[i]); err != nil {
			return err
		}
		if seen[c.Jobs[i].ID] {
			return reject(CodeInvalid, "job %q is submitted twice in one command", c.Jobs[i].ID)
		}
		seen[c.Jobs[i].ID] = true
	}
	for _, j := range c.Jobs {
		j.Status, j.Reason, j.SubmittedAt, j.Failures = JobWaiting, "", s.Clock, 0
		s.putJob(j)
	}
	return nil
}

func (s *State) checkJob(j *Job) *Error {
	if err := checkName("job", j.ID); err != nil {
		return err
	}
	if s.Jobs[j.ID] != nil {
		return reject(CodeConflict, "job %q was submitted before", j.ID)
	}
	if !s.HasPool(j.Pool) {
		return reject(CodeNotFound, "job %q: pool %q is not declared by rules version %d", j.ID, j.Pool, s.Config.Version)
	}
	if _, ok := s.rules.Teams[j.Team]; !ok {
		return reject(CodeNotFound, "job %q: team %q is not declared by rules version %d", j.ID, j.Team, s.Config.Version)
	}
	if j.Kind != Batch && j.Kind != Urgent && j.Kind != Workspace {
		return reject(CodeInvalid, "job %q has kind %q, expected %s, %s or %s", j.ID, j.Kind, Batch, Urgent, Workspace)
	}
	if j.Priority < 0 || j.Priority > maxPriority {
		return reject(CodeInvalid, "job %q has priority %d, expected 0 to %d", j.ID, j.Priority, maxPriority)
	}
	d := j.Declared
	if d.MilliCPU < 0 || d.MemoryMB < 0 || d.Accelerators < 0 || d == (Resources{}) {
		return reject(CodeInvalid, "job %q declares no size or a negative one", j.ID)
	}
	return nil
}

// cancelJobs cancels jobs that wait or run; others are passed over, so that a
// mass cancellation needs no list of what has ended meanwhile.
func (s *State) cancelJobs(c *CancelJobs) *Error {
	if n := len(c.IDs); n == 0 || n > maxJobs {
		return reject(CodeInvalid, "%d jobs in one command, expected 1 to %d", n, maxJobs)
	}
	cancelled := map[string]bool{}
	for _, id := range c.IDs {
		j := s.Jobs[id]
		if j == nil || j.Ended() {
			continue
		}
		cancelled[id] = true
		next := *j
		next.Status, next.Reason = JobCancelled, "cancelled by "+c.By
		s.putJob(next)
	}
	for _, t := range s.Tasks {
		if cancelled[t.Job] && t.Status != TaskStopping {
			next := *t
			next.Status = TaskStopping
			s.putTask(next)
		}
	}
	return nil
}

// refuse ends a job that can never run under the rules in force.
func (s *State) refuseJobs(refusals []JobRefusal) *Error {
	for _, r := range refusals {
		j := s.Jobs[r.Job]
		if j == nil || j.Status != JobWaiting {
			return reject(CodeStale, "job %q is not waiting", r.Job)
		}
	}
	for _, r := range refusals {
		next := *s.Jobs[r.Job]
		next.Status, next.Reason = JobRefused, r.Reason
		s.putJob(next)
	}
	return nil
}

// reconsider makes the refused jobs of a pool wait again, of all pools if it is
// empty, because the rules or the fleet have changed. The planner refuses them
// again if they still can't run.
func (s *State) reconsider(pool string) {
	var ids []string
	for id, j := range s.Jobs {
		if j.Status == JobRefused && (pool == "" || j.Pool == pool) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids) // every replica takes the same ones up to the bound
	for _, id := range ids {
		if s.liveJobs >= maxJobs {
			return
		}
		next := *s.Jobs[id]
		next.Status, next.Reason = JobWaiting, ""
		s.putJob(next)
	}
}

// Ended tells whether the job neither waits nor runs.
func (j *Job) Ended() bool {
	return j.Status != JobWaiting && j.Status != JobRunning
}

func (s *State) putJob(j Job) {
	j.Index = s.Index
	if known := s.Jobs[j.ID]; known != nil {
		s.countJob(known, -1)
	}
	s.countJob(&j, 1)
	s.Jobs[j.ID] = &j
	s.pruneJobs()
}

// countJob keeps the numbers of live and waiting jobs.
func (s *State) countJob(j *Job, n int) {
	if !j.Ended() {
		s.liveJobs += n
	}
	if j.Status == JobWaiting {
		s.teamWaiting[j.Team] += n
	}
}

// pruneJobs drops the half of the ended jobs that ended first once there are
// too many, so that its cost is spread over many commands.
func (s *State) pruneJobs() {
	if len(s.Jobs)-s.liveJobs <= maxEndedJobs {
		return
	}
	var ended []*Job
	for _, j := range s.Jobs {
		if j.Ended() {
			ended = append(ended, j)
		}
	}
	sort.Slice(ended, func(a, b int) bool {
		if ended[a].Index != ended[b].Index {
			return ended[a].Index < ended[b].Index
		}
		return ended[a].ID < ended[b].ID
	})
	for _, j := range ended[:len(ended)/2] {
		delete(s.Jobs, j.ID)
	}
}
