package workload

import "cactusspar/internal/resources"

// StartBlock is why a worker must not begin a task; it is empty if it may.
type StartBlock string

// Reasons for which a worker must not begin a task.
const (
	WorkerDraining      StartBlock = "draining"
	WorkerCordoned      StartBlock = "cordoned"
	DataCentreEvacuated StartBlock = "evacuated"
	// OtherPool means that the job's queue doesn't lead to the worker's pool, or that the topology
	// doesn't name it any more.
	OtherPool    StartBlock = "other-pool"
	LabelMissing StartBlock = "label-missing"
	NoRoom       StartBlock = "no-room"
	// OverTeamCap means that the runs of the job's team would take more than the team's cap.
	OverTeamCap StartBlock = "over-team-cap"
)

// WorkerBlocked returns why a worker must not begin any task.
func (s *State) WorkerBlocked(w *Worker) StartBlock {
	switch {
	case w.Draining:
		return WorkerDraining
	case w.Cordoned:
		return WorkerCordoned
	case s.Evacuated(w.DataCentre):
		return DataCentreEvacuated
	case s.Topology.Pool(w.Pool) == nil:
		return OtherPool
	}
	return ""
}

// StartBlocked returns why a worker must not begin a task of a job's step. It is asked when a start is
// committed, and again whenever the start is sent, which may be seconds later. occupied is what the runs
// on the worker take, and used what those of the job's team do, both with the task.
func (s *State) StartBlocked(w *Worker, j *Job, step *Step, occupied, used resources.Amount) StartBlock {
	if block := s.WorkerBlocked(w); block != "" {
		return block
	}
	q := s.Queue(j.Queue)
	switch {
	case q != nil && q.Pool != w.Pool:
		return OtherPool
	case !w.HasLabel(step.Label):
		return LabelMissing
	case !occupied.Fits(w.Capacity):
		return NoRoom
	}
	if team := s.Team(j.Team); team != nil && !used.Within(team.Cap) {
		return OverTeamCap
	}
	return ""
}

// OccupiedOn returns what the runs on a worker take from its capacity.
func (s *State) OccupiedOn(worker string) resources.Amount {
	if u := s.usage[worker]; u != nil {
		return u.Occupied
	}
	return resources.Amount{}
}
