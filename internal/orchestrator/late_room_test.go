package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// TestLateJobsUseRoomThatCapLeaves guards against late jobs that wait beside idle workers because room is
// kept for tasks of another team which that team's cap keeps from running.
func TestLateJobsUseRoomThatCapLeaves(t *testing.T) {
	t.Parallel()
	f := newFakeFleet(t, "a", "b") // 8 cores
	f.lease, f.taskTime = takeoverLease, 0
	s := newSystem(t, f)
	capped := teamWithKeys("capped", "k")
	capped.Cap.MilliCPU = oneCore.MilliCPU
	late := publicQueue("late", "/late/")
	late.Stretch, late.Slack = 0, time.Nanosecond
	s.apply(topologyOf(2, []workload.Team{capped}, keyedQueue("q", "/q/"), late))
	submit := func(id, queue, team string, step workload.Step) {
		s.propose(&workload.Command{Submit: []workload.Job{{ID: jobID(id), Queue: queue, Team: team, Spec: "short", Steps: []workload.Step{step}}}})
	}
	submit("wide", "q", "capped", oneCoreTasks(8))
	s.awaitOnLoop(func() bool { return s.o.leadership.State().UsedByTeam("capped") == oneCore })
	submit("late", "late", "", oneCoreTasks(6))
	require.Eventually(t, func() bool { return s.runningOn("a")+s.runningOn("b") == 7 }, 5*time.Second, 10*time.Millisecond)
}
