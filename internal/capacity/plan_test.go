package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testInput(weights rules.Weights, spare, others, minimum int) Input {
	in := Input{Now: epoch, Demand: map[string]Demand{}, Rules: &rules.Rules{
		Spare: "spare", Weights: weights, Pools: map[string]rules.Pool{},
	}}
	add := func(pool string, n int) {
		in.Rules.Pools[pool] = rules.Pool{Name: pool, Min: minimum, Max: 12}
		for i := range n {
			dc := i % 4
			in.Instances = append(in.Instances, state.Instance{
				ID: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Slots: 8, Condition: state.Active,
				DataCentre: fmt.Sprint("dc", dc), Rack: fmt.Sprintf("dc%d-r%d", dc, len(in.Instances)/16),
			})
		}
	}
	add("spare", spare)
	for i := range 4 {
		add(fmt.Sprint("p", i), others)
	}
	return in
}

func applyMoves(in *Input, moves []Move) {
	for _, m := range moves {
		for i := range in.Instances {
			inst := &in.Instances[i]
			if inst.ID == m.Instance {
				if inst.HomePool == "" {
					inst.HomePool = inst.Pool
				}
				inst.Pool = m.To
				if inst.HomePool == m.To {
					inst.HomePool = ""
				}
			}
		}
	}
}

func countInstances(in Input, pool string) int {
	n := 0
	for i := range in.Instances {
		if in.Instances[i].Pool == pool {
			n++
		}
	}
	return n
}

// simulateRotatingPeaks gives each pool in turn a peak of the given duration and
// returns the number of moves.
func simulateRotatingPeaks(t *testing.T, in Input, peaks int, peakDuration time.Duration, rng *rand.Rand) int {
	t.Helper()
	const step = 200 * time.Millisecond
	moves := 0
	for k := range int(time.Duration(peaks) * peakDuration / step) {
		in.Now = in.Now.Add(step)
		peak := int(time.Duration(k)*step/peakDuration) % 4
		for i := range 4 {
			pool := fmt.Sprint("p", i)
			demand := 3.0
			if i == peak {
				demand = 130 + 20*rng.Float64()
			}
			in.Demand[pool] = Observe(in.Demand[pool], in.Now, demand, float64(8*countInstances(in, pool)), 8)
		}
		in.Demand["spare"] = Observe(in.Demand["spare"], in.Now, 3, float64(8*countInstances(in, "spare")), 8)
		planned := Plan(in)
		moves += len(planned)
		applyMoves(&in, planned)
		for pool, rule := range in.Rules.Pools {
			require.GreaterOrEqual(t, countInstances(in, pool), rule.Min, "pool %s", pool)
			require.LessOrEqual(t, countInstances(in, pool), rule.Max, "pool %s", pool)
		}
	}
	return moves
}

// Guards against loans that ignore the weight of moves: a higher weight must
// give fewer moves for the same demand.
func TestHigherMoveWeightReducesMoves(t *testing.T) {
	for seed := range uint64(20) {
		share := simulateRotatingPeaks(t, testInput(rules.Weights{Share: 4, Moves: 1}, 12, 10, 8), 12, 5*time.Second, rand.New(rand.NewPCG(seed, 1)))
		moves := simulateRotatingPeaks(t, testInput(rules.Weights{Share: 1, Moves: 4}, 12, 10, 8), 12, 5*time.Second, rand.New(rand.NewPCG(seed, 1)))
		require.Positive(t, share)
		require.Less(t, moves, share, "seed %d", seed)
	}
}

// Guards against a spare pool that lends its buffer.
func TestLoansPreserveBuffer(t *testing.T) {
	in := testInput(rules.Weights{Share: 1, Moves: 1}, 10, 8, 8)
	buffer := Buffer(in.Rules, in.Instances).Buffer
	require.Positive(t, buffer)
	in.Rules.Pools["spare"] = rules.Pool{Name: "spare", Max: 12}
	for i := range 4 {
		in.Demand[fmt.Sprint("p", i)] = Demand{Slots: 500, AboveSince: epoch.Add(-time.Minute)}
	}
	for range 10 {
		applyMoves(&in, Plan(in))
	}
	require.GreaterOrEqual(t, countInstances(in, "spare"), Buffer(in.Rules, in.Instances).Buffer)
	require.Less(t, countInstances(in, "spare"), 10)
}

// Guards against a buffer that does not match the largest loss that reduces
// pools below their minimum.
func TestBufferCoversLargestRackLoss(t *testing.T) {
	r := &rules.Rules{Spare: "s", Pools: map[string]rules.Pool{"s": {}, "a": {Min: 3}, "b": {Min: 1}}}
	active := func(pool, rack string) state.Instance {
		return state.Instance{ID: pool + rack, Pool: pool, Rack: rack, Condition: state.Active}
	}
	instances := []state.Instance{
		active("a", "r1"), active("a", "r1"), active("a", "r2"),
		active("b", "r1"), active("b", "r3"),
		active("s", "r4"), active("s", "r4"), active("s", "r4"),
	}
	require.Equal(t, Loss{Kind: "rack", Name: "/r1", Buffer: 2}, Buffer(r, instances))
}
