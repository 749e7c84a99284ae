// Package retry bounds and spaces retries: a budget for each pool and an
// exponential backoff with full jitter. It reads no clock.
package retry

import "time"

// Bounds of the backoff.
const (
	MinBackoff = 10 * time.Millisecond
	MaxBackoff = 500 * time.Millisecond
)

// Backoff returns the time to wait before a retry: a part of the exponential
// interval, which doubles with each attempt before. The part is chosen by
// random, which is uniform in [0, 1).
func Backoff(attempts int, random float64) time.Duration {
	interval := MaxBackoff
	if doublings := max(attempts-1, 0); doublings < 10 {
		interval = min(MinBackoff<<doublings, MaxBackoff)
	}
	return time.Duration(random * float64(interval))
}

// Rates of a budget.
const (
	// Ratio is the part of the requests that may be retried.
	Ratio = 0.1
	// PerSecond is the number of retries a second that are always allowed.
	PerSecond = 1.0
	// maxTokens bounds the retries saved up, so that a failure after a calm
	// time is not amplified.
	maxTokens = 10.0
)

// Budget limits the retries of a pool. The zero value is an empty budget.
// Clock readings are monotonic times since a fixed origin.
type Budget struct {
	tokens float64
	last   time.Duration
}

// Request credits the budget for a first attempt.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.tokens = min(b.tokens+Ratio, maxTokens)
}

// Take reports whether a retry is allowed and charges the budget for it.
func (b *Budget) Take(now time.Duration) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time after which a retry is allowed without new requests.
func (b *Budget) Wait() time.Duration {
	missing := max(1-b.tokens, 0)
	return time.Duration(missing / PerSecond * float64(time.Second))
}

func (b *Budget) advance(now time.Duration) {
	if now <= b.last {
		return
	}
	b.tokens = min(b.tokens+PerSecond*(now-b.last).Seconds(), maxTokens)
	b.last = now
}
