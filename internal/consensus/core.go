package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Config holds the settings of a Core. Zero values are replaced by those of
// DefaultConfig, except for ID and Rand, which are required.
type Config struct {
	ID ReplicaID
	// Rand randomises the election timeout. No one else may use it.
	Rand *rand.Rand
	// ElectionTicks is the minimum election timeout. Each timeout is drawn at
	// random from ElectionTicks up to, but not including, twice that number.
	ElectionTicks  int
	HeartbeatTicks int
	// MaxMessageBytes limits the entries in an append message. A single entry may
	// exceed it.
	MaxMessageBytes int
	// MaxCommandBytes limits the size of a proposed command.
	MaxCommandBytes int
	// MaxUncommittedBytes limits the leader's uncommitted entries.
	MaxUncommittedBytes int
	// MaxInFlight limits the unacknowledged append messages to a replica.
	MaxInFlight int
	// SnapshotChunkBytes is the size of a snapshot chunk.
	SnapshotChunkBytes int
	// MaxSnapshotBytes limits the size of a received snapshot.
	MaxSnapshotBytes uint64
	// MaxApplyBytes limits the entries in Ready.Committed. A single entry may
	// exceed it.
	MaxApplyBytes int
	// MaxRetainedBytes limits the entries covered by a snapshot that stay in
	// memory for replicas that still need them.
	MaxRetainedBytes int
}

// DefaultConfig returns the settings for ticks of 20 ms.
func DefaultConfig(id ReplicaID, r *rand.Rand) Config {
	return Config{
		ID: id, Rand: r,
		ElectionTicks:       15,
		HeartbeatTicks:      3,
		MaxMessageBytes:     256 << 10,
		MaxCommandBytes:     2 << 20,
		MaxUncommittedBytes: 16 << 20,
		MaxInFlight:         16,
		SnapshotChunkBytes:  256 << 10,
		MaxSnapshotBytes:    1 << 30,
		MaxApplyBytes:       4 << 20,
		MaxRetainedBytes:    8 << 20,
	}
}

func (c Config) withDefaults() (Config, error) {
	if c.ID == 0 || c.Rand == nil {
		return c, errors.New("consensus config: ID and Rand are required")
	}
	d := DefaultConfig(c.ID, c.Rand)
	for _, f := range []struct{ v, d *int }{
		{&c.ElectionTicks, &d.ElectionTicks},
		{&c.HeartbeatTicks, &d.HeartbeatTicks},
		{&c.MaxMessageBytes, &d.MaxMessageBytes},
		{&c.MaxCommandBytes, &d.MaxCommandBytes},
		{&c.MaxUncommittedBytes, &d.MaxUncommittedBytes},
		{&c.MaxInFlight, &d.MaxInFlight},
		{&c.SnapshotChunkBytes, &d.SnapshotChunkBytes},
		{&c.MaxApplyBytes, &d.MaxApplyBytes},
		{&c.MaxRetainedBytes, &d.MaxRetainedBytes},
	} {
		if *f.v == 0 {
			*f.v = *f.d
		}
		if *f.v < 0 {
			return c, errors.New("consensus config: negative setting")
		}
	}
	if c.MaxSnapshotBytes == 0 {
		c.MaxSnapshotBytes = d.MaxSnapshotBytes
	}
	if c.HeartbeatTicks >= c.ElectionTicks {
		return c, fmt.Errorf("consensus config: heartbeat interval of %d ticks, expected less than the election timeout of %d", c.HeartbeatTicks, c.ElectionTicks)
	}
	return c, nil
}

// Role is the Raft role of a replica.
type Role uint8

// Roles of a replica. Learners and replicas outside the group are followers.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Core is the Raft state machine of one replica.
type Core struct {
	cfg      Config
	log      *raftLog
	role     Role
	term     uint64
	vote     ReplicaID
	leader   ReplicaID
	err      error
	counters Counters

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	votes            map[ReplicaID]bool // responses in the current election: true if granted

	progress   map[ReplicaID]*progress // set on the leader only
	transferee ReplicaID
	// transferElapsed counts ticks since the leadership transfer began.
	transferElapsed int
	reads           readQueue
	incoming        *incomingSnapshot
	// responseEpoch is the epoch of the message being handled. A replica that has
	// no membership yet uses it in its responses.
	responseEpoch uint64

	messages        []Message
	pendingSnapshot *Snapshot
	appendsDue      bool // append messages or snapshot chunks may have to be sent
	lastHardState   HardState
	lastReady       readyState
}

// readyState describes the last Ready that was returned.
type readyState struct {
	lastIndex, lastTerm uint64
	outstanding         bool
	// election is whether its sync makes a new term, a vote or a snapshot durable.
	election bool
}

// Counters holds the counters of a Core.
type Counters struct {
	EpochMismatches uint64 // messages of another membership epoch, rejected
	Malformed       uint64 // malformed messages, rejected
	Misdirected     uint64 // messages for another replica, rejected
	Violations      uint64 // violated invariants; the core stops at the first one
	Elections       uint64 // elections started, without pre-votes
	StepDowns       uint64 // times a leader stepped down because it lost contact with a quorum
}

// New returns a core that resumes from durable.
func New(cfg Config, durable DurableState) (*Core, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	l, err := newLog(durable)
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, log: l, term: durable.HardState.Term, vote: durable.HardState.Vote}
	if c.term < l.lastTerm() {
		return nil, fmt.Errorf("durable state: term %d is below the last entry's term %d", c.term, l.lastTerm())
	}
	c.lastHardState = c.hardState()
	c.becomeFollower(c.term, 0)
	return c, nil
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
}

// fail stops the core with err, unless it has stopped already, and returns the
// error that stopped it.
func (c *Core) fail(err error) error {
	if err == nil || c.err != nil {
		return c.err
	}
	c.err = err
	c.counters.Violations++
	return err
}

func (c *Core) reportViolation(i Invariant, format string, args ...any) error {
	return c.fail(&InvariantError{i, fmt.Sprintf("replica %x, term %d: ", uint64(c.cfg.ID), c.term) + fmt.Sprintf(format, args...)})
}

// Err returns the error that stopped the core, or nil.
func (c *Core) Err() error { return c.err }

// Counters returns the counters.
func (c *Core) Counters() Counters { return c.counters }

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	if c.err != nil || c.lastReady.outstanding {
		return false
	}
	return len(c.messages) > 0 || c.appendsDue || c.reads.needsRound(c) || len(c.reads.done) > 0 ||
		c.pendingSnapshot != nil || c.log.stable < c.log.lastIndex() ||
		c.log.applied < c.log.commit || c.hardState() != c.lastHardState
}

// Ready returns the work to do next. It is empty if the core has stopped, and
// until Advance is called for the previous Ready.
func (c *Core) Ready() Ready {
	if c.err != nil || c.lastReady.outstanding {
		return Ready{}
	}
	c.startReadRound()
	c.sendPendingAppends()
	if c.checkHardState() != nil {
		return Ready{}
	}
	r := Ready{Snapshot: c.pendingSnapshot, Reads: c.reads.takeDone()}
	if hs := c.hardState(); hs != c.lastHardState {
		r.HardState = &hs
		r.MustSync = hs.Term != c.lastHardState.Term || hs.Vote != c.lastHardState.Vote
	}
	election := r.MustSync || r.Snapshot != nil
	c.splitMessages(&r)
	r.Entries = c.log.slice(c.log.stable+1, c.log.lastIndex())
	r.Committed = c.log.batch(c.log.applied+1, c.log.commit, c.cfg.MaxApplyBytes)
	r.MustSync = r.MustSync || len(r.Entries) > 0 || r.Snapshot != nil
	c.pendingSnapshot = nil
	c.lastHardState = c.hardState()
	c.log.applied += uint64(len(r.Committed))
	c.lastReady = readyState{lastIndex: c.log.lastIndex(), lastTerm: c.log.lastTerm(), outstanding: true, election: election}
	return r
}

// checkHardState checks the hard state against the one of the last Ready.
func (c *Core) checkHardState() error {
	last, hs := c.lastHardState, c.hardState()
	switch {
	case hs.Term < last.Term, hs.Commit < last.Commit:
		return c.reportViolation(HardStateDecreased, "term and commit go from %d, %d to %d, %d", last.Term, last.Commit, hs.Term, hs.Commit)
	case hs.Term == last.Term && last.Vote != 0 && hs.Vote != last.Vote:
		return c.reportViolation(DoubleVote, "voted for %x and now for %x", uint64(last.Vote), uint64(hs.Vote))
	}
	return nil
}

