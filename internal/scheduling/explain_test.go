package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// Waits must report the reason for which a job actually waits.
func TestWaitsReportTheReason(t *testing.T) {
	s := workload.NewState()
	apply := func(c *workload.Command) { s.Apply(c, time.Unix(1, 0)) }
	apply(&workload.Command{Topology: &workload.Topology{
		Version: 1, Pools: []workload.Pool{{Name: "p"}, {Name: "empty"}},
		Queues: []workload.Queue{{Name: "q", Pool: "p"}, {Name: "none", Pool: "empty"}},
		Teams:  []workload.Team{{Name: "t", Cap: resources.Amount{MilliCPU: 3000}}},
	}})
	apply(&workload.Command{Workers: []workload.Worker{{ID: "a", Incarnation: 1, Pool: "p", Capacity: resources.Amount{MilliCPU: 4000, MemoryMB: 100}}}})
	submit := func(id, queue, team string, steps ...workload.Step) *workload.Job {
		for i := range steps {
			steps[i].Count = 1
		}
		apply(&workload.Command{Submit: []workload.Job{{ID: id, Queue: queue, Team: team, Steps: steps}}})
		return s.Jobs[id]
	}
	reason := func(j *workload.Job) WaitReason {
		waits := Waits(s, j)
		require.NotEmpty(t, waits)
		return waits[len(waits)-1].Reason
	}
	first := submit("first", "q", "", workload.Step{Resources: cores(2), MaxPerWorker: 1})
	require.Equal(t, WaitsForPlacement, reason(first))
	apply(&workload.Command{Starts: []workload.RunStart{{Task: workload.TaskID{Job: "first"}, Run: 1, Worker: "a", Incarnation: 1}}})
	require.Empty(t, Waits(s, first))
	require.Equal(t, WaitsForRoom, reason(submit("wide", "q", "", workload.Step{Resources: cores(3)})))
	require.Equal(t, WaitsForSize, reason(submit("large", "q", "", workload.Step{Resources: cores(5)})))
	require.Equal(t, WaitsForLabel, reason(submit("label", "q", "", workload.Step{Resources: cores(1), Label: "gpu"})))
	require.Equal(t, WaitsForWorkers, reason(submit("none", "none", "", workload.Step{Resources: cores(1)})))
	require.Equal(t, WaitsForTeam, reason(submit("team", "q", "t", workload.Step{Resources: cores(4)})))
	require.Equal(t, WaitsForSteps, reason(submit("chain", "q", "", workload.Step{Resources: cores(1)}, workload.Step{Resources: cores(1), DependsOn: []int{0}})))
	pair := submit("pair", "q", "", workload.Step{Resources: cores(1)})
	pair.Steps[0].MaxPerWorker = 1
	require.Equal(t, WaitsForPlacement, reason(pair))
	apply(&workload.Command{Topology: &workload.Topology{Version: 2}})
	require.Equal(t, WaitsForQueue, reason(pair))
}
