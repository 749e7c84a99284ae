package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

const (
	// maxRetiredRunners bounds the retired runners of a pool that are kept to
	// finish their tickets and hand over their records.
	maxRetiredRunners = 4
	// cleanUpInterval is the time between clean-ups of backup records and ended
	// runners.
	cleanUpInterval = 5 * time.Second
)

// Service runs the pools that the view assigns to this entry instance. Its
// methods are safe for concurrent use.
type Service struct {
	opts    Options
	origin  time.Time
	ctx     context.Context // for calls to peers; cancelled by Close
	cancel  context.CancelFunc
	backups *backupStore
	wg      conc.WaitGroup

	mu sync.RWMutex
	// current holds the pools dispatched here. former holds those dispatched here
	// earlier that may still have tickets or records.
	current map[string]*runner
	former  map[string][]*runner
	// dispatched holds the last epoch under which each pool was dispatched here.
	dispatched map[string]uint64
	pools      uint64 // number of pools started, to seed their random choices
	closed     bool
	cleanedAt  time.Duration
}

// NewService returns a service that runs no pool until the first Update.
func NewService(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.Seed == 0 {
		opts.Seed = opts.Incarnation
	}
	if opts.MaxRecords == 0 {
		opts.MaxRecords = defaultMaxRecords
	}
	s := &Service{
		opts: opts, origin: opts.Clock(), backups: newBackupStore(opts.MaxRecords),
		current: map[string]*runner{}, former: map[string][]*runner{}, dispatched: map[string]uint64{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// now returns the time since the service started.
func (s *Service) now() time.Duration { return s.opts.Clock().Sub(s.origin) }

// Update applies a new view.
func (s *Service) Update(snap Snapshot) {
	views := ownPools(s.opts.Entry, &snap)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for name, r := range s.current {
		as, assigned := snap.Assignments[name]
		if _, own := views[name]; !own && (!assigned || as.Epoch >= r.epoch) {
			s.retire(r, as.Epoch)
		}
	}
	for name, v := range views {
		s.updatePool(name, v)
	}
	s.cleanUp()
}

func (s *Service) updatePool(name string, v PoolView) {
	epoch := v.Assignment.Epoch
	r := s.current[name]
	if r != nil && !continues(v.Assignment, r.epoch, s.opts.Entry) {
		s.retire(r, epoch)
		r = nil
	}
	if r != nil {
		r.epoch = max(r.epoch, epoch)
		s.dispatched[name] = r.epoch
		r.post(func(p *Pool, now time.Duration) { p.Configure(now, v) })
		return
	}
	for _, old := range s.former[name] {
		// An outdated view must not restart a pool that was retired under this epoch
		// or a later one, for example when a new dispatcher asked for its records.
		if epoch <= old.epoch {
			return
		}
	}
	r = newRunner(s, v)
	s.current[name] = r
	s.dispatched[name] = epoch
	s.wg.Go(r.run)
	s.opts.Log.Info("Started to dispatch a pool.", "pool", name, "epoch", epoch)
}

// idleSince returns the first epoch from which a pool was assigned to this process
// without being dispatched, or 0 if that isn't known. A view may skip epochs, for
// example at a start, when the entry instances register one after the other.
func (s *Service) idleSince(v PoolView) uint64 {
	as := v.Assignment
	if v.Entries[s.opts.Entry].Incarnation != s.opts.Incarnation {
		return 0
	}
	since := as.Since
	if last := s.dispatched[as.Pool]; since > 0 {
		since = max(since, last+1)
	}
	return since
}

// retire stops the dispatching of a pool. Its runner keeps the tickets and records.
func (s *Service) retire(r *runner, epoch uint64) {
	r.post(func(p *Pool, now time.Duration) { p.Retire(now, epoch) })
	delete(s.current, r.name)
	former := append(s.former[r.name], r)
	if len(former) > maxRetiredRunners {
		close(former[0].stop)
		former = former[1:]
	}
	s.former[r.name] = former
	s.opts.Log.Info("Stopped dispatching a pool.", "pool", r.name, "epoch", r.epoch, "new_epoch", epoch)
}

// cleanUp removes runners that have ended and backup records that have expired.
func (s *Service) cleanUp() {
	now := s.now()
	if now-s.cleanedAt < cleanUpInterval {
		return
	}
	s.cleanedAt = now
	s.backups.expire(now)
	for name, runners := range s.former {
		runners = slices.DeleteFunc(runners, func(r *runner) bool {
			select {
			case <-r.done:
				return true
			default:
				return false
			}
		})
		s.former[name] = runners
		if len(runners) == 0 {
			delete(s.former, name)
		}
	}
}

// ownPools returns the views of the pools that are assigned to an entry instance.
func ownPools(entry string, snap *Snapshot) map[string]PoolView {
	views := map[string]PoolView{}
	if snap.Rules == nil {
		return views
	}
	for name, as := range snap.Assignments {
		pool, known := snap.Rules.Pools[name]
		if as.Dispatcher != entry || !known {
			continue
		}
		as.Pool = name
		views[name] = PoolView{
			Assignment: as, Pool: pool, Queues: snap.Rules.Queues, Teams: snap.Rules.Teams,
			Grants: map[string]int{}, Entries: snap.Entries,
		}
	}
	for _, g := range snap.Grants {
		v, own := views[g.Pool]
		switch {
		case own && g.Epoch == v.Assignment.Epoch:
			v.Grants[g.Team] = g.Amount
		case own && g.Epoch < v.Assignment.Epoch:
			v.Former = append(v.Former, g)
			views[g.Pool] = v
		}
	}
	byPool := map[string][]state.Instance{}
	for _, in := range snap.Instances {
		byPool[in.Pool] = append(byPool[in.Pool], in)
	}
	for name, v := range views {
		v.Instances = byPool[name]
		slices.SortFunc(v.Instances, func(a, b state.Instance) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
		views[name] = v
	}
	return views
}

// response is the result of an acquire.
type response struct {
	ticket  Ticket
	refusal *Refusal
}

// call is an acquire that waits for its response.
type call struct{ responses chan response }

// Answer sends the result to the goroutine that waits for it.
func (c *call) Answer(t Ticket, refusal *Refusal) { c.responses <- response{t, refusal} }

// Acquire waits for a ticket until the deadline in a. Any error is a *Refusal. If
// ctx ends first, the request is withdrawn.
func (s *Service) Acquire(ctx context.Context, from string, a AcquireRequest) (Ticket, error) {
	r, refusal := s.dispatcher(a.Pool)
	if refusal != nil {
		return Ticket{}, refusal
	}
	c := &call{responses: make(chan response, 1)}
	arrived := s.now()
	ev := func(p *Pool, now time.Duration) {
		a.Remaining -= now - arrived
		p.Acquire(now, from, a, c)
	}
	select {
	case r.inbox <- ev:
	case <-ctx.Done():
		return Ticket{}, refuse(CodeExpired, time.Second, "the request was withdrawn")
	case <-r.done:
		return Ticket{}, notDispatched(a.Pool)
	}
	select {
	case got := <-c.responses:
		return got.result()
	case <-ctx.Done():
		r.post(func(p *Pool, now time.Duration) { c.withdraw(p, now, from, a.Request) })
		return Ticket{}, refuse(CodeExpired, time.Second, "the request was withdrawn")
	case <-r.done:
	}
	select {
	case got := <-c.responses:
		return got.result()
	default:
		return Ticket{}, notDispatched(a.Pool)
	}
}

// result converts the response to the results of Acquire. It returns an untyped nil
// error, because a nil *Refusal in an error interface is not nil.
func (a response) result() (Ticket, error) {
	if a.refusal != nil {
		return Ticket{}, a.refusal
	}
	return a.ticket, nil
}

func notDispatched(pool string) *Refusal {
	return refuse(CodeNotDispatcher, time.Second, "pool %q is not dispatched here", pool)
}

// withdraw ends the request of c. It runs on the pool's goroutine, as do all
// responses: without a response by now, the request still waits.
func (c *call) withdraw(p *Pool, now time.Duration, from, id string) {
	select {
	case got := <-c.responses:
		if got.refusal == nil {
			p.Withdraw(now, from, id, c, &got.ticket)
		}
	default:
		p.Withdraw(now, from, id, c, nil)
	}
}

func (s *Service) dispatcher(pool string) (*runner, *Refusal) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return nil, refuse(CodeStopping, time.Second, "the entry instance stops")
	}
	r := s.current[pool]
	if r == nil {
		return nil, notDispatched(pool)
	}
	return r, nil
}

// runners returns the current and former runners of a pool.
func (s *Service) runners(pool string) []*runner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	runners := slices.Clone(s.former[pool])
	if r := s.current[pool]; r != nil {
		runners = append(runners, r)
	}
	return runners
}

// Release returns a ticket. It is idempotent. It is passed to the current and all
// former dispatchers of the pool, because a ticket of an earlier epoch may be known
// to several of them.
func (s *Service) Release(from string, r ReleaseRequest) {
	for _, runner := range s.runners(r.Pool) {
		runner.post(func(p *Pool, now time.Duration) { p.Release(now, from, r) })
	}
}

// Cancel withdraws one acquire of a request that waits, or revokes its ticket as not run
// if one was issued. The sender must not use such a ticket any more.
func (s *Service) Cancel(from, pool, request string, try uint64) {
	for _, runner := range s.runners(pool) {
		runner.post(func(p *Pool, now time.Duration) { p.Cancel(now, from, request, try) })
	}
}

// Announce applies announcements of endpoints. It ignores pools that are not
// dispatched here.
func (s *Service) Announce(a AnnounceBatch) {
	s.mu.RLock()
	r := s.current[a.Pool]
	s.mu.RUnlock()
	if r != nil {
		r.post(func(p *Pool, now time.Duration) { p.Announce(now, a.Items) })
	}
}

// Copy stores records as the backup of a pool. After an error the sender must send a
// full copy.
func (s *Service) Copy(c RecordCopy) error { return s.backups.store(s.now(), &c) }

// Held returns the records that this instance holds for a pool, and the tickets that
// it issued as the former dispatcher. The caller adds to the first page the tickets
// in use at this instance, with no Holder. After Held, no ticket of an epoch older
// than that of q is issued here.
func (s *Service) Held(q HeldQuery) HeldResponse {
	s.mu.Lock()
	if r := s.current[q.Pool]; r != nil && r.epoch < q.Epoch {
		s.retire(r, q.Epoch)
	}
	former := slices.Clone(s.former[q.Pool])
	s.mu.Unlock()
	var own HeldResponse
	if q.From == 0 {
		for _, h := range collect(former, func(p *Pool, now time.Duration) HeldResponse { return p.Held(now) }) {
			own.Tickets = append(own.Tickets, h.Tickets...)
			own.Records = append(own.Records, h.Records...)
			own.Claims = append(own.Claims, h.Claims...)
			own.UnknownFor = max(own.UnknownFor, h.UnknownFor)
			own.Copied = max(own.Copied, h.Copied)
		}
	}
	return s.backups.handOver(s.now(), q, own)
}

// collect calls f on the goroutines of runners and returns the results. Runners that
// have ended are left out.
func collect[T any](runners []*runner, f func(p *Pool, now time.Duration) T) []T {
	responses := make([]chan T, len(runners))
	for i, r := range runners {
		ch := make(chan T, 1)
		if r.post(func(p *Pool, now time.Duration) { ch <- f(p, now) }) {
			responses[i] = ch
		}
	}
	var results []T
	for i, ch := range responses {
		if ch == nil {
			continue
		}
		select {
		case v := <-ch:
			results = append(results, v)
		case <-runners[i].done:
		}
	}
	return results
}

func (s *Service) allRunners() []*runner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var runners []*runner
	for _, r := range s.current {
		runners = append(runners, r)
	}
	for _, former := range s.former {
		runners = append(runners, former...)
	}
	return runners
}

