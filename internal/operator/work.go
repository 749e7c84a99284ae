package operator

import (
	"context"
	"net/url"
	"sort"
	"time"

	"cactusspar/internal/resources"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/state"
	"cactusspar/internal/workload"
)

// Work is a job that was submitted to a queue.
type Work struct {
	ID       string          `json:"id"`
	Queue    string          `json:"queue"`
	Team     string          `json:"team,omitempty"`
	Status   workload.Status `json:"status"`
	Accepted time.Time       `json:"accepted"`
	EndedAt  *time.Time      `json:"ended,omitempty"`
	// CrashedTask is the task for which the job was given up because it crashes the workers
	// that start it, CrashedWorkers the workers that crashed.
	CrashedTask    string   `json:"crashed_task,omitempty"`
	CrashedWorkers []string `json:"crashed_workers,omitempty"`
	// Steps and Waits are only set when a single job is requested. They are empty
	// for a job that has ended and has no runs left.
	Steps []WorkStep `json:"steps,omitempty"`
	// Waits lists the reasons why tasks wait.
	Waits []scheduling.Wait `json:"waits,omitempty"`
}

// WorkStep is the progress of one step in an occurrence of a job.
type WorkStep struct {
	Occurrence int              `json:"occurrence"`
	Step       int              `json:"step"`
	Tasks      int              `json:"tasks"`
	Done       int              `json:"done"`
	Waiting    int              `json:"waiting"`
	Need       resources.Amount `json:"need"`
	Runs       []WorkRun        `json:"runs,omitempty"`
}

// WorkRun is a run of a task that may be in progress.
type WorkRun struct {
	Task   int       `json:"task"`
	Run    int       `json:"run"`
	Worker string    `json:"worker"`
	Since  time.Time `json:"since"`
}

// WorkQueue is a queue with the number of its jobs.
type WorkQueue struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Pool     string `json:"pool"`
	Priority int    `json:"priority"`
	// Pending counts accepted jobs that have not started, Open jobs that have not
	// ended.
	Pending int `json:"pending"`
	Open    int `json:"open"`
}

// Worker is a worker that runs jobs of queues.
type Worker struct {
	ID       string           `json:"id"`
	Pool     string           `json:"pool"`
	Address  string           `json:"address"`
	Labels   []string         `json:"labels"`
	Capacity resources.Amount `json:"capacity"`
	Draining bool             `json:"draining"`
	Since    time.Time        `json:"since"`
	Runs     int              `json:"runs"`
}

// WorkRequest submits a job to a queue.
type WorkRequest struct {
	Session state.Session     `json:"session"`
	ID      string            `json:"id"`
	Queue   string            `json:"queue"`
	Team    string            `json:"team"`
	Spec    string            `json:"spec"`
	Steps   []WorkStepRequest `json:"steps"`
	// Times, FirstAt and PeriodSeconds describe a scheduled job: the number of its
	// occurrences, the time of the first one and the interval between them.
	Times         int       `json:"times"`
	FirstAt       time.Time `json:"first_at"`
	PeriodSeconds float64   `json:"period_seconds"`
}

// WorkStepRequest describes a step of a job. Absent fields have no effect.
type WorkStepRequest struct {
	Count           int              `json:"count"`
	Need            resources.Amount `json:"need"`
	EstimateSeconds float64          `json:"estimate_seconds"`
	After           []int            `json:"after"`
	Checkpointable  bool             `json:"checkpointable"`
	Gang            bool             `json:"gang"`
	SameRack        bool             `json:"same_rack"`
	Label           string           `json:"label"`
	DataRack        string           `json:"data_rack"`
	MaxPerWorker    int              `json:"max_per_worker"`
	Speculative     bool             `json:"speculative"`
	LongRunning     bool             `json:"long_running"`
	Image           string           `json:"image"`
	TargetSeconds   float64          `json:"target_seconds"`
	Fill            bool             `json:"fill"`
	MaxUnavailable  *int             `json:"max_unavailable"`
}

func workOf(st *state.State) map[string]*workload.Job       { return st.Workload.Jobs }
func workersOf(st *state.State) map[string]*workload.Worker { return st.Workload.Workers }

