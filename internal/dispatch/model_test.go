package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// longRuns selects random seeds and more runs: CACTUSSPAR_LONG=1 go test.
var longRuns = os.Getenv("CACTUSSPAR_LONG") != ""

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	defaults := map[string]string{"rapid.seed": "20261203", "rapid.checks": "600", "rapid.steps": "60", "rapid.nofailfile": "true"}
	if longRuns {
		defaults["rapid.seed"] = fmt.Sprint(rand.Uint64() >> 1)
		defaults["rapid.checks"] = "10000"
	}
	for name, value := range defaults {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// minTakeoverGap is the least time between the last ticket of a lost dispatcher and
// the queries of its successor: loss bound minus freshness bound.
const minTakeoverGap = 650 * time.Millisecond

// issuedTicket is a ticket in use, as tracked by the model.
type issuedTicket struct {
	ticket   Ticket
	from     string
	a        AcquireRequest
	deadline time.Duration
	lost     bool // its holder was lost
	unknown  bool // not known to the present dispatcher
}

// model runs a Pool and its successors and checks the invariants independently.
type model struct {
	*rapid.T
	now     time.Duration
	pool    *Pool
	view    PoolView
	fresh   bool
	silent  map[string]bool // endpoints that have stopped announcing
	backup  *backupStore
	tickets map[ticketKey]*issuedTicket
	// blockedUntil holds the time until which an identity that ran must not run again.
	blockedUntil map[recordID]time.Duration
	leaseEnds    map[string]time.Duration // last lease end by endpoint
	sequences    map[string]uint64        // sequence by endpoint
	waiting      map[*pendingRequest]bool
	resendable   []*pendingRequest // not run; may be sent again with the same request id
	lastRequest  int
	served       int
	// allIdentified makes all requests keyed and not idempotent.
	allIdentified bool
	earlierBackup *backupStore // the backup of the previous epoch
}

// pendingRequest is a request that waits for its response.
type pendingRequest struct {
	m        *model
	a        AcquireRequest
	from     string
	deadline time.Duration
}

func (w *pendingRequest) Answer(t Ticket, refusal *Refusal) {
	m := w.m
	if !m.waiting[w] {
		m.Fatalf("request %s got a second response", w.a.Request)
	}
	delete(m.waiting, w)
	if refusal != nil {
		if refusal.RetryAfter < time.Second || refusal.RetryAfter%time.Second != 0 {
			m.Fatalf("%s: retry after %v", refusal.Code, refusal.RetryAfter)
		}
		if refusal.Code == CodeExpired || refusal.Code == CodeIsolated || refusal.Code == CodeNotDispatcher {
			m.resendable = append(m.resendable, w)
		}
		return
	}
	m.checkTicket(w, t)
	m.served++
	m.tickets[ticketKey{t.Epoch, t.ID}] = &issuedTicket{ticket: t, from: w.from, a: w.a, deadline: w.deadline}
}

func (m *model) checkTicket(w *pendingRequest, t Ticket) {
	busy, running := 0, 0
	for _, g := range m.tickets {
		if g.ticket.Endpoint == t.Endpoint && !g.unknown {
			busy++
		}
		if g.a.Team == w.a.Team && g.ticket.Epoch == t.Epoch {
			running++
		}
		if needsRecord(&w.a) && needsRecord(&g.a) && identity(&g.a) == identity(&w.a) {
			m.Fatalf("identity %v runs twice", identity(&w.a))
		}
	}
	switch {
	case !m.fresh:
		m.Fatalf("ticket under a stale view")
	case t.Epoch != m.view.Assignment.Epoch:
		m.Fatalf("ticket under epoch %d, assigned %d", t.Epoch, m.view.Assignment.Epoch)
	case busy+1 > m.view.Pool.Slots:
		m.Fatalf("endpoint %s: %d tickets", t.Endpoint, busy+1)
	case w.a.Team != "" && running+1 > m.view.Grants[w.a.Team]:
		m.Fatalf("team %s: %d running, granted %d", w.a.Team, running+1, m.view.Grants[w.a.Team])
	case m.now > w.deadline:
		m.Fatalf("ticket after the deadline")
	case m.leaseEnds[t.Endpoint] <= m.now:
		m.Fatalf("ticket for endpoint %s without a lease", t.Endpoint)
	case needsRecord(&w.a) && m.blockedUntil[identity(&w.a)] > m.now:
		m.Fatalf("identity %v runs again", identity(&w.a))
	}
	for _, in := range m.view.Instances {
		if in.ID == t.Endpoint && (in.Condition != state.Active || in.PoolEpoch != t.PoolEpoch) {
			m.Fatalf("ticket for endpoint %s in condition %s, pool epoch %d of %d", in.ID, in.Condition, t.PoolEpoch, in.PoolEpoch)
		}
	}
}

var modelTeams = []string{"a", "b", "c"}

var modelEntries = []string{"e1", "e2", "e3"}

func newModel(t *rapid.T) *model {
	m := &model{
		T: t, now: time.Minute, fresh: true, silent: map[string]bool{}, backup: newBackupStore(testMaxRecords),
		tickets: map[ticketKey]*issuedTicket{}, blockedUntil: map[recordID]time.Duration{},
		leaseEnds: map[string]time.Duration{}, sequences: map[string]uint64{}, waiting: map[*pendingRequest]bool{},
		view: PoolView{
			Assignment: state.Assignment{Pool: "p", Epoch: 1, Dispatcher: "e1", Backup: "e2"},
			Pool:       rules.Pool{Name: "p", Slots: 2, Connections: 4},
			Queues:     map[string]rules.Queue{"q": {Name: "q", Pool: "p", Length: 20}},
			Teams:      map[string]rules.Team{}, Grants: map[string]int{}, Entries: map[string]state.Entry{},
		},
	}
	for i, name := range modelTeams {
		m.view.Teams[name] = rules.Team{Name: name, Share: 1 << i, Limit: 10}
		m.view.Grants[name] = 3
	}
	for _, id := range modelEntries {
		m.view.Entries[id] = state.Entry{ID: id}
	}
	for i := range 4 {
		m.view.Instances = append(m.view.Instances, state.Instance{
			ID: fmt.Sprint("w", i), Pool: "p", PoolEpoch: 1, Condition: state.Active, DataCentre: fmt.Sprint("d", i%2),
		})
	}
	m.startPool()
	m.answerHeldQueries(nil, false)
	m.announceAll()
	return m
}

func (m *model) startPool() {
	m.pool = NewPool(m.now, PoolOptions{
		Name: "p", Entry: "e1", Random: rand.New(rand.NewPCG(1, m.view.Assignment.Epoch)),
		Fresh:      func() bool { return m.fresh },
		MaxRecords: testMaxRecords,
		Count:      func(string, string) {},
		Violated:   func(v Violation) { m.Fatalf("violation: %+v", v) },
	}, m.view)
}

// pickTicket draws a ticket from a sorted list, so that runs can be repeated.
func (m *model) pickTicket(label string) *issuedTicket {
	if len(m.tickets) == 0 {
		return nil
	}
	all := make([]*issuedTicket, 0, len(m.tickets))
	for _, g := range m.tickets {
		all = append(all, g)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].ticket, all[j].ticket
		return a.Epoch < b.Epoch || (a.Epoch == b.Epoch && a.ID < b.ID)
	})
	return rapid.SampledFrom(all).Draw(m.T, label)
}

