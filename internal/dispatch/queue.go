package dispatch

import (
	"time"
)

const (
	// priorityStep is the head start of a request over one of the next lower
	// priority. It bounds how long urgent work can delay less urgent work.
	priorityStep = time.Second
	priorities   = 8
	// defaultQueueLength bounds a queue that is not yet in the rules.
	defaultQueueLength = 1000
	// unknownServiceCost is the minimum slot time charged for a request. It
	// applies while no service time is known.
	unknownServiceCost = time.Millisecond
)

// request is an acquire that waits for a response.
type request struct {
	a        AcquireRequest
	from     string
	waiter   Waiter
	team     *team
	arrived  time.Duration
	deadline time.Duration
	// expires is the time from which the request can no longer finish before its
	// deadline.
	expires time.Duration
	rank    time.Duration
	order   uint64
	rec     *record
	// ended reports that the request has been answered. Lists remove it lazily.
	ended bool

	teamIndex, expiryIndex int
}

type requestKey struct{ from, request string }

func (r *request) key() requestKey { return requestKey{r.from, r.a.Request} }

func lessRank(a, b *request) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.order < b.order
}

func teamIndex(r *request) *int   { return &r.teamIndex }
func expiryIndex(r *request) *int { return &r.expiryIndex }

// fairQueue holds the waiting requests. It applies start-time fair queueing
// between teams, weighted by share, with slot time as the cost.
type fairQueue struct {
	byKey  map[requestKey]*request
	length map[string]int // by queue name
	expiry indexedHeap[*request]
	// ready holds the teams that have requests ready to be dispatched.
	ready []*team
	// virtualTime is the largest virtual start time of a served request.
	virtualTime float64
	// order is the last number given to a request or to a pass of dispatch.
	order uint64
	// awaitingRecovery holds keyed requests that arrived during recovery.
	awaitingRecovery []*request
}

func newFairQueue() fairQueue {
	return fairQueue{
		byKey:  map[requestKey]*request{},
		length: map[string]int{},
		expiry: indexedHeap[*request]{
			less:  func(a, b *request) bool { return a.expires < b.expires },
			index: expiryIndex,
		},
	}
}

// add registers r as waiting. It can be dispatched only after enqueue.
func (q *fairQueue) add(r *request) {
	q.order++
	r.order = q.order
	r.rank = r.arrived + time.Duration(r.a.Priority)*priorityStep
	r.teamIndex = -1
	q.byKey[r.key()] = r
	q.length[r.a.Queue]++
	r.team.waiting[r.a.Priority]++
	q.expiry.push(r)
}

// enqueue makes r ready. A team without other ready requests starts at the current
// virtual time at the earliest, so that it gains no credit while idle.
func (q *fairQueue) enqueue(r *request) {
	t := r.team
	if t.ready.len() == 0 {
		t.virtualTime = max(t.virtualTime, q.virtualTime)
		t.readyIndex = len(q.ready)
		q.ready = append(q.ready, t)
	}
	t.ready.push(r)
}

// remove removes r from the queue and from its team's ready requests.
func (q *fairQueue) remove(r *request) {
	r.ended = true
	delete(q.byKey, r.key())
	q.length[r.a.Queue]--
	if q.length[r.a.Queue] == 0 {
		delete(q.length, r.a.Queue)
	}
	r.team.waiting[r.a.Priority]--
	q.expiry.remove(r)
	if r.teamIndex < 0 {
		return
	}
	t := r.team
	t.ready.remove(r)
	if t.ready.len() == 0 {
		q.removeReady(t)
	}
}

func (q *fairQueue) removeReady(t *team) {
	last := len(q.ready) - 1
	q.ready[t.readyIndex] = q.ready[last]
	q.ready[t.readyIndex].readyIndex = t.readyIndex
	q.ready[last] = nil
	q.ready = q.ready[:last]
}

// next returns the team to serve: of those below their grant, the one with the
// least virtual time. Teams already skipped in this pass are left out.
func (q *fairQueue) next(pass uint64) *team {
	var best *team
	for _, t := range q.ready {
		if t.skippedPass == pass {
			continue
		}
		if !t.hasGrant() {
			t.blocked = true
			continue
		}
		if t.blocked {
			// A team gains no credit while it waits for a grant.
			t.blocked = false
			t.virtualTime = max(t.virtualTime, q.virtualTime)
		}
		if best == nil || t.virtualTime < best.virtualTime || (t.virtualTime == best.virtualTime && t.name < best.name) {
			best = t
		}
	}
	return best
}

