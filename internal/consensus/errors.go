package consensus

import (
	"errors"
	"fmt"
)

// Errors that callers can handle.
var (
	// ErrNotLeader reports that an operation is possible on the leader only.
	ErrNotLeader = errors.New("replica is not the leader")
	// ErrTransferring reports that a leadership transfer is in progress.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrTooManyUncommitted reports that the limit of uncommitted bytes is reached.
	ErrTooManyUncommitted = errors.New("too many uncommitted bytes")
	// ErrTooLarge reports a command larger than Config.MaxCommandBytes.
	ErrTooLarge = errors.New("command is too large")
	// ErrChangePending reports that an earlier membership change, or the first
	// entry of the leader's term, is not committed yet.
	ErrChangePending = errors.New("an earlier membership change is not committed")
	// ErrNotCaughtUp reports that a learner lacks entries that were committed
	// when its promotion was first requested.
	ErrNotCaughtUp = errors.New("learner has not caught up")
	// ErrNameTaken reports that the leader is in contact with another replica of
	// the same name.
	ErrNameTaken = errors.New("a replica of that name is in contact with the leader")
	// ErrUnknownMember reports a replica that is not in the membership.
	ErrUnknownMember = errors.New("replica is not a member")
	// ErrInvalidChange reports a membership change that is not allowed.
	ErrInvalidChange = errors.New("invalid membership change")
	// ErrIndexUnavailable reports an index that is compacted, not applied yet or
	// beyond the log.
	ErrIndexUnavailable = errors.New("index is not in the applied part of the log")
)

// EpochError reports a message that was rejected because it belongs to another
// membership epoch.
type EpochError struct {
	From      ReplicaID
	Got, Want uint64
}

// Error returns a message with the sender and both epochs.
func (e *EpochError) Error() string {
	return fmt.Sprintf("message from replica %x has membership epoch %d, expected %d", uint64(e.From), e.Got, e.Want)
}

// MessageError reports a message that was rejected because it is malformed.
type MessageError struct {
	From   ReplicaID
	Reason string
}

// Error returns a message with the sender and the reason.
func (e *MessageError) Error() string {
	return fmt.Sprintf("malformed message from replica %x: %s", uint64(e.From), e.Reason)
}

// Invariant describes a property that a Core checks at run time.
type Invariant string

// Invariants of a Core.
const (
	CommittedEntryReplaced Invariant = "a committed entry is never replaced"
	HardStateDecreased     Invariant = "term and commit index never go back"
	CommitBeyondLog        Invariant = "the commit index never passes the end of the log"
	DoubleVote             Invariant = "a replica votes at most once in a term"
	MultipleLeaders        Invariant = "a term has at most one leader"
	UndecodableMembership  Invariant = "a membership entry can be decoded"
)

// InvariantError reports a violated invariant. The core that reports it has
// stopped: its state no longer changes, and calls return this error.
type InvariantError struct {
	Invariant Invariant
	Detail    string
}

// Error returns a message with the invariant and the details of its violation.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant broken: %s: %s", e.Invariant, e.Detail)
}
