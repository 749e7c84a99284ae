package dispatch

import "time"

// releaseGrace is how long a ticket counts beyond its deadline, so that a
// release sent at the deadline still arrives for it.
const releaseGrace = 250 * time.Millisecond

// maxTicketsInherited bounds the tickets taken over from one entry instance.
const maxTicketsInherited = 65536

type ticketKey struct{ epoch, id uint64 }

// ticket is a slot of an endpoint in use.
type ticket struct {
	key     ticketKey
	request string
	team    string
	from    string
	// incarnation is that of the holder, as far as the view had it.
	incarnation uint64
	endpoint    *endpoint
	given       time.Duration
	deadline    time.Duration
	expected    time.Duration // slot time booked in the fair queue
	rec         *record
	// inherited tickets were given by an earlier dispatcher. They occupy slots,
	// and count against the grant of the earlier epoch, not the own one.
	inherited bool
	trial     bool
	// lingers tells that the holder gave the ticket back without knowing the
	// result. The work may go on until the deadline, so that it counts against
	// the team's limit until then; the slot is free for others, because the
	// endpoint refuses what it has no room for.
	lingers bool
	place   int
}

type ticketTable struct {
	byKey map[ticketKey]*ticket
	ends  indexedHeap[*ticket]
	last  uint64
}

// newTicketTable starts the ticket ids at a random number, so that those of a
// restarted process differ from the ones before under the same epoch.
func newTicketTable(first uint64) ticketTable {
	return ticketTable{
		byKey: map[ticketKey]*ticket{},
		ends: indexedHeap[*ticket]{
			less:  func(a, b *ticket) bool { return a.deadline < b.deadline },
			place: func(t *ticket) *int { return &t.place },
		},
		last: first,
	}
}

func (tt *ticketTable) add(t *ticket) {
	tt.byKey[t.key] = t
	tt.ends.push(t)
}

func (tt *ticketTable) remove(t *ticket) {
	delete(tt.byKey, t.key)
	tt.ends.remove(t)
}

// give answers r with a ticket for e. It reports false if an invariant forbids
// it; r is then still waiting or has been refused.
func (p *Pool) give(now time.Duration, r *request, e *endpoint) bool {
	if !p.opts.Fresh() {
		p.refuseWaiting(now, r, refuse(CodeIsolated, time.Second, "the dispatcher's view is older than the freshness bound"))
		return true
	}
	if v := p.forbidden(now, r, e); v != nil {
		p.violated(*v)
		return false
	}
	p.tickets.last++
	t := &ticket{
		key:     ticketKey{p.epoch, p.tickets.last},
		request: r.a.Request, team: r.team.name, from: r.from, endpoint: e, incarnation: p.view.Entries[r.from].Incarnation,
		given: now, deadline: r.deadline + releaseGrace,
		expected: max(p.serviceOf(r.team).expected(), unknownServiceCost),
		rec:      r.rec, trial: e.health.trialDue(now),
	}
	p.queue.remove(r)
	p.queue.charge(r.team, t.expected)
	p.tickets.add(t)
	r.team.running++
	r.team.noteHeld(now)
	e.occupy(now, t)
	p.records.started(r.rec, t)
	p.opts.Count("tickets", "")
	r.waiter.Answer(Ticket{
		ID: t.key.id, Pool: p.opts.Name, Epoch: p.epoch, Endpoint: e.id, Addr: e.said.Addr,
		PoolEpoch: e.said.PoolEpoch, Remaining: r.deadline - r.arrived,
	}, nil)
	return true
}

// Release takes a ticket back. It does nothing for a ticket that isn't in use.
func (p *Pool) Release(now time.Duration, from string, r Release) {
	t := p.tickets.byKey[ticketKey{r.Epoch, r.Ticket}]
	if t == nil || t.from != from || t.lingers {
		p.opts.Count("release-unknown", "")
		return
	}
	p.settle(now, t, r)
}

// settle ends the use of a ticket with its result.
func (p *Pool) settle(now time.Duration, t *ticket, r Release) {
	t.endpoint.vacate(now, t)
	t.lingers = r.Grade == Unknown && now < t.deadline && t.team != "" && !t.inherited
	if !t.lingers {
		p.endUse(now, t)
	}
	used := max(now-t.given, 0)
	if tm := p.teams[t.team]; tm != nil && !t.inherited {
		tm.refund(t.expected, used)
		if r.Grade == Answered && !r.Failed {
			took := r.Took
			if took <= 0 || took > used {
				took = used
			}
			tm.service.add(took)
			p.service.add(took)
		}
	}
	p.noteResult(now, t, r)
	p.endRecord(now, t.rec, r.Grade, r.Status)
	p.opts.Count("released", string(r.Grade))
}

// endUse removes a ticket, which no longer counts against the team's limit.
func (p *Pool) endUse(now time.Duration, t *ticket) {
	p.tickets.remove(t)
	if tm := p.teams[t.team]; tm != nil && !t.inherited && t.key.epoch == p.epoch {
		tm.running--
		tm.noteHeld(now)
	}
}

// expireTickets ends tickets whose deadline passed without a release: the
// holder is lost, so the result is unknown.
func (p *Pool) expireTickets(now time.Duration) {
	for p.tickets.ends.len() > 0 {
		t := p.tickets.ends.min()
		if t.deadline > now {
			return
		}
		if t.lingers {
			p.endUse(now, t)
			continue
		}
		p.settle(now, t, Release{Grade: Unknown})
		p.opts.Count("tickets-expired", "")
	}
}
