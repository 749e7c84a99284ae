package consensus

// MessageKind tells what a message is about.
type MessageKind uint8

// Kinds of messages between replicas.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteAnswer
	MsgVote
	MsgVoteAnswer
	MsgAppend
	MsgAppendAnswer
	MsgHeartbeat
	MsgHeartbeatAnswer
	MsgSnapshotPiece
	MsgSnapshotAnswer
	MsgTimeoutNow
)

// Message is sent between replicas. Lost, delayed, reordered and duplicated
// messages are harmless.
type Message struct {
	Kind  MessageKind `msgpack:"k"`
	From  ReplicaID   `msgpack:"f"`
	To    ReplicaID   `msgpack:"o"`
	Epoch uint64      `msgpack:"e"` // membership epoch; another one is refused
	Term  uint64      `msgpack:"t"`
	// PrevIndex and PrevTerm precede Entries; votes use them for the last entry.
	PrevIndex uint64  `msgpack:"pi,omitempty"`
	PrevTerm  uint64  `msgpack:"pt,omitempty"`
	Entries   []Entry `msgpack:"n,omitempty"`
	Commit    uint64  `msgpack:"c,omitempty"`
	Reject    bool    `msgpack:"r,omitempty"`
	// Match is the highest synced index, or the hint where to retry on Reject.
	Match uint64 `msgpack:"m,omitempty"`
	// Read is the sequence of the read round that a heartbeat confirms.
	Read uint64 `msgpack:"rd,omitempty"`
	// Piece is a part of a snapshot.
	Piece *SnapshotPiece `msgpack:"s,omitempty"`
	// Transfer tells that a vote is asked for on the leader's request.
	Transfer bool `msgpack:"x,omitempty"`
}

// SnapshotPiece is a bounded part of an encoded Snapshot's data.
type SnapshotPiece struct {
	Index      uint64     `msgpack:"i"`
	Term       uint64     `msgpack:"t"`
	Membership Membership `msgpack:"m"`
	Offset     uint64     `msgpack:"o"`
	Total      uint64     `msgpack:"l"`
	Data       []byte     `msgpack:"d"`
}
