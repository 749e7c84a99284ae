package orchestrator

import (
	"context"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// adviceCache holds what the policy service said of steps.
type adviceCache struct {
	steps map[scheduling.StepKey]*stepAdvice
	// asking is the number of questions under way; the service takes one at a time.
	asking int
}

// stepAdvice is the policy service's answer for a step.
type stepAdvice struct {
	asking  bool
	until   boottime.Instant
	tickets map[string]string
}

const (
	// maxAdvised bounds the workers in one question.
	maxAdvised = 30
	// maxAsking bounds the questions under way at the service.
	maxAsking = 8
	// ticketReserve is the part of a ticket's validity that is left for the start
	// to arrive.
	ticketReserve = 0.2
	// adviceTimeout bounds a question beyond the service's own time.
	adviceTimeout = 3 * time.Second
)

// advise restricts a demand to the workers with a ticket. It reports false while
// the service has not answered.
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
	d.Allowed = map[string]bool{}
	for worker := range a.tickets {
		d.Allowed[worker] = true
	}
	return true
}

// ask sends the question about a step, naming the freest workers.
func (o *Orchestrator) ask(d *scheduling.Demand, q *workload.Queue, in *scheduling.Input) {
	if o.advice.asking >= maxAsking {
		return
	}
	var names []string
	for _, w := range in.Workers {
		if w.Pool == d.Pool && scheduling.Room(d.Step, w.Capacity) && len(names) < maxAdvised {
			names = append(names, w.ID)
		}
	}
	if len(names) == 0 {
		return
	}
	a := &stepAdvice{asking: true}
	o.advice.steps[d.Key] = a
	o.advice.asking++
	lead, key := o.lead, d.Key
	validity := time.Duration(float64(q.Advice.Validity) * (1 - ticketReserve))
	timeout := adviceTimeout + q.Advice.Base + time.Duration(len(names))*q.Advice.PerWorker
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		defer cancel()
		asked := boottime.Now()
		tickets, err := o.Advisor.Advise(ctx, key.Job, key.Occurrence, key.Step, names)
		lead.Post(func() {
			o.advice.asking--
			a.asking = false
			o.dirty = true
			if err != nil {
				o.count("advice_failures_total", "call")
				o.Log.Info("The policy service did not answer.", "job", key.Job, "step", key.Step, "error", err.Error())
				return
			}
			a.tickets, a.until = tickets, asked.Add(validity)
		})
	})
}

// ticket returns the permission for a task on a worker, or nothing.
func (c *adviceCache) ticket(t workload.TaskID, worker string) string {
	if a := c.steps[scheduling.StepKey{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}]; a != nil {
		return a.tickets[worker]
	}
	return ""
}

// drop forgets what was said of a task's step.
func (c *adviceCache) drop(t workload.TaskID) {
	delete(c.steps, scheduling.StepKey{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step})
}