func (s *server) listWork(c *call) (any, error) {
	team, queue, status := c.filter("team"), c.filter("queue"), c.filter("status")
	return listPage(s, c, workOf,
		func(j *workload.Job) bool { return team(j.Team) && queue(j.Queue) && status(string(j.Status)) },
		func(_ *state.State, j *workload.Job) Work { return workItem(j) })
}

func workItem(j *workload.Job) Work {
	w := Work{ID: j.ID, Queue: j.Queue, Team: j.Team, Status: j.Status, Accepted: j.Accepted}
	if j.Status.Ended() {
		ended := j.EndedAt
		w.EndedAt = &ended
	}
	if j.CrashedTask != nil {
		w.CrashedTask, w.CrashedWorkers = j.CrashedTask.String(), j.CrashedWorkers
	}
	return w
}

func (s *server) getWork(c *call) (any, error) {
	return getItem(s, c, "job", workOf, func(st *state.State, j *workload.Job) Work {
		w := workItem(j)
		for k := range j.Occurrences {
			for p := range j.Occurrences[k].Steps {
				w.Steps = append(w.Steps, workStep(j, k, p))
			}
		}
		w.Waits = scheduling.Waits(st.Workload, j)
		return w
	})
}

func workStep(j *workload.Job, occurrence, index int) WorkStep {
	progress := &j.Occurrences[occurrence].Steps[index]
	step := WorkStep{Occurrence: occurrence, Step: index, Tasks: len(progress.Tasks), Done: progress.Done(), Waiting: progress.Waiting(), Need: j.Steps[index].Resources}
	for i := range progress.Tasks {
		for _, r := range progress.Tasks[i].Runs {
			step.Runs = append(step.Runs, WorkRun{Task: i, Run: r.Number, Worker: r.Worker, Since: r.Since})
		}
	}
	return step
}

func (s *server) listQueues(c *call) (any, error) {
	page := Page[WorkQueue]{Items: []WorkQueue{}}
	err := s.backend.Read(c.ctx, func(st *state.State) {
		page.Index = st.Index
		open := map[string]int{}
		for _, j := range st.Workload.Open() {
			if !j.Status.Ended() {
				open[j.Queue]++
			}
		}
		if st.Workload.Topology == nil {
			return
		}
		for _, q := range st.Workload.Topology.Queues {
			page.Items = append(page.Items, WorkQueue{
				Name: q.Name, Host: q.Host, Prefix: q.Prefix, Pool: q.Pool, Priority: q.Priority, Pending: st.Workload.Pending(q.Name), Open: open[q.Name],
			})
		}
	})
	sort.Slice(page.Items, func(i, k int) bool { return page.Items[i].Name < page.Items[k].Name })
	return page, err
}

func (s *server) listWorkers(c *call) (any, error) {
	pool := c.filter("pool")
	return listPage(s, c, workersOf, func(w *workload.Worker) bool { return pool(w.Pool) }, workerItem)
}

func (s *server) getWorker(c *call) (any, error) {
	return getItem(s, c, "worker", workersOf, workerItem)
}

func workerItem(st *state.State, w *workload.Worker) Worker {
	return Worker{
		ID: w.ID, Pool: w.Pool, Address: w.Address, Labels: w.Labels, Capacity: w.Capacity, Draining: w.Draining, Since: w.Since,
		Runs: len(st.Workload.RunsOn(w.ID)),
	}
}

// submitWork accepts a job from an operator. It is not subject to load-based
// admission control and needs no key of the team.
func (s *server) submitWork(c *call) (any, error) {
	var request WorkRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	job, err := request.job()
	if err != nil {
		return nil, err
	}
	if err := s.checkWork(c, job); err != nil {
		return nil, err
	}
	return s.propose(c, request.Session, state.Command{Workload: &workload.Command{Submit: []workload.Job{*job}}})
}

