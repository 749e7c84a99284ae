package workload

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

const justStarted = 100 * time.Millisecond

// crashFixture returns a state with the workers w1 to w9, each on an instance of its own.
func crashFixture() *State {
	s := fixture()
	for i := 1; i <= 9; i++ {
		s.Apply(&Command{Workers: []Worker{{ID: fmt.Sprintf("w%d", i), Incarnation: 1, Pool: "p"}}}, start)
	}
	return s
}

func submitJob(s *State, id string, steps ...Step) *Job {
	s.Apply(&Command{Submit: []Job{{ID: id, Queue: "q", Steps: steps}}}, start)
	return s.Jobs[id]
}

func taskOf(job string, index int) TaskID { return TaskID{Job: job, Index: index} }

// crash applies the crash of a worker under the latest runs of tasks, and its removal.
func crash(s *State, worker string, change func(*WorkerCrash), tasks ...TaskID) {
	c := WorkerCrash{Worker: worker, Incarnation: 1, Instance: "m-" + worker, Ran: justStarted}
	for _, id := range tasks {
		t, _ := s.Task(id)
		if t != nil {
			c.Suspects = append(c.Suspects, RunID{id, t.LastRun})
		}
	}
	if change != nil {
		change(&c)
	}
	s.Apply(&Command{Crashes: []WorkerCrash{c}, RemovedWorkers: []WorkerIncarnation{{Worker: worker, Incarnation: 1}}}, start)
}

// next starts the next run of a task on a worker.
func next(s *State, id TaskID, worker string) {
	t, _ := s.Task(id)
	begin(s, id, t.LastRun+1, worker)
}

// nextOfGang starts the next run of both members of a gang on a worker.
func nextOfGang(s *State, job, worker string) {
	t, _ := s.Task(taskOf(job, 0))
	var starts []RunStart
	for i := range 2 {
		starts = append(starts, RunStart{Task: taskOf(job, i), Run: t.LastRun + 1, Worker: worker, Incarnation: 1})
	}
	s.Apply(&Command{Starts: starts}, start)
}

// A task that crashes each worker that starts it must not be started without end. Its job
// names it and the workers.
func TestTaskThatCrashesAloneIsGivenUp(t *testing.T) {
	s := crashFixture()
	j := submitJob(s, "j", Step{Count: 2})
	next(s, taskOf("j", 0), "w1")
	next(s, taskOf("j", 1), "w2")
	crash(s, "w1", nil, taskOf("j", 0))
	require.Equal(t, Active, j.Status)
	require.True(t, j.Suspected())
	next(s, taskOf("j", 0), "w3")
	crash(s, "w3", nil, taskOf("j", 0))
	require.Equal(t, Failed, j.Status)
	require.Equal(t, taskOf("j", 0), *j.CrashedTask)
	require.Equal(t, []string{"w1", "w3"}, j.CrashedWorkers)
	require.True(t, j.HasActiveRuns(), "the run of the other task is still to be stopped")
	require.Zero(t, s.Suspects())
}

// Tasks that only were beside a crash must not be given up, however often that happens
// before they have run alone.
func TestTasksBesideACrashAreNotGivenUp(t *testing.T) {
	s := crashFixture()
	guilty, other := submitJob(s, "j", Step{Count: 1}), submitJob(s, "k", Step{Count: 1})
	next(s, taskOf("j", 0), "w1")
	next(s, taskOf("k", 0), "w1")
	crash(s, "w1", nil, taskOf("j", 0), taskOf("k", 0))
	next(s, taskOf("k", 0), "w2")
	end(s, 1, taskOf("k", 0), 2, "w2", Succeeded)
	require.Equal(t, Completed, other.Status)
	next(s, taskOf("j", 0), "w3")
	crash(s, "w3", nil, taskOf("j", 0))
	require.Equal(t, Failed, guilty.Status)
}

