package fleet

import (
	"context"
	"errors"
	"fmt"

	"cactusspar/internal/maintenance"
	"cactusspar/internal/platform"
	"cactusspar/internal/state"
)

// updateConditions commits observed changes: losses, returns and completed drains.
func (d *Driver) updateConditions(ctx context.Context, s *snapshot) error {
	for i := range s.instances {
		inst := &s.instances[i]
		to := observedCondition(inst, s)
		if to == inst.Condition {
			continue
		}
		ok, err := d.setCondition(ctx, inst, to, inst.Wave)
		if err != nil {
			return err
		}
		if ok {
			d.opts.Log.Info("Observed a change of an instance's condition.", "instance", inst.ID, "pool", inst.Pool, "from", string(inst.Condition), "to", string(to))
			inst.Condition, inst.ConditionSince = to, s.now
		}
	}
	return d.forgetLost(ctx, s)
}

// forgetLost removes instances that have been lost for longer than lostRetention.
func (d *Driver) forgetLost(ctx context.Context, s *snapshot) error {
	c := &state.ForgetInstances{}
	for i := range s.instances {
		inst := &s.instances[i]
		expired := inst.Condition == state.Lost && s.now.Sub(inst.ConditionSince) > lostRetention
		if expired && len(s.tasksOn(inst.ID)) == 0 && len(c.IDs) < maxForgottenPerCommand {
			c.IDs = append(c.IDs, inst.ID)
		}
	}
	if len(c.IDs) == 0 {
		return nil
	}
	_, err := d.propose(ctx, state.Command{ForgetInstances: c})
	return err
}

// maxForgottenPerCommand limits the instances that one command removes.
const maxForgottenPerCommand = 1000

// observedCondition returns the condition that follows from the reports. A
// rebooting instance is expected to be silent; the platform reports when it is
// up again.
func observedCondition(inst *state.Instance, s *snapshot) state.Condition {
	switch inst.Condition {
	case state.Active, state.Draining:
		if s.signals.Lost[inst.ID] {
			return state.Lost
		}
		if inst.Condition == state.Draining && s.signals.Drained[inst.ID] && len(s.tasksOn(inst.ID)) == 0 {
			return state.Drained
		}
	case state.Lost:
		if s.signals.Returned[inst.ID] {
			return state.Active
		}
	}
	return inst.Condition
}

func (d *Driver) setCondition(ctx context.Context, inst *state.Instance, to state.Condition, wave string) (bool, error) {
	return d.propose(ctx, state.Command{SetCondition: &state.SetCondition{
		ID: inst.ID, From: inst.Condition, To: to, Wave: wave, By: "leader",
	}})
}

func (d *Driver) maintenanceInput(s *snapshot) maintenance.Input {
	return maintenance.Input{
		Now: s.now, Rules: s.rules, Instances: s.instances, Waves: s.waves,
		ReturnLimit: d.opts.ReturnLimit, DrainLimit: d.opts.DrainLimit, Busy: busyPools(s),
	}
}

// busyPools returns the pools whose demand exceeds their capacity without the
// largest active instance.
func busyPools(s *snapshot) map[string]bool {
	slots, largest := map[string]int{}, map[string]int{}
	for i := range s.instances {
		if inst := &s.instances[i]; inst.Condition == state.Active {
			slots[inst.Pool] += inst.Slots
			largest[inst.Pool] = max(largest[inst.Pool], inst.Slots)
		}
	}
	out := map[string]bool{}
	for pool, demand := range s.signals.Demand {
		out[pool] = demand > slots[pool]-largest[pool]
	}
	return out
}

