package orchestrator

import (
	"syscall"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/control"
	"cactusspar/internal/scheduling"
)

// leaderLoad is what the leader has done since the last line about its load, and the longest
// time that work has waited for it.
type leaderLoad struct {
	since boottime.Instant
	// processor is the processor time that the process had used at since, lastTick the time
	// of the last tick.
	processor time.Duration
	lastTick  boottime.Instant
	// late is the longest delay of a tick, commit the longest time from the proposal of a
	// command until it was applied, start that from the commit of a run until its worker
	// responded, result that from a worker's list until it was processed, firstStart that
	// from the acceptance of a job until its first task was placed, round the longest placement
	// round, and platform the longest time until an order to the platform ended.
	late, commit, start, result, firstStart, round, platform time.Duration

	// parts is the time that each part of the ticks has taken.
	parts [tickParts]time.Duration
	// drainPlans is the number of plans of drains, drainVisits that of workers looked at for them.
	drainPlans, drainVisits int
	// traffic is the traffic of the process with its peers at since.
	traffic control.Traffic

	submissions, placed, ended, lists, rounds int
	// placedLate is the part of placed that belongs to late jobs.
	placedLate int
	// callsUnanswered is the number of calls to workers without a response, callsGivenUpEarly that of
	// those for which less than callTimeout was waited.
	callsUnanswered, callsGivenUpEarly int
	// calls is the number of calls of gateways, reads that of their reads of the topology.
	calls, reads int
}

// tickPart is a part of the leader's periodic work.
type tickPart int

// Parts of a tick.
const (
	tickCarriersPart tickPart = iota
	tickOccurrencesPart
	tickSessionsPart
	tickListPart
	tickWavesPart
	tickEvacuationsPart
	tickMovesPart
	tickPurgePart
	tickPlanPart
	tickParts
)

// timed runs a part of a tick and adds the time that it takes to the leader's load.
func (o *Orchestrator) timed(part tickPart, run func()) {
	began := time.Now()
	run()
	o.load.parts[part] += time.Since(began)
}

// leaderLoadInterval is the interval at which the load of the leader is logged.
const leaderLoadInterval = time.Second

// tickLoad logs the load of the leader once a second.
func (o *Orchestrator) tickLoad(now boottime.Instant) {
	l := &o.load
	if l.lastTick != 0 {
		l.late = max(l.late, now.Sub(l.lastTick)-tickInterval)
	}
	l.lastTick = now
	interval := now.Sub(l.since)
	if l.since != 0 && interval < leaderLoadInterval {
		return
	}
	used, err := processorTime()
	if err != nil {
		o.count("load_failures_total", "processor-time")
	}
	work, traffic := o.leadership.TakeLoopWork(), o.Replica.Traffic()
	if l.since != 0 {
		inFlight := 0
		for _, s := range o.sessions {
			inFlight += s.inFlight
		}
		o.Log.Info("Load of the leader.", "interval_ms", interval.Milliseconds(), "processor_ms", (used - l.processor).Milliseconds(),
			"tick_late_ms", l.late.Milliseconds(), "event_wait_ms", o.leadership.TakeLongestEventWait().Milliseconds(), "commit_ms", l.commit.Milliseconds(),
			"start_ms", l.start.Milliseconds(), "result_ms", l.result.Milliseconds(), "first_start_ms", l.firstStart.Milliseconds(),
			"round_ms", l.round.Milliseconds(), "platform_ms", l.platform.Milliseconds(), "step_delay_ms", o.stepDelay(now).Milliseconds(),
			"plan_ms", l.parts[tickPlanPart].Milliseconds(), "sessions_ms", l.parts[tickSessionsPart].Milliseconds(), "carriers_ms", l.parts[tickCarriersPart].Milliseconds(),
			"occurrences_ms", l.parts[tickOccurrencesPart].Milliseconds(), "list_ms", l.parts[tickListPart].Milliseconds(), "waves_ms", l.parts[tickWavesPart].Milliseconds(),
			"evacuations_ms", l.parts[tickEvacuationsPart].Milliseconds(), "moves_ms", l.parts[tickMovesPart].Milliseconds(), "purge_ms", l.parts[tickPurgePart].Milliseconds(),
			"drain_plans", l.drainPlans, "drain_visits", l.drainVisits, "events_ms", work.Events.Milliseconds(), "ticks_ms", work.Ticks.Milliseconds(),
			"propose_ms", work.Proposals.Milliseconds(), "save_ms", work.Saves.Milliseconds(), "apply_ms", work.Applies.Milliseconds(),
			"frames_in", traffic.FramesIn-l.traffic.FramesIn, "frames_out", traffic.FramesOut-l.traffic.FramesOut, "writes", traffic.Writes-l.traffic.Writes,
			"kb_in", (traffic.BytesIn-l.traffic.BytesIn)>>10, "kb_out", (traffic.BytesOut-l.traffic.BytesOut)>>10, "gateway_calls", l.calls, "reads", l.reads,
			"rounds", l.rounds, "submissions", l.submissions, "placed", l.placed, "placed_late", l.placedLate, "ended", l.ended, "lists", l.lists, "waiting", o.waitingTasks, "calls", inFlight,
			"direct_calls", o.relayClient.TakeDirectCalls(),
			"call_wait_ms", o.callWaits.last.Milliseconds(), "calls_unanswered", l.callsUnanswered, "calls_given_up_early", l.callsGivenUpEarly)
	}
	o.load = leaderLoad{since: now, processor: used, lastTick: now, traffic: traffic}
}

