package dispatch

import (
	"math/rand/v2"
	"time"

	"cactusspar/internal/retry"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Waiter receives the result of an acquire: a refusal if it is not nil,
// otherwise a ticket. Answer is called once and must not block.
type Waiter interface {
	Answer(t Ticket, refusal *Refusal)
}

// Counter increments the counter of an event. The reason label may be empty.
type Counter func(event, reason string)

// Violation describes a broken invariant. Those other than InvariantCount are found
// before a ticket is issued, which is then withheld.
type Violation struct {
	Invariant string
	Detail    string
}

// PoolOptions configures a Pool.
type PoolOptions struct {
	Name string
	// Entry is the local entry instance.
	Entry string
	// IdleSince is the first of the consecutive epochs, up to the assigned one,
	// that were assigned to this process while it had no Pool, and under which it
	// therefore issued no tickets. It is the assigned epoch or 0 if there are no
	// earlier ones.
	IdleSince uint64
	// Random is the source of all random choices.
	Random *rand.Rand
	// Fresh reports whether the view is younger than the freshness bound.
	Fresh func() bool
	Count Counter
	// MaxRecords bounds the records of request identities.
	MaxRecords int
	// Violated is called for each broken invariant.
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
	// recovering waits for the tickets and records of earlier epochs.
	recovering phase = iota
	serving
	// retired issues no more tickets; releases are still processed and records
	// handed over.
	retired
)

const (
	// housekeepingInterval is the time between lease checks and clean-ups.
	housekeepingInterval = 100 * time.Millisecond
	// verifyInterval is the time between recounts of all counters.
	verifyInterval = time.Second
	// maxRemaining caps the time until the deadline of a request.
	maxRemaining = 30 * time.Second
)

// Pool is the dispatcher of one pool. It does no I/O and reads no clock: every
// method takes the time since a fixed origin of a monotonic clock. It is not
// safe for concurrent use. Run must be called after any input to issue tickets.
type Pool struct {
	opts  PoolOptions
	view  PoolView
	epoch uint64
	// firstEpoch is the epoch at which recovery started. The pool has been the
	// dispatcher under all epochs since.
	firstEpoch uint64
	phase      phase
	// startedAt is the time of the first view with firstEpoch.
	startedAt time.Duration

	queue         fairQueue
	teams         map[string]*team
	teamList      []*team // sorted by name, so that sums don't depend on map order
	budget        retry.Budget
	serviceTime   movingEstimate
	estimateRound uint64
	byID          map[string]*endpoint
	endpoints     []*endpoint
	tickets       ticketTable
	records       recordTable
	copies        copyStream
	recovery      recovery
	verifiedAt    time.Duration
	cleanedAt     time.Duration
	// lastLeaseCheck is the time of the last lease check. observingSince is the
	// time since which no two checks were more than maxRunGap apart.
	lastLeaseCheck, observingSince time.Duration
	// heldUntil is the latest end of a slot hold.
	heldUntil time.Duration
}

// NewPool returns a pool that starts recovery for the epoch of v.
func NewPool(now time.Duration, opts PoolOptions, v PoolView) *Pool {
	p := &Pool{
		opts: opts, phase: recovering, startedAt: now,
		epoch: v.Assignment.Epoch, firstEpoch: v.Assignment.Epoch,
		queue:     newFairQueue(),
		teams:     map[string]*team{},
		byID:      map[string]*endpoint{},
		tickets:   newTicketTable(opts.Random.Uint64() >> 16),
		records:   newRecordTable(),
		cleanedAt: now, verifiedAt: now, lastLeaseCheck: now, observingSince: now,
	}
	p.copies.reset(now, v.Assignment.Backup)
	p.recovery = newRecovery(now, v.Assignment)
	if opts.IdleSince > 0 && opts.IdleSince < p.firstEpoch {
		p.recovery.claims = []Claim{{From: opts.IdleSince, To: p.firstEpoch - 1, Idle: true}}
	}
	p.apply(now, v)
	return p
}

// Epoch returns the epoch of the assignment that the pool dispatches under.
func (p *Pool) Epoch() uint64 { return p.epoch }

// Serving reports whether the pool issues tickets.
func (p *Pool) Serving() bool { return p.phase == serving }

// Retired reports whether the pool has permanently stopped issuing tickets.
func (p *Pool) Retired() bool { return p.phase == retired }

// Waiting returns the number of requests that wait for a response.
func (p *Pool) Waiting() int { return len(p.queue.byKey) }

// Configure applies a new view. It returns false and retires the pool if another
// dispatcher may have been assigned between the pool's epoch and that of v. It
// also returns false if the pool is already retired.
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
		p.continueEpoch(now, as)
	}
	p.apply(now, v)
	return true
}

// continues reports whether entry is the dispatcher of as and no other dispatcher
// can have been assigned between epoch and as.
func continues(as state.Assignment, epoch uint64, entry string) bool {
	if as.Dispatcher != entry {
		return false
	}
	return as.Epoch <= epoch+1 || (as.Epoch == epoch+2 && as.Previous == entry)
}

// continueEpoch moves to a later epoch and keeps the records and tickets. Work in
// progress stays charged to the grants of the previous epoch.
func (p *Pool) continueEpoch(now time.Duration, as state.Assignment) {
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
			p.refuseRequestsOf(now, id)
		}
	}
	p.view = v
	p.applyTeams(now)
	p.applyInstances(now)
}

// refuseRequestsOf refuses the waiting requests of a lost entry instance, so that
// no tickets are issued that nobody would use.
func (p *Pool) refuseRequestsOf(now time.Duration, from string) {
	for _, r := range p.queue.byKey {
		if r.from == from {
			p.refuseWaiting(now, r, refuse(CodeExpired, time.Second, "entry instance %q is lost", from))
		}
	}
}

// Retire refuses all waiting requests and stops the issue of tickets. The epoch
// is that of the assignment that replaces the pool's.
func (p *Pool) Retire(now time.Duration, epoch uint64) {
	if p.phase == retired {
		return
	}
	p.recovery.interrupted = p.phase == recovering
	p.phase = retired
	p.refuseAll(now, CodeNotDispatcher, "the pool moved to the assignment of epoch %d", epoch)
}

// Stop refuses all waiting requests because the process is stopping.
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

// Run expires tickets, requests and records, does the periodic checks, and issues
// as many tickets as possible.
func (p *Pool) Run(now time.Duration) {
	p.expireTickets(now)
	p.expireRequests(now)
	p.records.expire(now)
	if now-p.cleanedAt >= housekeepingInterval {
		p.cleanedAt = now
		p.checkLeases(now)
		p.removeUnusedTeams()
	}
	if now-p.verifiedAt >= verifyInterval {
		p.verifiedAt = now
		p.verifyCounters()
	}
	if p.phase == recovering {
		p.finishRecoveryIfReady(now)
	}
	if p.phase != serving {
		return
	}
	p.admitWithoutBackup(now)
	p.dispatch(now)
}

// NextRun returns the latest time at which Run must be called again.
func (p *Pool) NextRun(now time.Duration) time.Duration {
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

// Finished reports whether the pool is retired and has no tickets or records left.
func (p *Pool) Finished() bool {
	return p.phase == retired && len(p.tickets.byKey) == 0 && len(p.records.byID) == 0
}

// Running returns the number of tickets in use.
func (p *Pool) Running() int { return len(p.tickets.byKey) }
