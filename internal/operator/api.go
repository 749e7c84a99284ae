package operator

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// Page is one page of a list, ordered by item ID.
type Page[T any] struct {
	Items []T `json:"items"`
	// Next is the value of "after" for the next page; empty on the last page.
	Next string `json:"next,omitempty"`
	// Index is the log index of the state that the page was read from.
	Index uint64 `json:"index"`
}

// VersionInfo describes a version of the rules without its text.
type VersionInfo struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Index   uint64    `json:"index"`
}

// Diff holds the differences between two versions of the rules.
type Diff struct {
	From    uint64         `json:"from"`
	To      uint64         `json:"to"`
	Changes []rules.Change `json:"changes"`
}

// Explanation states who asked for a rule in force and which version last
// changed it.
type Explanation struct {
	Rule rules.Rule `json:"rule"`
	// Since is the version that last changed the rule. If OlderThan is set, Since
	// is the oldest retained version and already contains the rule unchanged.
	Since     VersionInfo `json:"since"`
	OlderThan bool        `json:"older_than,omitempty"`
	Version   uint64      `json:"version"`
}

// ApplyRequest puts new rules in force if Expected is the version in force.
type ApplyRequest struct {
	Session  state.Session `json:"session"`
	Expected uint64        `json:"expected"`
	Text     string        `json:"text"`
}

// Hash is a SHA-256 digest, encoded in hexadecimal in JSON.
type Hash [32]byte

// MarshalJSON writes the hash in hexadecimal.
func (h Hash) MarshalJSON() ([]byte, error) { return json.Marshal(hex.EncodeToString(h[:])) }

// UnmarshalJSON reads the hash in hexadecimal.
func (h *Hash) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return errs.New("expected a SHA-256 in hexadecimal (%d digits)", 2*len(h))
	}
	copy(h[:], b)
	return nil
}

// KeyRequest adds a key for a team. Only the hash of the secret is sent.
type KeyRequest struct {
	Session state.Session `json:"session"`
	ID      string        `json:"id"`
	Team    string        `json:"team"`
	Hash    Hash          `json:"hash"`
}

// SessionRequest is the body of a command that needs only a session.
type SessionRequest struct {
	Session state.Session `json:"session"`
}

// MoveRequest moves an instance to another pool.
type MoveRequest struct {
	Session state.Session `json:"session"`
	To      string        `json:"to"`
}

// WaveRequest starts a maintenance wave. Without Pools the wave covers all pools,
// and without Instances all instances of its pools.
type WaveRequest struct {
	Session   state.Session `json:"session"`
	ID        string        `json:"id"`
	Pools     []string      `json:"pools,omitempty"`
	Instances []string      `json:"instances,omitempty"`
}

// WaveAction is a change of a wave's status.
type WaveAction string

// Actions on a wave.
const (
	PauseWave  WaveAction = "pause"
	ResumeWave WaveAction = "resume"
	StopWave   WaveAction = "stop"
)

// ControlWaveRequest pauses, resumes or stops a wave.
type ControlWaveRequest struct {
	Session state.Session `json:"session"`
	Reason  string        `json:"reason,omitempty"`
}

// JobRequest describes one job to submit.
type JobRequest struct {
	ID       string          `json:"id"`
	Team     string          `json:"team"`
	Pool     string          `json:"pool"`
	Kind     state.JobKind   `json:"kind"`
	Priority int             `json:"priority"`
	Declared state.Resources `json:"declared"`
	// RunSeconds is the declared run time; 0 if unknown.
	RunSeconds float64 `json:"run_seconds"`
}

// SubmitRequest submits jobs.
type SubmitRequest struct {
	Session state.Session `json:"session"`
	Jobs    []JobRequest  `json:"jobs"`
}

// CancelRequest cancels jobs.
type CancelRequest struct {
	Session state.Session `json:"session"`
	IDs     []string      `json:"ids"`
}

// ReplicaRequest adds a control replica.
type ReplicaRequest struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// Team is a team's rule together with its keys and grants.
type Team struct {
	rules.Team
	Keys   []state.Key   `json:"keys"`
	Grants []state.Grant `json:"grants"`
	// Granted is the part of the limit that is granted now or that was granted
	// earlier and is not yet returned.
	Granted int `json:"granted"`
}

// Pool is a pool's rule together with its dispatcher and the number of its
// instances by condition.
type Pool struct {
	rules.Pool
	Spare      bool                    `json:"spare,omitempty"`
	Assignment *state.Assignment       `json:"assignment,omitempty"`
	Conditions map[state.Condition]int `json:"conditions"`
	// Instances holds the IDs of the instances. It is only set when a single pool
	// is requested.
	Instances []string `json:"instances,omitempty"`
}

// Job is a job with its tasks. Tasks is only set when a single job is requested.
type Job struct {
	state.Job
	Tasks []state.Task `json:"tasks,omitempty"`
}
