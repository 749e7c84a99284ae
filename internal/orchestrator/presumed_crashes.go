package orchestrator

import (
	"maps"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// A worker that falls silent may have crashed, or may be out of reach and run on. Its crash is
// presumed until a proof decides.
const (
	// provedByResponse: the same incarnation has responded to a later call.
	provedByResponse = "responded"
	// provedByRestart: a later incarnation has reported.
	provedByRestart = "restarted"
	// provedByList: the platform lists the instance as down, with another worker, or no more.
	provedByList = "listed"
	// provedByAddress: another worker responds at the worker's address.
	provedByAddress = "replaced"
	// endedByOrder: the worker has ended, and an order to the platform may be the cause.
	endedByOrder = "ordered"
)

// presumption is what this leader knows of a presumed crash: since when, and how many lists of the
// platform in a row have shown no instance with the worker since.
type presumption struct {
	since    boottime.Instant
	unlisted int
}

// presumedSince returns when this leader learned of a presumed crash.
func (o *Orchestrator) presumedSince(w workload.WorkerIncarnation) boottime.Instant {
	if p := o.presumptions[w]; p != nil {
		return p.since
	}
	return o.leadingSince
}

// verdictWait bounds how long a task that has crashed workers waits for the verdict about another
// one. An instance is back after about that time, and three lists take half of it.
const verdictWait = restartTime

// awaitsVerdict reports whether a task of a step must not start yet because it may be to blame for
// a presumed crash.
func (o *Orchestrator) awaitsVerdict(p *workload.Progress, now boottime.Instant) bool {
	for i := range p.Tasks {
		t := &p.Tasks[i]
		if t.Done || len(t.Runs) > 0 {
			continue
		}
		if w, awaited := t.AwaitedVerdict(); awaited && now.Sub(o.presumedSince(w)) < verdictWait {
			return true
		}
	}
	return false
}

// proposeVerdict proposes whether a worker whose crash is presumed has crashed.
func (o *Orchestrator) proposeVerdict(w workload.WorkerIncarnation, proof string) {
	p := o.leadership.State().PresumedCrashes()[w]
	if p == nil || o.verdictsProposed[w] {
		return
	}
	o.verdictsProposed[w] = true
	tasks, crashed := p.Tasks(), proof != provedByResponse && proof != endedByOrder
	o.count("presumed_crashes_decided_total", proof)
	o.Log.Info("Decided whether a silent worker crashed.", "worker", w.Worker, "born", w.Incarnation, "instance", p.Instance,
		"crashed", crashed, "proof", proof, "tasks", len(tasks), "presumed_ms", boottime.Now().Sub(o.presumedSince(w)).Milliseconds())
	o.pending.Verdicts = append(o.pending.Verdicts, workload.CrashVerdict{Worker: w.Worker, Incarnation: w.Incarnation, Crashed: crashed, Tasks: tasks})
}

// verdictApplied stops the runs of jobs that were given up.
func (o *Orchestrator) verdictApplied(v *workload.CrashVerdict) {
	w := workload.WorkerIncarnation{Worker: v.Worker, Incarnation: v.Incarnation}
	delete(o.presumptions, w)
	delete(o.verdictsProposed, w)
	for _, id := range v.Tasks {
		o.logJobEnd(id.Job)
		o.stopObsoleteRuns(id.Job)
	}
}

// workerResponded withdraws the presumed crash of a worker that has responded to a poll.
func (o *Orchestrator) workerResponded(s *session, requestedAt boottime.Instant) {
	w := workload.WorkerIncarnation{Worker: s.id, Incarnation: s.incarnation}
	if requestedAt > o.presumedSince(w) {
		o.proposeVerdict(w, provedByResponse)
	}
}

// workerReplaced decides about the presumed crash of a worker that has ended because another one
// responds at its address.
func (o *Orchestrator) workerReplaced(s *session) {
	w := workload.WorkerIncarnation{Worker: s.id, Incarnation: s.incarnation}
	if p := o.leadership.State().PresumedCrashes()[w]; p != nil {
		o.proposeEnded(w, p, provedByAddress)
	}
}

// workerReported decides about the presumed crashes of former incarnations of a worker.
func (o *Orchestrator) workerReported(w *workload.Worker) {
	for former, p := range o.leadership.State().PresumedCrashes() {
		if former.Worker == w.ID && former.Incarnation < w.Incarnation {
			o.proposeEnded(former, p, provedByRestart)
		}
	}
}

// decidePresumedCrashes decides about the presumed crashes of workers that have ended according
// to the platform's list, which was requested at an instant. A worker may crash before any list
// has shown on which instance it runs: it has ended if maxMissedLists show it nowhere.
func (o *Orchestrator) decidePresumedCrashes(requestedAt boottime.Instant) {
	presumed := o.leadership.State().PresumedCrashes()
	maps.DeleteFunc(o.presumptions, func(w workload.WorkerIncarnation, _ *presumption) bool { return presumed[w] == nil })
	if len(presumed) == 0 {
		return
	}
	listed := map[string]executor.Instance{}
	for _, i := range o.fleet.instances {
		listed[i.Worker] = i
	}
	for w, p := range presumed {
		known := o.presumptions[w]
		if known == nil {
			known = &presumption{since: o.leadingSince}
			o.presumptions[w] = known
		}
		if requestedAt <= known.since {
			continue
		}
		if s := o.sessions[w.Worker]; s != nil && s.incarnation != w.Incarnation && s.listedAt != 0 && s.lastContact > known.since {
			o.proposeEnded(w, p, provedByRestart) // also if the incarnation is an earlier one by its clock
			continue
		}
		if on := o.fleet.instances[p.Instance]; on.State == executor.Moving || on.State == executor.Maintenance {
			o.proposeVerdict(w, endedByOrder)
			continue
		}
		i, shown := listed[w.Worker]
		if known.unlisted++; shown {
			known.unlisted = 0
		}
		if shown && i.State == executor.Down || known.unlisted >= maxMissedLists || o.listedWithOther(p.Instance, w.Worker) {
			o.proposeEnded(w, p, provedByList)
		}
	}
}

// listedWithOther reports whether the platform lists an instance as down or with another worker.
func (o *Orchestrator) listedWithOther(instance, worker string) bool {
	i, listed := o.fleet.instances[instance]
	return listed && (i.State == executor.Down || i.State == executor.Up && i.Worker != "" && i.Worker != worker)
}

// proposeEnded proposes that a silent worker which has ended did crash, unless its end was
// announced or an order to the platform may have ended it.
func (o *Orchestrator) proposeEnded(w workload.WorkerIncarnation, p *workload.PresumedCrash, proof string) {
	instance, since := p.Instance, o.presumedSince(w)
	if o.endsAsPlanned(w) || o.fleet.lastOrderAt[instance] > since || o.maintainedSince(instance, since) {
		proof = endedByOrder
	}
	o.proposeVerdict(w, proof)
}

// endsAsPlanned reports whether a worker is known to leave, or an order to the platform may have
// ended it.
func (o *Orchestrator) endsAsPlanned(w workload.WorkerIncarnation) bool {
	known := o.leadership.State().Workers[w.Worker]
	return known != nil && known.Incarnation == w.Incarnation && (known.Draining || o.mayEndByOrder(known))
}

// proposeRemoval proposes the removal of a worker. If its end was planned, its presumed crash is
// withdrawn by the same command: the next leader no longer knows the plan.
func (o *Orchestrator) proposeRemoval(w workload.WorkerIncarnation) {
	if o.endsAsPlanned(w) {
		o.proposeVerdict(w, endedByOrder)
	}
	o.pending.RemovedWorkers = append(o.pending.RemovedWorkers, w)
}

// maintainedSince reports whether the maintenance of an instance was ordered since an instant.
func (o *Orchestrator) maintainedSince(instance string, since boottime.Instant) bool {
	at := time.Now().Add(-boottime.Now().Sub(since))
	for _, w := range o.leadership.State().Waves {
		if ordered, ok := w.Ordered[instance]; ok && ordered.After(at) {
			return true
		}
	}
	return false
}
