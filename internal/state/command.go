package state

import (
	"time"

	"cactusspar/internal/workload"
)

// Session identifies a command of a client, so that a resent command returns the
// result of the first attempt. The result of a command without a client is not
// stored.
type Session struct {
	Client   string `msgpack:"c,omitempty" json:"client"`
	Sequence uint64 `msgpack:"s,omitempty" json:"sequence"`
}

// Command is an entry of the replicated log. Exactly one of its pointer fields is
// set.
type Command struct {
	Session Session `msgpack:"s"`
	// Time is the leader's clock reading when it proposed the command.
	Time time.Time `msgpack:"t"`

	ApplyRules      *ApplyRules      `msgpack:"ar,omitempty"`
	GiveKey         *GiveKey         `msgpack:"gk,omitempty"`
	WithdrawKey     *WithdrawKey     `msgpack:"wk,omitempty"`
	RegisterEntry   *RegisterEntry   `msgpack:"re,omitempty"`
	ExpireEntry     *ExpireEntry     `msgpack:"ee,omitempty"`
	AssignPools     *AssignPools     `msgpack:"ap,omitempty"`
	SetGrants       *SetGrants       `msgpack:"sg,omitempty"`
	UpsertInstances *UpsertInstances `msgpack:"ui,omitempty"`
	MoveInstance    *MoveInstance    `msgpack:"mi,omitempty"`
	SetCondition    *SetCondition    `msgpack:"sc,omitempty"`
	ForgetInstances *ForgetInstances `msgpack:"fi,omitempty"`
	StartWave       *StartWave       `msgpack:"sw,omitempty"`
	ControlWave     *ControlWave     `msgpack:"cw,omitempty"`
	SubmitJobs      *SubmitJobs      `msgpack:"sj,omitempty"`
	CancelJobs      *CancelJobs      `msgpack:"cj,omitempty"`
	PlaceTasks      *PlaceTasks      `msgpack:"pt,omitempty"`
	ReportTasks     *ReportTasks     `msgpack:"rt,omitempty"`

	// Workload changes submitted work and the workers that are called directly.
	Workload *workload.Command `msgpack:"wl,omitempty"`
}

// ApplyRules replaces the rules if the version in force is Expected.
type ApplyRules struct {
	Expected uint64 `msgpack:"e"`
	Text     string `msgpack:"t"`
	Author   string `msgpack:"a"`
}

// GiveKey adds an API key for a team.
type GiveKey struct {
	ID   string   `msgpack:"i"`
	Team string   `msgpack:"t"`
	Hash [32]byte `msgpack:"h"`
	By   string   `msgpack:"b"`
}

// WithdrawKey withdraws a key permanently.
type WithdrawKey struct {
	ID string `msgpack:"i"`
	By string `msgpack:"b"`
}

// RegisterEntry adds an entry instance or replaces an older incarnation of it.
type RegisterEntry struct{ Entry Entry }

// ExpireEntry removes an entry instance that has left or whose lease has expired.
type ExpireEntry struct {
	ID          string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// AssignPools assigns pools to dispatchers. An assignment is rejected unless its
// epoch is the committed epoch plus one.
type AssignPools struct {
	Assignments []Assignment `msgpack:"a"`
}

// SetGrants changes the parts of team limits that are leased to dispatchers.
type SetGrants struct {
	Grants []Grant `msgpack:"g"`
}

// UpsertInstances adds instances or updates their inventory. It does not change
// the pool of a known instance; see MoveInstance.
type UpsertInstances struct {
	Instances []Instance `msgpack:"i"`
}

// MoveInstance moves an instance to another pool if its committed pool and epoch
// are From and Epoch.
type MoveInstance struct {
	ID    string `msgpack:"i"`
	From  string `msgpack:"f"`
	To    string `msgpack:"t"`
	Epoch uint64 `msgpack:"e"`
}

// ForgetInstances removes instances that are lost permanently.
type ForgetInstances struct {
	IDs []string `msgpack:"i"`
}

// SetCondition changes the condition of an instance from From to To.
type SetCondition struct {
	ID   string    `msgpack:"i"`
	From Condition `msgpack:"f"`
	To   Condition `msgpack:"t"`
	Wave string    `msgpack:"w,omitempty"`
	By   string    `msgpack:"b,omitempty"`
}

// StartWave starts a maintenance wave over pools; an empty list means all pools.
// If Instances is not empty, only these instances are maintained.
type StartWave struct {
	ID        string   `msgpack:"i"`
	Pools     []string `msgpack:"p"`
	Instances []string `msgpack:"n,omitempty"`
	By        string   `msgpack:"b"`
}

// ControlWave changes the status of a wave.
type ControlWave struct {
	ID     string     `msgpack:"i"`
	Status WaveStatus `msgpack:"s"`
	Reason string     `msgpack:"r"`
	By     string     `msgpack:"b"`
}

// SubmitJobs adds jobs, which wait until the planner places them.
type SubmitJobs struct {
	Jobs []Job `msgpack:"j"`
}

// CancelJobs cancels waiting and running jobs.
type CancelJobs struct {
	IDs []string `msgpack:"i"`
	By  string   `msgpack:"b"`
}

// PlaceTasks starts and stops tasks as the planner decided, and refuses jobs that
// can never run under the rules in force.
type PlaceTasks struct {
	Start  []Task       `msgpack:"s"`
	Stop   []string     `msgpack:"x"`
	Refuse []JobRefusal `msgpack:"r"`
}

// JobRefusal names a job that can never run, with the reason.
type JobRefusal struct {
	Job    string `msgpack:"j"`
	Reason string `msgpack:"r"`
}

// ReportTasks records the state of tasks as reported by the platform.
type ReportTasks struct {
	Reports []TaskReport `msgpack:"r"`
}

// Result is the result of a command. It is the same on every replica and for
// every resend.
type Result struct {
	Index   uint64 `msgpack:"i" json:"index"`
	Version uint64 `msgpack:"v,omitempty" json:"version,omitempty"`
	Err     *Error `msgpack:"e,omitempty" json:"error,omitempty"`
}

// Code classifies the rejection of a command.
type Code string

// Codes of rejected commands.
const (
	CodeInvalid   Code = "invalid"
	CodeConflict  Code = "conflict"
	CodeNotFound  Code = "not-found"
	CodeBudget    Code = "budget"
	CodeInvariant Code = "invariant"
	CodeStale     Code = "stale"
)

// Error describes why a command was rejected.
type Error struct {
	Code Code   `msgpack:"c" json:"code"`
	Text string `msgpack:"t" json:"text"`
}

// Error returns the text of the rejection.
func (e *Error) Error() string { return e.Text }
