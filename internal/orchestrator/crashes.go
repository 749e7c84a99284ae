package orchestrator

import (
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

const (
	// commonCauseWindow is the time within which the workers of a rack that are lost have
	// a common cause.
	commonCauseWindow = time.Second
	// adoptedAge is the age up to which a run that this leader has adopted may have just been
	// started when its worker was lost, if the worker has not responded to this leader.
	adoptedAge = 3 * time.Second
	// maxSuspectLines bounds the log lines about the suspects of one crash.
	maxSuspectLines = 8
)

// contacted records that a worker has responded to a call.
func (s *session) contacted(at boottime.Instant) {
	s.lastContact, s.failingSince, s.disconnected = max(s.lastContact, at), 0, false
}

// callFailed records that a call to a worker had no response.
func (s *session) callFailed(err error, at boottime.Instant) {
	s.listedAt = 0 // the worker may have restarted
	if s.failingSince == 0 {
		s.failingSince = at
		s.disconnected = executor.Disconnected(err)
	}
}

// lostAt returns when the contact with a worker was lost, as far as calls have shown.
func (s *session) lostAt() boottime.Instant {
	if s.failingSince != 0 {
		return s.failingSince
	}
	return s.lastContact
}

// workerLost proposes the crash of a worker whose loss was not planned, before its removal.
// presumed reports that only its silence suggests a crash: it may go on running without contact.
func (o *Orchestrator) workerLost(s *session, presumed bool, cause string) {
	w := o.leadership.State().Workers[s.id]
	if w == nil || w.Draining || o.mayEndByOrder(w) || s.lossProposed {
		return
	}
	s.lossProposed = true
	suspects := s.suspects(o.leadingSince)
	commonCause := o.rackLost(s, w)
	instance := o.fleet.instanceOf[s.id]
	o.count("workers_lost_total", cause)
	o.Log.Info("A worker was lost.", "worker", s.id, "born", s.incarnation, "instance", instance, "rack", w.Rack(), "cause", cause,
		"runs", len(s.orders), "last_started", len(suspects.last), "young", len(suspects.young), "older", len(suspects.older), "rack_lost", commonCause, "disconnected", s.disconnected)
	if len(suspects.last) > 0 && !commonCause {
		o.fleet.crashedAt[instance] = boottime.Now()
	}
	blame := func(runs []workload.RunID, ran time.Duration, uncertain bool) {
		crash := workload.WorkerCrash{Worker: s.id, Incarnation: s.incarnation, Instance: instance, Ran: ran, Uncertain: uncertain || presumed || commonCause, Presumed: presumed}
		unconfirmed := crash
		unconfirmed.Unconfirmed = true
		for _, id := range runs {
			if s.orders[id].confirmed() {
				crash.Suspects = append(crash.Suspects, id)
			} else {
				unconfirmed.Suspects = append(unconfirmed.Suspects, id)
			}
		}
		for _, c := range []workload.WorkerCrash{crash, unconfirmed} {
			if len(c.Suspects) > 0 {
				o.pending.Crashes = append(o.pending.Crashes, c)
			}
		}
	}
	blame(suspects.last, lastStarted, false)
	blame(suspects.young, workload.StartPhase, len(suspects.last) > 0)
	if len(suspects.last)+len(suspects.young) == 0 {
		blame(suspects.older, 0, false)
	}
}

// mayEndByOrder reports whether an order to the platform may end a worker. None is sent before
// the cordon is committed, and none for a move that still waits until the worker's runs have ended.
func (o *Orchestrator) mayEndByOrder(w *workload.Worker) bool {
	m := o.fleet.moves[o.fleet.instanceOf[w.ID]]
	waits := m != nil && m.worker == w.ID && m.incarnation == w.Incarnation && !m.requested && !m.unanswered
	return w.Cordoned && !waits
}

// confirmed reports whether the worker has confirmed the run.
func (r *order) confirmed() bool { return r.startRespondedAt != 0 || r.listedAt != 0 }

// suspectRuns holds the runs that may have crashed a worker, by their age when the contact
// was lost: younger than lastStarted, those that had not outlasted a trial, and the others.
type suspectRuns struct{ last, young, older []workload.RunID }

// lastStarted is the age below which a run is the most likely cause of the crash of its
// worker.
const lastStarted = 100 * time.Millisecond

// suspects returns the runs that may have crashed a worker. A start that was sent after the
// contact was lost did not arrive.
func (s *session) suspects(leadingSince boottime.Instant) suspectRuns {
	var out suspectRuns
	for id, r := range s.orders {
		age := s.failingSince.Sub(r.sentAt)
		switch {
		case r.phase == released || r.endProposed || r.sentAt == 0:
		case s.failingSince != 0 && age < 0 && !r.confirmed():
		case s.lastContact == 0 && leadingSince.Sub(r.sentAt) < adoptedAge:
			out.young = append(out.young, id)
		case r.listedAt != 0 && r.listedAt.Sub(r.sentAt) >= workload.StartPhase, s.disconnected && age >= workload.StartPhase:
			out.older = append(out.older, id)
		case s.disconnected && age < lastStarted:
			out.last = append(out.last, id)
		default:
			out.young = append(out.young, id)
		}
	}
	return out
}

// rackLost reports whether all workers of a rack that had runs were lost at the same time,
// as by a power failure.
func (o *Orchestrator) rackLost(s *session, w *workload.Worker) bool {
	if w.Rack() == "" {
		return false
	}
	others := 0
	for _, other := range o.sessionsByRack()[w.Rack()] {
		if other == s {
			continue
		}
		switch {
		case max(other.lastContact, other.lastReport) > s.lostAt():
			return false
		case o.listedEnded(other.id), other.failingSince != 0 && max(other.failingSince.Sub(s.lostAt()), s.lostAt().Sub(other.failingSince)) <= commonCauseWindow:
			others++
		}
	}
	return others > 0
}

// sessionsByRack returns the sessions of the workers in each rack. Many workers may be lost at once, and
// each asks for those of its rack.
func (o *Orchestrator) sessionsByRack() map[string][]*session {
	if o.rackSessions == nil {
		o.rackSessions = map[string][]*session{}
		for id, s := range o.sessions {
			if w := o.leadership.State().Workers[id]; w != nil && w.Rack() != "" {
				o.rackSessions[w.Rack()] = append(o.rackSessions[w.Rack()], s)
			}
		}
	}
	return o.rackSessions
}

// listedEnded reports whether the platform's list shows that a worker has ended. An entry without a
// worker shows it only of an instance that has none in that state and pool.
func (o *Orchestrator) listedEnded(worker string) bool {
	instance, known := o.fleet.instanceOf[worker]
	i, listed := o.fleet.instances[instance]
	switch {
	case !known || !listed:
		return false
	case i.State == executor.Up && i.Worker == "" && !o.leadership.State().SpareInstances(i.Pool):
		return false // the entry is incomplete
	}
	return i.State == executor.Down || i.Worker != worker
}

// crashApplied logs the suspects of a crash and stops the runs of jobs that were given up.
func (o *Orchestrator) crashApplied(c *workload.WorkerCrash) {
	if c.Presumed {
		o.presumptions[workload.WorkerIncarnation{Worker: c.Worker, Incarnation: c.Incarnation}] = &presumption{since: boottime.Now()}
		if s := o.sessions[c.Worker]; s != nil && s.incarnation == c.Incarnation {
			s.presumedAt = boottime.Now() // a response to an earlier poll doesn't decide
		}
	}
	for i, id := range c.Suspects {
		t, j := o.leadership.State().Task(id.Task)
		if t != nil && !c.Uncertain {
			o.markRisky(j.Queue, boottime.Now())
		}
		if t != nil && j.CrashedTask == nil {
			o.count("tasks_suspected_total", suspicion(t))
			if i < maxSuspectLines {
				o.Log.Info("A task may have crashed its worker.", "job", j.ID, "task", id.Task.String(), "run", id.Number, "worker", c.Worker, "instance", c.Instance,
					"ran_at_most_ms", c.Ran.Milliseconds(), "uncertain", c.Uncertain, "presumed", c.Presumed, "crashes", len(t.Crashes), "isolated", t.Suspect)
			}
		}
		o.logJobEnd(id.Task.Job)
		o.stopObsoleteRuns(id.Task.Job)
	}
}

func suspicion(t *workload.Task) string {
	if t.Suspect {
		return "isolated"
	}
	return "noted"
}

// acquitSuspects proposes to end the suspicion against tasks whose runs a worker has listed
// after the end of their trials.
func (o *Orchestrator) acquitSuspects(s *session, listedAt boottime.Instant) {
	if u := o.leadership.State().Usage(s.id); u == nil || u.Suspects == 0 {
		return
	}
	for id, r := range s.orders {
		t, _ := o.leadership.State().Task(id.Task)
		if t == nil || !t.Suspect || r.acquittalProposed || r.listedAt != listedAt || listedAt.Sub(r.sentAt) < t.Trial() {
			continue
		}
		r.acquittalProposed = true
		o.Log.Info("A task has outlasted its trial.", "job", id.Task.Job, "task", id.Task.String(), "run", id.Number, "worker", s.id, "ran_ms", listedAt.Sub(r.sentAt).Milliseconds())
		o.pending.Acquitted = append(o.pending.Acquitted, id)
	}
}

// hasSuspects reports whether a worker runs suspects, whose trials end with a list.
func (o *Orchestrator) hasSuspects(s *session) bool {
	u := o.leadership.State().Usage(s.id)
	return u != nil && u.Suspects > 0
}

// crashingShare is the ratio of the cores that are down because of tasks to the usable ones
// from which on a pool counts as crashing.
const crashingShare = 0.5

func (o *Orchestrator) crashingPools() map[string]bool {
	if len(o.fleet.crashedAt) == 0 {
		return nil
	}
	crashing := map[string]bool{}
	for pool, cores := range o.poolStats.cores {
		crashing[pool] = o.restartingCores(pool) >= crashingShare*cores
	}
	return crashing
}

// riskyTime is how long tasks of a queue are kept away from long-running ones after a task of
// it may have crashed its worker.
const riskyTime = 20 * time.Second

// markRisky notes that a task of a queue may have crashed its worker.
func (o *Orchestrator) markRisky(queue string, now boottime.Instant) {
	if now >= o.riskyUntil[queue] {
		o.Log.Info("Jobs of a queue may crash workers.", "queue", queue)
	}
	o.riskyUntil[queue] = now.Add(riskyTime)
}

// isRisky reports whether a task of a queue may have crashed its worker lately.
func (o *Orchestrator) isRisky(queue string, now boottime.Instant) bool {
	until, ok := o.riskyUntil[queue]
	if ok && now >= until {
		delete(o.riskyUntil, queue)
	}
	return now < until
}

// isolate restricts a demand of a job with suspects to workers without other jobs.
func (o *Orchestrator) isolate(d *scheduling.Demand, j *workload.Job, in *scheduling.Input, now boottime.Instant) {
	d.Risky = o.isRisky(j.Queue, now)
	if !j.Suspected() {
		return
	}
	since, waiting := o.trialWaits[j.ID]
	if !waiting {
		since = now
	}
	o.nextTrialWaits[j.ID] = since
	d.Isolated, d.TrialWait = true, now.Sub(since)
	crashed := map[string]bool{}
	for _, w := range in.Workers {
		if w.Pool == d.Pool && o.crashedOn(j, d.Key, w.ID) {
			crashed[w.ID] = true
		}
	}
	d.AvoidCrashed(crashed, in.Workers)
}

// crashedOn reports whether a worker, or an earlier one on its instance, crashed under a task
// of a step.
func (o *Orchestrator) crashedOn(j *workload.Job, step scheduling.StepKey, worker string) bool {
	tasks := j.Occurrences[step.Occurrence].Steps[step.Step].Tasks
	for i := range tasks {
		if tasks[i].CrashedOn(worker, o.fleet.instanceOf[worker]) {
			return true
		}
	}
	return false
}

// isolationView sets the jobs on a worker as placement sees them.
func (o *Orchestrator) isolationView(view *scheduling.Worker, usage *workload.Usage) {
	s := o.leadership.State()
	view.ClearedFor = o.cleared[view.ID]
	if usage == nil || usage.Suspects == 0 && s.Suspects() == 0 {
		return
	}
	for id, j := range usage.Runs {
		view.Shared = view.Shared || view.OnlyJob != "" && view.OnlyJob != j.ID
		view.OnlyJob = j.ID
		if t, _ := s.Task(id.Task); t != nil && t.Suspect {
			view.TrialJob, view.TrialTeam = j.ID, j.Team
		}
	}
}
