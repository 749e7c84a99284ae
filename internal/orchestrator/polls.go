package orchestrator

import (
	"errors"
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// handlePollResponse processes the runs and ends that a worker listed.
func (o *Orchestrator) handlePollResponse(s *session, p *executor.Poll, response *executor.PollResponse, err error, requestedAt, received boottime.Instant) {
	if o.sessions[s.id] != s {
		return
	}
	s.polling = false
	if err != nil {
		s.nextPoll = received.Add(pollRetryDelay)
		if s.silent {
			s.nextPoll = received.Add(silentPollDelay)
		}
		o.pollFailed(s, err, received)
		return
	}
	if response.Incarnation != 0 && response.Incarnation != s.incarnation {
		o.otherIncarnationListed(s, p, response, requestedAt, received)
		return
	}
	now := boottime.Now()
	o.load.lists++
	o.observeResult(now, received)
	s.contacted(requestedAt)
	o.workerResponded(s, requestedAt)
	s.responsive, s.silent = true, false
	s.listedAt, s.fenced = received, p.Fence == o.fence(s)
	if requestedAt > s.otherListedAt {
		s.otherIncarnation = 0
	}
	if response.Incarnation != 0 || s.incarnation == 0 {
		o.observeFence(s, received)
	}
	s.aliveAt = max(s.aliveAt, requestedAt)
	if requestedAt > s.deregisteredAt {
		s.deregisteredAt = 0
	}
	if requestedAt > s.presumedAt {
		s.presumedAt = 0
	}
	s.observeClock(response.Clock, received)
	s.acknowledged = max(s.acknowledged, p.Acknowledged)
	s.nextPoll = received
	if len(response.Ended) > 0 {
		s.nextPoll, s.acknowledging = received.Add(minPollInterval), true
	}
	s.lists++
	for i := range response.Ended {
		e := &response.Ended[i]
		if r := s.orders[workload.RunID{Task: e.Task, Number: e.Run}]; r != nil {
			r.inList = s.lists
		}
		o.proposeEnd(s, e, received)
	}
	for i := range response.Running {
		o.updateRunning(s, &response.Running[i], received)
	}
	if response.Complete {
		o.handleMissing(s, response, requestedAt)
	}
	if response.Complete || len(response.Running) > 0 {
		s.fullListAt = received
		o.acquitSuspects(s, received)
		o.restartStragglers(s, received)
		o.adjustPace(s, received)
	}
	// A worker that responds at once although it may wait is polled by the next tick.
	if w := o.leadership.State().Workers[s.id]; w != nil && received.Sub(requestedAt) >= minPollInterval {
		o.maybePoll(s, w, now)
	}
}

// otherIncarnationListed handles a list of another incarnation than the known one. Its own report
// brings its address and capacity. The next poll raises its fencing token, so that it refuses the
// calls for the known incarnation that are still on their way.
func (o *Orchestrator) otherIncarnationListed(s *session, p *executor.Poll, response *executor.PollResponse, requestedAt, received boottime.Instant) {
	s.nextPoll = received.Add(pollRetryDelay)
	o.count("worker_lists_ignored_total", "other-life")
	s.responsive, s.listedAt = false, 0
	if requestedAt <= s.knownSince && response.Incarnation < s.incarnation {
		return // a late response of the former incarnation
	}
	s.otherListedAt = received
	first := s.otherIncarnation != response.Incarnation
	if first {
		s.otherIncarnation = response.Incarnation
		s.generation, s.fenced = s.generation+1, false
		o.Log.Info("Another incarnation took a poll.", "worker", s.id, "born", s.incarnation, "other", response.Incarnation,
			"lease_for_ms", max(int64(p.Lease)-response.Clock, 0), "acknowledged", p.Acknowledged, "running", len(response.Running), "ended", len(response.Ended))
	}
	if response.Incarnation > s.incarnation {
		return
	}
	// The machine's clock was set back before the worker restarted: its reports count as late until
	// the known incarnation is removed. Runs that it took by calls for that one end first.
	running := false
	for i := range response.Running {
		r := &response.Running[i]
		if id := (workload.RunID{Task: r.Task, Number: r.Run}); s.orders[id] != nil {
			running = true
			o.sendStop(s, id, func(error) {})
		}
	}
	if !first && !running && response.Complete && p.Fence == o.fence(s) && !s.startInProgress() {
		o.removeReplaced(s)
	}
}

func (o *Orchestrator) pollFailed(s *session, err error, received boottime.Instant) {
	var refused *executor.RefusedError
	if !errors.As(err, &refused) {
		s.responsive = false
		s.callFailed(err, received)
		o.count("worker_call_failures_total", "hold")
		return
	}
	o.count("worker_refusals_total", string(refused.Reason))
	if refused.Reason == executor.WrongWorker {
		o.removeReplaced(s)
	}
}

// removeReplaced removes a worker at whose address another worker responds: an address
// is reused only after its former worker has ended.
func (o *Orchestrator) removeReplaced(s *session) {
	if s.removing {
		return
	}
	s.removing = true
	o.Log.Info("Another worker responds at a worker's address.", "worker", s.id)
	o.workerLost(s, false, "replaced")
	o.workerReplaced(s)
	o.proposeRemoval(workload.WorkerIncarnation{Worker: s.id, Incarnation: s.incarnation})
}

// proposeEnd proposes the end of a run, once. The end is acknowledged to the worker
// only after it was committed.
func (o *Orchestrator) proposeEnd(s *session, e *workload.RunEnd, received boottime.Instant) {
	if e.Sequence <= s.lastProposedEnd {
		return
	}
	s.lastProposedEnd = e.Sequence
	o.runBegun(e.Task.Job)
	o.load.ended++
	if r := s.orders[workload.RunID{Task: e.Task, Number: e.Run}]; r != nil {
		r.endProposed = true
	}
	end := *e
	end.Worker, end.Incarnation = s.id, s.incarnation
	o.countGangFailureOnce(&end)
	o.pending.Ends = append(o.pending.Ends, end)
	o.count("runs_ended_total", string(end.Outcome))
	o.observeEnd(s, e, received)
	if end.Outcome != workload.Succeeded && end.Outcome != workload.Stopped {
		o.Log.Info("A run ended early.", "job", end.Task.Job, "task", end.Task.String(), "run", end.Run,
			"worker", s.id, "outcome", e.Outcome, "counted_as", end.Outcome)
	}
}

// updateRunning updates the order of a run that was listed as running. It stops a run
// that has no order.
func (o *Orchestrator) updateRunning(s *session, r *executor.Running, now boottime.Instant) {
	id := workload.RunID{Task: r.Task, Number: r.Run}
	order := s.orders[id]
	if order == nil {
		o.stopUnknownRun(s, id, now)
		return
	}
	order.inList = s.lists
	o.runBegun(id.Task.Job)
	if order.phase == starting || o.stopUnnecessary(order) {
		order.phase = running
	}
	if order.confirmedAt == 0 {
		order.confirmedAt = now
	}
	if r.Checkpoint != "" {
		order.checkpoint = r.Checkpoint
	}
	if r.Percent != order.percent || order.progressedAt == 0 {
		order.percent, order.progressedAt = r.Percent, now
	}
	if order.phase == stopResponded && now.Sub(order.stoppedAt) > o.Settings.StopGrace+callTimeout {
		order.phase = stopPending
		o.enqueue(s, order)
	}
	order.load = r.Load
	order.listedAt, order.listedBy = now, s.incarnation
	if order.stopDecidedAt != 0 && !order.overdueLogged && now.Sub(order.stopDecidedAt) > o.Settings.StopGrace+stopResponseTime {
		order.overdueLogged = true
		o.count("stops_overdue_total", order.reason)
		o.Log.Info("A run goes on after it was to stop.", "job", id.Task.Job, "task", id.Task.String(), "run", id.Number, "worker", s.id,
			"reason", order.reason, "phase", order.phase.String(), "since_ms", now.Sub(order.stopDecidedAt).Milliseconds())
	}
}

// stopUnnecessary reports whether a run is to be stopped only because its starts had no
// response, or because it must not begin any more. A list that shows it is the response, and what
// has begun may go on.
func (o *Orchestrator) stopUnnecessary(r *order) bool {
	if r.phase != stopPending || r.reason != reasonUnanswered && !goesOnOnceBegun(workload.StartBlock(r.reason)) {
		return false
	}
	t, j := o.leadership.State().Task(r.id.Task)
	return t != nil && !t.Done && !j.Status.Ended() && !j.Steps[r.id.Task.Step].Gang
}

// goesOnOnceBegun reports whether a run whose start was withdrawn for a reason goes on if it has begun
// all the same. What a drain or a move has to end, it ends within the budget of the step. A worker that
// has no room for it, or whose data centre is evacuated, doesn't keep it.
func goesOnOnceBegun(block workload.StartBlock) bool {
	switch block {
	case workload.WorkerDraining, workload.WorkerCordoned, workload.OtherPool, workload.LabelMissing, workload.OverTeamCap:
		return true
	}
	return false
}

// stopResponseTime is how long the stop of a run may take to reach its worker before a
// line says that the run goes on.
const stopResponseTime = time.Second

// stopUnknownRun stops a run that was given up, or that an earlier leader ordered but
// that is not in the state.
func (o *Orchestrator) stopUnknownRun(s *session, id workload.RunID, now boottime.Instant) {
	if run := o.leadership.State().FindRun(id); run != nil && run.Worker == s.id {
		o.adoptRun(id, run)
		o.stopObsoleteRuns(id.Task.Job)
		return
	}
	if now.Sub(s.unknownStoppedAt[id]) < callTimeout {
		return
	}
	s.unknownStoppedAt[id] = now
	o.Log.Info("Stopping a run that is not in the state.", "task", id.Task.String(), "run", id.Number, "worker", s.id)
	o.sendStop(s, id, func(error) {})
}

// handleMissing handles the runs that the worker listed neither as running nor as
// ended although they were confirmed before the poll was sent. Their start is
// repeated, which the worker refuses if the run has ended there. Runs to whose stop
// the worker responded before the poll are released.
func (o *Orchestrator) handleMissing(s *session, response *executor.PollResponse, requestedAt boottime.Instant) {
	for _, r := range s.orders {
		if r.inList == s.lists || r.callPending {
			continue
		}
		switch {
		case r.phase == running && r.confirmedAt < requestedAt && r.startRespondedAt < requestedAt:
			r.phase, r.confirmedAt = starting, 0
			o.enqueue(s, r)
		case r.phase == stopResponded && r.stoppedAt < requestedAt:
			// The worker responded to the stop before it listed its runs.
			o.release(r, r.reason)
		}
	}
	for id := range s.unknownStoppedAt {
		if !lists(response, id) {
			delete(s.unknownStoppedAt, id)
		}
	}
}

// lists reports whether a worker listed a run.
func lists(response *executor.PollResponse, id workload.RunID) bool {
	return slices.ContainsFunc(response.Running, func(r executor.Running) bool { return r.Task == id.Task && r.Run == id.Number }) ||
		slices.ContainsFunc(response.Ended, func(e workload.RunEnd) bool { return e.Task == id.Task && e.Run == id.Number })
}
