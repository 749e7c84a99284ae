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
	// taskLease is the lease of a task. It outlasts a leader election and a
	// platform that is unreachable for some seconds, which must not end tasks.
	taskLease = 30 * time.Second
	// renewAfter is the age at which a lease is renewed. It leaves two thirds of
	// the lease for retries.
	renewAfter = taskLease / 3
	// startTimeout is how long a task that was to be started may be missing on the
	// platform before the start counts as failed.
	startTimeout = taskLease
)

// reconcileTasks reconciles the platform with the control state: it starts
// committed tasks, renews leases, stops tasks and commits the platform's reports.
func (d *Driver) reconcileTasks(ctx context.Context, s *snapshot) error {
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
		if r, ok := d.reconcileTask(ctx, s, t); ok {
			reports = append(reports, r)
			t.Used = r.Used
		}
	}
	if len(reports) > 0 {
		if _, err := d.propose(ctx, state.Command{ReportTasks: &state.ReportTasks{Reports: reports}}); err != nil {
			return err
		}
	}
	d.relievePressure(ctx, s)
	return nil
}

// reconcileTask carries out the next step of one task. It returns a report and
// whether the report has to be committed.
func (d *Driver) reconcileTask(ctx context.Context, s *snapshot, t *state.Task) (state.TaskReport, bool) {
	info, known := s.reported[t.ID]
	report := state.TaskReport{Task: t.ID, Status: state.TaskRunning, Used: info.Used, LeaseEnds: s.now.Add(info.LeaseLeft)}
	switch {
	case known && info.Status == state.TaskEnded:
		d.recordEnd(s, t, info)
		report.Status, report.Failed = state.TaskEnded, info.Failed
		return report, true
	case t.Status == state.TaskStopping:
		return d.stopTask(ctx, t, info, known)
	case !known && t.Status == state.TaskStarting && s.now.Sub(t.StartedAt) < startTimeout:
		d.countRetry("start", d.opts.Platform.Start(ctx, t.ID, platform.StartTask{Instance: t.Instance, Job: t.Job, Size: t.Reserved, Lease: taskLease}))
		return report, false
	case !known:
		// A start may still be on its way: the task may be placed again only once the
		// platform refuses it.
		if err := d.opts.Platform.Stop(ctx, t.ID); err != nil {
			d.countRetry("stop", err)
			return report, false
		}
		report.Status, report.Failed = state.TaskEnded, true
		return report, true
	}
	d.renewLease(ctx, s, t)
	d.observeUsage(s, t, info)
	return report, t.Status == state.TaskStarting || info.Used != t.Used
}

// stopTask checkpoints a task and then stops it. A task that is unknown to the
// platform has ended.
func (d *Driver) stopTask(ctx context.Context, t *state.Task, info platform.TaskInfo, known bool) (state.TaskReport, bool) {
	switch {
	case !known:
		// A delayed start request may have arrived after the tasks were listed, so
		// the task is stopped in any case.
		if err := d.opts.Platform.Stop(ctx, t.ID); err != nil {
			d.countRetry("stop", err)
			return state.TaskReport{}, false
		}
		return state.TaskReport{Task: t.ID, Status: state.TaskEnded}, true
	case !info.Checkpointed:
		d.countRetry("checkpoint", d.opts.Platform.Checkpoint(ctx, t.ID))
	default:
		d.countRetry("stop", d.opts.Platform.Stop(ctx, t.ID))
	}
	return state.TaskReport{}, false
}

func (d *Driver) countRetry(call string, err error) {
	if err != nil {
		d.opts.Metrics.Counter("fleet_platform_retries_total", "call", call).Inc(1)
	}
}

func (d *Driver) renewLease(ctx context.Context, s *snapshot, t *state.Task) {
	if s.now.Sub(d.soft.renewedAt[t.ID]) < renewAfter {
		return
	}
	err := d.opts.Platform.Renew(ctx, t.ID, taskLease)
	d.countRetry("renew", err)
	if err == nil {
		d.soft.renewedAt[t.ID] = s.now
	}
}

func (d *Driver) observeUsage(s *snapshot, t *state.Task, info platform.TaskInfo) {
	job := s.job(t.Job)
	if job == nil || info.Used == (state.Resources{}) || d.soft.usageObserved[t.ID] {
		return
	}
	d.soft.usageObserved[t.ID] = true
	d.soft.usage.Observe(job, info.Used)
}

func (d *Driver) recordEnd(s *snapshot, t *state.Task, info platform.TaskInfo) {
	delete(d.soft.renewedAt, t.ID)
	delete(d.soft.usageObserved, t.ID)
	h := d.soft.health[t.Instance]
	if !info.Failed {
		delete(d.soft.health, t.Instance)
		return
	}
	d.soft.health[t.Instance] = h.AfterFailure(s.now, t.Job)
	if next := d.soft.health[t.Instance]; next.Ejected() && !h.Ejected() {
		d.opts.Log.Info("Ejected an instance after repeated task failures.", "instance", t.Instance)
	}
}

// relievePressure applies reliefs to instances under pressure.
func (d *Driver) relievePressure(ctx context.Context, s *snapshot) {
	jobs := map[string]*state.Job{}
	for i := range s.jobs {
		jobs[s.jobs[i].ID] = &s.jobs[i]
	}
	for i := range s.instances {
		inst := &s.instances[i]
		tasks := s.tasksOn(inst.ID)
		if !placement.UnderPressure(inst, tasks) {
			delete(d.soft.pressureSince, inst.ID)
			continue
		}
		if d.soft.pressureSince[inst.ID].IsZero() {
			d.soft.pressureSince[inst.ID] = s.now
		}
		for _, a := range placement.Relieve(tasks, jobs, s.now.Sub(d.soft.pressureSince[inst.ID])) {
			d.opts.Metrics.Counter("fleet_reliefs_total", "relief", string(a.Relief)).Inc(1)
			d.countRetry(string(a.Relief), d.applyRelief(ctx, s, a))
		}
	}
}

func (d *Driver) applyRelief(ctx context.Context, s *snapshot, a placement.Action) error {
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
