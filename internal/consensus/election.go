package consensus

// Tick advances the core's logical clock by one tick.
func (c *Core) Tick() {
	if c.err != nil {
		return
	}
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout {
		c.resetElectionTimer()
		if c.log.membership().IsVoter(c.cfg.ID) {
			c.preCampaign()
		}
	}
}

func (c *Core) tickLeader() {
	for _, p := range c.progress {
		p.ticksSinceContact++
		p.ticksSinceChunk++
	}
	if c.electionElapsed >= c.cfg.ElectionTicks {
		c.electionElapsed = 0
		if !c.quorumActive() {
			c.counters.StepDowns++
			c.becomeFollower(c.term, 0)
			return
		}
	}
	c.transferElapsed++
	if c.transferElapsed >= c.cfg.ElectionTicks {
		c.transferee = 0
	}
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.sendHeartbeats()
	}
}

// quorumActive reports whether the leader was in contact with a quorum since the
// last call.
func (c *Core) quorumActive() bool {
	m := c.log.membership()
	n := 0
	for _, member := range m.Members {
		p := c.progress[member.ID]
		if member.Voter && (member.ID == c.cfg.ID || p.recentlyActive) {
			n++
		}
	}
	for _, p := range c.progress {
		p.recentlyActive = false
	}
	return n >= m.Quorum()
}

func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand.IntN(c.cfg.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term != c.term {
		c.term, c.vote = term, 0
	}
	if leader != c.leader {
		c.incoming = nil
	}
	c.role, c.leader = Follower, leader
	c.votes, c.progress, c.transferee = nil, nil, 0
	c.appendsDue = false
	c.reads.reject()
	c.resetElectionTimer()
}

// preCampaign starts a pre-vote, which finds out whether this replica could win an
// election, without incrementing the term.
func (c *Core) preCampaign() {
	c.role, c.leader = PreCandidate, 0
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	if c.voteWon() {
		c.campaign(false)
		return
	}
	c.requestVotes(MsgPreVote, c.term+1, false)
}

func (c *Core) campaign(transfer bool) {
	c.counters.Elections++
	c.role, c.leader = Candidate, 0
	c.term++
	c.vote = c.cfg.ID
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	c.resetElectionTimer()
	if c.voteWon() {
		c.becomeLeader()
		return
	}
	c.requestVotes(MsgVote, c.term, transfer)
}

func (c *Core) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, member := range c.log.membership().Members {
		if member.Voter && member.ID != c.cfg.ID {
			c.send(Message{Kind: kind, To: member.ID, Term: term, PrevIndex: c.log.lastIndex(), PrevTerm: c.log.lastTerm(), Transfer: transfer})
		}
	}
}

// voteWon reports whether a quorum has granted its vote. Responses of replicas
// that are not voters do not count.
func (c *Core) voteWon() bool {
	m := c.log.membership()
	granted := 0
	for id, ok := range c.votes {
		if ok && m.IsVoter(id) {
			granted++
		}
	}
	return granted >= m.Quorum()
}

// voteLost reports whether so many voters have rejected the request that a quorum
// is impossible.
func (c *Core) voteLost() bool {
	m := c.log.membership()
	rejected := 0
	for id, ok := range c.votes {
		if !ok && m.IsVoter(id) {
			rejected++
		}
	}
	return m.Voters()-rejected < m.Quorum()
}

