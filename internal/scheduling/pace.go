package scheduling

// Parameters of the pace of best-effort tasks. slowDownLoad and speedUpLoad are
// shares of a tail latency target.
const (
	// slowDownLoad is the share above which best-effort tasks are slowed down,
	// before the target is missed.
	slowDownLoad = 0.85
	// speedUpLoad is the share below which they are sped up.
	speedUpLoad = 0.6
	// paceStep is the increase of the pace, in percent. The pace falls by half, so
	// that a missed target is met again within a few steps.
	paceStep = 20
	maxPace  = 100
	minPace  = 10
)

// Pace returns the next pace of the best-effort tasks on a worker, in percent, from
// the current pace and the highest tail latency on the worker as a share of its
// target.
func Pace(percent int, load float64) int {
	switch {
	case load > 1:
		return 0
	case load > slowDownLoad:
		if percent <= minPace {
			return 0
		}
		return percent / 2
	case load < speedUpLoad:
		return min(percent+paceStep, maxPace)
	}
	return percent
}