func (m *model) acquire(t *rapid.T) {
	m.lastRequest++
	a := AcquireRequest{
		Request: fmt.Sprint("r", m.lastRequest), Pool: "p", Epoch: m.pool.Epoch(), Queue: "q",
		Team:       rapid.SampledFrom(append(modelTeams, "")).Draw(t, "team"),
		Priority:   rapid.IntRange(0, 7).Draw(t, "priority"),
		Remaining:  time.Duration(rapid.IntRange(1, 8000).Draw(t, "remaining")) * time.Millisecond,
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Key:        rapid.SampledFrom([]string{"", "k1", "k2", "k3", "k4"}).Draw(t, "key"),
		DataCentre: "d0",
		Avoid:      rapid.SampledFrom([]string{"", "w0"}).Draw(t, "avoid"),
	}
	from := rapid.SampledFrom(modelEntries).Draw(t, "from")
	if m.allIdentified {
		a.Idempotent, a.Remaining = false, a.Remaining+time.Second
		a.Key = rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "identity")
	}
	if len(m.resendable) > 0 && rapid.Bool().Draw(t, "again") {
		old := m.resendable[len(m.resendable)-1]
		m.resendable = m.resendable[:len(m.resendable)-1]
		a.Request, a.Team, a.Key, a.Idempotent = old.a.Request, old.a.Team, old.a.Key, old.a.Idempotent
		from = old.from
	}
	w := &pendingRequest{m: m, a: a, from: from, deadline: m.now + a.Remaining}
	m.waiting[w] = true
	m.pool.Acquire(m.now, w.from, a, w)
}

