package workload

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func presumed(c *WorkerCrash) { c.Presumed, c.Uncertain = true, true }

// decide applies a verdict on the presumed crash of a worker, if there is one.
func decide(s *State, worker string, crashed bool) {
	w := WorkerIncarnation{Worker: worker, Incarnation: 1}
	if p := s.PresumedCrashes()[w]; p != nil {
		s.Apply(&Command{Verdicts: []CrashVerdict{{Worker: worker, Incarnation: 1, Crashed: crashed, Tasks: p.Tasks()}}}, start)
	}
}

// fallSilent starts the next run of a task on each of some workers, one after the other, which
// then fall silent.
func fallSilent(s *State, id TaskID, workers ...string) {
	for _, worker := range workers {
		next(s, id, worker)
		crash(s, worker, presumed, id)
	}
}

// Workers that fall silent may only be out of reach: however many do so under a task, it must
// neither be given up nor kept from the workers of other jobs.
func TestSilenceOfWorkersIsNoCrash(t *testing.T) {
	s := crashFixture()
	j := submitJob(s, "j", Step{Count: 1})
	fallSilent(s, taskOf("j", 0), "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9")
	require.Equal(t, Active, j.Status)
	require.False(t, j.Suspected())
}

// A task that crashes its workers must be given up, too, if they are silent at first and the
// proofs come late.
func TestProvedCrashesOfSilentWorkersAreBounded(t *testing.T) {
	s := crashFixture()
	j := submitJob(s, "j", Step{Count: 1})
	crashes := 0
	for ; j.Status != Failed && crashes < 9; crashes++ {
		fallSilent(s, taskOf("j", 0), fmt.Sprintf("w%d", crashes+1))
		if crashes > 0 {
			decide(s, fmt.Sprintf("w%d", crashes), true) // the proof comes one run late
		}
	}
	require.LessOrEqual(t, crashes, 5)
	require.NotContains(t, j.CrashedWorkers, fmt.Sprintf("w%d", crashes), "its crash was not proved")
}

// The crash of a worker that has returned must not count together with real crashes.
func TestWithdrawnCrashesDoNotCount(t *testing.T) {
	s := crashFixture()
	j := submitJob(s, "j", Step{Count: 1})
	fallSilent(s, taskOf("j", 0), "w1", "w2", "w3", "w4")
	for _, worker := range []string{"w1", "w2", "w3", "w4"} {
		decide(s, worker, false)
	}
	require.Empty(t, s.PresumedCrashes())
	next(s, taskOf("j", 0), "w5")
	crash(s, "w5", func(c *WorkerCrash) { c.Uncertain = true }, taskOf("j", 0))
	require.Equal(t, Active, j.Status)
	require.False(t, j.Suspected())
}

// A proof may come when the task has been running for long on another worker. It must not stop
// that run.
func TestLateProofSparesRunningTask(t *testing.T) {
	s := crashFixture()
	j := submitJob(s, "j", Step{Count: 1, LongRunning: true})
	fallSilent(s, taskOf("j", 0), "w1", "w2", "w3", "w4")
	next(s, taskOf("j", 0), "w5")
	for _, worker := range []string{"w1", "w2", "w3", "w4"} {
		decide(s, worker, true)
	}
	require.Equal(t, Active, j.Status)
	require.True(t, j.Suspected())
	s.Apply(&Command{Acquitted: []RunID{{taskOf("j", 0), 5}}}, start)
	require.False(t, j.Suspected())
}

// A loss that is certain must count although the worker fell silent under the task before.
func TestCertainCrashReplacesPresumedOne(t *testing.T) {
	s := crashFixture()
	j := submitJob(s, "j", Step{Count: 1})
	for _, worker := range []string{"w1", "w2"} {
		next(s, taskOf("j", 0), worker)
		c := WorkerCrash{Worker: worker, Incarnation: 1, Instance: "m-" + worker, Ran: justStarted, Suspects: []RunID{{taskOf("j", 0), j.Occurrences[0].Steps[0].Tasks[0].LastRun}}}
		silent := c
		presumed(&silent)
		s.Apply(&Command{Crashes: []WorkerCrash{silent}}, start)
		s.Apply(&Command{Crashes: []WorkerCrash{c}, RemovedWorkers: []WorkerIncarnation{{Worker: worker, Incarnation: 1}}}, start)
	}
	require.Equal(t, Failed, j.Status)
	require.Empty(t, s.PresumedCrashes())
}
