package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are answered unknown for the lifetime of records
// because nobody could speak for an epoch that a view has skipped: at a start,
// the first entry instance gets all pools before it has a view of any.
func TestSkippedEpochsOfTheOwnProcessAreIdle(t *testing.T) {
	serve := func(heldSince uint64) *fixture {
		f := newFixture(t, 1)
		f.view.Assignment.Epoch, f.view.Assignment.Previous = 2, "e1"
		f.pool = nil
		f.heldSince = heldSince
		f.start()
		f.pool.Run(f.now)
		f.announce()
		return f
	}
	keyed := func(f *fixture) answer {
		return f.ask("one", func(a *Acquire) { a.Idempotent, a.Key = false, "k" })
	}
	require.Equal(t, CodeDuplicateUnknown, keyed(serve(0)).refusal.Code)
	f := serve(1)
	require.Nil(t, keyed(f).refusal)
	require.NotZero(t, f.answers["one"].ticket.ID)

	// A successor that the pool is moved to before it has recovered is told that
	// no ticket was given under any of the epochs.
	f = serve(1)
	f.heldSince = 1
	f.start()
	f.pool.Retire(f.now, 3)
	require.Equal(t, []Claim{{From: 1, To: 2, Idle: true}}, f.pool.Held(f.now).Claims)
}
