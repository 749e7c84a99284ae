package rtt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func observe(e *Estimator, n int, took func(i int) time.Duration) {
	for i := range n {
		e.Observe(took(i))
	}
}

func TestTimeoutNeedsSamples(t *testing.T) {
	var e Estimator
	observe(&e, minSamples-1, func(int) time.Duration { return time.Millisecond })
	_, known := e.Timeout()
	require.False(t, known)
	e.Observe(time.Millisecond)
	_, known = e.Timeout()
	require.True(t, known)
}

// Guards against a timeout that takes the slow tenth of the responses for missing ones.
func TestTimeoutCoversSlowTail(t *testing.T) {
	var e Estimator
	observe(&e, 1000, func(i int) time.Duration {
		if i%10 == 0 {
			return 100 * time.Millisecond
		}
		return 10 * time.Millisecond
	})
	timeout, _ := e.Timeout()
	require.Greater(t, timeout, 70*time.Millisecond)
	require.Less(t, timeout, 150*time.Millisecond)
}

// Guards against repeats while all responses have become slower.
func TestTimeoutFollowsSlowResponses(t *testing.T) {
	var e Estimator
	observe(&e, 1000, func(int) time.Duration { return 10 * time.Millisecond })
	fast, _ := e.Timeout()
	observe(&e, 200, func(int) time.Duration { return 200 * time.Millisecond })
	slow, _ := e.Timeout()
	require.Less(t, fast, 20*time.Millisecond)
	require.Greater(t, slow, 200*time.Millisecond)
	observe(&e, 1000, func(int) time.Duration { return 10 * time.Millisecond })
	again, _ := e.Timeout()
	require.Less(t, again, 20*time.Millisecond)
}
