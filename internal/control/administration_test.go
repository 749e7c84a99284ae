package control

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/operator"
	"cactusspar/internal/settings"
	"cactusspar/internal/state"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/testutil"
	"cactusspar/internal/workload"
)

// Guards against an embedded replica whose queues and jobs are not visible over
// its own administration interface, and against serving them without a valid token.
func TestServeAdministration(t *testing.T) {
	g := newGroup(t, 1)
	g.commit(state.Command{Workload: &workload.Command{Topology: &workload.Topology{
		Version: 1, Queues: []workload.Queue{{Name: "quotes", Pool: "p"}}, Pools: []workload.Pool{{Name: "p"}},
	}}})
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "operators.tokens"), []byte(operator.TokenLine("asha", "a-token")), 0o600))
	address := testutil.FreeAddr(t)
	text := `{"operator": {"address": "` + address + `"}, "operator_tokens": "operators.tokens"} // for asha
`
	require.NoError(t, os.WriteFile(filepath.Join(folder, "administration.json"), []byte(text), 0o600))
	var s AdministrationSettings
	require.NoError(t, settings.Load(filepath.Join(folder, "administration.json"), &s))
	stop, err := s.Serve(g.leader(), logr.Discard(), telemetry.NewMetrics())
	require.NoError(t, err)
	t.Cleanup(stop)
	queues := func(token string) ([]operator.WorkQueue, error) {
		c, err := operator.NewClient(operator.ClientOptions{Token: token, Addresses: []string{address}, Timeout: 5 * time.Second})
		require.NoError(t, err)
		return c.WorkQueues(context.Background())
	}
	found, err := queues("a-token")
	require.NoError(t, err)
	require.Equal(t, "quotes", found[0].Name)
	_, err = queues("another")
	require.Error(t, err)
}

// TestUnfinishedMembershipChangeIsUnknown guards against a removal of a replica that is
// reported as rejected, or as not carried out, although it was proposed: the leader stops, or
// loses the leadership, before the group has committed it.
func TestUnfinishedMembershipChangeIsUnknown(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(g *group, leader string)
	}{
		{"stopped", func(g *group, leader string) { g.halt(leader) }},
		{"deposed", func(*group, string) {}}, // it misses its quorum
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, 3)
			leader := g.leader()
			name := leader.options.Self.Name
			removed := g.members[0].Name
			for _, m := range g.members {
				if m.Name != name {
					g.setIsolated(m.Name, true)
					removed = m.Name
				}
			}
			result := make(chan error, 1)
			go func() { result <- leader.RemoveReplica(t.Context(), removed) }()
			require.Eventually(t, func() (pending bool) {
				g.onEventLoop(leader, func() { pending = leader.core.Status().ChangePending })
				return pending
			}, 10*time.Second, time.Millisecond)
			c.end(g, name)
			require.ErrorIs(t, <-result, operator.ErrUnknownOutcome)
		})
	}
}