func (m *model) release(t *rapid.T) {
	g := m.pickTicket("ticket")
	if g == nil || g.lost {
		return
	}
	r := ReleaseRequest{
		Ticket: g.ticket.ID, Epoch: g.ticket.Epoch, Pool: "p", Request: g.a.Request,
		Outcome: rapid.SampledFrom([]Outcome{OutcomeAnswered, OutcomeAnswered, OutcomeUnknown, OutcomeNotRun}).Draw(t, "outcome"),
		Failed:  rapid.IntRange(0, 3).Draw(t, "failed") == 0, Status: 200,
	}
	m.endTicket(g, r.Outcome)
	for range rapid.IntRange(1, 2).Draw(t, "times") {
		m.pool.Release(m.now, g.from, r)
	}
}

// endTicket removes a ticket from the model and blocks its identity unless the
// request didn't run.
func (m *model) endTicket(g *issuedTicket, outcome Outcome) {
	delete(m.tickets, ticketKey{g.ticket.Epoch, g.ticket.ID})
	if needsRecord(&g.a) && outcome != OutcomeNotRun {
		m.blockedUntil[identity(&g.a)] = m.now + recordLifetime
	}
}

func (m *model) cancel(t *rapid.T) {
	if g := m.pickTicket("ticket"); g != nil && !g.lost && rapid.Bool().Draw(t, "given") {
		m.endTicket(g, OutcomeNotRun)
		m.pool.Cancel(m.now, g.from, g.a.Request, g.a.Try)
		return
	}
	for w := range m.waiting {
		if w.a.Request == fmt.Sprint("r", m.lastRequest) {
			m.pool.Cancel(m.now, w.from, w.a.Request, w.a.Try)
			return
		}
	}
}

// loseHolder restarts the entry instance e3, which loses all its tickets.
func (m *model) loseHolder(*rapid.T) {
	for _, g := range m.tickets {
		g.lost = g.lost || g.from == "e3"
	}
	v := m.view
	v.Entries = map[string]state.Entry{}
	for id, e := range m.view.Entries {
		if id == "e3" {
			e.Incarnation++
		}
		v.Entries[id] = e
	}
	m.view = v
	m.pool.Configure(m.now, v)
}

func (m *model) announceAll() {
	for i := range m.view.Instances {
		if !m.silent[m.view.Instances[i].ID] {
			m.announce(i, Announcement{})
		}
	}
}

// announce sends an announcement of instance i. Fields set in a override the
// regular state.
func (m *model) announce(i int, a Announcement) {
	in := m.view.Instances[i]
	m.sequences[in.ID]++
	a.ID, a.Pool, a.Incarnation, a.Sequence = in.ID, "p", 1, m.sequences[in.ID]
	a.Slots, a.PoolEpoch, a.DataCentre = 2, max(a.PoolEpoch, in.PoolEpoch), in.DataCentre
	m.pool.Announce(m.now, []Announcement{a})
	m.leaseEnds[in.ID] = m.now - a.Age + leaseDuration
	if a.Leaving {
		m.leaseEnds[in.ID] = 0
	}
}

func (m *model) changeEndpoint(t *rapid.T) {
	i := rapid.IntRange(0, len(m.view.Instances)-1).Draw(t, "endpoint")
	id := m.view.Instances[i].ID
	switch rapid.SampledFrom([]string{"silent", "back", "leave", "stale", "foreign", "pool-epoch"}).Draw(t, "event") {
	case "silent":
		m.silent[id] = true
	case "back":
		m.silent[id] = false
		m.announce(i, Announcement{})
	case "leave":
		m.silent[id] = true
		m.announce(i, Announcement{Leaving: true})
	case "stale":
		// The sequence is not newer than the last one, so it must change nothing.
		if e := m.pool.byID[id]; e == nil || !e.announced {
			return
		}
		m.pool.Announce(m.now, []Announcement{{
			ID: id, Pool: "p", Incarnation: 1, Slots: 100, PoolEpoch: m.view.Instances[i].PoolEpoch,
			Sequence: m.sequences[id] - uint64(rapid.IntRange(0, 1).Draw(t, "older")),
		}})
	case "foreign":
		m.announce(i, Announcement{Running: rapid.IntRange(0, 2).Draw(t, "running")})
	case "pool-epoch":
		m.announce(i, Announcement{PoolEpoch: m.view.Instances[i].PoolEpoch + 1})
	}
}

