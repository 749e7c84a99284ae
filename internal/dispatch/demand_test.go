package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against renewals that list the grants of all idle teams, and against a
// retired pool that doesn't return its grants.
func TestIdleTeamsAreLeftOutOfDemand(t *testing.T) {
	f := newFixture(t, 1)
	require.Empty(t, f.pool.Demand(f.now))
	require.NotZero(t, f.acquire("one", nil).ticket.ID)
	require.Len(t, f.pool.Demand(f.now), 1)
	f.release("one", false)
	require.Empty(t, f.pool.Demand(f.now))
	f.pool.Retire(f.now, 2)
	for _, d := range f.pool.Demand(f.now) {
		require.Zero(t, d.Grant)
	}
	require.Len(t, f.pool.Demand(f.now), 2)
}
