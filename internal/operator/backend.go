// Package operator is the administration interface: HTTP with JSON bodies, the
// server side for control replicas and the client for the command line.
package operator

import (
	"context"
	"errors"

	"cactusspar/internal/state"
)

// Backend is what the server side needs of a control replica.
type Backend interface {
	// Propose commits a command and returns its result. An error that is
	// ErrUnknownOutcome leaves open whether the command was committed; the
	// caller may resend it with the same session.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// Read runs f on the state after confirming leadership. f must not keep
	// references into the state and must not block.
	Read(ctx context.Context, f func(*state.State)) error
	// Status describes the replica itself; it needs no leadership.
	Status() Status
	// AddReplica adds a replica as a learner that gets a vote once it has
	// caught up. RemoveReplica removes one.
	AddReplica(ctx context.Context, name, addr string) error
	RemoveReplica(ctx context.Context, name string) error
}

// ErrUnknownOutcome reports that the outcome of a command is not known.
var ErrUnknownOutcome = errors.New("outcome unknown: resend with the same session")

// NotLeaderError names the leader's administration address, if known.
type NotLeaderError struct{ Leader string }

// Error names the leader.
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

// ReplicaStatus describes a replica as the asked one knows it.
type ReplicaStatus struct {
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	Voter bool   `json:"voter"`
	// Match is the highest index known to be synced there; only on the leader.
	Match uint64 `json:"match"`
}
