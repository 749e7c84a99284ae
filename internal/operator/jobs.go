package operator

import (
	"math"
	"time"

	"github.com/zeebo/errs"

	"cactusspar/internal/state"
)

// Limits of one command. A command must fit into one frame between replicas.
const (
	maxSubmit  = 1_000
	maxCancel  = 10_000
	maxRunTime = 366 * 24 * time.Hour
)

func jobsOf(st *state.State) map[string]*state.Job { return st.Jobs }

func (s *server) listJobs(c *call) (any, error) {
	team, pool, status := c.filter("team"), c.filter("pool"), c.filter("status")
	return listPage(s, c, jobsOf,
		func(j *state.Job) bool { return team(j.Team) && pool(j.Pool) && status(string(j.Status)) },
		func(_ *state.State, j *state.Job) Job { return Job{Job: *j} })
}

func (s *server) getJob(c *call) (any, error) {
	return getItem(s, c, "job", jobsOf, func(st *state.State, j *state.Job) Job {
		job := Job{Job: *j}
		for _, t := range st.Tasks {
			if t.Job == j.ID {
				job.Tasks = append(job.Tasks, *t)
			}
		}
		return job
	})
}

func (s *server) submitJobs(c *call) (any, error) {
	var request SubmitRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	if n := len(request.Jobs); n == 0 || n > maxSubmit {
		return nil, badRequest("jobs: expected 1 to %d, found %d", maxSubmit, n)
	}
	command := &state.SubmitJobs{}
	for i, j := range request.Jobs {
		job, err := j.job()
		if err != nil {
			return nil, badRequest("jobs[%d]: %v", i, err)
		}
		command.Jobs = append(command.Jobs, job)
	}
	return s.propose(c, request.Session, state.Command{SubmitJobs: command})
}

// job validates the request on its own and converts it. Whether the team and pool
// exist and the job can run is checked when the command is applied.
func (j JobRequest) job() (state.Job, error) {
	run := time.Duration(j.RunSeconds * float64(time.Second))
	switch {
	case !validIdentifier(j.ID, maxIDBytes):
		return state.Job{}, errs.New("id: expected at most %d letters, digits and ._-@: characters", maxIDBytes)
	case j.Kind != state.Batch && j.Kind != state.Urgent && j.Kind != state.Workspace:
		return state.Job{}, errs.New("kind: expected %s, %s or %s", state.Batch, state.Urgent, state.Workspace)
	case j.Declared.MilliCPU < 0 || j.Declared.MemoryMB < 0 || j.Declared.Accelerators < 0:
		return state.Job{}, errs.New("declared: expected no negative amount")
	case math.IsNaN(j.RunSeconds) || j.RunSeconds < 0 || j.RunSeconds > maxRunTime.Seconds():
		return state.Job{}, errs.New("run_seconds: expected 0 to %d", int(maxRunTime.Seconds()))
	}
	return state.Job{
		ID: j.ID, Team: j.Team, Pool: j.Pool, Kind: j.Kind, Priority: j.Priority,
		Declared: j.Declared, DeclaredRun: run,
	}, nil
}

func (s *server) cancelJobs(c *call) (any, error) {
	var request CancelRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	if n := len(request.IDs); n == 0 || n > maxCancel {
		return nil, badRequest("ids: expected 1 to %d, found %d", maxCancel, n)
	}
	return s.propose(c, request.Session, state.Command{CancelJobs: &state.CancelJobs{
		IDs: request.IDs,
		By:  c.operator,
	}})
}
