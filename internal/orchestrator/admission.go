package orchestrator

import (
	"time"

	"cactusspar/internal/admission"
	"cactusspar/internal/boottime"
	"cactusspar/internal/fairness"
	"cactusspar/internal/resources"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// competition is what the leader remembers of the callers that compete for a pool.
type competition struct {
	division fairness.Division
	returns  admission.Returns
}

func (o *Orchestrator) competition(pool string) *competition {
	c := o.competitions[pool]
	if c == nil {
		c = &competition{}
		o.competitions[pool] = c
	}
	return c
}

// admit decides whether to accept a job, and counts it as demand and for its team's share
// unless counted is set. remaining is how much longer its caller waits.
func (o *Orchestrator) admit(j *workload.Job, counted bool, remaining time.Duration) scheduling.AdmissionDecision {
	q := o.leadership.State().Topology.Queue(j.Queue)
	o.load.submissions++
	now, times, pool := boottime.Now(), o.runTimes(j.Queue), o.competition(q.Pool)
	_, work := scheduling.CriticalPath(j.Steps, nil, times)
	part := 0.0
	if !j.LongRunning() && j.OccurrenceCount == 0 {
		part = jobWork(j, times).Dominant(o.sharedCapacity(q.Pool))
	}
	counted = counted || o.submittedBefore(j, now)
	if !counted {
		o.recordDemand(q.Pool, j, work)
		pool.division.Offer(now, j.Team, o.weight(j.Team), part)
	}
	backlog := o.poolBacklog(q.Pool)
	_, inTurn := pool.returns.Take(now, j.ID)
	if !inTurn {
		backlog.Work += pool.returns.Held(now, time.Second)
	}
	standing := scheduling.WithinShare
	switch {
	case o.exceedsTeamRate(j, counted):
		standing = scheduling.OverRate
	case o.Settings.SharesByWork && pool.division.Exceeds(now, j.Team):
		standing = scheduling.OverShare
	}
	decision := scheduling.Admit(j, q, backlog, times, standing, o.Settings.LateFactor)
	if decision.Admitted {
		pool.division.Give(now, j.Team, part)
		o.countAccepted(j, q.Pool, work, decision.Reason == "")
	} else {
		o.orderReturn(j, q.Pool, work, remaining, &decision)
		if inTurn {
			o.count("return_promises_total", "broken")
		}
	}
	if inTurn && decision.Admitted {
		o.count("return_promises_total", "kept")
	}
	o.Metrics.Counter("admissions_total", "workspace", j.Team, "result", admissionResult(&decision)).Inc(1)
	return decision
}

func admissionResult(d *scheduling.AdmissionDecision) string {
	switch {
	case !d.Admitted:
		return d.Reason
	case d.Reason != "":
		return "accepted-" + d.Reason
	}
	return "accepted"
}

// countAccepted counts an accepted job until the next placement round does.
func (o *Orchestrator) countAccepted(j *workload.Job, pool string, work float64, onTime bool) {
	if onTime {
		o.backlog[pool] += work
	} else {
		o.lateBacklog[pool] += work
	}
	for i := range j.Steps {
		if len(j.Steps[i].DependsOn) == 0 {
			o.ahead += j.Steps[i].Count
		}
	}
}

// orderReturn sets the time after which a refused caller should return, and keeps a place for
// its job if there will be room within the time that it has left.
func (o *Orchestrator) orderReturn(j *workload.Job, pool string, work float64, remaining time.Duration, decision *scheduling.AdmissionDecision) {
	accepted := o.poolStats.onTime[pool] + o.backlog[pool]
	cores := o.poolStats.cores[pool] + o.fleet.arriving[pool]
	room := func(after time.Duration) float64 { return cores*after.Seconds() - accepted }
	returns := &o.competition(pool).returns
	after, kept := returns.Reserve(boottime.Now(), j.ID, j.Team, work, remaining, room)
	o.Metrics.Counter("return_promises_total", "reason", "lapsed").Inc(int64(returns.CountLapsed()))
	if kept {
		decision.RetryAfter = after
	}
}

// sharedCapacity returns the capacity that the teams of a pool share, with the instances that
// are on their way.
func (o *Orchestrator) sharedCapacity(pool string) resources.Amount {
	cores := o.poolStats.cores[pool]
	if cores == 0 {
		return resources.Amount{}
	}
	return o.poolStats.capacity[pool].Scale((cores + o.fleet.incoming[pool]) / cores)
}

// jobWork returns what a job takes in all resources.
func jobWork(j *workload.Job, times *scheduling.RunTimes) fairness.Work {
	var w fairness.Work
	for i := range j.Steps {
		s := &j.Steps[i]
		taskSeconds := float64(s.Count) * times.Predict(s).Seconds()
		w.CoreSeconds += taskSeconds * float64(s.Resources.MilliCPU) / 1000
		w.MemoryMBSeconds += taskSeconds * float64(s.Resources.MemoryMB)
		w.AcceleratorSeconds += taskSeconds * float64(s.Resources.Accelerators)
	}
	return w
}

// restoreShare counts a job that an earlier leader accepted for its team's share of a pool with the
// given capacity.
func (o *Orchestrator) restoreShare(j *workload.Job, pool string, capacity resources.Amount, accepted boottime.Instant) {
	if boottime.Now().Sub(accepted) >= fairness.Window {
		return
	}
	part := jobWork(j, nil).Dominant(capacity)
	division := &o.competition(pool).division
	division.Offer(accepted, j.Team, o.weight(j.Team), part)
	division.Give(accepted, j.Team, part)
}

func (o *Orchestrator) weight(team string) float64 {
	if t := o.leadership.State().Topology.Team(team); t != nil {
		return t.Weight
	}
	return 0
}

// exceedsTeamRate reports whether a job's team has submitted more jobs within a second than
// its weight allows. Each job counts once, however often its submission is repeated: counted
// is set for a job that counts already.
func (o *Orchestrator) exceedsTeamRate(j *workload.Job, counted bool) bool {
	weight := o.weight(j.Team)
	if weight <= 0 || j.LongRunning() {
		return false
	}
	now := boottime.Now()
	recent := o.recentJobs[j.Team][:0]
	for _, at := range o.recentJobs[j.Team] {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	if !counted {
		recent = append(recent, now)
	}
	o.recentJobs[j.Team] = recent
	return float64(len(recent)) > weight
}
