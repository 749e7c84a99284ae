package orchestrator

import (
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
)

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
		if s.failedJob == e.Task.Job {
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

// runTimes returns the run-time estimator of a queue.
func (o *Orchestrator) runTimes(queue string) *scheduling.RunTimes {
	r := o.runTimesByQueue[queue]
	if r == nil {
		r = &scheduling.RunTimes{}
		o.runTimesByQueue[queue] = r
	}
	return r
}
