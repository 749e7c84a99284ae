package workload

import (
	"slices"
	"time"
)

// applySubmit adds a job. A job that is known, or whose queue isn't, is ignored.
func (s *State) applySubmit(j Job, now time.Time) {
	if s.Jobs[j.ID] != nil || s.Topology.Queue(j.Queue) == nil {
		return
	}
	j.Accepted, j.Status, j.Started, j.Occurrences = now, Queued, false, nil
	s.Jobs[j.ID] = &j
	if s.takeEarlyCancel(&j, now) {
		s.endJob(&j, Cancelled, now)
		return
	}
	if j.OccurrenceCount == 0 {
		s.addOccurrence(&j)
	}
	s.updateOpen(&j)
}

func (s *State) addOccurrence(j *Job) {
	o := Occurrence{Due: j.DueAt(len(j.Occurrences)), Steps: make([]Progress, len(j.Steps))}
	for i := range j.Steps {
		o.Steps[i].Tasks = make([]Task, j.Steps[i].Count)
		o.Steps[i].waiting = j.Steps[i].Count
	}
	j.Occurrences = append(j.Occurrences, o)
}

// applyOpening adds the next occurrence of a scheduled job. Any other occurrence is
// ignored.
func (s *State) applyOpening(o OccurrenceOpening) {
	j := s.Jobs[o.Job]
	if j == nil || j.Status.Ended() || o.Occurrence != len(j.Occurrences) || o.Occurrence >= j.totalOccurrences() {
		return
	}
	s.addOccurrence(j)
}

// endJob ends a job. Its runs are kept until they have ended.
func (s *State) endJob(j *Job, status Status, now time.Time) {
	s.suspects -= j.suspects
	s.unindexPresumedOf(j)
	j.Status, j.EndedAt = status, now
	s.updateOpen(j)
}

// applyStarts adds runs. A start is ignored if its job has ended, its step may not
// start yet, its task is done or already has a run and its step isn't speculative,
// its run number is not new, or its worker must not begin it (see StartBlocked), is closed for the
// trial of another job's task or has another incarnation than planned. A gang starts whole or not at
// all.
func (s *State) applyStarts(starts []RunStart, now time.Time) {
	for i := range starts {
		s.applyStart(&starts[i], now)
	}
	for i := range starts {
		s.undoPartialGang(&starts[i])
	}
}

// undoPartialGang removes the run of a gang's member if another member's start was ignored.
// No order has been sent for it yet.
func (s *State) undoPartialGang(st *RunStart) {
	_, j := s.Task(st.Task)
	if j == nil || !j.Steps[st.Task.Step].Gang || s.FindRun(RunID{st.Task, st.Run}) == nil {
		return
	}
	tasks := j.Occurrences[st.Task.Occurrence].Steps[st.Task.Step].Tasks
	if slices.ContainsFunc(tasks, func(t Task) bool { return t.LastRun != st.Run || len(t.Runs) == 0 }) {
		s.removeRun(RunID{st.Task, st.Run}, "")
	}
}

func (s *State) applyStart(st *RunStart, now time.Time) {
	t, j := s.Task(st.Task)
	w := s.Workers[st.Worker]
	if t == nil || w == nil || w.Incarnation != st.Incarnation || j.Status.Ended() || t.Done || st.Run <= t.LastRun {
		return
	}
	step := &j.Steps[st.Task.Step]
	if len(t.Runs) > 0 && !step.Speculative || !j.StepReady(st.Task.Occurrence, st.Task.Step) || s.closedTo(st.Worker, j) {
		return
	}
	if s.StartBlocked(w, j, step, s.OccupiedOn(w.ID).Plus(step.Occupied()), s.usedByTeam[j.Team].Plus(step.Resources)) != "" {
		return
	}
	progress := &j.Occurrences[st.Task.Occurrence].Steps[st.Task.Step]
	progress.count(t, -1)
	t.LastRun = st.Run
	t.Runs = append(t.Runs, Run{Number: st.Run, Worker: st.Worker, Incarnation: st.Incarnation, Since: now})
	progress.count(t, 1)
	j.activeRuns++
	j.Started, j.Status = true, Active
	s.indexRun(st.Worker, RunID{st.Task, st.Run}, j)
}

// removeRun removes a run and stores its checkpoint.
func (s *State) removeRun(id RunID, checkpoint string) {
	t, j := s.Task(id.Task)
	if t == nil {
		return
	}
	at := slices.IndexFunc(t.Runs, func(r Run) bool { return r.Number == id.Number })
	if at < 0 {
		return
	}
	worker := t.Runs[at].Worker
	progress := &j.Occurrences[id.Task.Occurrence].Steps[id.Task.Step]
	progress.count(t, -1)
	t.Runs = slices.Delete(t.Runs, at, at+1)
	progress.count(t, 1)
	j.activeRuns--
	s.unindexRun(worker, id, j)
	s.storeCheckpoint(id.Task, j, checkpoint)
	s.updateOpen(j)
}

