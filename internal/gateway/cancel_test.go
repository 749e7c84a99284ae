package gateway

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/orchestrator"
)

// cancelRequest returns a caller's cancel of a job.
func cancelRequest() *Request {
	r := request("/q/"+id, "k")
	r.Method = Cancel
	return r
}

// TestCancelIsConfirmedOnlyBySettledResponses guards against a caller that takes a cancel
// for confirmed although the leader has not settled it.
func TestCancelIsConfirmedOnlyBySettledResponses(t *testing.T) {
	r := startReplica(t)
	r.topology = topology(1, "k")
	g := startGateway(r.addr)
	require.NoError(t, g.refresh(context.Background(), 0, topologyTimeout))
	for outcome, want := range map[orchestrator.CallOutcome]Kind{
		orchestrator.Accepted: Accepted, orchestrator.Missing: NoJob, orchestrator.Undecided: Undecided, orchestrator.Refused: Refused,
		orchestrator.Malformed: Invalid, orchestrator.Unresolved: NoQueue, orchestrator.Unauthorized: Unauthorized, "": Undecided, "later-version": Undecided,
	} {
		r.set(func() {
			r.respond = func(method string, _ *orchestrator.Call) (any, error) {
				require.Equal(t, orchestrator.MethodCancel, method)
				return &orchestrator.CallResponse{Outcome: outcome, Version: 1}, nil
			}
		})
		require.Equal(t, want, g.Serve(context.Background(), cancelRequest()).Kind, "outcome %q", outcome)
	}
}

// TestUnansweredCancelIsNotConfirmed guards against a cancel that a silent replica may or
// may not have carried out, and that the caller takes for confirmed, or for refused for good.
func TestUnansweredCancelIsNotConfirmed(t *testing.T) {
	silent := startReplica(t)
	silent.topology = topology(1, "k")
	release := make(chan struct{})
	silent.respond = func(string, *orchestrator.Call) (any, error) {
		<-release
		return nil, errors.New("too late")
	}
	t.Cleanup(func() { close(release) })
	g := startGateway(silent.addr)
	require.NoError(t, g.refresh(context.Background(), 0, topologyTimeout))
	require.Equal(t, Undecided, g.Serve(context.Background(), cancelRequest()).Kind)
}
