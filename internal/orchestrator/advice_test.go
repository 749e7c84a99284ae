package orchestrator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// fakeAdvisor allows some workers to run each step.
type fakeAdvisor struct {
	mu      sync.Mutex
	allowed []string
	asked   []string
}

func (a *fakeAdvisor) Advise(_ context.Context, _ string, _, _ int, workers []string) (map[string]string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	tickets := map[string]string{}
	for _, w := range workers {
		if slices.Contains(a.allowed, w) {
			tickets[w] = "ticket"
		}
	}
	a.asked = append(a.asked, workers...)
	return tickets, nil
}

func (a *fakeAdvisor) questions() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.asked)
}

// newAdvisedSystem returns a system whose queue has a policy that allows some of n workers.
func newAdvisedSystem(t *testing.T, n int, allowed ...string) (*system, *fakeAdvisor) {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("w%02d", i))
	}
	a := &fakeAdvisor{allowed: allowed}
	s := newConfiguredSystem(t, newFakeFleet(t, names...), func(s *system) { s.advisor = a })
	s.awaitOnLoop(func() bool { return len(s.o.sessions) == n })
	s.applyAdvisedQueue()
	return s, a
}

// applyAdvisedQueue applies a topology whose queue requires advice.
func (s *system) applyAdvisedQueue() {
	s.t.Helper()
	s.apply(&workload.Topology{
		Version: 2, Pools: []workload.Pool{{Name: "p"}},
		Queues: []workload.Queue{{
			Name: "q", Host: "h", Prefix: "/q/", Public: true, Timeout: 3 * time.Second, Pool: "p", MaxAttempts: 3, Stretch: 10, Slack: time.Minute,
			Advice: &workload.Advice{Validity: time.Minute},
		}},
	})
}

// TestAllowedWorkerBehindMaxAdvisedIsFound guards against a job that never starts, because the policy
// service is asked about the same first workers of the pool again and again.
func TestAllowedWorkerBehindMaxAdvisedIsFound(t *testing.T) {
	s, a := newAdvisedSystem(t, maxAdvised+10, "w36")
	s.submit("j", oneCoreTasks(2))
	s.await("j", workload.Completed)
	asked := a.questions()
	slices.Sort(asked)
	require.Equal(t, len(asked), len(slices.Compact(asked)), "what is known is not asked again")
}

// TestStepMovesFromFullWorkerToAnotherAllowedOne guards against tasks that wait for a full worker with a
// ticket beside idle workers that may run them, too.
func TestStepMovesFromFullWorkerToAnotherAllowedOne(t *testing.T) {
	s, _ := newAdvisedSystem(t, maxAdvised+10, "w03", "w36")
	s.withLock(func() { s.taskTime = 0 })
	s.submit("j", oneCoreTasks(int(fakeCapacity.MilliCPU/oneCore.MilliCPU)+2))
	require.Eventually(t, func() bool { return s.runningOn("w03") > 0 && s.runningOn("w36") > 0 }, 20*time.Second, 10*time.Millisecond)
}
