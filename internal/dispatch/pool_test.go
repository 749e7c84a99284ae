package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// testMaxRecords is the record limit in tests. It is several pages long.
const testMaxRecords = 3*copyPageRecords + 10

// fixture is a serving pool with endpoints of 8 slots and teams "a" and "b" of
// equal share, limit 1000 and grant 1000.
type fixture struct {
	t         testing.TB
	now       time.Duration
	pool      *Pool
	view      PoolView
	counts    map[string]int
	responses map[string]response
	sequence  int
	// idleSince is passed to the pool as PoolOptions.IdleSince.
	idleSince uint64
}

type fixtureWaiter struct {
	f  *fixture
	id string
}

func (w fixtureWaiter) Answer(t Ticket, refusal *Refusal) { w.f.responses[w.id] = response{t, refusal} }

func newFixture(t testing.TB, workers int) *fixture {
	f := &fixture{t: t, now: time.Minute, counts: map[string]int{}, responses: map[string]response{}}
	f.view = PoolView{
		Assignment: state.Assignment{Pool: "p", Epoch: 1, Dispatcher: "e1"},
		Pool:       rules.Pool{Name: "p", Slots: 8, Connections: 64},
		Queues:     map[string]rules.Queue{"q": {Name: "q", Pool: "p", Length: 200}},
		Teams:      map[string]rules.Team{"a": {Share: 1, Limit: 1000}, "b": {Share: 1, Limit: 1000}},
		Grants:     map[string]int{"a": 1000, "b": 1000},
	}
	for i := range workers {
		f.view.Instances = append(f.view.Instances, state.Instance{
			ID: fmt.Sprint("w", i), Pool: "p", PoolEpoch: 1, Condition: state.Active, DataCentre: fmt.Sprint("d", i%2),
		})
	}
	f.start()
	f.pool.Run(f.now)
	f.announce()
	return f
}

// start creates a pool that recovers from the view's entry instances.
func (f *fixture) start() {
	f.pool = NewPool(f.now, PoolOptions{
		Name: "p", Entry: "e1", IdleSince: f.idleSince, Random: rand.New(rand.NewPCG(1, 2)), Fresh: func() bool { return true },
		MaxRecords: testMaxRecords,
		Count:      func(event, _ string) { f.counts[event]++ },
		Violated:   func(v Violation) { f.t.Errorf("violation: %+v", v) },
	}, f.view)
}

func (f *fixture) announce() {
	for _, in := range f.view.Instances {
		f.announceEndpoint(in.ID, 0)
	}
}

func (f *fixture) announceEndpoint(id string, running int) {
	f.sequence++
	f.pool.Announce(f.now, []Announcement{{
		ID: id, Incarnation: 1, Sequence: uint64(f.sequence), Pool: "p", PoolEpoch: 1, Slots: 8, Running: running,
	}})
}

// acquire sends a request and returns its response, or a zero response if it waits.
func (f *fixture) acquire(id string, change func(*AcquireRequest)) response {
	a := AcquireRequest{Request: id, Pool: "p", Queue: "q", Team: "a", Remaining: 10 * time.Second, Idempotent: true, DataCentre: "d0"}
	if change != nil {
		change(&a)
	}
	f.pool.Acquire(f.now, "e2", a, fixtureWaiter{f, id})
	f.pool.Run(f.now)
	return f.responses[id]
}

func (f *fixture) release(id string, failed bool) {
	t := f.responses[id].ticket
	f.pool.Release(f.now, "e2", ReleaseRequest{Ticket: t.ID, Epoch: t.Epoch, Outcome: OutcomeAnswered, Failed: failed, Status: 200})
	f.pool.Run(f.now)
}

// fill occupies all slots and returns the requests.
func (f *fixture) fill() []string {
	var ids []string
	for f.pool.hasFreeSlot(f.now) {
		f.sequence++
		id := fmt.Sprint("fill", f.sequence)
		require.NotZero(f.t, f.acquire(id, func(a *AcquireRequest) { a.Team = "" }).ticket.ID)
		ids = append(ids, id)
	}
	return ids
}

func (f *fixture) pass(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		f.announceIdle()
		f.pool.Run(f.now)
	}
}

func (f *fixture) announceIdle() {
	for _, in := range f.view.Instances {
		f.announceEndpoint(in.ID, 0)
	}
}

