package scheduling

import (
	"time"

	"cactusspar/internal/workload"
)

// Backlog is the work that a pool has accepted and not finished.
type Backlog struct {
	// Work is the processor time needed, in core-seconds.
	Work float64
	// Cores is the capacity of the pool's workers.
	Cores float64
}

// AdmissionDecision is the admission decision on a submission.
type AdmissionDecision struct {
	Admitted bool
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration
	Reason     string
}

const (
	// minRetryAfter and maxRetryAfter bound the retry delay given to refused
	// callers: an immediate retry would find the same backlog, and a wait longer
	// than the time objective of a job exceeds the time in which it could have
	// been served.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
)

// Admit decides whether a job is accepted. A job is refused if the backlog ahead
// of it would make it miss its deadline: accepting it would only make it and
// others late. A team over its share gets only the capacity that is free at once.
func Admit(j *workload.Job, q *workload.Queue, b Backlog, times *RunTimes, overShare bool) AdmissionDecision {
	criticalPath, work := CriticalPath(j.Steps, nil, times)
	if j.OccurrenceCount > 0 || j.LongRunning() {
		return AdmissionDecision{Admitted: true}
	}
	if b.Cores <= 0 {
		return AdmissionDecision{Reason: "no-workers", RetryAfter: minRetryAfter}
	}
	allowance := q.Slack + time.Duration(q.Stretch*float64(criticalPath))
	wait := seconds((b.Work + work) / b.Cores)
	limit := max(allowance-criticalPath, minAllowedWait)
	if overShare {
		limit = minAllowedWait
	}
	if wait <= limit {
		return AdmissionDecision{Admitted: true}
	}
	retry := min(max(wait-allowance, minRetryAfter), maxRetryAfter)
	if overShare {
		return AdmissionDecision{Reason: "share", RetryAfter: retry}
	}
	return AdmissionDecision{Reason: "overload", RetryAfter: retry}
}

// minAllowedWait is the queueing time that is always allowed: it keeps the workers
// busy between two placement rounds.
const minAllowedWait = 300 * time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
