package dispatch

import (
	"time"

	"cactusspar/internal/state"
)

const (
	// remotePenalty is the part of an endpoint's slots by which the own data
	// centre may be busier before requests spill over to another one.
	remotePenalty = 0.5
	// failurePenalty is the load that a failure rate of 1 counts as.
	failurePenalty = 2.0
)

// usable tells whether e may get work as far as the view and its announcements say.
func (p *Pool) usable(now time.Duration, e *endpoint) bool {
	return e.announced && !e.left && now < e.leaseEnd && e.committed &&
		e.instance.Condition == state.Active && e.instance.PoolEpoch == e.said.PoolEpoch
}

// free returns the number of slots of e that are open and not busy. An ejected
// endpoint has one when a trial is due.
func (p *Pool) free(now time.Duration, e *endpoint) int {
	if !p.usable(now, e) {
		return 0
	}
	free := e.open(now, p.view.Pool.Slots) - e.busy - e.foreign - e.heldSlots(now)
	if !e.health.ejected {
		return max(free, 0)
	}
	if e.health.trialDue(now) {
		return min(max(free, 0), 1)
	}
	return 0
}

// hasFreeSlot tells whether any endpoint has a free slot.
func (p *Pool) hasFreeSlot(now time.Duration) bool {
	for _, e := range p.all {
		if p.free(now, e) > 0 {
			return true
		}
	}
	return false
}

// capacity returns the number of slots that the pool can use, busy or not.
func (p *Pool) capacity(now time.Duration) int {
	n := 0
	for _, e := range p.all {
		if p.usable(now, e) && !e.health.ejected {
			n += max(e.open(now, p.view.Pool.Slots)-e.foreign, 0)
		}
	}
	return n
}

// selectEndpoint returns the endpoint for r, or nil if r has to wait.
func (p *Pool) selectEndpoint(now time.Duration, r *request) *endpoint {
	avoid := p.avoidable(now, r)
	var best *endpoint
	var bestLoad float64
	ties := 0
	for _, e := range p.all {
		if p.free(now, e) == 0 || e == avoid || !e.connectable(now, r.from, p.view.Pool.Connections) {
			continue
		}
		if e.health.ejected {
			if r.a.Idempotent || now-e.health.until >= trialPatience {
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

// load returns how busy e would be with one more request.
func (p *Pool) load(now time.Duration, e *endpoint, dataCentre string) float64 {
	slots := max(e.open(now, p.view.Pool.Slots), 1)
	load := float64(e.busy+e.foreign+1) / float64(slots)
	if e.instance.DataCentre != dataCentre {
		load += remotePenalty
	}
	return load + failurePenalty*e.health.failureRate(now)
}

// avoidable returns the endpoint that r must not go to: the one of its last
// attempt, if another one is usable.
func (p *Pool) avoidable(now time.Duration, r *request) *endpoint {
	if r.a.Avoid == "" {
		return nil
	}
	for _, e := range p.all {
		if e.id != r.a.Avoid && p.usable(now, e) && !e.health.ejected {
			return p.byID[r.a.Avoid]
		}
	}
	return nil
}
