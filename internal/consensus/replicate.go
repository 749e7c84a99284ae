package consensus

import "slices"

// Propose appends a command to the leader's log and returns its index. The
// command is committed when Ready.Committed holds it at that index with the
// current term; if another term's entry appears there, it was not.
func (c *Core) Propose(data []byte) (uint64, error) {
	if err := c.canPropose(); err != nil {
		return 0, err
	}
	if len(data) > c.cfg.MaxCommandBytes {
		return 0, ErrTooLarge
	}
	if c.log.tailBytes+len(data) > c.cfg.MaxUncommittedBytes {
		return 0, ErrBusy
	}
	return c.appendOwn(EntryCommand, data), nil
}

func (c *Core) canPropose() error {
	switch {
	case c.err != nil:
		return c.err
	case c.role != Leader:
		return ErrNotLeader
	case c.transferee != 0:
		return ErrTransferring
	}
	return nil
}

// appendOwn appends an entry of the leader's own. A leader's own membership
// entries can be decoded, so that append cannot fail here.
func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.lastIndex() + 1, Term: c.term, Kind: kind, Data: data}
	if err := c.log.append([]Entry{e}); err != nil {
		_ = c.fail(err)
		return 0
	}
	if kind == EntryMembership {
		c.syncProgress()
	}
	c.flush = true
	return e.Index
}

// sendAppends sends what is due to every replica.
func (c *Core) sendAppends() {
	if !c.flush || c.role != Leader {
		return
	}
	c.flush = false
	for _, member := range c.log.membership().Members {
		if member.ID == c.cfg.ID {
			continue
		}
		p := c.progress[member.ID]
		for !p.paused(c.cfg.MaxInFlight) && p.next <= c.log.lastIndex() {
			c.sendAppend(member.ID, p)
		}
		c.sendPiece(member.ID, p)
	}
}

