package orchestrator

import (
	"context"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/scheduling"
)

// fullPace is the percent of its processors that an unlimited task uses.
const fullPace = 100

// paceInterval is the time between two changes of pace on a worker. Workers
// report response times over the last half second.
const paceInterval = 600 * time.Millisecond

// adjustPace slows the tasks that fill on a worker while a task beside them
// misses its response time, and lets them work again afterwards.
func (o *Orchestrator) adjustPace(s *session, now boottime.Instant) {
	if now.Sub(s.paced) < paceInterval {
		return
	}
	serving, filling := 0.0, false
	state := o.lead.State()
	for id, r := range s.orders {
		j := state.Jobs[id.Task.Job]
		if j == nil || len(j.Steps) <= id.Task.Step || r.phase != running {
			continue
		}
		step := &j.Steps[id.Task.Step]
		filling = filling || step.Fill
		if step.TailTarget > 0 {
			serving = max(serving, float64(r.load)/float64(step.TailTarget.Milliseconds()))
		}
	}
	if !filling {
		s.pace = fullPace
		return
	}
	next := scheduling.Pace(s.pace, serving)
	s.paced = now
	if next != s.pace {
		o.Log.Info("Changed the pace of tasks that fill.", "worker", s.id, "percent", next, "former", s.pace, "load", serving)
		s.pace = next
	}
	o.sendPaces(s)
}

// sendPaces brings every task that fills on a worker to the worker's pace.
func (o *Orchestrator) sendPaces(s *session) {
	state := o.lead.State()
	w := state.Workers[s.id]
	if w == nil {
		return
	}
	for id, r := range s.orders {
		j := state.Jobs[id.Task.Job]
		if j == nil || len(j.Steps) <= id.Task.Step || !j.Steps[id.Task.Step].Fill || r.phase != running || r.pace == s.pace {
			continue
		}
		pace := executor.Pace{Task: id.Task, Run: id.Number, Fence: o.fence(s), Percent: s.pace}
		target, lead := executor.Target{ID: s.id, Address: w.Address}, o.lead
		o.wg.Go(func() {
			ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
			defer cancel()
			err := o.Workers.Pace(ctx, target, pace)
			lead.Post(func() {
				if err == nil {
					r.pace = pace.Percent
				} else {
					o.count("worker_call_failures_total", "pace")
				}
			})
		})
	}
}
