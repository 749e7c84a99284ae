package dispatch

import "time"

// Acquire processes a request of the entry instance from. The waiter is answered
// during this call or a later call of any method.
func (p *Pool) Acquire(now time.Duration, from string, a AcquireRequest, w Waiter) {
	a.Priority = min(max(a.Priority, 0), priorities-1)
	a.Remaining = min(a.Remaining, maxRemaining)
	if refusal := p.refuseEarly(now, &a); refusal != nil {
		p.refuseNew(w, refusal)
		return
	}
	if old := p.queue.byKey[requestKey{from, a.Request}]; old != nil {
		p.refuseWaiting(now, old, refuse(CodeExpired, time.Second, "the request was sent again"))
	}
	t := p.team(a.Team)
	if a.Attempt == 0 {
		p.budget.Credit(now)
	} else if !p.budget.TryTake(now) {
		p.refuseNew(w, refuse(CodeRetryBudget, p.budget.TimeToNextRetry(), "the retry budget of pool %q is spent", p.opts.Name))
		return
	}
	if !p.makeRoom(now, a.Queue, t) {
		p.refuseNew(w, refuse(CodeQueueFull, p.estimateAdmission(now, t, a.Priority, a.Remaining), "queue %q is full", a.Queue))
		return
	}
	deadline := now + a.Remaining
	r := &request{
		a: a, from: from, waiter: w, team: t, arrived: now, deadline: deadline,
		expires: deadline - min(p.serviceEstimate(t).upperBound(), a.Remaining/2),
	}
	p.queue.add(r)
	p.prepare(now, r)
}

func (p *Pool) refuseNew(w Waiter, refusal *Refusal) {
	p.opts.Count("refused", refusal.Code)
	w.Answer(Ticket{}, refusal)
}

// refuseEarly returns a refusal if a request can't be queued at all.
func (p *Pool) refuseEarly(now time.Duration, a *AcquireRequest) *Refusal {
	as := p.view.Assignment
	switch {
	case p.phase == retired:
		return refuse(CodeNotDispatcher, time.Second, "pool %q is no longer dispatched here", p.opts.Name)
	case a.Epoch > p.epoch:
		return refuse(CodeNotDispatcher, time.Second, "the sender knows epoch %d, the dispatcher of pool %q has epoch %d",
			a.Epoch, p.opts.Name, as.Epoch)
	case !p.opts.Fresh():
		return refuse(CodeIsolated, time.Second, "the dispatcher's view is older than the freshness bound")
	case a.Remaining <= 0:
		return refuse(CodeExpired, time.Second, "the deadline has passed")
	}
	if queue, ok := p.view.Queues[a.Queue]; ok && queue.Pool != p.opts.Name {
		return refuse(CodeNotDispatcher, time.Second, "queue %q belongs to pool %q", a.Queue, queue.Pool)
	}
	t := p.team(a.Team)
	if t == nil || (t.name != "" && t.limit <= 0) {
		return refuse(CodeTeamLimit, maxRetryAfter, "the rules give team %q no limit", a.Team)
	}
	return p.checkDeadline(now, t, a)
}

// prepare checks the identity of r and makes r ready. A request with a record may
// have to wait for the end of the recovery or for the copy of its record.
func (p *Pool) prepare(now time.Duration, r *request) {
	if !needsRecord(&r.a) {
		p.queue.enqueue(r)
		return
	}
	if p.phase == recovering {
		p.queue.awaitingRecovery = append(p.queue.awaitingRecovery, r)
		return
	}
	if refusal := p.identify(now, r); refusal != nil {
		p.refuseWaiting(now, r, refusal)
		return
	}
	if p.backupUnavailable(now) {
		p.opts.Count("records-single-copy", "")
		p.queue.enqueue(r)
		return
	}
	p.copies.waiting = append(p.copies.waiting, r)
}

// Withdraw ends a request whose sender no longer waits. A non-nil issued is the
// ticket that w has already received; it is released as not run.
func (p *Pool) Withdraw(now time.Duration, from, id string, w Waiter, issued *Ticket) {
	if issued != nil {
		p.Release(now, from, ReleaseRequest{Ticket: issued.ID, Epoch: issued.Epoch, Outcome: OutcomeNotRun})
		return
	}
	if r := p.queue.byKey[requestKey{from, id}]; r != nil && r.waiter == w {
		p.refuseWaiting(now, r, refuse(CodeExpired, time.Second, "the request was withdrawn"))
	}
}
