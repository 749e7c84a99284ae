package orchestrator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// ticketedFleet is a fake fleet whose workers accept only tickets of their present incarnation.
type ticketedFleet struct {
	*fakeFleet
	refused int // starts with another ticket
}

func (f *ticketedFleet) ticket(worker string) (ticket string) {
	f.withLock(func() {
		if w := f.workers[worker]; w != nil {
			ticket = fmt.Sprintf("%s of %d", worker, w.incarnation)
		}
	})
	return ticket
}

func (f *ticketedFleet) Advise(_ context.Context, _ string, _, _ int, workers []string) (map[string]string, error) {
	tickets := map[string]string{}
	for _, w := range workers {
		tickets[w] = f.ticket(w)
	}
	return tickets, nil
}

func (f *ticketedFleet) Start(ctx context.Context, t executor.Target, s executor.Start) (int64, error) {
	if valid := f.ticket(t.ID); valid != "" && s.Ticket != valid {
		f.withLock(func() { f.refused++ })
		return 0, &executor.RefusedError{Reason: executor.NoTicket, Clock: f.clock(t.ID)}
	}
	return f.fakeFleet.Start(ctx, t, s)
}

// newTicketedSystem returns a system whose workers require tickets.
func newTicketedSystem(t *testing.T, f *fakeFleet) (*system, *ticketedFleet) {
	fleet := &ticketedFleet{fakeFleet: f}
	s := newConfiguredSystem(t, f, func(s *system) { s.calls, s.advisor = fleet, fleet })
	s.awaitOnLoop(func() bool { return len(s.o.sessions) == len(f.workers) })
	s.applyAdvisedQueue()
	return s, fleet
}

// TestTicketOfFormerIncarnationIsNotUsed guards against starts that a worker refuses for want of a
// ticket: it is back under its ID, and the ticket was issued for its former incarnation.
func TestTicketOfFormerIncarnationIsNotUsed(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.taskTime, f.keepsID = 0, true
	s, fleet := newTicketedSystem(t, f)
	s.submit("lasts", lastingStep)
	s.awaitRunning("a", 1)
	s.withLock(func() { s.crash("a") })
	require.Eventually(t, func() (again bool) {
		s.withLock(func() { again = s.workers["a"] != nil && len(s.workers["a"].running) == 1 })
		return again
	}, 20*time.Second, 5*time.Millisecond)
	s.withLock(func() { require.Zero(t, fleet.refused) })
}

// TestWorkerWithoutIncarnationIsAdvised guards against tasks that never start: the policy service is
// not asked about workers that don't report when they were born.
func TestWorkerWithoutIncarnationIsAdvised(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.workers["a"].incarnation = 0
	s, _ := newTicketedSystem(t, f)
	s.submit("j", oneCoreTasks(1))
	s.await("j", workload.Completed)
}
