// Package capacity computes the buffer that the spare pool reserves and plans
// which of its instances are lent to pools that are short of capacity. All
// functions are pure.
package capacity

import (
	"cactusspar/internal/budget"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Loss is the instance or rack whose loss requires the most replacements.
type Loss struct {
	Kind   string `json:"kind"` // instance or rack
	Name   string `json:"name"`
	Buffer int    `json:"buffer"`
}

// Buffer returns the largest single loss, of one instance or one rack, and the
// number of spare instances that cover it. A pool needs one replacement for each
// instance by which the loss reduces it below its minimum.
func Buffer(r *rules.Rules, instances []state.Instance) Loss {
	active := map[string]int{}
	racks := map[string]map[string]int{}
	largest := Loss{Kind: "instance"}
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
		if need > largest.Buffer || need == largest.Buffer && need > 0 && (largest.Kind != "rack" || name < largest.Name) {
			largest = Loss{Kind: "rack", Name: name, Buffer: need}
		}
	}
	for i := range instances {
		inst := &instances[i]
		if need := shortage(r, inst.Pool, active[inst.Pool], 1); inst.Condition == state.Active && need > largest.Buffer {
			largest = Loss{Kind: "instance", Name: inst.ID, Buffer: need}
		}
	}
	return largest
}

// shortage returns how many instances a pool falls below its minimum because of
// a loss. It is 0 for the spare pool, which replaces its own losses from the
// instances that it has not lent.
func shortage(r *rules.Rules, pool string, active, lost int) int {
	rule, ok := r.Pools[pool]
	if !ok || pool == r.Spare {
		return 0
	}
	return min(lost, max(0, rule.Min-(active-lost)))
}