// Guards against a team that gains credit while it is idle or waits for a grant,
// and against slot time that isn't charged.
func TestNoCreditWhileIdleOrBlocked(t *testing.T) {
	for _, blocked := range []bool{false, true} {
		f := newFixture(t, 1)
		f.view.Pool.Slots = 1
		f.pool.Configure(f.now, f.view)
		name := func(team string, i int) string { return fmt.Sprint(team, i) }
		for i := range 30 {
			f.acquire(name("a", i), func(a *AcquireRequest) { a.Remaining = 30 * time.Second })
		}
		if blocked {
			f.view.Grants = map[string]int{"a": 1000}
			f.pool.Configure(f.now, f.view)
			f.acquire(name("b", 0), func(a *AcquireRequest) { a.Team = "b"; a.Remaining = 30 * time.Second })
		}
		for i := range 10 { // only team a is served for 10 s
			f.pass(time.Second)
			f.release(name("a", i), false)
		}
		require.InDelta(t, 11e9, f.pool.teams["a"].virtualTime, 0.2e9, "ten seconds used and one charged")
		f.view.Grants = map[string]int{"a": 1000, "b": 1000}
		f.pool.Configure(f.now, f.view)
		for i := range 10 {
			f.acquire(name("b", i+1), func(a *AcquireRequest) { a.Team = "b"; a.Remaining = 30 * time.Second })
		}
		served := map[string]int{}
		for range 6 {
			for id, got := range f.responses {
				if _, used := f.pool.tickets.byKey[ticketKey{1, got.ticket.ID}]; used {
					served[id[:1]]++
					f.pass(time.Second)
					f.release(id, false)
					break
				}
			}
		}
		require.InDelta(t, 3, served["b"], 1, "blocked %t", blocked)
	}
}

// Guards against starvation of low priorities, and against an order by arrival
// alone.
func TestPriorityWithoutStarvation(t *testing.T) {
	f := newFixture(t, 1)
	busy := f.fill()
	f.acquire("low", func(a *AcquireRequest) { a.Priority = 7; a.Remaining = 30 * time.Second })
	f.now += time.Second
	f.acquire("high", func(a *AcquireRequest) { a.Priority = 0; a.Remaining = 30 * time.Second })
	f.release(busy[0], false)
	require.NotZero(t, f.responses["high"].ticket.ID)
	require.Zero(t, f.responses["low"].ticket.ID)
	f.pass(7 * priorityStep)
	f.acquire("late", func(a *AcquireRequest) { a.Priority = 0 })
	f.release(busy[1], false)
	require.NotZero(t, f.responses["low"].ticket.ID)
	require.Zero(t, f.responses["late"].ticket.ID)
}

// Guards against a team that fills a queue and locks others out, and against an
// unbounded queue.
func TestFullQueueEvictsByShare(t *testing.T) {
	f := newFixture(t, 1)
	f.fill()
	for i := range 250 {
		f.acquire(fmt.Sprint("a", i), nil)
	}
	require.Equal(t, 200, f.pool.Waiting())
	require.Equal(t, CodeQueueFull, f.responses["a249"].refusal.Code)
	require.Nil(t, f.acquire("b", func(a *AcquireRequest) { a.Team = "b" }).refusal)
	require.Equal(t, CodeQueueFull, f.responses["a199"].refusal.Code)
	require.Equal(t, 200, f.pool.Waiting())
}

// Guards against accepting work that can't finish before its deadline, and against
// a Retry-After that doesn't follow the estimated wait.
func TestEarlyRefusal(t *testing.T) {
	f := newFixture(t, 1)
	busy := f.fill()
	f.now += time.Second
	f.release(busy[0], false) // the service time is 1 s
	for i := range 40 {
		f.acquire(fmt.Sprint("a", i), func(a *AcquireRequest) { a.Remaining = 30 * time.Second })
	}
	got := f.acquire("short", func(a *AcquireRequest) { a.Remaining = 2 * time.Second }).refusal
	require.Equal(t, CodeDeadline, got.Code)
	require.InDelta(t, 41/4, got.RetryAfter.Seconds(), 1, "team a has half of the slots while others run")
	require.Nil(t, f.acquire("long", func(a *AcquireRequest) { a.Remaining = 15 * time.Second }).refusal)
	require.Zero(t, f.acquire("waits", func(a *AcquireRequest) { a.Remaining = 13 * time.Second }))
	f.pass(10900 * time.Millisecond)
	require.Zero(t, f.responses["waits"])
	f.pass(200 * time.Millisecond) // the time left is now less than most requests need
	require.NotNil(t, f.responses["waits"].refusal)
}

