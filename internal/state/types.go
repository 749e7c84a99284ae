package state

import "time"

// Config is one version of the rules that operators apply.
type Config struct {
	Version uint64    `msgpack:"v" json:"version"`
	Text    string    `msgpack:"t" json:"text"`
	Author  string    `msgpack:"a" json:"author"`
	At      time.Time `msgpack:"at" json:"at"`
	Index   uint64    `msgpack:"x" json:"index"`
}

// Key is an API key of a team. Only the hash of its secret is stored.
type Key struct {
	ID          string    `msgpack:"i" json:"id"`
	Team        string    `msgpack:"t" json:"team"`
	Hash        [32]byte  `msgpack:"h" json:"-"`
	GivenAt     time.Time `msgpack:"g" json:"given_at"`
	GivenBy     string    `msgpack:"gb" json:"given_by"`
	WithdrawnAt time.Time `msgpack:"w" json:"withdrawn_at"`
	WithdrawnBy string    `msgpack:"wb" json:"withdrawn_by"`
	Index       uint64    `msgpack:"x" json:"index"`
}

// Withdrawn reports whether the key has been withdrawn.
func (k *Key) Withdrawn() bool { return !k.WithdrawnAt.IsZero() }

// Entry is a registered entry instance.
type Entry struct {
	ID          string `msgpack:"i" json:"id"`
	Incarnation uint64 `msgpack:"n" json:"incarnation"`
	PeerAddr    string `msgpack:"p" json:"peer_addr"`
	CallerAddr  string `msgpack:"c" json:"caller_addr"`
	DataCentre  string `msgpack:"d" json:"data_centre"`
	Region      string `msgpack:"r" json:"region"`
	Index       uint64 `msgpack:"x" json:"index"`
}

// Assignment names the dispatcher of a pool and its backup.
type Assignment struct {
	Pool       string `msgpack:"p" json:"pool"`
	Epoch      uint64 `msgpack:"e" json:"epoch"`
	Dispatcher string `msgpack:"d" json:"dispatcher"`
	Backup     string `msgpack:"b" json:"backup"`
	// Previous is the dispatcher of the preceding epoch, which may still hold
	// idempotency records.
	Previous string `msgpack:"v" json:"previous"`
	// Since is the first epoch of the unbroken sequence in which the same
	// incarnation of the dispatcher has been assigned the pool.
	Since uint64 `msgpack:"si" json:"since"`
	// Orphaned is set while idempotency records may be missing because neither
	// the previous dispatcher nor its backup was left to hand them over.
	Orphaned bool `msgpack:"o" json:"orphaned"`
	// OrphanedUntil is when the last of the lost records would have expired.
	OrphanedUntil time.Time `msgpack:"u" json:"orphaned_until"`
	Index         uint64    `msgpack:"x" json:"index"`
}

// Grant is the part of a team's upper limit that a dispatcher may use for a pool.
type Grant struct {
	Team   string `msgpack:"t" json:"team"`
	Pool   string `msgpack:"p" json:"pool"`
	Epoch  uint64 `msgpack:"e" json:"epoch"` // of the pool's assignment
	Amount int    `msgpack:"a" json:"amount"`
	// Held is what counts against the limit: at least Amount, and more until the
	// holder has returned the rest of an earlier, larger amount.
	Held int `msgpack:"h" json:"held"`
	// Holder and Incarnation identify the process that received the grant. Only
	// that process knows which work still runs under it.
	Holder      string `msgpack:"o" json:"holder"`
	Incarnation uint64 `msgpack:"n" json:"incarnation"`
	Index       uint64 `msgpack:"x" json:"index"`
}

// Condition is the operational condition of an instance. Only an active
// instance may be given new work.
type Condition string

// Conditions of an instance.
const (
	Active    Condition = "active"
	Draining  Condition = "draining"
	Drained   Condition = "drained"
	Rebooting Condition = "rebooting"
	Lost      Condition = "lost"
)

// Instance is a worker instance. It belongs to exactly one pool.
type Instance struct {
	ID             string    `msgpack:"i" json:"id"`
	Pool           string    `msgpack:"p" json:"pool"`
	PoolEpoch      uint64    `msgpack:"e" json:"pool_epoch"`
	DataCentre     string    `msgpack:"d" json:"data_centre"`
	Rack           string    `msgpack:"k" json:"rack"`
	Region         string    `msgpack:"r" json:"region"`
	Resources      Resources `msgpack:"s" json:"resources"`
	Slots          int       `msgpack:"l" json:"slots"`
	Condition      Condition `msgpack:"c" json:"condition"`
	ConditionSince time.Time `msgpack:"cs" json:"condition_since"`
	LastMaintained time.Time `msgpack:"m" json:"last_maintained"`
	// HomePool is the pool to which a lent instance returns; empty if it is not lent.
	HomePool string `msgpack:"h" json:"home_pool"`
	Wave     string `msgpack:"w" json:"wave"`
	Index    uint64 `msgpack:"x" json:"index"`
}

