package control

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/state"
	"cactusspar/internal/testutil"
	"cactusspar/internal/view"
)

// runCounter counts the running work of all dispatchers, including lost ones.
type runCounter struct {
	mu      sync.Mutex
	running int
	peak    int
}

// fakeDispatcher fakes the dispatchers of an entry instance: it runs work within
// its grants while its view is fresh, and reports its usage.
type fakeDispatcher struct {
	*fakeEntry
	runCounter *runCounter
	running    map[demandKey]int
	everHeld   map[demandKey]bool // grants that this incarnation has had
	waiting    map[string]int     // by pool
	rand       *rand.Rand
}

func (g *group) fakeDispatcher(id string, incarnation uint64, dc string, counter *runCounter, r *rand.Rand) *fakeDispatcher {
	d := &fakeDispatcher{fakeEntry: g.fakeEntry(id, incarnation, dc), runCounter: counter, running: map[demandKey]int{}, everHeld: map[demandKey]bool{}, waiting: map[string]int{}, rand: r}
	d.demand = func(*fakeEntry) []view.Demand { return d.report() }
	d.run()
	return d
}

func (d *fakeDispatcher) report() []view.Demand {
	byKey := map[demandKey]view.Demand{}
	for _, g := range d.grants {
		a := d.assignments[g.Pool]
		key := demandKey{g.Team, g.Pool, g.Epoch}
		switch {
		case a.Dispatcher == d.self.ID && a.Epoch == g.Epoch:
			d.everHeld[key] = true
			byKey[key] = view.Demand{Grant: g.Amount}
		case d.everHeld[key]:
			byKey[key] = view.Demand{Grant: d.running[key]}
		}
	}
	for pool, n := range d.waiting {
		if a := d.assignments[pool]; a.Dispatcher == d.self.ID {
			key := demandKey{"t00", pool, a.Epoch}
			next := byKey[key]
			next.Waiting = n
			byKey[key] = next
		}
	}
	var out []view.Demand
	for key, n := range byKey {
		n.Team, n.Pool, n.Epoch, n.Running = key.team, key.pool, key.epoch, d.running[key]
		n.Grant = max(n.Grant, n.Running)
		if n.Running+n.Waiting == 0 && d.rand.Intn(2) == 0 {
			continue // a dispatcher may omit grants without work
		}
		out = append(out, n)
	}
	return out
}

// startWork starts waiting work within the grants, with random durations below
// maxDuration.
func (d *fakeDispatcher) startWork(maxDuration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known || time.Since(d.confirmedAt) >= freshnessBound {
		return
	}
	for pool, n := range d.waiting {
		a := d.assignments[pool]
		if a.Dispatcher != d.self.ID {
			d.waiting[pool] = 0
			continue
		}
		key := demandKey{"t00", pool, a.Epoch}
		grant := d.grants[(&state.Grant{Team: "t00", Pool: pool, Epoch: a.Epoch}).ID()]
		for ; n > 0 && d.running[key] < grant.Amount; n-- {
			d.start(key, time.Duration(d.rand.Int63n(int64(maxDuration))))
		}
		d.waiting[pool] = n
	}
}

func (d *fakeDispatcher) start(key demandKey, took time.Duration) {
	d.running[key]++
	d.runCounter.mu.Lock()
	d.runCounter.running++
	d.runCounter.peak = max(d.runCounter.peak, d.runCounter.running)
	d.runCounter.mu.Unlock()
	time.AfterFunc(took, func() {
		// The counter has to be updated first: once the dispatcher has a free unit,
		// it may start the next work before this goroutine continues.
		d.runCounter.mu.Lock()
		d.runCounter.running--
		d.runCounter.mu.Unlock()
		d.mu.Lock()
		d.running[key]--
		d.mu.Unlock()
	})
}

// Guards against a team that runs more work than its limit across the fleet while
// pools move, entry instances are isolated and restarted, and the leader changes.
func TestTeamLimitUnderFaults(t *testing.T) {
	t.Parallel()
	for _, limit := range []int{1, 7, 60} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			t.Parallel()
			testLimitUnderFaults(t, limit)
		})
	}
}

