package workload

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"cactusspar/internal/resources"
	"cactusspar/internal/testutil"
)

var start = time.Unix(1_000, 0).UTC()

// fixture returns a state with a queue and two workers.
func fixture() *State {
	s := New()
	s.Apply(&Command{
		Topology: &Topology{Version: 1, Queues: []Queue{{Name: "q", Pool: "p", MaxAttempts: 2}}, Pools: []Pool{{Name: "p"}}},
		Workers:  []Worker{{ID: "a", Born: 1, Pool: "p"}, {ID: "b", Born: 1, Pool: "p"}},
	}, start)
	return s
}

func task(step, index int) TaskID { return TaskID{Job: "j", Step: step, Index: index} }

func submit(s *State, steps ...Step) *Job {
	s.Apply(&Command{Submit: []Job{{ID: "j", Queue: "q", Steps: steps}}}, start)
	return s.Jobs["j"]
}

func begin(s *State, t TaskID, run int, worker string) {
	s.Apply(&Command{Starts: []Start{{Task: t, Run: run, Worker: worker, Born: s.Workers[worker].Born}}}, start)
}

func end(s *State, sequence uint64, t TaskID, run int, worker string, outcome Outcome) {
	s.Apply(&Command{Ends: []End{{Worker: worker, Born: s.Workers[worker].Born, Sequence: sequence, Task: t, Run: run, Outcome: outcome}}}, start)
}

// Guards against a task that runs twice because a stale plan starts it again.
func TestStartsAreValidated(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1}, Step{Count: 1, After: []int{0}})
	begin(s, task(1, 0), 1, "a")
	require.Equal(t, Queued, j.Status, "a step started before the step that it follows")
	begin(s, task(0, 0), 1, "a")
	require.Equal(t, Active, j.Status)
	begin(s, task(0, 0), 2, "b")
	require.Nil(t, s.FindRun(RunID{task(0, 0), 2}), "a second run beside the first")
	end(s, 1, task(0, 0), 1, "a", Succeeded)
	begin(s, task(0, 0), 2, "b")
	require.Nil(t, s.FindRun(RunID{task(0, 0), 2}), "a run after the task was done")
	begin(s, task(1, 0), 1, "b")
	require.NotNil(t, s.FindRun(RunID{task(1, 0), 1}))
}

// Guards against starts on a worker that leaves or was born again, and after a
// cancellation.
func TestStartsNeedTheWorkerAndTheJob(t *testing.T) {
	s := fixture()
	submit(s, Step{Count: 3})
	s.Apply(&Command{Starts: []Start{{Task: task(0, 0), Run: 1, Worker: "a", Born: 0}}}, start)
	require.Nil(t, s.FindRun(RunID{task(0, 0), 1}), "another life of the worker")
	s.Apply(&Command{Workers: []Worker{{ID: "b", Born: 1, Pool: "p", Draining: true}}}, start)
	begin(s, task(0, 1), 1, "b")
	require.Nil(t, s.FindRun(RunID{task(0, 1), 1}), "a draining worker")
	s.Apply(&Command{Cancel: []string{"j"}}, start)
	begin(s, task(0, 2), 1, "a")
	require.Nil(t, s.FindRun(RunID{task(0, 2), 1}), "a cancelled job")
}

// Guards against an end that counts twice when the worker lists it again, and
// against a job that fails before all its attempts.
func TestEndsCountOnce(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1})
	begin(s, task(0, 0), 1, "a")
	end(s, 1, task(0, 0), 1, "a", Faulted)
	end(s, 1, task(0, 0), 1, "a", Faulted)
	require.Equal(t, Active, j.Status)
	require.Equal(t, uint64(1), s.Workers["a"].Noted)
	begin(s, task(0, 0), 2, "b")
	end(s, 1, task(0, 0), 2, "b", Faulted)
	require.Equal(t, Failed, s.Jobs["j"].Status)
}

// Guards against stopped and lapsed runs that count as failures.
func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1})
	for run, outcome := range []Outcome{Stopped, Lapsed, Broken, Unjoined} {
		begin(s, task(0, 0), run+1, "a")
		end(s, uint64(run+1), task(0, 0), run+1, "a", outcome)
	}
	require.Equal(t, Active, j.Status)
	require.Equal(t, 1, j.Occurrences[0].Steps[0].Waiting())
}

// Guards against a gang of which only the member that reported counts as done,
// and against a checkpoint that the other members don't get.
func TestGangEndsTogether(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 2, Gang: true}, Step{Count: 1, After: []int{0}})
	s.Apply(&Command{Starts: []Start{
		{Task: task(0, 0), Run: 1, Worker: "a", Born: 1}, {Task: task(0, 1), Run: 1, Worker: "b", Born: 1},
	}}, start)
	s.Apply(&Command{Ends: []End{{Worker: "a", Born: 1, Sequence: 1, Task: task(0, 0), Run: 1, Outcome: Broken, Checkpoint: "c"}}}, start)
	require.Equal(t, "c", j.Occurrences[0].Steps[0].Tasks[1].Checkpoint)
	end(s, 1, task(0, 1), 1, "b", Succeeded)
	require.True(t, j.StepReady(0, 1))
}

// Guards against a long-running task that is taken for done.
func TestLongRunningTasksNeverEnd(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1, LongRunning: true})
	for run := 1; run < 6; run++ {
		begin(s, task(0, 0), run, "a")
		end(s, uint64(run), task(0, 0), run, "a", Faulted)
	}
	require.Equal(t, Active, j.Status)
	require.Equal(t, 1, j.Occurrences[0].Steps[0].Waiting())
}

// Guards against runs that are forgotten while they may be at work, and against
// bulky jobs that are kept after they have ended.
func TestCancelledJobsKeepTheirRunsUntilTheyEnd(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1})
	begin(s, task(0, 0), 1, "a")
	s.Apply(&Command{Cancel: []string{"j"}}, start)
	require.True(t, j.Live())
	require.Contains(t, s.Open(), "j")
	end(s, 1, task(0, 0), 1, "a", Stopped)
	require.NotContains(t, s.Open(), "j")
	require.Nil(t, j.Steps)
	require.Equal(t, Cancelled, s.Jobs["j"].Status)
}

// Guards against runs that outlive their worker in the state, and against a
// farewell of an earlier life that ends those of a later one.
func TestGoneWorkersLoseTheirRuns(t *testing.T) {
	s := fixture()
	submit(s, Step{Count: 2})
	begin(s, task(0, 0), 1, "a")
	s.Apply(&Command{Workers: []Worker{{ID: "a", Born: 2, Pool: "p"}}}, start)
	s.Apply(&Command{Gone: []Life{{Worker: "a", Born: 1}}}, start)
	require.NotNil(t, s.Workers["a"])
	require.NotNil(t, s.FindRun(RunID{task(0, 0), 1}))
	s.Apply(&Command{Gone: []Life{{Worker: "a", Born: 2}}}, start)
	require.Nil(t, s.FindRun(RunID{task(0, 0), 1}))
}

// Guards against a worker that counts as ready again because an old report
// arrives after the one that said that it leaves.
func TestDrainingIsFinal(t *testing.T) {
	s := fixture()
	s.Apply(&Command{Workers: []Worker{{ID: "a", Born: 1, Pool: "p", Draining: true}}}, start)
	s.Apply(&Command{Workers: []Worker{{ID: "a", Born: 1, Pool: "p"}}}, start)
	require.True(t, s.Workers["a"].Draining)
	s.Apply(&Command{Workers: []Worker{{ID: "a", Born: 2, Pool: "p"}}}, start)
	require.False(t, s.Workers["a"].Draining)
}

// Guards against a lower or equal version that replaces the topology in force.
func TestOnlyHigherTopologiesApply(t *testing.T) {
	s := fixture()
	s.Apply(&Command{Topology: &Topology{Version: 1, Queues: []Queue{{Name: "other"}}}}, start)
	require.NotNil(t, s.Topology.Queue("q"))
	s.Apply(&Command{Topology: &Topology{Version: 2}}, start)
	require.Nil(t, s.Topology.Queue("q"))
}

// Guards against occurrences that are opened twice, and against a scheduled job
// that is completed before all of them are.
func TestOccurrences(t *testing.T) {
	s := fixture()
	s.Apply(&Command{Submit: []Job{{ID: "j", Queue: "q", Steps: []Step{{Count: 1}}, Times: 2, FirstAt: start, Period: time.Second}}}, start)
	j := s.Jobs["j"]
	require.Empty(t, j.Occurrences)
	for k := range 2 {
		s.Apply(&Command{Open: []Opening{{Job: "j", Occurrence: k}, {Job: "j", Occurrence: k}}}, start)
		require.Len(t, j.Occurrences, k+1)
		id := TaskID{Job: "j", Occurrence: k}
		begin(s, id, 1, "a")
		require.Equal(t, Active, j.Status)
		end(s, uint64(k+1), id, 1, "a", Succeeded)
	}
	require.Equal(t, Completed, j.Status)
}

// randomWork draws a command that may or may not fit the state.
func randomWork(r *rand.Rand, s *State) *Command {
	id := fmt.Sprint(r.Intn(5))
	t := TaskID{Job: id, Step: r.Intn(2), Index: r.Intn(3)}
	worker := string(rune('a' + r.Intn(2)))
	var born int64
	if w := s.Workers[worker]; w != nil {
		born = w.Born - int64(r.Intn(2))
	}
	run := 1 + r.Intn(4)
	outcomes := []Outcome{Succeeded, Faulted, Stopped, Lapsed, Broken, Unjoined}
	switch r.Intn(10) {
	case 0:
		return &Command{Submit: []Job{{ID: id, Queue: "q", Steps: []Step{
			{Count: 3, Gang: r.Intn(3) == 0, LongRunning: r.Intn(4) == 0, Speculative: r.Intn(3) == 0, Need: resources.Amount{MilliCPU: 1}},
			{Count: 2, After: []int{0}},
		}}}}
	case 1:
		return &Command{Cancel: []string{id}}
	case 2:
		return &Command{Released: []Release{{Task: t, Run: run, Checkpoint: "x"}}}
	case 3:
		return &Command{Workers: []Worker{{ID: worker, Born: born + int64(r.Intn(2)), Pool: "p", Draining: r.Intn(5) == 0}}}
	case 4:
		return &Command{Gone: []Life{{Worker: worker, Born: born}}}
	case 5, 6:
		return &Command{Ends: []End{{Worker: worker, Born: born, Sequence: uint64(r.Intn(50)), Task: t, Run: run, Outcome: outcomes[r.Intn(6)]}}}
	case 7:
		return &Command{Forget: []string{id}}
	}
	return &Command{Starts: []Start{{Task: t, Run: run, Worker: worker, Born: born}}}
}

// Guards against counters and indices that drift from the tasks, against a task
// that has two runs without being allowed a copy, and against replicas that
// diverge when one of them was restored from a snapshot.
func TestRandomWork(t *testing.T) {
	r := rand.New(rand.NewSource(testutil.Seed(t)))
	for range 30 {
		s, copied := fixture(), fixture()
		for i := range 600 {
			c := randomWork(r, s)
			now := start.Add(time.Duration(i) * time.Second)
			s.Apply(c, now)
			copied.Apply(decoded(t, c), now)
			checkCounts(t, s)
			if r.Intn(100) == 0 {
				copied = restored(t, copied)
			}
		}
		require.Equal(t, encoded(t, s), encoded(t, copied))
	}
}

func decoded(t *testing.T, c *Command) *Command {
	data, err := msgpack.Marshal(c)
	require.NoError(t, err)
	out := &Command{}
	require.NoError(t, msgpack.Unmarshal(data, out))
	return out
}

func encoded(t *testing.T, s *State) []byte {
	var out []byte
	for id := range 5 {
		data, err := msgpack.Marshal(s.Jobs[fmt.Sprint(id)])
		require.NoError(t, err)
		out = append(out, data...)
	}
	return out
}

func restored(t *testing.T, s *State) *State {
	data, err := msgpack.Marshal(s)
	require.NoError(t, err)
	out := New()
	require.NoError(t, msgpack.Unmarshal(data, out))
	out.Index()
	return out
}

func checkCounts(t *testing.T, s *State) {
	t.Helper()
	onWorkers := 0
	for _, runs := range s.onWorker {
		onWorkers += len(runs)
	}
	live := 0
	for _, j := range s.Jobs {
		jobLive := 0
		for _, o := range j.Occurrences {
			for p := range o.Steps {
				waiting, done := 0, 0
				for _, task := range o.Steps[p].Tasks {
					jobLive += len(task.Runs)
					switch {
					case task.Done:
						done++
					case len(task.Runs) == 0:
						waiting++
					}
					require.True(t, len(task.Runs) <= 1 || j.Steps[p].Speculative, "job %s has a task with %d runs", j.ID, len(task.Runs))
				}
				require.Equal(t, waiting, o.Steps[p].Waiting())
				require.Equal(t, done, o.Steps[p].Done())
			}
		}
		require.Equal(t, jobLive, j.live)
		live += jobLive
		_, open := s.open[j.ID]
		require.Equal(t, !j.Status.Ended() || jobLive > 0, open)
	}
	require.Equal(t, live, onWorkers)
}
