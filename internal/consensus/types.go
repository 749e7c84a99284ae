// Package consensus is a Raft core without I/O and without a clock. Its inputs
// are ticks, messages and proposals; its outputs are collected in a Ready.
//
// The caller must sync what a Ready says before it sends the Ready's Messages,
// and must call Advance before it asks for the next Ready. A Core is not safe
// for use by several goroutines at once.
package consensus

// ReplicaID identifies a replica for the life of its disk. A replica with an
// emptied disk gets a new one.
type ReplicaID uint64

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand    EntryKind = iota // Data is for the state machine
	EntryMembership                  // Data is an encoded Membership
	EntryNoop                        // committed by a new leader
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Kind  EntryKind `msgpack:"k"`
	Data  []byte    `msgpack:"d"`
}

// HardState must be synced before messages that depend on it are sent.
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
	// Voter is false for a learner, which receives the log and has no vote.
	Voter bool `msgpack:"v"`
}

// Membership is the set of replicas. It changes by one voter at a time.
type Membership struct {
	// Epoch is raised by a forced recovery after the loss of the majority.
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

// ReadState says that a read requested with ReadIndex may be served once the
// state machine has applied Index.
type ReadState struct {
	Request uint64
	Index   uint64
	// Rejected tells that the replica is no longer the leader.
	Rejected bool
}

// Ready is what the caller has to do next, in this order: send Early; sync
// Snapshot, HardState and Entries; send Messages; restore the state machine from
// Snapshot; apply Committed; serve Reads; call Advance.
type Ready struct {
	// Early holds a leader's messages that do not depend on this Ready being
	// synced. Sending them first lets leader and followers sync at the same time.
	Early     []Message
	HardState *HardState // nil if unchanged
	Entries   []Entry    // to append; an entry at an existing index replaces it and all after it
	Snapshot  *Snapshot  // to save and to restore the state machine from
	Messages  []Message  // to send after the sync
	Committed []Entry
	Reads     []ReadState
	// MustSync tells that HardState, Entries or Snapshot need an fsync.
	MustSync bool
}

// Start is the durable state that a Core continues from. The zero value is a
// new replica that waits to be added to a group as a learner.
type Start struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries follow Snapshot without a gap.
	Entries []Entry
}
