package fleet

import (
	"context"
	"fmt"

	"cactusspar/internal/placement"
	"cactusspar/internal/state"
)

// maxStarts limits the starts of one round, so that a burst of submissions does
// not delay urgent jobs that arrive meanwhile.
const maxStarts = 256

// placeJobs plans for the waiting jobs and commits the starts, preemptions and
// refusals.
func (d *Driver) placeJobs(ctx context.Context, s *snapshot) error {
	if d.opts.Platform == nil || len(s.jobs) == 0 {
		return nil
	}
	plan := placement.MakePlan(placement.Input{
		Now: s.now, Rules: s.rules, Instances: s.instances, Jobs: s.jobs, Tasks: s.tasks,
		Model: d.soft.usage, Health: d.soft.health, TeamRunning: s.grantsHeld, MaxStarts: maxStarts,
	})
	c := &state.PlaceTasks{}
	for _, start := range plan.Start {
		job := s.job(start.Job)
		c.Start = append(c.Start, state.Task{
			// The index of the job's last change makes the id unique for each
			// attempt and stable when a plan is repeated.
			ID:  fmt.Sprintf("%s-%d", start.Job, job.Index),
			Job: start.Job, Instance: start.Instance, PoolEpoch: start.PoolEpoch, Reserved: start.Reserved,
		})
	}
	for _, p := range plan.Preempt {
		c.Stop = append(c.Stop, p.Task)
	}
	for _, r := range plan.Refuse {
		c.Refuse = append(c.Refuse, state.JobRefusal{Job: r.Job, Reason: r.Reason})
	}
	if len(c.Start)+len(c.Stop)+len(c.Refuse) == 0 {
		return nil
	}
	_, err := d.propose(ctx, state.Command{PlaceTasks: c})
	return err
}
