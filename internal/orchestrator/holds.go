package orchestrator

import (
	"errors"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// holdAnswered takes over what a worker listed.
func (o *Orchestrator) holdAnswered(s *session, h *executor.Hold, held *executor.Held, err error, asked, received boottime.Instant) {
	if o.sessions[s.id] != s {
		return
	}
	s.holding = false
	if err != nil {
		s.nextHold = received.Add(retryGap)
		o.holdFailed(s, err)
		return
	}
	if held.Born != 0 && held.Born != s.born {
		// The new life's own report brings its address and capacity.
		s.nextHold = received.Add(retryGap)
		o.count("worker_lists_ignored_total", "other-life")
		return
	}
	s.contact, s.answering, s.silent = max(s.contact, asked), true, false
	s.listedAt = received
	s.observe(held.Clock, received)
	s.noted = max(s.noted, h.Noted)
	s.nextHold = received
	if len(held.Ended) > 0 {
		s.nextHold = received.Add(holdGap)
	}
	listed := map[workload.RunID]bool{}
	for i := range held.Ended {
		e := &held.Ended[i]
		listed[workload.RunID{Task: e.Task, Number: e.Run}] = true
		o.noteEnd(s, e)
	}
	for i := range held.Running {
		r := &held.Running[i]
		listed[workload.RunID{Task: r.Task, Number: r.Run}] = true
		o.noteRunning(s, r, received)
	}
	if held.Complete {
		o.noteMissing(s, listed, asked, received)
	}
	o.restartStragglers(s, received)
	o.adjustPace(s, received)
}

func (o *Orchestrator) holdFailed(s *session, err error) {
	var refused *executor.Refused
	if !errors.As(err, &refused) {
		s.answering, s.listedAt = false, 0 // it may have started again
		o.count("worker_call_failures_total", "hold")
		return
	}
	o.count("worker_refusals_total", string(refused.Reason))
	if refused.Reason == executor.WrongWorker {
		o.lifeEnded(s)
	}
}

// lifeEnded removes a worker at whose address another one answers: an address
// is given to another worker only after the former one has ended.
func (o *Orchestrator) lifeEnded(s *session) {
	o.Log.Info("Another worker answers at a worker's address.", "worker", s.id)
	o.pending.Gone = append(o.pending.Gone, workload.Life{Worker: s.id, Born: s.born})
}

// noteEnd proposes an end, once. The worker is told to forget it only after the
// end is committed.
func (o *Orchestrator) noteEnd(s *session, e *workload.End) {
	if e.Sequence <= s.listed {
		return
	}
	s.listed = e.Sequence
	end := *e
	end.Worker, end.Born = s.id, s.born
	o.pending.Ends = append(o.pending.Ends, end)
	o.count("runs_ended_total", string(end.Outcome))
	o.learn(s, &end)
	if end.Outcome != workload.Succeeded && end.Outcome != workload.Stopped {
		o.Log.Info("A run ended early.", "job", end.Task.Job, "task", end.Task.String(), "run", end.Run,
			"worker", s.id, "outcome", end.Outcome)
	}
}

// noteRunning updates an order, and stops a run that the state doesn't know.
func (o *Orchestrator) noteRunning(s *session, r *executor.Running, now boottime.Instant) {
	id := workload.RunID{Task: r.Task, Number: r.Run}
	order := s.orders[id]
	if order == nil {
		o.stopUnknown(s, id, now)
		return
	}
	if order.phase == starting {
		order.phase = running
	}
	if order.confirmed == 0 {
		order.confirmed = now
	}
	if r.Checkpoint != "" {
		order.checkpoint = r.Checkpoint
	}
	if r.Percent != order.percent || order.progressed == 0 {
		order.percent, order.progressed = r.Percent, now
	}
	order.load = r.Load
	order.seen = now
}

// stopUnknown stops a run that was given up, or ordered by an earlier leader and
// never committed.
func (o *Orchestrator) stopUnknown(s *session, id workload.RunID, now boottime.Instant) {
	if s.committing(o, id) || now.Sub(s.stopping[id]) < callTimeout {
		return
	}
	s.stopping[id] = now
	o.Log.Info("Stopping a run that is not known.", "task", id.Task.String(), "run", id.Number, "worker", s.id)
	o.sendStop(s, id, func(error) {})
}

// committing tells that the state still knows the run on this worker, because
// its end is proposed and not applied.
func (s *session) committing(o *Orchestrator, id workload.RunID) bool {
	r := o.lead.State().FindRun(id)
	return r != nil && r.Worker == s.id
}

// noteMissing finds runs that were confirmed before the hold was sent and are
// listed neither as running nor as ended. Their order is repeated: it is refused
// if the run has ended there.
func (o *Orchestrator) noteMissing(s *session, listed map[workload.RunID]bool, asked, now boottime.Instant) {
	for id, r := range s.orders {
		if listed[id] || r.busy {
			continue
		}
		switch {
		case r.phase == running && r.confirmed < asked && r.sent < asked:
			r.phase, r.confirmed = starting, 0
			o.enqueue(s, r)
		case r.phase == stopped && r.stoppedAt < asked:
			// The stop was answered before the worker made its lists.
			o.release(r, r.reason)
		}
	}
	for id, at := range s.stopping {
		if now.Sub(at) > o.Settings.Lease {
			delete(s.stopping, id)
		}
	}
}
