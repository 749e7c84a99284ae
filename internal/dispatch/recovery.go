package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cactusspar/internal/state"
)

const (
	// recoveryTimeout bounds the wait for entry instances that the view counts
	// as live but that don't answer. It is longer than the freshness bound, so
	// that an earlier dispatcher that can't be reached has stopped by then.
	recoveryTimeout = 4 * time.Second
	// heldRetryDelay is the time before an entry instance is asked again.
	heldRetryDelay = 100 * time.Millisecond
	// maxClaims bounds the claims of one answer.
	maxClaims = 16
)

// recovery collects the tickets and records of the epoch before.
type recovery struct {
	began    time.Duration
	answered map[string]bool
	// askAt holds when an entry instance is asked next; it is set far ahead
	// while a question is on its way.
	askAt  map[string]time.Duration
	claims []Claim
	// ranBefore tells that the own epoch was dispatched before, by an earlier
	// incarnation of this process.
	ranBefore bool
	// interrupted tells that the pool was retired before it had recovered.
	interrupted bool
	// orphaned tells that, by the assignment, records of the epochs before are lost.
	orphaned bool
	// reported holds tickets that the former dispatcher had given. They count
	// only if their holder can't say itself which tickets it has, because it is
	// lost or was restarted.
	reported []reportedTicket
}

type reportedTicket struct {
	HeldTicket
	at time.Duration
}

func newRecovery(now time.Duration, as state.Assignment) recovery {
	return recovery{
		began: now, orphaned: as.Orphaned,
		answered: map[string]bool{}, askAt: map[string]time.Duration{},
	}
}

// AskHeld returns the entry instances to ask now. For each of them, TakeOver or
// HeldFailed has to be called afterwards.
func (p *Pool) AskHeld(now time.Duration) []string {
	if p.phase != recovering {
		return nil
	}
	var ask []string
	for id := range p.view.Entries {
		if !p.recovery.answered[id] && now >= p.recovery.askAt[id] {
			p.recovery.askAt[id] = now + recoveryTimeout
			ask = append(ask, id)
		}
	}
	return ask
}

// HeldQuery returns the question to the entry instances.
func (p *Pool) HeldQuery() HeldQuery { return HeldQuery{Pool: p.opts.Name, Epoch: p.firstEpoch} }

// Held returns the records and the tickets in use for the dispatcher of a later
// epoch.
func (p *Pool) Held(now time.Duration) Held {
	tickets := make([]HeldTicket, 0, len(p.tickets.byKey))
	for _, t := range p.tickets.byKey {
		if t.lingers {
			continue // it counts under the own grant until its deadline
		}
		held := HeldTicket{Team: t.team, Request: t.request, Holder: t.from, HolderIncarnation: t.incarnation}
		held.Ticket = Ticket{
			ID: t.key.id, Pool: p.opts.Name, Epoch: t.key.epoch, Endpoint: t.endpoint.id,
			Remaining: t.deadline - releaseGrace - now,
		}
		tickets = append(tickets, held)
	}
	slices.SortFunc(tickets, func(a, b HeldTicket) int { return cmp.Compare(a.Ticket.ID, b.Ticket.ID) })
	held := Held{Tickets: tickets, Copied: p.epoch, UnknownFor: max(p.records.unknownUntil-now, 0)}
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
		held.Claims = []Claim{{From: p.heldSince(), To: p.epoch, Idle: true}}
	}
	return held
}

// heldSince returns the first of the epochs up to the own ones that this process
// had without giving tickets.
func (p *Pool) heldSince() uint64 {
	if p.opts.HeldSince > 0 {
		return min(p.opts.HeldSince, p.firstEpoch)
	}
	return p.firstEpoch
}

// HeldFailed notes that an entry instance didn't answer.
func (p *Pool) HeldFailed(now time.Duration, id string) {
	p.recovery.askAt[id] = now + heldRetryDelay
}

// TakeOver takes in what an entry instance holds.
func (p *Pool) TakeOver(now time.Duration, id string, h Held) {
	if p.phase != recovering || p.recovery.answered[id] {
		return
	}
	p.recovery.answered[id] = true
	p.recovery.claims = append(p.recovery.claims, h.Claims[:min(len(h.Claims), maxClaims)]...)
	p.recovery.ranBefore = p.recovery.ranBefore || h.Copied >= p.firstEpoch
	p.records.unknownUntil = max(p.records.unknownUntil, now+min(h.UnknownFor, recordLifetime))
	for i := range h.Records {
		p.adoptRecord(now, &h.Records[i])
	}
	for i := range h.Tickets {
		if i >= maxTicketsInherited {
			break
		}
		if h.Tickets[i].Holder != "" {
			p.recovery.reported = append(p.recovery.reported, reportedTicket{h.Tickets[i], now})
			continue
		}
		p.adoptTicket(now, now, id, &h.Tickets[i])
	}
}

// adoptRecord merges a record. Of two, the one from the later source wins, since
// an identity may have been released and taken by another request there; of
// one source's, the one that knows more.
func (p *Pool) adoptRecord(now time.Duration, r *Record) {
	if r.Grade == NotRun || r.Remaining <= 0 {
		return
	}
	expires := now + min(r.Remaining, maxRemaining+releaseGrace+recordLifetime)
	id := recordID{r.Team, r.Key}
	rec := p.records.byID[id]
	if rec == nil {
		rec = &record{id: id, expires: expires}
		p.records.add(rec)
	}
	if r.Rank > rec.rank || (r.Rank == rec.rank && certainty(r.Grade) >= certainty(rec.grade)) {
		rec.request, rec.grade, rec.status, rec.rank = r.Request, r.Grade, r.Status, r.Rank
	}
	p.records.setExpiry(rec, max(rec.expires, expires))
}

