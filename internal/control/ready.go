package control

import (
	"time"

	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
	"cactusspar/internal/state"
)

// process carries out what the core asks for until there is nothing left.
func (r *Replica) process() error {
	for r.core.HasReady() {
		if err := r.handle(r.core.Ready()); err != nil {
			return err
		}
		r.core.Advance()
		r.followRole()
	}
	if err := r.core.Err(); err != nil {
		r.metrics.Counter("control_violations_total", "kind", "core").Inc(1)
		return err
	}
	r.followRole()
	r.startRenewRound(time.Now())
	if r.core.HasReady() {
		return r.process()
	}
	return r.maybeSnapshot()
}

func (r *Replica) handle(rd consensus.Ready) error {
	if changesMembership(&rd) {
		r.group = r.core.Status().Membership
	}
	r.transport.send(rd.Early)
	if err := r.save(rd); err != nil {
		return err
	}
	r.transport.send(rd.Messages)
	if rd.Snapshot != nil {
		if err := r.install(rd.Snapshot); err != nil {
			return err
		}
	}
	for i := range rd.Committed {
		if err := r.apply(&rd.Committed[i]); err != nil {
			return err
		}
	}
	r.confirm(rd.Reads)
	return nil
}

// changesMembership tells that the membership in force may be another one. A
// membership counts from the moment its entry is in the log.
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

// save makes the Ready durable. After a failure nothing is known of the disk,
// so that the replica stops and does not try again.
func (r *Replica) save(rd consensus.Ready) error {
	if !rd.MustSync && rd.HardState == nil {
		return nil
	}
	began := time.Now()
	if err := r.storage.Save(rd); err != nil {
		r.metrics.Counter("control_storage_failures_total").Inc(1)
		return errs.New("save: %w", err)
	}
	if rd.MustSync {
		r.metrics.Histogram("control_sync").RecordSince(began)
	}
	return nil
}

// install replaces the state by a received snapshot.
func (r *Replica) install(s *consensus.Snapshot) error {
	restored, err := state.Restore(s.Data)
	if err != nil {
		return errs.New("install snapshot %d: %w", s.Index, err)
	}
	r.state, r.applied = restored, s.Index
	r.snapshot, r.snapshotEpoch = s.Index, s.Membership.Epoch
	r.log.Info("Installed a snapshot.", "index", s.Index)
	return nil
}

func (r *Replica) apply(e *consensus.Entry) error {
	r.applied, r.settledTerm = e.Index, e.Term
	if e.Kind != consensus.EntryCommand {
		r.answer(e, state.Result{}, false)
		return nil
	}
	c, err := state.DecodeCommand(e.Data)
	if err != nil {
		return errs.New("entry %d: %w", e.Index, err)
	}
	result := r.state.Apply(e.Index, c)
	r.countResult(&c, result)
	r.answer(e, result, true)
	if r.lead != nil && result.Err == nil {
		r.lead.applied(&c)
		r.lead.serviceApplied(c.Workload)
	}
	return nil
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
	r.log.Error(result.Err, "Rejected a command that breaks an invariant.", "index", result.Index, "command", describe(c))
}

// snapshotDue tells that the log has grown long, or that the last snapshot has
// the membership epoch from before a forced recovery, which new replicas refuse.
func (r *Replica) snapshotDue() bool {
	if r.applied >= r.snapshot+r.options.SnapshotEntries {
		return true
	}
	return r.snapshot > 0 && r.applied > r.snapshot && r.snapshotEpoch != r.group.Epoch
}

// maybeSnapshot saves the state and drops the log before it.
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
	r.snapshot, r.snapshotEpoch = s.Index, s.Membership.Epoch
	r.metrics.Histogram("control_snapshot").RecordSince(began)
	return r.core.Compact(s, min(keptEntries, r.options.SnapshotEntries))
}

// followRole notices that the leadership was won or lost.
func (r *Replica) followRole() {
	if r.lead != nil && (!r.core.IsLeader() || r.core.Term() != r.lead.term) {
		r.log.Info("Lost the leadership.", "term", r.lead.term)
		r.stepDown()
	}
	if r.lead == nil && r.core.IsLeader() {
		r.lead = newLeader(r, time.Now())
		r.log.Info("Became the leader.", "term", r.lead.term)
	}
}
