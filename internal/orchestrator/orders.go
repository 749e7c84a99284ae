package orchestrator

import (
	"context"
	"errors"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// phase is how far an order has come.
type phase uint8

// Phases of an order.
const (
	// starting: the start has to be sent, or its answer is open.
	starting phase = iota
	running
	// stopWanted: the stop has to be sent, or its answer is open.
	stopWanted
	// stopped: the worker has answered the stop, and its end is awaited.
	stopped
	// released: the run can't be at work; the release is proposed.
	released
)

// order is what the leader does about a committed run.
type order struct {
	id     workload.RunID
	worker string
	phase  phase
	// reason of a stop or a release.
	reason   string
	busy     bool // a call is under way
	queued   bool
	attempts int
	retryAt  boottime.Instant
	sent     boottime.Instant // last start that was answered
	// confirmed is when the run was first known to be there.
	confirmed, seen, progressed boottime.Instant
	stoppedAt                   boottime.Instant
	percent                     int
	slowness                    float64 // at the last list, 0 while it is young
	load                        int64
	checkpoint                  string
	pace                        int
}

const (
	// orderRetry is the time until an unanswered order is repeated.
	orderRetry = 50 * time.Millisecond
	// maxStarts is how often a start is sent before it is stopped instead, so
	// that the task can go elsewhere.
	maxStarts = 4
	// refusalPause keeps tasks away from a worker that refused one.
	refusalPause = 300 * time.Millisecond
	// unhealthyPause keeps tasks away from a worker that says it is unhealthy.
	unhealthyPause = time.Second
)

// adoptRuns makes orders of the runs that an earlier leader committed.
func (o *Orchestrator) adoptRuns(j *workload.Job) {
	for k := range j.Occurrences {
		for p := range j.Occurrences[k].Steps {
			for i := range j.Occurrences[k].Steps[p].Tasks {
				task := workload.TaskID{Job: j.ID, Occurrence: k, Step: p, Index: i}
				for _, r := range j.Occurrences[k].Steps[p].Tasks[i].Runs {
					o.adoptRun(workload.RunID{Task: task, Number: r.Number}, &r)
				}
			}
		}
	}
	o.settleJob(j.ID)
}

func (o *Orchestrator) adoptRun(id workload.RunID, r *workload.Run) {
	s := o.session(r.Worker)
	if s == nil {
		o.pending.Released = append(o.pending.Released, workload.Release{Task: id.Task, Run: id.Number, Reason: "worker-gone"})
		return
	}
	// The first hold tells whether it is there; only then it is started again.
	ord := &order{id: id, worker: r.Worker, phase: running, pace: fullPace}
	if r.Born != s.born {
		ord.phase, ord.reason = stopWanted, "worker-born-again"
	}
	s.orders[id] = ord
}

// startApplied gives the order for a run that was committed.
func (o *Orchestrator) startApplied(st *workload.Start) {
	id := workload.RunID{Task: st.Task, Number: st.Run}
	r := o.lead.State().FindRun(id)
	s := o.sessions[st.Worker]
	if r == nil || s == nil || s.orders[id] != nil {
		return
	}
	ord := &order{id: id, worker: st.Worker, phase: starting, pace: fullPace}
	s.orders[id] = ord
	o.enqueue(s, ord)
	o.pump(s, o.lead.State().Workers[s.id], boottime.Now())
}

func (o *Orchestrator) enqueue(s *session, r *order) {
	if r.queued || r.busy {
		return
	}
	r.queued = true
	s.queue = append(s.queue, r)
}

// retryOrders sends unanswered orders again.
func (o *Orchestrator) retryOrders(s *session, now boottime.Instant) {
	for _, r := range s.orders {
		if !r.busy && !r.queued && (r.phase == starting || r.phase == stopWanted) && now >= r.retryAt {
			o.enqueue(s, r)
		}
	}
}

// pump sends queued orders.
func (o *Orchestrator) pump(s *session, w *workload.Worker, now boottime.Instant) {
	if w == nil || len(s.queue) == 0 || !o.mayOrder(now) {
		return
	}
	for len(s.queue) > 0 && s.sending < maxSending {
		r := s.queue[0]
		s.queue = s.queue[1:]
		r.queued = false
		if s.orders[r.id] != r {
			continue
		}
		switch r.phase {
		case starting:
			o.sendStart(s, w, r, now)
		case stopWanted:
			o.sendOrderStop(s, r)
		}
	}
}

func (o *Orchestrator) sendStart(s *session, w *workload.Worker, r *order, now boottime.Instant) {
	t, j := o.lead.State().Task(r.id.Task)
	lease := s.extend(now, o.Settings.Lease)
	if t == nil || lease == 0 {
		r.retryAt = now.Add(orderRetry)
		return
	}
	if r.attempts >= maxStarts || w.Draining && r.attempts > 0 {
		r.phase, r.reason = stopWanted, "start-unanswered"
		o.enqueue(s, r)
		return
	}
	r.attempts++
	r.busy = true
	s.sending++
	start := executor.Start{
		Task: r.id.Task, Run: r.id.Number, Spec: j.Spec, Lease: lease, Fence: o.fence(s),
		Checkpoint: t.Checkpoint, Ticket: o.advice.ticket(r.id.Task, s.id),
	}
	target, lead := executor.Target{ID: s.id, Address: w.Address}, o.lead
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		clock, err := o.Workers.Start(ctx, target, start)
		received := boottime.Now()
		lead.Post(func() { o.startAnswered(s, r, clock, err, received) })
	})
}

