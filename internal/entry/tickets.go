package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"cactusspar/internal/caller"
	"cactusspar/internal/dispatch"
)

// tickets is the registry of the tickets that this instance holds.
type tickets struct {
	mu    sync.Mutex
	pools map[string]*poolTickets
}

// poolTickets holds the tickets of a pool.
type poolTickets struct {
	// epoch is the oldest epoch whose tickets may be used. It is raised when a
	// new dispatcher has asked for the tickets held here.
	epoch uint64
	// dispatcher asked for the tickets of epoch.
	dispatcher string
	held       map[*lease]struct{}
}

func newTickets() *tickets {
	return &tickets{pools: map[string]*poolTickets{}}
}

func (t *tickets) pool(name string) *poolTickets {
	p := t.pools[name]
	if p == nil {
		p = &poolTickets{held: map[*lease]struct{}{}}
		t.pools[name] = p
	}
	return p
}

// hold registers a ticket. It returns false for a ticket of an epoch that is
// over: its dispatcher's successor doesn't count it.
func (t *tickets) hold(l *lease) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(l.ticket.Pool)
	if l.ticket.Epoch < p.epoch {
		return false
	}
	p.held[l] = struct{}{}
	return true
}

// drop removes a ticket that is no longer in use.
func (t *tickets) drop(l *lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pool(l.ticket.Pool).held, l)
}

// handOver returns the tickets in use of a pool to its new dispatcher. No
// ticket of an older epoch is registered afterwards.
func (t *tickets) handOver(q dispatch.HeldQuery, dispatcher string) []dispatch.HeldTicket {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(q.Pool)
	if q.Epoch > p.epoch {
		p.epoch, p.dispatcher = q.Epoch, dispatcher
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

// successor returns the dispatcher that took over the tickets of a pool, and
// its epoch.
func (t *tickets) successor(pool string) (string, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return "", 0
	}
	return p.dispatcher, p.epoch
}

// endpointLost cancels what runs on an endpoint that was lost, as far as it
// can be tried again.
func (t *tickets) endpointLost(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		for l := range p.held {
			if l.ticket.Endpoint != endpoint {
				continue
			}
			if f := l.lost.Load(); f != nil {
				(*f)()
			}
		}
	}
}

func (t *tickets) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.pools {
		n += len(p.held)
	}
	return n
}

// lease is a ticket held here. It implements caller.Lease.
type lease struct {
	router  *router
	ticket  dispatch.Ticket
	team    string
	request string
	// from is the dispatcher that gave the ticket.
	from     string
	deadline time.Time
	// period is that of the view under which the ticket was asked for.
	period uint64
	lost   atomic.Pointer[func()]
}

// Ticket returns the ticket.
func (l *lease) Ticket() *dispatch.Ticket { return &l.ticket }

// Deadline returns the end of the ticket.
func (l *lease) Deadline() time.Time { return l.deadline }

// OnLost sets what is called when the endpoint is lost.
func (l *lease) OnLost(f func()) { l.lost.Store(&f) }

// Check refuses a ticket that was obtained before this instance was isolated:
// its dispatcher may have been replaced without asking here. A ticket whose
// time is over is refused as well.
func (l *lease) Check() error {
	if l.period != l.router.views.Current().Period || !time.Now().Before(l.deadline) {
		return caller.ErrOldTicket
	}
	return nil
}

// Release gives the ticket back.
func (l *lease) Release(r dispatch.Release) {
	r.Ticket, r.Pool, r.Epoch, r.Request = l.ticket.ID, l.ticket.Pool, l.ticket.Epoch, l.request
	l.router.tickets.drop(l)
	l.router.release(r, l.from, l.deadline)
}
