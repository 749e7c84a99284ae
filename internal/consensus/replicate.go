package consensus

import "slices"

// Propose appends a command to the leader's log and returns its index. The
// command is committed once Ready.Committed holds an entry of the current term at
// that index; if it holds an entry of another term there, the command is lost.
func (c *Core) Propose(data []byte) (uint64, error) {
	if err := c.canPropose(); err != nil {
		return 0, err
	}
	if len(data) > c.cfg.MaxCommandBytes {
		return 0, ErrTooLarge
	}
	if c.log.uncommittedBytes+len(data) > c.cfg.MaxUncommittedBytes {
		return 0, ErrTooManyUncommitted
	}
	return c.appendToLeaderLog(EntryCommand, data), nil
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

// appendToLeaderLog appends an entry of the current term to the leader's log. The
// append cannot fail, because the leader encoded a membership entry itself.
func (c *Core) appendToLeaderLog(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.lastIndex() + 1, Term: c.term, Kind: kind, Data: data}
	if err := c.log.append([]Entry{e}); err != nil {
		_ = c.fail(err)
		return 0
	}
	if kind == EntryMembership {
		c.updateProgress()
	}
	c.appendsDue = true
	return e.Index
}

// sendPendingAppends sends the outstanding appends and snapshot chunks to every
// replica.
func (c *Core) sendPendingAppends() {
	if !c.appendsDue || c.role != Leader {
		return
	}
	c.appendsDue = false
	for _, member := range c.log.membership().Members {
		if member.ID == c.cfg.ID {
			continue
		}
		p := c.progress[member.ID]
		for !p.paused(c.cfg.MaxInFlight) && p.next <= c.log.lastIndex() {
			c.sendAppend(member.ID, p)
		}
		c.sendSnapshotChunk(member.ID, p)
	}
}

// sendAppend sends one append, without entries if there are no new ones. If the
// preceding entry is compacted, it starts to send a snapshot instead.
func (c *Core) sendAppend(to ReplicaID, p *progress) {
	prevTerm, ok := c.log.term(p.next - 1)
	if !ok {
		p.becomeSnapshot(c.log.snapshot)
		c.sendSnapshotChunk(to, p)
		return
	}
	entries := c.log.batch(p.next, c.log.lastIndex(), c.cfg.MaxMessageBytes)
	c.send(Message{Kind: MsgAppend, To: to, PrevIndex: p.next - 1, PrevTerm: prevTerm, Entries: entries, Commit: c.log.commit})
	switch {
	case p.mode == modeProbe:
		p.probeSent = true
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
		// The commit index must not exceed the part of the replica's log that is
		// known to match.
		c.send(Message{Kind: MsgHeartbeat, To: member.ID, Commit: min(p.match, c.log.commit), ReadRound: c.reads.round})
		if p.mode == modeSnapshot && p.ticksSinceChunk >= c.cfg.ElectionTicks {
			p.chunkAcknowledged = true
			c.appendsDue = true
		}
	}
}

func (c *Core) handleAppend(m *Message) error {
	if m.PrevIndex < c.log.commit {
		c.send(Message{Kind: MsgAppendResponse, To: m.From, Match: c.log.commit})
		return c.checkCommitted(m)
	}
	ok, err := c.log.matchAndAppend(m.PrevIndex, m.PrevTerm, m.Entries)
	if err != nil {
		return c.fail(err)
	}
	if !ok {
		c.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, PrevIndex: m.PrevIndex, Match: c.log.conflictHint(m.PrevIndex, m.PrevTerm)})
		return nil
	}
	last := m.PrevIndex + uint64(len(m.Entries))
	c.send(Message{Kind: MsgAppendResponse, To: m.From, Match: last})
	return c.commitTo(min(m.Commit, last))
}

// checkCommitted checks that an append matches the committed part of the log.
func (c *Core) checkCommitted(m *Message) error {
	for i := range m.Entries {
		e := &m.Entries[i]
		term, ok := c.log.term(e.Index)
		if e.Index <= c.log.commit && ok && term != e.Term {
			return c.reportViolation(CommittedEntryReplaced, "entry %d has term %d, the leader's has %d", e.Index, term, e.Term)
		}
	}
	return nil
}

func (c *Core) handleHeartbeat(m *Message) error {
	c.send(Message{Kind: MsgHeartbeatResponse, To: m.From, ReadRound: m.ReadRound})
	return c.commitTo(m.Commit)
}

// commitTo advances the commit index to index, unless it is already there or
// beyond.
func (c *Core) commitTo(index uint64) error {
	if index <= c.log.commit {
		return nil
	}
	if index > c.log.lastIndex() {
		return c.reportViolation(CommitBeyondLog, "commit %d, last entry %d", index, c.log.lastIndex())
	}
	c.log.setCommit(index)
	return nil
}

// handleResponse handles a response from a replica to the leader.
func (c *Core) handleResponse(m *Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.recentlyActive, p.ticksSinceContact = true, 0
	switch m.Kind {
	case MsgAppendResponse:
		c.handleAppendResponse(m, p)
	case MsgHeartbeatResponse:
		c.handleHeartbeatResponse(m, p)
	case MsgSnapshotResponse:
		c.handleSnapshotResponse(m, p)
	}
}

func (c *Core) handleAppendResponse(m *Message, p *progress) {
	c.appendsDue = true
	if m.Reject {
		c.handleRejectedAppend(m, p)
		return
	}
	if m.Match > c.log.lastIndex() {
		return // impossible in a response of this term; ignored
	}
	advanced := m.Match > p.match
	p.acknowledge(m.Match)
	switch {
	case p.mode == modeProbe:
		p.becomeReplicate()
	case p.mode == modeSnapshot && p.match >= c.log.prevIndex:
		p.becomeReplicate()
	case p.mode == modeSnapshot && p.match >= p.outgoing.Index:
		// The log was compacted beyond the snapshot while it was being sent.
		p.becomeSnapshot(c.log.snapshot)
	}
	if advanced {
		c.maybeCommit()
		if m.From == c.transferee {
			c.maybeSendTimeoutNow()
		}
	}
}

// handleRejectedAppend moves back the next index to send. It ignores stale
// rejections.
func (c *Core) handleRejectedAppend(m *Message, p *progress) {
	switch p.mode {
	case modeReplicate:
		if m.PrevIndex > p.match {
			p.becomeProbe(p.match + 1)
		}
	case modeProbe:
		if m.PrevIndex == p.next-1 {
			p.becomeProbe(min(m.PrevIndex, c.log.conflictHint(m.Match, c.term)+1))
		}
	}
}

func (c *Core) handleHeartbeatResponse(m *Message, p *progress) {
	p.readRound = max(p.readRound, min(m.ReadRound, c.reads.round))
	c.confirmReads()
	p.probeSent = false
	if p.mode == modeReplicate && len(p.inFlight) >= c.cfg.MaxInFlight {
		p.inFlight = p.inFlight[1:]
	}
	if p.match < c.log.lastIndex() && !p.paused(c.cfg.MaxInFlight) {
		// If the last append was lost, the replica rejects this one, and
		// replication restarts after the last match.
		c.sendAppend(m.From, p)
	}
}

// maybeCommit commits the entries that a quorum has synced. Entries of earlier
// terms are committed only together with one of the current term: a later leader
// could still replace an older entry, even if a quorum holds it.
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
