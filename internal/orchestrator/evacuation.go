package orchestrator

import (
	"context"
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/peer"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// reasonEvacuated is the reason of starts and runs that end because their data centre is
// evacuated.
const reasonEvacuated = string(workload.DataCentreEvacuated)

const (
	// CodeUnknownDataCentre reports that no data centre of that name is known.
	CodeUnknownDataCentre = "unknown-data-centre"
	// CodeTooManyEvacuations reports that workload.MaxEvacuations data centres are known to
	// be or have been evacuated.
	CodeTooManyEvacuations = "too-many-evacuations"
)

// Evacuate commits the beginning or the end of an evacuation. A change that the state shows
// already is committed too, because one that undoes it may be in progress.
func (o *Orchestrator) Evacuate(ctx context.Context, r *EvacuationRequest) error {
	return o.asLeader(ctx, func(done func(error)) {
		if !o.knowsDataCentre(r.DataCentre) {
			o.count("requests_refused_total", CodeUnknownDataCentre)
			done(&peer.RemoteError{Code: CodeUnknownDataCentre, Text: "data centre " + r.DataCentre + " is not known"})
			return
		}
		if r.Evacuated && o.leadership.State().EvacuationsFull(r.DataCentre) {
			o.count("requests_refused_total", CodeTooManyEvacuations)
			done(&peer.RemoteError{Code: CodeTooManyEvacuations, Text: "no further data centre can be evacuated"})
			return
		}
		o.pending.Evacuations = append(o.pending.Evacuations, workload.EvacuationChange{DataCentre: r.DataCentre, Evacuated: r.Evacuated, By: r.By})
		o.replies = append(o.replies, func(err error) {
			if err == nil && o.leadership != nil {
				o.Log.Info("Changed an evacuation.", "data_centre", r.DataCentre, "evacuated", r.Evacuated, "by", r.By, "runs", o.leadership.State().RunsIn(r.DataCentre))
			}
			done(err)
		})
	})
}

func (o *Orchestrator) knowsDataCentre(name string) bool {
	s := o.leadership.State()
	if _, known := s.Evacuations[name]; known || slices.Contains(o.Settings.DataCentres, name) {
		return true
	}
	return len(o.Settings.DataCentres) == 0 && s.HasDataCentre(name)
}

// tickEvacuations relocates the long-running tasks of evacuated data centres.
func (o *Orchestrator) tickEvacuations(now boottime.Instant) {
	s := o.leadership.State()
	evacuated := s.EvacuatedDataCentres()
	o.Metrics.Gauge("evacuated_data_centres").Update(int64(len(evacuated)))
	if len(evacuated) == 0 {
		return
	}
	var candidates []scheduling.RelocationCandidate
	runs := map[workload.RunID]*order{}
	elsewhere, inProgress := map[string][]*scheduling.Worker{}, map[string]int{}
	for _, session := range o.sortedSessions() {
		w := s.Workers[session.id]
		switch {
		case w == nil:
		case s.Evacuated(w.DataCentre):
			candidates = o.addRelocationCandidates(candidates, runs, inProgress, session, w.Pool)
		case o.usable(session, w, now) && session.viewOf == w:
			elsewhere[w.Pool] = append(elsewhere[w.Pool], &session.view)
		}
	}
	rooms := map[string]*scheduling.Rooms{}
	for pool, workers := range elsewhere {
		rooms[pool] = scheduling.NewFreeRooms(workers)
	}
	for pool, short := range o.poolStats.needsInstance {
		if short {
			rooms[pool] = nil // its waiting long-running tasks come first
		}
	}
	slices.SortFunc(candidates, func(a, b scheduling.RelocationCandidate) int { return a.Run.Task.Compare(b.Run.Task) })
	for _, id := range scheduling.Relocations(candidates, rooms, inProgress, func(id workload.RunID) bool { return o.mayRelocate(runs[id]) }) {
		if session := o.sessions[runs[id].worker]; session != nil {
			o.Log.Info("Relocating a long-running task.", "job", id.Task.Job, "task", id.Task.String(), "run", id.Number, "worker", session.id)
			o.stop(session, runs[id], reasonEvacuated)
		}
	}
}

// addRelocationCandidates adds the long-running tasks at work on a worker of an evacuated
// data centre, and counts those that are being stopped there.
func (o *Orchestrator) addRelocationCandidates(candidates []scheduling.RelocationCandidate, runs map[workload.RunID]*order, inProgress map[string]int, s *session, pool string) []scheduling.RelocationCandidate {
	for id, r := range s.orders {
		j := o.leadership.State().Jobs[id.Task.Job]
		if j == nil || len(j.Steps) <= id.Task.Step || !j.Steps[id.Task.Step].LongRunning {
			continue
		}
		if r.phase == running {
			runs[id] = r
			candidates = append(candidates, scheduling.RelocationCandidate{Run: id, Demand: o.demandOf(j, id.Task.StepID(), pool)})
		} else {
			inProgress[pool]++
		}
	}
	return candidates
}

// mayRelocate reports whether a run may be stopped for a relocation. A step without a
// disruption budget loses one task at a time.
func (o *Orchestrator) mayRelocate(r *order) bool {
	j := o.leadership.State().Jobs[r.id.Task.Job]
	if j.Steps[r.id.Task.Step].MaxUnavailable != nil {
		return o.mayInterrupt(j, r)
	}
	return o.unavailableBeside(j, r) == 0
}

// coldMemory is how long after a data centre was restored its workers may be cold.
const coldMemory = time.Minute

// limitColdWorker limits what a worker takes that may be cold because its data centre was
// evacuated. It counts as cold until it has reported after the restoration.
func (o *Orchestrator) limitColdWorker(s *session, view *scheduling.Worker, now boottime.Instant) {
	restored := o.leadership.State().RestoredAt(view.DataCentre)
	if restored.IsZero() {
		return
	}
	since := time.Since(restored)
	if since > coldMemory {
		return
	}
	if s.lastReport < now.Add(-since) {
		view.LimitTo(scheduling.MinWarmShare)
		return
	}
	view.LimitTo(scheduling.WarmShare(s.warmUpUntil.Sub(now), s.warmUp))
}
