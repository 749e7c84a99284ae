// Package operator implements the administration interface, HTTP with JSON bodies:
// the server of the control replicas and the client of the command line.
package operator

import (
	"context"
	"errors"

	"cactusspar/internal/state"
)

// Backend is the control replica as the server uses it.
type Backend interface {
	// Propose commits a command and returns its result. After ErrUnknownOutcome
	// the command may or may not have been committed; the caller may resend it
	// with the same session.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// Read runs f on the state after confirming leadership. f must not retain
	// references into the state and must not block.
	Read(ctx context.Context, f func(*state.State)) error
	// Status describes the replica itself. It does not require leadership.
	Status() Status
	// AddReplica adds a replica as a learner and promotes it to a voter once it
	// has caught up. RemoveReplica removes a replica.
	AddReplica(ctx context.Context, name, addr string) error
	RemoveReplica(ctx context.Context, name string) error
}

// ErrUnknownOutcome reports that a command may or may not have been executed.
var ErrUnknownOutcome = errors.New("outcome unknown: resend with the same session")

// NotLeaderError reports that the replica is not the leader. Leader is the leader's
// administration address, or empty if unknown.
type NotLeaderError struct{ Leader string }

// Error returns a message with the leader's address, if known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, and no leader is known"
	}
	return "not the leader; ask " + e.Leader
}

// Status describes a control replica.
type Status struct {
	Name     string          `json:"name"`
	Replica  string          `json:"replica"`
	Role     string          `json:"role"` // leader, follower, candidate or learner
	Term     uint64          `json:"term"`
	Leader   string          `json:"leader"`
	Commit   uint64          `json:"commit"`
	Applied  uint64          `json:"applied"`
	Epoch    uint64          `json:"epoch"`
	Members  []ReplicaStatus `json:"members"`
	Findings []string        `json:"findings,omitempty"`
}

// ReplicaStatus describes a member as seen by the replica that reports its status.
type ReplicaStatus struct {
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	Voter bool   `json:"voter"`
	// Match is the highest log index known to be durable on the member. Only the
	// leader reports it.
	Match uint64 `json:"match"`
}
