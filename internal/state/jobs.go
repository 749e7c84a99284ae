package state

import "sort"

const (
	// maxJobs bounds the jobs that wait or run.
	maxJobs = 50_000
	// maxEndedJobs bounds the ended jobs that are kept for inspection by operators.
	maxEndedJobs      = 5_000
	maxJobsPerCommand = 1024
	maxPriority       = 7
	// maxAttempts is the number of failed tasks after which a job has failed.
	maxAttempts = 3
)

// submitJobs adds jobs, all or none. A job for an unknown pool or team is
// rejected. Whether it fits an instance is decided later by the planner.
func (s *State) submitJobs(c *SubmitJobs) *Error {
	if n := len(c.Jobs); n == 0 || n > maxJobsPerCommand {
		return reject(CodeInvalid, "%d jobs in one command, expected 1 to %d", n, maxJobsPerCommand)
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

// cancelJobs cancels the jobs that wait or run. Unknown and ended jobs are
// ignored, so that a bulk cancellation succeeds although jobs end meanwhile.
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

// refuseJobs ends jobs that can never run under the rules in force, all or none.
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

// requeueRefused makes the refused jobs of a pool wait again, or those of all
// pools if pool is empty. It is called when the rules or the fleet have changed.
// The planner refuses the jobs again if they still can't run.
func (s *State) requeueRefused(pool string) {
	var ids []string
	for id, j := range s.Jobs {
		if j.Status == JobRefused && (pool == "" || j.Pool == pool) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids) // every replica requeues the same jobs up to maxJobs
	for _, id := range ids {
		if s.liveJobs >= maxJobs {
			return
		}
		next := *s.Jobs[id]
		next.Status, next.Reason = JobWaiting, ""
		s.putJob(next)
	}
}

// Ended reports whether the job neither waits nor runs.
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

// countJob adds n to the counts of live and waiting jobs that j belongs to.
func (s *State) countJob(j *Job, n int) {
	if !j.Ended() {
		s.liveJobs += n
	}
	if j.Status == JobWaiting {
		s.waitingByTeam[j.Team] += n
	}
}

// pruneJobs removes the half of the ended jobs that ended first once there are
// more than maxEndedJobs. Removing half of them at once amortises the cost over
// many commands.
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
