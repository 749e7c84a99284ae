package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against keyed requests that are refused with an unknown result for the
// lifetime of records because no entry instance made a claim for an epoch that a
// view skipped. At a start, all pools are assigned to the first entry instance
// before it has a view.
func TestSkippedEpochsCountAsIdle(t *testing.T) {
	serve := func(idleSince uint64) *fixture {
		f := newFixture(t, 1)
		f.view.Assignment.Epoch, f.view.Assignment.Previous = 2, "e1"
		f.pool = nil
		f.idleSince = idleSince
		f.start()
		f.pool.Run(f.now)
		f.announce()
		return f
	}
	keyed := func(f *fixture) response {
		return f.acquire("one", func(a *AcquireRequest) { a.Idempotent, a.Key = false, "k" })
	}
	require.Equal(t, CodeDuplicateUnknown, keyed(serve(0)).refusal.Code)
	f := serve(1)
	require.Nil(t, keyed(f).refusal)
	require.NotZero(t, f.responses["one"].ticket.ID)

	// If the pool moves on before it has recovered, its claim states that no ticket
	// was issued under any of the epochs.
	f = serve(1)
	f.idleSince = 1
	f.start()
	f.pool.Retire(f.now, 3)
	require.Equal(t, []Claim{{From: 1, To: 2, Idle: true}}, f.pool.Held(f.now).Claims)
}
