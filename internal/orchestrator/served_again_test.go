package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// TestSubmissionServedAgainCountsOnceForTeam guards against a job that counts twice against its
// team's share, because its submission was served again after its queue was renamed.
func TestSubmissionServedAgainCountsOnceForTeam(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("warm-up", workload.Step{Count: 1, Resources: oneCore, Estimate: time.Millisecond})
	s.await("warm-up", workload.Completed)
	team := teamWithKeys("x", "k")
	team.Weight = 1
	s.apply(topologyOf(2, []workload.Team{team}, keyedQueue("q", "/q/")))
	c := &servedCall{&CallResponse{}, make(chan error, 1)}
	s.onLoop(func() {
		next := topologyOf(3, []workload.Team{team}, keyedQueue("renamed", "/q/"))
		next.BuildIndex()
		s.o.pending.Topology = next
		s.o.serveCall(MethodSubmit, &Call{
			Host: "h", Path: "/q/" + jobID("j"), Key: hashOf("k"), Remaining: 3 * time.Second,
			Job: &workload.Job{Spec: "short", Steps: []workload.Step{{Count: 1, Resources: oneCore, Estimate: time.Millisecond}}},
		}, c.response, func(err error) { c.done <- err })
	})
	require.Equal(t, Accepted, s.outcome(c), c.response.Reason)
	counted := 0
	s.onLoop(func() { counted = len(s.o.recentJobs["x"]) })
	require.Equal(t, 1, counted)
}
