package orchestrator

import "cactusspar/internal/workload"

// cancelUnknown commits the cancel of a job that the state does not hold. The submission may be
// in progress, at this leader or in the log of a former one, or may arrive later: whatever is
// committed before the cancel is cancelled by it, and whatever is committed later has no effect.
// reply is called once, with whether there was such a job, or with an error if the outcome is
// not certain.
func (o *Orchestrator) cancelUnknown(c *resolved, reply func(found bool, err error)) {
	o.pending.EarlyCancels = append(o.pending.EarlyCancels, workload.EarlyCancel{Job: c.id, Queue: c.queue.Name, Team: c.team})
	o.replies = append(o.replies, func(err error) {
		found := false
		if err == nil {
			j, _ := o.job(c)
			found = j != nil
		}
		reply(found, err)
	})
}
