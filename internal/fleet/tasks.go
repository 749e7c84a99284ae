package fleet

import (
	"context"
	"errors"
	"time"

	"cactusspar/internal/placement"
	"cactusspar/internal/platform"
	"cactusspar/internal/state"
)

const (
	// taskLease is the lease of a task. A leader election and a platform that
	// is not reachable for some seconds must not end tasks.
	taskLease = 30 * time.Second
	// renewAfter is when a lease is renewed: twice in reserve.
	renewAfter = taskLease / 3
	// startTimeout is how long the platform may not know a task that it was
	// asked to start before the start counts as failed.
	startTimeout = taskLease
)

// tasks brings the platform and the control state together: it starts what is
// committed, renews, stops, and commits what the platform reports.
func (d *Driver) tasks(ctx context.Context, s *snapshot) error {
	if d.opts.Platform == nil || len(s.tasks) == 0 {
		return nil
	}
	infos, err := d.opts.Platform.Tasks(ctx)
	if err != nil {
		return err
	}
	s.reported = make(map[string]platform.TaskInfo, len(infos))
	for _, info := range infos {
		s.reported[info.ID] = info
	}
	var reports []state.TaskReport
	for i := range s.tasks {
		t := &s.tasks[i]
		if r, ok := d.task(ctx, s, t); ok {
			reports = append(reports, r)
			t.Used = r.Used
		}
	}
	if len(reports) > 0 {
		if _, err := d.propose(ctx, state.Command{ReportTasks: &state.ReportTasks{Reports: reports}}); err != nil {
			return err
		}
	}
	d.relieve(ctx, s)
	return nil
}

// task takes the next step of one task and returns a report if there is news.
func (d *Driver) task(ctx context.Context, s *snapshot, t *state.Task) (state.TaskReport, bool) {
	info, known := s.reported[t.ID]
	report := state.TaskReport{Task: t.ID, Status: state.TaskRunning, Used: info.Used, LeaseEnds: s.now.Add(info.LeaseLeft)}
	switch {
	case known && info.Status == state.TaskEnded:
		d.ended(s, t, info)
		report.Status, report.Failed = state.TaskEnded, info.Failed
		return report, true
	case t.Status == state.TaskStopping:
		return d.stop(ctx, t, info, known)
	case !known && t.Status == state.TaskStarting && s.now.Sub(t.StartedAt) < startTimeout:
		d.count("start", d.opts.Platform.Start(ctx, t.ID, platform.StartTask{Instance: t.Instance, Job: t.Job, Size: t.Reserved, Lease: taskLease}))
		return report, false
	case !known:
		report.Status, report.Failed = state.TaskEnded, true
		return report, true
	}
	d.renew(ctx, s, t)
	d.learn(s, t, info)
	return report, t.Status == state.TaskStarting || info.Used != t.Used
}

// stop checkpoints a task before it stops it. A task that the platform doesn't
// know has ended.
func (d *Driver) stop(ctx context.Context, t *state.Task, info platform.TaskInfo, known bool) (state.TaskReport, bool) {
	switch {
	case !known:
		// It may still be started by a delayed request; Stop makes sure.
		if err := d.opts.Platform.Stop(ctx, t.ID); err != nil {
			d.count("stop", err)
			return state.TaskReport{}, false
		}
		return state.TaskReport{Task: t.ID, Status: state.TaskEnded}, true
	case !info.Checkpointed:
		d.count("checkpoint", d.opts.Platform.Checkpoint(ctx, t.ID))
	default:
		d.count("stop", d.opts.Platform.Stop(ctx, t.ID))
	}
	return state.TaskReport{}, false
}

func (d *Driver) count(call string, err error) {
	if err != nil {
		d.opts.Metrics.Counter("fleet_platform_retries_total", "call", call).Inc(1)
	}
}

func (d *Driver) renew(ctx context.Context, s *snapshot, t *state.Task) {
	if s.now.Sub(d.soft.renewed[t.ID]) < renewAfter {
		return
	}
	err := d.opts.Platform.Renew(ctx, t.ID, taskLease)
	d.count("renew", err)
	if err == nil {
		d.soft.renewed[t.ID] = s.now
	}
}

func (d *Driver) learn(s *snapshot, t *state.Task, info platform.TaskInfo) {
	job := s.job(t.Job)
	if job == nil || info.Used == (state.Resources{}) || d.soft.observed[t.ID] {
		return
	}
	d.soft.observed[t.ID] = true
	d.soft.model.Observe(job, info.Used)
}

func (d *Driver) ended(s *snapshot, t *state.Task, info platform.TaskInfo) {
	delete(d.soft.renewed, t.ID)
	delete(d.soft.observed, t.ID)
	h := d.soft.health[t.Instance]
	if !info.Failed {
		delete(d.soft.health, t.Instance)
		return
	}
	d.soft.health[t.Instance] = h.AfterFailure(s.now, t.Job)
	if next := d.soft.health[t.Instance]; next.Ejected() && !h.Ejected() {
		d.opts.Log.Info("Ejected an instance whose tasks fail.", "instance", t.Instance)
	}
}

// relieve reduces the use of instances under pressure.
func (d *Driver) relieve(ctx context.Context, s *snapshot) {
	jobs := map[string]*state.Job{}
	for i := range s.jobs {
		jobs[s.jobs[i].ID] = &s.jobs[i]
	}
	for i := range s.instances {
		inst := &s.instances[i]
		tasks := s.tasksOn(inst.ID)
		if !placement.UnderPressure(inst, tasks) {
			delete(d.soft.seen, inst.ID)
			continue
		}
		if d.soft.seen[inst.ID].IsZero() {
			d.soft.seen[inst.ID] = s.now
		}
		for _, a := range placement.Relieve(tasks, jobs, s.now.Sub(d.soft.seen[inst.ID])) {
			d.opts.Metrics.Counter("fleet_reliefs_total", "relief", string(a.Relief)).Inc(1)
			d.count(string(a.Relief), d.relief(ctx, s, a))
		}
	}
}

func (d *Driver) relief(ctx context.Context, s *snapshot, a placement.Action) error {
	switch a.Relief {
	case placement.Throttle:
		for i := range s.tasks {
			if s.tasks[i].ID == a.Task {
				return d.opts.Platform.Throttle(ctx, a.Task, s.tasks[i].Reserved.MilliCPU)
			}
		}
	case placement.Checkpoint:
		return d.opts.Platform.Checkpoint(ctx, a.Task)
	case placement.StopTask:
		_, err := d.propose(ctx, state.Command{PlaceTasks: &state.PlaceTasks{Stop: []string{a.Task}}})
		return err
	}
	return errors.New("unknown task or relief")
}
