package dispatch

import (
	"math"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures that ejects an endpoint.
	failuresToEject = 5
	// An ejection lasts minEjection at first. Each failed trial, and each ejection
	// within ejectionResetAfter of the reinstatement, doubles it up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// ejectionResetAfter is the time since its reinstatement after which the next
	// ejection of an endpoint lasts minEjection again.
	ejectionResetAfter = time.Minute
	// maxEjectedDivisor limits the ejected endpoints to one in this many usable ones.
	maxEjectedDivisor = 3
	// idempotentTrialWindow is how long after an ejection only idempotent requests
	// are used as trials; afterwards any request is.
	idempotentTrialWindow = 5 * time.Second
	// failureWeight is the weight of one result in the failure rate.
	failureWeight = 0.1
	// failureHalfLife is the half-life of the failure rate without new results.
	failureHalfLife = 10 * time.Second
)

// health is the outlier detection of an endpoint, based on the results of its
// requests.
type health struct {
	consecutive int
	rate        float64
	rateAt      time.Duration
	ejected     bool
	// ejectedUntil is the end of the ejection; afterwards one trial at a time runs.
	ejectedUntil time.Duration
	ejectionTime time.Duration
	reinstatedAt time.Duration
	trialRunning bool
}

// trialDue reports whether the endpoint is ejected and may get a trial request.
func (h *health) trialDue(now time.Duration) bool {
	return h.ejected && now >= h.ejectedUntil && !h.trialRunning
}

// failureRate returns the failure rate, decayed to now.
func (h *health) failureRate(now time.Duration) float64 {
	if h.rate == 0 {
		return 0
	}
	return h.rate * math.Exp2(-float64(now-h.rateAt)/float64(failureHalfLife))
}

func (h *health) observe(now time.Duration, failed bool) {
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
	case h.ejectionTime == 0, !h.ejected && now-h.reinstatedAt >= ejectionResetAfter:
		h.ejectionTime = minEjection
	default:
		h.ejectionTime = min(2*h.ejectionTime, maxEjection)
	}
	h.ejected = true
	h.ejectedUntil = now + h.ejectionTime
}

// observeResult updates the health and the held slots of an endpoint with the
// result of a request.
func (p *Pool) observeResult(now time.Duration, t *ticket, r ReleaseRequest) {
	e := t.endpoint
	isRefused := r.Outcome == OutcomeNotRun && !r.Failed && r.Duration > 0
	if isRefused || r.Outcome == OutcomeUnknown {
		until := now + min(max(p.serviceTime.meanDuration(), minHold), maxHold)
		e.holdSlot(until)
		p.heldUntil = max(p.heldUntil, until)
	}
	switch {
	case r.Failed:
		e.health.observe(now, true)
		p.ejectIfFailing(now, e, t.trial)
	case r.Outcome == OutcomeAnswered:
		e.health.observe(now, false)
		if e.health.ejected && t.trial {
			e.health.ejected = false
			e.health.reinstatedAt = now
			e.slowStartAt = now
			p.opts.Count("endpoints-returned", "")
		}
	}
}

// ejectIfFailing ejects a failing endpoint unless too many of the pool's endpoints
// are ejected already.
func (p *Pool) ejectIfFailing(now time.Duration, e *endpoint, trial bool) {
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
	for _, other := range p.endpoints {
		if !p.usable(now, other) {
			continue
		}
		alive++
		if other.health.ejected {
			ejected++
		}
	}
	if ejected+1 > alive/maxEjectedDivisor {
		p.opts.Count("ejections-withheld", "")
		return
	}
	e.health.eject(now)
	p.opts.Count("endpoints-ejected", "")
}
