package consensus

// MessageKind is the type of a message.
type MessageKind uint8

// Message kinds.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend
	MsgAppendResponse
	MsgHeartbeat
	MsgHeartbeatResponse
	MsgSnapshotChunk
	MsgSnapshotResponse
	MsgTimeoutNow
)

// Message is sent from one replica to another. The protocol tolerates lost,
// delayed, reordered and duplicated messages.
type Message struct {
	Kind  MessageKind `msgpack:"k"`
	From  ReplicaID   `msgpack:"f"`
	To    ReplicaID   `msgpack:"o"`
	Epoch uint64      `msgpack:"e"` // membership epoch; messages of another epoch are rejected
	Term  uint64      `msgpack:"t"`
	// PrevIndex and PrevTerm describe the entry before Entries; in vote requests,
	// they describe the last entry of the candidate's log.
	PrevIndex uint64  `msgpack:"pi,omitempty"`
	PrevTerm  uint64  `msgpack:"pt,omitempty"`
	Entries   []Entry `msgpack:"n,omitempty"`
	Commit    uint64  `msgpack:"c,omitempty"`
	Reject    bool    `msgpack:"r,omitempty"`
	// Match is the highest synced index. In a rejection, it is a hint at which
	// index the logs may match.
	Match uint64 `msgpack:"m,omitempty"`
	// ReadRound is the number of the read round that a heartbeat confirms.
	ReadRound uint64 `msgpack:"rd,omitempty"`
	// Chunk is a chunk of a snapshot, or the position reached in the response to one.
	Chunk *SnapshotChunk `msgpack:"s,omitempty"`
	// Transfer marks a vote request of an election that the leader asked for, as
	// part of a leadership transfer.
	Transfer bool `msgpack:"x,omitempty"`
}

// SnapshotChunk is a part of a Snapshot's data, of bounded size.
type SnapshotChunk struct {
	Index      uint64     `msgpack:"i"`
	Term       uint64     `msgpack:"t"`
	Membership Membership `msgpack:"m"`
	Offset     uint64     `msgpack:"o"`
	Total      uint64     `msgpack:"l"`
	Data       []byte     `msgpack:"d"`
}
