// Package maintenance plans maintenance waves: which instances to drain next so
// that every budget holds and the wave ends as early as possible. All functions
// are pure: the same input gives the same plan.
package maintenance

import (
	"fmt"
	"sort"
	"time"

	"cactusspar/internal/budget"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Input is a snapshot of what a plan depends on.
type Input struct {
	Now       time.Time
	Rules     *rules.Rules
	Instances []state.Instance
	Waves     []state.Wave
	// ReturnLimit is the longest time that an instance may take from the start
	// of its reboot until it is back.
	ReturnLimit time.Duration
	// DrainLimit is the longest time that a drain may take.
	DrainLimit time.Duration
	// Busy holds the pools whose demand needs every instance. Their drains wait
	// while the rules weigh buffer and share more than roll-out and moves, but
	// not beyond the pool's period.
	Busy map[string]bool
}

// defers tells whether the drain of an instance waits for the demand to fall.
func (in *Input) defers(i *state.Instance) bool {
	w := in.Rules.Weights
	if !in.Busy[i.Pool] || w.Buffer+w.Share <= w.Rollout+w.Moves {
		return false
	}
	period := in.Rules.Pools[i.Pool].Period
	return period == 0 || in.Now.Sub(i.LastMaintained) < period
}

// DefaultReturnLimit covers the reboot of a large worker with memory checks.
const DefaultReturnLimit = 10 * time.Minute

// DefaultDrainLimit covers the longest request deadline and a task's checkpoint.
const DefaultDrainLimit = 5 * time.Minute

// Step is one instance to drain for a wave.
type Step struct {
	Instance string `json:"instance"`
	Wave     string `json:"wave"`
}

// Stop is a wave to stop, with the reason.
type Stop struct {
	Wave   string `json:"wave"`
	Reason string `json:"reason"`
}

// Wait says why an instance of a running wave is not being drained.
type Wait struct {
	Instance string `json:"instance"`
	Wave     string `json:"wave"`
	Reason   string `json:"reason"`
}

// Plan is what to do next.
type Plan struct {
	Drain  []Step   `json:"drain"`
	Reboot []Step   `json:"reboot"` // drained instances
	Stop   []Stop   `json:"stop"`
	Done   []string `json:"done"` // waves with nothing left to do
	Wait   []Wait   `json:"wait"`
}

// PlaceOf returns where an instance counts against budgets.
func PlaceOf(i *state.Instance) budget.Place {
	return budget.PlaceOf(i.Pool, i.Rack, i.DataCentre, i.Region)
}

// Make plans the next steps of all running waves.
func Make(in Input) Plan {
	p := planner{in: in, ledger: budget.New(in.Rules), byID: make(map[string]*state.Instance, len(in.Instances))}
	for i := range in.Instances {
		inst := &in.Instances[i]
		p.byID[inst.ID] = inst
		if inst.Condition != state.Active {
			p.ledger.Take(PlaceOf(inst))
		}
	}
	waves := append([]state.Wave(nil), in.Waves...)
	sort.Slice(waves, func(i, j int) bool { return waves[i].ID < waves[j].ID })
	var candidates []candidate
	for i := range waves {
		if waves[i].Status == state.WaveRunning {
			candidates = append(candidates, p.wave(&waves[i])...)
		}
	}
	p.drain(candidates)
	return p.plan
}

type candidate struct {
	inst *state.Instance
	wave string
}

type planner struct {
	in     Input
	ledger *budget.Ledger
	byID   map[string]*state.Instance
	plan   Plan
}

// wave handles the instances that a wave has in hand and returns those that it
// could drain next. A wave that is to be stopped has no candidates.
func (p *planner) wave(w *state.Wave) []candidate {
	var candidates []candidate
	todo := 0
	for _, id := range w.Todo {
		inst, ok := p.byID[id]
		if !ok {
			continue // replaced since the wave started
		}
		todo++
		if reason := p.overdue(w, inst); reason != "" {
			p.plan.Stop = append(p.plan.Stop, Stop{Wave: w.ID, Reason: reason})
			return nil
		}
		switch {
		case inst.Condition == state.Active && p.in.defers(inst):
			p.plan.Wait = append(p.plan.Wait, Wait{id, w.ID, "the demand of pool " + inst.Pool + " needs every instance"})
		case inst.Condition == state.Active:
			candidates = append(candidates, candidate{inst, w.ID})
		case inst.Condition == state.Drained && inst.Wave == w.ID:
			p.plan.Reboot = append(p.plan.Reboot, Step{Instance: id, Wave: w.ID})
		case inst.Wave != w.ID:
			p.plan.Wait = append(p.plan.Wait, Wait{id, w.ID, "the instance is " + string(inst.Condition) + " for another reason"})
		}
	}
	if todo == 0 {
		p.plan.Done = append(p.plan.Done, w.ID)
	}
	return candidates
}

// overdue returns why the wave must stop because of inst, or "".
func (p *planner) overdue(w *state.Wave, inst *state.Instance) string {
	if inst.Wave != w.ID {
		return ""
	}
	age := p.in.Now.Sub(inst.ConditionSince)
	switch inst.Condition {
	case state.Lost:
		return fmt.Sprintf("instance %s was lost during its maintenance", inst.ID)
	case state.Rebooting:
		if age > p.in.ReturnLimit {
			return fmt.Sprintf("instance %s did not return within %v of its reboot", inst.ID, p.in.ReturnLimit)
		}
	case state.Draining:
		if age > p.in.DrainLimit {
			return fmt.Sprintf("instance %s was not drained within %v", inst.ID, p.in.DrainLimit)
		}
	}
	return ""
}

// drain admits the chosen candidates and says of the others which budget leaves
// no room for them.
func (p *planner) drain(candidates []candidate) {
	if len(candidates) == 0 {
		return
	}
	sortCandidates(candidates)
	chosen := map[string]bool{}
	for _, c := range p.choose(candidates) {
		chosen[c.inst.ID] = true
		p.ledger.Take(PlaceOf(c.inst))
		p.plan.Drain = append(p.plan.Drain, Step{Instance: c.inst.ID, Wave: c.wave})
	}
	for _, c := range candidates {
		if chosen[c.inst.ID] {
			continue
		}
		reason := "the next round takes it"
		if err := p.ledger.Room(PlaceOf(c.inst)); err != nil {
			reason = err.Error()
		}
		p.plan.Wait = append(p.plan.Wait, Wait{c.inst.ID, c.wave, reason})
	}
}

// sortCandidates puts the instances first that were maintained the longest ago,
// so that these are preferred among equals. An instance is a candidate once.
func sortCandidates(candidates []candidate) {
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i].inst, candidates[j].inst
		if !a.LastMaintained.Equal(b.LastMaintained) {
			return a.LastMaintained.Before(b.LastMaintained)
		}
		return a.ID < b.ID
	})
}
