package orchestrator

import (
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/relay"
	"cactusspar/internal/workload"
)

// A start that is repeated must meet the incarnation that got the first attempt: a later one has
// seen no fencing token and would accept it. A list of the worker's runs names its incarnation. The
// pending poll may wait for a run to end, so that the list is requested by a poll of its own.

const (
	// probeInterval is the interval between two probes of a worker.
	probeInterval = orderRetryDelay
	// maxProbes bounds the probes of a worker in progress.
	maxProbes = 3
	// listValidity is how long after its request a list shows that the worker hasn't restarted. A
	// restart takes 200 ms, of which the repetition needs the rest.
	listValidity = 120 * time.Millisecond
)

// aliveSince reports whether the incarnation of the session has listed its runs after an instant,
// and so lately that no other one can have taken its place.
func (s *session) aliveSince(at, now boottime.Instant) bool {
	return s.aliveAt > at && now.Sub(s.aliveAt) < listValidity
}

// probe requests a list of the worker's runs that shows whether it is still the same incarnation.
func (o *Orchestrator) probe(s *session, w *workload.Worker, now boottime.Instant) {
	if s.probes >= maxProbes || now.Sub(s.probedAt) < probeInterval || !o.leadershipConfirmed(now) {
		return
	}
	s.probes++
	s.probedAt = now
	incarnation, wait := s.incarnation, o.callWaits.wait(s.unansweredCalls)
	call := relay.Call{Target: executor.Target{ID: s.id, Address: w.Address}, Poll: &executor.Poll{Fence: o.fence(s)}}
	o.relayClient.Do(call, now, wait, func(r relay.Response) {
		o.observeCall(s, "probe", wait, r.Err)
		if o.sessions[s.id] != s || s.incarnation != incarnation {
			return
		}
		s.probes--
		o.handleProbe(s, call.Poll, &r, now)
	})
}

func (o *Orchestrator) handleProbe(s *session, p *executor.Poll, r *relay.Response, requestedAt boottime.Instant) {
	switch {
	case r.Err != nil:
		o.count("worker_call_failures_total", "probe")
		return
	case r.Poll.Incarnation != 0 && r.Poll.Incarnation != s.incarnation:
		o.otherIncarnationListed(s, p, &r.Poll, requestedAt, r.ReceivedAt)
		return
	}
	s.contacted(requestedAt)
	s.aliveAt = max(s.aliveAt, requestedAt)
	for i := range r.Poll.Running {
		run := &r.Poll.Running[i]
		if ord := s.orders[workload.RunID{Task: run.Task, Number: run.Run}]; ord != nil && ord.phase == starting {
			ord.phase, ord.confirmedAt = running, r.ReceivedAt
		}
	}
	// What follows the list at once can't meet a later incarnation.
	now := boottime.Now()
	for _, ord := range s.orders {
		if ord.phase == starting && ord.attempts > 0 && now >= ord.attemptedAt.Add(orderRetryDelay) {
			o.enqueue(s, ord)
		}
	}
	o.sendQueued(s, s.worker, now)
}
