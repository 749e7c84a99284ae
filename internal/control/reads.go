package control

import (
	"time"

	"cactusspar/internal/consensus"
)

// readInterval is the minimum time between two rounds of confirmation. Each round costs a
// message to and from each replica; reads that arrive in between share the next one.
const readInterval = 10 * time.Millisecond

// readQueue holds the reads that wait for a confirmation of the leadership or for
// their index to be applied.
type readQueue struct {
	// waiting are the reads that the next round confirms, lastRound when the last one began.
	waiting     []func(error)
	lastRound   time.Time
	lastRequest uint64
	pending     map[uint64][]func(error)
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
	if !r.core.IsLeader() {
		r.countRefusal("not-leader")
		serve(r.notLeader())
		return
	}
	r.reads.waiting = append(r.reads.waiting, serve)
}

// startReads begins a round of confirmation for the waiting reads if one is due.
func (r *Replica) startReads(now time.Time) {
	if len(r.reads.waiting) == 0 || now.Sub(r.reads.lastRound) < readInterval {
		return
	}
	waiting := r.reads.waiting
	r.reads.waiting, r.reads.lastRound = nil, now
	r.reads.lastRequest++
	request := r.reads.lastRequest
	if err := r.core.ReadIndex(request); err != nil {
		for _, serve := range waiting {
			r.countRefusal("not-leader")
			serve(r.notLeader())
		}
		return
	}
	if r.reads.pending == nil {
		r.reads.pending = map[uint64][]func(error){}
	}
	r.reads.pending[request] = waiting
}

// serveReads serves the reads that are confirmed and whose index is applied.
func (r *Replica) serveReads(states []consensus.ReadState) {
	for _, s := range states {
		reads := r.reads.pending[s.Request]
		delete(r.reads.pending, s.Request)
		for _, serve := range reads {
			if s.Rejected {
				r.countRefusal("not-leader")
				serve(r.notLeader())
			} else {
				r.reads.confirmed = append(r.reads.confirmed, confirmedRead{s.Index, serve})
			}
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
	waiting, pending, confirmed := q.waiting, q.pending, q.confirmed
	q.waiting, q.pending, q.confirmed = nil, nil, nil
	for _, serve := range waiting {
		serve(err)
	}
	for _, reads := range pending {
		for _, serve := range reads {
			serve(err)
		}
	}
	for _, c := range confirmed {
		c.serve(err)
	}
}
