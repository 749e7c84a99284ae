// Package retry limits the number and the rate of retries with a token-bucket budget
// per pool and an exponential backoff with full jitter. It reads no clock; callers
// pass the time.
package retry

import "time"

// Bounds of the exponential backoff interval.
const (
	MinBackoff = 10 * time.Millisecond
	MaxBackoff = 500 * time.Millisecond
)

// Backoff returns the time to wait before a retry: the exponential interval, which
// is MinBackoff after the first attempt and doubles with each further one up to
// MaxBackoff, multiplied by jitter. The caller draws jitter uniformly from [0, 1).
func Backoff(attempts int, jitter float64) time.Duration {
	interval := MaxBackoff
	if doublings := max(attempts-1, 0); doublings < 10 {
		interval = min(MinBackoff<<doublings, MaxBackoff)
	}
	return time.Duration(jitter * float64(interval))
}

// Parameters of a budget.
const (
	// BudgetRatio is the fraction of the requests that may be retried.
	BudgetRatio = 0.1
	// MinRetriesPerSecond is the rate of retries that is allowed in addition,
	// regardless of the number of requests.
	MinRetriesPerSecond = 1.0
	// maxTokens limits the accumulated retries, so that a failure after a period
	// without retries does not cause a burst of them.
	maxTokens = 10.0
)

// Budget limits the retries of a pool as a token bucket with one token per retry. The
// zero value is an empty budget. Times are monotonic and count from a fixed origin.
type Budget struct {
	tokens float64
	last   time.Duration
}

// Credit credits the budget for the first attempt of a request.
func (b *Budget) Credit(now time.Duration) {
	b.advance(now)
	b.tokens = min(b.tokens+BudgetRatio, maxTokens)
}

// TryTake reports whether a retry is allowed, and if so charges the budget for it.
func (b *Budget) TryTake(now time.Duration) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TimeToNextRetry returns the time until a retry is allowed if no further requests arrive.
func (b *Budget) TimeToNextRetry() time.Duration {
	missing := max(1-b.tokens, 0)
	return time.Duration(missing / MinRetriesPerSecond * float64(time.Second))
}

// advance credits the budget for the time since the last call.
func (b *Budget) advance(now time.Duration) {
	if now <= b.last {
		return
	}
	b.tokens = min(b.tokens+MinRetriesPerSecond*(now-b.last).Seconds(), maxTokens)
	b.last = now
}
