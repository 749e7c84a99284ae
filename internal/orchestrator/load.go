package orchestrator

import (
	"syscall"
	"time"

	"cactusspar/internal/boottime"
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
	// responded or the call ended, result that from a worker's list until it was processed,
	// and firstStart that from the acceptance of a job until its first task was placed.
	late, commit, start, result, firstStart, round time.Duration

	submissions, placed, ended, lists, rounds int
}

// leaderLoadInterval is the interval at which the load of the leader is logged.
const leaderLoadInterval = time.Second

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
	if l.since != 0 {
		inFlight := 0
		for _, s := range o.sessions {
			inFlight += s.inFlight
		}
		o.Log.Info("Load of the leader.", "interval_ms", interval.Milliseconds(), "processor_ms", (used - l.processor).Milliseconds(),
			"tick_late_ms", l.late.Milliseconds(), "event_wait_ms", o.leadership.TakeLongestEventWait().Milliseconds(), "commit_ms", l.commit.Milliseconds(),
			"start_ms", l.start.Milliseconds(), "result_ms", l.result.Milliseconds(), "first_start_ms", l.firstStart.Milliseconds(), "round_ms", l.round.Milliseconds(),
			"rounds", l.rounds, "submissions", l.submissions, "placed", l.placed, "ended", l.ended, "lists", l.lists, "waiting", o.waitingTasks, "calls", inFlight)
	}
	o.load = leaderLoad{since: now, processor: used, lastTick: now}
}

// observeCommit records the time that a proposal has taken.
func (o *Orchestrator) observeCommit(proposedAt boottime.Instant) {
	o.load.commit = max(o.load.commit, boottime.Now().Sub(proposedAt))
}

// observeStart records the time until a worker responded to a start for the first time.
func (o *Orchestrator) observeStart(r *order, now boottime.Instant) {
	if r.committedAt != 0 {
		o.load.start = max(o.load.start, now.Sub(r.committedAt))
	}
}

// observeResult records the time for which a worker's response has waited.
func (o *Orchestrator) observeResult(now, received boottime.Instant) {
	o.load.result = max(o.load.result, now.Sub(received))
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
