package consensus

// readQueue holds the reads that wait for confirmation of the leadership.
type readQueue struct {
	round   uint64 // number of the last heartbeat round started for reads
	pending []pendingRead
	done    []ReadState
}

// pendingRead is an unconfirmed read. Its round is 0 until a heartbeat round is
// started for it.
type pendingRead struct {
	request uint64
	index   uint64
	round   uint64
}

// ReadIndex requests a linearisable read. A ReadState with the same request
// number appears in Ready.Reads once a quorum has confirmed that this replica was
// still the leader after the call, or once the replica loses leadership.
func (c *Core) ReadIndex(request uint64) error {
	if c.err != nil {
		return c.err
	}
	if c.role != Leader {
		return ErrNotLeader
	}
	c.reads.pending = append(c.reads.pending, pendingRead{request: request})
	return nil
}

// committedInCurrentTerm reports whether an entry of the current term is
// committed. Only then does a leader know all entries committed in earlier terms.
func (c *Core) committedInCurrentTerm() bool {
	term, ok := c.log.term(c.log.commit)
	return ok && term == c.term
}

// needsRound reports whether a heartbeat round has to be started for new reads.
func (q *readQueue) needsRound(c *Core) bool {
	n := len(q.pending)
	return n > 0 && q.pending[n-1].round == 0 && c.role == Leader && c.committedInCurrentTerm()
}

// startReadRound starts a heartbeat round that is shared by all new reads.
func (c *Core) startReadRound() {
	q := &c.reads
	if !q.needsRound(c) {
		return
	}
	q.round++
	for i := range q.pending {
		if r := &q.pending[i]; r.round == 0 {
			r.round, r.index = q.round, c.log.commit
		}
	}
	c.sendHeartbeats()
	c.confirmReads()
}

// confirmReads completes the reads whose round a quorum has confirmed.
func (c *Core) confirmReads() {
	q := &c.reads
	confirmed := c.quorumIndex(func(p *progress) uint64 { return p.readRound }, q.round)
	n := 0
	for n < len(q.pending) && q.pending[n].round != 0 && q.pending[n].round <= confirmed {
		q.done = append(q.done, ReadState{Request: q.pending[n].request, Index: q.pending[n].index})
		n++
	}
	q.pending = q.pending[n:]
}

// reject rejects all pending reads after a loss of leadership.
func (q *readQueue) reject() {
	for _, r := range q.pending {
		q.done = append(q.done, ReadState{Request: r.request, Rejected: true})
	}
	q.pending = nil
	q.round = 0
}

func (q *readQueue) takeDone() []ReadState {
	done := q.done
	q.done = nil
	return done
}
