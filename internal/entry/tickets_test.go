package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/caller"
	"cactusspar/internal/dispatch"
	"cactusspar/internal/view"
)

// Guards against a ticket of an epoch that is over being used, and against a
// ticket in use that its new dispatcher is not told of.
func TestTicketsAreHandedOver(t *testing.T) {
	tickets := newTickets()
	hold := func(id, epoch uint64) bool {
		return tickets.hold(&lease{
			ticket: dispatch.Ticket{ID: id, Pool: "p", Epoch: epoch}, request: "r", team: "t", deadline: time.Now().Add(time.Second),
		})
	}
	require.True(t, hold(1, 1))
	held := tickets.handOver(dispatch.HeldQuery{Pool: "p", Epoch: 2}, "e2")
	require.Len(t, held, 1)
	require.EqualValues(t, 1, held[0].Ticket.ID)
	require.InDelta(t, time.Second, held[0].Ticket.Remaining, float64(200*time.Millisecond))
	require.False(t, hold(2, 1), "a ticket that the new dispatcher doesn't count")
	require.True(t, hold(3, 2))
	dispatcher, epoch := tickets.successor("p")
	require.Equal(t, "e2", dispatcher)
	require.EqualValues(t, 2, epoch)
}

// Guards against a ticket from before an isolation being used after it: the
// pool may have moved without its new dispatcher asking this instance.
func TestTicketEndsWithIsolation(t *testing.T) {
	now := time.Now()
	h := view.NewHolder(func() time.Time { return now })
	confirm := func() {
		_, err := h.Confirm(now, &view.Delta{Index: 1}, nil)
		require.NoError(t, err)
	}
	confirm()
	l := &lease{router: &router{views: h}, period: h.Current().Period, deadline: time.Now().Add(time.Minute)}
	require.NoError(t, l.Check())
	now = now.Add(view.FreshnessBound - time.Millisecond)
	confirm()
	require.NoError(t, l.Check())
	now = now.Add(view.FreshnessBound)
	confirm()
	require.ErrorIs(t, l.Check(), caller.ErrOldTicket)
}
