package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/caller"
	"cactusspar/internal/dispatch"
	"cactusspar/internal/view"
)

// Guards against use of a ticket of a past epoch, and against a ticket in use that
// is not reported to the new dispatcher.
func TestTicketsAreHandedOver(t *testing.T) {
	registry := newTicketRegistry()
	register := func(id, epoch uint64) bool {
		return registry.register(&lease{
			ticket: dispatch.Ticket{ID: id, Pool: "p", Epoch: epoch}, request: "r", team: "t", deadline: time.Now().Add(time.Second),
		})
	}
	require.True(t, register(1, 1))
	held := registry.handOver(dispatch.HeldQuery{Pool: "p", Epoch: 2}, "e2")
	require.Len(t, held, 1)
	require.EqualValues(t, 1, held[0].Ticket.ID)
	require.InDelta(t, time.Second, held[0].Ticket.Remaining, float64(200*time.Millisecond))
	require.False(t, register(2, 1), "a ticket that the new dispatcher does not count was accepted")
	require.True(t, register(3, 2))
	dispatcher, epoch := registry.successor("p")
	require.Equal(t, "e2", dispatcher)
	require.EqualValues(t, 2, epoch)
}

// Guards against use of a ticket from before an isolation after it. The pool may
// have got a new dispatcher that did not query this instance.
func TestTicketEndsWithIsolation(t *testing.T) {
	now := time.Now()
	views := view.NewPublisher(func() time.Time { return now })
	confirm := func() {
		_, err := views.Confirm(now, &view.Delta{Index: 1}, nil)
		require.NoError(t, err)
	}
	confirm()
	l := &lease{router: &router{views: views}, viewPeriod: views.Current().FreshPeriod, deadline: time.Now().Add(time.Minute)}
	require.NoError(t, l.Check())
	now = now.Add(view.FreshnessBound - time.Millisecond)
	confirm()
	require.NoError(t, l.Check())
	now = now.Add(view.FreshnessBound)
	confirm()
	require.ErrorIs(t, l.Check(), caller.ErrStaleTicket)
}
