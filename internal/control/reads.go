package control

import (
	"cactusspar/internal/consensus"
)

// readQueue holds the reads that wait for a confirmation of the leadership or for
// their index to be applied.
type readQueue struct {
	lastRequest uint64
	pending     map[uint64]func(error)
	// confirmed are the reads that wait until their index is applied.
	confirmed []confirmedRead
}

type confirmedRead struct {
	index uint64
	serve func(error)
}

// read calls serve once this replica is confirmed as the leader and has applied all
// entries that were committed before the call.
func (r *Replica) read(serve func(error)) {
	r.reads.lastRequest++
	request := r.reads.lastRequest
	if err := r.core.ReadIndex(request); err != nil {
		r.countRefusal("not-leader")
		serve(r.notLeader())
		return
	}
	if r.reads.pending == nil {
		r.reads.pending = map[uint64]func(error){}
	}
	r.reads.pending[request] = serve
}

// serveReads serves the reads that are confirmed and whose index is applied.
func (r *Replica) serveReads(states []consensus.ReadState) {
	for _, s := range states {
		serve := r.reads.pending[s.Request]
		delete(r.reads.pending, s.Request)
		switch {
		case serve == nil:
		case s.Rejected:
			r.countRefusal("not-leader")
			serve(r.notLeader())
		default:
			r.reads.confirmed = append(r.reads.confirmed, confirmedRead{s.Index, serve})
		}
	}
	waiting := r.reads.confirmed
	r.reads.confirmed = nil
	for _, c := range waiting {
		if c.index <= r.applied {
			c.serve(nil)
		} else {
			r.reads.confirmed = append(r.reads.confirmed, c)
		}
	}
}

// failAll fails all pending reads with err.
func (q *readQueue) failAll(err error) {
	pending, confirmed := q.pending, q.confirmed
	q.pending, q.confirmed = nil, nil
	for _, serve := range pending {
		serve(err)
	}
	for _, c := range confirmed {
		c.serve(err)
	}
}
