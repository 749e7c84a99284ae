package scheduling

// Shares of a response time target that change the pace of tasks that fill.
const (
	// slowDown is where they begin to yield, before the target is missed.
	slowDown = 0.85
	// speedUp is where they may work more.
	speedUp = 0.6
	// paceStep is by how many percent their pace rises at a time. It falls by
	// half, so that a missed target is met again within a few steps.
	paceStep = 20
	fullPace = 100
	minPace  = 10
)

// Pace returns the next pace of the tasks that fill on a worker, in percent, from
// the present one and the highest response time there as a share of its target.
func Pace(percent int, load float64) int {
	switch {
	case load > 1:
		return 0
	case load > slowDown:
		if percent <= minPace {
			return 0
		}
		return percent / 2
	case load < speedUp:
		return min(percent+paceStep, fullPace)
	}
	return percent
}
