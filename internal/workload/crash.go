package workload

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the loss of a worker under a run of a task that may be the cause.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Worker      string
	Incarnation int64
	// Instance is the instance that the worker ran on. It is empty if it wasn't known.
	Instance string
	// Ran bounds how long the run had lasted. It is 0 if it had lasted longer than StartPhase.
	Ran time.Duration
	// Alone reports that only tasks of the same job ran on the worker.
	Alone bool
	// Uncertain reports that another cause is likely, such as a power failure of the rack or
	// a run that was started later.
	Uncertain bool
	// Unconfirmed reports that the start of the run may not have arrived.
	Unconfirmed bool
	// Presumed reports that only the silence of the worker suggests the crash. The worker may be
	// out of reach and run on, so that the crash doesn't count until a CrashVerdict proves it.
	Presumed bool
}

// WorkerCrash is the loss of a worker that was not planned. It precedes the removal of the
// worker's runs.
type WorkerCrash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Worker      string
	Incarnation int64
	Instance    string
	// Suspects holds the runs that may be the cause, and Ran bounds how long they had lasted.
	Suspects               []RunID
	Ran                    time.Duration
	Uncertain, Unconfirmed bool
	// Presumed reports that only the silence of the worker suggests the crash.
	Presumed bool
}

const (
	// crashesToGiveUp is the number of workers that must have crashed under a task before
	// its job may be given up.
	crashesToGiveUp = 2
	// certainCrashes is the number from which on a task that ran alone at two of them is to
	// blame even if another cause was likely.
	certainCrashes = 3
	// maxCrashes is the number of crashes just after confirmed starts from which on a task is
	// to blame even if it ran beside others. A task that ran alone at two of them needs no
	// confirmed starts.
	maxCrashes = 4
	// maxUnconfirmedCrashes is the same for runs that were not confirmed, and beside others.
	maxUnconfirmedCrashes = 5
	// maxLateCrashes is the same for runs that were alone and older than StartPhase.
	maxLateCrashes = 5
	// maxCrashRecords bounds the crashes that are kept of a task.
	maxCrashRecords = 6
)

// applyCrash records a crash with the tasks of the suspected runs. It gives up the jobs of
// tasks that are to blame. A crash that is reported again has no effect, unless it was only
// presumed before.
func (s *State) applyCrash(c *WorkerCrash, now time.Time) {
	tasks := make([]TaskID, 0, len(c.Suspects))
	for _, id := range c.Suspects {
		tasks = append(tasks, id.Task)
		t, j := s.Task(id.Task)
		r := s.FindRun(id)
		if r == nil || j.Status.Ended() || t.Done || r.Worker != c.Worker || r.Incarnation != c.Incarnation {
			continue
		}
		crash := Crash{Worker: c.Worker, Incarnation: c.Incarnation, Instance: c.Instance, Ran: c.Ran, Alone: s.runsAlone(c.Worker, j), Uncertain: c.Uncertain, Unconfirmed: c.Unconfirmed, Presumed: c.Presumed}
		if !c.Presumed {
			s.removeCrashes(id.Task, t, func(known *Crash) bool { return known.Presumed && known.worker() == crash.worker() })
		}
		if t.crashedOn(c) {
			continue
		}
		s.addCrash(id.Task, t, crash)
		s.suspectAfter(&crash, t, j)
	}
	s.giveUp(tasks, now)
}

// addCrash adds a crash to those of a task. If there are too many, the oldest one is removed,
// of those that are only presumed if there are such.
func (s *State) addCrash(id TaskID, t *Task, crash Crash) {
	t.Crashes = append(t.Crashes, crash)
	s.indexPresumed(id, &crash)
	if len(t.Crashes) <= maxCrashRecords {
		return
	}
	oldest := max(slices.IndexFunc(t.Crashes, func(c Crash) bool { return c.Presumed }), 0)
	s.unindexPresumed(id, &t.Crashes[oldest])
	t.Crashes = slices.Delete(t.Crashes, oldest, oldest+1)
}

// suspectAfter makes a task a suspect if a crash that has been recorded is reason enough.
func (s *State) suspectAfter(c *Crash, t *Task, j *Job) {
	if !c.Presumed && (c.Ran > 0 && !c.Uncertain || len(t.provenCrashes()) >= crashesToGiveUp) {
		s.setSuspect(t, j, true)
	}
}

// giveUp ends the jobs of those of the tasks that are to blame. All crashes are counted before
// the first job is given up, because that job's runs no longer count as the work of others.
func (s *State) giveUp(tasks []TaskID, now time.Time) {
	for _, id := range tasks {
		if t, j := s.Task(id); t != nil && !j.Status.Ended() && t.toBlame() {
			j.CrashedTask, j.CrashedWorkers = s.mostCrashes(tasks, j)
			s.endJob(j, Failed, now)
		}
	}
}

// mostCrashes returns the task of a job with the most crashes, and the workers that crashed
// under it.
func (s *State) mostCrashes(tasks []TaskID, j *Job) (worst *TaskID, workers []string) {
	for _, id := range tasks {
		if t, other := s.Task(id); t != nil && other == j && len(t.provenCrashes()) > len(workers) {
			worst, workers = &id, t.crashedWorkers()
		}
	}
	return worst, workers
}

// provenCrashes returns the crashes of a task that are not only presumed.
func (t *Task) provenCrashes() []Crash {
	if !slices.ContainsFunc(t.Crashes, func(c Crash) bool { return c.Presumed }) {
		return t.Crashes
	}
	return slices.DeleteFunc(slices.Clone(t.Crashes), func(c Crash) bool { return c.Presumed })
}

