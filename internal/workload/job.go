package workload

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cactusspar/internal/resources"
)

// Limits of a job. With them, a submission fits into one log entry, and the planner
// handles it in one pass.
const (
	maxSteps         = 64
	maxTasks         = 20_000
	maxSpecBytes     = 4_000
	maxOccurrences   = 10_000
	maxConstraintLen = 256
)

// Job is work that a team asks a queue to run.
type Job struct {
	ID    string `msgpack:"i"`
	Queue string `msgpack:"q"`
	// Team is empty for a call without a key on a public queue.
	Team  string `msgpack:"t"`
	Spec  string `msgpack:"s"`
	Steps []Step `msgpack:"p"`
	// OccurrenceCount is the number of occurrences of a scheduled job; 0 means that
	// the steps run once, immediately.
	OccurrenceCount int           `msgpack:"n"`
	FirstAt         time.Time     `msgpack:"f"`
	Period          time.Duration `msgpack:"d"`

	// SubmitDelay is how long the caller had been trying to submit the job. It counts
	// against the time in which the job has to be done.
	SubmitDelay time.Duration `msgpack:"w"`

	// The fields below are set by the state machine.

	Accepted time.Time `msgpack:"a"`
	Status   Status    `msgpack:"u"`
	EndedAt  time.Time `msgpack:"e"`
	// Started reports that a task has been started.
	Started     bool         `msgpack:"b"`
	Occurrences []Occurrence `msgpack:"o"`
	// CrashedTask is the task for which the job was given up because it crashes its workers,
	// CrashedWorkers the workers that crashed under it.
	CrashedTask    *TaskID  `msgpack:"x,omitempty"`
	CrashedWorkers []string `msgpack:"y,omitempty"`

	suspects   int // tasks that are suspected of crashing their workers
	activeRuns int // runs of all occurrences that may still be executing
}

// Step is a set of equal tasks.
type Step struct {
	Count     int              `msgpack:"c"`
	Resources resources.Amount `msgpack:"n"`
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration `msgpack:"e"`
	// DependsOn lists the earlier steps whose tasks must all be done first.
	DependsOn []int `msgpack:"a"`
	// Checkpointable reports that the tasks save their progress.
	Checkpointable bool `msgpack:"k"`
	// Gang reports that the tasks make progress only while all of them run.
	Gang bool `msgpack:"g"`
	// SameRack reports that a gang is slower if it spans racks.
	SameRack bool `msgpack:"r"`
	// Label must be one of the worker's labels. Empty means that any worker may run
	// the tasks.
	Label string `msgpack:"l"`
	// DataRack is the rack that holds the data of the tasks.
	DataRack string `msgpack:"d"`
	// MaxPerWorker limits the tasks of an occurrence on one worker; 0 means no limit.
	MaxPerWorker int `msgpack:"m"`
	// Speculative reports that a task may have several runs in parallel.
	Speculative bool `msgpack:"s"`
	// LongRunning reports that the tasks run until the job is cancelled and are
	// restarted whatever the outcome of a run.
	LongRunning bool `msgpack:"o"`
	// Image names the program that the tasks run. Tasks of one image behave alike.
	Image string `msgpack:"i"`
	// TailLatencyTarget is the target for the tail latency of a task; 0 means no
	// target.
	TailLatencyTarget time.Duration `msgpack:"t"`
	// BestEffort marks best-effort tasks: they use the processors that other tasks
	// leave unused.
	BestEffort bool `msgpack:"f"`
	// MaxUnavailable limits the tasks that are unavailable at a time because of
	// planned stops. A nil pointer means no limit.
	MaxUnavailable *int `msgpack:"u"`
}

// Status is the state of a job.
type Status string

// Statuses of a job.
const (
	Queued    Status = "queued"
	Active    Status = "active"
	Completed Status = "completed"
	Failed    Status = "failed"
	Cancelled Status = "cancelled"
)

// Ended reports whether the status is final: no task of the job starts any more.
func (s Status) Ended() bool { return s != Queued && s != Active }

// Occurrence is one execution of the steps of a job.
type Occurrence struct {
	// Due is the earliest time at which its tasks may start.
	Due   time.Time  `msgpack:"d"`
	Done  bool       `msgpack:"o"`
	Steps []Progress `msgpack:"s"`
}

// Progress is the progress of the tasks of a step.
type Progress struct {
	Tasks []Task `msgpack:"t"`
	// Failures is the number of failures of a gang as a whole.
	Failures int `msgpack:"f"`

	done    int // tasks that are done
	waiting int // tasks that are neither done nor have a run
}

// Waiting returns the number of tasks that are neither done nor have a run.
func (p *Progress) Waiting() int { return p.waiting }

// Done returns the number of tasks that are done.
func (p *Progress) Done() int { return p.done }

