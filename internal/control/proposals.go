package control

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

// proposal is a command of this replica that is not committed yet.
type proposal struct {
	term  uint64
	began time.Time
	done  func(state.Result, error)
}

// propose appends a command to the log and calls done with its outcome, on the
// owning goroutine. The leader sets the command's time.
func (r *Replica) propose(c state.Command, done func(state.Result, error)) {
	began := time.Now()
	if !r.core.IsLeader() {
		r.refused("not-leader")
		done(state.Result{}, r.notLeader())
		return
	}
	c.Time = began.UTC().Round(0)
	data, err := state.EncodeCommand(&c)
	if err != nil {
		done(state.Result{}, err)
		return
	}
	index, err := r.core.Propose(data)
	if err != nil {
		done(state.Result{}, r.proposalError(err))
		return
	}
	r.proposals[index] = &proposal{term: r.core.Term(), began: began, done: done}
}

func (r *Replica) proposalError(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader), errors.Is(err, consensus.ErrTransferring):
		r.refused("not-leader")
		return r.notLeader()
	case errors.Is(err, consensus.ErrBusy):
		r.refused("busy")
	case errors.Is(err, consensus.ErrTooLarge):
		r.refused("too-large")
	}
	return errs.New("propose: %w", err)
}

// answer tells the proposer of the entry at e.Index its outcome. An entry of
// another term took the place of the proposal, which will never be committed.
func (r *Replica) answer(e *consensus.Entry, result state.Result, command bool) {
	p := r.proposals[e.Index]
	if p == nil {
		return
	}
	delete(r.proposals, e.Index)
	if !command || p.term != e.Term {
		p.done(state.Result{}, r.notLeader())
		return
	}
	r.metrics.Histogram("control_commit").RecordSince(p.began)
	p.done(result, nil)
}

// failProposals ends all proposals whose outcome this replica may never learn.
func (r *Replica) failProposals() {
	pending := r.proposals
	r.proposals = map[uint64]*proposal{}
	for _, p := range pending {
		r.refused("outcome-unknown")
		p.done(state.Result{}, operator.ErrUnknownOutcome)
	}
}

// failAll ends everything that waits for this replica.
func (r *Replica) failAll() {
	r.failProposals()
	r.reads.failAll(r.notLeader())
	if r.lead != nil {
		r.stepDown()
	}
}

func (r *Replica) notLeader() error {
	if r.core.Leader() == r.id {
		return &operator.NotLeaderError{}
	}
	return &operator.NotLeaderError{Leader: r.addressOf(r.core.Leader()).Operator}
}

// describe names a command for a log line without its secrets and its bulk.
func describe(c *state.Command) string {
	const maxBytes = 2000
	text := c.Kind()
	switch {
	case c.SetGrants != nil:
		text += fmt.Sprintf(" %+v", c.SetGrants.Grants)
	case c.AssignPools != nil:
		text += fmt.Sprintf(" %+v", c.AssignPools.Assignments)
	case c.SetCondition != nil:
		text += fmt.Sprintf(" %+v", *c.SetCondition)
	case c.MoveInstance != nil:
		text += fmt.Sprintf(" %+v", *c.MoveInstance)
	}
	return text[:min(len(text), maxBytes)]
}
