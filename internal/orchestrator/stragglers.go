package orchestrator

import (
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

const (
	// restartSettle is the time from an answered stop to the start elsewhere, beside
	// the stop's grace: a list, two commits and a placement.
	restartSettle = 150 * time.Millisecond
	// maxRestarts is how often a task is started again because its run is slow. A
	// task that is slow everywhere is not the workers' fault.
	maxRestarts = 2
	// slowPause keeps tasks away from a worker with slow runs. After it the worker
	// gets another trial.
	slowPause = 2 * time.Second
	// maxSlowShare is the part of a pool's workers that may be avoided as slow. If
	// more of them are, the predictions are wrong.
	maxSlowShare = 0.34
	// evidenceWait is how long a worker may wait for an end while it has young runs,
	// whose speed is not known: little more than scheduling.MinEvidence.
	evidenceWait = 300 * time.Millisecond
	// youngRun is the age below which a run is young.
	youngRun = time.Second
	// wholePercent is the progress of a run that is done.
	wholePercent = 100
)

// restartStragglers stops the runs of a worker that would end sooner elsewhere,
// as the list that was received now tells, and keeps tasks away from the worker for
// a while.
func (o *Orchestrator) restartStragglers(s *session, now boottime.Instant) {
	if !o.mayOrder(now) {
		return
	}
	orders, runs := o.shortRunsListed(s, now)
	for _, i := range scheduling.Stragglers(runs, o.Settings.StopGrace+restartSettle) {
		r, p := orders[i], runs[i]
		t, j := o.lead.State().Task(r.id.Task)
		if t == nil || o.slowElsewhere(j, r) || !o.mayAvoid(s, now) {
			continue
		}
		s.slowUntil = now.Add(slowPause)
		s.avoidUntil = max(s.avoidUntil, s.slowUntil)
		if t.LastRun > maxRestarts || !o.mayInterrupt(j, r) {
			continue
		}
		o.Log.Info("Starting a slow task elsewhere.", "job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number, "worker", s.id,
			"percent", r.percent, "elapsed_ms", p.Elapsed.Milliseconds(), "still_ms", p.Still.Milliseconds(), "predicted_ms", p.Predicted.Milliseconds())
		o.stop(s, r, "slow")
	}
}

// shortRunsListed returns the orders of short tasks that a worker has just listed
// as running, and how far they are.
func (o *Orchestrator) shortRunsListed(s *session, now boottime.Instant) ([]*order, []scheduling.RunProgress) {
	var orders []*order
	var runs []scheduling.RunProgress
	jobs := o.lead.State().Jobs
	for id, r := range s.orders {
		j := jobs[id.Task.Job]
		if r.phase != running || r.seen != now || !restartable(j, r) {
			continue
		}
		p := scheduling.RunProgress{
			Elapsed: now.Sub(r.confirmed), Done: float64(r.percent) / wholePercent, Still: now.Sub(r.progressed),
			Predicted: o.runTimes(j.Queue).Predict(&j.Steps[id.Task.Step]),
		}
		if p.Elapsed >= scheduling.MinEvidence {
			r.slowness = p.Slowness()
		}
		orders, runs = append(orders, r), append(runs, p)
	}
	return orders, runs
}

// restartable tells whether a run's speed is known and its task may be started
// elsewhere by itself. The members of a gang depend on each other, and a task away
// from its data is slow for a known reason.
func restartable(j *workload.Job, r *order) bool {
	if j == nil || j.Status.Ended() || len(j.Steps) <= r.id.Task.Step || r.confirmed == 0 {
		return false
	}
	step := &j.Steps[r.id.Task.Step]
	return !step.LongRunning && !step.Gang && step.DataRack == ""
}

// slowElsewhere tells that another task of a run's step, on another worker, is
// nearly as slow: the step takes longer than predicted, wherever it runs.
func (o *Orchestrator) slowElsewhere(j *workload.Job, r *order) bool {
	tasks := j.Occurrences[r.id.Task.Occurrence].Steps[r.id.Task.Step].Tasks
	for i := range tasks {
		sibling := r.id.Task
		sibling.Index = i
		for _, run := range tasks[i].Runs {
			s := o.sessions[run.Worker]
			if s == nil || run.Worker == r.worker {
				continue
			}
			if other := s.orders[workload.RunID{Task: sibling, Number: run.Number}]; other != nil && other.slowness > r.slowness/2 {
				return true
			}
		}
	}
	return false
}

// mayAvoid tells whether one more worker of a pool may be avoided as slow.
func (o *Orchestrator) mayAvoid(s *session, now boottime.Instant) bool {
	workers := o.lead.State().Workers
	w := workers[s.id]
	if w == nil {
		return false
	}
	all, slow := 0, 1
	for id, other := range o.sessions {
		if peer := workers[id]; peer != nil && peer.Pool == w.Pool {
			all++
			if other != s && now < other.slowUntil {
				slow++
			}
		}
	}
	return float64(slow) <= max(maxSlowShare*float64(all), 1)
}

// hasYoungRuns tells that a worker has runs whose speed is not known yet.
func (o *Orchestrator) hasYoungRuns(s *session, now boottime.Instant) bool {
	jobs := o.lead.State().Jobs
	for id, r := range s.orders {
		if r.phase == running && now.Sub(r.confirmed) < youngRun && restartable(jobs[id.Task.Job], r) {
			return true
		}
	}
	return false
}
