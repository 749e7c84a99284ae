package consensus

import "fmt"

// Step handles a message. Its error says why the message was refused; unless
// Err is set, the core goes on.
func (c *Core) Step(m Message) error {
	if c.err != nil {
		return c.err
	}
	if err := c.check(&m); err != nil {
		return err
	}
	c.answerEpoch = m.Epoch
	if m.Term > c.term {
		if c.ignoresElection(&m) {
			return nil
		}
		c.adoptTerm(&m)
	}
	if m.Term < c.term {
		c.answerOldTerm(&m)
		return nil
	}
	return c.handle(&m)
}

// check refuses messages that are malformed or not for this replica.
func (c *Core) check(m *Message) error {
	malformed := func(format string, args ...any) error {
		c.counts.Malformed++
		return &MessageError{m.From, fmt.Sprintf(format, args...)}
	}
	if m.To != c.cfg.ID {
		c.counts.Misdirected++
		return &MessageError{m.From, fmt.Sprintf("it is for replica %x, this is %x", uint64(m.To), uint64(c.cfg.ID))}
	}
	if epoch := c.epoch(); epoch != 0 && m.Epoch != epoch {
		c.counts.ForeignEpoch++
		return &EpochError{m.From, m.Epoch, epoch}
	}
	if m.Kind < MsgPreVote || m.Kind > MsgTimeoutNow {
		return malformed("kind %d, expected %d to %d", m.Kind, MsgPreVote, MsgTimeoutNow)
	}
	if m.From == 0 || m.From == c.cfg.ID || m.Term == 0 || m.Epoch == 0 {
		return malformed("from %x, term %d, epoch %d", uint64(m.From), m.Term, m.Epoch)
	}
	prevIndex, prevTerm := m.PrevIndex, m.PrevTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != prevIndex+1 || e.Term < prevTerm || e.Term > m.Term || e.Kind > EntryNoop {
			return malformed("entry %d of term %d and kind %d follows entry %d of term %d in a message of term %d", e.Index, e.Term, e.Kind, prevIndex, prevTerm, m.Term)
		}
		prevIndex, prevTerm = e.Index, e.Term
	}
	if m.Kind == MsgSnapshotPiece || m.Kind == MsgSnapshotAnswer {
		return c.checkPiece(m, malformed)
	}
	return nil
}

func (c *Core) checkPiece(m *Message, malformed func(string, ...any) error) error {
	p := m.Piece
	if p == nil {
		return malformed("no snapshot piece")
	}
	if m.Kind == MsgSnapshotAnswer {
		return nil
	}
	if p.Index == 0 || p.Term == 0 || p.Term > m.Term || len(p.Membership.Members) == 0 || len(p.Membership.Members) > maxMembers || p.Membership.Epoch != m.Epoch {
		return malformed("snapshot %d of term %d with %d members", p.Index, p.Term, len(p.Membership.Members))
	}
	if p.Total > c.cfg.MaxSnapshotBytes || p.Offset > p.Total || uint64(len(p.Data)) > p.Total-p.Offset {
		return malformed("snapshot piece of %d bytes at %d of %d, at most %d allowed", len(p.Data), p.Offset, p.Total, c.cfg.MaxSnapshotBytes)
	}
	if len(p.Data) == 0 && p.Offset < p.Total {
		return malformed("empty snapshot piece at %d of %d", p.Offset, p.Total)
	}
	return nil
}

// epoch returns the epoch of the membership, 0 before there is one.
func (c *Core) epoch() uint64 { return c.log.membership().Epoch }

// ignoresElection tells that a candidate is not to be answered because a leader
// was in contact within the shortest election timeout. This keeps a replica
// that returns from isolation from deposing the leader.
func (c *Core) ignoresElection(m *Message) bool {
	if m.Kind != MsgVote && m.Kind != MsgPreVote {
		return false
	}
	return !m.Transfer && c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

// adoptTerm follows a higher term. Pre-votes carry a term that no one has yet.
func (c *Core) adoptTerm(m *Message) {
	switch m.Kind {
	case MsgPreVote:
	case MsgPreVoteAnswer:
		if m.Reject {
			c.becomeFollower(m.Term, 0)
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshotPiece:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
}

// answerOldTerm tells a former leader or candidate of the current term.
func (c *Core) answerOldTerm(m *Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshotPiece:
		c.send(Message{Kind: MsgAppendAnswer, To: m.From, Reject: true, PrevIndex: m.PrevIndex})
	case MsgPreVote:
		c.send(Message{Kind: MsgPreVoteAnswer, To: m.From, Reject: true})
	}
}

// handle handles a message of the current term, or a pre-vote of a later one.
func (c *Core) handle(m *Message) error {
	switch m.Kind {
	case MsgPreVote:
		c.handlePreVote(m)
	case MsgPreVoteAnswer:
		c.handlePreVoteAnswer(m)
	case MsgVote:
		c.handleVote(m)
	case MsgVoteAnswer:
		c.handleVoteAnswer(m)
	case MsgAppend:
		return c.withLeader(m, c.handleAppend)
	case MsgHeartbeat:
		return c.withLeader(m, c.handleHeartbeat)
	case MsgSnapshotPiece:
		return c.withLeader(m, c.handlePiece)
	case MsgAppendAnswer, MsgHeartbeatAnswer, MsgSnapshotAnswer:
		c.handleAnswer(m)
	case MsgTimeoutNow:
		c.handleTimeoutNow(m)
	}
	return nil
}

// withLeader handles a message of the leader of the current term.
func (c *Core) withLeader(m *Message, handle func(*Message) error) error {
	if c.role == Leader || (c.leader != 0 && c.leader != m.From) {
		return c.violated(SecondLeader, "replica %x acts as leader, known is %x", uint64(m.From), uint64(c.leader))
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
		m.Epoch = c.answerEpoch
	}
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}
