package scheduling

import (
	"slices"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// WaitReason is why tasks wait. The values are stable.
type WaitReason string

// Reasons why tasks wait, in the order in which they are checked.
const (
	// WaitsForQueue: the pool of the job's queue was removed from the topology.
	WaitsForQueue WaitReason = "no-queue"
	// WaitsForSteps: earlier steps are not done.
	WaitsForSteps WaitReason = "earlier-steps"
	// WaitsForTeam: the team has reached its resource limit.
	WaitsForTeam WaitReason = "team-limit"
	// WaitsForWorkers: the pool has no worker that accepts tasks.
	WaitsForWorkers WaitReason = "no-worker"
	// WaitsForEvacuation: the workers that could take the tasks are in evacuated data centres.
	WaitsForEvacuation WaitReason = "evacuated"
	// WaitsForLabel: no worker of the pool has the label.
	WaitsForLabel WaitReason = "no-label"
	// WaitsForSize: no worker of the pool is large enough.
	WaitsForSize WaitReason = "too-large"
	// WaitsForSpread: each worker with room has reached the step's MaxPerWorker.
	WaitsForSpread WaitReason = "max-per-worker"
	// WaitsForRoom: the workers that are large enough are in use.
	WaitsForRoom WaitReason = "no-room"
	// WaitsForAdvice: the queue's policy service decides where the step runs.
	WaitsForAdvice WaitReason = "advice"
	// WaitsForTrial: a task of the job may have crashed its worker, and its tasks start on
	// workers without other jobs only.
	WaitsForTrial WaitReason = "trial"
	// WaitsForPlacement: there is room; the next placement round starts the tasks
	// unless other jobs precede them or the worker is avoided.
	WaitsForPlacement WaitReason = "next-placement"
)

// Wait reports why tasks of a step wait.
type Wait struct {
	Occurrence int        `json:"occurrence"`
	Step       int        `json:"step"`
	Tasks      int        `json:"tasks"`
	Reason     WaitReason `json:"reason"`
}

// Waits reports why tasks of a job that has not ended wait, as far as the
// replicated state shows.
func Waits(s *workload.State, j *workload.Job) []Wait {
	var out []Wait
	if j.Status.Ended() {
		return nil
	}
	for k := range j.Occurrences {
		for p := range j.Occurrences[k].Steps {
			if n := j.Occurrences[k].Steps[p].Waiting(); n > 0 {
				out = append(out, Wait{Occurrence: k, Step: p, Tasks: n, Reason: waitReason(s, j, k, p)})
			}
		}
	}
	return out
}

func waitReason(s *workload.State, j *workload.Job, k, p int) WaitReason {
	q := s.Queue(j.Queue)
	step := &j.Steps[p]
	switch {
	case q == nil || s.Topology.Pool(q.Pool) == nil:
		return WaitsForQueue
	case !j.StepReady(k, p):
		return WaitsForSteps
	case exceedsTeamLimit(s, j, step):
		return WaitsForTeam
	}
	if reason := workerWaitReason(s, q, j, k, p); reason != "" {
		return reason
	}
	switch {
	case q.Advice != nil:
		return WaitsForAdvice
	case j.Suspected():
		return WaitsForTrial
	}
	return WaitsForPlacement
}

// exceedsTeamLimit reports whether one more task would exceed the resource limit of
// the job's team.
func exceedsTeamLimit(s *workload.State, j *workload.Job, step *workload.Step) bool {
	team := s.Team(j.Team)
	if team == nil {
		return false
	}
	used := &Team{Cap: team.Cap}
	for _, other := range s.Open() {
		if other.Team == j.Team {
			used.Used = used.Used.Plus(runningResources(other))
		}
	}
	return !used.allows(step.Resources)
}

// runningResources returns the resources that the runs of a job take.
func runningResources(j *workload.Job) resources.Amount {
	var sum resources.Amount
	for k := range j.Occurrences {
		for p := range j.Occurrences[k].Steps {
			for i := range j.Occurrences[k].Steps[p].Tasks {
				sum = sum.Plus(j.Steps[p].Resources.Times(len(j.Occurrences[k].Steps[p].Tasks[i].Runs)))
			}
		}
	}
	return sum
}

// workerWaitReason returns the reason why no worker of the pool can take a task of the
// step, or an empty reason if one can. If workers fail for different reasons, it
// returns the one closest to a fit.
func workerWaitReason(s *workload.State, q *workload.Queue, j *workload.Job, k, p int) WaitReason {
	step := &j.Steps[p]
	closest := WaitsForWorkers
	order := []WaitReason{WaitsForWorkers, WaitsForEvacuation, WaitsForLabel, WaitsForSize, WaitsForRoom, WaitsForSpread}
	for id, w := range s.Workers {
		if w.Pool != q.Pool || w.Draining {
			continue
		}
		free, ofStep := w.Capacity, 0
		for run, other := range s.RunsOn(id) {
			if run.Task.Step < len(other.Steps) {
				free = free.Minus(OccupiedResources(&other.Steps[run.Task.Step]))
			}
			if other == j && run.Task.Occurrence == k && run.Task.Step == p {
				ofStep++
			}
		}
		reason := WaitReason("")
		switch {
		case s.Evacuated(w.DataCentre):
			reason = WaitsForEvacuation
		case !w.HasLabel(step.Label):
			reason = WaitsForLabel
		case !Fits(step, w.Capacity):
			reason = WaitsForSize
		case !Fits(step, free):
			reason = WaitsForRoom
		case step.MaxPerWorker > 0 && ofStep >= step.MaxPerWorker:
			reason = WaitsForSpread
		default:
			return ""
		}
		if slices.Index(order, reason) > slices.Index(order, closest) {
			closest = reason
		}
	}
	return closest
}
