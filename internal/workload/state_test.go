package workload

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand"
	"slices"
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
	s := NewState()
	s.Apply(&Command{
		Topology: &Topology{Version: 1, Queues: []Queue{{Name: "q", Pool: "p", MaxAttempts: 2}}, Pools: []Pool{{Name: "p"}}},
		Workers:  []Worker{{ID: "a", Incarnation: 1, Pool: "p"}, {ID: "b", Incarnation: 1, Pool: "p"}},
	}, start)
	return s
}

func task(step, index int) TaskID { return TaskID{Job: "j", Step: step, Index: index} }

func submit(s *State, steps ...Step) *Job {
	s.Apply(&Command{Submit: []Job{{ID: "j", Queue: "q", Steps: steps}}}, start)
	return s.Jobs["j"]
}

func begin(s *State, t TaskID, run int, worker string) {
	s.Apply(&Command{Starts: []RunStart{{Task: t, Run: run, Worker: worker, Incarnation: s.Workers[worker].Incarnation}}}, start)
}

func end(s *State, sequence uint64, t TaskID, run int, worker string, outcome Outcome) {
	s.Apply(&Command{Ends: []RunEnd{{Worker: worker, Incarnation: s.Workers[worker].Incarnation, Sequence: sequence, Task: t, Run: run, Outcome: outcome}}}, start)
}

// A stale plan must not start a task a second time or before its dependencies.
func TestStartsAreValidated(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1}, Step{Count: 1, DependsOn: []int{0}})
	begin(s, task(1, 0), 1, "a")
	require.Equal(t, Queued, j.Status, "a step started before the step on which it depends")
	begin(s, task(0, 0), 1, "a")
	require.Equal(t, Active, j.Status)
	begin(s, task(0, 0), 2, "b")
	require.Nil(t, s.FindRun(RunID{task(0, 0), 2}), "a second run while the first is active")
	end(s, 1, task(0, 0), 1, "a", Succeeded)
	begin(s, task(0, 0), 2, "b")
	require.Nil(t, s.FindRun(RunID{task(0, 0), 2}), "a run after the task was done")
	begin(s, task(1, 0), 1, "b")
	require.NotNil(t, s.FindRun(RunID{task(1, 0), 1}))
}

// A task must not start on a draining or cordoned worker, on another incarnation of the
// worker than planned, or after its job was cancelled.
func TestStartsNeedTheWorkerAndTheJob(t *testing.T) {
	s := fixture()
	submit(s, Step{Count: 3})
	s.Apply(&Command{Starts: []RunStart{{Task: task(0, 0), Run: 1, Worker: "a", Incarnation: 0}}}, start)
	require.Nil(t, s.FindRun(RunID{task(0, 0), 1}), "another incarnation of the worker")
	s.Apply(&Command{Workers: []Worker{{ID: "b", Incarnation: 1, Pool: "p", Draining: true}}}, start)
	begin(s, task(0, 1), 1, "b")
	require.Nil(t, s.FindRun(RunID{task(0, 1), 1}), "a draining worker")
	s.Apply(&Command{Cordons: []Cordon{{Worker: "a", Incarnation: 1, Cordoned: true}}}, start)
	begin(s, task(0, 2), 1, "a")
	require.Nil(t, s.FindRun(RunID{task(0, 2), 1}), "a cordoned worker")
	s.Apply(&Command{Workers: []Worker{{ID: "a", Incarnation: 1, Pool: "p"}}}, start)
	require.True(t, s.Workers["a"].Cordoned, "a report doesn't end a cordon")
	s.Apply(&Command{Cordons: []Cordon{{Worker: "a", Incarnation: 1}}}, start)
	s.Apply(&Command{Cancel: []string{"j"}}, start)
	begin(s, task(0, 2), 1, "a")
	require.Nil(t, s.FindRun(RunID{task(0, 2), 1}), "a cancelled job")
}

// An end must count once when the worker reports it again, and a job must fail only
// after all its attempts.
func TestEndsCountOnce(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1})
	begin(s, task(0, 0), 1, "a")
	end(s, 1, task(0, 0), 1, "a", RunFailed)
	end(s, 1, task(0, 0), 1, "a", RunFailed)
	require.Equal(t, Active, j.Status)
	require.Equal(t, uint64(1), s.Workers["a"].Acknowledged)
	begin(s, task(0, 0), 2, "b")
	end(s, 1, task(0, 0), 2, "b", RunFailed)
	require.Equal(t, Failed, s.Jobs["j"].Status)
}

// Runs that were stopped, lost their lease or lost their gang must not count as
// failures.
func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1})
	for run, outcome := range []Outcome{Stopped, LeaseExpired, GangBroken, GangJoinTimeout} {
		begin(s, task(0, 0), run+1, "a")
		end(s, uint64(run+1), task(0, 0), run+1, "a", outcome)
	}
	require.Equal(t, Active, j.Status)
	require.Equal(t, 1, j.Occurrences[0].Steps[0].Waiting())
}

// All members of a gang must be done once one of them reports success, and a
// checkpoint of one member must apply to all.
func TestGangEndsTogether(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 2, Gang: true}, Step{Count: 1, DependsOn: []int{0}})
	s.Apply(&Command{Starts: []RunStart{
		{Task: task(0, 0), Run: 1, Worker: "a", Incarnation: 1}, {Task: task(0, 1), Run: 1, Worker: "b", Incarnation: 1},
	}}, start)
	s.Apply(&Command{Ends: []RunEnd{{Worker: "a", Incarnation: 1, Sequence: 1, Task: task(0, 0), Run: 1, Outcome: GangBroken, Checkpoint: "c"}}}, start)
	require.Equal(t, "c", j.Occurrences[0].Steps[0].Tasks[1].Checkpoint)
	end(s, 1, task(0, 1), 1, "b", Succeeded)
	require.True(t, j.StepReady(0, 1))
}

// A long-running task must wait for its next run after each end, and its failures
// must not fail the job.
func TestLongRunningTasksNeverEnd(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1, LongRunning: true})
	for run := 1; run < 6; run++ {
		begin(s, task(0, 0), run, "a")
		end(s, uint64(run), task(0, 0), run, "a", RunFailed)
	}
	require.Equal(t, Active, j.Status)
	require.Equal(t, 1, j.Occurrences[0].Steps[0].Waiting())
}

// A long-running task must wait for its next run after one that ended as succeeded.
func TestLongRunningTaskIsNeverDone(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1, LongRunning: true})
	begin(s, task(0, 0), 1, "a")
	end(s, 1, task(0, 0), 1, "a", Succeeded)
	require.Equal(t, Active, j.Status)
	require.Equal(t, 1, j.Occurrences[0].Steps[0].Waiting())
	begin(s, task(0, 0), 2, "a")
	require.NotNil(t, s.FindRun(RunID{task(0, 0), 2}))
}

// A start must have no effect in the command that cancels its job, and after it. The runs
// that a worker reports afterwards must not be known, and their ends must be acknowledged.
func TestNoRunOutlivesTheCancel(t *testing.T) {
	s := fixture()
	submit(s, Step{Count: 2, LongRunning: true})
	begin(s, task(0, 0), 1, "a")
	next := RunStart{Task: task(0, 1), Run: 1, Worker: "a", Incarnation: 1}
	s.Apply(&Command{Cancel: []string{"j"}, Starts: []RunStart{next}}, start)
	s.Apply(&Command{Starts: []RunStart{next}}, start)
	require.Nil(t, s.FindRun(RunID{task(0, 1), 1}))
	end(s, 1, task(0, 0), 1, "a", Stopped)
	end(s, 2, task(0, 1), 1, "a", Stopped)
	require.Nil(t, s.FindRun(RunID{task(0, 0), 1}))
	require.Equal(t, uint64(2), s.Workers["a"].Acknowledged)
	require.Empty(t, s.RunsOn("a"))
}

// The submission of a cancelled job must have no effect when it is sent again. After the
// job was purged, it must add a job that can run.
func TestSubmissionAfterCancelAndPurge(t *testing.T) {
	s := fixture()
	submit(s, Step{Count: 1, LongRunning: true})
	begin(s, task(0, 0), 1, "a")
	s.Apply(&Command{Cancel: []string{"j"}, RemovedJobs: []string{"j"}}, start)
	require.Equal(t, Cancelled, submit(s, Step{Count: 1, LongRunning: true}).Status)
	require.NotNil(t, s.FindRun(RunID{task(0, 0), 1}), "a job with runs is not purged")
	end(s, 1, task(0, 0), 1, "a", Stopped)
	s.Apply(&Command{RemovedJobs: []string{"j"}}, start)
	require.Equal(t, Queued, submit(s, Step{Count: 1, LongRunning: true}).Status)
	begin(s, task(0, 0), 1, "a")
	require.NotNil(t, s.FindRun(RunID{task(0, 0), 1}))
}

// A failure must count once when its worker is removed and returns in the same incarnation:
// it reports the end again if the acknowledgement was lost.
func TestFailureOfReturnedWorkerCountsOnce(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1})
	begin(s, task(0, 0), 1, "a")
	end(s, 1, task(0, 0), 1, "a", RunFailed)
	s.Apply(&Command{RemovedWorkers: []WorkerIncarnation{{Worker: "a", Incarnation: 1}}}, start)
	s.Apply(&Command{Workers: []Worker{{ID: "a", Incarnation: 1, Pool: "p"}}}, start)
	end(s, 1, task(0, 0), 1, "a", RunFailed)
	require.Equal(t, Active, j.Status, "the job failed after one attempt of two")
}

// Guards against a failure that isn't counted because a later run has failed before: a run
// that was given up reports its end when its worker is back. The task would start too often.
func TestLateFailureOfFormerRunCounts(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1})
	begin(s, task(0, 0), 1, "a")
	s.Apply(&Command{Released: []RunRelease{{Task: task(0, 0), Run: 1}}}, start)
	begin(s, task(0, 0), 2, "b")
	end(s, 1, task(0, 0), 2, "b", RunFailed)
	end(s, 1, task(0, 0), 1, "a", RunFailed)
	require.Equal(t, Failed, j.Status, "two attempts of two have failed")
}

// An end that is not new must not leave a run that its worker has reported as ended.
func TestRepeatedEndRemovesRun(t *testing.T) {
	s := fixture()
	submit(s, Step{Count: 2, LongRunning: true})
	begin(s, task(0, 0), 1, "a")
	begin(s, task(0, 1), 1, "a")
	end(s, 2, task(0, 0), 1, "a", Stopped)
	end(s, 1, task(0, 1), 1, "a", Stopped)
	require.Nil(t, s.FindRun(RunID{task(0, 1), 1}))
}

// The runs of a cancelled job must be kept while they may be executing. After that,
// the bulky fields of the job must be dropped.
func TestCancelledJobsKeepTheirRunsUntilTheyEnd(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 1})
	begin(s, task(0, 0), 1, "a")
	s.Apply(&Command{Cancel: []string{"j"}}, start)
	require.True(t, j.HasActiveRuns())
	require.Contains(t, s.Open(), "j")
	end(s, 1, task(0, 0), 1, "a", Stopped)
	require.NotContains(t, s.Open(), "j")
	require.Nil(t, j.Steps)
	require.Equal(t, Cancelled, s.Jobs["j"].Status)
}

// The runs of a removed worker must be removed from the state. The end of an
// earlier incarnation must not remove the worker or its runs.
func TestRemovedWorkersLoseTheirRuns(t *testing.T) {
	s := fixture()
	submit(s, Step{Count: 2})
	begin(s, task(0, 0), 1, "a")
	s.Apply(&Command{Workers: []Worker{{ID: "a", Incarnation: 2, Pool: "p"}}}, start)
	s.Apply(&Command{RemovedWorkers: []WorkerIncarnation{{Worker: "a", Incarnation: 1}}}, start)
	require.NotNil(t, s.Workers["a"])
	require.NotNil(t, s.FindRun(RunID{task(0, 0), 1}))
	s.Apply(&Command{RemovedWorkers: []WorkerIncarnation{{Worker: "a", Incarnation: 2}}}, start)
	require.Nil(t, s.FindRun(RunID{task(0, 0), 1}))
}

// A draining worker must not count as ready again because an older report arrives
// late. Its next incarnation may be ready.
func TestDrainingIsFinalWithinAnIncarnation(t *testing.T) {
	s := fixture()
	s.Apply(&Command{Workers: []Worker{{ID: "a", Incarnation: 1, Pool: "p", Draining: true}}}, start)
	s.Apply(&Command{Workers: []Worker{{ID: "a", Incarnation: 1, Pool: "p"}}}, start)
	require.True(t, s.Workers["a"].Draining)
	s.Apply(&Command{Workers: []Worker{{ID: "a", Incarnation: 2, Pool: "p"}}}, start)
	require.False(t, s.Workers["a"].Draining)
}

