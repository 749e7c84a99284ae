package capacity

import (
	"math"
	"sort"
	"time"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Demand is the demand of a pool in slots: its running and waiting requests.
type Demand struct {
	Slots float64
	// AboveSince is the time since which demand has been above the pool's
	// capacity. BelowSince is the time since which it has been low enough to
	// return a lent instance. Each is zero while its condition does not hold.
	AboveSince time.Time
	BelowSince time.Time
}

// Input is the snapshot from which a plan is made.
type Input struct {
	Now       time.Time
	Rules     *rules.Rules
	Instances []state.Instance
	Demand    map[string]Demand
}

// Move is an instance to move between pools.
type Move struct {
	Instance string `json:"instance"`
	From     string `json:"from"`
	To       string `json:"to"`
	Reason   string `json:"reason"`
}

const (
	// lendUtilisation is the utilisation at which a pool counts as full. Above
	// it, queueing delays grow steeply.
	lendUtilisation = 0.9
	// returnUtilisation is the utilisation below which a pool must be without the
	// lent instance before it returns that instance.
	returnUtilisation = 0.6
	// baseLoanDelay is how long demand must stay above capacity before a loan if
	// moves and share have the same weight.
	baseLoanDelay = 2 * time.Second
	maxLoanDelay  = 30 * time.Second
	// returnDelayFactor is the ratio of the delay before a return to that before
	// a loan. The longer delay avoids two moves for every peak of a queue with
	// recurring peaks.
	returnDelayFactor = 5
)

// LoanDelay returns how long demand must stay above a pool's capacity before the
// spare pool lends an instance. It is proportional to the weight of moves over
// that of share, up to a maximum.
func LoanDelay(w rules.Weights) time.Duration {
	ratio := float64(max(1, w.Moves)) / float64(max(1, w.Share))
	return min(maxLoanDelay, time.Duration(float64(baseLoanDelay)*ratio))
}

// Observe returns a pool's demand updated by a measurement. slots is the capacity
// of the pool's active instances, slotsPerInstance the mean capacity of one.
func Observe(d Demand, now time.Time, demand, slots, slotsPerInstance float64) Demand {
	d.Slots = demand
	d.AboveSince = conditionSince(d.AboveSince, now, demand > lendUtilisation*slots)
	d.BelowSince = conditionSince(d.BelowSince, now, demand < returnUtilisation*(slots-slotsPerInstance))
	return d
}

func conditionSince(at, now time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if at.IsZero() {
		return now
	}
	return at
}

// Plan returns the moves to make now: either returns or loans. Loans leave the
// spare pool its minimum and the buffer, and respect the maximum of each pool.
func Plan(in Input) []Move {
	if in.Rules.Spare == "" {
		return nil
	}
	p := newPlanner(in)
	moves := p.planReturns()
	if len(moves) > 0 {
		return moves // loans are planned once these instances have returned
	}
	return p.planLoans()
}

type planner struct {
	in        Input
	active    map[string][]*state.Instance
	loanDelay time.Duration
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, active: map[string][]*state.Instance{}, loanDelay: LoanDelay(in.Rules.Weights)}
	for i := range in.Instances {
		inst := &in.Instances[i]
		if inst.Condition == state.Active {
			p.active[inst.Pool] = append(p.active[inst.Pool], inst)
		}
	}
	return p
}

func (p *planner) sustained(since time.Time, duration time.Duration) bool {
	return !since.IsZero() && p.in.Now.Sub(since) >= duration
}

// planReturns plans the return of one lent instance from each pool that no longer
// needs it, or from each pool that is not short while the spare pool is below
// its minimum.
func (p *planner) planReturns() []Move {
	var moves []Move
	spareShort := len(p.active[p.in.Rules.Spare]) < p.in.Rules.Pools[p.in.Rules.Spare].Min
	for _, pool := range p.otherPools() {
		inst := lentInstance(p.active[pool], p.in.Rules.Spare)
		if inst == nil {
			continue
		}
		d := p.in.Demand[pool]
		switch {
		case p.sustained(d.BelowSince, returnDelayFactor*p.loanDelay):
			moves = append(moves, Move{inst.ID, pool, p.in.Rules.Spare, "demand is below the pool's own capacity"})
		case spareShort && d.AboveSince.IsZero():
			moves = append(moves, Move{inst.ID, pool, p.in.Rules.Spare, "the spare pool is below its minimum"})
		}
	}
	return moves
}

