package consensus

// Tick tells that one tick has passed.
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
		c.resetElection()
		if c.log.membership().IsVoter(c.cfg.ID) {
			c.preCampaign()
		}
	}
}

func (c *Core) tickLeader() {
	for _, p := range c.progress {
		p.sinceContact++
		p.sincePiece++
	}
	if c.electionElapsed >= c.cfg.ElectionTicks {
		c.electionElapsed = 0
		if !c.quorumActive() {
			c.counts.StepDowns++
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

// quorumActive tells whether a quorum was in contact since the last call.
func (c *Core) quorumActive() bool {
	m := c.log.membership()
	n := 0
	for _, member := range m.Members {
		p := c.progress[member.ID]
		if member.Voter && (member.ID == c.cfg.ID || p.active) {
			n++
		}
	}
	for _, p := range c.progress {
		p.active = false
	}
	return n >= m.Quorum()
}

func (c *Core) resetElection() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand.IntN(c.cfg.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term != c.term {
		c.term, c.vote = term, 0
	}
	if leader != c.leader {
		c.receiving = nil
	}
	c.role, c.leader = Follower, leader
	c.votes, c.progress, c.transferee = nil, nil, 0
	c.flush = false
	c.reads.reject()
	c.resetElection()
}

// preCampaign asks whether an election could be won, without raising the term.
func (c *Core) preCampaign() {
	c.role, c.leader = PreCandidate, 0
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	if c.wins() {
		c.campaign(false)
		return
	}
	c.askForVotes(MsgPreVote, c.term+1, false)
}

func (c *Core) campaign(transfer bool) {
	c.counts.Elections++
	c.role, c.leader = Candidate, 0
	c.term++
	c.vote = c.cfg.ID
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	c.resetElection()
	if c.wins() {
		c.becomeLeader()
		return
	}
	c.askForVotes(MsgVote, c.term, transfer)
}

func (c *Core) askForVotes(kind MessageKind, term uint64, transfer bool) {
	for _, member := range c.log.membership().Members {
		if member.Voter && member.ID != c.cfg.ID {
			c.send(Message{Kind: kind, To: member.ID, Term: term, PrevIndex: c.log.lastIndex(), PrevTerm: c.log.lastTerm(), Transfer: transfer})
		}
	}
}

// wins tells whether a quorum has granted its vote. Answers of replicas that
// are not voters do not count.
func (c *Core) wins() bool {
	m := c.log.membership()
	granted := 0
	for id, ok := range c.votes {
		if ok && m.IsVoter(id) {
			granted++
		}
	}
	return granted >= m.Quorum()
}

// loses tells whether so many voters have refused that a quorum is impossible.
func (c *Core) loses() bool {
	m := c.log.membership()
	refused := 0
	for id, ok := range c.votes {
		if !ok && m.IsVoter(id) {
			refused++
		}
	}
	return m.Voters()-refused < m.Quorum()
}

// handlePreVote grants if this replica could vote for the sender. Learners
// answer too: the sender may know that they have become voters.
func (c *Core) handlePreVote(m *Message) {
	possible := m.Term > c.term || c.vote == m.From || (c.vote == 0 && c.leader == 0)
	if possible && c.log.isUpToDate(m.PrevIndex, m.PrevTerm) {
		c.send(Message{Kind: MsgPreVoteAnswer, To: m.From, Term: m.Term})
		return
	}
	c.send(Message{Kind: MsgPreVoteAnswer, To: m.From, Reject: true})
}

func (c *Core) handlePreVoteAnswer(m *Message) {
	if c.role != PreCandidate || (!m.Reject && m.Term != c.term+1) {
		return
	}
	c.votes[m.From] = !m.Reject
	switch {
	case c.wins():
		c.campaign(false)
	case c.loses():
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) handleVote(m *Message) {
	possible := c.vote == m.From || (c.vote == 0 && c.leader == 0)
	if !possible || !c.log.isUpToDate(m.PrevIndex, m.PrevTerm) {
		c.send(Message{Kind: MsgVoteAnswer, To: m.From, Reject: true})
		return
	}
	c.vote = m.From
	c.electionElapsed = 0
	c.send(Message{Kind: MsgVoteAnswer, To: m.From})
}

func (c *Core) handleVoteAnswer(m *Message) {
	if c.role != Candidate {
		return
	}
	c.votes[m.From] = !m.Reject
	switch {
	case c.wins():
		c.becomeLeader()
	case c.loses():
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.cfg.ID
	c.votes, c.receiving = nil, nil
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.transferee = 0
	c.reads = readQueue{done: c.reads.done}
	c.progress = map[ReplicaID]*progress{}
	c.syncProgress()
	c.appendOwn(EntryNoop, nil)
}

// syncProgress keeps one progress for each other member.
func (c *Core) syncProgress() {
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
		c.progress[member.ID] = &progress{next: c.log.lastIndex() + 1, active: true}
	}
}

// TransferLeadership hands leadership to a voter, or to the one with the most
// entries if to is 0. Proposals are refused until it is done or an election
// timeout has passed.
func (c *Core) TransferLeadership(to ReplicaID) error {
	if c.err != nil {
		return c.err
	}
	if c.role != Leader {
		return ErrNotLeader
	}
	if to == 0 {
		to = c.bestSuccessor()
	}
	if p := c.progress[to]; p == nil || !c.log.membership().IsVoter(to) {
		return ErrUnknownMember
	}
	c.transferee, c.transferElapsed = to, 0
	c.flush = true
	c.maybeHandOver()
	return nil
}

func (c *Core) bestSuccessor() ReplicaID {
	var best ReplicaID
	var bestMatch uint64
	for _, member := range c.log.membership().Members {
		p := c.progress[member.ID]
		if p == nil || !member.Voter || p.sinceContact >= c.cfg.ElectionTicks {
			continue
		}
		if best == 0 || p.match > bestMatch {
			best, bestMatch = member.ID, p.match
		}
	}
	return best
}

// maybeHandOver lets the successor start its election once it has all entries.
func (c *Core) maybeHandOver() {
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
