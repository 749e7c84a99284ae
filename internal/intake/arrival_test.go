package intake

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/telemetry"
)

func newArrival(i *Intake) *Arrival {
	return i.Arrive(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil), time.Now().Add(10*time.Second))
}

// Guards against an arriving body that isn't told that it gave way, against one that gives
// way after it has arrived, and against bytes that are not given back.
func TestArrivalGivesWay(t *testing.T) {
	metrics := telemetry.NewMetrics()
	i := New(Options{BodyBytes: testLimit, DecodingBytes: 1, Log: logr.Discard(), Metrics: metrics})
	var all []*Arrival
	for range testLimit / smallBytes {
		a := newArrival(i)
		require.NoError(t, a.Grow(smallBytes))
		all = append(all, a)
	}
	require.NoError(t, all[0].Progress())
	require.NoError(t, all[1].Complete())
	// The other client does not read its connection, and gives its bytes back later.
	done := make(chan error)
	next := newArrival(i)
	go func() { done <- next.Grow(1) }()
	require.Eventually(t, all[2].GaveWay, 10*time.Second, time.Millisecond)
	require.ErrorIs(t, all[2].Progress(), ErrGaveWay)
	require.ErrorIs(t, all[2].Complete(), ErrGaveWay)
	all[2].Close()
	require.NoError(t, <-done)
	require.False(t, all[0].GaveWay())
	require.False(t, all[1].GaveWay())
	for _, a := range append(all, next) {
		a.Close()
		a.Close()
	}
	require.Zero(t, i.Held())
	require.EqualValues(t, 1, metrics.Counter("intake_bodies_refused_total").Count(), "a body counts once")
}

// Guards against a small body that waits for room beyond the deadline of its request.
func TestArrivalWaitsUntilDeadline(t *testing.T) {
	i := New(Options{BodyBytes: testLimit, DecodingBytes: 1, Log: logr.Discard(), Metrics: telemetry.NewMetrics()})
	for range testLimit / smallBytes {
		a := newArrival(i)
		require.NoError(t, a.Grow(smallBytes))
		require.NoError(t, a.Complete())
	}
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	late := i.Arrive(httptest.NewRecorder(), r, time.Now().Add(20*time.Millisecond))
	require.ErrorIs(t, late.Grow(1), ErrExhausted)
	late.Close()
	require.EqualValues(t, testLimit, i.Held())
}

// Guards against a planned stop that closes a connection which was accepted just before.
func TestConnectionAcceptedBeforeStopIsKept(t *testing.T) {
	c := newConnections(1, func() {})
	c.stop()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	_, err := c.add(near)
	require.NoError(t, err)
	_, err = c.add(far)
	require.ErrorIs(t, err, net.ErrClosed, "there is no room for it")
}
