package standin

import (
	"math"
	"time"
)

// QueueDemand describes the demand for one queue.
type QueueDemand struct {
	Queue string `json:"queue"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// Work is the mean duration of a request at the endpoint.
	Work time.Duration `json:"work"`
	// Size is the number of bytes of a response.
	Size int `json:"size"`
}

// Pattern says how demand changes over time.
type Pattern struct {
	// Peak is the factor on the mean while a queue has its turn; 0 keeps the
	// mean all the time.
	Peak float64 `json:"peak"`
	// Turn is the duration of a peak. Queues have it one after the other.
	Turn time.Duration `json:"turn"`
	// Between is the factor on the mean outside of a queue's turn.
	Between float64 `json:"between"`
}

// Factor returns the factor on the mean of queue i of n at time t.
func (p Pattern) Factor(i, n int, t time.Duration) float64 {
	if p.Peak == 0 || p.Turn <= 0 {
		return 1
	}
	if int(t/p.Turn)%n == i {
		return p.Peak
	}
	return p.Between
}

// nextArrival returns the time of the next arrival after t of a Poisson
// process whose rate follows the pattern, by thinning. It returns a negative
// duration if there is none before end.
func (p Pattern) nextArrival(d QueueDemand, i, n int, t, end time.Duration, random func() float64) time.Duration {
	top := d.Rate * math.Max(1, p.Peak)
	for top > 0 {
		t += time.Duration(-math.Log(1-random()) / top * float64(time.Second))
		if t >= end {
			return -1
		}
		if random()*math.Max(1, p.Peak) < p.Factor(i, n, t) {
			return t
		}
	}
	return -1
}
