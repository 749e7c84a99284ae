package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/workload"
)

// TestNewLeaderWaitsForItsPredecessorsAuthority guards against a new leader that sends
// orders while its predecessor may still have some in progress.
func TestNewLeaderWaitsForItsPredecessorsAuthority(t *testing.T) {
	var a orderAuthority
	now := boottime.Now()
	a.begin(now, time.Second)
	a.confirmed(now)
	require.Nil(t, a.permit())
	a.begin(now.Add(-orderValidity-orderTransit), time.Second)
	a.confirmed(now)
	require.NotNil(t, a.permit())
}

// TestReturningLeaderWaitsForItsFormerOrders guards against two replicas that order an
// instance in turn: a former leader is elected again shortly after its successor.
func TestReturningLeaderWaitsForItsFormerOrders(t *testing.T) {
	var a orderAuthority
	const holderLease = 300 * time.Millisecond
	long := boottime.Now().Add(-time.Hour)
	a.begin(long, holderLease)
	a.confirmed(boottime.Now())
	p := a.permit()
	require.NotNil(t, p)
	a.end()
	p.release()
	ended := time.Now()
	a.begin(long, holderLease)
	for a.permit() == nil {
		a.confirmed(boottime.Now())
		time.Sleep(time.Millisecond)
	}
	require.GreaterOrEqual(t, time.Since(ended), holderLease)
}

// TestRestartedLeaderWaitsForItsFormerOrders guards against two replicas that order an instance
// in turn: a former leader has restarted and is elected again shortly after its successor. The
// successor's record stands for its orders.
func TestRestartedLeaderWaitsForItsFormerOrders(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.awaitOnLoop(func() bool { return s.o.holderRecorded })
	s.onLeader(func(boottime.Instant) {
		s.o.pending.Holder = &workload.HolderRecord{Name: "successor", Term: s.o.leadership.Term() + 1}
	})
	s.awaitOnLoop(func() bool { return s.o.leadership.State().OthersOrderedSince(s.self.Name) })
	restartedAt := boottime.Now()
	s.restart()
	s.awaitOnLoop(func() bool {
		return s.o.platformAuthority.from.Sub(restartedAt) >= s.o.Settings.HolderLease
	})
}

// TestLeaderWithoutOrdersOfOthersDoesNotWait guards against a group that moves no instance for
// HolderLease after all of its processes have restarted, whoever leads next: in a load peak, its
// pools are short of instances for that time.
func TestLeaderWithoutOrdersOfOthersDoesNotWait(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.awaitOnLoop(func() bool { return s.o.holderRecorded })
	s.restart()
	s.awaitOnLoop(func() bool { return s.o.platformAuthority.from > s.o.leadingSince })
	s.onLeader(func(boottime.Instant) {
		require.Equal(t, s.o.leadingSince.Add(orderValidity+orderTransit), s.o.platformAuthority.from)
	})
}

// TestNoOrderBeforeItIsRecorded guards against an order of a leader that later leaders don't know
// to have ordered.
func TestNoOrderBeforeItIsRecorded(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.awaitOnLoop(func() bool { return s.o.platformAuthority.valid() })
	s.onLeader(func(boottime.Instant) {
		require.Equal(t, s.o.leadership.Term(), s.o.leadership.State().Holders[s.self.Name])
	})
}

// TestAuthorityEndsWithoutConfirmation guards against orders that are sent, or remain in
// progress, after the leadership has not been confirmed for orderValidity, and against
// an order of a former leadership that is sent under a later one.
func TestAuthorityEndsWithoutConfirmation(t *testing.T) {
	var a orderAuthority
	a.begin(boottime.Now().Add(-time.Hour), 0)
	began := boottime.Now()
	a.confirmed(began)
	p := a.permit()
	require.True(t, p.valid())
	select {
	case <-p.ctx.Done():
	case <-time.After(10 * time.Second):
		require.Fail(t, "the call was not cancelled")
	}
	require.GreaterOrEqual(t, boottime.Now().Sub(began), orderValidity)
	require.False(t, p.valid())
	a.confirmed(boottime.Now())
	require.NotNil(t, a.permit())
	require.False(t, p.valid(), "the authority was lost in between")
}

// TestEndedLeadershipCancelsOrders guards against orders that remain in progress after
// the leader has stepped down.
func TestEndedLeadershipCancelsOrders(t *testing.T) {
	var a orderAuthority
	a.begin(boottime.Now().Add(-time.Hour), 0)
	a.confirmed(boottime.Now())
	p := a.permit()
	a.end()
	require.Error(t, p.ctx.Err())
	require.False(t, p.valid())
	require.Nil(t, a.permit())
}
