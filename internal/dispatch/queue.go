package dispatch

import (
	"time"
)

const (
	// priorityStep is how much earlier a request counts as arrived than one of
	// the next lower priority. It bounds how long urgent work delays other work.
	priorityStep = time.Second
	priorities   = 8
	// defaultQueueLength bounds a queue that the rules don't name yet.
	defaultQueueLength = 1000
	// unknownServiceCost is charged for a request while no service time is known.
	unknownServiceCost = time.Millisecond
)

// request is an acquire without an answer.
type request struct {
	a        Acquire
	from     string
	waiter   Waiter
	team     *team
	arrived  time.Duration
	deadline time.Duration
	// expires is when the request can no longer finish in time.
	expires time.Duration
	rank    time.Duration
	order   uint64
	rec     *record
	// ended tells that the request has been answered; lists drop it later.
	ended bool

	teamPlace, expiryPlace int
}

type requestKey struct{ from, request string }

func (r *request) key() requestKey { return requestKey{r.from, r.a.Request} }

func lessRank(a, b *request) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.order < b.order
}

func teamPlace(r *request) *int   { return &r.teamPlace }
func expiryPlace(r *request) *int { return &r.expiryPlace }

// fairQueue holds the waiting requests. Teams are served by start-time fair
// queueing of the slot time that they use, divided by their share.
type fairQueue struct {
	byKey  map[requestKey]*request
	length map[string]int // by queue name
	expiry indexedHeap[*request]
	// ready holds the teams that have requests ready to be dispatched.
	ready []*team
	// virtual is the virtual time of the team served last.
	virtual float64
	order   uint64
	// parked holds keyed requests that arrived while recovering.
	parked []*request
}

func newFairQueue() fairQueue {
	return fairQueue{
		byKey:  map[requestKey]*request{},
		length: map[string]int{},
		expiry: indexedHeap[*request]{
			less:  func(a, b *request) bool { return a.expires < b.expires },
			place: expiryPlace,
		},
	}
}

// add registers r as waiting; it is not ready before enqueue.
func (q *fairQueue) add(r *request) {
	q.order++
	r.order = q.order
	r.rank = r.arrived + time.Duration(r.a.Priority)*priorityStep
	r.teamPlace = -1
	q.byKey[r.key()] = r
	q.length[r.a.Queue]++
	r.team.waiting[r.a.Priority]++
	q.expiry.push(r)
}

// enqueue makes r ready. A team that had nothing ready starts at the current
// virtual time, so that it has no credit from the time before.
func (q *fairQueue) enqueue(r *request) {
	t := r.team
	if t.ready.len() == 0 {
		t.virtual = max(t.virtual, q.virtual)
		t.readyPlace = len(q.ready)
		q.ready = append(q.ready, t)
	}
	t.ready.push(r)
}

// remove takes r out of the queue.
func (q *fairQueue) remove(r *request) {
	r.ended = true
	delete(q.byKey, r.key())
	q.length[r.a.Queue]--
	if q.length[r.a.Queue] == 0 {
		delete(q.length, r.a.Queue)
	}
	r.team.waiting[r.a.Priority]--
	q.expiry.remove(r)
	if r.teamPlace < 0 {
		return
	}
	t := r.team
	t.ready.remove(r)
	if t.ready.len() == 0 {
		q.dropReady(t)
	}
}

func (q *fairQueue) dropReady(t *team) {
	last := len(q.ready) - 1
	q.ready[t.readyPlace] = q.ready[last]
	q.ready[t.readyPlace].readyPlace = t.readyPlace
	q.ready[last] = nil
	q.ready = q.ready[:last]
}

// next returns the team to serve: of those with a free grant, the one with the
// least virtual time. Teams in skipped are left out.
func (q *fairQueue) next(pass uint64) *team {
	var best *team
	for _, t := range q.ready {
		if t.skipped == pass {
			continue
		}
		if !t.hasGrant() {
			t.blocked = true
			continue
		}
		if t.blocked {
			// Waiting for a grant earns no credit against the other teams.
			t.blocked = false
			t.virtual = max(t.virtual, q.virtual)
		}
		if best == nil || t.virtual < best.virtual || (t.virtual == best.virtual && t.name < best.name) {
			best = t
		}
	}
	return best
}

// charge books the expected slot time of a request that is dispatched.
func (q *fairQueue) charge(t *team, expected time.Duration) {
	q.virtual = max(q.virtual, t.virtual)
	t.virtual += float64(expected) / t.share
}

// refund corrects the booking once the slot time is known.
func (t *team) refund(expected, used time.Duration) {
	t.virtual += float64(used-expected) / t.share
}

// makeRoom tells whether a request of t may enter the queue. A full queue
// gives room to a team that has fewer waiting requests for its share than
// another team, whose last request is refused instead.
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
		if other.total() == 0 {
			continue
		}
		if worst == nil || other.pressure(0) > worst.pressure(0) ||
			(other.pressure(0) == worst.pressure(0) && other.name < worst.name) {
			worst = other
		}
	}
	if worst == nil || worst == t || t.pressure(1) >= worst.pressure(0) {
		return false
	}
	victim := worst.last(name)
	if victim == nil {
		return false
	}
	p.opts.Count("pushed-out", "")
	p.refuseWaiting(now, victim, refuse(CodeQueueFull, p.untilAdmitted(now, worst, victim.a.Priority, victim.a.Remaining),
		"queue %q is full and team %q has most of it for its share", name, worst.name))
	return true
}

// pressure is the number of waiting requests for the share, with some added.
func (t *team) pressure(added int) float64 { return float64(t.total()+added) / t.share }

// last returns the ready request of a queue that would be served last.
func (t *team) last(queue string) *request {
	var last *request
	for _, r := range t.ready.items {
		if r.a.Queue == queue && (last == nil || lessRank(last, r)) {
			last = r
		}
	}
	return last
}

// expireRequests answers requests that can no longer finish in time.
func (p *Pool) expireRequests(now time.Duration) {
	for p.queue.expiry.len() > 0 {
		r := p.queue.expiry.min()
		if r.expires > now {
			return
		}
		p.refuseWaiting(now, r, p.expired(now, r))
	}
}

// expired explains why r was not served before its deadline.
func (p *Pool) expired(now time.Duration, r *request) *Refusal {
	after := p.untilAdmitted(now, r.team, r.a.Priority, r.a.Remaining)
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

// refuseWaiting answers a waiting request with a refusal.
func (p *Pool) refuseWaiting(now time.Duration, r *request, refusal *Refusal) {
	p.queue.remove(r)
	p.dropRecord(now, r.rec)
	p.opts.Count("refused", refusal.Code)
	r.waiter.Answer(Ticket{}, refusal)
}

// Cancel withdraws a request of an entry instance. A ticket already given for
// it is taken back as not run: the sender must not use it any more.
func (p *Pool) Cancel(now time.Duration, from, id string) {
	if r := p.queue.byKey[requestKey{from, id}]; r != nil {
		p.refuseWaiting(now, r, refuse(CodeExpired, time.Second, "the request was withdrawn"))
		return
	}
	for _, t := range p.tickets.byKey {
		if t.request == id && t.from == from && !t.lingers {
			p.settle(now, t, Release{Grade: NotRun})
			return
		}
	}
}

// dispatch gives tickets to ready requests while endpoints have free slots.
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
		if e == nil || !p.give(now, r, e) {
			t.skipped = pass
		}
	}
}
