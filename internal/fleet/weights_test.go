package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/capacity"
	"cactusspar/internal/maintenance"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

var (
	shareFirst   = rules.Weights{Buffer: 4, Share: 4, Rollout: 1, Moves: 1}
	rolloutFirst = rules.Weights{Buffer: 1, Share: 1, Rollout: 4, Moves: 4}
)

// simulation applies plans to generated demand: five pools, each of which has its
// peak in turn, and a wave over all of them.
type simulation struct {
	in    capacity.Input
	waves []state.Wave
	rng   *rand.Rand
	// oneAtATime drains one instance of the fleet at a time, as a baseline.
	oneAtATime bool
	// fixedBuffer reserves a fifth of the fleet in the spare pool instead of the
	// computed buffer.
	fixedBuffer bool
}

// results holds the measures of one simulation that the weights of the rules
// trade off against each other.
type results struct {
	rollout time.Duration
	bound   time.Duration
	moves   int
	// buffer is the mean number of instances that are idle in the spare pool or
	// out of service.
	buffer float64
	// unmet is the fraction of the demand that found no slot. The distance of
	// teams from their shares grows with it.
	unmet float64
}

const (
	stepInterval = 200 * time.Millisecond
	peakInterval = 4 * time.Second
	// outOfServiceTime is how long a drained instance stays out of service.
	outOfServiceTime = 3 * time.Second
)

func newSimulation(seed uint64, w rules.Weights) *simulation {
	rng := rand.New(rand.NewPCG(seed, 3))
	c := &simulation{rng: rng, in: capacity.Input{
		Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), Demand: map[string]capacity.Demand{},
		Rules: &rules.Rules{Spare: "p4", Weights: w, Pools: map[string]rules.Pool{}, Domains: map[string]rules.Domain{"rack": {Kind: "rack", Unavailable: 1}}},
	}}
	wave := state.Wave{ID: "w", Status: state.WaveRunning}
	for p := range 5 {
		pool := fmt.Sprint("p", p)
		c.in.Rules.Pools[pool] = rules.Pool{Name: pool, Min: 6, Max: 14, Unavailable: 2, Period: 35 * 24 * time.Hour}
		for i := range 8 + rng.IntN(5) {
			id := fmt.Sprintf("%s-%d", pool, i)
			c.in.Instances = append(c.in.Instances, state.Instance{
				ID: id, Pool: pool, Slots: 8, Condition: state.Active, LastMaintained: c.in.Now,
				DataCentre: fmt.Sprint("d", i%4), Rack: fmt.Sprintf("%s-%d", pool, i/4),
			})
			wave.Todo = append(wave.Todo, id)
		}
	}
	c.waves = []state.Wave{wave}
	return c
}

func (c *simulation) active(pool string) float64 {
	n := 0.0
	for i := range c.in.Instances {
		if c.in.Instances[i].Pool == pool && c.in.Instances[i].Condition == state.Active {
			n++
		}
	}
	return n
}

// run applies plans until the wave is done and at least the given number of
// peaks has passed.
func (c *simulation) run(t testing.TB, peaks int) results {
	var m results
	var demanded, unmet, unused float64
	began := c.in.Now
	m.bound = time.Duration(maintenance.LowerBound(c.in.Rules, c.in.Instances)) * outOfServiceTime
	steps := 0
	for ; m.rollout == 0 || c.in.Now.Sub(began) < time.Duration(peaks)*peakInterval; steps++ {
		require.Less(t, steps, 100_000)
		c.in.Now = c.in.Now.Add(stepInterval)
		busy := map[string]bool{}
		for p := range 5 {
			pool := fmt.Sprint("p", p)
			demand := 4.0
			if int(c.in.Now.Sub(began)/peakInterval)%5 == p {
				demand = 100 + 40*c.rng.Float64()
			}
			slots := 8 * c.active(pool)
			c.in.Demand[pool] = capacity.Observe(c.in.Demand[pool], c.in.Now, demand, slots, 8)
			busy[pool] = demand > slots-8
			demanded += demand
			unmet += max(0, demand-slots)
		}
		unused += c.unusedInstances()
		c.applyDrains(busy)
		m.moves += c.applyMoves()
		if m.rollout == 0 && len(c.waves[0].Todo) == 0 {
			m.rollout = c.in.Now.Sub(began)
		}
	}
	m.buffer, m.unmet = unused/float64(steps), unmet/demanded
	return m
}

