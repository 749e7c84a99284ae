package orchestrator

import (
	"errors"
	"time"

	"cactusspar/internal/control"
	"cactusspar/internal/operator"
	"cactusspar/internal/scheduling"
)

// submission is a job whose proposal is being committed. Until its outcome is known, no call
// may be told that there is no such job, nor that it is not accepted.
type submission struct {
	waiting []func(error)
}

func (o *Orchestrator) serveSubmit(c *resolved, response *CallResponse, done func(error)) {
	if c.Job == nil || c.Job.Check() != nil {
		response.Outcome, response.Reason = Malformed, "job"
		done(nil)
		return
	}
	c.Job.ID, c.Job.Queue, c.Job.Team = c.id, c.queue.Name, c.team
	// A caller that retries has less time left than the queue's timeout.
	c.Job.SubmitDelay = max(c.queue.Timeout-c.Remaining, 0)
	if o.submitting[c.id] != nil {
		o.awaitSubmission(c, done, func(err error) {
			if err != nil {
				o.refuse(c, response, done, notCommitted)
				return
			}
			o.serveCall(MethodSubmit, c.Call, response, done)
		})
		return
	}
	j, missing := o.job(c)
	switch {
	case missing == "other-team":
		o.refuse(c, response, done, scheduling.AdmissionDecision{Reason: "job-id-in-use"})
	case j != nil:
		o.decide(c, response, done, Accepted, scheduling.AdmissionDecision{Reason: "known"})
	default:
		decision := o.admit(c.Job, c.counted, c.Remaining)
		c.counted = true
		if !decision.Admitted {
			o.refuse(c, response, done, decision)
			return
		}
		o.proposeJob(c, response, done, decision)
	}
}

// notCommitted is the decision about a job whose proposal was refused.
var notCommitted = scheduling.AdmissionDecision{Reason: "no-leader", RetryAfter: time.Second}

// proposeJob proposes a job and responds with the outcome.
func (o *Orchestrator) proposeJob(c *resolved, response *CallResponse, done func(error), decision scheduling.AdmissionDecision) {
	s := &submission{}
	o.submitting[c.id] = s
	o.pending.Submit = append(o.pending.Submit, *c.Job)
	o.replies = append(o.replies, func(err error) {
		delete(o.submitting, c.id)
		switch {
		case handedOver(err):
			done(o.Replica.NotLeader())
		case notAppended(err):
			o.refuse(c, response, done, notCommitted)
		case err != nil || o.leadership == nil:
			o.decide(c, response, done, Undecided, scheduling.AdmissionDecision{})
		case o.leadership.State().Jobs[c.id] == nil:
			o.serveCall(MethodSubmit, c.Call, response, done) // its queue was renamed or removed
		default:
			o.decide(c, response, done, Accepted, decision)
		}
		for _, settled := range s.waiting {
			settled(err)
		}
	})
}

// notAppended reports whether a proposal was refused before it was appended to the log, so
// that it is never committed. After any other error its outcome is unknown.
func notAppended(err error) bool { return errors.Is(err, control.ErrNotAppended) }

// handedOver reports whether a proposal was refused because the leadership is being handed
// over or has been lost.
func handedOver(err error) bool {
	var notLeader *operator.NotLeaderError
	return notAppended(err) && errors.As(err, &notLeader)
}

// awaitSubmission calls f once the proposal of the call's job is committed, or with an error
// once it was refused. If its outcome remains unknown or the leadership is handed over, the
// call is to be sent to the next leader: it has proposed nothing itself.
func (o *Orchestrator) awaitSubmission(c *resolved, done func(error), f func(error)) {
	o.Metrics.Counter("calls_awaiting_submission_total").Inc(1)
	s := o.submitting[c.id]
	s.waiting = append(s.waiting, func(err error) {
		if err != nil && !notAppended(err) || handedOver(err) || o.leadership == nil {
			done(o.Replica.NotLeader())
			return
		}
		f(err)
	})
}

// decide responds to a submission.
func (o *Orchestrator) decide(c *resolved, response *CallResponse, done func(error), outcome CallOutcome, decision scheduling.AdmissionDecision) {
	response.Outcome, response.Reason, response.RetryAfter = outcome, decision.Reason, decision.RetryAfter
	o.count("submissions_total", string(outcome)+" "+decision.Reason)
	log := o.Log
	if outcome == Accepted {
		log = log.V(1)
	}
	log.Info("Decided about a job.", "job", c.id, "queue", c.queue.Name, "team", c.team, "outcome", outcome,
		"reason", response.Reason, "retry_after_ms", response.RetryAfter.Milliseconds(), "wait_ms", decision.Wait.Milliseconds(), "version", response.Version)
	done(nil)
}

// refuse responds that a job is not accepted, which promises that it never runs.
func (o *Orchestrator) refuse(c *resolved, response *CallResponse, done func(error), decision scheduling.AdmissionDecision) {
	o.confirmAbsence(MethodSubmit, c, response, done, func() { o.decide(c, response, done, Refused, decision) })
}

// confirmAbsence calls f once a quorum has confirmed the leadership. If the job was submitted
// in the meantime, or the topology has changed, the call is served again instead.
func (o *Orchestrator) confirmAbsence(method string, c *resolved, response *CallResponse, done func(error), f func()) {
	o.afterConfirmation(done, func() {
		j, _ := o.job(c)
		if j != nil || o.submitting[c.id] != nil || o.leadership.State().Topology.Version != response.Version {
			o.serveCall(method, c.Call, response, done)
			return
		}
		f()
	})
}

func (o *Orchestrator) serveCancel(c *resolved, response *CallResponse, done func(error)) {
	if o.submitting[c.id] != nil {
		o.awaitSubmission(c, done, func(error) { o.serveCall(MethodCancel, c.Call, response, done) })
		return
	}
	j, missing := o.job(c)
	switch {
	case missing == "other-team":
		o.confirmAbsence(MethodCancel, c, response, done, func() { o.denyCancel(c, missing, response, done) })
		return
	case j == nil:
		o.cancelUnknown(c, response, done)
		return
	}
	response.Outcome = Accepted
	if j.Status.Ended() {
		done(nil)
		return
	}
	o.pending.Cancel = append(o.pending.Cancel, c.id)
	o.replies = append(o.replies, func(err error) {
		if err != nil {
			response.Outcome = Undecided
		}
		o.Log.Info("Cancelled a job.", "job", c.id, "queue", c.queue.Name, "team", c.team, "outcome", response.Outcome)
		done(nil)
	})
}
