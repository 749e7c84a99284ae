package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/operator"
	"cactusspar/internal/peer"
	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

// entries starts renewing stand-ins, one in each data centre in turn, and waits
// until all know all assignments.
func (g *group) entries(n, pools int) []*entry {
	g.t.Helper()
	var all []*entry
	for i := range n {
		all = append(all, g.entry(fmt.Sprintf("e%d", i), 1, fmt.Sprintf("d%d", i%4+1)).run())
	}
	g.settle(all, pools)
	return all
}

// settle waits until the pools are spread over the entry instances.
func (g *group) settle(all []*entry, pools int) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		load := map[string]int{}
		ok := true
		for _, e := range all {
			e.look(func() {
				ok = ok && e.known && len(e.assign) == pools
				for _, a := range e.assign {
					load[a.Dispatcher]++
				}
			})
		}
		return ok && len(load) == min(len(all), pools)
	}, 15*time.Second, 10*time.Millisecond)
}

// assignments returns the committed assignments of the leader.
func (g *group) assignments() map[string]state.Assignment {
	out := map[string]state.Assignment{}
	_ = g.leader().Read(context.Background(), func(s *state.State) {
		for pool, a := range s.Assignments {
			out[pool] = *a
		}
	})
	return out
}

// Guards against pools that move while the old dispatcher's view may still be
// fresh, or that never move, and against records that are taken for lost.
func TestLostEntryInstance(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(4, 1)
	all := g.entries(4, 4)
	before := g.assignments()
	lost := all[0]
	lost.stop()
	var moved time.Time
	require.Eventually(t, func() bool {
		for _, a := range g.assignments() {
			if a.Dispatcher == lost.self.ID || a.Backup == lost.self.ID {
				return false
			}
		}
		moved = time.Now()
		return true
	}, 10*time.Second, 5*time.Millisecond)
	require.Greater(t, moved.Sub(lost.fresh), freshnessBound, "the old dispatcher's view was still fresh")
	require.Less(t, moved.Sub(lost.fresh), leaseDuration+time.Second)
	for pool, a := range g.assignments() {
		old := before[pool]
		if old.Dispatcher != lost.self.ID {
			continue
		}
		require.Equal(t, old.Backup, a.Dispatcher)
		require.Equal(t, lost.self.ID, a.Previous)
		require.False(t, a.Orphaned)
	}
}

// Guards against a new leader, or one that was stopped for a while, that takes
// live entry instances for lost.
func TestLeaderChangeKeepsEntryInstances(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(4, 1)
	all := g.entries(4, 4)
	before := g.assignments()
	g.halt(g.leader().options.Self.Name)
	time.Sleep(2 * time.Second)
	require.Equal(t, before, g.assignments())
	// Renewals wait while all replicas are stopped, longer than a lease.
	for name := range g.replicas {
		g.freeze(name, leaseDuration+time.Second)
	}
	time.Sleep(leaseDuration + 2*time.Second)
	require.Equal(t, before, g.assignments())
	for _, e := range all {
		e.look(func() { require.True(t, e.known) })
	}
}

// Guards against a view that is confirmed after its expiry was proposed, when
// the successors of its dispatcher may start.
func TestNoConfirmationWhileExpiring(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(1, 1)
	e := g.entry("e1", 1, "d1")
	require.Eventually(t, func() bool { return e.renew(context.Background()) && e.known }, 5*time.Second, 10*time.Millisecond)
	leader := g.leader()
	g.own(leader, func() {
		l := leader.lead
		m := &view.Renew{Entry: e.self}
		assert.True(t, l.observe(m, time.Now()))
		l.leases["e1"].expiring = true
		assert.False(t, l.observe(m, time.Now()), "a renewal after the proposal")
		_, err := l.answerRenewal(&renewal{id: "e1", incarnation: 1})
		var remote *peer.RemoteError
		if assert.ErrorAs(t, err, &remote, "a renewal before the proposal") {
			assert.Equal(t, codeExpiring, remote.Code)
		}
		l.leases["e1"].expiring = false
	})
}

