package sharing

import "sort"

// setTargets sets the amount that each dispatcher should get. Without unmet
// demand and without a large difference, the targets are the present amounts.
func (p *plan) setTargets() {
	// Grants that nobody can use yet still count, so the rest is divided.
	available := max(0, p.limit-p.reserved)
	ideal := p.ideal(available)
	sum, unmet, large := 0, false, false
	enough := p.demand() <= available
	for i := range p.slots {
		s := &p.slots[i]
		sum += s.Amount
		short := s.unmet() > 0 && ideal[i] > s.Amount
		unmet = unmet || (short && (enough || !small(ideal[i]-s.Amount, s.Amount, p.limit)))
		large = large || (s.Demand == 0 && !small(abs(ideal[i]-s.Amount), s.Amount, p.limit))
	}
	if unmet || large || sum > available {
		for i := range p.slots {
			p.slots[i].target = ideal[i]
		}
		return
	}
	for i := range p.slots {
		p.slots[i].target = p.slots[i].Amount
	}
	p.spread(available - sum)
}

func (p *plan) demand() int {
	sum := 0
	for i := range p.slots {
		sum += p.slots[i].Demand
	}
	return sum
}

// small tells that a difference isn't worth a move. A dispatcher without any
// amount is always worth one.
func small(difference, amount, limit int) bool {
	return amount > 0 && difference <= limit/smallShare
}

// spread adds what is left to the targets, the lowest first.
func (p *plan) spread(left int) {
	if left <= 0 || len(p.slots) == 0 {
		return
	}
	order := p.order(func(a, b *slot) bool { return a.target < b.target })
	for left > 0 {
		for k, i := range order {
			if left == 0 {
				return
			}
			p.slots[i].target++
			left--
			// Fill the lowest up to the next before going on.
			if k+1 < len(order) && p.slots[order[k+1]].target >= p.slots[i].target {
				break
			}
		}
	}
}

// ideal divides the available amount: demand first by equal shares, with a small
// floor for pools without demand, then the rest equally.
func (p *plan) ideal(available int) []int {
	out := make([]int, len(p.slots))
	caps := make([]int, len(p.slots))
	floors := p.idleFloors(available)
	for i := range p.slots {
		caps[i] = p.slots[i].Demand
		out[i] = floors[i]
		available -= floors[i]
	}
	left := p.fill(out, caps, available)
	if left > 0 {
		p.fillEvenly(out, left)
	}
	return out
}

// idleFloors keeps one unit for pools without demand while the limit is large
// compared with the number of such pools.
func (p *plan) idleFloors(available int) []int {
	floors := make([]int, len(p.slots))
	idle := 0
	for i := range p.slots {
		if p.slots[i].Demand == 0 {
			idle++
		}
	}
	if idle > available/idleShare {
		return floors
	}
	for i := range p.slots {
		if p.slots[i].Demand == 0 {
			floors[i] = 1
		}
	}
	return floors
}

// fill gives equal shares up to each cap and returns what is left. Units that
// cannot be divided equally go by precedence.
func (p *plan) fill(out, caps []int, available int) int {
	open := p.order(p.precedes)
	open = keep(open, func(i int) bool { return caps[i] > 0 })
	for available > 0 && len(open) > 0 {
		share := available / len(open)
		if share == 0 {
			for _, i := range open[:available] {
				out[i]++
			}
			return 0
		}
		for _, i := range open {
			give := min(share, caps[i])
			out[i] += give
			caps[i] -= give
			available -= give
		}
		open = keep(open, func(i int) bool { return caps[i] > 0 })
	}
	return available
}

// fillEvenly adds left so that the amounts become as equal as possible.
func (p *plan) fillEvenly(out []int, left int) {
	if len(out) == 0 {
		return
	}
	// Ties go to the dispatchers that hold most already, which moves least.
	order := p.order(func(a, b *slot) bool { return a.Amount > b.Amount })
	sort.SliceStable(order, func(a, b int) bool { return out[order[a]] < out[order[b]] })
	for k := 0; left > 0; k++ {
		level := out[order[k]]
		count := k + 1
		next := -1
		if k+1 < len(order) {
			next = out[order[k+1]]
		}
		if next == level {
			continue
		}
		need := (next - level) * count
		if next < 0 || need > left {
			share, rest := left/count, left%count
			for j, i := range order[:count] {
				out[i] += share
				if j < rest {
					out[i]++
				}
			}
			return
		}
		for _, i := range order[:count] {
			out[i] = next
		}
		left -= need
	}
}

// precedes orders dispatchers for units that are too scarce for all: those
// within their tenure, then those that have waited longest, then the others.
func (p *plan) precedes(a, b *slot) bool {
	ra, rb := p.rank(a), p.rank(b)
	if ra != rb {
		return ra < rb
	}
	if !a.Since.Equal(b.Since) {
		return a.Since.Before(b.Since)
	}
	return a.Pool < b.Pool
}

func (p *plan) rank(s *slot) int {
	switch {
	case s.Amount > 0 && p.now.Sub(s.Since) < minTenure:
		return 0
	case s.Amount == 0:
		return 1
	}
	return 2
}

func (p *plan) order(less func(a, b *slot) bool) []int {
	order := make([]int, len(p.slots))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return less(&p.slots[order[a]], &p.slots[order[b]]) })
	return order
}

func keep(in []int, f func(int) bool) []int {
	out := in[:0]
	for _, i := range in {
		if f(i) {
			out = append(out, i)
		}
	}
	return out
}

func abs(n int) int { return max(n, -n) }