// leaderDelays holds the delays that the leader itself adds to each step of a job.
type leaderDelays struct {
	// round is the time from a change of the state to the next placement round, commit that
	// of a proposal, order that from the commit of a run to the response of its worker, and
	// result that from a worker's response until it is processed.
	round, commit, order, result scheduling.DelayMeter
}

// behindAfter is the delay of orders and results from which on the leader counts as behind. It
// is several times what their batches take.
const behindAfter = 120 * time.Millisecond

// stepDelay returns the delay that the leader adds to the next step of a job: its starts wait for
// a round and a commit, and are ordered; the step after it waits until its ends are processed and
// committed. While the leader is behind, the starts ahead tell how long orders will take: those
// that have ended have waited in a queue that may be gone.
func (o *Orchestrator) stepDelay(now boottime.Instant) time.Duration {
	queues := o.delays.order.Mean(now) + o.delays.result.Mean(now)
	if known := o.knownStartRate(now); known > 0 && queues >= behindAfter {
		queues = o.startsAhead(now, known)
	}
	return o.delays.round.Mean(now) + 2*o.delays.commit.Mean(now) + queues
}

// startsAhead returns how long the starts ahead take, given the rate known from when the leader
// was last behind.
func (o *Orchestrator) startsAhead(now boottime.Instant, known float64) time.Duration {
	return time.Duration(float64(o.ahead) / max(o.delays.order.Rate(now), known) * float64(time.Second))
}

// queueDelay returns for how long each step of a job that is accepted now will wait in the queues
// of the leader, or 0 while it is not behind: what rounds, commits and orders take at any load
// would not become less if jobs were refused. Once the rate is known that the leader reaches while
// it is behind, the number of tasks ahead tells the delay sooner than the starts that have ended.
func (o *Orchestrator) queueDelay(now boottime.Instant) time.Duration {
	delay, rate := o.delays.order.Mean(now)+o.delays.result.Mean(now), o.delays.order.Rate(now)
	if delay >= behindAfter && rate > 0 {
		o.startRate, o.startRateAt = rate, now
	}
	if known := o.knownStartRate(now); known > 0 {
		delay = o.startsAhead(now, known)
	}
	if delay < behindAfter {
		return 0
	}
	// Rounds and commits wait for the processor, too.
	return delay + o.delays.round.Mean(now) + 2*o.delays.commit.Mean(now)
}

// knownStartRate returns the rate of starts per second at which the leader was last behind, or 0
// if it has not been behind lately.
func (o *Orchestrator) knownStartRate(now boottime.Instant) float64 {
	if o.startRateAt == 0 || now.Sub(o.startRateAt) >= startRateValidity {
		return 0
	}
	return o.startRate
}

// startRateValidity is how long the rate at which the leader starts runs while it is behind is
// used to predict delays.
const startRateValidity = 10 * time.Second

// observeCommit records the time that a proposal has taken.
func (o *Orchestrator) observeCommit(proposedAt boottime.Instant) {
	now := boottime.Now()
	took := now.Sub(proposedAt)
	o.delays.commit.Add(now, took)
	o.load.commit = max(o.load.commit, took)
}

// observeStart records the time until a worker responded to a start for the first time. Starts
// whose first attempt had no response tell of the worker and not of the leader.
func (o *Orchestrator) observeStart(r *order, now boottime.Instant) {
	if r.committedAt == 0 {
		return
	}
	took := now.Sub(r.committedAt)
	o.load.start = max(o.load.start, took)
	if r.attempts == 1 {
		o.delays.order.Add(now, took)
	}
}

// observeResult records the time for which a worker's response has waited.
func (o *Orchestrator) observeResult(now, received boottime.Instant) {
	took := now.Sub(received)
	o.delays.result.Add(now, took)
	o.load.result = max(o.load.result, took)
}

// markDirty makes the next placement round come without delay.
func (o *Orchestrator) markDirty() {
	if !o.dirty {
		o.dirty, o.dirtySince = true, boottime.Now()
	}
}

// tickInterval is the interval at which the replica calls Tick.
const tickInterval = 20 * time.Millisecond

// processorTime returns the processor time that the process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
