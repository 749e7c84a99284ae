package dispatch

import (
	"fmt"
	"time"
)

// Names of the invariants that are checked at each ticket and by recounting.
const (
	InvariantSlots    = "endpoint-slots"
	InvariantGrant    = "team-grant"
	InvariantEpoch    = "assignment-epoch"
	InvariantIdentity = "request-identity"
	InvariantCount    = "recount"
)

// forbidden returns the invariant that a ticket of e for r would break.
func (p *Pool) forbidden(now time.Duration, r *request, e *endpoint) *Violation {
	switch {
	case p.phase != serving || p.view.Assignment.Dispatcher != p.opts.Entry || p.view.Assignment.Epoch != p.epoch:
		return &Violation{InvariantEpoch, fmt.Sprintf("request %q: epoch %d, assignment has epoch %d for %q",
			r.a.Request, p.epoch, p.view.Assignment.Epoch, p.view.Assignment.Dispatcher)}
	case e.busy+e.foreign+1 > e.slots(p.view.Pool.Slots) || !p.usable(now, e):
		return &Violation{InvariantSlots, fmt.Sprintf("endpoint %q: %d tickets and %d others on %d slots, usable %t",
			e.id, e.busy, e.foreign, e.slots(p.view.Pool.Slots), p.usable(now, e))}
	case r.team.name != "" && r.team.running+1 > p.view.Grants[r.team.name]:
		return &Violation{InvariantGrant, fmt.Sprintf("team %q: %d running, granted %d",
			r.team.name, r.team.running, p.view.Grants[r.team.name])}
	case identified(&r.a) && (r.rec == nil || r.rec.ticket != nil || r.rec.grade != "" || p.records.byID[r.rec.id] != r.rec):
		return &Violation{InvariantIdentity, fmt.Sprintf("request %q: its identity is running, ended or not recorded", r.a.Request)}
	}
	return nil
}

func (p *Pool) violated(v Violation) {
	p.opts.Count("violations", v.Invariant)
	p.opts.Violated(v)
}

// verify recounts what is counted incrementally, from the table of tickets.
func (p *Pool) verify() {
	busy := map[*endpoint]int{}
	running := map[string]int{}
	for _, t := range p.tickets.byKey {
		if !t.lingers {
			busy[t.endpoint]++
		}
		if !t.inherited && t.key.epoch == p.epoch {
			running[t.team]++
		}
	}
	for _, e := range p.all {
		if e.busy != busy[e] {
			p.violated(Violation{InvariantCount, fmt.Sprintf("endpoint %q: %d tickets counted, %d in use", e.id, e.busy, busy[e])})
		}
	}
	for name, t := range p.teams {
		if t.running != running[name] {
			p.violated(Violation{InvariantCount, fmt.Sprintf("team %q: %d running counted, %d in use", name, t.running, running[name])})
		}
	}
}
