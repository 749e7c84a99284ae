package scheduling

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/testutil"
	"cactusspar/internal/workload"
)

// Callers estimate run times with a wide error. The sum of the predictions must not
// be too high, which it would be if the ratios of run times to estimates were
// averaged: their mean is above one. Single predictions must be better than the
// estimates.
func TestNoisyEstimatesAreCorrected(t *testing.T) {
	random := rand.New(rand.NewSource(testutil.Seed(t)))
	draw := func() (estimate, ran time.Duration) {
		ran = seconds(0.64 * math.Exp(0.5*random.NormFloat64()))
		return seconds(ran.Seconds() * math.Exp(0.5*random.NormFloat64())), ran
	}
	var times RunTimes
	for range 400 {
		times.Observe(draw())
	}
	var estimated, predicted, ran, estimatedError, predictedError float64
	for range 1000 {
		e, r := draw()
		p := times.Predict(&workload.Step{Estimate: e})
		estimated += e.Seconds()
		predicted += p.Seconds()
		ran += r.Seconds()
		estimatedError += math.Pow(e.Seconds()-r.Seconds(), 2)
		predictedError += math.Pow(p.Seconds()-r.Seconds(), 2)
	}
	require.InEpsilon(t, ran, predicted, 0.1, "sum of the predictions, estimates had %.2f of it", estimated/ran)
	require.Less(t, predictedError, estimatedError/2)
}

// Predictions must equal the estimates before any observation, and must stay within
// their bounds after observations far from the estimates.
func TestPredictionsAreBounded(t *testing.T) {
	step := &workload.Step{Estimate: time.Second}
	var none *RunTimes
	require.Equal(t, time.Second, none.Predict(step))
	require.Equal(t, defaultEstimate, none.Predict(&workload.Step{}))
	var times RunTimes
	times.Observe(0, time.Hour)
	require.Equal(t, time.Second, times.Predict(step))
	for range 100 {
		times.Observe(time.Millisecond, time.Hour)
	}
	require.LessOrEqual(t, times.Predict(step), maxScale*time.Second)
	var slow RunTimes
	for range 100 {
		slow.Observe(time.Second, 3*time.Second)
	}
	require.InDelta(t, 3, slow.Predict(step).Seconds(), 0.01, "equal estimates are only scaled")
}
