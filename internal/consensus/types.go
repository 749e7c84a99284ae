// Package consensus is a Raft core without I/O and without a clock. Its inputs
// are ticks, messages and proposals; its outputs are collected in a Ready.
//
// The caller must make a Ready's state durable before it sends the Ready's
// Messages, and must call Advance before it requests the next Ready. A Core is
// not safe for concurrent use.
package consensus

// ReplicaID identifies a replica for the lifetime of its data. A replica that
// starts on an empty disk gets a new ID.
type ReplicaID uint64

// EntryKind is the type of a log entry.
type EntryKind uint8

// Entry kinds.
const (
	EntryCommand    EntryKind = iota // Data is a command for the state machine
	EntryMembership                  // Data is an encoded Membership
	EntryNoop                        // appended by a new leader at the start of its term
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Kind  EntryKind `msgpack:"k"`
	Data  []byte    `msgpack:"d"`
}

// HardState is the state that must be durable before messages that depend on it
// are sent.
type HardState struct {
	Term   uint64    `msgpack:"t"`
	Vote   ReplicaID `msgpack:"v"`
	Commit uint64    `msgpack:"c"`
}

// Member is a replica of the group.
type Member struct {
	ID   ReplicaID `msgpack:"i"`
	Name string    `msgpack:"n"` // instance name, unique in the group
	Addr string    `msgpack:"a"` // peer address
	// Voter is false for a learner, which receives the log but does not vote.
	Voter bool `msgpack:"v"`
}

// Membership is the set of replicas in the group. Each change adds or removes at
// most one voter.
type Membership struct {
	// Epoch increases with each forced recovery after the loss of a majority.
	Epoch   uint64   `msgpack:"e"`
	Members []Member `msgpack:"m"`
}

// Snapshot is the state machine's state up to an index.
type Snapshot struct {
	Index      uint64     `msgpack:"i"`
	Term       uint64     `msgpack:"t"`
	Membership Membership `msgpack:"m"`
	Data       []byte     `msgpack:"d"`
}

// ReadState is the outcome of a read requested with ReadIndex. The read may be
// served once the state machine has applied Index.
type ReadState struct {
	Request uint64
	Index   uint64
	// Rejected is set if the replica lost leadership before the read was confirmed.
	Rejected bool
}

// Ready is the work that the caller must do next, in this order: send
// PreSyncMessages; write and sync Snapshot, HardState and Entries; send Messages;
// restore the state machine from Snapshot; apply Committed; serve Reads; call
// Advance.
type Ready struct {
	// PreSyncMessages holds a leader's messages that do not depend on the sync of this
	// Ready. Sending them first lets the leader and its followers sync in parallel.
	PreSyncMessages []Message
	HardState       *HardState // nil if unchanged
	Entries         []Entry    // to append; an entry at an existing index replaces that entry and all later ones
	Snapshot        *Snapshot  // to store and to restore the state machine from
	Messages        []Message  // to send after the sync
	Committed       []Entry
	Reads           []ReadState
	// MustSync is set if HardState, Entries or Snapshot must be synced.
	MustSync bool
}

// DurableState is the durable state from which a Core resumes. The zero value is a new
// replica that waits to be added to a group as a learner.
type DurableState struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries directly follow Snapshot.
	Entries []Entry
}