func (t *Task) crashedOn(c *WorkerCrash) bool {
	return slices.ContainsFunc(t.Crashes, func(known Crash) bool { return known.Worker == c.Worker && known.Incarnation == c.Incarnation })
}

// runsAlone reports whether all runs on a worker belong to a job.
func (s *State) runsAlone(worker string, j *Job) bool {
	for _, other := range s.RunsOn(worker) {
		if other != j {
			return false
		}
	}
	return true
}

// toBlame reports whether a task's crashes show that it crashes its workers. Crashes that are
// only presumed show nothing: workers that are out of reach run on. Crashes on one
// instance count once, because the instance may be the cause. A worker that crashes by itself
// seldom does so just after a start: if that is not known, the task must have been alone
// twice.
func (t *Task) toBlame() bool {
	instances, atStart, confirmed, alone, aloneLate := map[string]bool{}, 0, 0, 0, 0
	proven := t.provenCrashes()
	for _, c := range proven {
		if c.Ran > 0 {
			atStart++
		}
		switch {
		case c.Alone && c.Ran > 0:
			alone++
		case c.Alone && !c.Uncertain:
			aloneLate++
		}
		if c.Unconfirmed {
			continue
		}
		instances[cmp.Or(c.Instance, c.Worker)] = true
		if c.Ran > 0 {
			confirmed++
		}
	}
	crashes := len(proven)
	if crashes == 0 {
		return false
	}
	last := proven[crashes-1]
	several := len(instances) >= crashesToGiveUp
	switch {
	case several && last.Alone && last.justStarted() && !last.Uncertain && !last.Unconfirmed,
		several && last.Ran > 0 && alone >= crashesToGiveUp && crashes >= certainCrashes,
		confirmed >= maxCrashes, atStart >= maxUnconfirmedCrashes,
		last.Ran > 0 && alone >= crashesToGiveUp && crashes >= maxCrashes,
		aloneLate >= maxLateCrashes:
		return true
	}
	return false
}

// justStarted reports whether the run is known to have ended long before StartPhase.
func (c *Crash) justStarted() bool { return c.Ran > 0 && c.Ran < StartPhase }

func (t *Task) crashedWorkers() []string {
	var workers []string
	for _, c := range t.provenCrashes() {
		workers = append(workers, c.Worker)
	}
	return workers
}

// CrashedOn reports whether a worker, or an earlier one on its instance, crashed under the
// task. instance is empty if it isn't known.
func (t *Task) CrashedOn(worker, instance string) bool {
	return slices.ContainsFunc(t.Crashes, func(c Crash) bool { return c.Worker == worker || instance != "" && c.Instance == instance })
}

// StartPhase is the time after its start in which a run that crashes its worker is told
// apart from runs that only were on the worker.
const StartPhase = 500 * time.Millisecond

const (
	// minTrial is how long a run of a suspect must at least last.
	minTrial = 150 * time.Millisecond
	// lateTrial is the same if two workers crashed under runs older than StartPhase. It
	// doubles with each further crash up to maxTrial.
	lateTrial = 2 * time.Second
	maxTrial  = 8 * time.Second
)

// Trial returns how long a run must last to end the suspicion against the task: longer than
// those runs under which workers crashed.
func (t *Task) Trial() time.Duration {
	trial, late := minTrial, 0
	for _, c := range t.provenCrashes() {
		trial = max(trial, c.Ran)
		if c.Ran == 0 {
			late++
		}
	}
	if late >= crashesToGiveUp {
		trial = max(trial, min(lateTrial<<(late-crashesToGiveUp), maxTrial))
	}
	return trial
}

// applyAcquittal ends the suspicion against a task whose run has outlasted its trial. The
// crashes at the start of its runs had another cause. Crashes of older runs are kept: the
// task may crash its workers later than at its start.
func (s *State) applyAcquittal(id RunID) {
	t, j := s.Task(id.Task)
	if t == nil || s.FindRun(id) == nil {
		return
	}
	s.acquit(id.Task, t, j)
}

func (s *State) acquit(id TaskID, t *Task, j *Job) {
	if len(t.Crashes) == 0 {
		return
	}
	s.removeCrashes(id, t, func(c *Crash) bool { return c.Ran > 0 })
	for i := range t.Crashes {
		t.Crashes[i].Alone = false
	}
	s.setSuspect(t, j, false)
}

// setSuspect changes whether a task is a suspect, and the counters that depend on it.
func (s *State) setSuspect(t *Task, j *Job, suspect bool) {
	if t.Suspect == suspect {
		return
	}
	n := 1
	if !suspect {
		n = -1
	}
	t.Suspect = suspect
	s.countSuspects(j, n)
	for _, r := range t.Runs {
		if u := s.usage[r.Worker]; u != nil {
			u.Suspects += n
		}
	}
}

// countSuspects adds n, which may be negative, to the suspects of a job that has not ended.
func (s *State) countSuspects(j *Job, n int) {
	j.suspects += n
	if !j.Status.Ended() {
		s.suspects += n
	}
}

// Suspects returns the number of tasks of open jobs that are suspected of crashing their
// workers.
func (s *State) Suspects() int { return s.suspects }

// Suspected reports whether a task of the job is suspected of crashing its workers. Its
// tasks then start only on workers without other jobs.
func (j *Job) Suspected() bool { return j.suspects > 0 }

// closedTo reports whether a worker has a run of a suspect of another job than j, so that
// no task of j may start on it.
func (s *State) closedTo(worker string, j *Job) bool {
	u := s.usage[worker]
	if u == nil || u.Suspects == 0 {
		return false
	}
	for id, other := range u.Runs {
		if t, _ := s.Task(id.Task); other != j && t != nil && t.Suspect {
			return true
		}
	}
	return false
}
