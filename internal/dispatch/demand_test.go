package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against renewals that name every grant of idle teams, and against a
// retired pool that keeps its grants to itself.
func TestIdleTeamsAreLeftOutOfDemand(t *testing.T) {
	f := newFixture(t, 1)
	require.Empty(t, f.pool.Demand(f.now))
	require.NotZero(t, f.ask("one", nil).ticket.ID)
	require.Len(t, f.pool.Demand(f.now), 1)
	f.release("one", false)
	require.Empty(t, f.pool.Demand(f.now))
	f.pool.Retire(f.now, 2)
	for _, d := range f.pool.Demand(f.now) {
		require.Zero(t, d.Grant)
	}
	require.Len(t, f.pool.Demand(f.now), 2)
}
