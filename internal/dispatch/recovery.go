package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cactusspar/internal/state"
)

const (
	// recoveryTimeout bounds the wait for entry instances that are live in the
	// view but don't answer. It is longer than the freshness bound, so that an
	// earlier dispatcher that can't be reached has stopped by then.
	recoveryTimeout = 4 * time.Second
	// heldRetryDelay is the delay before a failed held query is repeated.
	heldRetryDelay = 100 * time.Millisecond
	// maxClaims bounds the claims used from one response.
	maxClaims = 16
)

// recovery is the state of the recovery of tickets and records of earlier epochs.
type recovery struct {
	startedAt time.Duration
	answered  map[string]bool
	// nextAskAt holds the time of the next query by entry instance. While a query
	// is in flight, it is recoveryTimeout after the query was sent.
	nextAskAt map[string]time.Duration
	claims    []Claim
	// epochRestarted reports that the epoch was dispatched before, by an earlier
	// incarnation of this process.
	epochRestarted bool
	// interrupted reports that the pool was retired before it had recovered.
	interrupted bool
	// orphaned reports that records of earlier epochs are lost according to the
	// assignment.
	orphaned bool
	// reportedTickets holds tickets that the former dispatcher had issued. They
	// count only if their holder did not answer or was restarted; otherwise the
	// holder's own response counts.
	reportedTickets []reportedTicket
}

type reportedTicket struct {
	HeldTicket
	receivedAt time.Duration
}

func newRecovery(now time.Duration, as state.Assignment) recovery {
	return recovery{
		startedAt: now, orphaned: as.Orphaned,
		answered: map[string]bool{}, nextAskAt: map[string]time.Duration{},
	}
}

// HeldTargets returns the entry instances to send a HeldQuery to now. AddHeld or
// HeldFailed must be called for each of them afterwards.
func (p *Pool) HeldTargets(now time.Duration) []string {
	if p.phase != recovering {
		return nil
	}
	var ask []string
	for id := range p.view.Entries {
		if !p.recovery.answered[id] && now >= p.recovery.nextAskAt[id] {
			p.recovery.nextAskAt[id] = now + recoveryTimeout
			ask = append(ask, id)
		}
	}
	return ask
}

// HeldQuery returns the query for the first page of an entry instance.
func (p *Pool) HeldQuery() HeldQuery { return HeldQuery{Pool: p.opts.Name, Epoch: p.firstEpoch} }

// Held returns the records and the tickets in use for the dispatcher of a later
// epoch.
func (p *Pool) Held(now time.Duration) HeldResponse {
	tickets := make([]HeldTicket, 0, len(p.tickets.byKey))
	for _, t := range p.tickets.byKey {
		if t.lingering {
			continue // counts against this pool's grant until its deadline
		}
		held := HeldTicket{Team: t.team, Request: t.request, Holder: t.from, HolderIncarnation: t.incarnation}
		held.Ticket = Ticket{
			ID: t.key.id, Pool: p.opts.Name, Epoch: t.key.epoch, Endpoint: t.endpoint.id,
			Remaining: t.deadline - releaseGrace - now,
		}
		tickets = append(tickets, held)
	}
	slices.SortFunc(tickets, func(a, b HeldTicket) int { return cmp.Compare(a.Ticket.ID, b.Ticket.ID) })
	held := HeldResponse{Tickets: tickets, Copied: p.epoch, UnknownFor: max(p.records.incompleteUntil-now, 0)}
	for _, rec := range p.records.ends.items {
		r := rec.export(now)
		r.Rank = recordRank(p.epoch, true)
		if p.recovery.interrupted {
			r.Rank = rec.rank
		}
		held.Records = append(held.Records, r)
	}
	if p.phase == retired {
		held.Claims = []Claim{{From: p.epoch, To: p.epoch}}
	}
	if p.recovery.interrupted {
		held.Claims = []Claim{{From: p.firstIdleEpoch(), To: p.epoch, Idle: true}}
	}
	return held
}

