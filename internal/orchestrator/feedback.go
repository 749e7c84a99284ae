package orchestrator

import (
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

const (
	// suspectFailures is the number of consecutive jobs that fail on a worker before it
	// gets no tasks for a while. A job that fails everywhere counts once per worker.
	suspectFailures = 3
	// firstSuspectPause is the length of the first pause. It doubles with each further
	// failed job up to maxSuspectPause. After a pause the worker gets tasks again.
	firstSuspectPause = time.Second
	maxSuspectPause   = 8 * time.Second
	// maxFailedGangs is the number of failed runs of gangs that are remembered for each worker. The
	// members of as many gangs may end in turn on it.
	maxFailedGangs = 8
)

// gangRun identifies a run of a gang, which all members share.
type gangRun struct {
	step   workload.StepID
	number int
}

func gangRunOf(e *workload.RunEnd) gangRun { return gangRun{e.Task.StepID(), e.Run} }

// countGangFailureOnce changes the outcome of a failed member of a gang if another member's failure
// in the same run has been counted. The state counts each end as failed that is committed as such,
// so that the decision is made here: replicas of all versions count alike.
func (o *Orchestrator) countGangFailureOnce(e *workload.RunEnd) {
	t, j := o.leadership.State().Task(e.Task)
	if e.Outcome != workload.RunFailed || t == nil || e.Task.Step >= len(j.Steps) || !j.Steps[e.Task.Step].Gang {
		return
	}
	run := gangRunOf(e)
	members := j.Occurrences[e.Task.Occurrence].Steps[e.Task.Step].Tasks
	counted := func(member workload.Task) bool { return slices.Contains(member.FailedRuns, e.Run) }
	if o.failedGangRuns[run] || slices.ContainsFunc(members, counted) {
		e.Outcome = workload.GangBroken
		return
	}
	o.failedGangRuns[run] = true
}

// observeEnd updates the run times of the queue and the failure count of the worker
// from the end of a run, which a list showed that was received at an instant.
func (o *Orchestrator) observeEnd(s *session, e *workload.RunEnd, received boottime.Instant) {
	r := s.orders[workload.RunID{Task: e.Task, Number: e.Run}]
	j := o.leadership.State().Jobs[e.Task.Job]
	if j == nil || r == nil || len(j.Steps) == 0 {
		return
	}
	step := &j.Steps[e.Task.Step]
	switch e.Outcome {
	case workload.Succeeded:
		s.failures = 0
		if r.confirmedAt > 0 && step.Estimate > 0 && !step.LongRunning {
			o.runTimes(j.Queue).Observe(step.Estimate, received.Sub(r.confirmedAt))
		}
	case workload.RunFailed:
		if s.failedJob == e.Task.Job || step.Gang && !s.rememberGang(gangRunOf(e)) {
			return
		}
		s.failedJob = e.Task.Job
		s.failures++
		if s.failures >= suspectFailures {
			pause := min(firstSuspectPause<<min(s.failures-suspectFailures, maxPenalty), maxSuspectPause)
			s.avoidUntil = max(s.avoidUntil, received.Add(pause))
			o.Log.Info("Avoiding a worker whose runs fail.", "worker", s.id, "failures", s.failures, "pause_ms", pause.Milliseconds())
		}
	}
}

// rememberGang remembers that a run of a gang has failed on the worker, and reports whether that is
// new: its members on one worker are one piece of evidence.
func (s *session) rememberGang(run gangRun) bool {
	if slices.Contains(s.failedGangs, run) {
		return false
	}
	s.failedGangs = append(s.failedGangs, run)
	if extra := len(s.failedGangs) - maxFailedGangs; extra > 0 {
		s.failedGangs = slices.Delete(s.failedGangs, 0, extra)
	}
	return true
}

// runTimes returns the run-time estimator of a queue.
func (o *Orchestrator) runTimes(queue string) *scheduling.RunTimes {
	r := o.runTimesByQueue[queue]
	if r == nil {
		r = &scheduling.RunTimes{}
		o.runTimesByQueue[queue] = r
	}
	return r
}