// splitMessages moves the messages that a leader may send before the sync to
// r.PreSyncMessages. If a new term or vote has to be synced, no message may precede it.
func (c *Core) splitMessages(r *Ready) {
	messages := c.takeMessages()
	if r.MustSync || c.role != Leader {
		r.Messages = messages
		return
	}
	for _, m := range messages {
		if m.precedesSync() {
			r.PreSyncMessages = append(r.PreSyncMessages, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
}

// precedesSync reports whether a leader may send the message before its own entries are durable.
func (m *Message) precedesSync() bool {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshotChunk, MsgTimeoutNow:
		return true
	}
	return false
}

// Meanwhile returns what a leader may do while its last Ready is being made durable: messages that
// don't depend on that, further entries that a quorum of the other replicas has committed, and
// reads. The Committed and Reads of the last Ready come before these. A leader whose disk is slow
// counts itself for no entry that is not durable here, and is no worse than one that has lost its
// disk. It returns nothing while a term, a vote or a snapshot is being made durable.
func (c *Core) Meanwhile() Ready {
	if c.err != nil || c.role != Leader || !c.lastReady.outstanding || c.lastReady.election {
		return Ready{}
	}
	if hs := c.hardState(); hs.Term != c.lastHardState.Term || hs.Vote != c.lastHardState.Vote {
		return Ready{} // the only voter has elected itself
	}
	c.startReadRound()
	c.sendPendingAppends()
	r := Ready{Reads: c.reads.takeDone(), Committed: c.log.batch(c.log.applied+1, c.log.commit, c.cfg.MaxApplyBytes)}
	c.log.applied += uint64(len(r.Committed))
	for _, m := range c.takeMessages() {
		if m.precedesSync() {
			r.PreSyncMessages = append(r.PreSyncMessages, m)
		} else {
			c.messages = append(c.messages, m)
		}
	}
	return r
}

// Advance tells the core that the last Ready is durable and handled.
func (c *Core) Advance() {
	if c.err != nil || !c.lastReady.outstanding {
		return
	}
	c.lastReady.outstanding = false
	// Entries replaced since that Ready are not durable.
	if term, ok := c.log.term(c.lastReady.lastIndex); ok && term == c.lastReady.lastTerm {
		c.log.stable = max(c.log.stable, c.lastReady.lastIndex)
	}
	if c.role == Leader {
		c.maybeCommit()
	}
}

// Durable returns the highest index up to which entries are known to be durable here.
func (c *Core) Durable() uint64 { return c.log.stable }

// MakeSnapshot returns a snapshot of the state machine at an applied index. The
// caller stores it and, once it is durable, passes it to Compact.
func (c *Core) MakeSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.log.applied {
		return Snapshot{}, fmt.Errorf("snapshot at index %d: %w", index, ErrIndexUnavailable)
	}
	return Snapshot{Index: index, Term: term, Membership: c.log.membershipAt(index), Data: data}, nil
}

// Compact discards the entries covered by a durable snapshot. It retains the
// last keep of them, so that a slightly slow follower needs no snapshot, and
// those that a replica in contact still needs, up to MaxRetainedBytes. Without
// the latter, a replica that receives its snapshot after the next compaction
// would need one snapshot after another.
func (c *Core) Compact(s Snapshot, keep uint64) error {
	if c.err != nil {
		return c.err
	}
	term, ok := c.log.term(s.Index)
	if !ok || term != s.Term || s.Index > c.log.applied {
		return fmt.Errorf("compact up to %d: %w", s.Index, ErrIndexUnavailable)
	}
	c.log.snapshot = &s
	first := s.Index - min(keep, s.Index)
	c.log.compact(max(min(first, c.neededAfter()), c.log.retainedAfter(s.Index, c.cfg.MaxRetainedBytes)))
	return nil
}

// neededAfter returns the index after which replicas in contact still need
// entries.
func (c *Core) neededAfter() uint64 {
	index := c.log.lastIndex()
	for _, p := range c.progress {
		switch {
		case p.ticksSinceContact >= c.cfg.ElectionTicks:
		case p.mode == modeReplicate:
			index = min(index, p.match)
		case p.mode == modeSnapshot:
			index = min(index, p.outgoing.Index)
		}
	}
	return index
}

// ReplicaStatus is the leader's view of a replica.
type ReplicaStatus struct {
	ID    ReplicaID
	Match uint64 // highest index known to be durable on the replica
	// TicksSinceContact counts ticks since the last message from the replica.
	TicksSinceContact int
	Snapshot          bool // a snapshot is being sent to the replica
}

// Status describes the state of a Core.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID // 0 if unknown
	Commit     uint64
	Applied    uint64
	First      uint64 // index of the first entry held in memory
	Last       uint64
	Snapshot   uint64 // index of the last snapshot, 0 if none
	Membership Membership
	// ChangePending is set while the latest membership is not committed.
	ChangePending bool
	Transferee    ReplicaID
	Replicas      []ReplicaStatus // set on the leader only, in the order of Membership
}

// Status returns a copy of the core's state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.log.commit, Applied: c.log.applied,
		First: c.log.prevIndex + 1, Last: c.log.lastIndex(),
		Membership: c.log.membership(), ChangePending: c.log.membershipIndex() > c.log.commit,
		Transferee: c.transferee,
	}
	if c.log.snapshot != nil {
		s.Snapshot = c.log.snapshot.Index
	}
	if c.role != Leader {
		return s
	}
	for _, m := range s.Membership.Members {
		if m.ID == c.cfg.ID {
			s.Replicas = append(s.Replicas, ReplicaStatus{ID: m.ID, Match: c.log.stable})
			continue
		}
		p := c.progress[m.ID]
		s.Replicas = append(s.Replicas, ReplicaStatus{ID: m.ID, Match: p.match, TicksSinceContact: p.ticksSinceContact, Snapshot: p.mode == modeSnapshot})
	}
	return s
}

// IsLeader reports whether the core considers itself the leader. Another replica
// may have been elected since; only a confirmed read rules that out.
func (c *Core) IsLeader() bool { return c.role == Leader }

// Leader returns the known leader, or 0.
func (c *Core) Leader() ReplicaID { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }
