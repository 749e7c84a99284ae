package orchestrator

import (
	"context"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// adviceCache holds the policy service's responses about steps.
type adviceCache struct {
	steps map[scheduling.StepKey]*stepAdvice
	// asking is the number of queries in progress. The service processes one at a time.
	asking int
}

// stepAdvice is the policy service's response for a step.
type stepAdvice struct {
	asking  bool
	until   boottime.Instant
	tickets map[string]string
}

const (
	// maxAdvised bounds the number of workers in one query.
	maxAdvised = 30
	// maxAsking bounds the number of concurrent queries to the service.
	maxAsking = 8
	// ticketReserve is the part of a ticket's validity that is reserved for the start
	// to reach the worker.
	ticketReserve = 0.2
	// adviceTimeout is added to the service's own processing time to bound a query.
	adviceTimeout = 3 * time.Second
)

// advise restricts a demand to the workers with a ticket. It returns false, and sends
// a query if necessary, while no valid response of the service is known.
func (o *Orchestrator) advise(d *scheduling.Demand, q *workload.Queue, in *scheduling.Input) bool {
	if o.Advisor == nil {
		return false
	}
	if o.advice.steps == nil {
		o.advice.steps = map[scheduling.StepKey]*stepAdvice{}
	}
	a := o.advice.steps[d.Key]
	now := boottime.Now()
	if a == nil || !a.asking && now >= a.until {
		o.ask(d, q, in)
		return false
	}
	if a.asking {
		return false
	}
	d.AllowedWorkers = map[string]bool{}
	for worker := range a.tickets {
		d.AllowedWorkers[worker] = true
	}
	return true
}

// ask queries the policy service about a step and the first maxAdvised workers of its
// pool that could run one of its tasks.
func (o *Orchestrator) ask(d *scheduling.Demand, q *workload.Queue, in *scheduling.Input) {
	if o.advice.asking >= maxAsking {
		return
	}
	var names []string
	for _, w := range in.Workers {
		if w.Pool == d.Pool && d.MayRunOn(w) && len(names) < maxAdvised {
			names = append(names, w.ID)
		}
	}
	if len(names) == 0 {
		return
	}
	a := &stepAdvice{asking: true}
	o.advice.steps[d.Key] = a
	o.advice.asking++
	leadership, key := o.leadership, d.Key
	validity := time.Duration(float64(q.Advice.Validity) * (1 - ticketReserve))
	timeout := adviceTimeout + q.Advice.Base + time.Duration(len(names))*q.Advice.PerWorker
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		defer cancel()
		requestedAt := boottime.Now()
		tickets, err := o.Advisor.Advise(ctx, key.Job, key.Occurrence, key.Step, names)
		leadership.Post(func() {
			o.advice.asking--
			a.asking = false
			o.markDirty()
			if err != nil {
				o.count("advice_failures_total", "call")
				o.Log.Info("The policy service did not respond.", "job", key.Job, "step", key.Step, "error", err.Error())
				return
			}
			a.tickets, a.until = tickets, requestedAt.Add(validity)
		})
	})
}

// ticket returns the ticket for a task on a worker, or "" if there is none.
func (c *adviceCache) ticket(t workload.TaskID, worker string) string {
	if a := c.steps[scheduling.StepKey{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}]; a != nil {
		return a.tickets[worker]
	}
	return ""
}

// drop removes the response about a task's step.
func (c *adviceCache) drop(t workload.TaskID) {
	delete(c.steps, scheduling.StepKey{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step})
}
