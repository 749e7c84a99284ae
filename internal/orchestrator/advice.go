package orchestrator

import (
	"context"
	"maps"
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
	// pruneAt is the number of steps from which on those of ended jobs are removed.
	pruneAt int
}

// stepAdvice is what the policy service has said about a step.
type stepAdvice struct {
	asking bool
	// answeredAt is when the service last answered; 0 if it has not.
	answeredAt boottime.Instant
	tickets    map[string]ticket
	// refused holds the incarnations of the workers that must not run the step, which doesn't change.
	refused map[string]int64
}

// ticket allows the tasks of a step on one incarnation of a worker until an instant.
type ticket struct {
	value       string
	incarnation int64
	until       boottime.Instant
}

const (
	// maxAdvised bounds the number of workers in one query.
	maxAdvised = 30
	// maxAsking bounds the number of concurrent queries to the service.
	maxAsking = 8
	// ticketReserve is the part of a ticket's validity that is reserved for the start
	// to reach the worker.
	ticketReserve = 0.2
	// advicePatience is how long a step waits for workers with a ticket that are busy before others
	// are asked about. It is well below the time that a task may wait while its pool has room.
	advicePatience = time.Second
	// minPruned is the least number of steps after which those of ended jobs are looked for.
	minPruned = 256
	// adviceTimeout is added to the service's own processing time to bound a query.
	adviceTimeout = 3 * time.Second
)

// advise restricts a demand to the workers with a ticket. It returns false while none is known. It
// asks about further workers if those with a ticket are lost or stay busy, so that they block no
// step that others may run.
func (o *Orchestrator) advise(d *scheduling.Demand, q *workload.Queue, in *scheduling.Input) bool {
	if o.Advisor == nil {
		return false
	}
	a := o.advice.step(d.Key, o.leadership.State())
	now := boottime.Now()
	allowed := map[string]bool{}
	for worker, t := range a.tickets {
		switch s := o.sessions[worker]; {
		case s == nil:
		case s.incarnation != t.incarnation:
			delete(a.tickets, worker)
		case now < t.until:
			allowed[worker] = true
		}
	}
	if !a.asking {
		o.ask(d, q, a, o.toAdvise(d, in, a, allowed))
	}
	if len(allowed) == 0 {
		return false
	}
	d.AllowedWorkers = allowed
	return true
}

// toAdvise returns the workers to ask about next. As long as a usable worker has a ticket and was busy
// for less than advicePatience, there are none: the service answers one call at a time, and room
// that is free now is often taken when it has answered.
func (o *Orchestrator) toAdvise(d *scheduling.Demand, in *scheduling.Input, a *stepAdvice, allowed map[string]bool) []string {
	now := boottime.Now()
	var unknown, withRoom, full []string
	usable := false
	for _, w := range in.Workers {
		if w.Pool != d.Pool || !d.MayRunOn(w) {
			continue
		}
		hasRoom := scheduling.Fits(d.Step, w.Free)
		switch {
		case allowed[w.ID] && (hasRoom || now.Sub(a.answeredAt) < advicePatience):
			return nil
		case allowed[w.ID]:
			usable = true
			continue
		case hasRoom:
			withRoom = append(withRoom, w.ID)
		default:
			full = append(full, w.ID)
		}
		unknown = append(unknown, w.ID)
	}
	switch {
	case usable:
		unknown = withRoom
	case a.answeredAt != 0:
		unknown = append(withRoom, full...)
	}
	return unknown[:min(len(unknown), maxAdvised)]
}

// refusedWorkers returns the workers that must not run a step according to the policy service.
func (o *Orchestrator) refusedWorkers(key scheduling.StepKey) map[string]bool {
	a := o.advice.steps[key]
	if a == nil || len(a.refused) == 0 {
		return nil
	}
	refused := make(map[string]bool, len(a.refused))
	for worker, incarnation := range a.refused {
		if s := o.sessions[worker]; s != nil && s.incarnation == incarnation {
			refused[worker] = true
		}
	}
	return refused
}

// step returns what is known about a step of an open job.
func (c *adviceCache) step(key scheduling.StepKey, s *workload.State) *stepAdvice {
	if c.steps == nil {
		c.steps = map[scheduling.StepKey]*stepAdvice{}
	}
	if len(c.steps) >= c.pruneAt {
		maps.DeleteFunc(c.steps, func(k scheduling.StepKey, a *stepAdvice) bool { return !a.asking && s.Open()[k.Job] == nil })
		c.pruneAt = 2*len(c.steps) + minPruned
	}
	a := c.steps[key]
	if a == nil {
		a = &stepAdvice{tickets: map[string]ticket{}, refused: map[string]int64{}}
		c.steps[key] = a
	}
	return a
}

// ask queries the policy service about a step and workers.
func (o *Orchestrator) ask(d *scheduling.Demand, q *workload.Queue, a *stepAdvice, names []string) {
	if len(names) == 0 || o.advice.asking >= maxAsking {
		return
	}
	a.asking = true
	incarnations := map[string]int64{}
	for _, name := range names {
		if s := o.sessions[name]; s != nil {
			incarnations[name] = s.incarnation
		}
	}
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
			a.answeredAt = boottime.Now()
			for name, incarnation := range incarnations {
				if value, ok := tickets[name]; ok {
					a.tickets[name] = ticket{value, incarnation, requestedAt.Add(validity)}
				} else {
					a.refused[name] = incarnation
				}
			}
		})
	})
}

// ticket returns the ticket for a task on a worker, or "" if there is none.
func (c *adviceCache) ticket(t workload.TaskID, worker string) string {
	if a := c.steps[t.StepID()]; a != nil {
		return a.tickets[worker].value
	}
	return ""
}

// drop removes the ticket that a worker has refused for a task.
func (c *adviceCache) drop(t workload.TaskID, worker string) {
	if a := c.steps[t.StepID()]; a != nil {
		delete(a.tickets, worker)
	}
}
