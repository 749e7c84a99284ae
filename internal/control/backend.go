package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

var _ operator.Backend = (*Replica)(nil)

// Propose commits a command and returns its result. It returns
// operator.ErrUnknownOutcome if the command may still be committed.
func (r *Replica) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	type outcome struct {
		result state.Result
		err    error
	}
	done := make(chan outcome, 1)
	err := r.post(ctx, func() {
		r.propose(c, func(result state.Result, err error) { done <- outcome{result, err} })
	})
	if err != nil {
		return state.Result{}, errs.New("propose: %w", err)
	}
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return state.Result{}, errs.New("%w: %w", operator.ErrUnknownOutcome, ctx.Err())
	case <-r.done:
		return state.Result{}, operator.ErrUnknownOutcome
	}
}

// Read runs f on the state once this replica is confirmed as the leader and has
// applied all entries that were committed before the call.
func (r *Replica) Read(ctx context.Context, f func(*state.State)) error {
	return r.wait(ctx, func(done func(error)) {
		r.read(func(err error) {
			if err == nil && ctx.Err() == nil {
				f(r.state)
			}
			done(err)
		})
	})
}

// wait runs f on the event loop and waits until f calls done.
func (r *Replica) wait(ctx context.Context, f func(done func(error))) error {
	done := make(chan error, 1)
	if err := r.post(ctx, func() { f(func(err error) { done <- err }) }); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return errStopped
	}
}

// Status returns the last published status of this replica.
func (r *Replica) Status() operator.Status { return *r.status.Load() }

// publishStatus makes the present status visible to other goroutines.
func (r *Replica) publishStatus() {
	core := r.core.Status()
	s := &operator.Status{
		Name: r.options.Self.Name, Replica: fmt.Sprintf("%016x", uint64(r.id)), Role: r.role(&core),
		Term: core.Term, Commit: core.Commit, Applied: r.applied, Epoch: core.Membership.Epoch,
	}
	if m, ok := core.Membership.Find(core.Leader); ok {
		s.Leader = m.Name
	}
	for i, m := range core.Membership.Members {
		member := operator.ReplicaStatus{Name: m.Name, Addr: m.Addr, Voter: m.Voter}
		if i < len(core.Replicas) {
			member.Match = core.Replicas[i].Match
		}
		s.Members = append(s.Members, member)
	}
	if err := r.core.Err(); err != nil {
		s.Findings = append(s.Findings, err.Error())
	}
	if r.state.Violations > 0 {
		s.Findings = append(s.Findings, fmt.Sprintf("%d commands were rejected because they would have broken an invariant", r.state.Violations))
	}
	if !r.fullSince.IsZero() {
		s.Findings = append(s.Findings, "the disk has been full since "+r.fullSince.UTC().Format(time.RFC3339))
	}
	r.status.Store(s)
	r.updateMetrics(&core)
}

func (r *Replica) role(core *consensus.Status) string {
	switch {
	case core.Role == consensus.Leader:
		return "leader"
	case core.Role != consensus.Follower:
		return "candidate"
	case core.Membership.IsVoter(r.id):
		return "follower"
	}
	return "learner"
}