func testLimitUnderFaults(t *testing.T, limit int) {
	const pools = 4
	const maxDuration = 1500 * time.Millisecond
	seed := testutil.Seed(t)
	r := rand.New(rand.NewSource(seed))
	g := newGroup(t, 0)
	g.runTimeLimit = maxDuration
	for n := range 3 {
		g.members = append(g.members, g.address(fmt.Sprintf("c%d", n+1)))
	}
	for _, m := range g.members {
		g.start(m)
	}
	text := fmt.Sprintf("%steam t00 share=1 limit=%d # Juma: contract\n", rulesText(pools, 0), limit)
	require.Nil(t, g.commit(state.Command{Session: state.Session{Client: "setup", Sequence: 1}, ApplyRules: &state.ApplyRules{Text: text}}).Err)
	counter := &runCounter{}
	var all []*fakeDispatcher
	for n := range 3 {
		all = append(all, g.fakeDispatcher(fmt.Sprintf("e%d", n), 1, fmt.Sprintf("d%d", n+1), counter, rand.New(rand.NewSource(seed+int64(n)))))
	}
	startWork := func() {
		time.Sleep(10 * time.Millisecond)
		for _, d := range all {
			d.withLock(func() {
				for n := range pools {
					if d.rand.Intn(10) == 0 {
						d.waiting[fmt.Sprintf("p%03d", n)] = min(100, d.waiting[fmt.Sprintf("p%03d", n)]+d.rand.Intn(10))
					}
				}
			})
			d.startWork(maxDuration)
		}
	}
	isolatedLeader := ""
	for step := range 1500 {
		startWork()
		switch {
		case step%300 == 100:
			n := r.Intn(len(all))
			if r.Intn(2) == 0 {
				// Isolate it for a while, with work in progress.
				all[n].withLock(func() { all[n].isolated = true })
				break
			}
			all[n].stop()
			all[n] = g.fakeDispatcher(all[n].self.ID, all[n].self.Incarnation+1, all[n].self.DataCentre, counter, all[n].rand)
		case step%300 == 180:
			isolatedLeader = g.leader().options.Self.Name
			g.setIsolated(isolatedLeader, true)
		case step%300 == 250:
			g.setIsolated(isolatedLeader, false)
		case step%600 == 599:
			for _, d := range all {
				d.withLock(func() { d.isolated = false })
			}
		}
	}
	// Without further faults, the team has to reach its limit again.
	for _, d := range all {
		d.withLock(func() { d.isolated = false })
	}
	g.setIsolated(isolatedLeader, false)
	inUse := func() (running, peak int) {
		counter.mu.Lock()
		defer counter.mu.Unlock()
		return counter.running, counter.peak
	}
	returned := 0
	for began := time.Now(); returned < 5 && time.Since(began) < 30*time.Second; {
		startWork()
		if running, _ := inUse(); running >= max(1, limit*3/4) {
			returned++
		}
	}
	_, peak := inUse()
	t.Logf("at most %d at a time", peak)
	require.LessOrEqual(t, peak, limit)
	require.Equal(t, 5, returned, "the team did not reach its limit again")
}

// Guards against a former grant that is released too early: by a report from
// before the grant was raised, by a report of another incarnation, or before the
// retention time has passed.
func TestFormerGrantRelease(t *testing.T) {
	t.Parallel()
	now := time.Now()
	s := state.New()
	s.Assignments["p"] = &state.Assignment{Pool: "p", Epoch: 2, Index: 20}
	grant := &state.Grant{Team: "t", Pool: "p", Epoch: 1, Amount: 5, Held: 5, Holder: "e", Incarnation: 7, Index: 10}
	key := demandKey{"t", "p", 1}
	entryLease := &lease{incarnation: 7, viewIndex: 20, demand: map[demandKey]view.Demand{key: {Running: 2, Grant: 2}}}
	l := &leaderState{replica: &Replica{state: s, runTimeLimit: maxRunTime}, leases: map[string]*lease{"e": entryLease}}
	l.teamGranter.init(now)
	require.Equal(t, 2, l.formerHeld(grant.ID(), grant, now))
	entryLease.demand = nil
	require.Zero(t, l.formerHeld(grant.ID(), grant, now), "a live holder that omits the grant has no work under it")
	entryLease.demand = map[demandKey]view.Demand{key: {Running: 2, Grant: 2}}
	entryLease.viewIndex = 19
	require.Equal(t, 5, l.formerHeld(grant.ID(), grant, now), "the holder's view may not include the new assignment")
	grant.Index, entryLease.viewIndex = 21, 20
	require.Equal(t, 5, l.formerHeld(grant.ID(), grant, now), "the holder's view may not include the raised grant")
	entryLease.viewIndex, entryLease.incarnation = 21, 8
	require.Equal(t, 5, l.formerHeld(grant.ID(), grant, now), "another incarnation does not know the work")
	require.Equal(t, 5, l.formerHeld(grant.ID(), grant, now.Add(maxRunTime+freshnessBound)))
	require.Zero(t, l.formerHeld(grant.ID(), grant, now.Add(grantRetention(maxRunTime)+time.Second)))
}

// Guards against a grant that is released while work under an earlier, longer
// deadline may still run, and against grants of lost instances that are retained
// for longer than the queue's deadline requires.
func TestGrantRetentionFollowsQueueDeadline(t *testing.T) {
	t.Parallel()
	s := state.New()
	applied := time.Now()
	text := rulesText(1, 1) + "queue q1 pool=p000 access=open length=10 deadline=2s # Juma: quick\n" +
		"queue q2 pool=p000 access=open length=10 deadline=5s # Juma: slower\n"
	require.Nil(t, s.Apply(1, state.Command{Time: applied, ApplyRules: &state.ApplyRules{Text: text}}).Err)
	l := &leaderState{replica: &Replica{state: s, runTimeLimit: maxRunTime}}
	require.Equal(t, maxRunTime, l.maxRunTime("p000", applied.Add(time.Second)))
	require.Equal(t, 5*time.Second, l.maxRunTime("p000", applied.Add(2*maxRunTime)))
	require.Equal(t, maxRunTime, l.maxRunTime("other", applied.Add(2*maxRunTime)))
}