func (m *model) changeView(t *rapid.T) {
	v := m.view
	v.Grants = map[string]int{}
	for name := range m.view.Grants {
		v.Grants[name] = m.view.Grants[name]
	}
	v.Instances = append([]state.Instance(nil), v.Instances...)
	if rapid.Bool().Draw(t, "grant") {
		v.Grants[rapid.SampledFrom(modelTeams).Draw(t, "team")] = rapid.IntRange(0, 4).Draw(t, "amount")
	} else {
		in := &v.Instances[rapid.IntRange(0, len(v.Instances)-1).Draw(t, "instance")]
		in.Condition = rapid.SampledFrom([]state.Condition{state.Active, state.Active, state.Draining, state.Lost}).Draw(t, "condition")
		in.PoolEpoch += uint64(rapid.IntRange(0, 1).Draw(t, "moved"))
	}
	m.view = v
	m.pool.Configure(m.now, v)
}

func (m *model) changeFreshness(t *rapid.T) { m.fresh = rapid.IntRange(0, 2).Draw(t, "fresh") > 0 }

// sendCopy sends the next copy. The copy and its response may be late or lost.
func (m *model) sendCopy(t *rapid.T) {
	c, _, ok := m.pool.NextCopy(m.now)
	if !ok {
		return
	}
	outcome := rapid.SampledFrom([]string{"ok", "ok", "lost", "answer lost"}).Draw(t, "fate")
	m.transfer(t, &c, outcome)
}

func (m *model) transfer(t *rapid.T, c *RecordCopy, outcome string) {
	if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		m.pass(time.Duration(rapid.IntRange(1, 900).Draw(t, "delay")) * time.Millisecond)
	}
	if outcome == "lost" || m.backup.store(m.now, c) != nil || outcome == "answer lost" {
		m.pool.CopyFailed(m.now, c.Sequence)
		return
	}
	m.pool.CopyAcked(m.now, c.Sequence)
}

// runSteady runs a period in which all copies have the same outcome and the
// endpoints keep announcing themselves.
func (m *model) runSteady(t *rapid.T) {
	outcome := rapid.SampledFrom([]string{"ok", "ok", "lost", "answer lost"}).Draw(t, "fate")
	for range rapid.IntRange(1, 20).Draw(t, "steps") {
		m.pass(300 * time.Millisecond)
		m.announceAll()
		if c, _, ok := m.pool.NextCopy(m.now); ok {
			m.transfer(t, &c, outcome)
		}
		if rapid.IntRange(0, 3).Draw(t, "arrival") == 0 {
			m.acquire(t)
		}
	}
}

// restartBackup replaces the backup by an empty one.
func (m *model) restartBackup(*rapid.T) { m.backup = newBackupStore(testMaxRecords) }

