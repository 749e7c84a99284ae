package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against retries that amplify load beyond the budget.
func TestBudgetBoundsRetries(t *testing.T) {
	var b Budget
	const requests, seconds = 10_000, 10
	allowed := 0
	for i := range requests {
		now := time.Duration(i) * seconds * time.Second / requests
		b.Credit(now)
		for range 3 {
			if b.TryTake(now) {
				allowed++
			}
		}
	}
	require.InDelta(t, requests*BudgetRatio+seconds*MinRetriesPerSecond, allowed, 2)
}

// Guards against an idle pool that may not retry at all, and against an unlimited
// accumulation of retries.
func TestBudgetOfIdlePool(t *testing.T) {
	var b Budget
	require.False(t, b.TryTake(0))
	require.True(t, b.TryTake(time.Second))
	allowed := 0
	for b.TryTake(time.Hour) {
		allowed++
	}
	require.Equal(t, int(maxTokens), allowed)
	require.Equal(t, time.Second, b.TimeToNextRetry())
}

// Guards against a backoff outside its bounds, including after many attempts.
func TestBackoffBounds(t *testing.T) {
	require.Zero(t, Backoff(1, 0))
	require.Less(t, Backoff(1, 0.999), MinBackoff)
	require.Equal(t, 20*time.Millisecond, Backoff(3, 0.5))
	for attempts := range 100 {
		require.Less(t, Backoff(attempts, 0.9999), MaxBackoff)
	}
}
