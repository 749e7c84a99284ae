package maintenance

import (
	"math"

	"cactusspar/internal/budget"
)

// selectDrains selects the candidates to drain now by a minimum-cost maximum flow.
// Every budget is an arc of the network. Instances are arcs of capacity 1 from
// their pool to their rack, from which the tree of racks, data centres and
// regions leads to the sink.
//
// If the budgets allow no fewer than T rounds, a budget with n remaining
// instances and a limit of c must take at least n-(T-1)c of them in this round.
// That part of its arc has a negative cost. A flow that satisfies all of these
// minimums exists, because draining 1/T of every instance is a fractional
// solution. The wave therefore ends after T rounds if all rounds take the same
// time. A greedy choice of the most constrained instance needed up to a quarter
// more rounds.
func (p *planner) selectDrains(candidates []candidate) []candidate {
	places := make([]budget.Place, len(candidates))
	for i, c := range candidates {
		places[i] = PlaceOf(c.inst)
	}
	n := newBudgetNetwork(p, places)
	for _, place := range places {
		n.addInstance(place)
	}
	n.flow.run(n.source, n.sink)
	var selected []candidate
	for i, a := range n.instanceArcs {
		if n.flow.saturated(a) {
			selected = append(selected, candidates[i])
		}
	}
	return selected
}

// budgetNetwork is the flow network of one round, with a vertex for each pool and
// failure domain.
type budgetNetwork struct {
	flow                           flowNetwork
	source, sink                   int
	ledger                         *budget.Ledger
	remaining                      *remainingCounts
	rounds                         int
	pools, racks, centres, regions map[string]int // vertices by name
	instanceArcs                   []int          // by index of the candidate
}

const unlimited = math.MaxInt32

func newBudgetNetwork(p *planner, places []budget.Place) *budgetNetwork {
	n := &budgetNetwork{
		ledger: p.ledger, remaining: countRemaining(p.in.Rules, places),
		pools: map[string]int{}, racks: map[string]int{}, centres: map[string]int{}, regions: map[string]int{},
	}
	n.source, n.sink = n.flow.addVertex(), n.flow.addVertex()
	n.rounds = n.remaining.minRounds(places)
	return n
}

func (n *budgetNetwork) addInstance(p budget.Place) {
	pool := n.poolVertex(p)
	rack := n.rackVertex(p)
	n.instanceArcs = append(n.instanceArcs, n.flow.addArc(pool, rack, 1, 0))
}

// addBudget adds the arcs of one budget: one with negative cost for the instances
// that this round must take, and one for the rest.
func (n *budgetNetwork) addBudget(from, to, remaining, limit, unavailable int) {
	room := max(0, limit-unavailable)
	required := 0
	if limit != unlimited {
		required = min(room, max(0, remaining-(n.rounds-1)*limit))
	}
	if required > 0 {
		n.flow.addArc(from, to, required, -1)
	}
	if room > required {
		n.flow.addArc(from, to, room-required, 0)
	}
}

func (n *budgetNetwork) poolVertex(p budget.Place) int {
	return n.vertex(n.pools, p.Pool, func(v int) {
		limit := n.remaining.rules.Pools[p.Pool].Unavailable // 0 if the pool is not in the rules
		n.addBudget(n.source, v, n.remaining.pools[p.Pool], limit, n.ledger.InPool(p.Pool))
	})
}

func (n *budgetNetwork) rackVertex(p budget.Place) int {
	return n.vertex(n.racks, p.Rack, func(v int) {
		limit := n.domainLimit(budget.KindRack, p.Rack)
		n.addBudget(v, n.centreVertex(p), n.remaining.racks[p.Rack], limit, n.ledger.InRack(p.Rack))
	})
}

func (n *budgetNetwork) centreVertex(p budget.Place) int {
	return n.vertex(n.centres, p.DataCentre, func(v int) {
		limit := n.domainLimit(budget.KindDataCentre, p.DataCentre)
		n.addBudget(v, n.regionVertex(p), n.remaining.centres[p.DataCentre], limit, n.ledger.InDataCentre(p.DataCentre))
	})
}

func (n *budgetNetwork) regionVertex(p budget.Place) int {
	return n.vertex(n.regions, p.Region, func(v int) {
		limit := n.domainLimit(budget.KindRegion, p.Region)
		n.addBudget(v, n.sink, n.remaining.regions[p.Region], limit, n.ledger.InRegion(p.Region))
	})
}

// vertex returns the vertex of a name. It creates and connects it if missing.
func (n *budgetNetwork) vertex(known map[string]int, name string, connect func(v int)) int {
	v, ok := known[name]
	if !ok {
		v = n.flow.addVertex()
		known[name] = v
		connect(v)
	}
	return v
}

func (n *budgetNetwork) domainLimit(kind, name string) int {
	rule, ok := n.remaining.rules.Domains[kind]
	if !ok || name == "" {
		return unlimited
	}
	return rule.Unavailable
}
