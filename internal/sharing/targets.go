package sharing

import "sort"

// setTargets sets the target amount of each dispatcher. Without unmet demand and
// without a large difference from the ideal, the targets are the present amounts
// plus the units that are not granted yet.
func (p *plan) setTargets() {
	// Reserved grants count against the limit, so only the rest is divided.
	available := max(0, p.limit-p.reserved)
	ideal := p.idealAmounts(available)
	sum, unmet, large := 0, false, false
	enough := p.totalDemand() <= available
	for i := range p.allocations {
		a := &p.allocations[i]
		sum += a.Amount
		short := a.unmetDemand() > 0 && ideal[i] > a.Amount
		unmet = unmet || (short && (enough || !negligible(ideal[i]-a.Amount, a.Amount, p.limit)))
		large = large || (a.Demand == 0 && !negligible(abs(ideal[i]-a.Amount), a.Amount, p.limit))
	}
	if unmet || large || sum > available {
		for i := range p.allocations {
			p.allocations[i].target = ideal[i]
		}
		return
	}
	for i := range p.allocations {
		p.allocations[i].target = p.allocations[i].Amount
	}
	p.distributeToLowest(available - sum)
}

func (p *plan) totalDemand() int {
	sum := 0
	for i := range p.allocations {
		sum += p.allocations[i].Demand
	}
	return sum
}

// negligible reports whether a difference is too small for a change. A dispatcher
// without any amount gets every difference.
func negligible(difference, amount, limit int) bool {
	return amount > 0 && difference <= limit/hysteresisDivisor
}

// distributeToLowest adds the remaining units to the targets, lowest target first.
func (p *plan) distributeToLowest(left int) {
	if left <= 0 || len(p.allocations) == 0 {
		return
	}
	order := p.sortedIndices(func(a, b *allocation) bool { return a.target < b.target })
	for left > 0 {
		for k, i := range order {
			if left == 0 {
				return
			}
			p.allocations[i].target++
			left--
			// Raise the lowest target to the next one before continuing.
			if k+1 < len(order) && p.allocations[order[k+1]].target >= p.allocations[i].target {
				break
			}
		}
	}
}

// idealAmounts divides the available amount: first by max-min fairness over the
// demands, with a floor for pools without demand, then the rest evenly.
func (p *plan) idealAmounts(available int) []int {
	out := make([]int, len(p.allocations))
	caps := make([]int, len(p.allocations))
	floors := p.idleFloors(available)
	for i := range p.allocations {
		caps[i] = p.allocations[i].Demand
		out[i] = floors[i]
		available -= floors[i]
	}
	left := p.fillToCaps(out, caps, available)
	if left > 0 {
		p.fillEvenly(out, left)
	}
	return out
}

// idleFloors reserves one unit for each pool without demand if the available
// amount is large compared with the number of such pools.
func (p *plan) idleFloors(available int) []int {
	floors := make([]int, len(p.allocations))
	idle := 0
	for i := range p.allocations {
		if p.allocations[i].Demand == 0 {
			idle++
		}
	}
	if idle > available/idleFloorDivisor {
		return floors
	}
	for i := range p.allocations {
		if p.allocations[i].Demand == 0 {
			floors[i] = 1
		}
	}
	return floors
}

// fillToCaps adds equal shares up to each cap and returns the rest. Units that
// cannot be divided equally are assigned by precedence.
func (p *plan) fillToCaps(out, caps []int, available int) int {
	open := p.sortedIndices(p.precedes)
	open = filter(open, func(i int) bool { return caps[i] > 0 })
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
		open = filter(open, func(i int) bool { return caps[i] > 0 })
	}
	return available
}

// fillEvenly distributes left so that the amounts become as equal as possible.
func (p *plan) fillEvenly(out []int, left int) {
	if len(out) == 0 {
		return
	}
	// Ties go to the dispatchers with the largest present amount, which minimises
	// changes.
	order := p.sortedIndices(func(a, b *allocation) bool { return a.Amount > b.Amount })
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

// precedes reports whether a comes before b when there are too few units for all
// dispatchers: first those within their minimum tenure, then those without a unit,
// then the others, and within each group the one that has been in that state longest.
func (p *plan) precedes(a, b *allocation) bool {
	ra, rb := p.rank(a), p.rank(b)
	if ra != rb {
		return ra < rb
	}
	if !a.Since.Equal(b.Since) {
		return a.Since.Before(b.Since)
	}
	return a.Pool < b.Pool
}

func (p *plan) rank(a *allocation) int {
	switch {
	case a.Amount > 0 && p.now.Sub(a.Since) < minTenure:
		return 0
	case a.Amount == 0:
		return 1
	}
	return 2
}

func (p *plan) sortedIndices(less func(a, b *allocation) bool) []int {
	order := make([]int, len(p.allocations))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return less(&p.allocations[order[a]], &p.allocations[order[b]]) })
	return order
}

func filter(in []int, f func(int) bool) []int {
	out := in[:0]
	for _, i := range in {
		if f(i) {
			out = append(out, i)
		}
	}
	return out
}

func abs(n int) int { return max(n, -n) }
