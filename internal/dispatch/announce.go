package dispatch

import (
	"time"

	"cactusspar/internal/state"
)

const (
	// leaseDuration is how long an announcement counts.
	leaseDuration = 3 * time.Second
	// moveTime is how long an instance may take to announce itself under a
	// condition, pool or pool epoch that the view has just given it.
	moveTime = 2 * leaseDuration
	// forgetEndpoint is how long an endpoint that the view doesn't know is kept
	// after its lease, so that a late announcement doesn't bring it back.
	forgetEndpoint = time.Minute
	// maxEndpoints and maxSlots bound what announcements may claim.
	maxEndpoints = 4096
	maxSlots     = 4096
	// maxSilence is the longest time between two runs of the pool after which
	// the ends of leases still mean something; a frozen process missed the
	// announcements itself.
	maxSilence = time.Second
	// announcementDelay bounds the time from an endpoint's reading of its own
	// state until the announcement is received.
	announcementDelay = 100 * time.Millisecond
)

// Announce takes in announcements of endpoints.
func (p *Pool) Announce(now time.Duration, items []Announcement) {
	for i := range items {
		if reason := p.announce(now, &items[i]); reason != "" {
			p.opts.Count("announcements-ignored", reason)
		}
	}
}

// announce returns why a was ignored, or nothing.
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
	heardAt := now - a.Age
	isNew := !e.announced || a.Incarnation != e.said.Incarnation || e.left || now >= e.leaseEnd
	if e.announced && a.Incarnation != e.said.Incarnation {
		e.health = health{}
		e.silent = true
	}
	if isNew && now-p.started >= settleTime {
		e.joined = now
	}
	e.said, e.announced = *a, true
	e.heardAt, e.leaseEnd = heardAt, heardAt+leaseDuration
	e.left = a.Leaving
	e.countForeign(now)
	return ""
}

// supersedes tells whether e has announced something newer than a. A
// deregistration without a sequence number ends its incarnation.
func (e *endpoint) supersedes(a *Announcement) bool {
	if a.Incarnation != e.said.Incarnation {
		return a.Incarnation < e.said.Incarnation
	}
	if a.Leaving && a.Sequence == 0 {
		return false
	}
	return a.Sequence <= e.said.Sequence
}

func (p *Pool) deregister(e *endpoint) {
	e.left = true
	e.said.Leaving = true
	e.said.Sequence = ^uint64(0)
}

// countForeign counts the busy slots that no ticket of the last moments explains.
func (e *endpoint) countForeign(now time.Duration) {
	e.foreign = max(e.said.Running-e.recent.max(now, e.busy), 0)
}

// endpoint returns the endpoint of that id, adding it if needed. It returns
// nil if there are too many.
func (p *Pool) endpoint(id string) *endpoint {
	if e := p.byID[id]; e != nil {
		return e
	}
	if len(p.byID) >= maxEndpoints {
		return nil
	}
	// Before the first announcement, an endpoint counts as settled.
	e := &endpoint{id: id, joined: -slowStart, holders: map[string]*holder{}}
	p.byID[id] = e
	p.all = append(p.all, e)
	return e
}

// applyInstances takes over which instances the view has for the pool.
func (p *Pool) applyInstances(now time.Duration) {
	was := make(map[*endpoint]bool, len(p.all))
	for _, e := range p.all {
		was[e] = e.committed
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
		if !was[e] || e.instance.Condition != in.Condition || e.instance.PoolEpoch != in.PoolEpoch {
			e.conditionAt = now
			e.silent = false
		}
		e.committed = true
		e.instance = in
	}
}

// watchLeases notes ended leases and forgets endpoints without use.
func (p *Pool) watchLeases(now time.Duration) {
	if now-p.ran > maxSilence {
		p.listening = now
	}
	p.ran = now
	kept := p.all[:0]
	for _, e := range p.all {
		if !e.alive(now) && now-p.listening >= leaseDuration {
			e.silent = true
		}
		e.dropHolders(now)
		if !e.committed && e.busy == 0 && now >= e.leaseEnd+forgetEndpoint {
			delete(p.byID, e.id)
			continue
		}
		kept = append(kept, e)
	}
	clear(p.all[len(kept):])
	p.all = kept
}

// alive tells whether the endpoint announces itself.
func (e *endpoint) alive(now time.Duration) bool { return e.announced && now < e.leaseEnd }

// LostAndBack returns the instances whose announcements ended although the
// view counts them as present, and those that came back although it doesn't.
func (p *Pool) LostAndBack(now time.Duration) (lost, back []string) {
	if p.phase == retired {
		return nil, nil
	}
	for _, e := range p.all {
		if !e.committed {
			continue
		}
		alive := e.alive(now)
		switch e.instance.Condition {
		case state.Active, state.Draining:
			if !alive && e.silent && now-e.conditionAt >= moveTime {
				lost = append(lost, e.id)
			}
		case state.Lost:
			if alive && !e.left {
				back = append(back, e.id)
			}
		case state.Rebooting:
			if alive && !e.left && e.silent && e.heardAt > e.conditionAt {
				back = append(back, e.id)
			}
		}
	}
	return lost, back
}

// Drained returns the draining instances without work. An instance counts only
// once it has said so itself after its last ticket ended.
func (p *Pool) Drained(now time.Duration) []string {
	if p.phase != serving {
		return nil
	}
	var drained []string
	for _, e := range p.all {
		idleSince := max(e.conditionAt, e.lastRelease) + announcementDelay
		if e.committed && e.instance.Condition == state.Draining && e.alive(now) &&
			e.busy == 0 && e.said.Running == 0 && e.heardAt > idleSince {
			drained = append(drained, e.id)
		}
	}
	return drained
}
