// Package sharing divides each team's upper limit among the dispatchers of the
// pools, as grants. It is a pure function of what the dispatchers hold and need.
//
// A plan lowers an amount first; what a dispatcher held counts until it was
// given back, and only what is free is handed out. The sum that counts against
// a limit is therefore never raised above it.
package sharing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// minTenure is how long a dispatcher keeps a scarce unit while others wait.
	// Shorter turns spend more time on handing over than on work.
	minTenure = time.Second
	// idleShare is the part of a limit, as a divisor, that pools without demand
	// keep while others need more, so that a new peak starts at once.
	idleShare = 10
	// smallShare is the part of a limit, as a divisor, below which a difference
	// from the plan moves nothing.
	smallShare = 8
)

// Holder is what a pool's dispatcher holds and needs of a team's limit.
type Holder struct {
	Pool string
	// Amount and Held are those of the committed grant.
	Amount int
	Held   int
	// Returned is what the dispatcher is known to use at most, or -1 when no
	// report covers the committed grant yet.
	Returned int
	// Demand is the work that runs or waits.
	Demand int
	// Since is when the dispatcher last got its first unit, or lost its last one.
	Since time.Time
}

// Team is the input of a plan for one team.
type Team struct {
	Limit int
	// Reserved counts grants that are not the committed dispatchers': of earlier
	// epochs and lost holders.
	Reserved int
	Holders  []Holder
}

// Change is a new amount and held amount of a pool's grant.
type Change struct {
	Pool   string
	Amount int
	Held   int
}

// Plan returns the grants that have to change, ordered by pool.
func Plan(team Team, now time.Time) []Change {
	p := newPlan(team, now)
	p.giveBack()
	p.setTargets()
	p.lower()
	p.raise()
	return p.changes()
}

// slot is the working copy of a holder.
type slot struct {
	Holder
	amount int // planned
	held   int // planned
	target int
}

type plan struct {
	limit    int
	reserved int
	now      time.Time
	slots    []slot
}

func newPlan(team Team, now time.Time) *plan {
	p := &plan{limit: max(0, team.Limit), reserved: team.Reserved, now: now, slots: make([]slot, len(team.Holders))}
	for i, h := range team.Holders {
		p.slots[i] = slot{Holder: h, amount: h.Amount, held: h.Held}
	}
	slices.SortFunc(p.slots, func(a, b slot) int { return strings.Compare(a.Pool, b.Pool) })
	return p
}

// giveBack lowers what counts to what the dispatcher is known to use.
func (p *plan) giveBack() {
	for i := range p.slots {
		s := &p.slots[i]
		if s.Returned >= 0 {
			s.held = min(s.held, max(s.amount, s.Returned))
		}
	}
}

// lower takes back what is above the target. The held amount stays until the
// dispatcher has reported the lower one.
func (p *plan) lower() {
	for i := range p.slots {
		s := &p.slots[i]
		s.amount = min(s.amount, s.target)
	}
}

// raise hands out what is free, to the dispatchers with unmet demand first.
func (p *plan) raise() {
	free := p.limit - p.reserved
	for i := range p.slots {
		free -= p.slots[i].held
	}
	for _, i := range p.raiseOrder() {
		s := &p.slots[i]
		more := s.target - s.held
		more = max(0, min(more, free))
		free -= more
		s.held += more
		s.amount = max(s.amount, min(s.target, s.held))
	}
}

func (p *plan) raiseOrder() []int {
	order := make([]int, len(p.slots))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := &p.slots[order[a]], &p.slots[order[b]]
		if xs, ys := x.starving(), y.starving(); xs != ys {
			return xs
		}
		if x.starving() && !x.Since.Equal(y.Since) {
			return x.Since.Before(y.Since)
		}
		if xu, yu := x.unmet() > 0, y.unmet() > 0; xu != yu {
			return xu
		}
		return false
	})
	return order
}

// starving tells that there is demand and nothing to serve it with.
func (s *slot) starving() bool { return s.Demand > 0 && s.Amount == 0 }

func (s *slot) unmet() int { return s.Demand - s.Amount }

func (p *plan) changes() []Change {
	var out []Change
	for i := range p.slots {
		s := &p.slots[i]
		if s.amount != s.Amount || s.held != s.Held {
			out = append(out, Change{Pool: s.Pool, Amount: s.amount, Held: s.held})
		}
	}
	return out
}
