package dispatch

import (
	"math/rand/v2"
	"time"

	"cactusspar/internal/retry"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Waiter receives the result of an acquire: a ticket, or a refusal if that is
// not nil. Answer is called once and must not block.
type Waiter interface {
	Answer(t Ticket, refusal *Refusal)
}

// Counter counts an event, split by a reason that may be empty.
type Counter func(event, reason string)

// Violation describes a broken invariant. The ticket concerned was not given.
type Violation struct {
	Invariant string
	Detail    string
}

// PoolOptions configures a Pool.
type PoolOptions struct {
	Name string
	// Entry is the own entry instance.
	Entry string
	// HeldSince is the first of the epochs up to the assigned one that this
	// process has had without a Pool, and so without giving tickets. It is the
	// assigned epoch or 0 if there are none before.
	HeldSince uint64
	// Random makes all random choices.
	Random *rand.Rand
	// Fresh tells whether the view is younger than the freshness bound.
	Fresh func() bool
	Count Counter
	// MaxRecords bounds the records of request identities.
	MaxRecords int
	// Violated receives broken invariants.
	Violated func(Violation)
}

// PoolView is the part of the view that concerns one pool.
type PoolView struct {
	Assignment state.Assignment
	Pool       rules.Pool
	Queues     map[string]rules.Queue
	Teams      map[string]rules.Team
	// Grants holds the amounts granted for this pool under the assignment's epoch.
	Grants map[string]int
	// Former holds grants for this pool under earlier epochs.
	Former    []state.Grant
	Instances []state.Instance
	Entries   map[string]state.Entry
}

type phase int

const (
	// recovering waits for the tickets and records of the epoch before.
	recovering phase = iota
	serving
	// retired gives out nothing more; it settles tickets and hands over records.
	retired
)

const (
	// housekeepingInterval is the resolution of leases and clean-up.
	housekeepingInterval = 100 * time.Millisecond
	// verifyInterval is the time between recounts of all counters.
	verifyInterval = time.Second
	// maxRemaining is the longest deadline of a request.
	maxRemaining = 30 * time.Second
)

// Pool is the dispatcher of one pool. It does no I/O and reads no clock: every
// method takes a reading of a monotonic clock since a fixed origin. It is not
// safe for concurrent use. After any input, Run gives out what can be given.
type Pool struct {
	opts  PoolOptions
	view  PoolView
	epoch uint64
	// firstEpoch is the epoch that was recovered; all epochs since are own ones.
	firstEpoch uint64
	phase      phase
	// started is the time of the first view of the epoch that was recovered.
	started time.Duration

	queue    fairQueue
	teams    map[string]*team
	teamList []*team // by name, so that sums don't depend on the order of a map
	budget   retry.Budget
	service  estimate
	round    uint64
	byID     map[string]*endpoint
	all      []*endpoint
	tickets  ticketTable
	records  recordTable
	copies   copyStream
	recovery recovery
	verified time.Duration
	cleaned  time.Duration
	// ran is the last time that leases were looked at, and listening the time
	// since which no gap was longer than maxSilence.
	ran, listening time.Duration
	// heldUntil is the end of the last hold of a slot.
	heldUntil time.Duration
}

// NewPool returns a pool that recovers the epoch of v.
func NewPool(now time.Duration, opts PoolOptions, v PoolView) *Pool {
	p := &Pool{
		opts: opts, phase: recovering, started: now,
		epoch: v.Assignment.Epoch, firstEpoch: v.Assignment.Epoch,
		queue:   newFairQueue(),
		teams:   map[string]*team{},
		byID:    map[string]*endpoint{},
		tickets: newTicketTable(opts.Random.Uint64() >> 16),
		records: newRecordTable(),
		cleaned: now, verified: now, ran: now, listening: now,
	}
	p.copies.reset(now, v.Assignment.Backup)
	p.recovery = newRecovery(now, v.Assignment)
	if opts.HeldSince > 0 && opts.HeldSince < p.firstEpoch {
		p.recovery.claims = []Claim{{From: opts.HeldSince, To: p.firstEpoch - 1, Idle: true}}
	}
	p.apply(now, v)
	return p
}

// Epoch returns the epoch of the assignment that the pool dispatches under.
func (p *Pool) Epoch() uint64 { return p.epoch }

// Serving tells whether the pool gives out tickets.
func (p *Pool) Serving() bool { return p.phase == serving }

// Retired tells whether the pool gives out nothing more.
func (p *Pool) Retired() bool { return p.phase == retired }

// Waiting returns the number of requests without an answer.
func (p *Pool) Waiting() int { return len(p.queue.byKey) }

// Configure takes in a new view. It reports false if v doesn't continue the own
// epoch, because another dispatcher may have been assigned since; the pool is
// then retired.
func (p *Pool) Configure(now time.Duration, v PoolView) bool {
	if p.phase == retired {
		return false
	}
	as := v.Assignment
	switch {
	case as.Epoch < p.epoch:
		return true
	case !continues(as, p.epoch, p.opts.Entry):
		p.Retire(now, as.Epoch)
		return false
	case as.Epoch > p.epoch:
		p.continueUnder(now, as)
	}
	p.apply(now, v)
	return true
}

// continues tells whether no other dispatcher can have had the pool between the
// own epoch and an assignment.
func continues(as state.Assignment, epoch uint64, entry string) bool {
	if as.Dispatcher != entry {
		return false
	}
	return as.Epoch <= epoch+1 || (as.Epoch == epoch+2 && as.Previous == entry)
}

// continueUnder moves to a later epoch with the own records and tickets. The
// work in progress stays charged to the grants of the epoch before.
func (p *Pool) continueUnder(now time.Duration, as state.Assignment) {
	p.epoch = as.Epoch
	p.copies.reset(now, as.Backup)
	for _, t := range p.teams {
		t.running = 0
		t.grant = 0
	}
	p.recovery.orphaned = p.recovery.orphaned || as.Orphaned
	p.opts.Count("epoch-continued", "")
}

func (p *Pool) apply(now time.Duration, v PoolView) {
	for id := range p.view.Entries {
		if _, ok := v.Entries[id]; !ok {
			p.dropRequestsOf(now, id)
		}
	}
	p.view = v
	p.applyTeams(now)
	p.applyInstances(now)
}

// dropRequestsOf withdraws the waiting requests of a lost entry instance, so
// that they don't get tickets that nobody uses.
func (p *Pool) dropRequestsOf(now time.Duration, from string) {
	for _, r := range p.queue.byKey {
		if r.from == from {
			p.refuseWaiting(now, r, refuse(CodeExpired, time.Second, "entry instance %q is lost", from))
		}
	}
}

// Retire refuses all waiting requests; the pool gives out nothing more. The
// epoch is that of the assignment that replaces the own one.
func (p *Pool) Retire(now time.Duration, epoch uint64) {
	if p.phase == retired {
		return
	}
	p.recovery.interrupted = p.phase == recovering
	p.phase = retired
	p.refuseAll(now, CodeNotDispatcher, "the pool moved to the assignment of epoch %d", epoch)
}

// Stop refuses all waiting requests because the process ends.
func (p *Pool) Stop(now time.Duration) {
	p.recovery.interrupted = p.recovery.interrupted || p.phase == recovering
	p.phase = retired
	p.refuseAll(now, CodeStopping, "the entry instance stops")
}

func (p *Pool) refuseAll(now time.Duration, code, format string, args ...any) {
	for _, r := range p.queue.byKey {
		p.refuseWaiting(now, r, refuse(code, time.Second, format, args...))
	}
}

// Run expires what has ended and gives out tickets until nothing more can be given.
func (p *Pool) Run(now time.Duration) {
	p.expireTickets(now)
	p.expireRequests(now)
	p.records.expire(now)
	if now-p.cleaned >= housekeepingInterval {
		p.cleaned = now
		p.watchLeases(now)
		p.dropTeams()
	}
	if now-p.verified >= verifyInterval {
		p.verified = now
		p.verify()
	}
	if p.phase == recovering {
		p.tryFinishRecovery(now)
	}
	if p.phase != serving {
		return
	}
	p.admitWithoutBackup(now)
	p.dispatch(now)
}

// Next returns the time at which Run has to be called again at the latest.
func (p *Pool) Next(now time.Duration) time.Duration {
	next := now + housekeepingInterval
	if now < p.heldUntil {
		next = now + minHold
	}
	if p.queue.expiry.len() > 0 {
		next = min(next, p.queue.expiry.min().expires)
	}
	if p.tickets.ends.len() > 0 {
		next = min(next, p.tickets.ends.min().deadline)
	}
	return max(next, now)
}

// Finished tells whether a retired pool has no work and no records left.
func (p *Pool) Finished() bool {
	return p.phase == retired && len(p.tickets.byKey) == 0 && len(p.records.byID) == 0
}

// Running returns the number of tickets in use.
func (p *Pool) Running() int { return len(p.tickets.byKey) }
