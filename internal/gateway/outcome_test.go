package gateway

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/orchestrator"
	"cactusspar/internal/peer"
	"cactusspar/internal/testutil"
	"cactusspar/internal/view"
)

// responder returns the response of a replica to a call.
type responder func(string, *orchestrator.Call) (any, error)

func fails(err error) func(*testing.T) responder {
	return func(*testing.T) responder {
		return func(string, *orchestrator.Call) (any, error) { return nil, err }
	}
}

func respondsWith(outcome orchestrator.CallOutcome) func(*testing.T) responder {
	return func(*testing.T) responder {
		return func(string, *orchestrator.Call) (any, error) {
			return &orchestrator.CallResponse{Outcome: outcome, Version: 1}, nil
		}
	}
}

// silent returns a responder that responds after the test.
func silent(t *testing.T) responder {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	return func(string, *orchestrator.Call) (any, error) {
		<-release
		return nil, errors.New("too late")
	}
}

// startGatewayWith returns a gateway that knows a topology and calls the replicas of the
// responders in this order, and the replicas.
func startGatewayWith(t *testing.T, responders ...func(*testing.T) responder) (*Gateway, []*replica) {
	var replicas []*replica
	g := startGateway()
	for _, respond := range responders {
		r := startReplica(t)
		r.topology, r.respond = topology(1, "k"), respond(t)
		replicas = append(replicas, r)
		g.leader.seeds = append(g.leader.seeds, r.addr)
	}
	require.NoError(t, g.refresh(context.Background(), 0, topologyTimeout))
	g.leader.replicas = nil
	g.leader.setLeader(replicas[0].addr)
	return g, replicas
}

// callOf returns a caller's call of a job.
func callOf(method Method) *Request {
	r := request("/q/"+id, "k")
	r.Method = method
	return r
}

// outcomes are those that a replica may respond with, and two of no known meaning.
var outcomes = []orchestrator.CallOutcome{
	orchestrator.Accepted, orchestrator.Found, orchestrator.Refused, orchestrator.Missing, orchestrator.Unresolved,
	orchestrator.Unauthorized, orchestrator.Malformed, orchestrator.Undecided, "", "later-version",
}

// TestCallIsNotRejectedAfterAttemptThatMayHaveBeenApplied guards against a caller that is
// told that its job never runs, or that its cancel had no effect, although an earlier attempt
// of the call, whose response was lost, may have been applied.
func TestCallIsNotRejectedAfterAttemptThatMayHaveBeenApplied(t *testing.T) {
	lost := map[string]func(*testing.T) responder{
		"silent":         silent,
		"internal error": fails(errors.New("proposed")),
		"unknown code":   fails(&peer.RemoteError{Code: "later-version"}),
	}
	certain := map[Method]map[orchestrator.CallOutcome]Kind{
		Submit: {orchestrator.Accepted: Accepted},
		Cancel: {orchestrator.Accepted: Accepted, orchestrator.Missing: NoJob},
	}
	for method, kinds := range certain {
		for name, first := range lost {
			for _, outcome := range outcomes {
				t.Run(method.String()+"/"+name+"/"+string(outcome), func(t *testing.T) {
					t.Parallel()
					g, replicas := startGatewayWith(t, first, respondsWith(outcome))
					want, ok := kinds[outcome]
					if !ok {
						want = Undecided
					}
					require.Equal(t, want, g.Serve(context.Background(), callOf(method)).Kind)
					require.Equal(t, 1, replicas[1].calls)
				})
			}
		}
	}
}

// TestErrorAfterProposalIsNotUnavailable guards against a caller that is told that nothing was
// done because a replica responded with an error, although it may have proposed the job before.
func TestErrorAfterProposalIsNotUnavailable(t *testing.T) {
	for name, err := range map[string]error{
		"internal error": errors.New("proposed"), "unknown code": &peer.RemoteError{Code: "later-version"}, "no code": &peer.RemoteError{},
	} {
		for _, method := range []Method{Submit, Cancel} {
			t.Run(method.String()+"/"+name, func(t *testing.T) {
				t.Parallel()
				g, _ := startGatewayWith(t, fails(err))
				require.Equal(t, Undecided, g.Serve(context.Background(), callOf(method)).Kind)
			})
		}
	}
}