// A topology with a lower or equal version must not replace the current one.
func TestOnlyHigherTopologiesApply(t *testing.T) {
	s := fixture()
	s.Apply(&Command{Topology: &Topology{Version: 1, Queues: []Queue{{Name: "other"}}}}, start)
	require.NotNil(t, s.Topology.Queue("q"))
	s.Apply(&Command{Topology: &Topology{Version: 2}}, start)
	require.Nil(t, s.Topology.Queue("q"))
}

// An occurrence must not be added twice, and a scheduled job must not be completed
// before all its occurrences are.
func TestOccurrences(t *testing.T) {
	s := fixture()
	s.Apply(&Command{Submit: []Job{{ID: "j", Queue: "q", Steps: []Step{{Count: 1}}, OccurrenceCount: 2, FirstAt: start, Period: time.Second}}}, start)
	j := s.Jobs["j"]
	require.Empty(t, j.Occurrences)
	for k := range 2 {
		s.Apply(&Command{Openings: []OccurrenceOpening{{Job: "j", Occurrence: k}, {Job: "j", Occurrence: k}}}, start)
		require.Len(t, j.Occurrences, k+1)
		id := TaskID{Job: "j", Occurrence: k}
		begin(s, id, 1, "a")
		require.Equal(t, Active, j.Status)
		end(s, uint64(k+1), id, 1, "a", Succeeded)
	}
	require.Equal(t, Completed, j.Status)
}

// randomCommand returns a random command that may or may not fit the state.
func randomCommand(r *rand.Rand, s *State) *Command {
	id := fmt.Sprint(r.Intn(5))
	t := TaskID{Job: id, Step: r.Intn(2), Index: r.Intn(3)}
	worker := string(rune('a' + r.Intn(2)))
	var incarnation int64
	if w := s.Workers[worker]; w != nil {
		incarnation = w.Incarnation - int64(r.Intn(2))
	}
	run := 1 + r.Intn(4)
	outcomes := []Outcome{Succeeded, RunFailed, Stopped, LeaseExpired, GangBroken, GangJoinTimeout}
	switch r.Intn(11) {
	case 0:
		return &Command{Submit: []Job{{ID: id, Queue: "q", Steps: []Step{
			{Count: 3, Gang: r.Intn(3) == 0, LongRunning: r.Intn(4) == 0, Speculative: r.Intn(3) == 0, Resources: resources.Amount{MilliCPU: 1}},
			{Count: 2, DependsOn: []int{0}},
		}}}}
	case 1:
		return &Command{Cancel: []string{id}}
	case 2:
		return &Command{Released: []RunRelease{{Task: t, Run: run, Checkpoint: "x"}}}
	case 3:
		return &Command{Workers: []Worker{{ID: worker, Incarnation: incarnation + int64(r.Intn(2)), Pool: "p", Draining: r.Intn(5) == 0}}}
	case 4:
		return &Command{RemovedWorkers: []WorkerIncarnation{{Worker: worker, Incarnation: incarnation}}}
	case 5, 6:
		return &Command{Ends: []RunEnd{{Worker: worker, Incarnation: incarnation, Sequence: uint64(r.Intn(50)), Task: t, Run: run, Outcome: outcomes[r.Intn(6)]}}}
	case 7:
		return &Command{RemovedJobs: []string{id}}
	case 8:
		return &Command{EarlyCancels: []EarlyCancel{{Job: id, Queue: "q"}}}
	}
	return &Command{Starts: []RunStart{{Task: t, Run: run, Worker: worker, Incarnation: incarnation}}}
}

// Random commands: the counters and indices must match the tasks, only tasks of
// speculative steps may have two runs, and a replica that was restored from a
// snapshot must not diverge.
func TestRandomCommands(t *testing.T) {
	r := rand.New(rand.NewSource(testutil.Seed(t)))
	for range 30 {
		s, replica := fixture(), fixture()
		for i := range 600 {
			c := randomCommand(r, s)
			now := start.Add(time.Duration(i) * time.Second)
			s.Apply(c, now)
			replica.Apply(decoded(t, c), now)
			checkCounts(t, s)
			if r.Intn(100) == 0 {
				replica = restored(t, replica)
			}
		}
		require.Equal(t, encoded(t, s), encoded(t, replica))
	}
}

