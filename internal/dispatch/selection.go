package dispatch

import (
	"time"

	"cactusspar/internal/state"
)

const (
	// remotePenalty is the load added to endpoints outside the request's data
	// centre: requests spill over to another one when the load of their own is
	// higher by this part of the slots.
	remotePenalty = 0.5
	// failurePenalty is the load added for a failure rate of 1.
	failurePenalty = 2.0
)

// usable reports whether e may get work according to the view and its announcements.
func (p *Pool) usable(now time.Duration, e *endpoint) bool {
	return e.announced && !e.leaving && now < e.leaseEnd && e.committed &&
		e.instance.Condition == state.Active && e.instance.PoolEpoch == e.latest.PoolEpoch
}

// freeSlots returns the number of slots of e that are open and neither busy nor
// held. An ejected endpoint has at most one, when a trial is due.
func (p *Pool) freeSlots(now time.Duration, e *endpoint) int {
	if !p.usable(now, e) {
		return 0
	}
	free := e.openSlots(now, p.view.Pool.Slots) - e.busy - e.unattributed - e.holdCount(now)
	if !e.health.ejected {
		return max(free, 0)
	}
	if e.health.trialDue(now) {
		return min(max(free, 0), 1)
	}
	return 0
}

// hasFreeSlot reports whether any endpoint has a free slot.
func (p *Pool) hasFreeSlot(now time.Duration) bool {
	for _, e := range p.endpoints {
		if p.freeSlots(now, e) > 0 {
			return true
		}
	}
	return false
}

// capacity returns the number of slots that the pool can use, busy or not.
func (p *Pool) capacity(now time.Duration) int {
	n := 0
	for _, e := range p.endpoints {
		if p.usable(now, e) && !e.health.ejected {
			n += max(e.openSlots(now, p.view.Pool.Slots)-e.unattributed, 0)
		}
	}
	return n
}

// selectEndpoint returns the least loaded endpoint for r, an ejected one that is due
// for a trial, or nil if r has to wait.
func (p *Pool) selectEndpoint(now time.Duration, r *request) *endpoint {
	avoid := p.endpointToAvoid(now, r)
	var best *endpoint
	var bestLoad float64
	ties := 0
	for _, e := range p.endpoints {
		if p.freeSlots(now, e) == 0 || e == avoid || !e.allowsConnection(now, r.from, p.view.Pool.Connections) {
			continue
		}
		if e.health.ejected {
			if r.a.Idempotent || now-e.health.ejectedUntil >= idempotentTrialWindow {
				return e
			}
			continue
		}
		load := p.load(now, e, r.a.DataCentre)
		switch {
		case best == nil || load < bestLoad:
			best, bestLoad, ties = e, load, 1
		case load == bestLoad:
			ties++
			if p.opts.Random.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// load returns the load of e with one more request, including penalties.
func (p *Pool) load(now time.Duration, e *endpoint, dataCentre string) float64 {
	slots := max(e.openSlots(now, p.view.Pool.Slots), 1)
	load := float64(e.busy+e.unattributed+1) / float64(slots)
	if e.instance.DataCentre != dataCentre {
		load += remotePenalty
	}
	return load + failurePenalty*e.health.failureRate(now)
}

// endpointToAvoid returns the endpoint of r's previous attempt if another one is
// usable, or nil.
func (p *Pool) endpointToAvoid(now time.Duration, r *request) *endpoint {
	if r.a.Avoid == "" {
		return nil
	}
	for _, e := range p.endpoints {
		if e.id != r.a.Avoid && p.usable(now, e) && !e.health.ejected {
			return p.byID[r.a.Avoid]
		}
	}
	return nil
}
