package orchestrator

import (
	"errors"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/relay"
	"cactusspar/internal/rtt"
)

// callWaits decides how long the responses of workers are waited for. It follows from what responses to
// starts take. A start that was given up early is repeated under the same run number and fencing token,
// and only after a list has shown the same incarnation without the run, so that it takes effect once.
type callWaits struct {
	responses rtt.Estimator
	// earlyLeft is how many calls may be given up early.
	earlyLeft float64
	// last is the wait for the response to the last call of a responsive worker.
	last time.Duration
}

const (
	// minCallWait is the shortest time for which a response is waited for. It covers a batch to a
	// carrier and back, and a busy worker.
	minCallWait = 150 * time.Millisecond
	// earlyShare is the part of the calls that may be given up before callTimeout, and maxEarly how many
	// at once: workers that are slow for a common reason must not get each call several times.
	earlyShare = 0.1
	maxEarly   = 100
	// maxUnanswered is the number of calls in a row without a response from which on callTimeout is
	// waited for the next one.
	maxUnanswered = 2
)

// wait returns how long the response to a call is waited for, beyond the time for which the worker may
// hold it back. It doubles with each call in a row to the worker that had no response.
func (w *callWaits) wait(unanswered int) time.Duration {
	w.earlyLeft = min(w.earlyLeft+earlyShare, maxEarly)
	timeout, known := w.responses.Timeout()
	if !known || w.earlyLeft < 1 || unanswered >= maxUnanswered {
		return callTimeout
	}
	wait := min(max(timeout, minCallWait)<<unanswered, callTimeout)
	if unanswered == 0 {
		w.last = wait
	}
	return wait
}

// gaveUp records that a call had no response within the time for which it was waited for.
func (w *callWaits) gaveUp(waited time.Duration) {
	if waited < callTimeout {
		w.earlyLeft--
	}
}

// observeCall records whether a call for whose response it was waited for a time had one. kind names the
// call in the metrics.
func (o *Orchestrator) observeCall(s *session, kind string, waited time.Duration, err error) {
	var refused *executor.RefusedError
	switch {
	case err == nil || errors.As(err, &refused):
		s.unansweredCalls = 0
	case !executor.Disconnected(err):
		s.unansweredCalls++
		o.callWaits.gaveUp(waited)
		o.load.callsUnanswered++
		if waited < callTimeout {
			o.load.callsGivenUpEarly++
			o.count("calls_given_up_early_total", kind)
		}
	}
}

// observeStartTime records how long the response to a start has taken that was sent at an instant. The
// response to a repeated one may belong to any attempt.
func (o *Orchestrator) observeStartTime(r *order, sentAt boottime.Instant, response *relay.Response) {
	var refused *executor.RefusedError
	if r.attempts == 1 && (response.Err == nil || errors.As(response.Err, &refused)) {
		o.callWaits.responses.Observe(response.ReceivedAt.Sub(sentAt))
	}
}