func (r *Replica) updateMetrics(core *consensus.Status) {
	leading := int64(0)
	if core.Role == consensus.Leader {
		leading = 1
	}
	r.metrics.Gauge("control_leader").Update(leading)
	full := int64(0)
	if !r.fullSince.IsZero() {
		full = 1
	}
	r.metrics.Gauge("control_disk_full").Update(full)
	r.metrics.Gauge("control_term").Update(int64(core.Term))
	r.metrics.Gauge("control_commit_index").Update(int64(core.Commit))
	r.metrics.Gauge("control_applied_index").Update(int64(r.applied))
	r.metrics.Gauge("control_violations").Update(int64(r.state.Violations))
	counters := r.core.Counters()
	r.metrics.Counter("control_refusals_total", "reason", "foreign-epoch").Inc(int64(counters.EpochMismatches - r.reportedCounters.EpochMismatches))
	r.metrics.Counter("control_refusals_total", "reason", "malformed-raft").Inc(int64(counters.Malformed - r.reportedCounters.Malformed))
	r.metrics.Counter("control_refusals_total", "reason", "misdirected-raft").Inc(int64(counters.Misdirected - r.reportedCounters.Misdirected))
	r.metrics.Counter("control_elections_total").Inc(int64(counters.Elections - r.reportedCounters.Elections))
	r.metrics.Counter("control_step_downs_total").Inc(int64(counters.StepDowns - r.reportedCounters.StepDowns))
	r.reportedCounters = counters
	r.metrics.Gauge("control_peer_bytes", "direction", "in").Update(r.counters.BytesIn.Load())
	r.metrics.Gauge("control_peer_bytes", "direction", "out").Update(r.counters.BytesOut.Load())
	r.metrics.Gauge("control_peer_frames", "outcome", "malformed").Update(r.counters.Malformed.Load())
	r.metrics.Gauge("control_peer_frames", "outcome", "dropped").Update(r.counters.Dropped.Load())
	r.metrics.Gauge("control_peer_connections_silent").Update(r.counters.Silent.Load())
	r.metrics.Gauge("control_peer_connections_refused").Update(r.counters.Refused.Load())
}

const (
	// membershipRetryInterval is the time between two attempts at the next step of
	// a membership change.
	membershipRetryInterval = 50 * time.Millisecond
)

// AddReplica adds a replica as a learner and waits until it has a vote. The
// replica must be running, because it is probed for its identity.
func (r *Replica) AddReplica(ctx context.Context, name, addr string) error {
	response, err := r.transport.probe(ctx, addr)
	if err != nil {
		return errs.New("add replica %s: %w", name, err)
	}
	if response.Self.Name != name {
		return errs.New("add replica %s: the replica at %s is named %s", name, addr, response.Self.Name)
	}
	m := consensus.Member{ID: response.Replica, Name: name, Addr: addr}
	return r.changeMembership(ctx, func() (bool, error) { return r.core.Join(m) })
}

// RemoveReplica removes a replica from the group. A leader that is to be removed
// transfers its leadership and returns a not-leader error, so that the caller
// repeats the request at the new leader.
func (r *Replica) RemoveReplica(ctx context.Context, name string) error {
	return r.changeMembership(ctx, func() (bool, error) {
		status := r.core.Status()
		members := status.Membership
		m, ok := members.FindName(name)
		switch {
		case !r.core.IsLeader():
			return false, consensus.ErrNotLeader
		case !ok:
			return !status.ChangePending, nil
		case m.Voter && members.Voters() == 1:
			return false, errs.New("replica %s is the only voter", name)
		case m.ID == r.id:
			if err := r.core.TransferLeadership(0); err != nil {
				return false, err
			}
			return false, consensus.ErrChangePending
		}
		return false, r.core.Remove(m.ID)
	})
}

// changeMembership repeats a step of a membership change until it is finished. It returns
// operator.ErrUnknownOutcome if this replica stops or loses the leadership after a step was
// proposed.
func (r *Replica) changeMembership(ctx context.Context, step func() (bool, error)) error {
	proposed := false
	for {
		finished := false
		err := r.wait(ctx, func(done func(error)) {
			var err error
			finished, err = step()
			done(err)
		})
		proposed = proposed || err == nil
		switch {
		case err == nil && finished:
			return nil
		case err == nil, errors.Is(err, consensus.ErrChangePending), errors.Is(err, consensus.ErrNotCaughtUp),
			errors.Is(err, consensus.ErrNameTaken), errors.Is(err, consensus.ErrTransferring):
		case proposed && (errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, errStopped)):
			return operator.ErrUnknownOutcome
		case errors.Is(err, consensus.ErrNotLeader):
			return r.leaderError(ctx)
		default:
			return err
		}
		select {
		case <-time.After(membershipRetryInterval):
		case <-ctx.Done():
			return errs.New("membership change is under way: %w", errors.Join(ctx.Err(), err))
		}
	}
}

func (r *Replica) leaderError(ctx context.Context) error {
	return r.wait(ctx, func(done func(error)) { done(r.notLeader()) })
}