// WaveStatus is the status of a maintenance wave.
type WaveStatus string

// Statuses of a wave.
const (
	WaveRunning WaveStatus = "running"
	WavePaused  WaveStatus = "paused"
	WaveStopped WaveStatus = "stopped"
	WaveDone    WaveStatus = "done"
)

// Wave is a maintenance wave: one round of maintenance over instances of pools.
type Wave struct {
	ID        string     `msgpack:"i" json:"id"`
	Pools     []string   `msgpack:"p" json:"pools"`
	Status    WaveStatus `msgpack:"s" json:"status"`
	Reason    string     `msgpack:"r" json:"reason"`
	StartedAt time.Time  `msgpack:"a" json:"started_at"`
	EndedAt   time.Time  `msgpack:"e" json:"ended_at"`
	By        string     `msgpack:"b" json:"by"`
	// Todo holds the instances that the wave has yet to maintain.
	Todo  []string `msgpack:"t" json:"todo"`
	Done  []string `msgpack:"d" json:"done"`
	Index uint64   `msgpack:"x" json:"index"`
}

// JobKind selects how a job is scheduled.
type JobKind string

// Kinds of jobs.
const (
	Batch     JobKind = "batch"
	Urgent    JobKind = "urgent"
	Workspace JobKind = "workspace"
)

// JobStatus is the status of a job.
type JobStatus string

// Statuses of a job.
const (
	JobWaiting   JobStatus = "waiting"
	JobRunning   JobStatus = "running"
	JobDone      JobStatus = "done"
	JobFailed    JobStatus = "failed"
	JobCancelled JobStatus = "cancelled"
	JobRefused   JobStatus = "refused" // can never run under the rules in force
)

// Job is work that a team asks a pool to run once.
type Job struct {
	ID          string        `msgpack:"i" json:"id"`
	Team        string        `msgpack:"t" json:"team"`
	Pool        string        `msgpack:"p" json:"pool"`
	Kind        JobKind       `msgpack:"k" json:"kind"`
	Priority    int           `msgpack:"y" json:"priority"`
	Declared    Resources     `msgpack:"d" json:"declared"`
	DeclaredRun time.Duration `msgpack:"r" json:"declared_run"`
	Status      JobStatus     `msgpack:"s" json:"status"`
	Reason      string        `msgpack:"n" json:"reason"`
	SubmittedAt time.Time     `msgpack:"a" json:"submitted_at"`
	// Failures is the number of failed tasks of the job.
	Failures int `msgpack:"f" json:"failures"`
	// FailedOn is the instance on which the last failed task ran.
	FailedOn string `msgpack:"fo" json:"failed_on,omitempty"`
	Index    uint64 `msgpack:"x" json:"index"`
}

// TaskStatus is the status of a task.
type TaskStatus string

// Statuses of a task.
const (
	TaskStarting TaskStatus = "starting"
	TaskRunning  TaskStatus = "running"
	TaskStopping TaskStatus = "stopping"
	TaskEnded    TaskStatus = "ended"
)

// Task is one run of a job on an instance under a lease.
type Task struct {
	ID        string     `msgpack:"i" json:"id"`
	Job       string     `msgpack:"j" json:"job"`
	Instance  string     `msgpack:"n" json:"instance"`
	PoolEpoch uint64     `msgpack:"e" json:"pool_epoch"`
	Reserved  Resources  `msgpack:"r" json:"reserved"`
	Used      Resources  `msgpack:"u" json:"used"`
	Status    TaskStatus `msgpack:"s" json:"status"`
	StartedAt time.Time  `msgpack:"a" json:"started_at"`
	LeaseEnds time.Time  `msgpack:"l" json:"lease_ends"`
	// Failed is set if the task ended with a failure.
	Failed bool   `msgpack:"f" json:"failed"`
	Index  uint64 `msgpack:"x" json:"index"`
}

// TaskReport is the state of a task as reported by the platform.
type TaskReport struct {
	Task      string     `msgpack:"i" json:"task"`
	Status    TaskStatus `msgpack:"s" json:"status"`
	Failed    bool       `msgpack:"f" json:"failed"`
	Used      Resources  `msgpack:"u" json:"used"`
	LeaseEnds time.Time  `msgpack:"l" json:"lease_ends"`
}