func (m *model) advance(t *rapid.T) {
	m.pass(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
}

// pass advances the time in steps given by NextRun and ends the tickets whose
// deadline has passed.
func (m *model) pass(d time.Duration) {
	until := m.now + d
	for m.now < until {
		m.now = min(until, max(m.pool.NextRun(m.now), m.now+time.Millisecond))
		for _, g := range m.tickets {
			if g.deadline <= m.now {
				m.endTicket(g, OutcomeUnknown)
			}
		}
		m.pool.Run(m.now)
	}
}

// takeOver replaces the dispatcher: by itself with a new backup, by another one
// whose queries the old one answers, or by another one after the old one was lost.
func (m *model) takeOver(t *rapid.T) {
	old := m.pool
	mode := rapid.SampledFrom([]string{"in place", "handover", "lost", "lost"}).Draw(t, "how")
	m.view.Assignment.Epoch++
	m.view.Assignment.Previous = "e1"
	if mode == "in place" {
		m.earlierBackup, m.backup = m.backup, newBackupStore(testMaxRecords)
		m.pool.Configure(m.now, m.view)
		return
	}
	if mode == "handover" {
		old.Retire(m.now, m.view.Assignment.Epoch)
		w := &pendingRequest{m: m, a: AcquireRequest{Request: "to the old one", Team: "a", Remaining: time.Second}}
		m.waiting[w] = true
		old.Acquire(m.now, "e1", w.a, w)
		old.Run(m.now)
		if m.waiting[w] {
			m.Fatalf("a retired pool accepts requests")
		}
		m.resendable = m.resendable[:len(m.resendable)-1]
	} else {
		for w := range m.waiting {
			delete(m.waiting, w)
			m.resendable = append(m.resendable, w)
		}
		m.now += minTakeoverGap + time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap"))*time.Millisecond
	}
	sort.Slice(m.resendable, func(i, j int) bool { return m.resendable[i].a.Request < m.resendable[j].a.Request })
	unanswered := rapid.IntRange(0, 5).Draw(t, "unanswered") == 0
	for _, g := range m.tickets {
		if g.deadline <= m.now {
			m.endTicket(g, OutcomeUnknown)
		}
		g.unknown = g.unknown || unanswered || (g.lost && mode == "lost")
	}
	m.startPool()
	if rapid.Bool().Draw(t, "arrivals before the answers") {
		m.acquire(t)
		m.pool.Run(m.now)
	}
	if !unanswered {
		m.answerHeldQueries(old, mode == "handover")
	}
	m.earlierBackup, m.backup = m.backup, newBackupStore(testMaxRecords)
	m.announceAll()
}

// answerHeldQueries answers the queries of a new pool. e2 is the last backup, e3 the
// one before it, and the old dispatcher answers as e1 if it is not lost. All add
// their tickets in use.
func (m *model) answerHeldQueries(old *Pool, responses bool) {
	q := m.pool.HeldQuery()
	m.pool.HeldTargets(m.now)
	for _, id := range modelEntries {
		var h HeldResponse
		switch {
		case id == "e1" && responses:
			h = old.Held(m.now)
		case id == "e2":
			h = m.backup.handOver(m.now, q, HeldResponse{})
		case id == "e3" && m.earlierBackup != nil:
			h = m.earlierBackup.handOver(m.now, q, HeldResponse{})
		}
		for _, g := range m.tickets {
			if g.from == id && !g.lost {
				held := HeldTicket{Ticket: g.ticket, Team: g.a.Team, Request: g.a.Request}
				held.Ticket.Remaining = g.deadline - m.now
				h.Tickets = append(h.Tickets, held)
			}
		}
		if m.pool.Serving() {
			m.Fatalf("serving before all entry instances answered")
		}
		m.pool.AddHeld(m.now, id, h)
	}
	m.pool.Run(m.now)
}

func (m *model) check(t *rapid.T) {
	m.pool.Run(m.now)
	m.pool.verifyCounters()
	for w := range m.waiting {
		if w.deadline <= m.now {
			t.Fatalf("request %s has no response at its deadline", w.a.Request)
		}
	}
}

// Guards against broken invariants for slots, grants, epochs, freshness and leases,
// identities that run twice, and requests without a response.
func TestPoolInvariants(t *testing.T) {
	served, identities := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"acquire":  m.acquire,
			"acquire2": m.acquire,
			"acquire3": m.acquire,
			"release":  m.release,
			"cancel":   m.cancel,
			"lose":     m.loseHolder,
			"announce": func(*rapid.T) { m.announceAll() },
			"endpoint": m.changeEndpoint,
			"view":     m.changeView,
			"fresh":    m.changeFreshness,
			"copy":     m.sendCopy,
			"restart":  m.restartBackup,
			"steady":   m.runSteady,
			"advance":  m.advance,
			"takeover": m.takeOver,
		})
		served += m.served
		identities += len(m.blockedUntil)
	})
	t.Logf("%d tickets issued, %d identities ended", served, identities)
}

// Guards against an identity that runs twice because a backup claims records that
// it does not have, after any mix of lost copies and takeovers.
func TestHandoverOfRecords(t *testing.T) {
	issued := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		m.allIdentified = true
		rt.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"acquire":  m.acquire,
			"acquire2": m.acquire,
			"release":  m.release,
			"announce": func(*rapid.T) { m.announceAll() },
			"copy":     m.sendCopy,
			"steady":   m.runSteady,
			"steady2":  m.runSteady,
			"restart":  m.restartBackup,
			"takeover": m.takeOver,
		})
		issued += m.served
	})
	t.Logf("%d tickets issued", issued)
}
