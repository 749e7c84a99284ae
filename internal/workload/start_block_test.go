package workload

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/resources"
)

// Guards against a start that is committed although its worker must not begin it any more, because a
// change was committed after the start was planned.
func TestStartsAreJudgedByWhatHoldsAtTheirCommit(t *testing.T) {
	core := resources.Amount{MilliCPU: 1000}
	worker := func(change func(*Worker)) *Command {
		w := Worker{ID: "a", Incarnation: 1, Pool: "p", Labels: []string{"l"}, Capacity: core}
		change(&w)
		return &Command{Workers: []Worker{w}}
	}
	topology := func(queuePool string, pools ...string) *Command {
		next := &Topology{Version: 2, Queues: []Queue{{Name: "q", Pool: queuePool}}}
		for _, name := range pools {
			next.Pools = append(next.Pools, Pool{Name: name})
		}
		return &Command{Topology: next}
	}
	for want, change := range map[StartBlock]*Command{
		"":                  worker(func(*Worker) {}),
		WorkerDraining:      worker(func(w *Worker) { w.Draining = true }),
		WorkerCordoned:      {Cordons: []Cordon{{Worker: "a", Incarnation: 1, Cordoned: true}}},
		DataCentreEvacuated: {Evacuations: []EvacuationChange{{Evacuated: true}}},
		LabelMissing:        worker(func(w *Worker) { w.Labels = nil }),
		NoRoom:              worker(func(w *Worker) { w.Capacity.MilliCPU = 999 }),
		OtherPool:           topology("other", "p", "other"),
		OverTeamCap:         {Topology: &Topology{Version: 2, Queues: []Queue{{Name: "q", Pool: "p"}}, Pools: []Pool{{Name: "p"}}, Teams: []Team{{Name: "t", Cap: resources.Amount{MilliCPU: 999}}}}},
	} {
		s := fixture()
		s.Apply(worker(func(*Worker) {}), start)
		s.Apply(&Command{Submit: []Job{{ID: "j", Queue: "q", Team: "t", Steps: []Step{{Count: 1, Label: "l", Resources: core}}}}}, start)
		j := s.Jobs["j"]
		s.Apply(change, start)
		require.Equal(t, want, s.StartBlocked(s.Workers["a"], j, &j.Steps[0], core, core))
		begin(s, task(0, 0), 1, "a")
		require.Equal(t, want == "", s.FindRun(RunID{task(0, 0), 1}) != nil, "%q", want)
	}
	s := fixture()
	j := submit(s, Step{Count: 1})
	s.Apply(topology("p"), start) // the pool is retired
	require.Equal(t, OtherPool, s.StartBlocked(s.Workers["a"], j, &j.Steps[0], resources.Amount{}, resources.Amount{}))
}
