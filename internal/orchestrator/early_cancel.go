package orchestrator

import "cactusspar/internal/workload"

// cancelUnknown commits the cancel of a job that the state does not hold, and responds with the
// outcome. The submission may be in the log of a former leader, or may arrive later: what is
// committed before the cancel is cancelled by it, and what is committed later never runs.
func (o *Orchestrator) cancelUnknown(c *resolved, response *CallResponse, done func(error)) {
	o.pending.EarlyCancels = append(o.pending.EarlyCancels, workload.EarlyCancel{Job: c.id, Queue: c.queue.Name, Team: c.team})
	o.replies = append(o.replies, func(err error) {
		if err != nil || o.leadership == nil {
			response.Outcome = Undecided
			done(nil)
			return
		}
		if j, missing := o.job(c); j == nil {
			o.denyCancel(c, missing, response, done)
			return
		}
		response.Outcome = Accepted
		o.Log.Info("Cancelled a job.", "job", c.id, "queue", c.queue.Name, "team", c.team, "outcome", response.Outcome)
		done(nil)
	})
}

// denyCancel responds that there is no job to cancel.
func (o *Orchestrator) denyCancel(c *resolved, reason string, response *CallResponse, done func(error)) {
	response.Outcome = Missing
	o.count("jobs_missing_total", reason)
	o.Log.Info("There was no job to cancel.", "job", c.id, "queue", c.queue.Name, "team", c.team, "reason", reason)
	done(nil)
}
