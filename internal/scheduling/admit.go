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
	// StepDelay is how long each step of a job waits in the queues of the leader itself, beside
	// the time that it waits for cores.
	StepDelay time.Duration
	// LateWork is the processor time that late jobs need whose results are still of use, in
	// core-seconds, and LateCores the capacity that they have.
	LateWork, LateCores float64
	// Waited is how long the submission has waited at the leader before the decision.
	Waited time.Duration
}

// AdmissionDecision is the admission decision on a submission.
type AdmissionDecision struct {
	Admitted bool
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration
	Reason     string
	// Wait is how long the job would wait for cores.
	Wait time.Duration
}

const (
	// minRetryAfter and maxRetryAfter bound the retry delay given to refused
	// callers: an immediate retry would find the same backlog, and a wait longer
	// than the time objective of a job exceeds the time in which it could have
	// been served.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
)

// Standing is how a team's use of a pool compares with what it may use.
type Standing uint8

// Standings of a team.
const (
	WithinShare Standing = iota
	// OverShare: the team has been given more than its share of the pool's work. It leaves
	// a quarter of the queue to others.
	OverShare
	// OverRate: the team has submitted more jobs than its rate allows. It gets the capacity
	// that is free at once.
	OverRate
)

// Admit decides whether a job is accepted. A job is refused if the backlog ahead
// of it, or the delay of the leader, would make it miss its deadline: accepting it would
// only make it and others late.
//
// A job that would miss its deadline, but would be done while its result is of use, is
// accepted as late work: lateFactor is how many times its objective a result is of use. Up to
// 1, no late job is accepted.
func Admit(j *workload.Job, q *workload.Queue, b Backlog, times *RunTimes, standing Standing, lateFactor float64) AdmissionDecision {
	criticalPath, work := CriticalPath(j.Steps, nil, times)
	if j.OccurrenceCount > 0 || j.LongRunning() {
		return AdmissionDecision{Admitted: true}
	}
	if b.Cores <= 0 {
		return AdmissionDecision{Reason: "no-workers", RetryAfter: minRetryAfter}
	}
	allowance := q.Slack + time.Duration(q.Stretch*float64(criticalPath))
	wait := seconds((b.Work + work) / b.Cores)
	delay := time.Duration(longestChain(j.Steps)) * b.StepDelay
	limit := max(allowance-criticalPath-b.Waited, minAllowedWait)
	retry := min(max(wait+delay-allowance, minRetryAfter), maxRetryAfter)
	switch {
	// The tasks of a job do not wait equally long: half of the time is left for the slowest.
	case delay > limit/2:
		return AdmissionDecision{Reason: "leader-busy", RetryAfter: retry, Wait: wait}
	case standing == OverRate && wait > minAllowedWait:
		return AdmissionDecision{Reason: "share", RetryAfter: retry, Wait: wait}
	case standing == OverShare && wait > max(overShareWait(limit), minAllowedWait) && wait+delay <= limit:
		return AdmissionDecision{Reason: "share", RetryAfter: retry, Wait: wait}
	case wait+delay > limit && canBeUseful(b, work, limit, lateFactor*float64(allowance)-float64(criticalPath+j.SubmitDelay+delay)):
		return AdmissionDecision{Admitted: true, Reason: "late", Wait: wait}
	case wait+delay > limit:
		return AdmissionDecision{Reason: "overload", RetryAfter: retry, Wait: wait}
	}
	return AdmissionDecision{Admitted: true, Wait: wait}
}

// overShareWait is the part of the time that a job may wait which a team over its share may use:
// the rest of the queue is left to others.
func overShareWait(limit time.Duration) time.Duration { return limit * 3 / 4 }

// lateMargin is the part of the time in which a late result is of use that may be spent
// waiting: jobs on time take precedence and their number varies.
const lateMargin = 0.7

// canBeUseful reports whether late work would be done within the time that it may wait, in
// nanoseconds. What the pool has accepted beyond what can be done within limit will be late, too.
func canBeUseful(b Backlog, work float64, limit time.Duration, mayWait float64) bool {
	late := b.LateWork + work + max(b.Work-limit.Seconds()*b.Cores, 0)
	return b.LateCores > 0 && seconds(late/b.LateCores) < time.Duration(lateMargin*mayWait)
}

// longestChain returns the number of steps on the longest chain of dependent steps.
func longestChain(steps []workload.Step) int {
	lengths := make([]int, len(steps))
	longest := 0
	for i := range steps {
		for _, dependency := range steps[i].DependsOn {
			lengths[i] = max(lengths[i], lengths[dependency])
		}
		lengths[i]++
		longest = max(longest, lengths[i])
	}
	return longest
}

// minAllowedWait is the queueing time that is always allowed: it keeps the workers
// busy between two placement rounds.
const minAllowedWait = 300 * time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