// sendAppend sends one append, which is empty if there is nothing new.
func (c *Core) sendAppend(to ReplicaID, p *progress) {
	prevTerm, ok := c.log.term(p.next - 1)
	if !ok {
		p.sendSnapshot(c.log.snapshot)
		c.sendPiece(to, p)
		return
	}
	entries := c.log.batch(p.next, c.log.lastIndex(), c.cfg.MaxMessageBytes)
	c.send(Message{Kind: MsgAppend, To: to, PrevIndex: p.next - 1, PrevTerm: prevTerm, Entries: entries, Commit: c.log.commit})
	switch {
	case p.mode == modeProbe:
		p.waiting = true
	case len(entries) > 0:
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

func (c *Core) sendHeartbeats() {
	for _, member := range c.log.membership().Members {
		p := c.progress[member.ID]
		if p == nil {
			continue
		}
		// A replica is told of commits only as far as it is known to hold them.
		c.send(Message{Kind: MsgHeartbeat, To: member.ID, Commit: min(p.match, c.log.commit), Read: c.reads.round})
		if p.mode == modeSnapshot && p.sincePiece >= c.cfg.ElectionTicks {
			p.pieceAnswered = true
			c.flush = true
		}
	}
}

func (c *Core) handleAppend(m *Message) error {
	if m.PrevIndex < c.log.commit {
		c.send(Message{Kind: MsgAppendAnswer, To: m.From, Match: c.log.commit})
		return c.checkCommitted(m)
	}
	ok, err := c.log.matchAndAppend(m.PrevIndex, m.PrevTerm, m.Entries)
	if err != nil {
		return c.fail(err)
	}
	if !ok {
		c.send(Message{Kind: MsgAppendAnswer, To: m.From, Reject: true, PrevIndex: m.PrevIndex, Match: c.log.hint(m.PrevIndex, m.PrevTerm)})
		return nil
	}
	last := m.PrevIndex + uint64(len(m.Entries))
	c.send(Message{Kind: MsgAppendAnswer, To: m.From, Match: last})
	return c.commitTo(min(m.Commit, last))
}

// checkCommitted compares the committed part of an append with the log.
func (c *Core) checkCommitted(m *Message) error {
	for i := range m.Entries {
		e := &m.Entries[i]
		term, ok := c.log.term(e.Index)
		if e.Index <= c.log.commit && ok && term != e.Term {
			return c.violated(CommittedReplaced, "entry %d has term %d, the leader's has %d", e.Index, term, e.Term)
		}
	}
	return nil
}

func (c *Core) handleHeartbeat(m *Message) error {
	c.send(Message{Kind: MsgHeartbeatAnswer, To: m.From, Read: m.Read})
	return c.commitTo(m.Commit)
}

// commitTo moves the commit index forward; an older one changes nothing.
func (c *Core) commitTo(index uint64) error {
	if index <= c.log.commit {
		return nil
	}
	if index > c.log.lastIndex() {
		return c.violated(CommitBeyondLog, "commit %d, last entry %d", index, c.log.lastIndex())
	}
	c.log.setCommit(index)
	return nil
}

// handleAnswer handles an answer to the leader.
func (c *Core) handleAnswer(m *Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.active, p.sinceContact = true, 0
	switch m.Kind {
	case MsgAppendAnswer:
		c.handleAppendAnswer(m, p)
	case MsgHeartbeatAnswer:
		c.handleHeartbeatAnswer(m, p)
	case MsgSnapshotAnswer:
		c.handlePieceAnswer(m, p)
	}
}

func (c *Core) handleAppendAnswer(m *Message, p *progress) {
	c.flush = true
	if m.Reject {
		c.retreat(m, p)
		return
	}
	if m.Match > c.log.lastIndex() {
		return // answers of this term cannot say that; not trusted
	}
	grown := m.Match > p.match
	p.acknowledge(m.Match)
	switch {
	case p.mode == modeProbe:
		p.replicate()
	case p.mode == modeSnapshot && p.match >= c.log.prevIndex:
		p.replicate()
	case p.mode == modeSnapshot && p.match >= p.sending.Index:
		// The log was compacted past the snapshot while that was sent.
		p.sendSnapshot(c.log.snapshot)
	}
	if grown {
		c.maybeCommit()
		if m.From == c.transferee {
			c.maybeHandOver()
		}
	}
}

// retreat handles a rejected append. A stale rejection changes nothing.
func (c *Core) retreat(m *Message, p *progress) {
	switch p.mode {
	case modeReplicate:
		if m.PrevIndex > p.match {
			p.probe(p.match + 1)
		}
	case modeProbe:
		if m.PrevIndex == p.next-1 {
			p.probe(min(m.PrevIndex, c.log.hint(m.Match, c.term)+1))
		}
	}
}

func (c *Core) handleHeartbeatAnswer(m *Message, p *progress) {
	p.readRound = max(p.readRound, min(m.Read, c.reads.round))
	c.confirmReads()
	p.waiting = false
	if p.mode == modeReplicate && len(p.inFlight) >= c.cfg.MaxInFlight {
		p.inFlight = p.inFlight[1:]
	}
	if p.match < c.log.lastIndex() && !p.paused(c.cfg.MaxInFlight) {
		// If the last append was lost, this one is rejected and replication
		// starts again from the last match.
		c.sendAppend(m.From, p)
	}
}

// maybeCommit commits what a quorum has synced. Entries of earlier terms are
// committed only together with one of the own term: a quorum that holds an old
// entry does not keep a later leader from replacing it.
func (c *Core) maybeCommit() {
	index := c.quorumIndex(func(p *progress) uint64 { return p.match }, c.log.stable)
	if index <= c.log.commit {
		return
	}
	if term, ok := c.log.term(index); !ok || term != c.term {
		return
	}
	c.log.setCommit(index)
}

// quorumIndex returns the highest value that a quorum of voters has reached.
func (c *Core) quorumIndex(value func(*progress) uint64, own uint64) uint64 {
	m := c.log.membership()
	values := make([]uint64, 0, len(m.Members))
	for _, member := range m.Members {
		switch {
		case !member.Voter:
		case member.ID == c.cfg.ID:
			values = append(values, own)
		default:
			values = append(values, value(c.progress[member.ID]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-m.Quorum()]
}