// decoded returns the command after an encoding round trip.
func decoded(t *testing.T, c *Command) *Command {
	data, err := msgpack.Marshal(c)
	require.NoError(t, err)
	out := &Command{}
	require.NoError(t, msgpack.Unmarshal(data, out))
	return out
}

// encoded returns the encoded jobs and early cancels of a state.
func encoded(t *testing.T, s *State) []byte {
	var out []byte
	for id := range 5 {
		data, err := msgpack.Marshal(s.Jobs[fmt.Sprint(id)])
		require.NoError(t, err)
		out = append(out, data...)
	}
	cancels := slices.SortedFunc(maps.Values(s.EarlyCancels), func(a, b EarlyCancel) int { return cmp.Compare(a.Job, b.Job) })
	data, err := msgpack.Marshal(cancels)
	require.NoError(t, err)
	return append(out, data...)
}

// restored returns the state after a snapshot and its restoration.
func restored(t *testing.T, s *State) *State {
	data, err := msgpack.Marshal(s)
	require.NoError(t, err)
	out := NewState()
	require.NoError(t, msgpack.Unmarshal(data, out))
	out.BuildIndex()
	return out
}

// checkCounts checks the counters and indices of a state against its tasks.
func checkCounts(t *testing.T, s *State) {
	t.Helper()
	usage, usedByTeam := map[string]*Usage{}, map[string]resources.Amount{}
	activeRuns := 0
	for _, j := range s.Jobs {
		jobActiveRuns := 0
		for k, o := range j.Occurrences {
			for p := range o.Steps {
				waiting, done := 0, 0
				for i, task := range o.Steps[p].Tasks {
					jobActiveRuns += len(task.Runs)
					for _, r := range task.Runs {
						require.NotNil(t, s.Workers[r.Worker], "a run on a worker that is not known")
						if usage[r.Worker] == nil {
							usage[r.Worker] = &Usage{Runs: map[RunID]*Job{}}
						}
						id := TaskID{Job: j.ID, Occurrence: k, Step: p, Index: i}
						usage[r.Worker].Runs[RunID{id, r.Number}] = j
						usage[r.Worker].add(id.StepID(), &j.Steps[p], 1)
						usedByTeam[j.Team] = usedByTeam[j.Team].Plus(j.Steps[p].Resources)
					}
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
		require.Equal(t, jobActiveRuns, j.activeRuns)
		activeRuns += jobActiveRuns
		_, open := s.open[j.ID]
		require.Equal(t, !j.Status.Ended() || jobActiveRuns > 0, open)
	}
	require.Equal(t, len(usage), len(s.usage))
	for worker, want := range usage {
		if len(want.ByStep) == 0 {
			want.ByStep = s.usage[worker].ByStep // an empty map and none are equal
			require.Empty(t, want.ByStep)
		}
		require.Equal(t, want, s.usage[worker])
	}
	require.Equal(t, usedByTeam, s.usedByTeam)
}

// A worker's capacity may shrink between a plan and its start: the start must not bring the
// worker over it, and runs that are being stopped still count.
func TestStartNeedsRoom(t *testing.T) {
	s := fixture()
	room := resources.Amount{MilliCPU: 2000, MemoryMB: 100}
	s.Apply(&Command{Workers: []Worker{{ID: "a", Incarnation: 1, Pool: "p", Capacity: room}}}, start)
	submit(s, Step{Count: 3, Resources: resources.Amount{MilliCPU: 1000, MemoryMB: 10}})
	begin(s, task(0, 0), 1, "a")
	begin(s, task(0, 1), 1, "a")
	begin(s, task(0, 2), 1, "a")
	require.Nil(t, s.FindRun(RunID{task(0, 2), 1}))
	end(s, 1, task(0, 0), 1, "a", Succeeded)
	room.MilliCPU = 1000
	s.Apply(&Command{
		Workers: []Worker{{ID: "a", Incarnation: 1, Pool: "p", Capacity: room}},
		Starts:  []RunStart{{Task: task(0, 2), Run: 1, Worker: "a", Incarnation: 1}},
	}, start)
	require.Nil(t, s.FindRun(RunID{task(0, 2), 1}))
	end(s, 2, task(0, 1), 1, "a", Succeeded)
	begin(s, task(0, 2), 1, "a")
	require.NotNil(t, s.FindRun(RunID{task(0, 2), 1}))
}

// If the start of one member of a gang is ignored, the others must not start either: they
// would wait for it in vain.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	s := fixture()
	j := submit(s, Step{Count: 2, Gang: true})
	s.Apply(&Command{Cordons: []Cordon{{Worker: "b", Incarnation: 1, Cordoned: true}}}, start)
	gang := func(run int) *Command {
		return &Command{Starts: []RunStart{{Task: task(0, 0), Run: run, Worker: "a", Incarnation: 1}, {Task: task(0, 1), Run: run, Worker: "b", Incarnation: 1}}}
	}
	s.Apply(gang(1), start)
	require.False(t, j.HasActiveRuns())
	s.Apply(&Command{Cordons: []Cordon{{Worker: "b", Incarnation: 1}}}, start)
	s.Apply(gang(2), start)
	require.NotNil(t, s.FindRun(RunID{task(0, 0), 2}))
	require.NotNil(t, s.FindRun(RunID{task(0, 1), 2}))
}

// withQueue returns a topology of the fixture with the given limit of attempts, or without the
// queue if it is 0.
func withQueue(version uint64, maxAttempts int) *Topology {
	t := &Topology{Version: version, Pools: []Pool{{Name: "p"}}}
	if maxAttempts > 0 {
		t.Queues = []Queue{{Name: "q", Pool: "p", MaxAttempts: maxAttempts}}
	}
	return t
}

// Guards against a job that is shown as failed after fewer failures than its queue allows, because
// the queue was removed for a while.
func TestRemovedQueueLimitsNoAttempts(t *testing.T) {
	for name, step := range map[string]Step{"task": {Count: 1}, "gang": {Count: 1, Gang: true}} {
		s := fixture()
		s.Apply(&Command{Topology: withQueue(2, 5)}, start)
		j := submit(s, step)
		for run := 1; run <= 2; run++ {
			begin(s, task(0, 0), run, "a")
			end(s, uint64(run), task(0, 0), run, "a", RunFailed)
		}
		begin(s, task(0, 0), 3, "a")
		s.Apply(&Command{Topology: withQueue(3, 0)}, start)
		end(s, 3, task(0, 0), 3, "a", RunFailed)
		require.Equal(t, Active, j.Status, "%s: 3 of 5 attempts", name)
		s.Apply(&Command{Topology: withQueue(4, 5)}, start)
		require.Equal(t, Active, j.Status, name)
		begin(s, task(0, 0), 4, "a")
		end(s, 4, task(0, 0), 4, "a", RunFailed)
		begin(s, task(0, 0), 5, "a")
		end(s, 5, task(0, 0), 5, "a", RunFailed)
		require.Equal(t, Failed, j.Status, name)
	}
}

// Guards against a run after as many failures as the queue allows: the last of them ended while the
// queue was removed, or the limit was lowered since.
func TestNoRunAfterAsManyFailuresAsAllowed(t *testing.T) {
	for name, step := range map[string]Step{"task": {Count: 1}, "gang": {Count: 1, Gang: true}} {
		s := fixture()
		j := submit(s, step)
		begin(s, task(0, 0), 1, "a")
		end(s, 1, task(0, 0), 1, "a", RunFailed)
		begin(s, task(0, 0), 2, "a")
		s.Apply(&Command{Topology: withQueue(2, 0)}, start)
		end(s, 2, task(0, 0), 2, "a", RunFailed)
		s.Apply(&Command{Topology: withQueue(3, 2)}, start)
		require.Equal(t, Failed, j.Status, "%s: 2 of 2 attempts", name)
		begin(s, task(0, 0), 3, "a")
		require.Nil(t, s.FindRun(RunID{task(0, 0), 3}), name)

		s = fixture()
		s.Apply(&Command{Topology: withQueue(2, 4)}, start)
		j = submit(s, step)
		for run := 1; run <= 2; run++ {
			begin(s, task(0, 0), run, "a")
			end(s, uint64(run), task(0, 0), run, "a", RunFailed)
		}
		s.Apply(&Command{Topology: withQueue(3, 2)}, start)
		require.Equal(t, Failed, j.Status, "%s: 2 of 2 attempts since the limit was lowered", name)
	}
}