// A crash that two leaders report, or one leader twice, must count once.
func TestCrashIsCountedOnce(t *testing.T) {
	s := crashFixture()
	j := submitJob(s, "j", Step{Count: 1})
	next(s, taskOf("j", 0), "w1")
	c := WorkerCrash{Worker: "w1", Incarnation: 1, Ran: justStarted, Suspects: []RunID{{taskOf("j", 0), 1}}}
	for range 5 {
		s.Apply(&Command{Crashes: []WorkerCrash{c}}, start)
	}
	s.Apply(&Command{RemovedWorkers: []WorkerIncarnation{{Worker: "w1", Incarnation: 1}}}, start)
	s.Apply(&Command{Crashes: []WorkerCrash{c}}, start)
	require.Len(t, j.Occurrences[0].Steps[0].Tasks[0].Crashes, 1)
	require.Equal(t, Active, j.Status)
}

// The loss of a rack, a machine that crashes whatever it runs, and a start that never arrived
// must not make a task guilty.
func TestCrashWithAnotherCauseIsNoEvidence(t *testing.T) {
	for name, change := range map[string]func(*WorkerCrash){
		"rack": func(c *WorkerCrash) { c.Uncertain = true }, "instance": func(c *WorkerCrash) { c.Instance = "m" },
		"not arrived": func(c *WorkerCrash) { c.Unconfirmed = true },
	} {
		s := crashFixture()
		j := submitJob(s, "j", Step{Count: 1})
		for _, worker := range []string{"w1", "w2"} {
			next(s, taskOf("j", 0), worker)
			crash(s, worker, change, taskOf("j", 0))
		}
		require.Equal(t, Active, j.Status, name)
	}
}

// A task whose workers crash must end even if another cause seems likely each time.
func TestCrashesAreBoundedWhateverTheCause(t *testing.T) {
	for name, change := range map[string]func(*WorkerCrash){
		"rack": func(c *WorkerCrash) { c.Uncertain = true }, "instance": func(c *WorkerCrash) { c.Instance = "m" },
		"not arrived": func(c *WorkerCrash) { c.Unconfirmed = true }, "late": func(c *WorkerCrash) { c.Ran = 0 },
		"at an unknown age": func(c *WorkerCrash) { c.Ran = StartPhase },
	} {
		s := crashFixture()
		j := submitJob(s, "j", Step{Count: 1})
		crashes := 0
		for ; j.Status != Failed && crashes < 9; crashes++ {
			worker := fmt.Sprintf("w%d", crashes+1)
			next(s, taskOf("j", 0), worker)
			crash(s, worker, change, taskOf("j", 0))
		}
		require.LessOrEqual(t, crashes, 5, name)
	}
}

// The same if it runs beside other jobs each time, which can't be helped in a full pool.
func TestCrashesBesideOthersAreBounded(t *testing.T) {
	for name, unconfirmed := range map[string]bool{"confirmed": false, "not arrived": true} {
		s := crashFixture()
		j := submitJob(s, "j", Step{Count: 1})
		submitJob(s, "k", Step{Count: 9, LongRunning: true})
		crashes := 0
		for ; j.Status != Failed && crashes < 8; crashes++ {
			worker := fmt.Sprintf("w%d", crashes+1)
			next(s, taskOf("k", crashes), worker)
			next(s, taskOf("j", 0), worker)
			require.Len(t, s.RunsOn(worker), 2)
			crash(s, worker, func(c *WorkerCrash) { c.Unconfirmed, c.Uncertain = unconfirmed, true }, taskOf("j", 0))
		}
		require.LessOrEqual(t, crashes, 5, name)
	}
}

// A run that outlasts its trial must end the suspicion, so that later crashes count anew.
func TestOutlastedTrialEndsSuspicion(t *testing.T) {
	s := crashFixture()
	j := submitJob(s, "j", Step{Count: 1, LongRunning: true})
	for _, worker := range []string{"w1", "w2", "w3", "w4"} {
		next(s, taskOf("j", 0), worker)
		s.Apply(&Command{Acquitted: []RunID{{taskOf("j", 0), j.Occurrences[0].Steps[0].Tasks[0].LastRun}}}, start)
		require.False(t, j.Suspected())
		crash(s, worker, nil, taskOf("j", 0))
		require.Equal(t, Active, j.Status)
		require.True(t, j.Suspected())
	}
}