// TestCallStaysRejectedAfterAttemptsWithoutEffect guards against callers that get an unknown
// outcome without need: no replica has handled the attempts before the rejection.
func TestCallStaysRejectedAfterAttemptsWithoutEffect(t *testing.T) {
	kinds := map[orchestrator.CallOutcome]Kind{
		orchestrator.Refused: Refused, orchestrator.Unresolved: NoQueue, orchestrator.Unauthorized: Unauthorized, orchestrator.Malformed: Invalid,
	}
	unreachable := testutil.FreeAddr(t)
	for name, code := range map[string]string{"not the leader": view.CodeNotLeader, "busy": "busy", "refused": "refused", "unreachable": ""} {
		for outcome, want := range kinds {
			t.Run(name+"/"+string(outcome), func(t *testing.T) {
				t.Parallel()
				g, _ := startGatewayWith(t, fails(&peer.RemoteError{Code: code}), respondsWith(outcome))
				if code == "" {
					g.leader.setLeader(unreachable)
					g.leader.seeds = g.leader.seeds[1:]
				}
				require.Equal(t, want, g.Serve(context.Background(), callOf(Submit)).Kind)
			})
		}
		if code != "" {
			t.Run(name+"/no leader", func(t *testing.T) {
				t.Parallel()
				g, _ := startGatewayWith(t, fails(&peer.RemoteError{Code: code}))
				require.Equal(t, Unavailable, g.Serve(context.Background(), callOf(Submit)).Kind)
			})
		}
	}
}

// TestNoAttemptIsRepeatedShortlyBeforeTheEnd guards against an unknown outcome of a call that no
// replica has handled: its last attempt is still in progress when its time is over.
func TestNoAttemptIsRepeatedShortlyBeforeTheEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), repeatReserve/2)
	defer cancel()
	for _, redirect := range []string{"", "c"} {
		g, made, tries := startGateway("a", "b"), &attempts{method: Submit}, 0
		err := g.leader.search(ctx, made, func(string) error {
			tries++
			return &peer.RemoteError{Code: view.CodeNotLeader, Text: redirect}
		})
		require.ErrorIs(t, err, errNoLeader)
		require.Equal(t, 1, tries, "the first attempt is made in any case")
		require.Zero(t, made.uncertain)
	}
}

// TestReadIsAnsweredAfterLostAttempt guards against status calls without an answer because an
// earlier attempt, which changes nothing, got no response.
func TestReadIsAnsweredAfterLostAttempt(t *testing.T) {
	for outcome, want := range map[orchestrator.CallOutcome]Kind{
		orchestrator.Found: Found, orchestrator.Missing: NoJob, orchestrator.Unresolved: NoQueue, orchestrator.Unauthorized: Unauthorized,
	} {
		t.Run(string(outcome), func(t *testing.T) {
			t.Parallel()
			g, _ := startGatewayWith(t, silent, respondsWith(outcome))
			require.Equal(t, want, g.Serve(context.Background(), callOf(Status)).Kind)
		})
	}
}

// TestLogTellsAttempts guards against an unknown outcome whose cause can't be found in the
// gateway's lines.
func TestLogTellsAttempts(t *testing.T) {
	g, replicas := startGatewayWith(t, silent, respondsWith(orchestrator.Refused))
	var line string
	g.options.Log = funcr.New(func(_, args string) { line = args }, funcr.Options{})
	g.Serve(context.Background(), callOf(Submit))
	for _, field := range []string{`"job"="` + id + `"`, `"attempts"=2`, `"uncertain"=1`, `"last"="refused"`, `"replica"="` + replicas[1].addr + `"`, `"result"="open"`} {
		require.Contains(t, line, field)
	}
	require.EqualValues(t, 2, g.options.Metrics.Counter("gateway_attempts_total").Count())
	require.EqualValues(t, 1, g.options.Metrics.Counter("gateway_uncertain_calls_total", "kind", "open", "last", "refused").Count())
}

// TestResponsesOfTwoAttemptsAreNotMixed guards against a result made up of two responses: of
// one that can't be decoded to its end, and of one of another version that has fewer fields.
func TestResponsesOfTwoAttemptsAreNotMixed(t *testing.T) {
	type malformed struct {
		Outcome string `msgpack:"o"`
		Version string `msgpack:"v"`
	}
	respond := func(response any) func(*testing.T) responder {
		return func(*testing.T) responder {
			return func(string, *orchestrator.Call) (any, error) { return response, nil }
		}
	}
	for _, method := range []Method{Submit, Cancel, Status} {
		g, _ := startGatewayWith(t, respond(&malformed{"accepted", "x"}), respond(&struct{}{}))
		require.Equal(t, Undecided, g.Serve(context.Background(), callOf(method)).Kind, method)
	}
}
