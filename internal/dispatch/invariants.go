package dispatch

import (
	"fmt"
	"time"
)

// Invariants that are checked before a ticket is issued, or by recounting.
const (
	InvariantSlots    = "endpoint-slots"
	InvariantGrant    = "team-grant"
	InvariantEpoch    = "assignment-epoch"
	InvariantIdentity = "request-identity"
	InvariantCount    = "recount"
)

// brokenInvariant returns the invariant that a ticket of e for r would break, or nil.
func (p *Pool) brokenInvariant(now time.Duration, r *request, e *endpoint) *Violation {
	switch {
	case p.phase != serving || p.view.Assignment.Dispatcher != p.opts.Entry || p.view.Assignment.Epoch != p.epoch:
		return &Violation{InvariantEpoch, fmt.Sprintf("request %q: epoch %d, assignment has epoch %d for %q",
			r.a.Request, p.epoch, p.view.Assignment.Epoch, p.view.Assignment.Dispatcher)}
	case e.busy+e.unattributed+1 > e.slots(p.view.Pool.Slots) || !p.usable(now, e):
		return &Violation{InvariantSlots, fmt.Sprintf("endpoint %q: %d tickets and %d others on %d slots, usable %t",
			e.id, e.busy, e.unattributed, e.slots(p.view.Pool.Slots), p.usable(now, e))}
	case r.team.name != "" && r.team.running+1 > p.view.Grants[r.team.name]:
		return &Violation{InvariantGrant, fmt.Sprintf("team %q: %d running, granted %d",
			r.team.name, r.team.running, p.view.Grants[r.team.name])}
	case needsRecord(&r.a) && (r.rec == nil || r.rec.ticket != nil || r.rec.outcome != "" || p.records.byID[r.rec.id] != r.rec):
		return &Violation{InvariantIdentity, fmt.Sprintf("request %q: its identity is running, ended or not recorded", r.a.Request)}
	}
	return nil
}

func (p *Pool) reportViolation(v Violation) {
	p.opts.Count("violations", v.Invariant)
	p.opts.Violated(v)
}

// verifyCounters recounts the incremental counters from the table of tickets.
func (p *Pool) verifyCounters() {
	busy := map[*endpoint]int{}
	running := map[string]int{}
	for _, t := range p.tickets.byKey {
		if !t.lingering {
			busy[t.endpoint]++
		}
		if !t.inherited && t.key.epoch == p.epoch {
			running[t.team]++
		}
	}
	for _, e := range p.endpoints {
		if e.busy != busy[e] {
			p.reportViolation(Violation{InvariantCount, fmt.Sprintf("endpoint %q: %d tickets counted, %d in use", e.id, e.busy, busy[e])})
		}
	}
	for name, t := range p.teams {
		if t.running != running[name] {
			p.reportViolation(Violation{InvariantCount, fmt.Sprintf("team %q: %d running counted, %d in use", name, t.running, running[name])})
		}
	}
}