// Task is one of a step's tasks.
type Task struct {
	Done bool `msgpack:"d"`
	// LastRun is the highest run number assigned.
	LastRun  int `msgpack:"l"`
	Failures int `msgpack:"f"`
	// FailedRuns holds the numbers of the runs whose failure was counted. A run that was
	// given up may report its failure after a later one has.
	FailedRuns []int `msgpack:"m,omitempty"`
	// Checkpoint is the last saved checkpoint; empty means none.
	Checkpoint string `msgpack:"k"`
	Runs       []Run  `msgpack:"r"`
	// Crashes holds the workers that crashed under the task, as far as it may be the cause.
	Crashes []Crash `msgpack:"c,omitempty"`
	// Suspect reports that the task may have crashed a worker. It then runs on workers
	// without other jobs until a run has outlasted its trial.
	Suspect bool `msgpack:"x,omitempty"`
}

// Run is an execution of a task on a worker. It may still be executing.
type Run struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Number int
	Worker string
	// Incarnation is the incarnation of the worker for which the run was ordered.
	Incarnation int64
	// Since is when the run was committed.
	Since time.Time
}

// TaskID identifies a task.
type TaskID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns a short form for logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// RunID identifies a run.
type RunID struct {
	Task   TaskID
	Number int
}

// Check validates a submitted job.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > maxSpecBytes:
		return fmt.Errorf("spec has %d bytes, at most %d are allowed", len(j.Spec), maxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return fmt.Errorf("job has %d steps, expected 1 to %d", len(j.Steps), maxSteps)
	case j.OccurrenceCount < 0 || j.OccurrenceCount > maxOccurrences:
		return fmt.Errorf("job has %d occurrences, expected 0 to %d", j.OccurrenceCount, maxOccurrences)
	case j.OccurrenceCount > 0 && j.Period < 0:
		return fmt.Errorf("period of %s is negative", j.Period)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += j.Steps[i].Count
	}
	if tasks > maxTasks {
		return fmt.Errorf("job has %d tasks, at most %d are allowed", tasks, maxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	switch {
	case s.Count < 1 || s.Count > maxTasks:
		return fmt.Errorf("count is %d, expected 1 to %d", s.Count, maxTasks)
	case s.Resources.Negative():
		return fmt.Errorf("a resource is negative")
	case s.Estimate < 0 || s.TailLatencyTarget < 0:
		return fmt.Errorf("a time is negative")
	case s.MaxPerWorker < 0:
		return fmt.Errorf("the bound of tasks on one worker is negative")
	case len(s.Label) > maxConstraintLen || len(s.DataRack) > maxConstraintLen || len(s.Image) > maxConstraintLen:
		return fmt.Errorf("a name has more than %d bytes", maxConstraintLen)
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return fmt.Errorf("it follows step %d, expected an earlier step", dependency)
		}
	}
	return nil
}

// totalOccurrences returns the number of times that the steps run.
func (j *Job) totalOccurrences() int { return max(j.OccurrenceCount, 1) }

// eachTask calls f with each task of the job's occurrences.
func (j *Job) eachTask(f func(TaskID, *Task)) {
	for o := range j.Occurrences {
		for p := range j.Occurrences[o].Steps {
			tasks := j.Occurrences[o].Steps[p].Tasks
			for i := range tasks {
				f(TaskID{Job: j.ID, Occurrence: o, Step: p, Index: i}, &tasks[i])
			}
		}
	}
}

// DueAt returns the earliest time at which an occurrence may start.
func (j *Job) DueAt(occurrence int) time.Time {
	if j.OccurrenceCount == 0 {
		return j.Accepted.Add(-j.SubmitDelay)
	}
	return j.FirstAt.Add(time.Duration(occurrence) * j.Period)
}

// AccessibleTo reports whether a call may see and cancel the job. A job belongs to its team;
// calls to a public queue need no key, and a job without a team has no owner. q is the queue of
// the call, or nil if it was removed since.
func (j *Job) AccessibleTo(q *Queue, team string) bool {
	return j.Team == "" || j.Team == team || q != nil && q.Public && q.Name == j.Queue
}

// HasActiveRuns reports whether a run of the job may still be executing.
func (j *Job) HasActiveRuns() bool { return j.activeRuns > 0 }

// LongRunning reports whether the job has tasks that run until it is cancelled.
func (j *Job) LongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// StepReady reports whether the steps on which a step depends are done.
func (j *Job) StepReady(occurrence, step int) bool {
	o := &j.Occurrences[occurrence]
	for _, dependency := range j.Steps[step].DependsOn {
		if o.Steps[dependency].done < len(o.Steps[dependency].Tasks) {
			return false
		}
	}
	return true
}

// jobIDLength is the length of a job ID in hexadecimal digits.
const jobIDLength = 16

// ValidJobID reports whether id is a job ID: 16 lower-case hexadecimal digits.
func ValidJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
