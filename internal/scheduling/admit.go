package scheduling

import (
	"time"

	"cactusspar/internal/workload"
)

// Backlog is what a pool has accepted and not finished.
type Backlog struct {
	// Work is the processor time needed, in core-seconds.
	Work float64
	// Cores is what the pool's workers have for it.
	Cores float64
}

// Verdict is the decision about a submission.
type Verdict struct {
	Admitted bool
	// RetryAfter is when it makes sense to come back.
	RetryAfter time.Duration
	Reason     string
}

const (
	// minRetryAfter and maxRetryAfter bound what refused callers are told: a
	// caller that returns at once finds the same queue, and one that waits for
	// longer than a job's objective could have been served by then.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
)

// Admit decides whether a job is accepted. A job is refused when the work before
// it takes so long that it could not be done on time: accepting it would only
// make it and others late. A team that sends more than its share gets only what
// the pool has to spare at once.
func Admit(j *workload.Job, q *workload.Queue, b Backlog, times *RunTimes, beyondShare bool) Verdict {
	chain, work := Chain(j.Steps, nil, times)
	if j.Times > 0 || j.LongRunning() {
		return Verdict{Admitted: true}
	}
	if b.Cores <= 0 {
		return Verdict{Reason: "no-workers", RetryAfter: minRetryAfter}
	}
	allowance := q.Slack + time.Duration(q.Stretch*float64(chain))
	wait := seconds((b.Work + work) / b.Cores)
	limit := max(allowance-chain, minWait)
	if beyondShare {
		limit = minWait
	}
	if wait <= limit {
		return Verdict{Admitted: true}
	}
	retry := min(max(wait-allowance, minRetryAfter), maxRetryAfter)
	if beyondShare {
		return Verdict{Reason: "share", RetryAfter: retry}
	}
	return Verdict{Reason: "overload", RetryAfter: retry}
}

// minWait is the backlog that is always allowed: it keeps the workers busy
// between two placements.
const minWait = 300 * time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
