package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
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
// in turn: a former leader has restarted and is elected again shortly after its successor.
func TestRestartedLeaderWaitsForItsFormerOrders(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	restartedAt := boottime.Now()
	s.restart()
	s.awaitOnLoop(func() bool {
		return s.o.platformAuthority.from.Sub(restartedAt) >= s.o.Settings.HolderLease
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
