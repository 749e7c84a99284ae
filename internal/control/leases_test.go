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

// startEntries starts fake entry instances, spread over the data centres, and waits
// until all of them know all assignments.
func (g *group) startEntries(n, pools int) []*fakeEntry {
	g.t.Helper()
	var all []*fakeEntry
	for i := range n {
		all = append(all, g.fakeEntry(fmt.Sprintf("e%d", i), 1, fmt.Sprintf("d%d", i%4+1)).run())
	}
	g.awaitAssignments(all, pools)
	return all
}

// awaitAssignments waits until all entry instances know all assignments and the
// pools are spread over the instances.
func (g *group) awaitAssignments(all []*fakeEntry, pools int) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		load := map[string]int{}
		ok := true
		for _, e := range all {
			e.withLock(func() {
				ok = ok && e.known && len(e.assignments) == pools
				for _, a := range e.assignments {
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

// Guards against pools that move from a lost entry instance while its view may
// still be fresh, or that never move, and against pools that are marked as
// orphaned although the backup holds their records.
func TestPoolsMoveAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(4, 1)
	all := g.startEntries(4, 4)
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
	require.Greater(t, moved.Sub(lost.confirmedAt), freshnessBound, "the old dispatcher's view was still fresh")
	require.Less(t, moved.Sub(lost.confirmedAt), leaseDuration+time.Second)
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

// Guards against live entry instances whose leases expire under a new leader or
// under one that was suspended.
func TestLeaderChangeExpiresNoLease(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(4, 1)
	all := g.startEntries(4, 4)
	before := g.assignments()
	g.halt(g.leader().options.Self.Name)
	time.Sleep(2 * time.Second)
	require.Equal(t, before, g.assignments())
	// All replicas are suspended for longer than a lease, so that no renewal is
	// answered.
	for name := range g.replicas {
		g.suspend(name, leaseDuration+time.Second)
	}
	time.Sleep(leaseDuration + 2*time.Second)
	require.Equal(t, before, g.assignments())
	for _, e := range all {
		e.withLock(func() { require.True(t, e.known) })
	}
}

// Guards against a view that is confirmed after the expiry of its lease was
// proposed, when other dispatchers may already take over.
func TestNoConfirmationWhileLeaseExpires(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(1, 1)
	e := g.fakeEntry("e1", 1, "d1")
	require.Eventually(t, func() bool { return e.renew(context.Background()) && e.known }, 5*time.Second, 10*time.Millisecond)
	leader := g.leader()
	g.onEventLoop(leader, func() {
		l := leader.asLeader
		m := &view.RenewRequest{Entry: e.self}
		assert.True(t, l.acceptRenewal(m, time.Now()))
		l.leases["e1"].expiring = true
		assert.False(t, l.acceptRenewal(m, time.Now()), "a renewal that arrived after the proposal")
		_, err := l.renewalDelta(&renewal{id: "e1", incarnation: 1})
		var remote *peer.RemoteError
		if assert.ErrorAs(t, err, &remote, "a renewal that arrived before the proposal") {
			assert.Equal(t, codeExpiring, remote.Code)
		}
		l.leases["e1"].expiring = false
	})
}

// Guards against a leader whose process was suspended and resumed and that expires
// the leases of live entry instances.
func TestResumedLeaderExpiresNoLease(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	g.applyRules(1, 1)
	e := g.fakeEntry("e1", 1, "d1")
	require.Eventually(t, func() bool { return e.renew(context.Background()) && e.known }, 5*time.Second, 10*time.Millisecond)
	leader := g.leader()
	g.onEventLoop(leader, func() {
		now := time.Now()
		entryLease := leader.asLeader.leases["e1"]
		entryLease.lastRenewed = now.Add(-2 * leaseDuration)
		leader.tickLeader(now, 2*leaseDuration)
		assert.False(t, entryLease.expiring)
		entryLease.lastRenewed = now.Add(-2 * leaseDuration)
		leader.tickLeader(now, tick)
		assert.True(t, entryLease.expiring)
	})
}

// Guards against pools that stay with a stopping entry instance until its lease
// expires, and against an old incarnation that renews the lease of a newer one.
func TestLeaveAndOldIncarnation(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(4, 1)
	all := g.startEntries(3, 4)
	began := time.Now()
	require.NoError(t, all[0].call(context.Background(), view.MethodLeave, &view.RenewRequest{Entry: all[0].self}, nil))
	for _, a := range g.assignments() {
		require.NotEqual(t, "e0", a.Dispatcher)
		require.False(t, a.Orphaned)
	}
	require.Less(t, time.Since(began), freshnessBound)
	all[0].stop()

	next := g.fakeEntry("e0", 2, "d1").run()
	require.Eventually(t, func() bool {
		known := false
		next.withLock(func() { known = next.known })
		return known
	}, 10*time.Second, 10*time.Millisecond)
	old := g.fakeEntry("e0", 1, "d1")
	next.stop()
	var before time.Time
	leader := g.leader()
	g.onEventLoop(leader, func() { before = leader.asLeader.leases["e0"].lastRenewed })
	require.True(t, old.renew(context.Background()))
	require.False(t, old.known)
	g.onEventLoop(leader, func() {
		assert.Equal(t, before, leader.asLeader.leases["e0"].lastRenewed, "the old incarnation renewed the lease of the new one")
	})
}

// Guards against announced inventory that is not committed, is committed
// repeatedly, or moves an instance to another pool.
func TestInventoryIsCommittedOnce(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(2, 1)
	e := g.fakeEntry("e1", 1, "d1")
	require.Eventually(t, func() bool { return e.renew(context.Background()) && e.known }, 5*time.Second, 10*time.Millisecond)
	announced := []state.Instance{{ID: "i1", Pool: "p000", Slots: 8}, {ID: "i2", Pool: "p001"}, {ID: "i3", Pool: "undeclared"}}
	instances := func() (n int, index uint64) {
		_ = g.leader().Read(context.Background(), func(s *state.State) { n, index = len(s.Instances), s.Index })
		return n, index
	}
	require.Eventually(t, func() bool {
		m := &view.RenewRequest{Entry: e.self, Instances: announced}
		require.NoError(t, e.call(context.Background(), view.MethodRenew, m, &view.Delta{}))
		n, _ := instances()
		return n == 2
	}, 5*time.Second, 20*time.Millisecond)
	announced = []state.Instance{{ID: "i1", Pool: "p001", Slots: 8}}
	_, before := instances()
	for range 5 {
		require.NoError(t, e.call(context.Background(), view.MethodRenew, &view.RenewRequest{Entry: e.self, Instances: announced}, &view.Delta{}))
		time.Sleep(planInterval)
	}
	_, after := instances()
	require.LessOrEqual(t, after, before+2) // up to two commands may have changed the team's grants in the meantime
	_ = g.leader().Read(context.Background(), func(s *state.State) { require.Equal(t, "p000", s.Instances["i1"].Pool) })
}

// Guards against a follower that answers renewals or reads, or that does not name
// the leader.
func TestFollowerNamesLeader(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(1, 1)
	leader := g.leader()
	e := g.fakeEntry("e1", 1, "d1")
	for name, r := range g.replicas {
		if r == leader {
			continue
		}
		var remote *peer.RemoteError
		err := e.client[g.self(name).Peer].Call(context.Background(), view.MethodRenew, &view.RenewRequest{Entry: e.self}, nil)
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
