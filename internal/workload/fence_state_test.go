package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a leader that takes a worker's next incarnation to be protected from calls for the
// former one because that one was: it would count on its own leases only.
func TestFenceStateBelongsToIncarnation(t *testing.T) {
	s := NewState()
	apply := func(c *Command) { s.Apply(c, time.Unix(1, 0)) }
	fence := func(incarnation int64, state FenceState) {
		apply(&Command{Fences: []WorkerFence{{Worker: "w", Incarnation: incarnation, State: state}}})
	}
	report := func(incarnation int64) { apply(&Command{Workers: []Worker{{ID: "w", Incarnation: incarnation}}}) }
	fence(1, Fenced)
	require.Empty(t, s.Workers)
	report(1)
	fence(1, FenceSettled)
	fence(1, Fenced)
	report(1)
	require.Equal(t, FenceSettled, s.Workers["w"].Fence)
	report(2)
	fence(1, FenceSettled)
	require.Equal(t, Unfenced, s.Workers["w"].Fence)
	fence(2, Fenced)
	require.Equal(t, Fenced, s.Workers["w"].Fence)
	apply(&Command{RemovedWorkers: []WorkerIncarnation{{Worker: "w", Incarnation: 2}}})
	report(2)
	require.Equal(t, Unfenced, s.Workers["w"].Fence)
}
