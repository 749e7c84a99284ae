package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"cactusspar/internal/caller"
	"cactusspar/internal/dispatch"
)

// ticketRegistry records the tickets that this instance holds.
type ticketRegistry struct {
	mu    sync.Mutex
	pools map[string]*poolTickets
}

// poolTickets holds the tickets of a pool.
type poolTickets struct {
	// minEpoch is the oldest epoch whose tickets are accepted. It is raised when
	// a new dispatcher requests the tickets held here.
	minEpoch uint64
	// dispatcher is the instance that requested the tickets at minEpoch.
	dispatcher string
	held       map[*lease]struct{}
}

func newTicketRegistry() *ticketRegistry {
	return &ticketRegistry{pools: map[string]*poolTickets{}}
}

func (t *ticketRegistry) pool(name string) *poolTickets {
	p := t.pools[name]
	if p == nil {
		p = &poolTickets{held: map[*lease]struct{}{}}
		t.pools[name] = p
	}
	return p
}

// register adds a ticket. It returns false for a ticket of an epoch below
// minEpoch, because the new dispatcher of the pool does not count it.
func (t *ticketRegistry) register(l *lease) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(l.ticket.Pool)
	if l.ticket.Epoch < p.minEpoch {
		return false
	}
	p.held[l] = struct{}{}
	return true
}

// remove deletes a ticket that is no longer in use.
func (t *ticketRegistry) remove(l *lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pool(l.ticket.Pool).held, l)
}

// handOver returns the tickets in use of a pool for its new dispatcher. Tickets
// of older epochs are not registered afterwards.
func (t *ticketRegistry) handOver(q dispatch.HeldQuery, dispatcher string) []dispatch.HeldTicket {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(q.Pool)
	if q.Epoch > p.minEpoch {
		p.minEpoch, p.dispatcher = q.Epoch, dispatcher
	}
	held := make([]dispatch.HeldTicket, 0, len(p.held))
	for l := range p.held {
		ticket := l.ticket
		ticket.Remaining = time.Until(l.deadline)
		if ticket.Remaining > 0 {
			held = append(held, dispatch.HeldTicket{Ticket: ticket, Team: l.team, Request: l.request})
		}
	}
	return held
}

// successor returns the dispatcher that last took over the tickets of a pool and
// the epoch of its assignment. Both are zero if none did.
func (t *ticketRegistry) successor(pool string) (string, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return "", 0
	}
	return p.dispatcher, p.minEpoch
}

// notifyEndpointLost calls the OnLost functions of the tickets for an endpoint.
// Only idempotent requests set one, since they can be retried elsewhere.
func (t *ticketRegistry) notifyEndpointLost(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		for l := range p.held {
			if l.ticket.Endpoint != endpoint {
				continue
			}
			if f := l.onLost.Load(); f != nil {
				(*f)()
			}
		}
	}
}

func (t *ticketRegistry) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.pools {
		n += len(p.held)
	}
	return n
}

// lease is a ticket that this instance holds. It implements caller.Lease.
type lease struct {
	router  *router
	ticket  dispatch.Ticket
	team    string
	request string
	// issuer is the dispatcher that issued the ticket.
	issuer   string
	deadline time.Time
	// viewPeriod is the period of the view under which the ticket was requested.
	viewPeriod uint64
	onLost     atomic.Pointer[func()]
}

// Ticket returns the ticket.
func (l *lease) Ticket() *dispatch.Ticket { return &l.ticket }

// Deadline returns the time at which the ticket ends.
func (l *lease) Deadline() time.Time { return l.deadline }

// OnLost sets the function that is called when the endpoint is lost.
func (l *lease) OnLost(f func()) { l.onLost.Store(&f) }

// Check returns an error for a ticket that was requested before this instance
// was isolated, because the pool may have got a new dispatcher that did not query
// this instance. It also returns an error for a ticket past its deadline.
func (l *lease) Check() error {
	if l.viewPeriod != l.router.views.Current().FreshPeriod || !time.Now().Before(l.deadline) {
		return caller.ErrStaleTicket
	}
	return nil
}

// Release returns the ticket to its dispatcher.
func (l *lease) Release(r dispatch.ReleaseRequest) {
	r.Ticket, r.Pool, r.Epoch, r.Request = l.ticket.ID, l.ticket.Pool, l.ticket.Epoch, l.request
	l.router.tickets.remove(l)
	l.router.release(r, l.issuer, l.deadline)
}