// Guards against live entry instances that are taken for lost by a leader whose
// process was stopped and continued.
func TestContinuedLeaderExpiresNobody(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	g.applyRules(1, 1)
	e := g.entry("e1", 1, "d1")
	require.Eventually(t, func() bool { return e.renew(context.Background()) && e.known }, 5*time.Second, 10*time.Millisecond)
	leader := g.leader()
	g.own(leader, func() {
		now := time.Now()
		held := leader.lead.leases["e1"]
		held.last = now.Add(-2 * leaseDuration)
		leader.tickLeader(now, 2*leaseDuration)
		assert.False(t, held.expiring)
		held.last = now.Add(-2 * leaseDuration)
		leader.tickLeader(now, tick)
		assert.True(t, held.expiring)
	})
}

// Guards against pools that stay with a stopping entry instance until its lease
// ends, and against an older incarnation that takes part.
func TestLeaveAndOldIncarnation(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(4, 1)
	all := g.entries(3, 4)
	began := time.Now()
	require.NoError(t, all[0].call(context.Background(), view.MethodLeave, &view.Renew{Entry: all[0].self}, nil))
	for _, a := range g.assignments() {
		require.NotEqual(t, "e0", a.Dispatcher)
		require.False(t, a.Orphaned)
	}
	require.Less(t, time.Since(began), freshnessBound)
	all[0].stop()

	next := g.entry("e0", 2, "d1").run()
	require.Eventually(t, func() bool {
		known := false
		next.look(func() { known = next.known })
		return known
	}, 10*time.Second, 10*time.Millisecond)
	old := g.entry("e0", 1, "d1")
	next.stop()
	var before time.Time
	leader := g.leader()
	g.own(leader, func() { before = leader.lead.leases["e0"].last })
	require.True(t, old.renew(context.Background()))
	require.False(t, old.known)
	g.own(leader, func() {
		assert.Equal(t, before, leader.lead.leases["e0"].last, "it renewed the lease of its successor")
	})
}

// Guards against announced inventory that isn't committed, is committed again
// and again, or takes an instance to another pool.
func TestInventory(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(2, 1)
	e := g.entry("e1", 1, "d1")
	require.Eventually(t, func() bool { return e.renew(context.Background()) && e.known }, 5*time.Second, 10*time.Millisecond)
	announced := []state.Instance{{ID: "i1", Pool: "p000", Slots: 8}, {ID: "i2", Pool: "p001"}, {ID: "i3", Pool: "undeclared"}}
	instances := func() (n int, index uint64) {
		_ = g.leader().Read(context.Background(), func(s *state.State) { n, index = len(s.Instances), s.Index })
		return n, index
	}
	require.Eventually(t, func() bool {
		m := &view.Renew{Entry: e.self, Instances: announced}
		require.NoError(t, e.call(context.Background(), view.MethodRenew, m, &view.Delta{}))
		n, _ := instances()
		return n == 2
	}, 5*time.Second, 20*time.Millisecond)
	announced = []state.Instance{{ID: "i1", Pool: "p001", Slots: 8}}
	_, before := instances()
	for range 5 {
		require.NoError(t, e.call(context.Background(), view.MethodRenew, &view.Renew{Entry: e.self, Instances: announced}, &view.Delta{}))
		time.Sleep(planInterval)
	}
	_, after := instances()
	require.LessOrEqual(t, after, before+2) // the grants of the team may have changed meanwhile
	_ = g.leader().Read(context.Background(), func(s *state.State) { require.Equal(t, "p000", s.Instances["i1"].Pool) })
}

// Guards against a follower that answers entry instances, or that doesn't name
// the leader.
func TestFollowerNamesTheLeader(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(1, 1)
	leader := g.leader()
	e := g.entry("e1", 1, "d1")
	for name, r := range g.replicas {
		if r == leader {
			continue
		}
		var remote *peer.RemoteError
		err := e.client[g.self(name).Peer].Call(context.Background(), view.MethodRenew, &view.Renew{Entry: e.self}, nil)
		require.ErrorAs(t, err, &remote)
		require.Equal(t, view.CodeNotLeader, remote.Code)
		require.Equal(t, leader.options.Self.Peer, remote.Text)
		var other *operator.NotLeaderError
		require.ErrorAs(t, r.Read(context.Background(), func(*state.State) {}), &other)
		require.Equal(t, leader.options.Self.Operator, other.Leader)
	}
	for _, c := range e.client {
		c.Close()
	}
}