// Guards against a team at its grant that blocks others, and against a wrong
// refusal code for it.
func TestTeamWithoutGrantWaits(t *testing.T) {
	f := newFixture(t, 1)
	f.view.Grants = map[string]int{"a": 1, "b": 1}
	f.pool.Configure(f.now, f.view)
	require.NotZero(t, f.acquire("a1", nil).ticket.ID)
	require.Zero(t, f.acquire("a2", func(a *AcquireRequest) { a.Remaining = time.Second }))
	require.NotZero(t, f.acquire("b1", func(a *AcquireRequest) { a.Team = "b" }).ticket.ID)
	f.pass(time.Second + time.Millisecond)
	require.Equal(t, CodeTeamLimit, f.responses["a2"].refusal.Code)
	f.view.Entries = map[string]state.Entry{"e2": {}}
	f.pool.Configure(f.now, f.view)
	require.Zero(t, f.acquire("a3", nil))
	f.view.Entries = nil
	f.pool.Configure(f.now, f.view)
	require.NotNil(t, f.responses["a3"].refusal, "its entry instance is lost")
	require.Equal(t, CodeTeamLimit, f.acquire("x", func(a *AcquireRequest) { a.Team = "nobody" }).refusal.Code)
}

// Guards against more connections to an endpoint than its limit.
func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, 1)
	f.view.Pool.Connections = 10
	f.pool.Configure(f.now, f.view)
	use := func(from string, n int) (issued int) {
		var tickets []Ticket
		for i := range n {
			id := fmt.Sprint(from, f.now, i)
			f.pool.Acquire(f.now, from, AcquireRequest{Request: id, Pool: "p", Queue: "q", Team: "a", Remaining: time.Second}, fixtureWaiter{f, id})
			f.pool.Run(f.now)
			if got := f.responses[id].ticket; got.ID != 0 {
				tickets = append(tickets, got)
			} else {
				f.pool.Cancel(f.now, from, id, 0)
			}
		}
		for _, got := range tickets {
			f.pool.Release(f.now, from, ReleaseRequest{Ticket: got.ID, Epoch: 1, Outcome: OutcomeNotRun})
		}
		return len(tickets)
	}
	require.Equal(t, 8, use("e2", 8))
	require.Equal(t, 2, use("e3", 8), "e2 may keep 8 idle connections")
	require.Equal(t, 8, use("e2", 8))
	f.pass(2*idleConnectionLifetime + time.Second)
	require.Equal(t, 8, use("e3", 8))
}

// Guards against a selection that ignores the endpoint to avoid, the data centre,
// or the load.
func TestSelection(t *testing.T) {
	f := newFixture(t, 4)
	counts := map[string]int{}
	for i := range 8 {
		counts[f.acquire(fmt.Sprint("l", i), nil).ticket.Endpoint]++
	}
	require.Equal(t, map[string]int{"w0": 4, "w2": 4}, counts, "the data centre of the request comes first")
	for i := range 16 {
		counts[f.acquire(fmt.Sprint("s", i), nil).ticket.Endpoint]++
	}
	require.Greater(t, counts["w1"], 1, "spill-over by load")
	require.InDelta(t, counts["w1"], counts["w3"], 1)
	for i := range 8 {
		got := f.acquire(fmt.Sprint("v", i), func(a *AcquireRequest) { a.Avoid = "w1" })
		require.NotEqual(t, "w1", got.ticket.Endpoint)
	}
	alone := newFixture(t, 1)
	require.NotZero(t, alone.acquire("x", func(a *AcquireRequest) { a.Avoid = "w0" }).ticket.ID)
}