// unusedInstances returns the number of instances that are out of service or idle
// in the spare pool.
func (c *simulation) unusedInstances() float64 {
	n := c.active("p4") - c.in.Demand["p4"].Slots/8
	for i := range c.in.Instances {
		if c.in.Instances[i].Condition != state.Active {
			n++
		}
	}
	return max(0, n)
}

func (c *simulation) applyDrains(busy map[string]bool) {
	in := maintenance.Input{
		Now: c.in.Now, Rules: c.in.Rules, Instances: c.in.Instances, Waves: c.waves, ReturnLimit: time.Hour, DrainLimit: time.Hour, Busy: busy,
	}
	unavailable := 0
	for i := range c.in.Instances {
		inst := &c.in.Instances[i]
		if inst.Condition != state.Draining {
			continue
		}
		if c.in.Now.Sub(inst.ConditionSince) < outOfServiceTime {
			unavailable++
			continue
		}
		inst.Condition, inst.Wave, inst.LastMaintained = state.Active, "", c.in.Now
		c.waves[0].Todo = remove(c.waves[0].Todo, inst.ID)
	}
	plan := maintenance.MakePlan(in)
	for _, s := range plan.Drain {
		if c.oneAtATime && unavailable > 0 {
			return
		}
		for i := range c.in.Instances {
			if inst := &c.in.Instances[i]; inst.ID == s.Instance {
				inst.Condition, inst.ConditionSince, inst.Wave = state.Draining, c.in.Now, s.Wave
			}
		}
		unavailable++
	}
}

func remove(list []string, item string) []string {
	var out []string
	for _, s := range list {
		if s != item {
			out = append(out, s)
		}
	}
	return out
}

func (c *simulation) applyMoves() int {
	if c.fixedBuffer {
		p := c.in.Rules.Pools["p4"]
		p.Min = len(c.in.Instances) / 5
		c.in.Rules.Pools["p4"] = p
	}
	moves := capacity.Plan(c.in)
	for _, m := range moves {
		for i := range c.in.Instances {
			inst := &c.in.Instances[i]
			if inst.ID != m.Instance {
				continue
			}
			inst.Pool, inst.HomePool = m.To, "p4"
			if m.To == "p4" {
				inst.HomePool = ""
			}
		}
	}
	return len(moves)
}

func meanResults(t testing.TB, w rules.Weights, change func(*simulation)) results {
	const seeds = 30
	var sum results
	for seed := range uint64(seeds) {
		c := newSimulation(seed, w)
		change(c)
		m := c.run(t, 30)
		sum.rollout += m.rollout / seeds
		sum.bound += m.bound / seeds
		sum.moves += m.moves
		sum.buffer += m.buffer / seeds
		sum.unmet += m.unmet / seeds
	}
	sum.moves /= seeds
	return sum
}

// Guards against weights without effect: each set of weights must give better
// values than the other set for the measures that it favours.
func TestWeightsImproveTheFavouredMeasures(t *testing.T) {
	share, rollout := meanResults(t, shareFirst, func(*simulation) {}), meanResults(t, rolloutFirst, func(*simulation) {})
	require.Less(t, share.unmet, rollout.unmet)
	require.Less(t, share.buffer, rollout.buffer)
	require.Less(t, rollout.moves, share.moves)
	require.Less(t, rollout.rollout, share.rollout)
}

// BenchmarkWeights reports the measures for each set of weights and each baseline, as
// means over 30 seeds.
func BenchmarkWeights(b *testing.B) {
	cases := []struct {
		name   string
		w      rules.Weights
		change func(*simulation)
	}{
		{"share-first", shareFirst, func(*simulation) {}},
		{"rollout-first", rolloutFirst, func(*simulation) {}},
		{"one-at-a-time", rolloutFirst, func(c *simulation) { c.oneAtATime = true }},
		{"fixed-20-percent-buffer", shareFirst, func(c *simulation) { c.fixedBuffer = true }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			var m results
			for b.Loop() {
				m = meanResults(b, c.w, c.change)
			}
			b.ReportMetric(m.rollout.Seconds(), "rollout-s")
			b.ReportMetric(m.bound.Seconds(), "bound-s")
			b.ReportMetric(float64(m.moves), "moves")
			b.ReportMetric(m.buffer, "held-back")
			b.ReportMetric(100*m.unmet, "unmet-%")
		})
	}
}
