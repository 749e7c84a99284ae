package dispatch

import (
	"math"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures that eject an endpoint.
	failuresToEject = 5
	// An ejection lasts minEjection, and twice as long with each failed trial.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// ejectionMemory is how long an endpoint has to work until its next
	// ejection is short again.
	ejectionMemory = time.Minute
	// maxEjectedPart is the largest part of a pool that is ejected, as a divisor.
	maxEjectedPart = 3
	// trialPatience is how long an ejected endpoint waits for an idempotent
	// trial request before any request is used.
	trialPatience = 5 * time.Second
	// failureWeight is the weight of one result in the failure rate.
	failureWeight = 0.1
	// failureHalfLife halves the failure rate of an endpoint that gets no work.
	failureHalfLife = 10 * time.Second
)

// health judges an endpoint by the results of its requests.
type health struct {
	consecutive int
	rate        float64
	rateAt      time.Duration
	ejected     bool
	// until is the end of the ejection; afterwards one trial at a time runs.
	until    time.Duration
	duration time.Duration
	returned time.Duration
	onTrial  bool
}

// trialDue tells whether the endpoint is ejected and may get a trial request.
func (h *health) trialDue(now time.Duration) bool {
	return h.ejected && now >= h.until && !h.onTrial
}

// failureRate returns the rate decayed to now.
func (h *health) failureRate(now time.Duration) float64 {
	if h.rate == 0 {
		return 0
	}
	return h.rate * math.Exp2(-float64(now-h.rateAt)/float64(failureHalfLife))
}

func (h *health) note(now time.Duration, failed bool) {
	h.rate = h.failureRate(now) * (1 - failureWeight)
	h.rateAt = now
	if failed {
		h.rate += failureWeight
		h.consecutive++
		return
	}
	h.consecutive = 0
}

func (h *health) eject(now time.Duration) {
	switch {
	case h.duration == 0, !h.ejected && now-h.returned >= ejectionMemory:
		h.duration = minEjection
	default:
		h.duration = min(2*h.duration, maxEjection)
	}
	h.ejected = true
	h.until = now + h.duration
}

// noteResult takes in how a request on an endpoint ended.
func (p *Pool) noteResult(now time.Duration, t *ticket, r Release) {
	e := t.endpoint
	isRefused := r.Grade == NotRun && !r.Failed && r.Took > 0
	if isRefused || r.Grade == Unknown {
		until := now + min(max(p.service.expected(), minHold), maxHold)
		e.hold(until)
		p.heldUntil = max(p.heldUntil, until)
	}
	switch {
	case r.Failed:
		e.health.note(now, true)
		p.judge(now, e, t.trial)
	case r.Grade == Answered:
		e.health.note(now, false)
		if e.health.ejected && t.trial {
			e.health.ejected = false
			e.health.returned = now
			e.joined = now
			p.opts.Count("endpoints-returned", "")
		}
	}
}

// judge ejects a failing endpoint unless too much of the pool is ejected.
func (p *Pool) judge(now time.Duration, e *endpoint, trial bool) {
	if e.health.ejected {
		if trial {
			e.health.eject(now)
		}
		return
	}
	if e.health.consecutive < failuresToEject {
		return
	}
	alive, ejected := 0, 0
	for _, other := range p.all {
		if !p.usable(now, other) {
			continue
		}
		alive++
		if other.health.ejected {
			ejected++
		}
	}
	if ejected+1 > alive/maxEjectedPart {
		p.opts.Count("ejections-withheld", "")
		return
	}
	e.health.eject(now)
	p.opts.Count("endpoints-ejected", "")
}
