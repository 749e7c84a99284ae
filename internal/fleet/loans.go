package fleet

import (
	"context"

	"cactusspar/internal/capacity"
	"cactusspar/internal/state"
)

// planLoans updates the demand of the pools and moves instances between them and
// the spare pool.
func (d *Driver) planLoans(ctx context.Context, s *snapshot) error {
	slots, count := map[string]float64{}, map[string]float64{}
	for i := range s.instances {
		if inst := &s.instances[i]; inst.Condition == state.Active {
			slots[inst.Pool] += float64(inst.Slots)
			count[inst.Pool]++
		}
	}
	for pool := range s.rules.Pools {
		slotsPerInstance := slots[pool] / max(1, count[pool])
		d.soft.demand[pool] = capacity.Observe(d.soft.demand[pool], s.now, float64(s.signals.Demand[pool]), slots[pool], slotsPerInstance)
	}
	moves := capacity.Plan(capacity.Input{Now: s.now, Rules: s.rules, Instances: s.instances, Demand: d.soft.demand})
	for _, m := range moves {
		inst := s.instance(m.Instance)
		ok, err := d.propose(ctx, state.Command{MoveInstance: &state.MoveInstance{ID: m.Instance, From: m.From, To: m.To, Epoch: inst.PoolEpoch}})
		if err != nil {
			return err
		}
		if ok {
			d.opts.Metrics.Counter("fleet_moves_total", "from", m.From, "to", m.To).Inc(1)
			d.opts.Log.Info("Moved an instance.", "instance", m.Instance, "from", m.From, "to", m.To, "reason", m.Reason)
		}
	}
	buffer := capacity.Buffer(s.rules, s.instances)
	d.opts.Metrics.Gauge("fleet_buffer_instances").Update(int64(buffer.Buffer))
	return nil
}

func (s *snapshot) instance(id string) *state.Instance {
	for i := range s.instances {
		if s.instances[i].ID == id {
			return &s.instances[i]
		}
	}
	return nil
}