// Guards against an endpoint that attracts work by failing fast, the ejection of
// more than a third of the endpoints, and an endpoint that is never reinstated.
func TestEjectionAndReturn(t *testing.T) {
	f := newFixture(t, 6)
	bad := map[string]bool{"w0": true, "w2": true, "w4": true}
	failed := 0
	for i := range 300 {
		id := fmt.Sprint(i)
		endpoint := f.acquire(id, nil).ticket.Endpoint
		if bad[endpoint] {
			failed++
		}
		f.release(id, bad[endpoint])
	}
	require.Less(t, failed, 30, "of 300 on three idle endpoints that fail fast")
	for _, id := range f.fill() {
		f.release(id, bad[f.responses[id].ticket.Endpoint])
	}
	require.Equal(t, 2, f.counts["endpoints-ejected"])
	require.Positive(t, f.counts["ejections-withheld"])

	f.pass(minEjection)
	ejected := 0
	for i := range 3 {
		e := f.pool.byID[f.acquire(fmt.Sprint("trial", i), nil).ticket.Endpoint]
		if e.health.ejected {
			ejected++
		}
	}
	require.Equal(t, 2, ejected, "one trial at a time for each")
	f.release("trial0", true)
	f.release("trial1", false)
	require.Equal(t, 1, f.counts["endpoints-returned"])
	e := f.pool.byID[f.responses["trial0"].ticket.Endpoint]
	require.Equal(t, f.now+2*minEjection, e.health.ejectedUntil)
}

// Guards against a new endpoint that gets work for all of its slots at once.
func TestSlowStart(t *testing.T) {
	f := newFixture(t, 1)
	f.pass(slowStartGrace)
	f.view.Instances = append(f.view.Instances, state.Instance{ID: "new", Pool: "p", PoolEpoch: 1, Condition: state.Active})
	f.pool.Configure(f.now, f.view)
	f.announceEndpoint("new", 0)
	f.fill()
	require.Equal(t, 2, f.pool.byID["new"].busy)
	f.pass(slowStartDuration)
	f.fill()
	require.Equal(t, 8, f.pool.byID["new"].busy)
}

// Guards against slots counted as free although the endpoint reports work without
// a ticket, and against counting work with a ticket twice.
func TestUnattributedWork(t *testing.T) {
	f := newFixture(t, 1)
	f.announceEndpoint("w0", 5)
	ids := f.fill()
	require.Len(t, ids, 3)
	f.announceEndpoint("w0", 8)
	require.Equal(t, 5, f.pool.byID["w0"].unattributed)
	f.release(ids[0], false)
	f.announceEndpoint("w0", 3) // read before the release
	require.Zero(t, f.pool.byID["w0"].unattributed)
}

// Guards against a slot counted as free while work with an unknown result may
// still run there: an endpoint that refuses fast would attract requests.
func TestRefusedSlotIsHeld(t *testing.T) {
	f := newFixture(t, 1)
	ids := f.fill()
	f.now += 100 * time.Millisecond
	f.release(ids[0], false) // the service time is 100 ms
	f.fill()
	for i, r := range []ReleaseRequest{{Outcome: OutcomeNotRun, Duration: time.Millisecond}, {Outcome: OutcomeUnknown}} {
		r.Ticket, r.Epoch = f.responses[ids[i+1]].ticket.ID, 1
		f.pool.Release(f.now, "e2", r)
	}
	require.False(t, f.pool.hasFreeSlot(f.now))
	require.Equal(t, f.now+minHold, f.pool.NextRun(f.now))
	f.now += 99 * time.Millisecond
	require.False(t, f.pool.hasFreeSlot(f.now))
	f.now += time.Millisecond
	require.Len(t, f.fill(), 2)
}

// Guards against an instance reported as drained while it has work, one reported
// as lost without missing announcements, and a lost one that isn't reported as returned.
func TestInstanceReports(t *testing.T) {
	f := newFixture(t, 1)
	f.acquire("r", nil)
	f.view.Instances = append([]state.Instance(nil), f.view.Instances...)
	f.view.Instances[0].Condition = state.Draining
	f.pool.Configure(f.now, f.view)
	require.Zero(t, f.acquire("draining", nil).ticket.ID)
	f.pass(time.Second)
	require.Empty(t, f.pool.Drained(f.now), "a ticket is in use")
	f.release("r", false)
	require.Empty(t, f.pool.Drained(f.now), "not yet announced as idle")
	f.pass(time.Second)
	require.Equal(t, []string{"w0"}, f.pool.Drained(f.now))
	f.announceEndpoint("w0", 1)
	require.Empty(t, f.pool.Drained(f.now))

	reports := func(d time.Duration, announce bool) (lost, returned []string) {
		for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
			if announce {
				f.announceIdle()
			}
			f.pool.Run(f.now)
		}
		return f.pool.LostAndReturned(f.now)
	}
	lost, _ := reports(2*time.Second, false)
	require.Empty(t, lost)
	f.now += time.Hour // this process was suspended: expired leases don't count
	f.pool.Run(f.now)
	lost, _ = reports(2*time.Second, false)
	require.Empty(t, lost)
	lost, _ = reports(leaseDuration, false)
	require.Equal(t, []string{"w0"}, lost)
	f.view.Instances = append([]state.Instance(nil), f.view.Instances...)
	f.view.Instances[0].Condition = state.Lost
	f.pool.Configure(f.now, f.view)
	lost, returned := reports(time.Second, true)
	require.Empty(t, lost)
	require.Equal(t, []string{"w0"}, returned)
}

