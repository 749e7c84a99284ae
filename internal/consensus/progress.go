package consensus

// sendMode is the way in which the leader replicates to a follower.
type sendMode uint8

const (
	modeProbe     sendMode = iota // one append at a time until one is accepted
	modeReplicate                 // appends are pipelined
	modeSnapshot                  // a snapshot is sent chunk by chunk
)

// progress is the leader's view of the replication to another replica.
type progress struct {
	match uint64 // highest index known to be durable on the replica
	next  uint64 // index of the next entry to send
	mode  sendMode
	// probeSent is set while a probe is unanswered. A heartbeat response clears it,
	// so that a lost probe is sent again.
	probeSent bool
	// inFlight holds the last index of each unacknowledged append.
	inFlight []uint64
	// ticksSinceContact counts ticks since the last message from the replica.
	ticksSinceContact int
	// recentlyActive is set if a message arrived since the last quorum check.
	recentlyActive bool
	// readRound is the highest read round that the replica has confirmed.
	readRound uint64
	// promotionIndex is the index that a learner must reach before its promotion,
	// 0 if no promotion was requested.
	promotionIndex uint64

	outgoing          *Snapshot
	snapshotOffset    uint64
	ticksSinceChunk   int // ticks since the last chunk was sent
	chunkAcknowledged bool
}

func (p *progress) becomeProbe(next uint64) {
	p.mode, p.next = modeProbe, max(next, p.match+1)
	p.probeSent, p.inFlight, p.outgoing = false, nil, nil
}

func (p *progress) becomeReplicate() {
	p.mode, p.next = modeReplicate, p.match+1
	p.probeSent, p.inFlight, p.outgoing = false, nil, nil
}

func (p *progress) becomeSnapshot(s *Snapshot) {
	p.mode, p.outgoing, p.snapshotOffset = modeSnapshot, s, 0
	p.chunkAcknowledged = true
	p.probeSent, p.inFlight = false, nil
}

// acknowledge records that the replica has synced the log up to index, and removes
// the appends up to it from the in-flight window.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	n := 0
	for n < len(p.inFlight) && p.inFlight[n] <= index {
		n++
	}
	p.inFlight = p.inFlight[n:]
}

// paused reports whether no append may be sent until a response arrives.
func (p *progress) paused(maxInFlight int) bool {
	switch p.mode {
	case modeProbe:
		return p.probeSent
	case modeReplicate:
		return len(p.inFlight) >= maxInFlight
	}
	return true
}
