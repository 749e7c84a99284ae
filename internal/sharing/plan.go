// Package sharing divides each team's limit among the dispatchers of the pools,
// as grants. A plan is a pure function of what the dispatchers hold and need.
//
// A plan lowers the amount of a grant first. What a dispatcher held before
// counts against the limit until the dispatcher has reported the lower amount,
// and only free units are granted. A plan therefore never raises the sum of held
// units above the limit.
package sharing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// minTenure is the minimum time for which a dispatcher keeps a scarce unit
	// while others wait. With a shorter one, transfers take more time than work.
	minTenure = time.Second
	// idleFloorDivisor bounds the units that pools without demand keep while others
	// need more, as a divisor of the limit. One unit each lets them serve a new
	// peak at once.
	idleFloorDivisor = 10
	// hysteresisDivisor gives the difference from the ideal amount up to which a
	// grant stays as it is, as a divisor of the limit.
	hysteresisDivisor = 8
)

// Holder describes what the dispatcher of a pool holds and needs of a team's limit.
type Holder struct {
	Pool string
	// Amount is the committed grant. Held is what counts against the limit for it.
	Amount int
	Held   int
	// MaxInUse is the maximum that the dispatcher may still use according to its
	// report, or -1 if no report covers the committed grant yet.
	MaxInUse int
	// Demand is the number of units of running and waiting work.
	Demand int
	// Since is when the amount last changed from or to zero.
	Since time.Time
}

// Team is the input of a plan for one team.
type Team struct {
	Limit int
	// Reserved is the sum of grants to dispatchers of earlier epochs and to lost
	// holders.
	Reserved int
	Holders  []Holder
}

// Change holds the new amount and held amount of a pool's grant.
type Change struct {
	Pool   string
	Amount int
	Held   int
}

// Plan returns the grants that change, ordered by pool.
func Plan(team Team, now time.Time) []Change {
	p := newPlan(team, now)
	p.releaseUnused()
	p.setTargets()
	p.lowerAmounts()
	p.raiseAmounts()
	return p.changes()
}

// allocation is a holder with its planned grant.
type allocation struct {
	Holder
	amount int // planned
	held   int // planned
	target int
}

type plan struct {
	limit       int
	reserved    int
	now         time.Time
	allocations []allocation
}

func newPlan(team Team, now time.Time) *plan {
	p := &plan{limit: max(0, team.Limit), reserved: team.Reserved, now: now, allocations: make([]allocation, len(team.Holders))}
	for i, h := range team.Holders {
		p.allocations[i] = allocation{Holder: h, amount: h.Amount, held: h.Held}
	}
	slices.SortFunc(p.allocations, func(a, b allocation) int { return strings.Compare(a.Pool, b.Pool) })
	return p
}

// releaseUnused lowers the held amounts to what the dispatchers may still use.
func (p *plan) releaseUnused() {
	for i := range p.allocations {
		a := &p.allocations[i]
		if a.MaxInUse >= 0 {
			a.held = min(a.held, max(a.amount, a.MaxInUse))
		}
	}
}

// lowerAmounts lowers the amounts that are above their targets. The held amount
// stays until the dispatcher has reported the lower amount.
func (p *plan) lowerAmounts() {
	for i := range p.allocations {
		a := &p.allocations[i]
		a.amount = min(a.amount, a.target)
	}
}

// raiseAmounts grants the free units, to the dispatchers with unmet demand first.
func (p *plan) raiseAmounts() {
	free := p.limit - p.reserved
	for i := range p.allocations {
		free -= p.allocations[i].held
	}
	for _, i := range p.raiseOrder() {
		a := &p.allocations[i]
		more := a.target - a.held
		more = max(0, min(more, free))
		free -= more
		a.held += more
		a.amount = max(a.amount, min(a.target, a.held))
	}
}

func (p *plan) raiseOrder() []int {
	order := make([]int, len(p.allocations))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := &p.allocations[order[a]], &p.allocations[order[b]]
		if xs, ys := x.starving(), y.starving(); xs != ys {
			return xs
		}
		if x.starving() && !x.Since.Equal(y.Since) {
			return x.Since.Before(y.Since)
		}
		if xu, yu := x.unmetDemand() > 0, y.unmetDemand() > 0; xu != yu {
			return xu
		}
		return false
	})
	return order
}

// starving reports whether there is demand without any granted unit.
func (a *allocation) starving() bool { return a.Demand > 0 && a.Amount == 0 }

func (a *allocation) unmetDemand() int { return a.Demand - a.Amount }

func (p *plan) changes() []Change {
	var out []Change
	for i := range p.allocations {
		a := &p.allocations[i]
		if a.amount != a.Amount || a.held != a.Held {
			out = append(out, Change{Pool: a.Pool, Amount: a.amount, Held: a.held})
		}
	}
	return out
}