// firstIdleEpoch returns the first of the consecutive epochs, up to firstEpoch,
// under which this process was the dispatcher and issued no tickets.
func (p *Pool) firstIdleEpoch() uint64 {
	if p.opts.IdleSince > 0 {
		return min(p.opts.IdleSince, p.firstEpoch)
	}
	return p.firstEpoch
}

// HeldFailed handles a query that an entry instance didn't answer.
func (p *Pool) HeldFailed(now time.Duration, id string) {
	p.recovery.nextAskAt[id] = now + heldRetryDelay
}

// AddHeld merges what an entry instance holds. Only its first response during recovery
// is used.
func (p *Pool) AddHeld(now time.Duration, id string, h HeldResponse) {
	if p.phase != recovering || p.recovery.answered[id] {
		return
	}
	p.recovery.answered[id] = true
	p.recovery.claims = append(p.recovery.claims, h.Claims[:min(len(h.Claims), maxClaims)]...)
	p.recovery.epochRestarted = p.recovery.epochRestarted || h.Copied >= p.firstEpoch
	p.records.incompleteUntil = max(p.records.incompleteUntil, now+min(h.UnknownFor, recordLifetime))
	for i := range h.Records {
		p.inheritRecord(now, &h.Records[i])
	}
	for i := range h.Tickets {
		if i >= maxInheritedTickets {
			break
		}
		if h.Tickets[i].Holder != "" {
			p.recovery.reportedTickets = append(p.recovery.reportedTickets, reportedTicket{h.Tickets[i], now})
			continue
		}
		p.inheritTicket(now, now, id, &h.Tickets[i])
	}
}

// inheritRecord merges a record. Of two records of an identity, the one with the
// higher rank wins, because the identity may have been released and used by another
// request there. At equal rank, the one with the more certain outcome wins.
func (p *Pool) inheritRecord(now time.Duration, r *Record) {
	if r.Outcome == OutcomeNotRun || r.Remaining <= 0 {
		return
	}
	expires := now + min(r.Remaining, maxRemaining+releaseGrace+recordLifetime)
	id := recordID{r.Team, r.Key}
	rec := p.records.byID[id]
	if rec == nil {
		rec = &record{id: id, expires: expires}
		p.records.add(rec)
	}
	if r.Rank > rec.rank || (r.Rank == rec.rank && outcomeCertainty(r.Outcome) >= outcomeCertainty(rec.outcome)) {
		rec.request, rec.outcome, rec.status, rec.rank = r.Request, r.Outcome, r.Status, r.Rank
	}
	p.records.setExpiry(rec, max(rec.expires, expires))
}

func outcomeCertainty(o Outcome) int {
	switch o {
	case OutcomeAnswered:
		return 2
	case OutcomeUnknown:
		return 1
	}
	return 0
}

// inheritTicket adds a ticket that the entry instance from held at the time at.
func (p *Pool) inheritTicket(now, at time.Duration, from string, h *HeldTicket) {
	key := ticketKey{h.Ticket.Epoch, h.Ticket.ID}
	e := p.endpoint(h.Ticket.Endpoint)
	if p.tickets.byKey[key] != nil || e == nil || h.Ticket.Epoch > p.epoch {
		return
	}
	t := &ticket{
		key: key, request: h.Request, team: h.Team, from: from, endpoint: e, issuedAt: now, incarnation: h.HolderIncarnation,
		deadline: at + min(max(h.Ticket.Remaining, 0), maxRemaining) + releaseGrace, inherited: true,
	}
	p.tickets.add(t)
	e.acquireSlot(now, t)
	if e.announced {
		e.updateUnattributed(now)
	}
	p.opts.Count("tickets-taken-over", "")
}

// finishRecoveryIfReady finishes recovery once every live entry instance has
// answered or recoveryTimeout has passed.
func (p *Pool) finishRecoveryIfReady(now time.Duration) {
	missing := 0
	for id := range p.view.Entries {
		if !p.recovery.answered[id] {
			missing++
		}
	}
	if missing > 0 && now-p.recovery.startedAt < recoveryTimeout {
		return
	}
	if missing > 0 {
		p.opts.Count("recoveries-without-all-answers", "")
	}
	p.finishRecovery(now)
}

