package consensus

import "fmt"

// Step handles a message. An error means that the message was rejected; the core
// continues unless Err returns an error.
func (c *Core) Step(m Message) error {
	if c.err != nil {
		return c.err
	}
	if err := c.check(&m); err != nil {
		return err
	}
	c.responseEpoch = m.Epoch
	if m.Term > c.term {
		if c.ignoresVoteRequest(&m) {
			return nil
		}
		c.adoptTerm(&m)
	}
	if m.Term < c.term {
		c.rejectStaleTerm(&m)
		return nil
	}
	return c.handle(&m)
}

// check rejects messages that are malformed, for another replica or of another
// membership epoch.
func (c *Core) check(m *Message) error {
	malformed := func(format string, args ...any) error {
		c.counters.Malformed++
		return &MessageError{m.From, fmt.Sprintf(format, args...)}
	}
	if m.To != c.cfg.ID {
		c.counters.Misdirected++
		return &MessageError{m.From, fmt.Sprintf("addressed to replica %x, received by replica %x", uint64(m.To), uint64(c.cfg.ID))}
	}
	if epoch := c.epoch(); epoch != 0 && m.Epoch != epoch {
		c.counters.EpochMismatches++
		return &EpochError{m.From, m.Epoch, epoch}
	}
	if m.Kind < MsgPreVote || m.Kind > MsgTimeoutNow {
		return malformed("message kind %d, expected %d to %d", m.Kind, MsgPreVote, MsgTimeoutNow)
	}
	if m.From == 0 || m.From == c.cfg.ID || m.Term == 0 || m.Epoch == 0 {
		return malformed("invalid sender %x, term %d or epoch %d", uint64(m.From), m.Term, m.Epoch)
	}
	prevIndex, prevTerm := m.PrevIndex, m.PrevTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != prevIndex+1 || e.Term < prevTerm || e.Term > m.Term || e.Kind > EntryNoop {
			return malformed("entry %d of term %d and kind %d follows entry %d of term %d in a message of term %d", e.Index, e.Term, e.Kind, prevIndex, prevTerm, m.Term)
		}
		prevIndex, prevTerm = e.Index, e.Term
	}
	if m.Kind == MsgSnapshotChunk || m.Kind == MsgSnapshotResponse {
		return c.checkSnapshotMessage(m, malformed)
	}
	return nil
}

func (c *Core) checkSnapshotMessage(m *Message, malformed func(string, ...any) error) error {
	chunk := m.Chunk
	if chunk == nil {
		return malformed("snapshot message without a chunk")
	}
	if m.Kind == MsgSnapshotResponse {
		return nil
	}
	if chunk.Index == 0 || chunk.Term == 0 || chunk.Term > m.Term || len(chunk.Membership.Members) == 0 || len(chunk.Membership.Members) > maxMembers || chunk.Membership.Epoch != m.Epoch {
		return malformed("invalid snapshot at index %d of term %d with %d members", chunk.Index, chunk.Term, len(chunk.Membership.Members))
	}
	if chunk.Total > c.cfg.MaxSnapshotBytes || chunk.Offset > chunk.Total || uint64(len(chunk.Data)) > chunk.Total-chunk.Offset {
		return malformed("snapshot chunk of %d bytes at offset %d of %d, at most %d allowed", len(chunk.Data), chunk.Offset, chunk.Total, c.cfg.MaxSnapshotBytes)
	}
	if len(chunk.Data) == 0 && chunk.Offset < chunk.Total {
		return malformed("empty snapshot chunk at offset %d of %d", chunk.Offset, chunk.Total)
	}
	return nil
}

// epoch returns the membership epoch, or 0 if there is no membership yet.
func (c *Core) epoch() uint64 { return c.log.membership().Epoch }

// ignoresVoteRequest reports whether m is a vote request to ignore because a
// leader was in contact within the minimum election timeout. This prevents a
// replica that returns from a partition from deposing the leader. Elections of a
// leadership transfer are exempt.
func (c *Core) ignoresVoteRequest(m *Message) bool {
	if m.Kind != MsgVote && m.Kind != MsgPreVote {
		return false
	}
	return !m.Transfer && c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

// adoptTerm adopts the higher term of a message. A pre-vote, and a response that
// grants one, carry a term that has not begun yet; it is not adopted.
func (c *Core) adoptTerm(m *Message) {
	switch m.Kind {
	case MsgPreVote:
	case MsgPreVoteResponse:
		if m.Reject {
			c.becomeFollower(m.Term, 0)
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshotChunk:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
}

// rejectStaleTerm informs a former leader or a pre-candidate of the current term.
func (c *Core) rejectStaleTerm(m *Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshotChunk:
		c.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, PrevIndex: m.PrevIndex})
	case MsgPreVote:
		c.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
	}
}

// handle handles a message of the current term, or a pre-vote message of the
// next one.
func (c *Core) handle(m *Message) error {
	switch m.Kind {
	case MsgPreVote:
		c.handlePreVote(m)
	case MsgPreVoteResponse:
		c.handlePreVoteResponse(m)
	case MsgVote:
		c.handleVote(m)
	case MsgVoteResponse:
		c.handleVoteResponse(m)
	case MsgAppend:
		return c.handleFromLeader(m, c.handleAppend)
	case MsgHeartbeat:
		return c.handleFromLeader(m, c.handleHeartbeat)
	case MsgSnapshotChunk:
		return c.handleFromLeader(m, c.handleSnapshotChunk)
	case MsgAppendResponse, MsgHeartbeatResponse, MsgSnapshotResponse:
		c.handleResponse(m)
	case MsgTimeoutNow:
		c.handleTimeoutNow(m)
	}
	return nil
}

// handleFromLeader handles a message from the leader of the current term.
func (c *Core) handleFromLeader(m *Message, handle func(*Message) error) error {
	if c.role == Leader || (c.leader != 0 && c.leader != m.From) {
		return c.reportViolation(MultipleLeaders, "replica %x acts as leader, known is %x", uint64(m.From), uint64(c.leader))
	}
	if c.role != Follower || c.leader == 0 {
		c.becomeFollower(m.Term, m.From)
	}
	c.electionElapsed = 0
	return handle(m)
}

func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	m.Epoch = c.epoch()
	if m.Epoch == 0 {
		m.Epoch = c.responseEpoch
	}
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}
