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
	// maxRetiredRunners bounds the earlier epochs of a pool that are settled at
	// a time.
	maxRetiredRunners = 4
	// expireInterval is the time between clean-ups of the backup's records.
	expireInterval = 5 * time.Second
)

// Service runs the pools that the view assigns to this entry instance. Its
// methods are safe for concurrent use.
type Service struct {
	opts    Options
	origin  time.Time
	ctx     context.Context // of the calls to peers; ends with Close
	cancel  context.CancelFunc
	backups *backupStore
	wg      conc.WaitGroup

	mu sync.RWMutex
	// current holds the pools dispatched here, former those dispatched here
	// earlier that still have work or records.
	current map[string]*runner
	former  map[string][]*runner
	// dispatched holds the last epoch under which each pool was dispatched here.
	dispatched map[string]uint64
	pools      uint64 // number of pools started, to seed their random choices
	closed     bool
	expired    time.Duration
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

// Update replaces what the service knows of the view.
func (s *Service) Update(a Snapshot) {
	views := ownPools(s.opts.Entry, &a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for name, r := range s.current {
		as, assigned := a.Assignments[name]
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
		// A view from before a new dispatcher asked must not restart its predecessor.
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

// heldSince returns the first epoch from which this process has had a pool
// without dispatching it. A view may skip epochs, for example those of a start
// at which entry instances register one after the other.
func (s *Service) heldSince(v PoolView) uint64 {
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

// retire ends the dispatching of a pool. Its tickets and records stay.
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

// cleanUp forgets runners that have ended and records that have expired.
func (s *Service) cleanUp() {
	now := s.now()
	if now-s.expired < expireInterval {
		return
	}
	s.expired = now
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

// ownPools returns the views of the pools assigned to an entry instance.
func ownPools(entry string, a *Snapshot) map[string]PoolView {
	views := map[string]PoolView{}
	if a.Rules == nil {
		return views
	}
	for name, as := range a.Assignments {
		pool, known := a.Rules.Pools[name]
		if as.Dispatcher != entry || !known {
			continue
		}
		as.Pool = name
		views[name] = PoolView{
			Assignment: as, Pool: pool, Queues: a.Rules.Queues, Teams: a.Rules.Teams,
			Grants: map[string]int{}, Entries: a.Entries,
		}
	}
	for _, g := range a.Grants {
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
	for _, in := range a.Instances {
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

// answer is the result of an acquire.
type answer struct {
	ticket  Ticket
	refusal *Refusal
}

// call is an acquire that waits for its answer.
type call struct{ answers chan answer }

// Answer hands over the result.
func (c *call) Answer(t Ticket, refusal *Refusal) { c.answers <- answer{t, refusal} }

// Acquire waits for a ticket until the deadline in a. The error is a *Refusal.
// When ctx ends first, the request is withdrawn.
func (s *Service) Acquire(ctx context.Context, from string, a Acquire) (Ticket, error) {
	r, refusal := s.dispatcher(a.Pool)
	if refusal != nil {
		return Ticket{}, refusal
	}
	c := &call{answers: make(chan answer, 1)}
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
		return Ticket{}, gone(a.Pool)
	}
	select {
	case got := <-c.answers:
		return got.result()
	case <-ctx.Done():
		r.post(func(p *Pool, now time.Duration) { c.withdraw(p, now, from, a.Request) })
		return Ticket{}, refuse(CodeExpired, time.Second, "the request was withdrawn")
	case <-r.done:
	}
	select {
	case got := <-c.answers:
		return got.result()
	default:
		return Ticket{}, gone(a.Pool)
	}
}

// result returns the answer as the results of Acquire. A nil *Refusal must not
// become an error that isn't nil.
func (a answer) result() (Ticket, error) {
	if a.refusal != nil {
		return Ticket{}, a.refusal
	}
	return a.ticket, nil
}

func gone(pool string) *Refusal {
	return refuse(CodeNotDispatcher, time.Second, "pool %q is not dispatched here", pool)
}

// withdraw runs on the pool's goroutine, where answers are given: if there is
// none by now, the request still waits.
func (c *call) withdraw(p *Pool, now time.Duration, from, id string) {
	select {
	case got := <-c.answers:
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
		return nil, gone(pool)
	}
	return r, nil
}

// runners returns the present and former runners of a pool.
func (s *Service) runners(pool string) []*runner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	runners := slices.Clone(s.former[pool])
	if r := s.current[pool]; r != nil {
		runners = append(runners, r)
	}
	return runners
}

// Release gives a ticket back. It is idempotent. A ticket of an earlier epoch
// may be known to the former and the present dispatcher: both are to be told.
func (s *Service) Release(from string, r Release) {
	for _, runner := range s.runners(r.Pool) {
		runner.post(func(p *Pool, now time.Duration) { p.Release(now, from, r) })
	}
}

// Cancel withdraws a request that waits, and takes back as not run the ticket
// that it may have got. The sender must not use such a ticket any more.
func (s *Service) Cancel(from string, pool string, request string) {
	for _, runner := range s.runners(pool) {
		runner.post(func(p *Pool, now time.Duration) { p.Cancel(now, from, request) })
	}
}

// Announce takes in announcements of endpoints.
func (s *Service) Announce(a Announce) {
	s.mu.RLock()
	r := s.current[a.Pool]
	s.mu.RUnlock()
	if r != nil {
		r.post(func(p *Pool, now time.Duration) { p.Announce(now, a.Items) })
	}
}

// Copy takes in records as the backup of a pool. An error asks the sender for
// a full copy.
func (s *Service) Copy(c Copy) error { return s.backups.store(s.now(), &c) }

// Held returns the records that this instance holds for a pool, and the tickets
// that it gave as the former dispatcher. The caller adds to the first page the
// tickets in use here, without a holder. Afterwards no ticket of an older epoch is given.
func (s *Service) Held(q HeldQuery) Held {
	s.mu.Lock()
	if r := s.current[q.Pool]; r != nil && r.epoch < q.Epoch {
		s.retire(r, q.Epoch)
	}
	former := slices.Clone(s.former[q.Pool])
	s.mu.Unlock()
	var own Held
	if q.From == 0 {
		for _, h := range ask(former, func(p *Pool, now time.Duration) Held { return p.Held(now) }) {
			own.Tickets = append(own.Tickets, h.Tickets...)
			own.Records = append(own.Records, h.Records...)
			own.Claims = append(own.Claims, h.Claims...)
			own.UnknownFor = max(own.UnknownFor, h.UnknownFor)
			own.Copied = max(own.Copied, h.Copied)
		}
	}
	return s.backups.hold(s.now(), q, own)
}

// ask calls f on the goroutines of runners and returns the results. Runners
// that have ended are left out.
func ask[T any](runners []*runner, f func(p *Pool, now time.Duration) T) []T {
	answers := make([]chan T, len(runners))
	for i, r := range runners {
		ch := make(chan T, 1)
		if r.post(func(p *Pool, now time.Duration) { ch <- f(p, now) }) {
			answers[i] = ch
		}
	}
	var results []T
	for i, ch := range answers {
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

func (s *Service) all() []*runner {
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

// Demand returns what the dispatched pools hold and need of the teams' limits.
// It reflects every Update that returned before.
func (s *Service) Demand() []view.Demand {
	return slices.Concat(ask(s.all(), func(p *Pool, now time.Duration) []view.Demand { return p.Demand(now) })...)
}

// LostAndBack returns the instances whose announcements ended although the
// view counts them as present, and those that announce themselves again
// although the view counts them as lost. Both are repeated until the view agrees.
func (s *Service) LostAndBack() (lost, back []string) {
	type both struct{ lost, back []string }
	for _, b := range ask(s.all(), func(p *Pool, now time.Duration) both {
		lost, back := p.LostAndBack(now)
		return both{lost, back}
	}) {
		lost = append(lost, b.lost...)
		back = append(back, b.back...)
	}
	return lost, back
}

// Drained returns the draining instances that have no work left. They are
// repeated until the view agrees.
func (s *Service) Drained() []string {
	return slices.Concat(ask(s.all(), func(p *Pool, now time.Duration) []string { return p.Drained(now) })...)
}

// Close stops all pools and waits for their goroutines until ctx ends. Waiting
// requests are refused with CodeStopping.
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
