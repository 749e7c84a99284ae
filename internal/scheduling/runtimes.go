package scheduling

import (
	"math"
	"time"

	"cactusspar/internal/workload"
)

// RunTimes predicts the run times of a queue's tasks from their callers' estimates.
// Estimates are noisy: a high one is on average too high and a low one too low. The
// prediction is a linear regression of the logarithms of run times on those of
// estimates, scaled so that the sum of the predictions equals the sum of the run
// times. The zero value and a nil pointer return the estimates.
type RunTimes struct {
	weight                 float64 // of the observations, which decay exponentially
	x, y, xx, xy           float64 // sums of logarithms and their products
	ran, fitted, estimated float64 // sums in seconds: run times, fitted values, estimates
}

const (
	// observationWindow is the number of recent tasks on which a prediction is based:
	// enough for a few jobs of each size, and few enough to follow a slow-down.
	observationWindow = 200
	// minObservations is the number of tasks from which a slope is fitted; with fewer
	// tasks, estimates are only scaled.
	minObservations = 20
	// minScale and maxScale bound the ratio of a prediction to its estimate.
	minScale, maxScale = 0.2, 5
	// minRunSeconds is the lower bound of estimates and run times: shorter ones count as
	// this.
	minRunSeconds = 0.001
)

// Observe adds the run time of a task that succeeded.
func (r *RunTimes) Observe(estimate, ran time.Duration) {
	if estimate <= 0 {
		return
	}
	e, t := max(estimate.Seconds(), minRunSeconds), max(ran.Seconds(), minRunSeconds)
	x, y := math.Log(e), math.Log(t)
	const decay = 1 - 1.0/observationWindow
	r.weight = r.weight*decay + 1
	r.x = r.x*decay + x
	r.y = r.y*decay + y
	r.xx = r.xx*decay + x*x
	r.xy = r.xy*decay + x*y
	r.ran = r.ran*decay + t
	r.estimated = r.estimated*decay + e
	r.fitted = r.fitted*decay + r.fit(e)
}

// fit returns the fitted run time for an estimate, both in seconds.
func (r *RunTimes) fit(estimate float64) float64 {
	meanX, meanY := r.x/r.weight, r.y/r.weight
	slope := 1.0
	if variance := r.xx/r.weight - meanX*meanX; variance > 0 && r.weight >= minObservations {
		slope = min(max((r.xy/r.weight-meanX*meanY)/variance, 0), 1)
	}
	return math.Exp(meanY + slope*(math.Log(estimate)-meanX))
}

// Predict returns the expected run time of a task of a step.
func (r *RunTimes) Predict(s *workload.Step) time.Duration {
	estimate := s.Estimate
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	if r == nil || r.weight == 0 {
		return estimate
	}
	e := max(estimate.Seconds(), minRunSeconds)
	predicted := e * r.ran / r.estimated
	if r.weight >= minObservations {
		predicted = r.fit(e) * r.ran / r.fitted
	}
	return seconds(min(max(predicted, minScale*e), maxScale*e))
}

// defaultEstimate is used for a task without an estimate.
const defaultEstimate = time.Second
