package dispatch

import (
	"time"

	"cactusspar/internal/state"
)

const (
	// leaseDuration is how long an announcement is valid.
	leaseDuration = 3 * time.Second
	// transitionGrace is how long an instance may take to announce itself after the
	// view has changed its condition, pool or pool epoch.
	transitionGrace = 2 * leaseDuration
	// endpointRetention is how long an endpoint that isn't in the view is kept after
	// its lease, so that a late announcement doesn't bring it back.
	endpointRetention = time.Minute
	// maxEndpoints and maxSlots bound what announcements can add.
	maxEndpoints = 4096
	maxSlots     = 4096
	// maxRunGap is the longest time between two lease checks after which expired
	// leases are still trusted. After a longer gap, this process may have been
	// suspended and have missed the announcements itself.
	maxRunGap = time.Second
	// announcementDelay bounds the time from when an endpoint reads its own state
	// until the announcement is received.
	announcementDelay = 100 * time.Millisecond
)

// Announce applies announcements of endpoints.
func (p *Pool) Announce(now time.Duration, items []Announcement) {
	for i := range items {
		if reason := p.announce(now, &items[i]); reason != "" {
			p.opts.Count("announcements-ignored", reason)
		}
	}
}

// announce applies a. If it ignores a, it returns the reason.
func (p *Pool) announce(now time.Duration, a *Announcement) string {
	switch {
	case a.Pool != p.opts.Name:
		return "other-pool"
	case a.ID == "" || a.Running < 0 || a.Slots < 0 || a.Slots > maxSlots || a.Age < 0:
		return "malformed"
	case a.Age >= leaseDuration && !a.Leaving:
		return "late"
	}
	e := p.endpoint(a.ID)
	if e == nil {
		return "too-many"
	}
	if e.announced && e.supersedes(a) {
		return "stale"
	}
	if a.Leaving && a.Sequence == 0 && e.announced {
		p.deregister(e)
		return ""
	}
	announcedAt := now - a.Age
	isNew := !e.announced || a.Incarnation != e.latest.Incarnation || e.leaving || now >= e.leaseEnd
	if e.announced && a.Incarnation != e.latest.Incarnation {
		e.health = health{}
		e.interrupted = true
	}
	if isNew && now-p.startedAt >= slowStartGrace {
		e.slowStartAt = now
	}
	e.latest, e.announced = *a, true
	e.announcedAt, e.leaseEnd = announcedAt, announcedAt+leaseDuration
	e.leaving = a.Leaving
	e.updateUnattributed(now)
	return ""
}

// supersedes reports whether the latest announcement of e is as new as a or newer.
// A deregistration without a sequence number applies to its whole incarnation.
func (e *endpoint) supersedes(a *Announcement) bool {
	if a.Incarnation != e.latest.Incarnation {
		return a.Incarnation < e.latest.Incarnation
	}
	if a.Leaving && a.Sequence == 0 {
		return false
	}
	return a.Sequence <= e.latest.Sequence
}

func (p *Pool) deregister(e *endpoint) {
	e.leaving = true
	e.latest.Leaving = true
	e.latest.Sequence = ^uint64(0)
}

// updateUnattributed counts the busy slots that no recent ticket explains.
func (e *endpoint) updateUnattributed(now time.Duration) {
	e.unattributed = max(e.latest.Running-e.recentBusy.max(now, e.busy), 0)
}

// endpoint returns the endpoint with the given id, adding it if needed. It returns
// nil if there are too many.
func (p *Pool) endpoint(id string) *endpoint {
	if e := p.byID[id]; e != nil {
		return e
	}
	if len(p.byID) >= maxEndpoints {
		return nil
	}
	// No slow start is in progress until an announcement begins one.
	e := &endpoint{id: id, slowStartAt: -slowStartDuration, holders: map[string]*holder{}}
	p.byID[id] = e
	p.endpoints = append(p.endpoints, e)
	return e
}

// applyInstances applies the pool's instances in the view.
func (p *Pool) applyInstances(now time.Duration) {
	wasCommitted := make(map[*endpoint]bool, len(p.endpoints))
	for _, e := range p.endpoints {
		wasCommitted[e] = e.committed
		e.committed = false
	}
	for _, in := range p.view.Instances {
		if in.Pool != p.opts.Name {
			continue
		}
		e := p.endpoint(in.ID)
		if e == nil {
			continue
		}
		if !wasCommitted[e] || e.instance.Condition != in.Condition || e.instance.PoolEpoch != in.PoolEpoch {
			e.conditionSince = now
			e.interrupted = false
		}
		e.committed = true
		e.instance = in
	}
}

// checkLeases marks endpoints with expired leases as interrupted and removes unused
// ones.
func (p *Pool) checkLeases(now time.Duration) {
	if now-p.lastLeaseCheck > maxRunGap {
		p.observingSince = now
	}
	p.lastLeaseCheck = now
	kept := p.endpoints[:0]
	for _, e := range p.endpoints {
		if !e.alive(now) && now-p.observingSince >= leaseDuration {
			e.interrupted = true
		}
		e.removeIdleHolders(now)
		if !e.committed && e.busy == 0 && now >= e.leaseEnd+endpointRetention {
			delete(p.byID, e.id)
			continue
		}
		kept = append(kept, e)
	}
	clear(p.endpoints[len(kept):])
	p.endpoints = kept
}

// alive reports whether the endpoint's last announcement is still valid.
func (e *endpoint) alive(now time.Duration) bool { return e.announced && now < e.leaseEnd }

// LostAndReturned returns the instances whose announcements stopped although the view
// has them as active or draining, and those that announce themselves again although
// the view has them as lost or rebooting.
func (p *Pool) LostAndReturned(now time.Duration) (lost, returned []string) {
	if p.phase == retired {
		return nil, nil
	}
	// After a pause, this process may have missed the announcements itself.
	observed := now-p.lastLeaseCheck <= maxRunGap && now-p.observingSince >= leaseDuration
	for _, e := range p.endpoints {
		if !e.committed {
			continue
		}
		alive := e.alive(now)
		switch e.instance.Condition {
		case state.Active, state.Draining:
			if observed && !alive && e.interrupted && now-e.conditionSince >= transitionGrace {
				lost = append(lost, e.id)
			}
		case state.Lost:
			if alive && !e.leaving {
				returned = append(returned, e.id)
			}
		case state.Rebooting:
			if alive && !e.leaving && e.interrupted && e.announcedAt > e.conditionSince {
				returned = append(returned, e.id)
			}
		}
	}
	return lost, returned
}

// Drained returns the draining instances without work. An instance is included only
// after it has announced itself as idle since its last ticket ended.
func (p *Pool) Drained(now time.Duration) []string {
	if p.phase != serving {
		return nil
	}
	var drained []string
	for _, e := range p.endpoints {
		idleSince := max(e.conditionSince, e.lastRelease) + announcementDelay
		if e.committed && e.instance.Condition == state.Draining && e.alive(now) &&
			e.busy == 0 && e.latest.Running == 0 && e.announcedAt > idleSince {
			drained = append(drained, e.id)
		}
	}
	return drained
}
