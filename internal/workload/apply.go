package workload

import (
	"slices"
	"time"
)

func (s *State) applySubmit(j Job, now time.Time) {
	if s.Jobs[j.ID] != nil || s.Topology.Queue(j.Queue) == nil {
		return
	}
	j.Accepted, j.Status, j.Begun, j.Occurrences = now, Queued, false, nil
	s.Jobs[j.ID] = &j
	if j.Times == 0 {
		s.addOccurrence(&j)
	}
	s.noteOpen(&j)
}

func (s *State) addOccurrence(j *Job) {
	o := Occurrence{Due: j.DueAt(len(j.Occurrences)), Steps: make([]Progress, len(j.Steps))}
	for i := range j.Steps {
		o.Steps[i].Tasks = make([]Task, j.Steps[i].Count)
		o.Steps[i].waiting = j.Steps[i].Count
	}
	j.Occurrences = append(j.Occurrences, o)
}

// applyOpening adds the next occurrence of a scheduled job.
func (s *State) applyOpening(o Opening) {
	j := s.Jobs[o.Job]
	if j == nil || j.Status.Ended() || o.Occurrence != len(j.Occurrences) || o.Occurrence >= j.occurrences() {
		return
	}
	s.addOccurrence(j)
}

func (s *State) applyCancel(id string, now time.Time) {
	if j := s.Jobs[id]; j != nil && !j.Status.Ended() {
		s.end(j, Cancelled, now)
	}
}

// end ends a job. Its runs stay known until they have ended.
func (s *State) end(j *Job, status Status, now time.Time) {
	j.Status, j.EndedAt = status, now
	s.noteOpen(j)
}

// applyStarts adds runs. A start is left out if its job has ended, its step may
// not start yet, its task is done or has a run that doesn't allow a copy, or its
// worker is another life than planned for.
func (s *State) applyStarts(starts []Start, now time.Time) {
	for i := range starts {
		st := &starts[i]
		t, j := s.Task(st.Task)
		w := s.Workers[st.Worker]
		if t == nil || w == nil || w.Born != st.Born || w.Draining || j.Status.Ended() || t.Done || st.Run <= t.LastRun {
			continue
		}
		step := &j.Steps[st.Task.Step]
		if len(t.Runs) > 0 && !step.Speculative || !j.StepReady(st.Task.Occurrence, st.Task.Step) {
			continue
		}
		progress := &j.Occurrences[st.Task.Occurrence].Steps[st.Task.Step]
		progress.count(t, -1)
		t.LastRun = st.Run
		t.Runs = append(t.Runs, Run{Number: st.Run, Worker: st.Worker, Born: st.Born, Since: now})
		progress.count(t, 1)
		j.live++
		j.Begun, j.Status = true, Active
		s.noteRun(st.Worker, RunID{st.Task, st.Run}, j)
	}
}

// removeRun forgets a run and keeps its checkpoint.
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
	j.live--
	delete(s.onWorker[worker], id)
	if len(s.onWorker[worker]) == 0 {
		delete(s.onWorker, worker)
	}
	s.keepCheckpoint(id.Task, j, checkpoint)
	s.noteOpen(j)
}

// keepCheckpoint stores saved progress; that of a gang's member holds for all.
func (s *State) keepCheckpoint(id TaskID, j *Job, checkpoint string) {
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

func (s *State) applyRelease(r *Release) {
	s.removeRun(RunID{r.Task, r.Run}, r.Checkpoint)
}

// applyEnd takes note of an end. An end that was noted before changes nothing.
func (s *State) applyEnd(e *End, now time.Time) {
	w := s.Workers[e.Worker]
	if w != nil && w.Born == e.Born {
		if e.Sequence <= w.Noted {
			return
		}
		w.Noted = e.Sequence
	}
	t, j := s.Task(e.Task)
	if t == nil {
		return
	}
	s.finishRun(t, j, e, now)
	s.removeRun(RunID{e.Task, e.Run}, e.Checkpoint)
}

func (s *State) finishRun(t *Task, j *Job, e *End, now time.Time) {
	if j.Status.Ended() || t.Done || e.Run > t.LastRun {
		return
	}
	step := &j.Steps[e.Task.Step]
	progress := &j.Occurrences[e.Task.Occurrence].Steps[e.Task.Step]
	switch {
	case step.LongRunning:
	case e.Outcome == Succeeded && step.Gang:
		for i := range progress.Tasks {
			progress.markDone(&progress.Tasks[i])
		}
		s.checkCompleted(j, e.Task.Occurrence, now)
	case e.Outcome == Succeeded:
		progress.markDone(t)
		s.checkCompleted(j, e.Task.Occurrence, now)
	case e.Outcome == Faulted && step.Gang:
		progress.Failures++
		s.checkFailures(j, progress.Failures, now)
	case e.Outcome == Faulted:
		t.Failures++
		s.checkFailures(j, t.Failures, now)
	}
}

func (p *Progress) markDone(t *Task) {
	p.count(t, -1)
	t.Done = true
	p.count(t, 1)
}

// checkFailures ends a job of which a task has failed too often.
func (s *State) checkFailures(j *Job, failures int, now time.Time) {
	if q := s.Topology.Queue(j.Queue); failures >= s.maxAttempts(q) {
		s.end(j, Failed, now)
	}
}

// defaultAttempts holds for the jobs of a queue that has been removed.
const defaultAttempts = 3

func (s *State) maxAttempts(q *Queue) int {
	if q == nil || q.MaxAttempts <= 0 {
		return defaultAttempts
	}
	return q.MaxAttempts
}

func (s *State) checkCompleted(j *Job, occurrence int, now time.Time) {
	o := &j.Occurrences[occurrence]
	for i := range o.Steps {
		if o.Steps[i].done < len(o.Steps[i].Tasks) {
			return
		}
	}
	o.Done = true
	if len(j.Occurrences) < j.occurrences() {
		return
	}
	for i := range j.Occurrences {
		if !j.Occurrences[i].Done {
			return
		}
	}
	s.end(j, Completed, now)
}
