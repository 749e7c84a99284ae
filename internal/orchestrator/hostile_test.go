package orchestrator

import (
	"context"
	"math"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/executor"
	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// hostileWorkers makes a worker without room list runs and ends that no leader has ordered.
type hostileWorkers struct {
	*fakeFleet
	lists atomic.Int64
}

func (h *hostileWorkers) Poll(ctx context.Context, t executor.Target, p executor.Poll) (executor.PollResponse, error) {
	response, err := h.fakeFleet.Poll(ctx, t, p)
	if err != nil || t.ID != "c" {
		return response, err
	}
	sequence := uint64(1000 + h.lists.Add(1)*100)
	for _, job := range []string{jobID("j"), jobID("none"), "", "."} {
		for _, n := range []int{-1, 0, 1, 99, math.MinInt, math.MaxInt} {
			task := workload.TaskID{Job: job, Occurrence: n, Step: -n, Index: n / 2}
			response.Running = append(response.Running, executor.Running{Task: task, Run: n, Percent: n, Load: int64(n)})
			sequence++
			response.Ended = append(response.Ended, workload.RunEnd{Sequence: sequence, Task: task, Run: n, Outcome: workload.Outcome("unheard-of")})
		}
	}
	return response, nil
}

// A worker that lists or reports what can't be must not end the leader, nor keep others from
// running their tasks.
func TestHostileWorkersDoNotEndTheLeader(t *testing.T) {
	f := newFakeFleet(t, "a", "b", "c")
	f.workers["c"].capacity = resources.Amount{}
	workers := &hostileWorkers{fakeFleet: f}
	s := newConfiguredSystem(t, f, func(s *system) { s.calls = workers })
	for _, amount := range []int64{math.MinInt64, -1, 0, math.MaxInt64} {
		s.eventually(func(ctx context.Context) error {
			return s.o.Report(ctx, &Report{Sequence: math.MaxUint64, Clock: amount, WarmUpLeft: math.MinInt64, Worker: workload.Worker{
				ID: "strange", Incarnation: math.MaxInt64, Pool: "p", Capacity: resources.Amount{MilliCPU: amount, MemoryMB: amount}, Labels: []string{"", ""},
			}})
		})
	}
	for _, id := range []string{"j", "k"} {
		s.submit(id, oneCoreTasks(3))
	}
	for _, id := range []string{"j", "k"} {
		s.await(id, workload.Completed)
	}
	require.Positive(t, workers.lists.Load())
	s.onLoop(func() { require.NotNil(t, s.o.leadership) })
}
