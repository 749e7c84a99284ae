package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/workload"
)

// cutTime is how long a worker is out of reach: until its lease has ended and its runs have
// been given up.
const cutTime = 2 * testLease

// cutOffStarters cuts each worker off for cutTime as soon as it has started a task of a job, n
// times in all. The workers run on and return as the same incarnations. The caller holds no lock.
func (f *fakeFleet) cutOffStarters(job string, n int) (cuts func() int) {
	done := 0
	f.withLock(func() {
		f.started = func(worker string, task workload.TaskID) {
			w := f.workers[worker]
			if task.Job != jobID(job) || done >= n || w.unreachable {
				return
			}
			done++
			time.AfterFunc(crashDelay, func() { f.withLock(func() { w.unreachable = true }) })
			time.AfterFunc(cutTime, func() { f.withLock(func() { w.unreachable = false }) })
		}
	})
	return func() (cuts int) {
		f.withLock(func() { cuts = done })
		return cuts
	}
}

// awaitCuts waits until n workers have been cut off, and requires that the job goes on.
func (s *system) awaitCuts(job string, n int, cuts func() int) {
	s.t.Helper()
	deadline := time.Now().Add(40 * time.Second)
	for cuts() < n {
		require.NotEqual(s.t, workload.Failed, s.status(job), "after %d cuts", cuts())
		require.True(s.t, time.Now().Before(deadline), "%d cuts, job %s", cuts(), s.status(job))
		time.Sleep(20 * time.Millisecond)
	}
	require.NotEqual(s.t, workload.Failed, s.status(job))
}

func (s *system) awaitCompletion(job string) {
	s.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for s.status(job) != workload.Completed {
		require.NotEqual(s.t, workload.Failed, s.status(job))
		require.True(s.t, time.Now().Before(deadline), "job is %s", s.status(job))
		time.Sleep(20 * time.Millisecond)
	}
}

