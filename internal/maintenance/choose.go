package maintenance

import (
	"math"

	"cactusspar/internal/budget"
)

// choose selects the candidates to drain now. Every budget is an arc of a flow
// network, with instances as unit arcs between the pools on one side and the
// tree of racks, data centres and regions on the other. If T rounds are the
// least that the budgets allow, a budget with n instances left and a limit of c
// must take n-(T-1)c of them in this round; that part of its arc has a negative
// cost. A flow that satisfies all of these exists, since 1/T of each instance
// is a fractional one, so the wave ends after T rounds if every round takes the
// same time. Picking the most critical instance first, without the flow, needed
// up to one round in four more.
func (p *planner) choose(candidates []candidate) []candidate {
	places := make([]budget.Place, len(candidates))
	for i, c := range candidates {
		places[i] = PlaceOf(c.inst)
	}
	b := newNetwork(p, places)
	for _, place := range places {
		b.instance(place)
	}
	b.flow.run(b.source, b.sink)
	var chosen []candidate
	for i, a := range b.arcs {
		if b.flow.used(a) {
			chosen = append(chosen, candidates[i])
		}
	}
	return chosen
}

// network maps budgets to vertices.
type network struct {
	flow                           flow
	source, sink                   int
	ledger                         *budget.Ledger
	loads                          *loads
	rounds                         int
	pools, racks, centres, regions map[string]int // vertices
	arcs                           []int          // of each candidate
}

const unlimited = math.MaxInt32

func newNetwork(p *planner, places []budget.Place) *network {
	b := &network{
		ledger: p.ledger, loads: countLoads(p.in.Rules, places),
		pools: map[string]int{}, racks: map[string]int{}, centres: map[string]int{}, regions: map[string]int{},
	}
	b.source, b.sink = b.flow.vertex(), b.flow.vertex()
	b.rounds = b.loads.bound(places)
	return b
}

func (b *network) instance(p budget.Place) {
	pool := b.poolVertex(p)
	rack := b.rackVertex(p)
	b.arcs = append(b.arcs, b.flow.arc(pool, rack, 1, 0))
}

// limit adds the arcs of one budget: a part that this round must take, and the rest.
func (b *network) limit(from, to, left, limit, unavailable int) {
	room := max(0, limit-unavailable)
	must := 0
	if limit != unlimited {
		must = min(room, max(0, left-(b.rounds-1)*limit))
	}
	if must > 0 {
		b.flow.arc(from, to, must, -1)
	}
	if room > must {
		b.flow.arc(from, to, room-must, 0)
	}
}

func (b *network) poolVertex(p budget.Place) int {
	return b.vertex(b.pools, p.Pool, func(v int) {
		limit := b.loads.rules.Pools[p.Pool].Unavailable // 0 for a pool that is not in the rules
		b.limit(b.source, v, b.loads.pools[p.Pool], limit, b.ledger.InPool(p.Pool))
	})
}

func (b *network) rackVertex(p budget.Place) int {
	return b.vertex(b.racks, p.Rack, func(v int) {
		limit := b.domainLimit(budget.KindRack, p.Rack)
		b.limit(v, b.centreVertex(p), b.loads.racks[p.Rack], limit, b.ledger.InRack(p.Rack))
	})
}

func (b *network) centreVertex(p budget.Place) int {
	return b.vertex(b.centres, p.DataCentre, func(v int) {
		limit := b.domainLimit(budget.KindDataCentre, p.DataCentre)
		b.limit(v, b.regionVertex(p), b.loads.centres[p.DataCentre], limit, b.ledger.InDataCentre(p.DataCentre))
	})
}

func (b *network) regionVertex(p budget.Place) int {
	return b.vertex(b.regions, p.Region, func(v int) {
		limit := b.domainLimit(budget.KindRegion, p.Region)
		b.limit(v, b.sink, b.loads.regions[p.Region], limit, b.ledger.InRegion(p.Region))
	})
}

// vertex returns the vertex of a name, and connects it when it is new.
func (b *network) vertex(known map[string]int, name string, connect func(v int)) int {
	v, ok := known[name]
	if !ok {
		v = b.flow.vertex()
		known[name] = v
		connect(v)
	}
	return v
}

func (b *network) domainLimit(kind, name string) int {
	rule, ok := b.loads.rules.Domains[kind]
	if !ok || name == "" {
		return unlimited
	}
	return rule.Unavailable
}
