package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/peer"
	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// twoDataCentres returns a fleet with a worker in each of two data centres.
func twoDataCentres(t *testing.T) *fakeFleet {
	f := newFakeFleet(t, "a", "b")
	f.workers["a"].dataCentre, f.workers["b"].dataCentre = "east", "west"
	return f
}

func (s *system) evacuate(dataCentre string, evacuated bool) {
	s.t.Helper()
	s.eventually(func(ctx context.Context) error {
		return s.o.Evacuate(ctx, &EvacuationRequest{DataCentre: dataCentre, Evacuated: evacuated, By: "ana"})
	})
}

// TestSuccessorRepeatsNoStartInEvacuatedDataCentre guards against a start that is repeated to
// a worker of an evacuated data centre by the next leader: the first one lost its start and
// the leadership between the acknowledgement of the evacuation and its effect.
func TestSuccessorRepeatsNoStartInEvacuatedDataCentre(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.workers["a"].dataCentre = "east"
	f.startsLost.Store(true)
	g := newGroup(t, f, noPlatform)
	former := g.leader(nil)
	g.apply(former, nil, workload.Pool{Name: "p"})
	g.submit(former, "j1", nil, "short", idleJob)
	require.Eventually(t, func() bool {
		return former.starts.Load() > 0 || g.members[0].starts.Load()+g.members[1].starts.Load()+g.members[2].starts.Load() > 0
	}, 20*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return former.o.Evacuate(ctx, &EvacuationRequest{DataCentre: "east", Evacuated: true}) == nil
	}, 20*time.Second, time.Millisecond)
	successor := g.depose(former)
	f.startsLost.Store(false)

	time.Sleep(2 * callTimeout)
	require.Zero(t, g.runningOn("a"), "no start reaches the data centre")
	g.withLock(func() {
		g.workers["b"] = newFakeWorker("b", 1)
		g.workers["b"].dataCentre = "west"
	})
	require.Eventually(t, func() bool {
		response, err := g.call(successor, MethodStatus, &Call{Path: "/q/" + jobID("j1")})
		return err == nil && response.Status == workload.Completed
	}, 20*time.Second, 10*time.Millisecond)
}

// TestEvacuationMovesLongRunningTasksWithinBudget guards against long-running tasks that stay
// in an evacuated data centre, or of which more are away at a time than their step allows.
func TestEvacuationMovesLongRunningTasksWithinBudget(t *testing.T) {
	f := twoDataCentres(t)
	f.workers["b"].capacity = resources.Amount{MilliCPU: 100, MemoryMB: 4000} // has no room yet
	f.taskTime = 0
	s := newSystem(t, f)
	budget := 1
	s.submit("j1", workload.Step{Count: 4, Resources: oneCore, LongRunning: true, MaxUnavailable: &budget})
	s.awaitRunning("a", 4)
	s.evacuate("east", true)
	time.Sleep(2 * fleetInterval)
	require.Equal(t, 4, s.runningOn("a"), "there is no room elsewhere")
	s.withLock(func() {
		s.workers["b"].capacity = fakeCapacity
		s.minServing = 1 << 30
	})
	s.awaitRunning("b", 4)
	require.Zero(t, s.runningOn("a"))
	s.withLock(func() { require.GreaterOrEqual(t, s.minServing, 3) })

	s.evacuate("east", false)
	s.submit("j2", workload.Step{Count: 4, Resources: oneCore, LongRunning: true})
	s.awaitRunning("a", 4)
}

// TestUnknownDataCentreIsNotEvacuated guards against an order with a misspelt name that is
// acknowledged without effect.
func TestUnknownDataCentreIsNotEvacuated(t *testing.T) {
	f := twoDataCentres(t)
	s := newSystem(t, f)
	s.eventually(func(ctx context.Context) error {
		err := s.o.Evacuate(ctx, &EvacuationRequest{DataCentre: "esat", Evacuated: true})
		var remote *peer.RemoteError
		if require.ErrorAs(t, err, &remote); remote.Code == CodeUnknownDataCentre {
			return nil
		}
		return err
	})
}

// TestUnconfirmedStartIsWithdrawnFromEvacuatedDataCentre guards against a start without a
// response that is repeated to a worker after its data centre was evacuated.
func TestUnconfirmedStartIsWithdrawnFromEvacuatedDataCentre(t *testing.T) {
	f := newFakeFleet(t, "a")
	f.workers["a"].dataCentre = "east"
	lost := make(chan struct{}, 1)
	f.deliver = func(order, _ string) (bool, bool) {
		if order != "start" {
			return true, true
		}
		select {
		case lost <- struct{}{}:
		default:
		}
		return false, false
	}
	s := newSystem(t, f)
	s.submit("j1", workload.Step{Count: 1, Resources: oneCore})
	<-lost
	s.evacuate("east", true)
	s.withLock(func() { f.deliver = func(string, string) (bool, bool) { return true, true } })
	time.Sleep(2 * callTimeout)
	s.withLock(func() { require.Empty(t, s.starts) })
	s.evacuate("east", false)
	s.await("j1", workload.Completed)
}