// A job whose workers are cut off one after the other and run on must not be shown as failed:
// their silence is no crash. It ends once they are in reach.
func TestWorkersOutOfReachFailNoJob(t *testing.T) {
	t.Parallel()
	for name, submit := range map[string]func(*system){
		"alone":  func(s *system) { s.submit("j", oneCoreTasks(1)) },
		"lasts":  func(s *system) { s.submit("j", lastingStep) },
		"repeat": func(s *system) { s.submitOccurrences("j", 2, oneCoreTasks(1)) },
		"gang":   func(s *system) { s.submit("j", workload.Step{Count: 2, Resources: oneCore, Gang: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const cuts = 5
			s := newSystem(t, newFakeFleet(t, "a", "b", "c", "d", "e", "f"))
			s.withLock(func() { s.taskTime = time.Minute })
			cut := s.cutOffStarters("j", cuts)
			submit(s)
			s.awaitCuts("j", cuts, cut)
			s.withLock(func() { s.taskTime = 50 * time.Millisecond })
			if name != "lasts" {
				s.awaitCompletion("j")
				return
			}
			require.Eventually(t, func() bool {
				n := 0
				s.withLock(func() { n = s.serving() })
				return n == 1
			}, 20*time.Second, 20*time.Millisecond, "the long-running task is back at work")
			require.Equal(t, workload.Active, s.status("j"))
		})
	}
}

// A new leader doesn't know how old a run was when its worker was cut off. That must not make
// the run's task the cause of a crash.
func TestWorkersOutOfReachOfNewLeadersFailNoJob(t *testing.T) {
	t.Parallel()
	s := newSystem(t, newFakeFleet(t, "a", "b", "c", "d", "e", "f"))
	s.withLock(func() { s.taskTime = time.Minute })
	s.submit("j", oneCoreTasks(1))
	for n := range 5 {
		worker := ""
		for deadline := time.Now().Add(20 * time.Second); worker == ""; time.Sleep(10 * time.Millisecond) {
			require.NotEqual(t, workload.Failed, s.status("j"), "after %d cuts", n)
			require.True(t, time.Now().Before(deadline), "no run after %d cuts", n)
			s.withLock(func() {
				for id, w := range s.workers {
					if len(w.running) > 0 && !w.unreachable {
						worker = id
					}
				}
			})
		}
		time.Sleep(workload.StartPhase + pollWait) // the run is listed as older than a trial
		s.withLock(func() { s.workers[worker].unreachable = true })
		s.restart()
		time.AfterFunc(cutTime, func() { s.withLock(func() { s.workers[worker].unreachable = false }) })
	}
	s.withLock(func() { s.taskTime = 50 * time.Millisecond })
	s.awaitCompletion("j")
}

// The absence of a leader ends leases. It must not be taken for the loss of the workers.
func TestAbsentLeaderIsNoLossOfWorkers(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a", "b", "c"))
	s.withLock(func() { s.taskTime = time.Minute })
	s.submit("j", oneCoreTasks(1))
	for range 4 {
		s.awaitOnLoop(func() bool {
			task, _ := s.o.leadership.State().Task(firstTask("j"))
			require.Empty(t, task.Crashes)
			return len(task.Runs) == 1
		})
		s.stop()
		time.Sleep(2 * testLease)
		s.launch()
	}
	s.withLock(func() { s.taskTime = 50 * time.Millisecond })
	s.awaitCompletion("j")
}

// A worker that falls silent because a task has crashed it must count as crashed once its next
// incarnation or the platform's list shows so, whether or not it was removed meanwhile.
func TestCrashOfSilentWorkerIsCountedOnceProved(t *testing.T) {
	for name, keepsID := range map[string]bool{"next incarnation": true, "other worker": false} {
		t.Run(name, func(t *testing.T) {
			workers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
			s := newSystem(t, newFakeFleet(t, workers...))
			task := firstTask("deadly")
			s.withLock(func() {
				s.crashes[task], s.dark, s.keepsID = true, true, keepsID
				s.restartDelay = cutTime
				for _, id := range workers { // the list is old until the workers are back
					s.staleList = append(s.staleList, *s.instances["m-"+id])
				}
			})
			s.submit("deadly", oneCoreTasks(1))
			for deadline := time.Now().Add(40 * time.Second); s.status("deadly") != workload.Failed; time.Sleep(20 * time.Millisecond) {
				started := 0
				s.withLock(func() {
					if started = s.starts[task]; started == 2 {
						s.staleList = nil
					}
				})
				require.LessOrEqual(t, started, crashBound, "starts of a task that crashes its workers")
				require.True(t, time.Now().Before(deadline), "%d starts", started)
			}
		})
	}
}

func (s *system) submitOccurrences(id string, n int, steps ...workload.Step) {
	s.t.Helper()
	response := s.call(MethodSubmit, &Call{Path: "/q/" + jobID(id), Job: &workload.Job{
		Spec: "short", Steps: steps, OccurrenceCount: n, FirstAt: time.Now(), Period: 100 * time.Millisecond,
	}})
	require.Equal(s.t, Accepted, response.Outcome)
}

// A task that has crashed two workers must not start again while it isn't known whether it crashed
// a third one, and must not wait for that for long.
func TestSuspectAwaitsVerdictBeforeItStarts(t *testing.T) {
	now := boottime.Now()
	silent := workload.WorkerIncarnation{Worker: "c", Incarnation: 1}
	o := &Orchestrator{presumptions: map[workload.WorkerIncarnation]*presumption{silent: {since: now}}}
	crashes := []workload.Crash{{Worker: "a"}, {Worker: "b"}, {Worker: "c", Incarnation: 1, Presumed: true}}
	step := func(t workload.Task) *workload.Progress { return &workload.Progress{Tasks: []workload.Task{{}, t}} }
	require.True(t, o.awaitsVerdict(step(workload.Task{Crashes: crashes}), now))
	require.False(t, o.awaitsVerdict(step(workload.Task{Crashes: crashes}), now.Add(verdictWait)))
	require.False(t, o.awaitsVerdict(step(workload.Task{Crashes: crashes[1:]}), now), "one crash is proved")
	require.False(t, o.awaitsVerdict(step(workload.Task{Crashes: crashes[:2]}), now), "nothing is presumed")
	require.False(t, o.awaitsVerdict(step(workload.Task{Crashes: crashes, Runs: []workload.Run{{Number: 4}}}), now))
}
