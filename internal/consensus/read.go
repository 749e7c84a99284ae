package consensus

// readQueue holds the reads that wait for the leader to be confirmed.
type readQueue struct {
	round   uint64 // last heartbeat round started for a read
	waiting []pendingRead
	done    []ReadState
}

// pendingRead is a read. Its round is 0 until a heartbeat round was started.
type pendingRead struct {
	request uint64
	index   uint64
	round   uint64
}

// ReadIndex asks for a confirmed read. The answer with the same request number
// appears in Ready.Reads once a quorum has confirmed that this replica was the
// leader after the call.
func (c *Core) ReadIndex(request uint64) error {
	if c.err != nil {
		return c.err
	}
	if c.role != Leader {
		return ErrNotLeader
	}
	c.reads.waiting = append(c.reads.waiting, pendingRead{request: request})
	return nil
}

// committedOwnTerm tells whether the leader knows all that was committed before it.
func (c *Core) committedOwnTerm() bool {
	term, ok := c.log.term(c.log.commit)
	return ok && term == c.term
}

// due tells that a read waits for its round to be started.
func (q *readQueue) due(c *Core) bool {
	n := len(q.waiting)
	return n > 0 && q.waiting[n-1].round == 0 && c.role == Leader && c.committedOwnTerm()
}

// startReadRound starts one heartbeat round for all new reads.
func (c *Core) startReadRound() {
	q := &c.reads
	if !q.due(c) {
		return
	}
	q.round++
	for i := range q.waiting {
		if r := &q.waiting[i]; r.round == 0 {
			r.round, r.index = q.round, c.log.commit
		}
	}
	c.sendHeartbeats()
	c.confirmReads()
}

// confirmReads answers the reads whose round a quorum has confirmed.
func (c *Core) confirmReads() {
	q := &c.reads
	confirmed := c.quorumIndex(func(p *progress) uint64 { return p.readRound }, q.round)
	n := 0
	for n < len(q.waiting) && q.waiting[n].round != 0 && q.waiting[n].round <= confirmed {
		q.done = append(q.done, ReadState{Request: q.waiting[n].request, Index: q.waiting[n].index})
		n++
	}
	q.waiting = q.waiting[n:]
}

// reject answers all waiting reads after the leadership was lost.
func (q *readQueue) reject() {
	for _, r := range q.waiting {
		q.done = append(q.done, ReadState{Request: r.request, Rejected: true})
	}
	q.waiting = nil
	q.round = 0
}

func (q *readQueue) take() []ReadState {
	done := q.done
	q.done = nil
	return done
}