// Guards against retries beyond the budget.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, 2)
	for i := range 10 {
		f.acquire(fmt.Sprint(i), nil)
	}
	retry := func(a *AcquireRequest) { a.Attempt = 1 }
	f.pool.budget.TryTake(f.now)
	for f.acquire("retry", retry).refusal == nil {
		f.release("retry", false)
		f.sequence++
		require.Less(t, f.sequence, 20)
	}
	require.Equal(t, CodeRetryBudget, f.responses["retry"].refusal.Code)
}

// Guards against grants of an earlier epoch that are returned while their work
// runs, or never.
func TestDemandAcrossEpochs(t *testing.T) {
	f := newFixture(t, 1)
	f.acquire("r", nil)
	f.view.Assignment.Epoch = 2
	f.view.Grants = map[string]int{"a": 1}
	f.view.Former = []state.Grant{{Team: "a", Pool: "p", Epoch: 1, Amount: 1000}, {Team: "b", Pool: "p", Epoch: 1}}
	f.pool.Configure(f.now, f.view)
	require.NotZero(t, f.acquire("r2", nil).ticket.ID, "work of epoch 1 is not charged to the grant of epoch 2")
	demand := map[string]string{}
	recordDemand := func() {
		for _, d := range f.pool.Demand(f.now) {
			demand[fmt.Sprint(d.Team, d.Epoch)] = fmt.Sprint(d.Running, " of ", d.Grant, " ", d.LastDeadline > 0)
		}
	}
	recordDemand()
	require.Equal(t, map[string]string{"a1": "1 of 1 true", "a2": "1 of 1 true", "b1": "0 of 0 false"}, demand)
	f.release("r", false)
	recordDemand()
	require.Equal(t, "0 of 0 false", demand["a1"])

	f.view.Assignment.Epoch, f.view.Assignment.Previous = 4, "e1"
	require.True(t, f.pool.Configure(f.now, f.view), "e1 was the dispatcher of epoch 3 too")
	f.view.Assignment.Epoch, f.view.Assignment.Previous = 6, "e2"
	require.False(t, f.pool.Configure(f.now, f.view))
}

// Guards against a copy or a handover that loses records beyond the first page, and
// against an unbounded number of records.
func TestRecordsInPages(t *testing.T) {
	const n = testMaxRecords
	f := newFixture(t, 1)
	f.view.Assignment.Backup = "e2"
	f.view.Assignment.Epoch = 2
	f.pool.Configure(f.now, f.view)
	for i := range n {
		f.pool.records.add(&record{id: recordID{"a", fmt.Sprint(i)}, outcome: OutcomeAnswered, expires: f.now + recordLifetime})
	}
	full := f.acquire("full", func(a *AcquireRequest) { a.Key, a.Idempotent = "new", false })
	require.Equal(t, CodeQueueFull, full.refusal.Code)
	store := newBackupStore(testMaxRecords)
	for copies := 0; copies < n/copyPageRecords+3; {
		f.now += copyHeartbeat
		c, _, ok := f.pool.NextCopy(f.now)
		require.True(t, ok)
		require.NoError(t, store.store(f.now, &c))
		f.pool.CopyAcked(f.now, c.Sequence)
		copies++
	}
	q := HeldQuery{Pool: "p", Epoch: 3}
	seen := 0
	for {
		h := store.handOver(f.now, q, HeldResponse{})
		require.Equal(t, []Claim{{From: 2, To: 2}}, h.Claims)
		require.LessOrEqual(t, len(h.Records), copyPageRecords)
		seen += len(h.Records)
		if q.From = h.Next; q.From == 0 {
			break
		}
	}
	require.Equal(t, n, seen)
	require.Error(t, store.store(f.now, &RecordCopy{Pool: "p", Epoch: 2, Full: true}), "an older epoch is refused")
}

// Guards against a backup that claims complete records although its dispatcher may
// have dispatched requests without it.
func TestBackupClaimsCompletenessOnlyWhenProven(t *testing.T) {
	store := newBackupStore(testMaxRecords)
	send := func(at time.Duration, c RecordCopy) {
		c.Pool, c.Epoch = "p", 1
		require.NoError(t, store.store(at, &c))
	}
	claims := func(at time.Duration) bool {
		h := store.handOver(at, HeldQuery{Pool: "p", Epoch: 2}, HeldResponse{})
		store.pools["p"].fence, store.pools["p"].provenAtHandover = 0, false
		return len(h.Claims) > 0
	}
	send(0, RecordCopy{Full: true, Sequence: 1})
	require.False(t, claims(time.Second), "the dispatcher may not know of the full copy")
	send(completeFor-time.Second, RecordCopy{Sequence: 2})
	require.True(t, claims(completeFor-time.Millisecond))
	require.False(t, claims(completeFor), "the dispatcher may not know of the second copy")
	send(completeFor, RecordCopy{Sequence: 3})
	require.True(t, claims(2*completeFor-time.Second-time.Millisecond))
}

// Guards against a request that is resent after a takeover and runs although records
// are missing, and against the refusal of one that certainly did not run.
func TestRequestResentAfterTakeover(t *testing.T) {
	idle := Claim{From: 2, To: 2, Idle: true}
	for _, c := range []struct {
		epoch    uint64
		claims   []Claim
		complete bool
	}{
		{2, []Claim{{From: 1, To: 1}}, true},
		{2, nil, false},
		{3, []Claim{idle, {From: 1, To: 1}}, true},
		{3, []Claim{{From: 1, To: 1}}, false},
		{4, []Claim{idle, {From: 1, To: 1}}, false},
	} {
		complete := c.complete
		f := newFixture(t, 1)
		f.view.Assignment.Epoch, f.view.Assignment.Previous = c.epoch, "e2"
		f.view.Entries = map[string]state.Entry{"e2": {ID: "e2"}}
		f.start()
		f.pool.AddHeld(f.now, "e2", HeldResponse{Claims: c.claims, Records: []Record{{
			Team: "a", Key: "k", Request: "r", Remaining: time.Minute, Rank: recordRank(1, false),
		}, {
			Team: "a", Key: "earlier", Request: "e", Remaining: time.Minute, Rank: recordRank(0, false),
		}}})
		f.pool.Run(f.now)
		f.announce()
		keyed := func(a *AcquireRequest) { a.Key, a.Idempotent = "k", false }
		require.Equal(t, CodeDuplicateUnknown, f.acquire("other", keyed).refusal.Code)
		require.Equal(t, complete, f.acquire("r", keyed).refusal == nil)
		earlier := func(a *AcquireRequest) { a.Key, a.Idempotent = "earlier", false }
		require.Equal(t, complete, f.acquire("after", earlier).refusal == nil, "the identity was released since")
	}
}

// Guards against an instance that restarted once and is reported as lost because this process was
// suspended and has missed its announcements.
func TestSuspendedDispatcherReportsNoRestartedInstanceAsLost(t *testing.T) {
	f := newFixture(t, 1)
	f.pass(2 * transitionGrace)
	for end := f.now + 2*transitionGrace; f.now < end; f.now += 100 * time.Millisecond {
		f.sequence++
		f.pool.Announce(f.now, []Announcement{{ID: "w0", Incarnation: 2, Sequence: uint64(f.sequence), Pool: "p", PoolEpoch: 1, Slots: 8}})
		f.pool.Run(f.now)
	}
	lost, _ := f.pool.LostAndReturned(f.now)
	require.Empty(t, lost)
	f.now += time.Minute
	lost, _ = f.pool.LostAndReturned(f.now)
	require.Empty(t, lost, "before the first run after the pause")
	f.pool.Run(f.now)
	lost, _ = f.pool.LostAndReturned(f.now)
	require.Empty(t, lost, "after it")
}