// charge adds the expected slot time of a dispatched request to t's virtual time.
func (q *fairQueue) charge(t *team, expected time.Duration) {
	q.virtualTime = max(q.virtualTime, t.virtualTime)
	t.virtualTime += float64(expected) / t.share
}

// refund corrects the charge once the slot time is known.
func (t *team) refund(expected, used time.Duration) {
	t.virtualTime += float64(used-expected) / t.share
}

// makeRoom reports whether a request of t may enter the queue. If the queue is
// full and another team has more waiting requests relative to its share, the last
// ready request of the team with the most is refused instead.
func (p *Pool) makeRoom(now time.Duration, name string, t *team) bool {
	limit := defaultQueueLength
	if queue, ok := p.view.Queues[name]; ok {
		limit = queue.Length
	}
	if p.queue.length[name] < limit {
		return true
	}
	var worst *team
	for _, other := range p.teamList {
		if other.totalWaiting() == 0 {
			continue
		}
		if worst == nil || other.waitingPerShare(0) > worst.waitingPerShare(0) ||
			(other.waitingPerShare(0) == worst.waitingPerShare(0) && other.name < worst.name) {
			worst = other
		}
	}
	if worst == nil || worst == t || t.waitingPerShare(1) >= worst.waitingPerShare(0) {
		return false
	}
	victim := worst.lastReady(name)
	if victim == nil {
		return false
	}
	p.opts.Count("pushed-out", "")
	p.refuseWaiting(now, victim, refuse(CodeQueueFull, p.estimateAdmission(now, worst, victim.a.Priority, victim.a.Remaining),
		"queue %q is full and team %q has most of it for its share", name, worst.name))
	return true
}

// waitingPerShare returns the number of waiting requests plus added, divided by
// the share.
func (t *team) waitingPerShare(added int) float64 { return float64(t.totalWaiting()+added) / t.share }

// lastReady returns the ready request of a queue that would be served last.
func (t *team) lastReady(queue string) *request {
	var last *request
	for _, r := range t.ready.items {
		if r.a.Queue == queue && (last == nil || lessRank(last, r)) {
			last = r
		}
	}
	return last
}

// expireRequests refuses requests that can no longer finish before their deadline.
func (p *Pool) expireRequests(now time.Duration) {
	for p.queue.expiry.len() > 0 {
		r := p.queue.expiry.min()
		if r.expires > now {
			return
		}
		p.refuseWaiting(now, r, p.expiryRefusal(now, r))
	}
}

// expiryRefusal returns a refusal that states why r was not served in time.
func (p *Pool) expiryRefusal(now time.Duration, r *request) *Refusal {
	after := p.estimateAdmission(now, r.team, r.a.Priority, r.a.Remaining)
	switch {
	case p.phase == recovering:
		return refuse(CodeRecovering, after, "the dispatcher of pool %q still takes over", p.opts.Name)
	case p.capacity(now) == 0:
		return refuse(CodeNoEndpoint, after, "pool %q has no usable endpoint", p.opts.Name)
	case !r.team.hasGrant():
		return refuse(CodeTeamLimit, after, "team %q has its whole grant of %d running", r.team.name, r.team.grant)
	}
	return refuse(CodeExpired, after, "no slot was free in time to finish before the deadline")
}

// refuseWaiting removes a waiting request from the queue and refuses it.
func (p *Pool) refuseWaiting(now time.Duration, r *request, refusal *Refusal) {
	p.queue.remove(r)
	p.removeRecord(now, r.rec)
	p.opts.Count("refused", refusal.Code)
	r.waiter.Answer(Ticket{}, refusal)
}

// Cancel withdraws an acquire of an entry instance. A ticket already issued for it is
// revoked as not run: the sender must not use it any more.
func (p *Pool) Cancel(now time.Duration, from, id string, try uint64) {
	if r := p.queue.byKey[requestKey{from, id}]; r != nil && r.a.Try == try {
		p.refuseWaiting(now, r, refuse(CodeExpired, time.Second, "the request was withdrawn"))
		return
	}
	for _, t := range p.tickets.byKey {
		if t.request == id && t.try == try && t.from == from && !t.lingering {
			p.finishTicket(now, t, ReleaseRequest{Outcome: OutcomeNotRun})
			return
		}
	}
}

// dispatch issues tickets to ready requests while endpoints have free slots.
func (p *Pool) dispatch(now time.Duration) {
	p.queue.order++
	pass := p.queue.order
	for len(p.queue.ready) > 0 && p.hasFreeSlot(now) {
		t := p.queue.next(pass)
		if t == nil {
			return
		}
		r := t.ready.min()
		e := p.selectEndpoint(now, r)
		if e == nil || !p.issueTicket(now, r, e) {
			t.skippedPass = pass
		}
	}
}