func (p *Pool) finishRecovery(now time.Duration) {
	lastEpoch, complete := p.lastDispatchedEpoch()
	if p.recovery.orphaned || !complete {
		p.records.incompleteUntil = now + recordLifetime
		p.opts.Count("recoveries-incomplete", "")
	}
	for i := range p.recovery.reportedTickets {
		t := &p.recovery.reportedTickets[i]
		sameIncarnation := p.view.Entries[t.Holder].Incarnation == t.HolderIncarnation
		if !p.recovery.answered[t.Holder] || !sameIncarnation {
			p.inheritTicket(now, t.receivedAt, t.Holder, &t.HeldTicket)
		}
	}
	p.recovery.reportedTickets = nil
	if complete {
		p.removeOutdatedRecords(lastEpoch)
	}
	p.linkRecords(now)
	p.phase = serving
	p.copies.reset(now, p.view.Assignment.Backup)
	awaitingRecovery := p.queue.awaitingRecovery
	p.queue.awaitingRecovery = nil
	for _, r := range awaitingRecovery {
		if !r.ended {
			p.prepare(now, r)
		}
	}
	p.opts.Count("recoveries", "")
}

// lastDispatchedEpoch returns the last epoch under which tickets may have been
// issued and whether all its records were handed over. The epoch is firstEpoch if
// that was dispatched before, otherwise an earlier one, or 0 if no tickets were ever
// issued or the epoch can't be determined.
func (p *Pool) lastDispatchedEpoch() (uint64, bool) {
	if p.recovery.epochRestarted {
		return p.firstEpoch, p.hasAllRecords(p.firstEpoch)
	}
	epoch := p.firstEpoch - 1
	for epoch > 0 && !p.hasAllRecords(epoch) {
		before := p.idleSince(epoch) - 1
		if before == epoch {
			return 0, false
		}
		epoch = before
	}
	return epoch, true
}

// hasAllRecords reports whether the records of an epoch were handed over completely.
func (p *Pool) hasAllRecords(epoch uint64) bool {
	return slices.ContainsFunc(p.recovery.claims, func(c Claim) bool { return !c.Idle && c.To == epoch })
}

// idleSince returns the first of the consecutive epochs, up to epoch, under which no
// ticket was issued. It returns epoch+1 if tickets may have been issued under epoch.
func (p *Pool) idleSince(epoch uint64) uint64 {
	for _, c := range p.recovery.claims {
		if c.Idle && c.To == epoch && c.From > 0 && c.From <= epoch {
			return c.From
		}
	}
	return epoch + 1
}

// removeOutdatedRecords removes the records from epochs before epoch, all of whose
// records were handed over: an identity missing there was released.
func (p *Pool) removeOutdatedRecords(epoch uint64) {
	for _, rec := range p.records.byID {
		if rec.rank < recordRank(epoch, false) {
			p.records.remove(rec)
		}
	}
}

// linkRecords links the inherited records with their tickets. A record with neither
// a ticket nor a result may belong to a lost entry instance: its result is unknown.
func (p *Pool) linkRecords(now time.Duration) {
	byRequest := map[teamRequest]*ticket{}
	for _, t := range p.tickets.byKey {
		if !t.lingering {
			byRequest[teamRequest{t.team, t.request}] = t
		}
	}
	for _, rec := range p.records.byID {
		if rec.outcome != "" {
			continue
		}
		if t := byRequest[teamRequest{rec.id.team, rec.request}]; t != nil {
			rec.ticket, t.rec = t, rec
			p.records.setExpiry(rec, t.deadline+recordLifetime)
			continue
		}
		// If records are missing, another request may have used the identity since.
		rec.resumable = now >= p.records.incompleteUntil
		rec.outcome = OutcomeUnknown
		p.records.setExpiry(rec, now+recordLifetime)
	}
}

type teamRequest struct{ team, request string }