// storeCheckpoint stores the checkpoint of a task. The checkpoint of a gang member
// applies to all members.
func (s *State) storeCheckpoint(id TaskID, j *Job, checkpoint string) {
	if checkpoint == "" || id.Step >= len(j.Steps) {
		return
	}
	progress := &j.Occurrences[id.Occurrence].Steps[id.Step]
	if !j.Steps[id.Step].Gang {
		progress.Tasks[id.Index].Checkpoint = checkpoint
		return
	}
	for i := range progress.Tasks {
		progress.Tasks[i].Checkpoint = checkpoint
	}
}

func (s *State) applyRelease(r *RunRelease) {
	s.removeRun(RunID{r.Task, r.Run}, r.Checkpoint)
}

// applyEnd applies the end of a run. An end that the worker has reported before changes
// neither task nor job, but its run can't be executing and is removed.
func (s *State) applyEnd(e *RunEnd, now time.Time) {
	w := s.Workers[e.Worker]
	if w != nil && w.Incarnation == e.Incarnation {
		if e.Sequence <= w.Acknowledged {
			s.removeRun(RunID{e.Task, e.Run}, e.Checkpoint)
			return
		}
		w.Acknowledged = e.Sequence
	}
	t, j := s.Task(e.Task)
	if t == nil {
		return
	}
	s.finishRun(t, j, e, now)
	s.removeRun(RunID{e.Task, e.Run}, e.Checkpoint)
}

// finishRun updates the task and the job of a run that has ended. The end of a run
// of a long-running task changes neither.
func (s *State) finishRun(t *Task, j *Job, e *RunEnd, now time.Time) {
	if j.Status.Ended() || t.Done || e.Run > t.LastRun {
		return
	}
	if e.Outcome == Succeeded || e.Outcome == RunFailed {
		s.acquit(e.Task, t, j) // the run has ended and its worker has not
	}
	step := &j.Steps[e.Task.Step]
	progress := &j.Occurrences[e.Task.Occurrence].Steps[e.Task.Step]
	switch {
	case step.LongRunning:
	case e.Outcome == Succeeded && step.Gang:
		for i := range progress.Tasks {
			member := e.Task
			member.Index = i
			s.acquit(member, &progress.Tasks[i], j)
			progress.markDone(&progress.Tasks[i])
		}
		s.checkCompleted(j, e.Task.Occurrence, now)
	case e.Outcome == Succeeded:
		progress.markDone(t)
		s.checkCompleted(j, e.Task.Occurrence, now)
	case e.Outcome == RunFailed && slices.Contains(t.FailedRuns, e.Run):
	case e.Outcome == RunFailed && step.Gang:
		t.FailedRuns = append(t.FailedRuns, e.Run)
		progress.Failures++
		s.checkFailures(j, progress.Failures, now)
	case e.Outcome == RunFailed:
		t.FailedRuns = append(t.FailedRuns, e.Run)
		t.Failures++
		s.checkFailures(j, t.Failures, now)
	}
}

func (p *Progress) markDone(t *Task) {
	p.count(t, -1)
	t.Done = true
	p.count(t, 1)
}

// checkFailures ends a job if a task or gang of it has failed as often as its queue
// allows.
func (s *State) checkFailures(j *Job, failures int, now time.Time) {
	if q := s.Queue(j.Queue); q != nil && failures >= q.attempts() {
		s.endJob(j, Failed, now)
	}
}

// recheckFailures ends the jobs that have failed as often as a new topology allows.
func (s *State) recheckFailures(now time.Time) {
	for _, j := range s.open {
		if !j.Status.Ended() {
			s.checkFailures(j, j.mostFailures(), now)
		}
	}
}

// mostFailures returns how often the task or gang of a job that failed most has failed.
func (j *Job) mostFailures() int {
	most := 0
	for o := range j.Occurrences {
		for p := range j.Occurrences[o].Steps {
			progress := &j.Occurrences[o].Steps[p]
			if progress.done == len(progress.Tasks) {
				continue
			}
			most = max(most, progress.Failures)
			for i := range progress.Tasks {
				if t := &progress.Tasks[i]; !t.Done {
					most = max(most, t.Failures)
				}
			}
		}
	}
	return most
}

// defaultMaxAttempts applies if the queue sets no limit.
const defaultMaxAttempts = 3

func (q *Queue) attempts() int {
	if q.MaxAttempts <= 0 {
		return defaultMaxAttempts
	}
	return q.MaxAttempts
}

// checkCompleted marks an occurrence as done if all its tasks are, and completes the
// job if all its occurrences are done.
func (s *State) checkCompleted(j *Job, occurrence int, now time.Time) {
	o := &j.Occurrences[occurrence]
	for i := range o.Steps {
		if o.Steps[i].done < len(o.Steps[i].Tasks) {
			return
		}
	}
	o.Done = true
	if len(j.Occurrences) < j.totalOccurrences() {
		return
	}
	for i := range j.Occurrences {
		if !j.Occurrences[i].Done {
			return
		}
	}
	s.endJob(j, Completed, now)
}
