package dispatch

import "time"

// releaseGrace is how long a ticket counts beyond its deadline, so that a release
// sent at the deadline is still accepted.
const releaseGrace = 250 * time.Millisecond

// maxInheritedTickets bounds the tickets inherited from one entry instance.
const maxInheritedTickets = 65536

type ticketKey struct{ epoch, id uint64 }

// ticket is an issued ticket, which occupies a slot of an endpoint.
type ticket struct {
	key     ticketKey
	request string
	try     uint64 // AcquireRequest.Try
	team    string
	from    string
	// incarnation is the holder's according to the view, or 0 if not known.
	incarnation uint64
	endpoint    *endpoint
	issuedAt    time.Duration
	deadline    time.Duration
	chargedTime time.Duration // slot time charged in the fair queue
	rec         *record
	// inherited reports that an earlier dispatcher issued the ticket. It occupies
	// a slot and counts against the grant of its own, earlier epoch.
	inherited bool
	trial     bool
	// lingering reports that the holder released the ticket with an unknown
	// result. The work may go on until the deadline, so the ticket counts against
	// the team's limit until then. The slot is free for others, because the
	// endpoint refuses requests beyond its capacity.
	lingering bool
	index     int
}

type ticketTable struct {
	byKey map[ticketKey]*ticket
	ends  indexedHeap[*ticket]
	last  uint64
}

// newTicketTable returns a table whose ids follow first. A random first makes the
// ids of a restarted process differ from its earlier ones under the same epoch.
func newTicketTable(first uint64) ticketTable {
	return ticketTable{
		byKey: map[ticketKey]*ticket{},
		ends: indexedHeap[*ticket]{
			less:  func(a, b *ticket) bool { return a.deadline < b.deadline },
			index: func(t *ticket) *int { return &t.index },
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

// issueTicket answers r with a ticket for e, or with a refusal if the view is
// stale. It returns false if the ticket would break an invariant; r then still
// waits.
func (p *Pool) issueTicket(now time.Duration, r *request, e *endpoint) bool {
	if !p.opts.Fresh() {
		p.refuseWaiting(now, r, refuse(CodeIsolated, time.Second, "the dispatcher's view is older than the freshness bound"))
		return true
	}
	if v := p.brokenInvariant(now, r, e); v != nil {
		p.reportViolation(*v)
		return false
	}
	p.tickets.last++
	t := &ticket{
		key:     ticketKey{p.epoch, p.tickets.last},
		request: r.a.Request, try: r.a.Try, team: r.team.name, from: r.from, endpoint: e, incarnation: p.view.Entries[r.from].Incarnation,
		issuedAt: now, deadline: r.deadline + releaseGrace,
		chargedTime: max(p.serviceEstimate(r.team).meanDuration(), unknownServiceCost),
		rec:         r.rec, trial: e.health.trialDue(now),
	}
	p.queue.remove(r)
	p.queue.charge(r.team, t.chargedTime)
	p.tickets.add(t)
	r.team.running++
	r.team.updateAtGrant(now)
	e.acquireSlot(now, t)
	p.records.attachTicket(r.rec, t)
	p.opts.Count("tickets", "")
	r.waiter.Answer(Ticket{
		ID: t.key.id, Pool: p.opts.Name, Epoch: p.epoch, Endpoint: e.id, Addr: e.latest.Addr,
		PoolEpoch: e.latest.PoolEpoch, Remaining: r.deadline - r.arrived,
	}, nil)
	return true
}

// Release ends the use of a ticket. A ticket that isn't in use is only counted.
func (p *Pool) Release(now time.Duration, from string, r ReleaseRequest) {
	t := p.tickets.byKey[ticketKey{r.Epoch, r.Ticket}]
	if t == nil || t.from != from || t.lingering {
		p.opts.Count("release-unknown", "")
		return
	}
	p.finishTicket(now, t, r)
}

// finishTicket frees the slot of a ticket and records the result. A lingering
// ticket stays in the table until its deadline.
func (p *Pool) finishTicket(now time.Duration, t *ticket, r ReleaseRequest) {
	t.endpoint.releaseSlot(now, t)
	t.lingering = r.Outcome == OutcomeUnknown && now < t.deadline && t.team != "" && !t.inherited
	if !t.lingering {
		p.removeTicket(now, t)
	}
	used := max(now-t.issuedAt, 0)
	if tm := p.teams[t.team]; tm != nil && !t.inherited {
		tm.refund(t.chargedTime, used)
		if r.Outcome == OutcomeAnswered && !r.Failed {
			duration := r.Duration
			if duration <= 0 || duration > used {
				duration = used
			}
			tm.serviceTime.add(duration)
			p.serviceTime.add(duration)
		}
	}
	p.observeResult(now, t, r)
	p.endRecord(now, t.rec, r.Outcome, r.Status)
	p.opts.Count("released", string(r.Outcome))
}

// removeTicket removes a ticket, so that it no longer counts against the team's limit.
func (p *Pool) removeTicket(now time.Duration, t *ticket) {
	p.tickets.remove(t)
	if tm := p.teams[t.team]; tm != nil && !t.inherited && t.key.epoch == p.epoch {
		tm.running--
		tm.updateAtGrant(now)
	}
}

// expireTickets ends tickets whose deadline and release grace have passed. Without
// a release, the holder is assumed to be lost and the result is unknown.
func (p *Pool) expireTickets(now time.Duration) {
	for p.tickets.ends.len() > 0 {
		t := p.tickets.ends.min()
		if t.deadline > now {
			return
		}
		if t.lingering {
			p.removeTicket(now, t)
			continue
		}
		p.finishTicket(now, t, ReleaseRequest{Outcome: OutcomeUnknown})
		p.opts.Count("tickets-expired", "")
	}
}