// Demand returns the grants in use and the waiting requests of all pools dispatched
// here. It reflects every Update that has returned.
func (s *Service) Demand() []view.Demand {
	return slices.Concat(collect(s.allRunners(), func(p *Pool, now time.Duration) []view.Demand { return p.Demand(now) })...)
}

// LostAndReturned returns the instances whose announcements stopped although the view has
// them as active or draining, and those that announce themselves again although the
// view has them as lost or rebooting. Each call returns them until the view agrees.
func (s *Service) LostAndReturned() (lost, returned []string) {
	type both struct{ lost, returned []string }
	for _, b := range collect(s.allRunners(), func(p *Pool, now time.Duration) both {
		lost, returned := p.LostAndReturned(now)
		return both{lost, returned}
	}) {
		lost = append(lost, b.lost...)
		returned = append(returned, b.returned...)
	}
	return lost, returned
}

// Drained returns the draining instances that have no work left. Each call returns
// them until the view agrees.
func (s *Service) Drained() []string {
	return slices.Concat(collect(s.allRunners(), func(p *Pool, now time.Duration) []string { return p.Drained(now) })...)
}

// Close stops all pools and waits until their goroutines or ctx end. Waiting requests
// are refused with CodeStopping.
func (s *Service) Close(ctx context.Context) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	for _, r := range s.current {
		close(r.stop)
	}
	for _, former := range s.former {
		for _, r := range former {
			close(r.stop)
		}
	}
	s.mu.Unlock()
	s.cancel()
	done := make(chan struct{})
	var waiter conc.WaitGroup
	waiter.Go(func() {
		defer close(done)
		s.wg.Wait()
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
