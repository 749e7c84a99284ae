package maintenance

import (
	"math"

	"cactusspar/internal/budget"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// loads counts the instances that are left to do under each budget.
type loads struct {
	rules                          *rules.Rules
	pools, racks, centres, regions map[string]int
}

func countLoads(r *rules.Rules, places []budget.Place) *loads {
	l := &loads{rules: r, pools: map[string]int{}, racks: map[string]int{}, centres: map[string]int{}, regions: map[string]int{}}
	for _, p := range places {
		l.pools[p.Pool]++
		l.racks[p.Rack]++
		l.centres[p.DataCentre]++
		l.regions[p.Region]++
	}
	return l
}

func (l *loads) rounds(kind string, count int) float64 {
	rule, ok := l.rules.Domains[kind]
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

// critical returns the rounds of the tightest budget at p.
func (l *loads) critical(p budget.Place) float64 {
	return max(
		ratio(l.pools[p.Pool], l.rules.Pools[p.Pool].Unavailable),
		l.rounds(budget.KindRack, l.racks[p.Rack]),
		l.rounds(budget.KindDataCentre, l.centres[p.DataCentre]),
		l.rounds(budget.KindRegion, l.regions[p.Region]),
	)
}

// LowerBound returns the least number of rounds that any plan needs to stop
// each of the instances once, one round being one drain and reboot.
func LowerBound(r *rules.Rules, instances []state.Instance) int {
	places := make([]budget.Place, len(instances))
	for i := range instances {
		places[i] = PlaceOf(&instances[i])
	}
	return countLoads(r, places).bound(places)
}

// bound returns the least number of rounds that the budgets at places allow.
func (l *loads) bound(places []budget.Place) int {
	bound := 0.0
	for _, p := range places {
		bound = math.Max(bound, math.Ceil(l.critical(p)))
	}
	if bound > maxRounds {
		return maxRounds
	}
	return int(bound)
}

// maxRounds stands for a wave that never ends because a budget is 0.
const maxRounds = 1 << 20
