// Package maintenance plans maintenance waves: it selects the instances to drain
// next so that every availability budget holds and the wave ends as early as
// possible. All functions are pure: equal input gives an equal plan.
package maintenance

import (
	"fmt"
	"sort"
	"time"

	"cactusspar/internal/budget"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Input is the snapshot from which a plan is made.
type Input struct {
	Now       time.Time
	Rules     *rules.Rules
	Instances []state.Instance
	Waves     []state.Wave
	// ReturnLimit is the maximum time from the start of an instance's reboot
	// until it is active again.
	ReturnLimit time.Duration
	// DrainLimit is the maximum duration of a drain.
	DrainLimit time.Duration
	// Busy holds the pools whose demand needs all of their instances. Their
	// drains wait while the rules give buffer and share more weight than roll-out
	// and moves, but not beyond the pool's maintenance period.
	Busy map[string]bool
}

// deferred reports whether the drain of an instance waits until demand falls.
func (in *Input) deferred(i *state.Instance) bool {
	w := in.Rules.Weights
	if !in.Busy[i.Pool] || w.Buffer+w.Share <= w.Rollout+w.Moves {
		return false
	}
	period := in.Rules.Pools[i.Pool].Period
	return period == 0 || in.Now.Sub(i.LastMaintained) < period
}

// DefaultReturnLimit covers the reboot of a large instance with memory checks.
const DefaultReturnLimit = 10 * time.Minute

// DefaultDrainLimit covers the longest request deadline and the checkpoint of a
// task.
const DefaultDrainLimit = 5 * time.Minute

// Step is an instance to drain or reboot for a wave.
type Step struct {
	Instance string `json:"instance"`
	Wave     string `json:"wave"`
}

// Stop names a wave to stop, with the reason.
type Stop struct {
	Wave   string `json:"wave"`
	Reason string `json:"reason"`
}

// Wait names an instance of a running wave that is not drained yet, with the
// reason.
type Wait struct {
	Instance string `json:"instance"`
	Wave     string `json:"wave"`
	Reason   string `json:"reason"`
}

// Plan holds the next actions for running waves.
type Plan struct {
	Drain  []Step   `json:"drain"`
	Reboot []Step   `json:"reboot"` // drained instances
	Stop   []Stop   `json:"stop"`
	Done   []string `json:"done"` // waves with nothing left to do
	Wait   []Wait   `json:"wait"`
}

// PlaceOf returns the pool and failure domains whose budgets an instance counts
// against.
func PlaceOf(i *state.Instance) budget.Place {
	return budget.PlaceOf(i.Pool, i.Rack, i.DataCentre, i.Region)
}

// MakePlan plans the next steps of all running waves.
func MakePlan(in Input) Plan {
	p := planner{in: in, ledger: budget.New(in.Rules), byID: make(map[string]*state.Instance, len(in.Instances))}
	for i := range in.Instances {
		inst := &in.Instances[i]
		p.byID[inst.ID] = inst
		if inst.Condition != state.Active {
			p.ledger.MarkUnavailable(PlaceOf(inst))
		}
	}
	waves := append([]state.Wave(nil), in.Waves...)
	sort.Slice(waves, func(i, j int) bool { return waves[i].ID < waves[j].ID })
	var candidates []candidate
	for i := range waves {
		if waves[i].Status == state.WaveRunning {
			candidates = append(candidates, p.planWave(&waves[i])...)
		}
	}
	p.planDrains(candidates)
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

// planWave plans the next steps of a wave's instances that are not active and
// returns the active ones as candidates for a drain. A wave that has to stop has
// no candidates.
func (p *planner) planWave(w *state.Wave) []candidate {
	var candidates []candidate
	todo := 0
	for _, id := range w.Todo {
		inst, ok := p.byID[id]
		if !ok {
			continue // no longer in the fleet
		}
		todo++
		if reason := p.stopReason(w, inst); reason != "" {
			p.plan.Stop = append(p.plan.Stop, Stop{Wave: w.ID, Reason: reason})
			return nil
		}
		switch {
		case inst.Condition == state.Active && p.in.deferred(inst):
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

// stopReason returns why inst forces the wave to stop, or "".
func (p *planner) stopReason(w *state.Wave, inst *state.Instance) string {
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

// planDrains adds the selected candidates to the plan and records for each of the
// others which budget has no room for it.
func (p *planner) planDrains(candidates []candidate) {
	if len(candidates) == 0 {
		return
	}
	sortCandidates(candidates)
	chosen := map[string]bool{}
	for _, c := range p.selectDrains(candidates) {
		chosen[c.inst.ID] = true
		p.ledger.MarkUnavailable(PlaceOf(c.inst))
		p.plan.Drain = append(p.plan.Drain, Step{Instance: c.inst.ID, Wave: c.wave})
	}
	for _, c := range candidates {
		if chosen[c.inst.ID] {
			continue
		}
		reason := "the next round takes it"
		if err := p.ledger.CheckRoom(PlaceOf(c.inst)); err != nil {
			reason = err.Error()
		}
		p.plan.Wait = append(p.plan.Wait, Wait{c.inst.ID, c.wave, reason})
	}
}

// sortCandidates orders candidates by the time of their last maintenance, oldest
// first, so that these are preferred when the budgets allow either. Each
// instance occurs once.
func sortCandidates(candidates []candidate) {
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i].inst, candidates[j].inst
		if !a.LastMaintained.Equal(b.LastMaintained) {
			return a.LastMaintained.Before(b.LastMaintained)
		}
		return a.ID < b.ID
	})
}
