package control

import (
	"time"

	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
	"cactusspar/internal/state"
)

// processReady handles the output of the consensus core until there is none left.
func (r *Replica) processReady() error {
	r.startReads(time.Now())
	for r.core.HasReady() {
		if err := r.handleReady(r.core.Ready()); err != nil {
			return err
		}
		r.core.Advance()
		r.updateRole()
	}
	if err := r.core.Err(); err != nil {
		r.metrics.Counter("control_violations_total", "kind", "core").Inc(1)
		return err
	}
	r.updateRole()
	r.startConfirmation(time.Now())
	if r.core.HasReady() {
		return r.processReady()
	}
	return r.maybeSnapshot()
}

func (r *Replica) handleReady(rd consensus.Ready) error {
	if changesMembership(&rd) {
		status := r.core.Status()
		r.membership = status.Membership
		voters := r.membership.Voters()
		r.log.Info("The membership of the group has changed.", "voters", voters, "learners", len(r.membership.Members)-voters, "commit", status.Commit)
	}
	r.transport.send(rd.PreSyncMessages)
	if err := r.saveReady(rd); err != nil {
		return err
	}
	r.transport.send(rd.Messages)
	if rd.Snapshot != nil {
		if err := r.installSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	began := time.Now()
	for i := range rd.Committed {
		if err := r.applyEntry(&rd.Committed[i]); err != nil {
			return err
		}
	}
	r.work.Applies += time.Since(began)
	r.serveReads(rd.Reads)
	return nil
}

// changesMembership reports whether rd may change the membership in force. A
// membership is in force from the moment its entry is in the log.
func changesMembership(rd *consensus.Ready) bool {
	if rd.Snapshot != nil {
		return true
	}
	for i := range rd.Entries {
		if rd.Entries[i].Kind == consensus.EntryMembership {
			return true
		}
	}
	return false
}

// saveReady makes rd durable. After a failure the content of the disk is unknown,
// so the replica stops and does not retry.
func (r *Replica) saveReady(rd consensus.Ready) error {
	if !rd.MustSync && rd.HardState == nil {
		return nil
	}
	began := time.Now()
	if err := r.storage.Save(rd); err != nil {
		r.metrics.Counter("control_storage_failures_total").Inc(1)
		return errs.New("save: %w", err)
	}
	r.work.Saves += time.Since(began)
	if rd.MustSync {
		r.metrics.Histogram("control_sync").RecordSince(began)
	}
	return nil
}

// installSnapshot replaces the state by a received snapshot.
func (r *Replica) installSnapshot(s *consensus.Snapshot) error {
	restored, err := state.Restore(s.Data)
	if err != nil {
		return errs.New("install snapshot %d: %w", s.Index, err)
	}
	r.state, r.applied = restored, s.Index
	r.snapshotIndex, r.snapshotEpoch = s.Index, s.Membership.Epoch
	r.log.Info("Installed a snapshot.", "index", s.Index)
	return nil
}

func (r *Replica) applyEntry(e *consensus.Entry) error {
	r.applied, r.appliedTerm = e.Index, e.Term
	if e.Kind != consensus.EntryCommand {
		r.resolveProposal(e, state.Result{}, false)
		return nil
	}
	c, err := r.commandOf(e)
	if err != nil {
		return errs.New("entry %d: %w", e.Index, err)
	}
	result := r.state.Apply(e.Index, c)
	r.countResult(&c, result)
	r.resolveProposal(e, result, true)
	if r.asLeader != nil && result.Err == nil {
		r.asLeader.applied(&c)
		r.asLeader.serviceApplied(c.Workload)
	}
	return nil
}

// commandOf returns the command of a committed entry. A leader has what it proposed: an entry of
// the same term at the same index is the proposed one. Only commands of the workload are reused,
// whose parts the state machine copies or owns.
func (r *Replica) commandOf(e *consensus.Entry) (state.Command, error) {
	if p := r.proposals[e.Index]; p != nil && p.term == e.Term && p.command.Workload != nil {
		return p.command, nil
	}
	return state.DecodeCommand(e.Data)
}

func (r *Replica) countResult(c *state.Command, result state.Result) {
	r.metrics.Counter("control_commands_total", "kind", c.Kind()).Inc(1)
	if result.Err == nil {
		return
	}
	r.metrics.Counter("control_rejections_total", "kind", c.Kind(), "code", string(result.Err.Code)).Inc(1)
	if result.Err.Code != state.CodeInvariant {
		return
	}
	r.metrics.Counter("control_violations_total", "kind", "state").Inc(1)
	r.log.Error(result.Err, "Rejected a command that breaks an invariant.", "index", result.Index, "command", describeCommand(c))
}

// snapshotDue reports whether enough entries were applied since the last snapshot,
// or whether the last snapshot has the membership epoch from before a forced
// recovery, which new replicas refuse.
func (r *Replica) snapshotDue() bool {
	if r.applied >= r.snapshotIndex+r.options.SnapshotEntries {
		return true
	}
	return r.snapshotIndex > 0 && r.applied > r.snapshotIndex && r.snapshotEpoch != r.membership.Epoch
}

// maybeSnapshot saves a snapshot if one is due, and compacts the log.
func (r *Replica) maybeSnapshot() error {
	if !r.snapshotDue() {
		return nil
	}
	began := time.Now()
	data, err := r.state.Encode()
	if err != nil {
		return err
	}
	s, err := r.core.MakeSnapshot(r.applied, data)
	if err != nil {
		return err
	}
	if err := r.storage.SaveSnapshot(s); err != nil {
		r.metrics.Counter("control_storage_failures_total").Inc(1)
		return errs.New("save snapshot: %w", err)
	}
	r.snapshotIndex, r.snapshotEpoch = s.Index, s.Membership.Epoch
	r.metrics.Histogram("control_snapshot").RecordSince(began)
	return r.core.Compact(s, min(retainedEntries, r.options.SnapshotEntries))
}

// updateRole begins or ends the leader state when the leadership was won or lost.
func (r *Replica) updateRole() {
	if r.asLeader != nil && (!r.core.IsLeader() || r.core.Term() != r.asLeader.term) {
		r.log.Info("Lost the leadership.", "term", r.asLeader.term)
		r.stepDown()
	}
	if r.asLeader == nil && r.core.IsLeader() {
		r.asLeader = newLeaderState(r, time.Now())
		r.log.Info("Became the leader.", "term", r.asLeader.term)
	}
}