// advanceWaves carries out the next steps of running waves and starts waves for
// due maintenance.
func (d *Driver) advanceWaves(ctx context.Context, s *snapshot) error {
	plan := maintenance.MakePlan(d.maintenanceInput(s))
	for _, stop := range plan.Stop {
		if err := d.controlWave(ctx, stop.Wave, state.WaveStopped, stop.Reason); err != nil {
			return err
		}
		d.opts.Log.Info("Stopped a wave.", "wave", stop.Wave, "reason", stop.Reason)
	}
	for _, wave := range plan.Done {
		if err := d.controlWave(ctx, wave, state.WaveDone, ""); err != nil {
			return err
		}
	}
	byID := map[string]*state.Instance{}
	for i := range s.instances {
		byID[s.instances[i].ID] = &s.instances[i]
	}
	for _, step := range plan.Drain {
		if _, err := d.setCondition(ctx, byID[step.Instance], state.Draining, step.Wave); err != nil {
			return err
		}
	}
	if d.opts.Platform != nil {
		for _, step := range plan.Reboot {
			if _, err := d.setCondition(ctx, byID[step.Instance], state.Rebooting, step.Wave); err != nil {
				return err
			}
		}
	}
	return d.startDueWaves(ctx, s)
}

func (d *Driver) controlWave(ctx context.Context, wave string, status state.WaveStatus, reason string) error {
	_, err := d.propose(ctx, state.Command{ControlWave: &state.ControlWave{ID: wave, Status: status, Reason: reason, By: "leader"}})
	return err
}

// startDueWaves starts one wave per pool for the instances whose maintenance is due.
func (d *Driver) startDueWaves(ctx context.Context, s *snapshot) error {
	if s.now.Before(d.soft.nextDue) || d.opts.Platform == nil {
		return nil
	}
	d.soft.nextDue = s.now.Add(dueInterval)
	due := maintenance.Due(d.maintenanceInput(s))
	if len(due) == 0 {
		return nil
	}
	pools := map[string][]string{}
	for i := range s.instances {
		pools[s.instances[i].Pool] = append(pools[s.instances[i].Pool], s.instances[i].ID)
	}
	for pool, members := range pools {
		wanted := intersect(members, due)
		if len(wanted) == 0 {
			continue
		}
		id := fmt.Sprintf("due-%s-%d", pool, s.now.Unix())
		_, err := d.propose(ctx, state.Command{StartWave: &state.StartWave{ID: id, Pools: []string{pool}, Instances: wanted, By: "period of the pool"}})
		if err != nil {
			return err
		}
	}
	return nil
}

// intersect returns the items of a that are in b, in the order of a.
func intersect(a, b []string) []string {
	in := make(map[string]bool, len(b))
	for _, x := range b {
		in[x] = true
	}
	var out []string
	for _, x := range a {
		if in[x] {
			out = append(out, x)
		}
	}
	return out
}

// advanceReboots requests the reboot of instances in condition rebooting and
// commits the return of those whose reboot is complete. The request id contains
// the start of the condition, so that a repeated request has no effect.
func (d *Driver) advanceReboots(ctx context.Context, s *snapshot) error {
	if d.opts.Platform == nil {
		return nil
	}
	var rebooting []*state.Instance
	for i := range s.instances {
		if s.instances[i].Condition == state.Rebooting {
			rebooting = append(rebooting, &s.instances[i])
		}
	}
	if len(rebooting) == 0 {
		return nil
	}
	infos, err := d.opts.Platform.Instances(ctx)
	if err != nil {
		return err
	}
	known := map[string]platform.InstanceInfo{}
	for _, info := range infos {
		known[info.ID] = info
	}
	for _, inst := range rebooting {
		if err := d.advanceReboot(ctx, inst, known[inst.ID]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Driver) advanceReboot(ctx context.Context, inst *state.Instance, info platform.InstanceInfo) error {
	request := fmt.Sprintf("%s-%d", inst.ID, inst.ConditionSince.UnixNano())
	if info.Request != request {
		err := d.opts.Platform.Reboot(ctx, inst.ID, request)
		if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrOutcomeUnknown) {
			d.opts.Metrics.Counter("fleet_platform_retries_total", "call", "reboot").Inc(1)
			return nil // retried in the next round until the return limit stops the wave
		}
		return err
	}
	if info.Status != platform.Up {
		return nil
	}
	ok, err := d.setCondition(ctx, inst, state.Active, inst.Wave)
	if ok {
		d.opts.Log.Info("An instance returned from its reboot.", "instance", inst.ID, "wave", inst.Wave)
	}
	return err
}
