package consensus

import "slices"

// incomingSnapshot is a partly received snapshot.
type incomingSnapshot struct {
	from  ReplicaID
	chunk SnapshotChunk // header of the first chunk; Data accumulates all chunks
}

func (s *incomingSnapshot) matches(m *Message) bool {
	chunk := m.Chunk
	return s != nil && s.from == m.From && s.chunk.Index == chunk.Index && s.chunk.Term == chunk.Term && s.chunk.Total == chunk.Total
}

// sendSnapshotChunk sends the next chunk if the last one was acknowledged.
func (c *Core) sendSnapshotChunk(to ReplicaID, p *progress) {
	if p.mode != modeSnapshot || !p.chunkAcknowledged {
		return
	}
	s := p.outgoing
	total := uint64(len(s.Data))
	end := min(p.snapshotOffset+uint64(c.cfg.SnapshotChunkBytes), total)
	p.chunkAcknowledged, p.ticksSinceChunk = false, 0
	c.send(Message{Kind: MsgSnapshotChunk, To: to, Chunk: &SnapshotChunk{
		Index: s.Index, Term: s.Term, Membership: s.Membership,
		Offset: p.snapshotOffset, Total: total, Data: s.Data[p.snapshotOffset:end],
	}})
}

func (c *Core) handleSnapshotResponse(m *Message, p *progress) {
	if p.mode != modeSnapshot || m.Chunk.Index != p.outgoing.Index || m.Chunk.Offset > uint64(len(p.outgoing.Data)) {
		return
	}
	if m.Chunk.Offset == p.snapshotOffset && !p.chunkAcknowledged {
		return // duplicate response; the chunk at this offset is in flight
	}
	p.snapshotOffset, p.chunkAcknowledged = m.Chunk.Offset, true
	c.appendsDue = true
}

func (c *Core) handleSnapshotChunk(m *Message) error {
	chunk := m.Chunk
	if term, ok := c.log.term(chunk.Index); ok && term == chunk.Term && chunk.Index <= c.log.lastIndex() {
		// The log already holds the entries that the snapshot covers.
		if err := c.commitTo(chunk.Index); err != nil {
			return err
		}
	} else if ok && chunk.Index <= c.log.commit {
		return c.reportViolation(CommittedEntryReplaced, "snapshot %d has term %d, the entry has %d", chunk.Index, chunk.Term, term)
	}
	if chunk.Index <= c.log.commit {
		c.incoming = nil
		c.send(Message{Kind: MsgAppendResponse, To: m.From, Match: c.log.commit})
		return nil
	}
	if !c.incoming.matches(m) {
		c.incoming = &incomingSnapshot{from: m.From, chunk: *chunk}
		c.incoming.chunk.Data = nil
	}
	r := &c.incoming.chunk
	if chunk.Offset == uint64(len(r.Data)) {
		r.Data = append(r.Data, chunk.Data...)
	}
	if uint64(len(r.Data)) < r.Total {
		c.send(Message{Kind: MsgSnapshotResponse, To: m.From, Chunk: &SnapshotChunk{Index: r.Index, Term: r.Term, Offset: uint64(len(r.Data)), Total: r.Total}})
		return nil
	}
	return c.installSnapshot(m.From)
}

// installSnapshot replaces the log with the received snapshot.
func (c *Core) installSnapshot(from ReplicaID) error {
	r := c.incoming.chunk
	c.incoming = nil
	if r.Index < c.log.commit {
		return c.reportViolation(HardStateDecreased, "snapshot %d, commit %d", r.Index, c.log.commit)
	}
	s := &Snapshot{Index: r.Index, Term: r.Term, Membership: r.Membership, Data: slices.Clip(r.Data)}
	c.log.reset(s)
	c.pendingSnapshot = s
	c.send(Message{Kind: MsgAppendResponse, To: from, Match: s.Index})
	return nil
}
