package fairness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cactusspar/internal/boottime"
	"cactusspar/internal/resources"
)

const start = boottime.Instant(100 * time.Second)

// pool admits work like a leader: a job may wait for a time, of which a workspace that exceeds its
// share leaves a quarter.
type pool struct {
	d       Division
	now     boottime.Instant
	given   map[string]float64
	backlog float64 // seconds of the pool
}

const mayWait = 1.3 // seconds

func (p *pool) offer(workspace string, weight, seconds float64) {
	p.d.Offer(p.now, workspace, weight, seconds)
	limit := mayWait
	if p.d.Exceeds(p.now, workspace) {
		limit *= 0.75
	}
	if p.backlog+seconds > limit {
		return
	}
	p.d.Give(p.now, workspace, seconds)
	p.given[workspace] += seconds
	p.backlog += seconds
}

// run offers the work of each workspace, in seconds of the pool a second, for some time.
func (p *pool) run(d time.Duration, r *rand.Rand, rate func(workspace int) float64, workspaces int) {
	const job = 0.004 // seconds of the pool
	const step = 20 * time.Millisecond
	for end := p.now.Add(d); p.now < end; p.now = p.now.Add(step) {
		p.backlog = max(p.backlog-step.Seconds(), 0)
		for _, w := range r.Perm(workspaces) {
			for due := rate(w) * step.Seconds() / job; due > 0 && r.Float64() < due; due-- {
				p.offer(fmt.Sprint(w), 1, job)
			}
		}
	}
}

// One workspace sends seven times its usual beside nineteen steady ones that together ask for
// most of the pool. The steady ones must be served as they are without it.
func TestHotWorkspaceTakesNothingFromSteadyOnes(t *testing.T) {
	served := func(factor float64) float64 {
		p := &pool{now: start, given: map[string]float64{}}
		p.run(6*time.Second, rand.New(rand.NewPCG(1, 2)), func(w int) float64 {
			if w == 0 {
				return 0.045 * factor
			}
			return 0.045
		}, 20)
		steady := 0.0
		for w := 1; w < 20; w++ {
			steady += p.given[fmt.Sprint(w)]
		}
		return steady / (19 * 0.045 * 6)
	}
	require.InDelta(t, served(1), served(7), 0.02)
}

// A workspace is idle for some time and then asks for its share of a pool that another one has
// taken meanwhile. The other one must exceed its share at once, and the first must not.
func TestReturningWorkspaceHasItsShareAtOnce(t *testing.T) {
	var d Division
	now := start
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		d.Offer(now, "greedy", 1, 0.03)
		d.Give(now, "greedy", 0.02)
		require.False(t, d.Exceeds(now, "greedy"), "the idle share is used")
	}
	for range 30 {
		now = now.Add(20 * time.Millisecond)
		d.Offer(now, "greedy", 1, 0.03)
		d.Give(now, "greedy", 0.02)
		d.Offer(now, "back", 3, 0.1)
	}
	require.True(t, d.Exceeds(now, "greedy"))
	require.False(t, d.Exceeds(now, "back"))
	require.False(t, d.Exceeds(now, "unlimited"), "no weight is set")
}

// Jobs that take much memory and few cores fill a pool as well as those that take its cores.
func TestWorkCountsInTheDominantResource(t *testing.T) {
	capacity := resources.Amount{MilliCPU: 64000, MemoryMB: 128000}
	require.InDelta(t, 0.5, Work{CoreSeconds: 8, MemoryMBSeconds: 64000}.Dominant(capacity), 1e-9)
	require.InDelta(t, 0.25, Work{CoreSeconds: 16, MemoryMBSeconds: 1000, AcceleratorSeconds: 5}.Dominant(capacity), 1e-9)
}

// Guards against a division that leaves capacity unused, gives a workspace less than its part of
// what it asks for, or limits one that asks for less than its part, whatever is asked for.
func TestDivisionIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Division
		n := rapid.IntRange(1, 30).Draw(t, "workspaces")
		wanted, weights := make([]float64, n), make([]float64, n)
		sumWanted, sumWeights := 0.0, 0.0
		for i := range n {
			wanted[i] = rapid.Float64Range(0.001, 1).Draw(t, "wanted")
			weights[i] = rapid.Float64Range(0.1, 40).Draw(t, "weight")
			sumWanted += wanted[i]
			sumWeights += weights[i]
			d.Offer(start, fmt.Sprint(i), weights[i], wanted[i])
		}
		level := d.fairLevel(start)
		if sumWanted <= Window.Seconds() {
			require.Zero(t, level)
			return
		}
		total := 0.0
		for i := range n {
			part := min(wanted[i], level*weights[i])
			total += part
			require.GreaterOrEqual(t, part, min(wanted[i], Window.Seconds()*weights[i]/sumWeights)-1e-9)
		}
		require.InDelta(t, Window.Seconds(), total, 1e-6)
	})
}

// The cost of a decision must not grow with workspaces that are idle.
func BenchmarkExceeds(b *testing.B) {
	for _, idle := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(idle), func(b *testing.B) {
			var d Division
			for i := range idle {
				d.Offer(start, fmt.Sprint("idle", i), 1, 0.01)
			}
			now := start.Add(2 * Window)
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				d.Offer(now, "a", 1, 0.01)
				d.Exceeds(now, "a")
			}
		})
	}
}

// Guards against a limit for workspaces that together ask for exactly what the window holds: rounding
// made the last one ask for more than its part.
func TestExactlyFullWindowLimitsNobody(t *testing.T) {
	var d Division
	d.Offer(start, "a", 1, 1)
	d.Offer(start, "b", 0.73046875, Window.Seconds()-1)
	require.Zero(t, d.fairLevel(start))
}
