package orchestrator

import (
	"sync"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

const (
	// restartOverhead is the time from the response to a stop to the start elsewhere, in
	// addition to StopGrace. It covers a poll, two commits and a placement round.
	restartOverhead = 150 * time.Millisecond
	// maxRestarts is how often a task is restarted because its run is slow. For a task
	// that is slow on every worker, further restarts would not help.
	maxRestarts = 2
	// slowPause is how long a worker with slow runs gets no tasks. After the pause it
	// gets tasks again, which shows whether it is still slow.
	slowPause = 2 * time.Second
	// maxSlowShare is the part of a pool's workers that may be avoided as slow. If more
	// of them seem slow, the run-time predictions are wrong.
	maxSlowShare = 0.34
	// youngRunPollWait is the wait of a poll while a worker has young runs, whose speed
	// is not known yet. It is slightly longer than scheduling.MinProgressAge.
	youngRunPollWait = 300 * time.Millisecond
	// youngRunAge is the age below which a run is young.
	youngRunAge = time.Second
	// wholePercent is the progress of a completed run.
	wholePercent = 100
)

// restartStragglers stops the runs of a worker that would end sooner on another one,
// according to the list that was received at now. The worker then gets no tasks for
// slowPause.
func (o *Orchestrator) restartStragglers(s *session, now boottime.Instant) {
	if !o.leadershipConfirmed(now) {
		return
	}
	orders, runs := o.shortRunsListed(s, now)
	mayAvoid := sync.OnceValue(func() bool { return o.mayAvoid(s, now) })
	for _, i := range scheduling.Stragglers(runs, o.Settings.StopGrace+restartOverhead) {
		r, p := orders[i], runs[i]
		t, j := o.leadership.State().Task(r.id.Task)
		if t == nil || o.slowElsewhere(j, r) || !mayAvoid() || !p.Stalled() && !o.hasOtherPlace(j, r, s, now) {
			continue
		}
		s.slowUntil = now.Add(slowPause)
		s.avoidUntil = max(s.avoidUntil, s.slowUntil)
		if t.LastRun > maxRestarts || !o.mayInterrupt(j, r) {
			continue
		}
		o.Log.Info("Starting a slow task elsewhere.", "job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number, "worker", s.id,
			"percent", r.percent, "elapsed_ms", p.Elapsed.Milliseconds(), "still_ms", p.SinceProgress.Milliseconds(), "predicted_ms", p.Predicted.Milliseconds())
		o.stop(s, r, "slow")
	}
}

// shortRunsListed returns the orders and the progress of the short tasks that a worker
// has just listed as running.
func (o *Orchestrator) shortRunsListed(s *session, now boottime.Instant) ([]*order, []scheduling.RunProgress) {
	orders := make([]*order, 0, len(s.orders))
	runs := make([]scheduling.RunProgress, 0, len(s.orders))
	jobs := o.leadership.State().Jobs
	for id, r := range s.orders {
		j := jobs[id.Task.Job]
		if r.phase != running || r.listedAt != now || !restartable(j, r) {
			continue
		}
		p := scheduling.RunProgress{
			Elapsed: now.Sub(r.confirmedAt), Done: float64(r.percent) / wholePercent, SinceProgress: now.Sub(r.progressedAt),
			Predicted: o.jobPlan(j).tasks[id.Task.Step],
		}
		if p.Elapsed >= scheduling.MinProgressAge {
			r.slowness = p.Slowness()
		}
		orders, runs = append(orders, r), append(runs, p)
	}
	return orders, runs
}

// restartable reports whether the run of a task has been confirmed and may be restarted
// elsewhere on its own. The members of a gang depend on each other, and a task with a
// data rack may be slow only because it runs away from its data.
func restartable(j *workload.Job, r *order) bool {
	if j == nil || j.Status.Ended() || len(j.Steps) <= r.id.Task.Step || r.confirmedAt == 0 {
		return false
	}
	step := &j.Steps[r.id.Task.Step]
	return !step.LongRunning && !step.Gang && step.DataRack == ""
}

// slowElsewhere reports whether another task of the same step, on another worker, is
// more than half as slow. The step then takes longer than predicted on every worker.
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

// hasOtherPlace reports whether another usable worker can run a task once the short tasks there have
// ended. Without one, a slow run is stopped for nothing, and its worker is avoided by tasks that only
// it can run.
func (o *Orchestrator) hasOtherPlace(j *workload.Job, r *order, s *session, now boottime.Instant) bool {
	if s.worker == nil {
		return false
	}
	d := o.demandOf(j, r.id.Task.StepID(), s.worker.Pool)
	for _, other := range o.sortedSessions() {
		w := other.worker
		if other == s || w == nil || w.Pool != d.Pool || other.viewOf != w || !o.usable(other, w, now) {
			continue
		}
		if d.RoomOn([]*scheduling.Worker{&other.view}, func(*scheduling.Worker) bool { return true }) {
			return true
		}
	}
	return false
}

// mayAvoid reports whether one more worker of a pool may be avoided as slow.
func (o *Orchestrator) mayAvoid(s *session, now boottime.Instant) bool {
	workers := o.leadership.State().Workers
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

// hasYoungRuns reports whether a worker has runs whose speed is not known yet.
func (o *Orchestrator) hasYoungRuns(s *session, now boottime.Instant) bool {
	jobs := o.leadership.State().Jobs
	for id, r := range s.orders {
		if r.phase == running && now.Sub(r.confirmedAt) < youngRunAge && restartable(jobs[id.Task.Job], r) {
			return true
		}
	}
	return false
}