func certainty(g Grade) int {
	switch g {
	case Answered:
		return 2
	case Unknown:
		return 1
	}
	return 0
}

// adoptTicket counts a ticket that from held at a time.
func (p *Pool) adoptTicket(now, at time.Duration, from string, h *HeldTicket) {
	key := ticketKey{h.Ticket.Epoch, h.Ticket.ID}
	e := p.endpoint(h.Ticket.Endpoint)
	if p.tickets.byKey[key] != nil || e == nil || h.Ticket.Epoch > p.epoch {
		return
	}
	t := &ticket{
		key: key, request: h.Request, team: h.Team, from: from, endpoint: e, given: now, incarnation: h.HolderIncarnation,
		deadline: at + min(max(h.Ticket.Remaining, 0), maxRemaining) + releaseGrace, inherited: true,
	}
	p.tickets.add(t)
	e.occupy(now, t)
	if e.announced {
		e.countForeign(now)
	}
	p.opts.Count("tickets-taken-over", "")
}

// tryFinishRecovery starts serving once every live entry instance has answered.
func (p *Pool) tryFinishRecovery(now time.Duration) {
	missing := 0
	for id := range p.view.Entries {
		if !p.recovery.answered[id] {
			missing++
		}
	}
	if missing > 0 && now-p.recovery.began < recoveryTimeout {
		return
	}
	if missing > 0 {
		p.opts.Count("recoveries-without-all-answers", "")
	}
	p.finishRecovery(now)
}

func (p *Pool) finishRecovery(now time.Duration) {
	lastEpoch, complete := p.completeEpoch()
	if p.recovery.orphaned || !complete {
		p.records.unknownUntil = now + recordLifetime
		p.opts.Count("recoveries-incomplete", "")
	}
	for i := range p.recovery.reported {
		t := &p.recovery.reported[i]
		isSame := p.view.Entries[t.Holder].Incarnation == t.HolderIncarnation
		if !p.recovery.answered[t.Holder] || !isSame {
			p.adoptTicket(now, t.at, t.Holder, &t.HeldTicket)
		}
	}
	p.recovery.reported = nil
	if complete {
		p.dropOutdated(lastEpoch)
	}
	p.matchRecords(now)
	p.phase = serving
	p.copies.reset(now, p.view.Assignment.Backup)
	parked := p.queue.parked
	p.queue.parked = nil
	for _, r := range parked {
		if !r.ended {
			p.prepare(now, r)
		}
	}
	p.opts.Count("recoveries", "")
}

// completeEpoch returns the last epoch before the own one under which tickets
// were given, and whether all its records were handed over. It is 0 if none
// were ever given.
func (p *Pool) completeEpoch() (uint64, bool) {
	if p.recovery.ranBefore {
		return p.firstEpoch, p.claimed(p.firstEpoch)
	}
	epoch := p.firstEpoch - 1
	for epoch > 0 && !p.claimed(epoch) {
		before := p.idleSince(epoch) - 1
		if before == epoch {
			return 0, false
		}
		epoch = before
	}
	return epoch, true
}

// claimed tells whether the records of an epoch were handed over completely.
func (p *Pool) claimed(epoch uint64) bool {
	return slices.ContainsFunc(p.recovery.claims, func(c Claim) bool { return !c.Idle && c.To == epoch })
}

// idleSince returns the first of the epochs up to the given one under which no
// ticket was given, or the epoch after it if tickets may have been.
func (p *Pool) idleSince(epoch uint64) uint64 {
	for _, c := range p.recovery.claims {
		if c.Idle && c.To == epoch && c.From > 0 && c.From <= epoch {
			return c.From
		}
	}
	return epoch + 1
}

// dropOutdated drops the records of epochs before one that handed over all of
// its own: what is missing there was released.
func (p *Pool) dropOutdated(epoch uint64) {
	for _, rec := range p.records.byID {
		if rec.rank < recordRank(epoch, false) {
			p.records.remove(rec)
		}
	}
}

// matchRecords connects the records taken over with their tickets. A record
// without either ticket or result may belong to a lost entry instance: its
// result is unknown.
func (p *Pool) matchRecords(now time.Duration) {
	byRequest := map[useRequest]*ticket{}
	for _, t := range p.tickets.byKey {
		if !t.lingers {
			byRequest[useRequest{t.team, t.request}] = t
		}
	}
	for _, rec := range p.records.byID {
		if rec.grade != "" {
			continue
		}
		if t := byRequest[useRequest{rec.id.team, rec.request}]; t != nil {
			rec.ticket, t.rec = t, rec
			p.records.setExpiry(rec, t.deadline+recordLifetime)
			continue
		}
		// With records missing, another request may have taken the identity since.
		rec.adopted = now >= p.records.unknownUntil
		rec.grade = Unknown
		p.records.setExpiry(rec, now+recordLifetime)
	}
}

type useRequest struct{ team, request string }
