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

// ErrNotAppended reports a command that was refused before it was appended to the log. It
// is never committed.
var ErrNotAppended = errors.New("the command was not appended to the log")

// proposal is a command that this replica has proposed and that is not applied yet.
type proposal struct {
	term       uint64
	proposedAt time.Time
	// command is what the entry holds, so that this replica need not decode it.
	command state.Command
	done    func(state.Result, error)
}

// propose appends a command to the log and calls done with its outcome, on the
// event loop. The leader sets the command's time.
func (r *Replica) propose(c state.Command, done func(state.Result, error)) {
	if err := r.appendCommand(c, done); err != nil {
		done(state.Result{}, err)
	}
}

// appendCommand appends a command to the log and calls done once with its outcome. If it
// returns an error, nothing was appended, and done is not called.
func (r *Replica) appendCommand(c state.Command, done func(state.Result, error)) error {
	proposedAt := time.Now()
	if !r.core.IsLeader() {
		r.countRefusal("not-leader")
		return r.notLeader()
	}
	c.Time = proposedAt.UTC().Round(0)
	data, err := state.EncodeCommand(&c)
	if err != nil {
		return err
	}
	index, err := r.core.Propose(data)
	if err != nil {
		return r.proposalError(err)
	}
	r.proposals[index] = &proposal{term: r.core.Term(), proposedAt: proposedAt, command: c, done: done}
	return nil
}

func (r *Replica) proposalError(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader), errors.Is(err, consensus.ErrTransferring):
		r.countRefusal("not-leader")
		return r.notLeader()
	case errors.Is(err, consensus.ErrTooManyUncommitted):
		r.countRefusal("busy")
	case errors.Is(err, consensus.ErrTooLarge):
		r.countRefusal("too-large")
	}
	return errs.New("propose: %w", err)
}

// resolveProposal reports the outcome of the entry at e.Index to its proposer. If
// the entry has another term, it replaced the proposal, which will never be
// committed.
func (r *Replica) resolveProposal(e *consensus.Entry, result state.Result, command bool) {
	p := r.proposals[e.Index]
	if p == nil {
		return
	}
	delete(r.proposals, e.Index)
	if !command || p.term != e.Term {
		p.done(state.Result{}, r.notLeader())
		return
	}
	r.metrics.Histogram("control_commit").RecordSince(p.proposedAt)
	p.done(result, nil)
}

// failProposals fails all pending proposals, whose outcome this replica may never
// learn.
func (r *Replica) failProposals() {
	pending := r.proposals
	r.proposals = map[uint64]*proposal{}
	for _, p := range pending {
		r.countRefusal("outcome-unknown")
		p.done(state.Result{}, operator.ErrUnknownOutcome)
	}
}

// failAll fails all requests that wait for this replica.
func (r *Replica) failAll() {
	r.failProposals()
	r.reads.failAll(r.notLeader())
	if r.asLeader != nil {
		r.stepDown()
	}
}

func (r *Replica) notLeader() error {
	if r.core.Leader() == r.id {
		return &operator.NotLeaderError{}
	}
	return &operator.NotLeaderError{Leader: r.addressOf(r.core.Leader()).Operator}
}

// describeCommand returns a description of a command for the log, without secrets
// and of bounded length.
func describeCommand(c *state.Command) string {
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
