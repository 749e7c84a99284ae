// Package capacity sizes the buffer that the spare pool holds back and plans
// which instances it lends to pools in need. All functions are pure.
package capacity

import (
	"cactusspar/internal/budget"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Loss is the failure domain whose loss needs the most instances to replace.
type Loss struct {
	Kind   string `json:"kind"` // instance or rack
	Name   string `json:"name"`
	Buffer int    `json:"buffer"`
}

// Buffer returns the number of spare instances that cover the largest single
// loss: of one instance or one rack. A pool needs a replacement for each
// instance by which the loss takes it below its minimum.
func Buffer(r *rules.Rules, instances []state.Instance) Loss {
	active := map[string]int{}
	racks := map[string]map[string]int{}
	worst := Loss{Kind: "instance"}
	for i := range instances {
		inst := &instances[i]
		if inst.Condition != state.Active {
			continue
		}
		active[inst.Pool]++
		rack := budget.PlaceOf(inst.Pool, inst.Rack, inst.DataCentre, inst.Region).Rack
		if racks[rack] == nil {
			racks[rack] = map[string]int{}
		}
		racks[rack][inst.Pool]++
	}
	for name, pools := range racks {
		if name == "" {
			continue
		}
		need := 0
		for pool, lost := range pools {
			need += shortage(r, pool, active[pool], lost)
		}
		if need > worst.Buffer || need == worst.Buffer && need > 0 && (worst.Kind != "rack" || name < worst.Name) {
			worst = Loss{Kind: "rack", Name: name, Buffer: need}
		}
	}
	for i := range instances {
		inst := &instances[i]
		if need := shortage(r, inst.Pool, active[inst.Pool], 1); inst.Condition == state.Active && need > worst.Buffer {
			worst = Loss{Kind: "instance", Name: inst.ID, Buffer: need}
		}
	}
	return worst
}

// shortage returns how far the loss takes a pool below its minimum. The spare
// pool replaces its own losses from what it has not lent.
func shortage(r *rules.Rules, pool string, active, lost int) int {
	rule, ok := r.Pools[pool]
	if !ok || pool == r.Spare {
		return 0
	}
	return min(lost, max(0, rule.Min-(active-lost)))
}
