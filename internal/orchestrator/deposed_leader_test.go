package orchestrator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
	"cactusspar/internal/peer"
	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

var idleJob = workload.Step{Count: 1, Resources: resources.Amount{MilliCPU: 100}}

func noPlatform(string) executor.Instances { return nil }

// repeatUntilConclusive runs a scenario until it reports that the former leader still acted
// as one when it was called, which depends on the phase of its quorum check.
func repeatUntilConclusive(t *testing.T, scenario func(*testing.T) bool) {
	const attempts = 20
	conclusive := false
	for range attempts {
		passed := t.Run("attempt", func(t *testing.T) { conclusive = scenario(t) })
		if conclusive || !passed {
			return
		}
	}
	require.Fail(t, "the former leader had always stepped down before it was called")
}

// TestDeposedLeaderDoesNotConfirmCancelOfUnknownJob guards against a cancel that a deposed
// leader answers with "no such job" although its successor has accepted the job, which
// then runs on.
func TestDeposedLeaderDoesNotConfirmCancelOfUnknownJob(t *testing.T) {
	repeatUntilConclusive(t, func(t *testing.T) bool {
		f := newFakeFleet(t, "a")
		f.taskTime = 0
		g := newGroup(t, f, noPlatform)
		former := g.leader(nil)
		g.apply(former, nil, workload.Pool{Name: "p"})
		g.submit(former, "j1", nil, "short", idleJob)
		g.awaitRuns("a", 1)

		successor := g.depose(former)
		g.submit(successor, "j2", nil, "short", idleJob)
		leading := former.leading.Load()
		response, err := g.call(former, MethodCancel, &Call{Path: "/q/" + jobID("j2")})
		if err == nil {
			require.NotEqual(t, Missing, response.Outcome, "a job that was accepted before the cancel")
		}
		return leading
	})
}

// TestDeposedLeaderDoesNotRefuseAcceptedJob guards against a deposed leader that refuses a
// job, which promises that it never runs, although its successor has accepted it.
func TestDeposedLeaderDoesNotRefuseAcceptedJob(t *testing.T) {
	const share = 100
	key := workload.HashKey("k")
	large := workload.Step{Count: 4, Resources: oneCore, Estimate: time.Second}
	repeatUntilConclusive(t, func(t *testing.T) bool {
		f := newFakeFleet(t, "a")
		f.taskTime = 0
		g := newGroup(t, f, noPlatform)
		former := g.leader(nil)
		g.apply(former, []workload.Team{{Name: "t", Keys: []workload.KeyHash{key}, Weight: share}}, workload.Pool{Name: "p"})
		g.submit(former, "j1", &key, "short", idleJob)
		g.awaitRuns("a", 1)

		successor := g.depose(former)
		g.submit(successor, "j2", &key, "short", large)
		submit := func(id string, timeout time.Duration) (*CallResponse, error) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			return former.o.Call(ctx, MethodSubmit, &Call{
				Host: "h", Path: "/q/" + jobID(id), Key: &key, Remaining: 3 * time.Second, Job: &workload.Job{Spec: "short", Steps: []workload.Step{large}},
			})
		}
		var others sync.WaitGroup
		for i := range 2 * share { // exceeds the team's share at the former leader
			others.Go(func() { _, _ = submit(fmt.Sprintf("other%d", i), 50*time.Millisecond) })
		}
		others.Wait()
		leading := former.leading.Load()
		if response, err := submit("j2", 2*time.Second); err == nil {
			require.NotEqual(t, Refused, response.Outcome, "a job that was accepted before: %s", response.Reason)
		}
		return leading
	})
}

// TestRepeatedReportIsNotAcknowledgedBeforeCommit guards against a report that is
// acknowledged at its second attempt although the change that it brings, such as the begin
// of a drain, was refused at the first one. This happens while the leadership is handed over.
func TestRepeatedReportIsNotAcknowledgedBeforeCommit(t *testing.T) {
	repeatUntilConclusive(t, func(t *testing.T) bool {
		f := newFakeFleet(t, "a")
		f.taskTime = 0
		g := newGroup(t, f, noPlatform)
		former := g.leader(nil)
		g.apply(former, nil, workload.Pool{Name: "p"})
		g.submit(former, "j1", nil, "short", idleJob)
		g.awaitRuns("a", 1)

		g.depose(former)
		report := &Report{Sequence: 1 << 60, Clock: f.clock("a"), Worker: workload.Worker{
			ID: "a", Incarnation: 1, Address: "a", Pool: "p", Capacity: fakeCapacity, Labels: []string{"a", "r"}, Draining: true,
		}}
		for attempt, sequence := range []uint64{0, 0, 1, 0} {
			r := *report
			r.Sequence += sequence
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			err := former.o.Report(ctx, &r)
			cancel()
			require.Error(t, err, "attempt %d at a leader that cannot commit", attempt)
		}
		return former.leading.Load()
	})
}

