package state

import (
	"time"

	"cactusspar/internal/workload"
)

// Session identifies a command of a client, so that a resent command gets the
// answer of the first one. A command without a client is not remembered.
type Session struct {
	Client   string `msgpack:"c,omitempty" json:"client"`
	Sequence uint64 `msgpack:"s,omitempty" json:"sequence"`
}

// Command is an entry of the replicated log. Exactly one of its pointers is set.
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

	// Workload changes submitted work and workers that are called directly.
	Workload *workload.Command `msgpack:"wl,omitempty"`
}

// ApplyRules replaces the rules if Expected is the version in force.
type ApplyRules struct {
	Expected uint64 `msgpack:"e"`
	Text     string `msgpack:"t"`
	Author   string `msgpack:"a"`
}

// GiveKey adds a key for a team.
type GiveKey struct {
	ID   string   `msgpack:"i"`
	Team string   `msgpack:"t"`
	Hash [32]byte `msgpack:"h"`
	By   string   `msgpack:"b"`
}

// WithdrawKey withdraws a key for good.
type WithdrawKey struct {
	ID string `msgpack:"i"`
	By string `msgpack:"b"`
}

// RegisterEntry adds an entry instance or replaces an older incarnation of it.
type RegisterEntry struct{ Entry Entry }

// ExpireEntry removes an entry instance that left or whose lease ended.
type ExpireEntry struct {
	ID          string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// AssignPools gives pools to dispatchers. An assignment whose epoch is not one
// above the committed one is rejected.
type AssignPools struct {
	Assignments []Assignment `msgpack:"a"`
}

// SetGrants changes the parts of team limits leased to dispatchers.
type SetGrants struct {
	Grants []Grant `msgpack:"g"`
}

// UpsertInstances adds instances or updates their inventory. The pool of a
// known instance is not changed by it; see MoveInstance.
type UpsertInstances struct {
	Instances []Instance `msgpack:"i"`
}

// MoveInstance gives an instance to another pool, from a known epoch.
type MoveInstance struct {
	ID    string `msgpack:"i"`
	From  string `msgpack:"f"`
	To    string `msgpack:"t"`
	Epoch uint64 `msgpack:"e"`
}

// ForgetInstances removes instances that are lost for good.
type ForgetInstances struct {
	IDs []string `msgpack:"i"`
}

// SetCondition changes the condition of an instance, from a known one.
type SetCondition struct {
	ID   string    `msgpack:"i"`
	From Condition `msgpack:"f"`
	To   Condition `msgpack:"t"`
	Wave string    `msgpack:"w,omitempty"`
	By   string    `msgpack:"b,omitempty"`
}

// StartWave starts a maintenance wave over pools; no pools means all. If
// instances are named, only these are maintained.
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

// SubmitJobs adds jobs.
type SubmitJobs struct {
	Jobs []Job `msgpack:"j"`
}

// CancelJobs cancels jobs.
type CancelJobs struct {
	IDs []string `msgpack:"i"`
	By  string   `msgpack:"b"`
}

// PlaceTasks starts and stops tasks as planned, and refuses jobs that can never
// run.
type PlaceTasks struct {
	Start  []Task       `msgpack:"s"`
	Stop   []string     `msgpack:"x"`
	Refuse []JobRefusal `msgpack:"r"`
}

// JobRefusal is a job that can never run, with the reason.
type JobRefusal struct {
	Job    string `msgpack:"j"`
	Reason string `msgpack:"r"`
}

// ReportTasks records what the platform reported of tasks.
type ReportTasks struct {
	Reports []TaskReport `msgpack:"r"`
}

// Result is the answer to a command. It is the same on every replica and for
// every resend.
type Result struct {
	Index   uint64 `msgpack:"i" json:"index"`
	Version uint64 `msgpack:"v,omitempty" json:"version,omitempty"`
	Err     *Error `msgpack:"e,omitempty" json:"error,omitempty"`
}

// Code classifies a rejected command.
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

// Error says why a command was rejected. A rejected command changes nothing.
type Error struct {
	Code Code   `msgpack:"c" json:"code"`
	Text string `msgpack:"t" json:"text"`
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }
