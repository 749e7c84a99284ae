package consensus

import (
	"errors"
	"fmt"
)

// Errors that a caller can act on.
var (
	// ErrNotLeader reports that only the leader can do what was asked for.
	ErrNotLeader = errors.New("replica is not the leader")
	// ErrTransferring reports that leadership is being handed over.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrBusy reports that too many bytes wait to be committed.
	ErrBusy = errors.New("too many uncommitted bytes")
	// ErrTooLarge reports a command over Config.MaxCommandBytes.
	ErrTooLarge = errors.New("command is too large")
	// ErrChangePending reports that an earlier membership change, or the first
	// entry of the leader's term, is not committed yet.
	ErrChangePending = errors.New("an earlier membership change is not committed")
	// ErrNotCaughtUp reports that a learner lacks entries that were committed
	// when its promotion was asked for.
	ErrNotCaughtUp = errors.New("learner has not caught up")
	// ErrNameTaken reports that another replica of the same name is in contact.
	ErrNameTaken = errors.New("a replica of that name is in contact with the leader")
	// ErrUnknownMember reports a replica that is not in the membership.
	ErrUnknownMember = errors.New("replica is not a member")
	// ErrInvalidChange reports a membership change that is never possible.
	ErrInvalidChange = errors.New("invalid membership change")
	// ErrCompacted reports an index outside of the entries that are held.
	ErrCompacted = errors.New("index is not in the log")
)

// EpochError reports a message of another membership epoch. It was refused.
type EpochError struct {
	From      ReplicaID
	Got, Want uint64
}

// Error names the sender and both epochs.
func (e *EpochError) Error() string {
	return fmt.Sprintf("message of replica %x has membership epoch %d, expected %d", uint64(e.From), e.Got, e.Want)
}

// MessageError reports a malformed message. It was refused.
type MessageError struct {
	From ReplicaID
	Text string
}

// Error names the sender and what was malformed.
func (e *MessageError) Error() string {
	return fmt.Sprintf("malformed message of replica %x: %s", uint64(e.From), e.Text)
}

// Invariant names a property that the core checks while it runs.
type Invariant string

// Invariants of the core.
const (
	CommittedReplaced Invariant = "a committed entry is never replaced"
	CommitMovedBack   Invariant = "term and commit index never go back"
	CommitBeyondLog   Invariant = "the commit index never passes the end of the log"
	SecondVote        Invariant = "a replica votes at most once in a term"
	SecondLeader      Invariant = "a term has at most one leader"
	UnreadableEntry   Invariant = "a membership entry can be decoded"
)

// InvariantError reports a broken invariant. The core that reports it has
// stopped: it changes nothing any more and returns the error from every call.
type InvariantError struct {
	Invariant Invariant
	Detail    string
}

// Error names the invariant and what broke it.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant broken: %s: %s", e.Invariant, e.Detail)
}