// handlePreVote grants the pre-vote if this replica could vote for the sender.
// Learners respond too: the sender may already know that they became voters.
func (c *Core) handlePreVote(m *Message) {
	canVote := m.Term > c.term || c.vote == m.From || (c.vote == 0 && c.leader == 0)
	if canVote && c.log.isUpToDate(m.PrevIndex, m.PrevTerm) {
		c.send(Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	c.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
}

func (c *Core) handlePreVoteResponse(m *Message) {
	if c.role != PreCandidate || (!m.Reject && m.Term != c.term+1) {
		return
	}
	c.votes[m.From] = !m.Reject
	switch {
	case c.voteWon():
		c.campaign(false)
	case c.voteLost():
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) handleVote(m *Message) {
	canVote := c.vote == m.From || (c.vote == 0 && c.leader == 0)
	if !canVote || !c.log.isUpToDate(m.PrevIndex, m.PrevTerm) {
		c.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: true})
		return
	}
	c.vote = m.From
	c.electionElapsed = 0
	c.send(Message{Kind: MsgVoteResponse, To: m.From})
}

func (c *Core) handleVoteResponse(m *Message) {
	if c.role != Candidate {
		return
	}
	c.votes[m.From] = !m.Reject
	switch {
	case c.voteWon():
		c.becomeLeader()
	case c.voteLost():
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.cfg.ID
	c.votes, c.incoming = nil, nil
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.transferee = 0
	c.reads = readQueue{done: c.reads.done}
	c.progress = map[ReplicaID]*progress{}
	c.updateProgress()
	c.appendToLeaderLog(EntryNoop, nil)
}

// updateProgress adds and removes entries of c.progress so that there is one for
// each other member.
func (c *Core) updateProgress() {
	m := c.log.membership()
	for id := range c.progress {
		if _, ok := m.Find(id); !ok {
			delete(c.progress, id)
		}
	}
	for _, member := range m.Members {
		if member.ID == c.cfg.ID || c.progress[member.ID] != nil {
			continue
		}
		c.progress[member.ID] = &progress{next: c.log.lastIndex() + 1, recentlyActive: true}
	}
}

// TransferLeadership starts a transfer of the leadership to a voter, or to the
// reachable voter with the longest matching log if to is 0. Proposals are rejected
// until the transfer is complete or the minimum election timeout has passed.
func (c *Core) TransferLeadership(to ReplicaID) error {
	if c.err != nil {
		return c.err
	}
	if c.role != Leader {
		return ErrNotLeader
	}
	if to == 0 {
		to = c.pickTransferee()
	}
	if p := c.progress[to]; p == nil || !c.log.membership().IsVoter(to) {
		return ErrUnknownMember
	}
	c.transferee, c.transferElapsed = to, 0
	c.appendsDue = true
	c.maybeSendTimeoutNow()
	return nil
}

// Resign makes a leader a follower at once, and returns the message with which the most advanced
// voter begins an election. It is for a leader that can't make entries durable any more, so that it
// can't take part in an ordinary transfer. Its pending reads are rejected.
func (c *Core) Resign() []Message {
	if c.err != nil || c.role != Leader {
		return nil
	}
	to := c.pickTransferee()
	c.messages = nil
	c.becomeFollower(c.term, 0)
	if to == 0 {
		return nil
	}
	c.send(Message{Kind: MsgTimeoutNow, To: to})
	return c.takeMessages()
}

// DiscardMessages drops the messages that wait to be sent, as a network may. A replica that can't
// make its state durable must not send them, and would collect them without bound.
func (c *Core) DiscardMessages() { c.takeMessages() }

func (c *Core) takeMessages() []Message {
	messages := c.messages
	c.messages = nil
	return messages
}

func (c *Core) pickTransferee() ReplicaID {
	var best ReplicaID
	var bestMatch uint64
	for _, member := range c.log.membership().Members {
		p := c.progress[member.ID]
		if p == nil || !member.Voter || p.ticksSinceContact >= c.cfg.ElectionTicks {
			continue
		}
		if best == 0 || p.match > bestMatch {
			best, bestMatch = member.ID, p.match
		}
	}
	return best
}

// maybeSendTimeoutNow asks the transferee to start an election once it has all
// entries.
func (c *Core) maybeSendTimeoutNow() {
	if c.transferee == 0 {
		return
	}
	if p := c.progress[c.transferee]; p != nil && p.match == c.log.lastIndex() {
		c.send(Message{Kind: MsgTimeoutNow, To: c.transferee})
	}
}

func (c *Core) handleTimeoutNow(m *Message) {
	if c.role != Follower || c.leader != m.From || !c.log.membership().IsVoter(c.cfg.ID) {
		return
	}
	c.campaign(true)
}
