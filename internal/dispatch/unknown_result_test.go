package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a team that exceeds its limit because work with an unknown result,
// which may still run at the endpoint, no longer counts.
func TestUnknownResultCountsAgainstLimitUntilDeadline(t *testing.T) {
	f := newFixture(t, 1)
	f.view.Grants = map[string]int{"a": 1, "b": 1}
	f.pool.Configure(f.now, f.view)
	first := f.acquire("one", func(a *AcquireRequest) { a.Remaining = 2 * time.Second })
	require.NotZero(t, first.ticket.ID)
	f.pool.Release(f.now, "e2", ReleaseRequest{Ticket: first.ticket.ID, Epoch: first.ticket.Epoch, Outcome: OutcomeUnknown, Failed: true})
	require.Zero(t, f.acquire("two", nil).ticket.ID, "the first one may still run")
	require.NotZero(t, f.acquire("other", func(a *AcquireRequest) { a.Team = "b" }).ticket.ID, "another team goes on")
	require.Equal(t, 1, f.pool.Demand(f.now)[0].Running)
	f.pass(2*time.Second + releaseGrace + 200*time.Millisecond)
	f.pool.Run(f.now)
	require.NotZero(t, f.responses["two"].ticket.ID)
	f.pool.verifyCounters()
	// A known result frees the limit at once.
	f.release("two", true)
	require.NotZero(t, f.acquire("three", nil).ticket.ID)
}

// Guards against a request that runs twice, and against a ticket in use that no longer
// counts against its team's limit, because the cancel of an acquire without an answer arrives
// after the acquire was repeated.
func TestCancelOfFormerAcquireKeepsTicket(t *testing.T) {
	f := newFixture(t, 1)
	keyed := func(try uint64) func(*AcquireRequest) {
		return func(a *AcquireRequest) { a.Idempotent, a.Key, a.Try = false, "k", try }
	}
	require.NotZero(t, f.acquire("r", keyed(2)).ticket.ID)
	f.pool.Cancel(f.now, "e2", "r", 1)
	f.pool.Run(f.now)
	require.Equal(t, 1, f.pool.Running())
	refusal := f.acquire("resent", keyed(1)).refusal
	require.NotNil(t, refusal, "the request runs already")
	require.Equal(t, CodeDuplicateRunning, refusal.Code)

	f.pool.Cancel(f.now, "e2", "r", 2)
	f.pool.Run(f.now)
	require.Zero(t, f.pool.Running())
}
