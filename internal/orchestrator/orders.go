package orchestrator

import (
	"errors"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/relay"
	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// phase is the progress of an order.
type phase uint8

// Phases of an order.
const (
	// starting: the start has to be sent, or its response is outstanding.
	starting phase = iota
	running
	// stopPending: the stop has to be sent, or its response is outstanding.
	stopPending
	// stopResponded: the worker has responded to the stop, and the run's end is awaited.
	stopResponded
	// released: the run can no longer be executing; its release is proposed.
	released
)

// String returns the name of the phase for logs.
func (p phase) String() string {
	return [...]string{"starting", "running", "stop-pending", "stop-responded", "released"}[p]
}

// order is the leader's control of a committed run.
type order struct {
	id     workload.RunID
	worker string
	// incarnation is the one of the worker that the run was committed for.
	incarnation int64
	phase       phase
	// reason is why the run is stopped or released.
	reason      string
	callPending bool // a call is in progress
	// startPending is whether that call is a start.
	startPending bool
	queued       bool
	attempts     int
	// committedAt is when the run was committed by this leader, sentAt when the start was
	// first sent, attemptedAt when it was last sent.
	committedAt, sentAt, attemptedAt boottime.Instant
	// endProposed and acquittalProposed are set once these are proposed.
	endProposed, acquittalProposed bool
	adopted                        bool // an earlier leader may have sent the start
	// unanswered is whether the outcome of any attempt to start the run is unknown: it may be carried
	// out late, by the next incarnation too, also after a later attempt has a response.
	unanswered bool
	// listedBy is the last incarnation that listed the run, answeredBy the one whose clock the last
	// response to a start showed.
	listedBy, answeredBy int64
	retryAt              boottime.Instant
	startRespondedAt     boottime.Instant // when the last response to a start arrived
	// confirmedAt is when the worker first confirmed the run. listedAt is when it last
	// listed it, and progressedAt when its progress last changed.
	confirmedAt, listedAt, progressedAt boottime.Instant
	stoppedAt                           boottime.Instant
	stopDecidedAt                       boottime.Instant
	overdueLogged                       bool // that the run goes on after its stop has been logged
	percent                             int
	inList                              uint64  // the number of the session's last list that contains the run
	slowness                            float64 // as of the last poll, 0 while the run is too young to tell
	load                                int64
	checkpoint                          string
	pace                                int
}

const (
	// orderRetryDelay is the delay before an order without a response is repeated.
	orderRetryDelay = 50 * time.Millisecond
	// maxStartAttempts is how often a start is sent before the run is stopped
	// instead, so that the task can be placed on another worker.
	maxStartAttempts = 4
	// listTimeout is how long after an attempt the list that a repetition needs may take: the
	// call's own time limit, and that of a poll of a worker with young runs.
	listTimeout = 2*callTimeout + youngRunPollWait
	// refusalPause is how long a worker gets no tasks after it refused one for lack
	// of room.
	refusalPause = 300 * time.Millisecond
	// unhealthyPause is how long a worker gets no tasks after it refused one as
	// unhealthy.
	unhealthyPause = time.Second
)

// reasonUnanswered is the reason of the stop of a run whose starts had no response.
const reasonUnanswered = "start-unanswered"

// endsBy returns the time from which a run on a silent worker has certainly ended, and false if no time
// proves it: a start of it may be carried out late, or the next incarnation may have taken it.
func (o *Orchestrator) endsBy(s *session, r *order) (boottime.Instant, bool) {
	end, known := o.heldUntil(s)
	if !known {
		return 0, false
	}
	switch {
	case r.unanswered || r.startPending:
		return 0, false
	case r.incarnation != s.incarnation:
		// A call for a former incarnation that was carried out extended the lease until then at most.
		return end, true
	case r.listedBy == s.incarnation:
		return end, true
	case r.answeredBy == s.incarnation:
		// The response doesn't name the incarnation. One whose clock is close to the estimate ends
		// the lease at most as much later.
		return end.Add(longestOnWorker(maxClockDeviation)), true
	case r.adopted && s.otherIncarnation == 0:
		// Whichever incarnation took the former leader's last start holds it for MaxLease at most.
		return max(end, o.leadingSince.Add(confirmationValidity+o.longestLease())), true
	case !r.adopted && r.startRespondedAt == 0:
		return end, true // each attempt was refused
	}
	return 0, false
}

// adoptRuns creates orders for the runs that an earlier leader committed.
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
	o.stopObsoleteRuns(j.ID)
}

