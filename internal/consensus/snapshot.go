package consensus

import "slices"

// receiving is a snapshot of which pieces have arrived.
type receiving struct {
	from  ReplicaID
	piece SnapshotPiece // of the first piece; Data collects all of them
}

func (r *receiving) continues(m *Message) bool {
	p := m.Piece
	return r != nil && r.from == m.From && r.piece.Index == p.Index && r.piece.Term == p.Term && r.piece.Total == p.Total
}

// sendPiece sends the next piece if the last one was answered.
func (c *Core) sendPiece(to ReplicaID, p *progress) {
	if p.mode != modeSnapshot || !p.pieceAnswered {
		return
	}
	s := p.sending
	total := uint64(len(s.Data))
	end := min(p.offset+uint64(c.cfg.PieceBytes), total)
	p.pieceAnswered, p.sincePiece = false, 0
	c.send(Message{Kind: MsgSnapshotPiece, To: to, Piece: &SnapshotPiece{
		Index: s.Index, Term: s.Term, Membership: s.Membership,
		Offset: p.offset, Total: total, Data: s.Data[p.offset:end],
	}})
}

func (c *Core) handlePieceAnswer(m *Message, p *progress) {
	if p.mode != modeSnapshot || m.Piece.Index != p.sending.Index || m.Piece.Offset > uint64(len(p.sending.Data)) {
		return
	}
	if m.Piece.Offset == p.offset && !p.pieceAnswered {
		return // a duplicate; the piece at this offset is on its way
	}
	p.offset, p.pieceAnswered = m.Piece.Offset, true
	c.flush = true
}

func (c *Core) handlePiece(m *Message) error {
	p := m.Piece
	if term, ok := c.log.term(p.Index); ok && term == p.Term && p.Index <= c.log.lastIndex() {
		// The log holds all that the snapshot covers.
		if err := c.commitTo(p.Index); err != nil {
			return err
		}
	} else if ok && p.Index <= c.log.commit {
		return c.violated(CommittedReplaced, "snapshot %d has term %d, the entry has %d", p.Index, p.Term, term)
	}
	if p.Index <= c.log.commit {
		c.receiving = nil
		c.send(Message{Kind: MsgAppendAnswer, To: m.From, Match: c.log.commit})
		return nil
	}
	if !c.receiving.continues(m) {
		c.receiving = &receiving{from: m.From, piece: *p}
		c.receiving.piece.Data = nil
	}
	r := &c.receiving.piece
	if p.Offset == uint64(len(r.Data)) {
		r.Data = append(r.Data, p.Data...)
	}
	if uint64(len(r.Data)) < r.Total {
		c.send(Message{Kind: MsgSnapshotAnswer, To: m.From, Piece: &SnapshotPiece{Index: r.Index, Term: r.Term, Offset: uint64(len(r.Data)), Total: r.Total}})
		return nil
	}
	return c.install(m.From)
}

// install replaces the log by the received snapshot.
func (c *Core) install(from ReplicaID) error {
	r := c.receiving.piece
	c.receiving = nil
	if r.Index < c.log.commit {
		return c.violated(CommitMovedBack, "snapshot %d, commit %d", r.Index, c.log.commit)
	}
	s := &Snapshot{Index: r.Index, Term: r.Term, Membership: r.Membership, Data: slices.Clip(r.Data)}
	c.log.reset(s)
	c.pendingSnapshot = s
	c.send(Message{Kind: MsgAppendAnswer, To: from, Match: s.Index})
	return nil
}
