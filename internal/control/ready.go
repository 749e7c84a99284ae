package control

import (
	"errors"
	"time"

	"github.com/zeebo/errs"

	"cactusspar/internal/consensus"
	"cactusspar/internal/state"
	"cactusspar/internal/wal"
)

// processReady handles the output of the consensus core until there is none left, or until a part
// of it waits for the disk. The event loop goes on with other work in the meantime.
func (r *Replica) processReady() error {
	r.startReads(time.Now())
	for r.core.HasReady() { // false while a save is in progress
		rd := r.core.Ready()
		if err := r.beginReady(&rd); err != nil {
			return err
		}
		if rd.MustSync && r.saves != nil {
			r.startSave(&rd)
			break
		}
		if err := r.saveReady(rd); err != nil {
			return err
		}
		if err := r.finishReady(&rd); err != nil {
			return err
		}
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
	if r.saving != nil {
		return r.continueBesideSave(time.Now())
	}
	return r.maybeSnapshot()
}

const (
	// slowSave is how long a save takes before a leader goes on beside it. It is several times what
	// a save takes usually, so that otherwise the entries of one save leave together.
	slowSave = 40 * time.Millisecond
	// besideSaveInterval is the interval at which it then sends and applies.
	besideSaveInterval = 10 * time.Millisecond
	// maxSaveWhileLeading is the duration of a save after which a leader gives up the leadership. What
	// it can't save stays in memory.
	maxSaveWhileLeading = 10 * time.Second
)

// continueBesideSave lets a leader whose disk is slow go on with the other replicas: a leader that
// waited for a stalled disk was replaced, and its callers with it, although the others had no need
// of that disk.
func (r *Replica) continueBesideSave(now time.Time) error {
	took := now.Sub(r.savingSince)
	if !r.fullSince.IsZero() || took < slowSave || now.Sub(r.besideSaveAt) < besideSaveInterval || !r.core.IsLeader() {
		return nil
	}
	if took >= maxSaveWhileLeading {
		r.log.Info("The disk does not respond; giving up the leadership.", "save_ms", took.Milliseconds())
		r.transport.send(r.core.Resign())
		r.updateRole()
		return nil
	}
	if r.besideSaveAt.Before(r.savingSince) {
		r.metrics.Counter("control_slow_saves_total").Inc(1)
	}
	r.besideSaveAt = now
	rd := r.core.Meanwhile()
	r.transport.send(rd.PreSyncMessages)
	if err := r.applyCommitted(r.saving); err != nil {
		return err
	}
	r.saving.Committed, r.saving.Reads = nil, nil
	return r.applyCommitted(&rd)
}

// beginReady does what need not wait until the output is durable: it also applies committed
// entries that are durable here already.
func (r *Replica) beginReady(rd *consensus.Ready) error {
	if changesMembership(rd) {
		status := r.core.Status()
		r.membership = status.Membership
		voters := r.membership.Voters()
		r.log.Info("The membership of the group has changed.", "voters", voters, "learners", len(r.membership.Members)-voters, "commit", status.Commit)
	}
	r.transport.send(rd.PreSyncMessages)
	if n := len(rd.Committed); rd.Snapshot != nil || n > 0 && rd.Committed[n-1].Index > r.core.Durable() {
		return nil
	}
	err := r.applyCommitted(rd)
	rd.Committed, rd.Reads = nil, nil
	return err
}

// applyCommitted applies the committed entries of an output and serves the reads.
func (r *Replica) applyCommitted(rd *consensus.Ready) error {
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

// finishReady does the rest once the output is durable.
func (r *Replica) finishReady(rd *consensus.Ready) error {
	r.transport.send(rd.Messages)
	if rd.Snapshot != nil {
		if err := r.installSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if err := r.applyCommitted(rd); err != nil {
		return err
	}
	r.core.Advance()
	r.updateRole()
	return nil
}

// runSaves makes outputs durable, one at a time, until saves is closed. An event loop that waited
// for the disk itself spent half of its time on that in load peaks.
func (r *Replica) runSaves(saves <-chan consensus.Ready, saved chan<- error) {
	for rd := range saves {
		saved <- r.saveReady(rd)
	}
}

// handleSaved continues after a save.
func (r *Replica) handleSaved(err error) error {
	r.saveInProgress = false
	r.work.Saves += time.Since(r.savingSince)
	if errors.Is(err, wal.ErrNoRoom) {
		r.awaitRoom(err)
		return nil
	}
	rd := r.saving
	r.saving = nil
	if err != nil {
		return err
	}
	if !r.fullSince.IsZero() {
		r.log.Info("The disk has room again.", "full_ms", time.Since(r.fullSince).Milliseconds())
		r.fullSince = time.Time{}
	}
	return r.finishReady(rd)
}

// startSave passes an output to the goroutine that makes it durable.
func (r *Replica) startSave(rd *consensus.Ready) {
	r.saving, r.savingSince, r.saveInProgress = rd, time.Now(), true
	r.saves <- *rd
}

// roomRetryInterval is the interval at which a save is repeated that found no room.
const roomRetryInterval = 100 * time.Millisecond

// awaitRoom keeps the output that found no room on the disk until it can be saved. The replica
// neither votes nor follows until then, but goes on with what needs no disk. A leader gives up the
// leadership, because it can't commit anything by itself.
func (r *Replica) awaitRoom(err error) {
	r.saveRetryAt = time.Now().Add(roomRetryInterval)
	if !r.fullSince.IsZero() {
		return
	}
	r.fullSince = time.Now()
	r.metrics.Counter("control_disk_full_total").Inc(1)
	r.log.Info("The disk is full; waiting for room.", "leads", r.core.IsLeader(), "reason", err.Error())
	r.transport.send(r.core.Resign())
}

// tickStorage repeats a save that found no room.
func (r *Replica) tickStorage(now time.Time) {
	if r.fullSince.IsZero() {
		return
	}
	r.core.DiscardMessages()
	if r.saving != nil && !r.saveInProgress && !now.Before(r.saveRetryAt) {
		r.startSave(r.saving)
	}
}

// awaitSave waits for the save in progress, if there is one, and continues after it.
func (r *Replica) awaitSave() error {
	if !r.saveInProgress {
		return nil
	}
	return r.handleSaved(<-r.saved)
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
	err := r.storage.Save(rd)
	if errors.Is(err, wal.ErrNoRoom) {
		return err
	}
	if err != nil {
		r.metrics.Counter("control_storage_failures_total").Inc(1)
		return errs.New("save: %w", err)
	}
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

// snapshotRetryInterval is the interval at which a snapshot is repeated that found no room. Each
// one encodes the whole state.
const snapshotRetryInterval = 2 * time.Second

// maybeSnapshot saves a snapshot if one is due, and compacts the log.
func (r *Replica) maybeSnapshot() error {
	if !r.snapshotDue() || time.Now().Before(r.snapshotRetryAt) {
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
	err = r.storage.SaveSnapshot(s)
	if errors.Is(err, wal.ErrNoRoom) {
		r.log.Info("The disk has no room for a snapshot; the log is not compacted.", "index", s.Index, "bytes", len(s.Data))
		r.metrics.Counter("control_snapshots_refused_total").Inc(1)
		r.snapshotRetryAt = time.Now().Add(snapshotRetryInterval)
		return nil
	}
	if err != nil {
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