func (o *Orchestrator) adoptRun(id workload.RunID, r *workload.Run) {
	s := o.session(r.Worker)
	if s == nil {
		o.pending.Released = append(o.pending.Released, workload.RunRelease{Task: id.Task, Run: id.Number, Reason: "worker-gone"})
		return
	}
	// The first poll shows whether the worker has the run. If not, its start is sent
	// again.
	ord := &order{id: id, worker: r.Worker, incarnation: r.Incarnation, phase: running, pace: fullPace, adopted: true, sentAt: boottime.Now().Add(-max(time.Since(r.Since), 0))}
	if r.Incarnation != s.incarnation {
		ord.phase, ord.reason = stopPending, "worker-born-again"
	}
	s.orders[id] = ord
}

// startApplied sends the order for a committed run.
func (o *Orchestrator) startApplied(st *workload.RunStart, now boottime.Instant) {
	id := workload.RunID{Task: st.Task, Number: st.Run}
	r := o.leadership.State().FindRun(id)
	s := o.sessions[st.Worker]
	if r == nil || s == nil || s.orders[id] != nil {
		return
	}
	ord := &order{id: id, worker: st.Worker, incarnation: st.Incarnation, phase: starting, pace: fullPace, committedAt: now}
	s.orders[id], s.lookAt = ord, 0
	o.enqueue(s, ord)
	o.sendQueued(s, s.worker, now)
}

func (o *Orchestrator) enqueue(s *session, r *order) {
	if r.queued || r.callPending {
		return
	}
	r.queued = true
	s.queue = append(s.queue, r)
}

// retryOrders queues orders without a response to be sent again.
func (o *Orchestrator) retryOrders(s *session, now boottime.Instant) {
	s.retrying = false
	for _, r := range s.orders {
		switch {
		case r.callPending || r.queued || r.phase != starting && r.phase != stopPending:
		case now >= r.retryAt:
			o.enqueue(s, r)
		default:
			s.retrying = true
		}
	}
}

// sendQueued sends the queued orders of a worker, up to maxOrdersInFlight at a time.
func (o *Orchestrator) sendQueued(s *session, w *workload.Worker, now boottime.Instant) {
	if w == nil || len(s.queue) == 0 || s.silent || o.settling || !o.leadershipConfirmed(now) {
		return
	}
	for len(s.queue) > 0 && s.inFlight < maxOrdersInFlight {
		r := s.queue[0]
		s.queue = s.queue[1:]
		r.queued = false
		if s.orders[r.id] != r {
			continue
		}
		switch r.phase {
		case starting:
			o.sendStart(s, w, r, now)
		case stopPending:
			o.sendOrderStop(s, r)
		}
	}
}

func (o *Orchestrator) sendStart(s *session, w *workload.Worker, r *order, now boottime.Instant) {
	if block := o.startBlocked(w, r); block != "" {
		o.withdrawStart(s, r, block)
		return
	}
	t, j := o.leadership.State().Task(r.id.Task)
	lease := s.extendLease(now, o.Settings.Lease)
	if t == nil || lease == 0 || s.startsWithheld || s.otherIncarnation != 0 {
		r.retryAt, s.retrying = now.Add(orderRetryDelay), true
		return
	}
	// The worker may have crashed under the start and be back under its ID.
	unlisted := r.attempts > 0 && !s.aliveSince(r.attemptedAt, now)
	if unlisted && now.Sub(r.attemptedAt) < listTimeout {
		o.probe(s, w, now)
		r.retryAt, s.retrying = now.Add(orderRetryDelay), true
		return
	}
	if unlisted || r.attempts >= maxStartAttempts {
		r.phase, r.reason = stopPending, reasonUnanswered
		o.enqueue(s, r)
		return
	}
	r.attempts++
	r.attemptedAt = now
	if r.sentAt == 0 {
		r.sentAt = now
	}
	r.callPending, r.startPending = true, true
	s.inFlight++
	start := executor.Start{
		Task: r.id.Task, Run: r.id.Number, Spec: j.Spec, Lease: lease, Fence: o.fence(s),
		Checkpoint: t.Checkpoint, Ticket: o.advice.ticket(r.id.Task, s.id),
	}
	incarnation, wait := s.incarnation, o.callWaits.wait(s.unansweredCalls)
	o.relayClient.Do(relay.Call{Target: executor.Target{ID: s.id, Address: w.Address}, Start: &start}, now, wait, func(response relay.Response) {
		err := response.Err
		if s.incarnation != incarnation {
			err = errFormerIncarnation
		}
		o.observeCall(s, "start", wait, response.Err)
		o.observeStartTime(r, now, &response)
		o.handleStartResponse(s, r, response.Clock, err, response.ReceivedAt)
	})
}

// startBlocked returns why the worker of a committed run must not begin it, by what holds now, or "".
func (o *Orchestrator) startBlocked(w *workload.Worker, r *order) workload.StartBlock {
	s := o.leadership.State()
	t, j := s.Task(r.id.Task)
	if t == nil {
		return ""
	}
	step := &j.Steps[r.id.Task.Step]
	occupied, used := s.OccupiedOn(w.ID), s.UsedByTeam(j.Team)
	block := s.StartBlocked(w, j, step, occupied, used)
	if (block == workload.NoRoom || block == workload.OverTeamCap) && len(o.releasedOn) > 0 {
		onWorker, ofTeam := o.releasing(w.ID, j.Team)
		block = s.StartBlocked(w, j, step, occupied.Minus(onWorker), used.Minus(ofTeam))
	}
	return block
}

// releasingSums is what the runs take whose release is proposed, by worker and by team.
type releasingSums struct {
	onWorker, ofTeam map[string]resources.Amount
}

// releasing returns what the runs take whose release is proposed: those on a worker, and those of a
// team. The sums are kept until a command is applied, because many starts may ask between two commands.
func (o *Orchestrator) releasing(worker, team string) (onWorker, ofTeam resources.Amount) {
	if o.releasingSums == nil {
		o.releasingSums = &releasingSums{onWorker: map[string]resources.Amount{}, ofTeam: map[string]resources.Amount{}}
		for id, on := range o.releasedOn {
			o.addReleasing(id, on)
		}
	}
	return o.releasingSums.onWorker[worker], o.releasingSums.ofTeam[team]
}

func (o *Orchestrator) addReleasing(id workload.RunID, on string) {
	s, sums := o.leadership.State(), o.releasingSums
	if sums == nil || s.FindRun(id) == nil {
		return
	}
	j := s.Jobs[id.Task.Job]
	step := &j.Steps[id.Task.Step]
	sums.onWorker[on] = sums.onWorker[on].Plus(step.Occupied())
	sums.ofTeam[j.Team] = sums.ofTeam[j.Team].Plus(step.Resources)
}

// withdrawBlockedStarts withdraws the starts that wait for their turn at a worker and must not be sent
// any more. Their tasks can start elsewhere at once.
func (o *Orchestrator) withdrawBlockedStarts(s *session) {
	if s.worker == nil {
		return
	}
	for _, r := range s.orders {
		if r.phase != starting || !r.neverSent() {
			continue
		}
		if block := o.startBlocked(s.worker, r); block != "" {
			o.withdrawStart(s, r, block)
		}
	}
}

// withdrawStart gives up a run that its worker must not begin any more. The worker may not refuse the
// start.
func (o *Orchestrator) withdrawStart(s *session, r *order, block workload.StartBlock) {
	reason := string(block)
	o.count("starts_withdrawn_total", reason)
	log := o.Log.WithValues("job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number, "worker", s.id, "reason", reason, "never_sent", r.neverSent())
	if w := s.worker; w != nil {
		log = log.WithValues("milli_cpu", w.Capacity.MilliCPU, "memory_mb", w.Capacity.MemoryMB, "data_centre", w.DataCentre)
	}
	log.Info("Withdrew a start.")
	if r.neverSent() {
		o.releaseUnsent(r, reason)
		return
	}
	// An earlier attempt, also of a former leader, may still take effect.
	r.phase, r.reason = stopPending, reason
	o.enqueue(s, r)
}

func (o *Orchestrator) handleStartResponse(s *session, r *order, clock int64, err error, now boottime.Instant) {
	s.inFlight--
	r.callPending, r.startPending = false, false
	if o.sessions[s.id] != s || s.orders[r.id] != r {
		return
	}
	s.retrying = s.retrying || r.phase == stopPending // decided while the call was in progress
	var refused *executor.RefusedError
	if err == nil || errors.As(err, &refused) {
		o.observeStart(r, now)
	}
	switch {
	case err == nil && !s.plausibleClock(clock, now):
		o.count("start_responses_of_other_clocks_total", "accepted")
		o.Log.Info("Another incarnation seems to have taken a start.", "job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number, "worker", s.id,
			"born", s.incarnation, "clock_off_ms", clock-s.clock.estimate(now), "attempt", r.attempts)
		r.unanswered = true
		if r.phase == starting {
			r.phase, r.reason = stopPending, reasonUnanswered
			o.enqueue(s, r)
		}
	case err == nil:
		s.contacted(now)
		s.responsive = true
		s.observeClock(clock, now)
		r.startRespondedAt = now
		o.runBegun(r.id.Task.Job)
		if clock > 0 {
			r.answeredBy = s.incarnation
		}
		if r.phase == starting {
			r.phase, r.confirmedAt = running, now
		}
	case errors.As(err, &refused):
		plausible := s.plausibleClock(refused.Clock, now)
		if plausible && refused.Reason != executor.WrongWorker {
			s.contacted(now)
			s.responsive = true
		}
		if plausible {
			s.observeClock(refused.Clock, now)
		}
		o.count("start_refusals_total", string(refused.Reason))
		o.startRefused(s, r, refused, now)
		if !plausible && refused.Reason == executor.Expired {
			r.retryAt = now.Add(orderRetryDelay) // until the other incarnation has reported
		}
	default:
		o.count("worker_call_failures_total", "start")
		r.unanswered = true
		s.callFailed(err, now)
		r.retryAt, s.retrying = now.Add(orderRetryDelay), true
		if s.worker != nil && r.phase == starting {
			o.probe(s, s.worker, now)
		}
	}
	o.sendQueued(s, s.worker, now)
}

// startRefused handles the refusal of a start, according to its reason.
func (o *Orchestrator) startRefused(s *session, r *order, refused *executor.RefusedError, now boottime.Instant) {
	o.Log.Info("A worker refused a start.", "job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number,
		"worker", s.id, "reason", refused.Reason, "attempt", r.attempts)
	switch refused.Reason {
	case executor.Expired:
		// The worker's clock was estimated too low; the response contains a newer
		// reading.
		r.retryAt, s.retrying = now, true
		return
	case executor.Fenced:
		// A later leader exists, and this one is about to step down.
		r.retryAt, s.retrying = now.Add(callTimeout), true
		return
	case executor.Superseded:
		// The run ended or was stopped on the worker. Its end is listed unless it was
		// acknowledged before.
		if r.phase == starting {
			r.phase, r.reason, r.stoppedAt = stopResponded, string(refused.Reason), now
		}
		return
	case executor.WrongWorker:
		o.removeReplaced(s)
		return
	case executor.NoTicket:
		o.advice.drop(r.id.Task, s.id)
	case executor.NoRoom:
		s.avoidUntil = max(s.avoidUntil, now.Add(refusalPause))
	case executor.Unhealthy:
		s.avoidUntil = max(s.avoidUntil, now.Add(unhealthyPause))
	}
	if r.phase != starting {
		return // a list has shown the run, or it is being stopped
	}
	if r.attempts > 1 {
		// An earlier attempt may still take effect.
		r.phase, r.reason, r.retryAt, s.retrying = stopPending, string(refused.Reason), now, true
		return
	}
	o.release(r, string(refused.Reason))
}

// sendOrderStop sends the stop of an order's run.
func (o *Orchestrator) sendOrderStop(s *session, r *order) {
	r.callPending = true
	s.inFlight++
	o.sendStop(s, r.id, func(err error) {
		now := boottime.Now()
		s.inFlight--
		r.callPending = false
		if o.sessions[s.id] != s || s.orders[r.id] != r {
			return
		}
		s.lookAt = 0
		var refused *executor.RefusedError
		switch {
		case err == nil:
			// The response to the next poll shows whether the run had ended by itself.
			if r.phase == stopPending {
				r.phase, r.stoppedAt = stopResponded, now
			}
			s.contacted(now)
		case errors.As(err, &refused) && refused.Reason == executor.WrongWorker:
			o.removeReplaced(s)
		default:
			o.count("worker_call_failures_total", "stop")
			s.callFailed(err, now)
			r.retryAt, s.retrying = now.Add(orderRetryDelay), true
		}
		o.sendQueued(s, s.worker, now)
	})
}

// sendStop sends a stop and calls done with the result on the owning goroutine.
func (o *Orchestrator) sendStop(s *session, id workload.RunID, done func(error)) {
	w := o.leadership.State().Workers[s.id]
	if w == nil {
		done(errNoWorker)
		return
	}
	stop := executor.Stop{Task: id.Task, Run: id.Number, Fence: o.fence(s)}
	incarnation := s.incarnation
	o.relayClient.Do(relay.Call{Target: executor.Target{ID: s.id, Address: w.Address}, Stop: &stop}, boottime.Now(), callTimeout, func(response relay.Response) {
		err := response.Err
		if s.incarnation != incarnation {
			err = errFormerIncarnation
		}
		done(err)
	})
}

// stop orders the stop of a run.
func (o *Orchestrator) stop(s *session, r *order, reason string) {
	if r.phase != starting && r.phase != running {
		return
	}
	if r.neverSent() {
		o.count("starts_withdrawn_total", reason)
		o.Log.V(1).Info("Withdrew a start.", "job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number, "worker", s.id, "reason", reason, "never_sent", true)
		o.releaseUnsent(r, reason)
		return
	}
	o.count("runs_stopped_total", reason)
	o.Log.V(1).Info("Stopping a run.", "job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number, "worker", s.id, "reason", reason)
	r.phase, r.reason, r.attempts, r.stopDecidedAt = stopPending, reason, 0, boottime.Now()
	o.enqueue(s, r)
	o.sendQueued(s, s.worker, boottime.Now())
}

// release proposes to give up a run that can no longer be executing.
func (o *Orchestrator) release(r *order, reason string) {
	if r.phase == released {
		return
	}
	o.logRelease(r, reason)
	o.proposeRelease(r, reason)
}

// neverSent reports whether no leader has sent the start of a run.
func (r *order) neverSent() bool { return r.sentAt == 0 }

// releaseUnsent proposes to give up a run that was never sent. The worker doesn't know it, so that no
// stop is needed.
func (o *Orchestrator) releaseUnsent(r *order, reason string) {
	o.count("runs_released_total", reason)
	o.proposeRelease(r, reason)
}

func (o *Orchestrator) proposeRelease(r *order, reason string) {
	r.phase, r.reason = released, reason
	if _, known := o.releasedOn[r.id]; !known {
		o.addReleasing(r.id, r.worker)
	}
	o.releasedOn[r.id] = r.worker
	o.pending.Released = append(o.pending.Released, workload.RunRelease{
		Task: r.id.Task, Run: r.id.Number, Checkpoint: r.checkpoint, Reason: reason,
	})
}

func (o *Orchestrator) logRelease(r *order, reason string) {
	o.count("runs_released_total", reason)
	o.Log.Info("Gave up a run.", "job", r.id.Task.Job, "task", r.id.Task.String(), "run", r.id.Number,
		"worker", r.worker, "reason", reason)
}

func (o *Orchestrator) dropOrder(worker string, id workload.RunID) {
	if s := o.sessions[worker]; s != nil {
		delete(s.orders, id)
	}
}

// dropReleased drops the order of a run that was given up.
func (o *Orchestrator) dropReleased(id workload.RunID) {
	o.dropOrder(o.releasedOn[id], id)
	delete(o.releasedOn, id)
}

// stopGang stops the other members of a gang of which one was given up. They would
// wait for it in vain, and the members of a gang start together only.
func (o *Orchestrator) stopGang(member workload.TaskID) {
	t, j := o.leadership.State().Task(member)
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

// stopObsoleteRuns stops the runs of a job that has ended, and the remaining runs of
// tasks that are done.
func (o *Orchestrator) stopObsoleteRuns(id string) {
	j := o.leadership.State().Jobs[id]
	if j == nil || !j.HasActiveRuns() {
		return
	}
	for k := range j.Occurrences {
		for p := range j.Occurrences[k].Steps {
			if !j.Status.Ended() && j.Occurrences[k].Steps[p].Done() == 0 {
				continue
			}
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
