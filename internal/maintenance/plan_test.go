package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/budget"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testInput returns pools whose instances are spread over the data centres, four
// to a rack, and one running wave over all of them.
func testInput(rng *rand.Rand, pools, perPool, centres, unavailable, rackBudget int) Input {
	in := Input{Now: epoch, ReturnLimit: DefaultReturnLimit, DrainLimit: DefaultDrainLimit, Rules: &rules.Rules{
		Pools: map[string]rules.Pool{}, Domains: map[string]rules.Domain{},
	}}
	if rackBudget > 0 {
		in.Rules.Domains[budget.KindRack] = rules.Domain{Kind: budget.KindRack, Unavailable: rackBudget}
	}
	w := state.Wave{ID: "w1", Status: state.WaveRunning}
	count := make([]int, centres)
	for p := range pools {
		name := fmt.Sprintf("p%d", p)
		in.Rules.Pools[name] = rules.Pool{Name: name, Unavailable: unavailable, Period: 35 * 24 * time.Hour}
		n := perPool
		if rng != nil {
			n = max(1, perPool+rng.IntN(5)-2)
		}
		for i := range n {
			dc := (p + i) % centres
			rack := count[dc] / 4
			count[dc]++
			id := fmt.Sprintf("%s-%d", name, i)
			in.Instances = append(in.Instances, state.Instance{
				ID: id, Pool: name, DataCentre: fmt.Sprint("dc", dc), Region: fmt.Sprint("r", dc%4),
				Rack: fmt.Sprintf("dc%d-r%d", dc, rack), Condition: state.Active, ConditionSince: epoch,
			})
			w.Todo = append(w.Todo, id)
		}
	}
	in.Waves = []state.Wave{w}
	return in
}

// requireBudgets fails if planned drains exceed a budget. Losses alone may exceed it.
func requireBudgets(t *testing.T, in Input, planned map[string]bool) {
	t.Helper()
	pools, racks := map[string]int{}, map[string]int{}
	plannedIn := map[string]bool{}
	for i := range in.Instances {
		inst := &in.Instances[i]
		if inst.Condition == state.Active {
			continue
		}
		pools[inst.Pool]++
		racks[inst.Rack]++
		if planned[inst.ID] {
			plannedIn[inst.Pool], plannedIn[inst.Rack] = true, true
		}
	}
	for name, n := range pools {
		require.False(t, plannedIn[name] && n > in.Rules.Pools[name].Unavailable, "pool %s has %d unavailable", name, n)
	}
	rack, ok := in.Rules.Domains[budget.KindRack]
	for name, n := range racks {
		require.False(t, ok && plannedIn[name] && n > rack.Unavailable, "rack %s has %d unavailable", name, n)
	}
}

// Guards against a plan that exceeds a budget when instances are lost during a
// wave and reboots take different times.
func TestBudgetsHoldUnderRandomLosses(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		in := testInput(rng, 1+rng.IntN(8), 8, 4, 1+rng.IntN(3), 1+rng.IntN(2))
		for step := range 120 {
			in.Now = in.Now.Add(10 * time.Second)
			p := MakePlan(in)
			// Only the drains of this plan are checked: a loss after a drain may
			// exceed a budget, and the plan must then add no drain.
			planned := map[string]bool{}
			for _, s := range p.Drain {
				setCondition(&in, s.Instance, state.Draining, s.Wave)
				planned[s.Instance] = true
			}
			requireBudgets(t, in, planned)
			advanceRandomly(rng, &in)
			if len(p.Done) > 0 || len(p.Stop) > 0 {
				break
			}
			require.Less(t, step, 119, "seed %d: the wave did not end", seed)
		}
	}
}

func setCondition(in *Input, id string, c state.Condition, wave string) {
	for i := range in.Instances {
		if in.Instances[i].ID == id {
			in.Instances[i].Condition, in.Instances[i].ConditionSince, in.Instances[i].Wave = c, in.Now, wave
		}
	}
}

// advanceRandomly advances instances to their next condition at random, loses
// some and returns others.
func advanceRandomly(rng *rand.Rand, in *Input) {
	for i := range in.Instances {
		inst := &in.Instances[i]
		if rng.IntN(2) == 0 {
			continue
		}
		switch inst.Condition {
		case state.Active:
			if rng.IntN(100) == 0 {
				inst.Condition, inst.ConditionSince = state.Lost, in.Now
			}
		case state.Lost, state.Rebooting:
			wasWave := inst.Wave != ""
			inst.Condition, inst.ConditionSince, inst.Wave = state.Active, in.Now, ""
			if wasWave {
				completeRound(in, []Step{{Instance: inst.ID}}, 0)
			}
		case state.Draining:
			inst.Condition, inst.ConditionSince = state.Drained, in.Now
		case state.Drained:
			inst.Condition, inst.ConditionSince = state.Rebooting, in.Now
		}
	}
}

// Guards against a wave that continues although an instance did not return from
// its reboot.
func TestWaveStopsWhenAnInstanceDoesNotReturn(t *testing.T) {
	in := testInput(nil, 1, 8, 4, 2, 1)
	setCondition(&in, "p0-0", state.Rebooting, "w1")
	in.Now = in.Now.Add(in.ReturnLimit)
	require.Empty(t, MakePlan(in).Stop)
	in.Now = in.Now.Add(time.Second)
	p := MakePlan(in)
	require.Len(t, p.Stop, 1)
	require.Contains(t, p.Stop[0].Reason, "p0-0 did not return")
	require.Empty(t, p.Drain)
}

// Guards against roll-outs that take much longer than the lower bound given by
// the budgets, over random pool sizes and budgets.
func TestRolloutStaysNearTheLowerBound(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		in := testInput(rng, 5, 10, 4, 1+rng.IntN(3), 1)
		f := Simulate(in, time.Minute)
		require.Empty(t, f.Blocked)
		require.LessOrEqual(t, float64(f.Total), 1.15*float64(f.Bound), "seed %d", seed)
	}
}

// Guards against drains during peak demand when share outweighs roll-out, and
// against a peak that delays maintenance beyond the period.
func TestDrainsWaitDuringPeakDemand(t *testing.T) {
	in := testInput(nil, 2, 4, 4, 1, 0)
	in.Rules.Weights = rules.Weights{Buffer: 4, Share: 4, Rollout: 1, Moves: 1}
	in.Busy = map[string]bool{"p0": true}
	for i := range in.Instances {
		in.Instances[i].LastMaintained = in.Now
	}
	require.Equal(t, "p1", in.Instances[4].Pool)
	require.Len(t, MakePlan(in).Drain, 1)
	in.Instances[0].LastMaintained = in.Now.Add(-36 * 24 * time.Hour)
	require.Len(t, MakePlan(in).Drain, 2)
	in.Rules.Weights = rules.Weights{Buffer: 1, Share: 1, Rollout: 4, Moves: 4}
	in.Instances[0].LastMaintained = in.Now
	require.Len(t, MakePlan(in).Drain, 2)
}

// Guards against instances that stay without maintenance beyond their period,
// and against scheduling an instance that a wave already includes.
func TestDueExcludesInstancesOfActiveWaves(t *testing.T) {
	in := testInput(nil, 1, 3, 1, 1, 0)
	for i := range in.Instances {
		in.Instances[i].LastMaintained = in.Now.Add(-34 * 24 * time.Hour)
	}
	in.Instances[1].LastMaintained = in.Now
	in.Waves[0].Todo = []string{"p0-0"}
	require.Equal(t, []string{"p0-2"}, Due(in))
}

func BenchmarkWavePlan(b *testing.B) {
	in := testInput(nil, 386, 4, 15, 1, 1)
	b.Run("next-step", func(b *testing.B) {
		for b.Loop() {
			MakePlan(in)
		}
	})
	b.Run("whole-wave", func(b *testing.B) {
		var f Forecast
		for b.Loop() {
			f = Simulate(in, time.Minute)
		}
		b.ReportMetric(float64(f.Total)/float64(f.Bound), "x-bound")
		b.ReportMetric(float64(len(in.Instances)), "instances")
	})
}
