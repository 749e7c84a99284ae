package gateway

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/orchestrator"
	"cactusspar/internal/testutil"
)

// Guards against a submission that is answered with an unknown outcome because the open
// connection to a working leader has gone silent: its later attempts wait on the same
// connection, although a new one would reach the leader in time.
func TestSubmissionLeavesSilentConnection(t *testing.T) {
	r := startReplica(t)
	l := testutil.NewSilentLink(t, r.addr)
	r.set(func() {
		r.addr, r.topology = l.Addr, topology(1, "k")
		r.respond = func(string, *orchestrator.Call) (any, error) {
			return &orchestrator.CallResponse{Outcome: orchestrator.Accepted}, nil
		}
	})
	g := startGateway(l.Addr)
	require.NoError(t, g.refresh(context.Background(), 0, searchTimeout))
	require.Equal(t, Accepted, g.Serve(context.Background(), request("/q/"+id, "k")).Kind)
	l.Silence()
	require.Equal(t, Accepted, g.Serve(context.Background(), request("/q/"+id, "k")).Kind)
}
