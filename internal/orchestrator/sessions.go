package orchestrator

import (
	"maps"
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/relay"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// session is the leader's volatile state of one incarnation of a worker.
type session struct {
	id          string
	incarnation int64
	// worker is the worker as committed, or nil once it is removed.
	worker *workload.Worker
	// lookAt is when the session has to be looked at without being urgent.
	lookAt     boottime.Instant
	knownSince boottime.Instant // when this leader learned of the incarnation
	clock      clockSample
	granted    executor.LeaseEnd // the latest lease granted by this leader
	// grantedUntil is when the leases granted by this leader have certainly ended.
	grantedUntil boottime.Instant
	// formerLeasesEnd is when the leases have certainly ended that calls meant for former incarnations
	// extended. It is 0 until the incarnation is known to refuse such calls.
	formerLeasesEnd boottime.Instant
	// fenceProposed is the latest fence state that was proposed.
	fenceProposed workload.FenceState
	// otherIncarnation is an incarnation that listed its runs at otherListedAt, or 0 if this one has
	// taken a later poll.
	otherIncarnation int64
	otherListedAt    boottime.Instant
	// responsive is whether the worker responded to the last call. A report doesn't count:
	// reports may arrive while the connection for orders is cut.
	responsive bool
	// listedAt is when this incarnation last listed its runs; generation counts the
	// incarnations that this leader has seen.
	listedAt boottime.Instant
	// aliveAt is when the latest list was requested that this incarnation has returned.
	aliveAt boottime.Instant
	// probes is the number of probes in progress, probedAt when the last one was sent.
	probes   int
	probedAt boottime.Instant
	// fullListAt is when it last listed its running runs, too.
	fullListAt boottime.Instant
	generation uint64
	// fenced is whether this incarnation has responded to a poll, and so refuses orders
	// with a lower fencing token.
	fenced bool
	// lastContact is when the worker last responded, lastReport when it last reported.
	lastContact, lastReport boottime.Instant
	// failingSince is when the first of the calls failed that had no response since then; it
	// is 0 if there was none. disconnected is whether its connection was refused or reset.
	failingSince boottime.Instant
	disconnected bool
	// deregisteredAt is when the worker was deregistered without proof that it has ended, or when a
	// report registered an incarnation again that had been removed. It is 0 once the worker has
	// responded to a later poll.
	deregisteredAt boottime.Instant
	// presumedAt is when the crash of the worker was presumed. It is 0 once the worker has responded
	// to a later poll.
	presumedAt boottime.Instant
	// lossProposed is set once the loss of the worker has been examined.
	lossProposed bool
	sequence     uint64
	warmUpUntil  boottime.Instant // the end of the worker's warm-up after its start
	warmUp       time.Duration    // the longest warm-up that was left in a report
	orders       map[workload.RunID]*order
	queue        []*order // orders to be sent
	// retrying is whether an order waits for its retryAt, acknowledging whether the worker
	// has listed ends that have to be acknowledged within ackWindow.
	retrying, acknowledging bool
	inFlight                int
	// unansweredCalls is the number of calls in a row that had no response.
	unansweredCalls int
	polling         bool
	lists           uint64 // number of lists that were processed
	nextPoll        boottime.Instant
	acknowledged    uint64 // sequence of the last end acknowledged to the worker
	lastProposedEnd uint64 // sequence of the last end that was proposed
	// avoidUntil is until when the worker gets no tasks because of refusals, failures
	// or slow runs.
	avoidUntil boottime.Instant
	// slowUntil is until when the worker counts as slow.
	slowUntil   boottime.Instant
	failures    int
	failedJob   string    // the last job of which a run failed
	failedGangs []gangRun // the last runs of gangs that failed on the worker
	silent      bool      // the granted leases have ended without a response
	keptRuns    int       // number of runs of the silent worker that can't be given up yet
	removing    bool      // the removal of the worker is proposed
	// startsWithheld is whether the platform's last list shows that the worker has ended. Its next
	// incarnation could carry out a start after the runs have been given up.
	startsWithheld bool
	// cordoned workers get no tasks because the leader intends to move or maintain their
	// instance. Worker.Cordoned is the committed cordon, which an order requires.
	cordoned bool
	// cordonProposed is set while a change of the committed cordon is proposed.
	cordonProposed bool
	// unknownStoppedAt is when a run that is not in the state was last told to stop.
	unknownStoppedAt map[workload.RunID]boottime.Instant
	pacedAt          boottime.Instant
	pace             int // processor limit of best-effort tasks in percent
	// view is the worker as placement sees it, viewOf the worker from which it was made.
	view   scheduling.Worker
	viewOf *workload.Worker
}

// clockSample is a reading of a worker's clock.
type clockSample struct {
	reading int64 // milliseconds
	at      boottime.Instant
}

const (
	// minClockRate is the lowest rate of a worker's clock relative to other clocks.
	// It includes 0.1% for the clock of this replica.
	minClockRate = 0.979
	// leaseEndSlack covers the delay of the worker's timers at the end of a lease.
	leaseEndSlack = 100 * time.Millisecond
	// maxSampleAge is the age after which a clock sample is replaced even if the new
	// reading yields an earlier estimate.
	maxSampleAge = 5 * time.Second
	// pollWait is how long a worker may wait for a run to end before it responds to
	// a poll. Leases are extended at least this often.
	pollWait = time.Second
	// minPollInterval is the minimum time between two polls of a worker after one that
	// listed ends, so that ends in quick succession are listed together.
	minPollInterval = 30 * time.Millisecond
	// callTimeout bounds a call to which the worker responds immediately.
	callTimeout = 500 * time.Millisecond
	// suspectPollWait is the same while a worker runs suspects, whose trials end with a list.
	suspectPollWait = lastStarted
	// pollRetryDelay is the delay before a failed poll is repeated.
	pollRetryDelay = 150 * time.Millisecond
	// silentPollDelay is the same for a worker whose lease has ended.
	silentPollDelay = time.Second
	// ackWindow is how long after a list of its runs a worker's ends are acknowledged.
	// It is shorter than a restart: a later incarnation numbers its ends from the
	// beginning and would discard some that were never committed.
	ackWindow = 4 * minPollInterval
	// maxOrdersInFlight bounds the concurrent orders to one worker. Each uses a
	// connection of its own.
	maxOrdersInFlight = 3
	// maxMissedReports is the number of missed reports after which a worker without
	// other contact gets no tasks.
	maxMissedReports = 3
)

// fence returns the fencing token of orders to a worker. It rises with each leader
// and with each incarnation that a leader sees, so that a delayed order for a former
// incarnation has no effect on a later one.
func (o *Orchestrator) fence(s *session) uint64 {
	return o.leadership.Term()<<generationBits | min(s.generation, 1<<generationBits-1)
}

// generationBits is the number of bits of the fencing token that count a worker's
// incarnations under one leader.
const generationBits = 12

// session returns the session of a worker, and creates it if the worker is in the
// state. Otherwise it returns nil.
func (o *Orchestrator) session(id string) *session {
	s := o.sessions[id]
	w := o.leadership.State().Workers[id]
	if s == nil && w != nil {
		s = &session{
			id: id, incarnation: w.Incarnation, worker: w, knownSince: boottime.Now(), orders: map[workload.RunID]*order{}, unknownStoppedAt: map[workload.RunID]boottime.Instant{},
			acknowledged: w.Acknowledged, lastProposedEnd: w.Acknowledged, lastReport: boottime.Now(), pace: fullPace,
			cordoned: w.Cordoned, generation: o.nextGenerations[id],
		}
		switch w.Fence {
		case workload.Fenced:
			s.formerLeasesEnd = s.knownSince.Add(o.longestLease())
		case workload.FenceSettled:
			s.formerLeasesEnd = s.knownSince
		}
		if removed, ok := o.removedIncarnations[id]; ok && w.Incarnation <= removed {
			s.deregisteredAt = s.knownSince // the report may have been sent before the worker ended
		}
		o.sessions[id] = s
		o.sessionOrder, o.rackSessions = nil, nil
	}
	return s
}

// observeClock records a reading of the worker's clock that was received at an
// instant. A reading that was delayed in transit yields too early an estimate, so
// the sample with the latest estimate is kept unless it is old.
func (s *session) observeClock(reading int64, at boottime.Instant) {
	if reading <= 0 {
		return
	}
	if s.clock.reading == 0 || at.Sub(s.clock.at) > maxSampleAge || reading >= s.clock.estimate(at) {
		s.clock = clockSample{reading, at}
	}
}

// maxClockDeviation is how far a reading of a worker's clock may lie from the estimate. Transit and
// the worker's timers explain less than that.
const maxClockDeviation = time.Second

// plausibleClock reports whether a response with a reading of a clock can come from the incarnation.
// Another incarnation has a clock that starts at any value.
func (s *session) plausibleClock(reading int64, at boottime.Instant) bool {
	if reading <= 0 || s.clock.reading == 0 {
		return true
	}
	off := time.Duration(reading-s.clock.estimate(at)) * time.Millisecond
	return off.Abs() <= maxClockDeviation+time.Duration(float64(at.Sub(s.clock.at))*(1-minClockRate))
}

func (c clockSample) estimate(now boottime.Instant) int64 {
	return c.reading + now.Sub(c.at).Milliseconds()
}

// extendLease returns a lease that ends after d on the worker's clock, or 0 while
// the clock is not known. While the worker does not respond, it returns the lease
// granted before: a worker that receives calls but cannot respond would otherwise
// keep its runs indefinitely, and they could not be given up.
func (s *session) extendLease(now boottime.Instant, d time.Duration) executor.LeaseEnd {
	if s.clock.reading == 0 {
		return 0
	}
	if s.granted == 0 || s.responsive {
		s.granted = max(s.granted, executor.LeaseEnd(s.clock.estimate(now)+d.Milliseconds()))
		left := time.Duration(int64(s.granted)-s.clock.reading) * time.Millisecond
		s.grantedUntil = max(s.grantedUntil, s.clock.at.Add(longestOnWorker(left)))
	}
	return s.granted
}

// longestOnWorker returns how long a lease lasts at most whose duration is measured by a worker.
func longestOnWorker(d time.Duration) time.Duration {
	return time.Duration(float64(d)/minClockRate) + leaseEndSlack
}

// longestLease returns how long a worker may hold its runs after a call, whatever lease end the call
// carried.
func (o *Orchestrator) longestLease() time.Duration { return longestOnWorker(o.Settings.MaxLease) }

// leaseEnd returns the time from which the leases have certainly ended that this leader and former
// ones granted to the incarnation.
func (o *Orchestrator) leaseEnd(s *session) boottime.Instant {
	// An earlier leader may have extended the lease until its last confirmation
	// expired.
	return max(o.leadingSince.Add(confirmationValidity+longestOnWorker(o.Settings.Lease)), s.grantedUntil)
}

// heldUntil returns the time from which the lease of a worker has certainly ended, whichever
// incarnation the calls were meant for that extended it. A call for a former incarnation carries a
// reading of that one's clock, which may lie far in the future of this one's. This one shortens it to
// MaxLease when it takes the call, and takes none after it has seen its own fencing token. Until then,
// no time proves that its lease has ended, and known is false.
func (o *Orchestrator) heldUntil(s *session) (end boottime.Instant, known bool) {
	return max(o.leaseEnd(s), s.formerLeasesEnd), s.formerLeasesEnd != 0
}

// observeFence records that the incarnation has responded to a poll with a fencing token of its own.
func (o *Orchestrator) observeFence(s *session, received boottime.Instant) {
	if s.formerLeasesEnd == 0 {
		s.formerLeasesEnd = received.Add(o.longestLease())
	}
}

// proposeFence proposes what the next leader has to know about calls for former incarnations.
func (o *Orchestrator) proposeFence(s *session, w *workload.Worker, now boottime.Instant) {
	state := workload.Unfenced
	switch {
	case s.formerLeasesEnd == 0:
	case now >= s.formerLeasesEnd:
		state = workload.FenceSettled
	default:
		state = workload.Fenced
	}
	if w.Incarnation != s.incarnation || state <= max(w.Fence, s.fenceProposed) {
		return
	}
	s.fenceProposed = state
	o.pending.Fences = append(o.pending.Fences, workload.WorkerFence{Worker: s.id, Incarnation: s.incarnation, State: state})
}

// workerApplied starts a new session if a worker's new incarnation was committed.
func (o *Orchestrator) workerApplied(w *workload.Worker) {
	s := o.session(w.ID)
	if s == nil {
		return
	}
	s.worker, s.lookAt = o.leadership.State().Workers[w.ID], 0
	if s.incarnation >= w.Incarnation {
		o.withdrawBlockedStarts(s)
		return
	}
	o.Log.Info("A worker has restarted.", "worker", w.ID, "born", w.Incarnation, "former", s.incarnation)
	orders := s.orders
	*s = session{
		id: w.ID, incarnation: w.Incarnation, worker: s.worker, knownSince: boottime.Now(), orders: orders, generation: s.generation + 1, inFlight: s.inFlight, polling: s.polling, unknownStoppedAt: map[workload.RunID]boottime.Instant{},
		lastReport: boottime.Now(), pace: fullPace,
	}
	// A repeated start may have reached the new incarnation: the run is stopped there
	// before it is given up.
	for _, r := range orders {
		r.phase, r.reason, r.queued = stopPending, "worker-born-again", false
		o.enqueue(s, r)
	}
}

// workerRemoved deletes the session of a removed worker.
func (o *Orchestrator) workerRemoved(removed workload.WorkerIncarnation) {
	s := o.sessions[removed.Worker]
	if s != nil {
		s.worker = o.leadership.State().Workers[removed.Worker]
	}
	if s != nil && s.incarnation <= removed.Incarnation && o.leadership.State().Workers[removed.Worker] == nil {
		o.nextGenerations[removed.Worker], o.removedIncarnations[removed.Worker] = s.generation+1, removed.Incarnation
		delete(o.sessions, removed.Worker)
		o.sessionOrder, o.rackSessions = nil, nil
	}
}

// idleLookInterval is the interval at which a session is looked at that waits for nothing but
// the response to a poll. A silent worker is noticed by that much later.
const idleLookInterval = 100 * time.Millisecond

// due reports whether the session has to be looked at in this tick.
func (s *session) due(now boottime.Instant) bool {
	return now >= s.lookAt || len(s.queue) > 0 || s.retrying || s.acknowledging
}

// tickSession sends the calls that are due to a worker. It gives up the runs of a
// silent one and later removes it.
func (o *Orchestrator) tickSession(s *session, now boottime.Instant) {
	w := s.worker
	thorough := now >= s.lookAt
	if thorough {
		s.lookAt = now.Add(idleLookInterval)
	}
	if w == nil {
		return
	}
	if thorough {
		o.proposeFence(s, w, now)
	}
	if !s.silent && now.Sub(max(s.lastContact, s.lastReport, o.resumedAt)) > o.silentAfter() && now >= o.leaseEnd(s) {
		o.fallSilent(s, now)
	}
	if s.silent && thorough {
		o.releaseSilent(s, now)
	}
	if s.silent && now.Sub(max(s.lastContact, s.lastReport)) > o.removeAfter() {
		o.Log.Info("Removed a worker that has been silent.", "worker", s.id)
		o.logGivenUp(s, slices.Collect(maps.Values(s.orders)), now)
		for _, r := range s.orders {
			o.logRelease(r, "lease-ended") // the removal of the worker releases the run
		}
		o.proposeRemoval(workload.WorkerIncarnation{Worker: s.id, Incarnation: s.incarnation})
		s.lastReport = now // proposes the removal only once
	}
	if !s.silent {
		if thorough || s.retrying {
			o.retryOrders(s, now)
		}
		o.sendQueued(s, w, now)
	}
	o.maybePoll(s, w, now)
	if !s.polling && s.needsPoll(w) {
		s.lookAt = min(s.lookAt, max(s.nextPoll, now))
	}
}

// silentAfter returns how long a worker may be without contact before it counts as
// silent: it has then missed a report and responded to no poll.
func (o *Orchestrator) silentAfter() time.Duration {
	return max(o.Settings.ReportInterval*3/2, pollWait+callTimeout)
}

// removeAfter returns how long a worker may be without contact before it is removed. Calls that extend
// its lease are sent until it counts as silent, and the last of them may hold its runs for MaxLease.
func (o *Orchestrator) removeAfter() time.Duration {
	return max(10*o.Settings.ReportInterval, longestOnWorker(o.Settings.Lease)+o.silentAfter()) + o.longestLease()
}

// fallSilent marks a worker as silent whose granted leases have ended.
func (o *Orchestrator) fallSilent(s *session, now boottime.Instant) {
	s.silent = true
	s.queue = nil
	// A start that is carried out late has a lower fence than the next poll.
	s.generation, s.fenced = s.generation+1, false
	if len(s.orders) == 0 {
		return
	}
	o.Log.Info("A worker with runs is silent.", "worker", s.id, "born", s.incarnation, "runs", len(s.orders),
		"silent_ms", now.Sub(s.lastContact).Milliseconds(), "lease_ended_ms_ago", now.Sub(o.leaseEnd(s)).Milliseconds(),
		"own_fence_seen", s.formerLeasesEnd != 0, "former_leases_left_ms", max(s.formerLeasesEnd.Sub(now), 0).Milliseconds())
	o.workerLost(s, true, "silent")
	s.lossProposed = false // it may return, and be lost again
	for _, r := range s.orders {
		r.queued = false
		if r.phase == starting && r.sentAt != 0 {
			r.phase, r.reason = stopPending, reasonUnanswered
		}
	}
}

// releaseSilent releases the runs of a silent worker that can no longer be executing.
func (o *Orchestrator) releaseSilent(s *session, now boottime.Instant) {
	if len(s.orders) == 0 {
		return
	}
	var ended []*order
	kept := 0
	for _, r := range s.orders {
		if r.phase == released {
			continue
		}
		if end, known := o.endsBy(s, r); r.sentAt == 0 || known && now >= end {
			ended = append(ended, r)
		} else {
			kept++
		}
	}
	o.logGivenUp(s, ended, now)
	for _, r := range ended {
		o.release(r, "lease-ended")
	}
	if kept > 0 && s.keptRuns != kept {
		o.Log.Info("Runs of a silent worker can't be given up yet.", "worker", s.id, "born", s.incarnation, "runs", kept,
			"own_fence_seen", s.formerLeasesEnd != 0, "former_leases_left_ms", max(s.formerLeasesEnd.Sub(now), 0).Milliseconds())
	}
	s.keptRuns = kept
}

// logGivenUp logs that runs of a silent worker are given up.
func (o *Orchestrator) logGivenUp(s *session, runs []*order, now boottime.Instant) {
	if len(runs) > 0 {
		o.Log.Info("Gave up the runs of a silent worker.", "worker", s.id, "born", s.incarnation, "runs", len(runs),
			"silent_ms", now.Sub(s.lastContact).Milliseconds())
	}
}

// startInProgress reports whether the response to a start is outstanding.
func (s *session) startInProgress() bool {
	for _, r := range s.orders {
		if r.startPending {
			return true
		}
	}
	return false
}

// usable reports whether a worker may get tasks.
func (o *Orchestrator) usable(s *session, w *workload.Worker, now boottime.Instant) bool {
	return o.leadership.State().WorkerBlocked(w) == "" && o.responds(s, now)
}

// responds reports whether a worker would carry out a start, as far as its leader knows.
func (o *Orchestrator) responds(s *session, now boottime.Instant) bool {
	if s.silent || s.cordoned || s.removing || s.startsWithheld || s.otherIncarnation != 0 || s.disconnected || s.deregisteredAt != 0 || s.clock.reading == 0 || now < s.avoidUntil {
		return false
	}
	quiet := now.Sub(max(s.lastContact, s.lastReport))
	return quiet < time.Duration(maxMissedReports)*o.Settings.ReportInterval
}

// needsPoll reports whether the worker has to be polled: it has orders, runs that are not
// in the state or ends to acknowledge, its clock is not known, it was deregistered, its crash is
// presumed, or it might carry out a delayed order because it has not seen the present fencing token.
func (s *session) needsPoll(w *workload.Worker) bool {
	return len(s.orders) > 0 || len(s.unknownStoppedAt) > 0 || w.Acknowledged > s.acknowledged || s.clock.reading == 0 || s.deregisteredAt != 0 || s.presumedAt != 0 || !s.fenced
}

// commitWait is how long the next poll of a worker waits for the commit of the ends that it has
// listed. It is below ackWindow by what the poll takes to the worker's carrier.
const commitWait = 3 * minPollInterval

// awaitsCommit reports whether ends that the worker has listed are about to be committed. A poll
// that doesn't acknowledge them would return the same ends at once.
func (s *session) awaitsCommit(w *workload.Worker, now boottime.Instant) bool {
	return s.acknowledging && w.Acknowledged < s.lastProposedEnd && now.Sub(s.listedAt) < commitWait
}

// fullListInterval is the interval at which a worker's running runs are listed while some end. It is
// at most the age from which the progress of a run tells whether its worker is slow.
const fullListInterval = 250 * time.Millisecond

// endsSuffice reports whether the ends alone are needed of the next list that has some: the running
// runs were listed lately, and none is on trial, is paced or has to be stopped. In a load peak each
// end of a run comes with a list, most of which repeats what the leader knows.
func (o *Orchestrator) endsSuffice(s *session, now boottime.Instant) bool {
	usage := o.leadership.State().Usage(s.id)
	return s.listedAt != 0 && now.Sub(s.fullListAt) < fullListInterval && len(s.unknownStoppedAt) == 0 && usage != nil && usage.Suspects+usage.BestEffort+usage.LatencySensitive == 0
}

func (o *Orchestrator) maybePoll(s *session, w *workload.Worker, now boottime.Instant) {
	if s.polling || o.settling || now < s.nextPoll || !s.needsPoll(w) || s.awaitsCommit(w, now) || !o.leadershipConfirmed(now) {
		return
	}
	p := executor.Poll{Fence: o.fence(s), Wait: pollWait}
	if s.responsive && now.Sub(s.listedAt) < ackWindow {
		p.Acknowledged = w.Acknowledged
	}
	s.acknowledging = false
	if s.clock.reading > 0 && !s.silent {
		p.Lease = s.extendLease(now, o.Settings.Lease)
	}
	switch {
	case len(s.orders) == 0 && len(s.unknownStoppedAt) == 0 || !s.responsive:
		p.Wait = 0
	case o.hasSuspects(s):
		p.Wait = suspectPollWait
	case o.hasYoungRuns(s, now):
		p.Wait = youngRunPollWait
	}
	s.polling = true
	requestedAt, incarnation, wait := now, s.incarnation, o.callWaits.wait(s.unansweredCalls)
	o.relayClient.Do(relay.Call{Target: executor.Target{ID: s.id, Address: w.Address}, Poll: &p, EndsOnly: o.endsSuffice(s, now)}, now, p.Wait+wait, func(r relay.Response) {
		response, err := r.Poll, r.Err
		o.observeCall(s, "poll", wait, err)
		if s.incarnation != incarnation {
			response, err = executor.PollResponse{}, errFormerIncarnation
		}
		o.handlePollResponse(s, &p, &response, err, requestedAt, r.ReceivedAt)
	})
}