// The trial of a task under which workers crash late must last longer each time.
func TestTrialOutlastsFormerRuns(t *testing.T) {
	var task Task
	require.Equal(t, minTrial, task.Trial())
	task.Crashes = []Crash{{Ran: StartPhase}}
	require.Equal(t, StartPhase, task.Trial())
	task.Crashes = []Crash{{}, {}}
	require.Equal(t, lateTrial, task.Trial())
	task.Crashes = []Crash{{}, {}, {}, {}, {}, {}}
	require.Equal(t, maxTrial, task.Trial())
}

// A stale plan must not put tasks of other jobs beside a suspect.
func TestSuspectsKeepOtherJobsOff(t *testing.T) {
	s := crashFixture()
	submitJob(s, "j", Step{Count: 2})
	submitJob(s, "k", Step{Count: 1})
	next(s, taskOf("j", 0), "w1")
	crash(s, "w1", nil, taskOf("j", 0))
	next(s, taskOf("j", 0), "w2")
	next(s, taskOf("k", 0), "w2")
	require.Nil(t, s.FindRun(RunID{taskOf("k", 0), 1}))
	next(s, taskOf("j", 1), "w2")
	require.NotNil(t, s.FindRun(RunID{taskOf("j", 1), 1}), "a task of the same job")
	s.Apply(&Command{Acquitted: []RunID{{taskOf("j", 0), 2}}}, start)
	next(s, taskOf("k", 0), "w2")
	require.NotNil(t, s.FindRun(RunID{taskOf("k", 0), 1}))
}

// A gang crashes its workers as a whole: its members may run beside each other, and it is
// given up like a task.
func TestGangThatCrashesIsGivenUp(t *testing.T) {
	s := crashFixture()
	j := submitJob(s, "j", Step{Count: 2, Gang: true})
	for _, worker := range []string{"w1", "w2"} {
		nextOfGang(s, "j", worker)
		crash(s, worker, nil, taskOf("j", 0), taskOf("j", 1))
	}
	require.Equal(t, Failed, j.Status)
}

// A snapshot, and so a restart or an upgrade, must keep crashes, suspicion and their cause.
// The counters must agree with the state after any series of changes.
func TestCrashesSurviveSnapshot(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		s := crashFixture()
		for n := range 4 {
			submitJob(s, fmt.Sprint(n), Step{Count: 2, Gang: n == 0, Speculative: n == 1, LongRunning: n == 2})
		}
		for range 60 {
			id := taskOf(fmt.Sprint(random.Intn(4)), random.Intn(2))
			worker := fmt.Sprintf("w%d", random.Intn(9)+1)
			task, _ := s.Task(id)
			if task == nil {
				continue
			}
			run := RunID{id, task.LastRun}
			switch random.Intn(7) {
			case 0, 1, 2:
				switch {
				case s.Workers[worker] == nil:
				case id.Job == "0":
					nextOfGang(s, id.Job, worker)
				default:
					next(s, id, worker)
				}
			case 3:
				if r := s.FindRun(run); r != nil {
					crash(s, r.Worker, func(c *WorkerCrash) { c.Uncertain, c.Presumed = random.Intn(3) == 0, random.Intn(2) == 0 }, id)
				}
			case 4:
				s.Apply(&Command{Acquitted: []RunID{run}}, start)
			case 5:
				if r := s.FindRun(run); r != nil {
					end(s, uint64(random.Intn(9)+1), id, run.Number, r.Worker, []Outcome{Succeeded, RunFailed, Stopped}[random.Intn(3)])
				}
			case 6:
				decide(s, worker, random.Intn(2) == 0)
			}
			data, err := msgpack.Marshal(s)
			require.NoError(t, err)
			restored := NewState()
			require.NoError(t, msgpack.Unmarshal(data, restored))
			restored.BuildIndex()
			require.Equal(t, restored.Suspects(), s.Suspects(), "seed %d", seed)
			require.Equal(t, restored.PresumedCrashes(), s.PresumedCrashes(), "seed %d", seed)
			for id, j := range s.Jobs {
				require.Equal(t, restored.Jobs[id].Suspected(), j.Suspected(), "seed %d", seed)
				require.Equal(t, restored.Jobs[id].CrashedWorkers, j.CrashedWorkers)
			}
			for worker, u := range s.usage {
				require.Equal(t, restored.usage[worker].Suspects, u.Suspects, "seed %d, %s", seed, worker)
			}
		}
	}
}