func (p *planner) otherPools() []string {
	names := make([]string, 0, len(p.in.Rules.Pools))
	for name := range p.in.Rules.Pools {
		if name != p.in.Rules.Spare {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// lentInstance returns an instance that belongs to the spare pool, or nil.
func lentInstance(instances []*state.Instance, spare string) *state.Instance {
	for _, i := range instances {
		if i.HomePool == spare {
			return i
		}
	}
	return nil
}

// shortfall is the number of instances that a pool lacks.
type shortfall struct {
	pool        string
	missing     int
	utilisation float64
}

// planLoans plans loans of the instances that the spare pool has beyond its minimum,
// the buffer and its own demand. The pools with the highest utilisation come
// first.
func (p *planner) planLoans() []Move {
	spare := p.in.Rules.Spare
	free := p.lendableCount()
	shortfalls := p.shortfalls()
	var moves []Move
	lendable := p.lendableInstances()
	for free > 0 && len(lendable) > 0 && len(shortfalls) > 0 {
		n := &shortfalls[0]
		i := bestCandidate(lendable, p.active[n.pool])
		moves = append(moves, Move{lendable[i].ID, spare, n.pool, "demand is above the pool's capacity"})
		lendable = append(lendable[:i:i], lendable[i+1:]...)
		free--
		n.missing--
		if n.missing == 0 {
			shortfalls = shortfalls[1:]
			continue
		}
		shortfalls = append(shortfalls[1:], *n) // round robin, one instance at a time
	}
	return moves
}

// lendableCount returns the number of instances that the spare pool can lend now.
func (p *planner) lendableCount() int {
	spare := p.in.Rules.Spare
	own := len(p.active[spare])
	keep := max(p.in.Rules.Pools[spare].Min, Buffer(p.in.Rules, p.in.Instances).Buffer)
	used := 0
	if per := slotsPerInstance(p.active[spare]); per > 0 {
		used = int(math.Ceil(p.in.Demand[spare].Slots / (lendUtilisation * per)))
	}
	return own - max(keep, used)
}

func (p *planner) lendableInstances() []*state.Instance {
	var out []*state.Instance
	for _, i := range p.active[p.in.Rules.Spare] {
		if i.HomePool == "" || i.HomePool == p.in.Rules.Spare {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

func (p *planner) shortfalls() []shortfall {
	var shortfalls []shortfall
	for _, pool := range p.otherPools() {
		d := p.in.Demand[pool]
		own := len(p.active[pool])
		room := p.in.Rules.Pools[pool].Max - own
		per := slotsPerInstance(p.active[pool])
		if room <= 0 || per == 0 || !p.sustained(d.AboveSince, p.loanDelay) {
			continue
		}
		missing := int(math.Ceil(d.Slots/(lendUtilisation*per))) - own
		if missing > 0 {
			shortfalls = append(shortfalls, shortfall{pool, min(missing, room), d.Slots / (per * float64(own))})
		}
	}
	sort.SliceStable(shortfalls, func(i, j int) bool { return shortfalls[i].utilisation > shortfalls[j].utilisation })
	return shortfalls
}

func slotsPerInstance(instances []*state.Instance) float64 {
	if len(instances) == 0 {
		return 0
	}
	total := 0
	for _, i := range instances {
		total += i.Slots
	}
	return float64(total) / float64(len(instances))
}

// bestCandidate returns the index of the candidate whose rack, and then data
// centre, holds the fewest instances of the pool, so that the pool stays spread
// over failure domains.
func bestCandidate(candidates, pool []*state.Instance) int {
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
