package workload

import (
	"fmt"
	"slices"
	"time"

	"cactusspar/internal/resources"
)

// Bounds of a job. They keep one submission within a log entry and one pass of
// the planner.
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
	// Times is the number of occurrences of a scheduled job; 0 means that the
	// steps run once, at once.
	Times   int           `msgpack:"n"`
	FirstAt time.Time     `msgpack:"f"`
	Period  time.Duration `msgpack:"d"`

	// Waited is how long the caller had tried when the job was submitted. It counts
	// against the time in which the job has to be done.
	Waited time.Duration `msgpack:"w"`

	// The rest is set by the state machine.

	Accepted time.Time `msgpack:"a"`
	Status   Status    `msgpack:"u"`
	EndedAt  time.Time `msgpack:"e"`
	// Begun tells that a task has been started.
	Begun       bool         `msgpack:"b"`
	Occurrences []Occurrence `msgpack:"o"`

	live int // runs of all occurrences that may still be at work
}

// Step is a number of equal tasks.
type Step struct {
	Count int              `msgpack:"c"`
	Need  resources.Amount `msgpack:"n"`
	// Estimate is the caller's rough guess of a task's run time.
	Estimate time.Duration `msgpack:"e"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `msgpack:"a"`
	// Checkpointable tells that a task saves its progress.
	Checkpointable bool `msgpack:"k"`
	// Gang tells that the tasks work only while all of them are present.
	Gang bool `msgpack:"g"`
	// SameRack tells that a gang is slower on more than one rack.
	SameRack bool `msgpack:"r"`
	// Label must be one of the worker's labels, unless it is empty.
	Label string `msgpack:"l"`
	// DataRack is the rack on which the data is near.
	DataRack string `msgpack:"d"`
	// MaxPerWorker bounds the tasks of an occurrence on one worker; 0 means no bound.
	MaxPerWorker int `msgpack:"m"`
	// Speculative tells that copies of a task may run in parallel.
	Speculative bool `msgpack:"s"`
	// LongRunning tasks run until the job is cancelled and are started again
	// however they end.
	LongRunning bool `msgpack:"o"`
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string `msgpack:"i"`
	// TailTarget bounds the response time that users of a task see; 0 means none.
	TailTarget time.Duration `msgpack:"t"`
	// Fill tells that the tasks use the processors that others leave unused.
	Fill bool `msgpack:"f"`
	// MaxUnavailable bounds the tasks that may be away because of planned stops.
	// A nil pointer means no bound.
	MaxUnavailable *int `msgpack:"u"`
}

// Status is how far a job has come.
type Status string

// Statuses of a job.
const (
	Queued    Status = "queued"
	Active    Status = "active"
	Completed Status = "completed"
	Failed    Status = "failed"
	Cancelled Status = "cancelled"
)

// Ended tells whether nothing of the job starts any more.
func (s Status) Ended() bool { return s != Queued && s != Active }

// Occurrence is one run through the steps of a job.
type Occurrence struct {
	// Due is when its first tasks may start.
	Due   time.Time  `msgpack:"d"`
	Done  bool       `msgpack:"o"`
	Steps []Progress `msgpack:"s"`
}

// Progress is how far the tasks of a step have come.
type Progress struct {
	Tasks []Task `msgpack:"t"`
	// Failures counts the failed runs of a gang as a whole.
	Failures int `msgpack:"f"`

	done    int // tasks that are done
	waiting int // tasks that are neither done nor have a run
}

// Waiting is the number of tasks that are neither done nor have a run.
func (p *Progress) Waiting() int { return p.waiting }

// Done is the number of tasks that are done.
func (p *Progress) Done() int { return p.done }

// Task is one of a step's tasks.
type Task struct {
	Done bool `msgpack:"d"`
	// LastRun is the highest run number given out.
	LastRun  int `msgpack:"l"`
	Failures int `msgpack:"f"`
	// Checkpoint is the last saved progress; empty means none.
	Checkpoint string `msgpack:"k"`
	Runs       []Run  `msgpack:"r"`
}

// Run is a start of a task that may be at work.
type Run struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Number int
	Worker string
	// Born is the life of the worker for which the run was ordered.
	Born int64
	// Since is when the run was committed.
	Since time.Time
}

// TaskID names a task.
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

// RunID names a run.
type RunID struct {
	Task   TaskID
	Number int
}

// Check returns what is wrong with a submitted job.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > maxSpecBytes:
		return fmt.Errorf("spec has %d bytes, at most %d are allowed", len(j.Spec), maxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return fmt.Errorf("job has %d steps, expected 1 to %d", len(j.Steps), maxSteps)
	case j.Times < 0 || j.Times > maxOccurrences:
		return fmt.Errorf("job has %d occurrences, expected 0 to %d", j.Times, maxOccurrences)
	case j.Times > 0 && j.Period < 0:
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
	case s.Need.Negative():
		return fmt.Errorf("a resource is negative")
	case s.Estimate < 0 || s.TailTarget < 0:
		return fmt.Errorf("a time is negative")
	case s.MaxPerWorker < 0:
		return fmt.Errorf("the bound of tasks on one worker is negative")
	case len(s.Label) > maxConstraintLen || len(s.DataRack) > maxConstraintLen || len(s.Image) > maxConstraintLen:
		return fmt.Errorf("a name has more than %d bytes", maxConstraintLen)
	}
	for _, after := range s.After {
		if after < 0 || after >= index {
			return fmt.Errorf("it follows step %d, expected an earlier step", after)
		}
	}
	return nil
}

// occurrences is the number of times that the steps run.
func (j *Job) occurrences() int { return max(j.Times, 1) }

// DueAt returns when an occurrence may start.
func (j *Job) DueAt(occurrence int) time.Time {
	if j.Times == 0 {
		return j.Accepted.Add(-j.Waited)
	}
	return j.FirstAt.Add(time.Duration(occurrence) * j.Period)
}

// Live tells whether a run of the job may still be at work.
func (j *Job) Live() bool { return j.live > 0 }

// LongRunning tells whether tasks of the job run until it is cancelled.
func (j *Job) LongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// StepReady tells whether the steps before a step are done.
func (j *Job) StepReady(occurrence, step int) bool {
	o := &j.Occurrences[occurrence]
	for _, after := range j.Steps[step].After {
		if o.Steps[after].done < len(o.Steps[after].Tasks) {
			return false
		}
	}
	return true
}

// jobIDLength is the length of a job's identity in hexadecimal digits.
const jobIDLength = 16

// ValidJobID tells whether id is a job's identity: 16 lower-case hexadecimal
// digits.
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