func (o *Orchestrator) startAnswered(s *session, r *order, clock int64, err error, now boottime.Instant) {
	s.sending--
	r.busy = false
	if o.sessions[s.id] != s || s.orders[r.id] != r {
		return
	}
	var refused *executor.Refused
	switch {
	case err == nil:
		s.contact, s.answering = max(s.contact, now), true
		s.observe(clock, now)
		r.sent = now
		if r.phase == starting {
			r.phase, r.confirmed = running, now
		}
	case errors.As(err, &refused):
		s.contact, s.answering = max(s.contact, now), true
		s.observe(refused.Clock, now)
		o.count("start_refusals_total", string(refused.Reason))
		o.startRefused(s, r, refused, now)
	default:
		o.count("worker_call_failures_total", "start")
		s.listedAt = 0 // it may have started again
		r.retryAt = now.Add(orderRetry)
	}
	o.pump(s, o.lead.State().Workers[s.id], now)
}

// startRefused gives up a run that the worker will never carry out.
func (o *Orchestrator) startRefused(s *session, r *order, refused *executor.Refused, now boottime.Instant) {
	o.Log.Info("A worker refused a start.", "job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number,
		"worker", s.id, "reason", refused.Reason, "attempt", r.attempts)
	switch refused.Reason {
	case executor.Expired:
		// The clock was estimated too low; the answer brought a better reading.
		r.retryAt = now
		return
	case executor.Fenced:
		// A later leader exists; this one is about to learn of it.
		r.retryAt = now.Add(callTimeout)
		return
	case executor.Superseded:
		// The run ended or was stopped there; its end is listed unless it was
		// noted before.
		if r.phase == starting {
			r.phase, r.reason, r.stoppedAt = stopped, string(refused.Reason), now
		}
		return
	case executor.WrongWorker:
		o.lifeEnded(s)
		return
	case executor.NoTicket:
		o.advice.drop(r.id.Task)
	case executor.NoRoom:
		s.avoidUntil = max(s.avoidUntil, now.Add(refusalPause))
	case executor.Unhealthy:
		s.avoidUntil = max(s.avoidUntil, now.Add(unhealthyPause))
	}
	if r.attempts > 1 || r.phase != starting {
		// An earlier attempt may still be carried out.
		r.phase, r.reason, r.retryAt = stopWanted, string(refused.Reason), now
		return
	}
	o.release(r, string(refused.Reason))
}

// sendOrderStop stops a run that is known.
func (o *Orchestrator) sendOrderStop(s *session, r *order) {
	r.busy = true
	s.sending++
	o.sendStop(s, r.id, func(err error) {
		now := boottime.Now()
		s.sending--
		r.busy = false
		if o.sessions[s.id] != s || s.orders[r.id] != r {
			return
		}
		var refused *executor.Refused
		switch {
		case err == nil:
			// The worker's next list tells whether the run has ended by itself.
			if r.phase == stopWanted {
				r.phase, r.stoppedAt = stopped, now
			}
			s.contact = max(s.contact, now)
		case errors.As(err, &refused) && refused.Reason == executor.WrongWorker:
			o.lifeEnded(s)
		default:
			o.count("worker_call_failures_total", "stop")
			s.listedAt = 0
			r.retryAt = now.Add(orderRetry)
		}
		o.pump(s, o.lead.State().Workers[s.id], now)
	})
}

// sendStop sends a stop and calls done on the owning goroutine.
func (o *Orchestrator) sendStop(s *session, id workload.RunID, done func(error)) {
	w := o.lead.State().Workers[s.id]
	if w == nil {
		done(errNoWorker)
		return
	}
	stop := executor.Stop{Task: id.Task, Run: id.Number, Fence: o.fence(s)}
	target, lead := executor.Target{ID: s.id, Address: w.Address}, o.lead
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		err := o.Workers.Stop(ctx, target, stop)
		lead.Post(func() { done(err) })
	})
}

// stop ends a run on purpose.
func (o *Orchestrator) stop(s *session, r *order, reason string) {
	if r.phase != starting && r.phase != running {
		return
	}
	o.count("runs_stopped_total", reason)
	o.Log.V(1).Info("Stopping a run.", "job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number, "worker", s.id, "reason", reason)
	r.phase, r.reason, r.attempts = stopWanted, reason, 0
	o.enqueue(s, r)
	o.pump(s, o.lead.State().Workers[s.id], boottime.Now())
}

// release proposes to give up a run that can't be at work any more.
func (o *Orchestrator) release(r *order, reason string) {
	if r.phase == released {
		return
	}
	r.phase, r.reason = released, reason
	o.count("runs_released_total", reason)
	o.Log.Info("Gave up a run.", "job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number,
		"worker", r.worker, "reason", reason)
	o.pending.Released = append(o.pending.Released, workload.Release{
		Task: r.id.Task, Run: r.id.Number, Checkpoint: r.checkpoint, Reason: reason,
	})
}

func (o *Orchestrator) dropOrder(worker string, id workload.RunID) {
	if s := o.sessions[worker]; s != nil {
		delete(s.orders, id)
	}
}

func (o *Orchestrator) dropOrderAnywhere(id workload.RunID) {
	for _, s := range o.sessions {
		delete(s.orders, id)
	}
}

// stopGang stops the other members of a gang of which one was given up: they would
// wait for it in vain, and start anew only together.
func (o *Orchestrator) stopGang(member workload.TaskID) {
	t, j := o.lead.State().Task(member)
	if t == nil || member.Step >= len(j.Steps) || !j.Steps[member.Step].Gang {
		return
	}
	tasks := j.Occurrences[member.Occurrence].Steps[member.Step].Tasks
	for i := range tasks {
		task := member
		task.Index = i
		o.stopRuns(task, &tasks[i], "gang-incomplete")
	}
}

// settleJob stops the runs of a job that has ended, and copies of tasks that are
// done.
func (o *Orchestrator) settleJob(id string) {
	j := o.lead.State().Jobs[id]
	if j == nil || !j.Live() {
		return
	}
	for k := range j.Occurrences {
		for p := range j.Occurrences[k].Steps {
			for i := range j.Occurrences[k].Steps[p].Tasks {
				t := &j.Occurrences[k].Steps[p].Tasks[i]
				if len(t.Runs) == 0 || !j.Status.Ended() && !t.Done {
					continue
				}
				o.stopRuns(workload.TaskID{Job: id, Occurrence: k, Step: p, Index: i}, t, "job-"+string(j.Status))
			}
		}
	}
}

func (o *Orchestrator) stopRuns(task workload.TaskID, t *workload.Task, reason string) {
	for _, run := range t.Runs {
		s := o.sessions[run.Worker]
		if s == nil {
			continue
		}
		if r := s.orders[workload.RunID{Task: task, Number: run.Number}]; r != nil {
			o.stop(s, r, reason)
		}
	}
}
