package scheduling

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// Guards against tasks without suspicion that wait in a pool that is mostly free until no
// other job is suspected any more: trials take every worker without long-running tasks, and
// the others are closed to tasks of a queue whose jobs crash workers.
func TestTrialsLeaveRoomForOthersInCrashingPool(t *testing.T) {
	const rounds = 20 // in each, new suspects replace those that crashed their workers
	ran := 0
	for round := range rounds {
		var workers []*Worker
		for i := range 6 {
			w := worker(fmt.Sprintf("w%d", i), 4)
			if i < 3 {
				w.LongRunning, w.OnlyJob, w.Free.MilliCPU = 1, "long", 3000
			}
			workers = append(workers, w)
		}
		others := demand("others", 4, workload.Step{})
		others.Risky = true
		demands := []*Demand{others}
		for i := range 6 {
			s := suspect(fmt.Sprintf("s%d-%d", round, i))
			s.Risky = true
			demands = append(demands, s)
		}
		out := placements(&Input{Now: now, Workers: workers, Demands: demands, CrashingPools: map[string]bool{"p": true}})
		ran += placed(out, "others")
	}
	require.Positive(t, ran, "tasks without suspicion ran in %d rounds", rounds)
}
