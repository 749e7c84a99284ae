package consensus

// sendMode tells how a leader sends to a replica.
type sendMode uint8

const (
	modeProbe     sendMode = iota // one append at a time until one matches
	modeReplicate                 // appends are pipelined
	modeSnapshot                  // a snapshot is sent piece by piece
)

// progress is what a leader knows of another replica.
type progress struct {
	match uint64 // highest index known to be synced there
	next  uint64 // next index to send
	mode  sendMode
	// waiting tells that a probe was sent and not answered.
	waiting bool
	// inFlight holds the last index of each append that was sent and not answered.
	inFlight []uint64
	// sinceContact counts ticks since the last message.
	sinceContact int
	// active tells that a message arrived since the last quorum check.
	active bool
	// readRound is the highest read round that the replica confirmed.
	readRound uint64
	// target is the index to reach before a promotion, 0 if none was asked for.
	target uint64

	sending       *Snapshot
	offset        uint64
	sincePiece    int // ticks since the last piece was sent
	pieceAnswered bool
}

func (p *progress) probe(next uint64) {
	p.mode, p.next = modeProbe, max(next, p.match+1)
	p.waiting, p.inFlight, p.sending = false, nil, nil
}

func (p *progress) replicate() {
	p.mode, p.next = modeReplicate, p.match+1
	p.waiting, p.inFlight, p.sending = false, nil, nil
}

func (p *progress) sendSnapshot(s *Snapshot) {
	p.mode, p.sending, p.offset = modeSnapshot, s, 0
	p.pieceAnswered = true
	p.waiting, p.inFlight = false, nil
}

// acknowledge records a synced index and frees the window up to it.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	n := 0
	for n < len(p.inFlight) && p.inFlight[n] <= index {
		n++
	}
	p.inFlight = p.inFlight[n:]
}

// paused tells that nothing may be sent until an answer arrives.
func (p *progress) paused(maxInFlight int) bool {
	switch p.mode {
	case modeProbe:
		return p.waiting
	case modeReplicate:
		return len(p.inFlight) >= maxInFlight
	}
	return true
}
