package maintenance

import (
	"math"

	"cactusspar/internal/budget"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// remainingCounts holds the number of instances that remain to be drained under
// each budget.
type remainingCounts struct {
	rules                          *rules.Rules
	pools, racks, centres, regions map[string]int
}

func countRemaining(r *rules.Rules, places []budget.Place) *remainingCounts {
	c := &remainingCounts{rules: r, pools: map[string]int{}, racks: map[string]int{}, centres: map[string]int{}, regions: map[string]int{}}
	for _, p := range places {
		c.pools[p.Pool]++
		c.racks[p.Rack]++
		c.centres[p.DataCentre]++
		c.regions[p.Region]++
	}
	return c
}

func (c *remainingCounts) domainRounds(kind string, count int) float64 {
	rule, ok := c.rules.Domains[kind]
	if !ok {
		return 0
	}
	return ratio(count, rule.Unavailable)
}

func ratio(count, limit int) float64 {
	if limit <= 0 {
		return math.Inf(1)
	}
	return float64(count) / float64(limit)
}

// tightestRounds returns the rounds that the tightest budget at p needs.
func (c *remainingCounts) tightestRounds(p budget.Place) float64 {
	return max(
		ratio(c.pools[p.Pool], c.rules.Pools[p.Pool].Unavailable),
		c.domainRounds(budget.KindRack, c.racks[p.Rack]),
		c.domainRounds(budget.KindDataCentre, c.centres[p.DataCentre]),
		c.domainRounds(budget.KindRegion, c.regions[p.Region]),
	)
}

// LowerBound returns the minimum number of rounds that any plan needs to drain
// and reboot each of the instances once.
func LowerBound(r *rules.Rules, instances []state.Instance) int {
	places := make([]budget.Place, len(instances))
	for i := range instances {
		places[i] = PlaceOf(&instances[i])
	}
	return countRemaining(r, places).minRounds(places)
}

// minRounds returns the minimum number of rounds that the budgets at places allow.
func (c *remainingCounts) minRounds(places []budget.Place) int {
	bound := 0.0
	for _, p := range places {
		bound = math.Max(bound, math.Ceil(c.tightestRounds(p)))
	}
	if bound > maxRounds {
		return maxRounds
	}
	return int(bound)
}

// maxRounds represents a wave that never ends because a budget is 0.
const maxRounds = 1 << 20