// checkWork rejects a job that the state machine would silently ignore.
func (s *server) checkWork(c *call, job *workload.Job) error {
	var problem error
	err := s.backend.Read(c.ctx, func(st *state.State) {
		t := st.Workload.Topology
		switch {
		case t == nil || t.Queue(job.Queue) == nil:
			problem = badRequest("queue %q does not exist", job.Queue)
		case job.Team != "" && t.Team(job.Team) == nil:
			problem = badRequest("team %q does not exist", job.Team)
		case st.Workload.Jobs[job.ID] != nil && (st.Workload.Jobs[job.ID].Queue != job.Queue || st.Workload.Jobs[job.ID].Team != job.Team):
			problem = newProblem(Code(state.CodeConflict), "job "+job.ID+" exists in another queue or team")
		}
	})
	if err != nil {
		return err
	}
	return problem
}

func (r *WorkRequest) job() (*workload.Job, error) {
	if !workload.ValidJobID(r.ID) {
		return nil, badRequest("id: expected 16 hexadecimal digits")
	}
	job := &workload.Job{ID: r.ID, Queue: r.Queue, Team: r.Team, Spec: r.Spec, OccurrenceCount: r.Times, FirstAt: r.FirstAt, Period: secondsToDuration(r.PeriodSeconds)}
	for i := range r.Steps {
		job.Steps = append(job.Steps, r.Steps[i].step())
	}
	if err := job.Check(); err != nil {
		return nil, badRequest("%v", err)
	}
	return job, nil
}

func (r *WorkStepRequest) step() workload.Step {
	return workload.Step{
		Count: r.Count, Resources: r.Need, Estimate: secondsToDuration(r.EstimateSeconds), DependsOn: r.After, Checkpointable: r.Checkpointable,
		Gang: r.Gang, SameRack: r.SameRack, Label: r.Label, DataRack: r.DataRack, MaxPerWorker: r.MaxPerWorker, Speculative: r.Speculative,
		LongRunning: r.LongRunning, Image: r.Image, TailLatencyTarget: secondsToDuration(r.TargetSeconds), BestEffort: r.Fill, MaxUnavailable: r.MaxUnavailable,
	}
}

// secondsToDuration converts seconds to a duration. A value that is negative, not a
// number or above the maximum run time becomes -1, which validation rejects.
func secondsToDuration(s float64) time.Duration {
	if !(s >= 0 && s <= maxRunTime.Seconds()) {
		return -1
	}
	return time.Duration(s * float64(time.Second))
}

func (s *server) cancelWork(c *call) (any, error) {
	var request SessionRequest
	if err := c.decode(&request); err != nil {
		return nil, err
	}
	if _, err := s.getWork(c); err != nil {
		return nil, err
	}
	id := c.params.ByName("id")
	return s.propose(c, request.Session, state.Command{Workload: &workload.Command{Cancel: []string{id}}})
}

// WorkQueues lists the queues.
func (c *Client) WorkQueues(ctx context.Context) ([]WorkQueue, error) {
	return listAll[WorkQueue](ctx, c, "/v1/queues", nil)
}

// ListWork lists jobs of queues by team, queue and status; empty means any.
func (c *Client) ListWork(ctx context.Context, team, queue string, status workload.Status) ([]Work, error) {
	return listAll[Work](ctx, c, "/v1/work", url.Values{"team": {team}, "queue": {queue}, "status": {string(status)}})
}

// Work returns one job with its steps, its runs and the reasons why tasks wait.
func (c *Client) Work(ctx context.Context, id string) (Work, error) {
	return getOne[Work](ctx, c, "/v1/work/", id)
}

// SubmitWork submits a job to a queue.
func (c *Client) SubmitWork(ctx context.Context, r WorkRequest) (state.Result, error) {
	r.Session = c.session()
	return c.postCommand(ctx, "/v1/work", r)
}

// CancelWork cancels a job.
func (c *Client) CancelWork(ctx context.Context, id string) (state.Result, error) {
	return c.postCommand(ctx, "/v1/work/"+url.PathEscape(id)+"/cancel", SessionRequest{Session: c.session()})
}

// Workers lists the workers of a pool; empty means all.
func (c *Client) Workers(ctx context.Context, pool string) ([]Worker, error) {
	return listAll[Worker](ctx, c, "/v1/workers", url.Values{"pool": {pool}})
}

// Worker returns one worker.
func (c *Client) Worker(ctx context.Context, id string) (Worker, error) {
	return getOne[Worker](ctx, c, "/v1/workers/", id)
}
