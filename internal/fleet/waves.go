package fleet

import (
	"context"
	"errors"
	"fmt"

	"cactusspar/internal/maintenance"
	"cactusspar/internal/platform"
	"cactusspar/internal/state"
)

// conditions commits what was observed: losses, returns and ended drains.
func (d *Driver) conditions(ctx context.Context, s *snapshot) error {
	for i := range s.instances {
		inst := &s.instances[i]
		to := observed(inst, s)
		if to == inst.Condition {
			continue
		}
		ok, err := d.set(ctx, inst, to, inst.Wave)
		if err != nil {
			return err
		}
		if ok {
			d.opts.Log.Info("Observed a change of an instance.", "instance", inst.ID, "pool", inst.Pool, "from", string(inst.Condition), "to", string(to))
			inst.Condition, inst.ConditionSince = to, s.now
		}
	}
	return d.forget(ctx, s)
}

// forget removes instances that have been lost for long.
func (d *Driver) forget(ctx context.Context, s *snapshot) error {
	c := &state.ForgetInstances{}
	for i := range s.instances {
		inst := &s.instances[i]
		gone := inst.Condition == state.Lost && s.now.Sub(inst.ConditionSince) > forgetAfter
		if gone && len(s.tasksOn(inst.ID)) == 0 && len(c.IDs) < maxForgotten {
			c.IDs = append(c.IDs, inst.ID)
		}
	}
	if len(c.IDs) == 0 {
		return nil
	}
	_, err := d.propose(ctx, state.Command{ForgetInstances: c})
	return err
}

// maxForgotten bounds the instances that one command removes.
const maxForgotten = 1000

// observed returns the condition that follows from what was reported. An
// instance that is rebooting is silent by plan; the platform tells its end.
func observed(inst *state.Instance, s *snapshot) state.Condition {
	switch inst.Condition {
	case state.Active, state.Draining:
		if s.signals.Lost[inst.ID] {
			return state.Lost
		}
		if inst.Condition == state.Draining && s.signals.Drained[inst.ID] && len(s.tasksOn(inst.ID)) == 0 {
			return state.Drained
		}
	case state.Lost:
		if s.signals.Back[inst.ID] {
			return state.Active
		}
	}
	return inst.Condition
}

func (d *Driver) set(ctx context.Context, inst *state.Instance, to state.Condition, wave string) (bool, error) {
	return d.propose(ctx, state.Command{SetCondition: &state.SetCondition{
		ID: inst.ID, From: inst.Condition, To: to, Wave: wave, By: "leader",
	}})
}

func (d *Driver) input(s *snapshot) maintenance.Input {
	return maintenance.Input{
		Now: s.now, Rules: s.rules, Instances: s.instances, Waves: s.waves,
		ReturnLimit: d.opts.ReturnLimit, DrainLimit: d.opts.DrainLimit, Busy: busy(s),
	}
}

// busy returns the pools whose demand needs more than their active instances
// but one.
func busy(s *snapshot) map[string]bool {
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

// waves carries out the next steps of running waves and starts those that are due.
func (d *Driver) waves(ctx context.Context, s *snapshot) error {
	plan := maintenance.Make(d.input(s))
	for _, stop := range plan.Stop {
		if err := d.control(ctx, stop.Wave, state.WaveStopped, stop.Reason); err != nil {
			return err
		}
		d.opts.Log.Info("Stopped a wave.", "wave", stop.Wave, "reason", stop.Reason)
	}
	for _, wave := range plan.Done {
		if err := d.control(ctx, wave, state.WaveDone, ""); err != nil {
			return err
		}
	}
	byID := map[string]*state.Instance{}
	for i := range s.instances {
		byID[s.instances[i].ID] = &s.instances[i]
	}
	for _, step := range plan.Drain {
		if _, err := d.set(ctx, byID[step.Instance], state.Draining, step.Wave); err != nil {
			return err
		}
	}
	if d.opts.Platform != nil {
		for _, step := range plan.Reboot {
			if _, err := d.set(ctx, byID[step.Instance], state.Rebooting, step.Wave); err != nil {
				return err
			}
		}
	}
	return d.startDue(ctx, s)
}

func (d *Driver) control(ctx context.Context, wave string, status state.WaveStatus, reason string) error {
	_, err := d.propose(ctx, state.Command{ControlWave: &state.ControlWave{ID: wave, Status: status, Reason: reason, By: "leader"}})
	return err
}

// startDue starts a wave for the instances whose period is nearly over.
func (d *Driver) startDue(ctx context.Context, s *snapshot) error {
	if s.now.Before(d.soft.nextDue) || d.opts.Platform == nil {
		return nil
	}
	d.soft.nextDue = s.now.Add(dueInterval)
	due := maintenance.Due(d.input(s))
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

// intersect returns the items of a that are in the sorted list b.
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

// reboots asks the platform for the reboot of instances in that condition, and
// commits the return of those that it finished. Asking again is harmless,
// because the request names the condition's beginning.
func (d *Driver) reboots(ctx context.Context, s *snapshot) error {
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
		if err := d.reboot(ctx, inst, known[inst.ID]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Driver) reboot(ctx context.Context, inst *state.Instance, info platform.InstanceInfo) error {
	request := fmt.Sprintf("%s-%d", inst.ID, inst.ConditionSince.UnixNano())
	if info.Request != request {
		err := d.opts.Platform.Reboot(ctx, inst.ID, request)
		if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrUnknown) {
			d.opts.Metrics.Counter("fleet_platform_retries_total", "call", "reboot").Inc(1)
			return nil // asked again in the next round; the return limit ends it
		}
		return err
	}
	if info.Status != platform.Up {
		return nil
	}
	ok, err := d.set(ctx, inst, state.Active, inst.Wave)
	if ok {
		d.opts.Log.Info("An instance returned from its reboot.", "instance", inst.ID, "wave", inst.Wave)
	}
	return err
}
