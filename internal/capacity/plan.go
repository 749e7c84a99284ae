package capacity

import (
	"math"
	"sort"
	"time"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Demand is what a pool is asked for, in slots: requests running and waiting.
type Demand struct {
	Slots float64
	// AboveSince is when demand last went above the pool's capacity, and
	// BelowSince when it last went below the share that it can give back at.
	// Both are zero while the condition does not hold.
	AboveSince time.Time
	BelowSince time.Time
}

// Input is a snapshot of what a plan depends on.
type Input struct {
	Now       time.Time
	Rules     *rules.Rules
	Instances []state.Instance
	Demand    map[string]Demand
}

// Move is one instance to move between pools.
type Move struct {
	Instance string `json:"instance"`
	From     string `json:"from"`
	To       string `json:"to"`
	Reason   string `json:"reason"`
}

const (
	// lendUtilisation is the utilisation of a pool at which it is full: above
	// it, waiting times grow steeply.
	lendUtilisation = 0.9
	// returnUtilisation is the utilisation that a pool must stay under without
	// the lent instance before it is given back.
	returnUtilisation = 0.6
	// basePatience is how long demand must stay above capacity before a loan if
	// moves weigh as much as share.
	basePatience = 2 * time.Second
	maxPatience  = 30 * time.Second
	// returnFactor makes a return wait longer than a loan, so that a queue
	// whose peaks come in turns does not pay two moves for each.
	returnFactor = 5
)

// Patience returns how long demand must stay above a pool's capacity before the
// spare pool lends. It grows with the weight of moves against that of share.
func Patience(w rules.Weights) time.Duration {
	ratio := float64(max(1, w.Moves)) / float64(max(1, w.Share))
	return min(maxPatience, time.Duration(float64(basePatience)*ratio))
}

// Observe updates a pool's demand with a reading. slots is the capacity of the
// pool's active instances and perInstance that of one.
func Observe(d Demand, now time.Time, asked, slots, perInstance float64) Demand {
	d.Slots = asked
	d.AboveSince = since(d.AboveSince, now, asked > lendUtilisation*slots)
	d.BelowSince = since(d.BelowSince, now, asked < returnUtilisation*(slots-perInstance))
	return d
}

func since(at, now time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if at.IsZero() {
		return now
	}
	return at
}

// Plan returns the loans and returns to make now. The spare pool keeps its
// minimum and the buffer; each pool keeps its minimum and maximum.
func Plan(in Input) []Move {
	if in.Rules.Spare == "" {
		return nil
	}
	p := newPlanner(in)
	moves := p.returns()
	if len(moves) > 0 {
		return moves // loans are planned once these instances are back
	}
	return p.loans()
}

type planner struct {
	in     Input
	active map[string][]*state.Instance
	wait   time.Duration
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, active: map[string][]*state.Instance{}, wait: Patience(in.Rules.Weights)}
	for i := range in.Instances {
		inst := &in.Instances[i]
		if inst.Condition == state.Active {
			p.active[inst.Pool] = append(p.active[inst.Pool], inst)
		}
	}
	return p
}

func (p *planner) held(since time.Time, long time.Duration) bool {
	return !since.IsZero() && p.in.Now.Sub(since) >= long
}

// returns gives back one lent instance of each pool that no longer needs it,
// or that the spare pool needs more.
func (p *planner) returns() []Move {
	var moves []Move
	spareShort := len(p.active[p.in.Rules.Spare]) < p.in.Rules.Pools[p.in.Rules.Spare].Min
	for _, pool := range p.pools() {
		inst := lent(p.active[pool], p.in.Rules.Spare)
		if inst == nil {
			continue
		}
		d := p.in.Demand[pool]
		switch {
		case p.held(d.BelowSince, returnFactor*p.wait):
			moves = append(moves, Move{inst.ID, pool, p.in.Rules.Spare, "demand is below the pool's own capacity"})
		case spareShort && d.AboveSince.IsZero():
			moves = append(moves, Move{inst.ID, pool, p.in.Rules.Spare, "the spare pool is below its minimum"})
		}
	}
	return moves
}

func (p *planner) pools() []string {
	names := make([]string, 0, len(p.in.Rules.Pools))
	for name := range p.in.Rules.Pools {
		if name != p.in.Rules.Spare {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// lent returns an instance of the pool that belongs to the spare pool.
func lent(instances []*state.Instance, spare string) *state.Instance {
	for _, i := range instances {
		if i.HomePool == spare {
			return i
		}
	}
	return nil
}

// need is a pool that asks for instances.
type need struct {
	pool    string
	missing int
	urgency float64
}

// loans lends what the spare pool has beyond its minimum, the buffer and its
// own demand, to the pools with the highest demand over capacity first.
func (p *planner) loans() []Move {
	spare := p.in.Rules.Spare
	free := p.free()
	needs := p.needs()
	var moves []Move
	lendable := p.lendable()
	for free > 0 && len(lendable) > 0 && len(needs) > 0 {
		n := &needs[0]
		i := bestLender(lendable, p.active[n.pool])
		moves = append(moves, Move{lendable[i].ID, spare, n.pool, "demand is above the pool's capacity"})
		lendable = append(lendable[:i:i], lendable[i+1:]...)
		free--
		n.missing--
		if n.missing == 0 {
			needs = needs[1:]
			continue
		}
		needs = append(needs[1:], *n) // one instance to each pool in turn
	}
	return moves
}

// free is the number of instances that the spare pool can lend now.
func (p *planner) free() int {
	spare := p.in.Rules.Spare
	own := len(p.active[spare])
	keep := max(p.in.Rules.Pools[spare].Min, Buffer(p.in.Rules, p.in.Instances).Buffer)
	used := 0
	if per := perInstance(p.active[spare]); per > 0 {
		used = int(math.Ceil(p.in.Demand[spare].Slots / (lendUtilisation * per)))
	}
	return own - max(keep, used)
}

func (p *planner) lendable() []*state.Instance {
	var out []*state.Instance
	for _, i := range p.active[p.in.Rules.Spare] {
		if i.HomePool == "" || i.HomePool == p.in.Rules.Spare {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

func (p *planner) needs() []need {
	var needs []need
	for _, pool := range p.pools() {
		d := p.in.Demand[pool]
		own := len(p.active[pool])
		room := p.in.Rules.Pools[pool].Max - own
		per := perInstance(p.active[pool])
		if room <= 0 || per == 0 || !p.held(d.AboveSince, p.wait) {
			continue
		}
		missing := int(math.Ceil(d.Slots/(lendUtilisation*per))) - own
		if missing > 0 {
			needs = append(needs, need{pool, min(missing, room), d.Slots / (per * float64(own))})
		}
	}
	sort.SliceStable(needs, func(i, j int) bool { return needs[i].urgency > needs[j].urgency })
	return needs
}

func perInstance(instances []*state.Instance) float64 {
	if len(instances) == 0 {
		return 0
	}
	total := 0
	for _, i := range instances {
		total += i.Slots
	}
	return float64(total) / float64(len(instances))
}

// bestLender returns the candidate whose rack and data centre hold the fewest
// instances of the pool, so that loans keep the pool spread.
func bestLender(candidates, pool []*state.Instance) int {
	racks, centres := map[string]int{}, map[string]int{}
	for _, i := range pool {
		racks[i.Rack]++
		centres[i.DataCentre]++
	}
	best := 0
	for i, c := range candidates {
		b := candidates[best]
		if racks[c.Rack] < racks[b.Rack] || racks[c.Rack] == racks[b.Rack] && centres[c.DataCentre] < centres[b.DataCentre] {
			best = i
		}
	}
	return best
}
