package control

import (
	"cactusspar/internal/consensus"
)

// readTable holds the confirmed reads that are under way.
type readTable struct {
	last    uint64
	pending map[uint64]func(error)
	// confirmed reads wait until their index is applied.
	confirmed []confirmedRead
}

type confirmedRead struct {
	index uint64
	serve func(error)
}

// read calls serve once this replica was confirmed as the leader after the call
// and has applied all that was committed before.
func (r *Replica) read(serve func(error)) {
	r.reads.last++
	request := r.reads.last
	if err := r.core.ReadIndex(request); err != nil {
		r.refused("not-leader")
		serve(r.notLeader())
		return
	}
	if r.reads.pending == nil {
		r.reads.pending = map[uint64]func(error){}
	}
	r.reads.pending[request] = serve
}

// confirm serves the reads that are confirmed and whose index is applied.
func (r *Replica) confirm(states []consensus.ReadState) {
	for _, s := range states {
		serve := r.reads.pending[s.Request]
		delete(r.reads.pending, s.Request)
		switch {
		case serve == nil:
		case s.Rejected:
			r.refused("not-leader")
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

// failAll ends all reads with err.
func (t *readTable) failAll(err error) {
	pending, confirmed := t.pending, t.confirmed
	t.pending, t.confirmed = nil, nil
	for _, serve := range pending {
		serve(err)
	}
	for _, c := range confirmed {
		c.serve(err)
	}
}