// TestDeposedLeaderDoesNotDenyAcceptedWave guards against a deposed leader that reports a
// wave as unknown although its successor has accepted it: operators take a 404 for a refusal.
func TestDeposedLeaderDoesNotDenyAcceptedWave(t *testing.T) {
	repeatUntilConclusive(t, func(t *testing.T) bool {
		f := newFakeFleet(t, "a")
		f.taskTime = 0
		g := newGroup(t, f, noPlatform)
		former := g.leader(nil)
		g.apply(former, nil, workload.Pool{Name: "p"})
		g.submit(former, "j1", nil, "short", idleJob)
		g.awaitRuns("a", 1)

		successor := g.depose(former)
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return successor.o.StartWave(ctx, &workload.Wave{ID: 1, Instances: []string{"m-a"}, Cap: 1}) == nil
		}, 20*time.Second, 5*time.Millisecond)
		leading := former.leading.Load()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if status, err := former.o.WaveStatus(ctx, 1); err == nil {
			require.True(t, status.Known, "a wave that was accepted before the call")
		}
		return leading
	})
}

// TestDeposedLeaderDoesNotDenyAcceptedJob guards against a deposed leader that answers a
// status call with "no such job" although its successor has accepted the job.
func TestDeposedLeaderDoesNotDenyAcceptedJob(t *testing.T) {
	repeatUntilConclusive(t, func(t *testing.T) bool {
		f := newFakeFleet(t, "a")
		f.taskTime = 0
		g := newGroup(t, f, noPlatform)
		former := g.leader(nil)
		g.apply(former, nil, workload.Pool{Name: "p"})
		g.submit(former, "j1", nil, "short", idleJob)
		g.awaitRuns("a", 1)

		successor := g.depose(former)
		g.submit(successor, "j2", nil, "short", idleJob)
		leading := former.leading.Load()
		if response, err := g.call(former, MethodStatus, &Call{Path: "/q/" + jobID("j2")}); err == nil {
			require.NotEqual(t, Missing, response.Outcome, "a job that was accepted before the call")
		}
		return leading
	})
}

// TestDeposedLeaderDoesNotConfirmLeaveOfUnknownWorker guards against a deposed leader that
// acknowledges the leave of a worker which only its successor knows, and which the successor
// then still counts as a member of the fleet.
func TestDeposedLeaderDoesNotConfirmLeaveOfUnknownWorker(t *testing.T) {
	repeatUntilConclusive(t, func(t *testing.T) bool {
		f := newFakeFleet(t, "a")
		f.taskTime = 0
		g := newGroup(t, f, noPlatform)
		former := g.leader(nil)
		g.apply(former, nil, workload.Pool{Name: "p"})
		g.submit(former, "j1", nil, "short", idleJob)
		g.awaitRuns("a", 1)

		successor := g.depose(former)
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return successor.o.Report(ctx, &Report{Sequence: 1, Clock: f.clock("b"), Worker: workload.Worker{
				ID: "b", Incarnation: 1, Address: "b", Pool: "p", Capacity: fakeCapacity, Labels: []string{"a", "r"},
			}}) == nil
		}, 20*time.Second, 5*time.Millisecond)
		leading := former.leading.Load()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		require.Error(t, former.o.Leave(ctx, &LeaveRequest{Worker: "b"}), "the leave of a worker that the successor knows")
		return leading
	})
}

// TestSubmissionDuringHandoverIsRedirected guards against an unknown outcome of a submission that
// arrives while the leadership is handed over: nothing was proposed, and the next leader can
// serve it.
func TestSubmissionDuringHandoverIsRedirected(t *testing.T) {
	repeatUntilConclusive(t, func(t *testing.T) bool {
		g := newGroup(t, newFakeFleet(t, "a"), noPlatform)
		former := g.leader(nil)
		g.apply(former, nil, workload.Pool{Name: "p"})
		g.depose(former)
		call := &Call{Path: "/q/" + jobID("j"), Job: newLongRunningJob()}
		response, err := g.call(former, MethodSubmit, call)
		require.True(t, peer.NotHandled(err), "%v, outcome %q", err, response.Outcome)
		return former.leading.Load()
	})
}
