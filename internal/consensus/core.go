package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Config holds the settings of a Core. Zero values are replaced by the defaults
// of DefaultConfig, except for ID and Rand.
type Config struct {
	ID ReplicaID
	// Rand randomises the election timeout. It is used by the core only.
	Rand *rand.Rand
	// ElectionTicks is the shortest election timeout. The timeout is drawn anew
	// for each election, from ElectionTicks to twice as many.
	ElectionTicks  int
	HeartbeatTicks int
	// MaxMessageBytes bounds the entries in one append. A single entry may exceed it.
	MaxMessageBytes int
	// MaxCommandBytes bounds a proposal.
	MaxCommandBytes int
	// MaxUncommittedBytes bounds the entries that wait to be committed.
	MaxUncommittedBytes int
	// MaxInFlight bounds the appends sent to a replica and not answered.
	MaxInFlight int
	// PieceBytes is the size of a snapshot piece.
	PieceBytes int
	// MaxSnapshotBytes bounds a received snapshot.
	MaxSnapshotBytes uint64
	// MaxApplyBytes bounds the entries in Ready.Committed. A single entry may exceed it.
	MaxApplyBytes int
	// MaxRetainedBytes bounds the compacted entries that are kept in memory for
	// replicas that still need them.
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
		PieceBytes:          256 << 10,
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
		{&c.PieceBytes, &d.PieceBytes},
		{&c.MaxApplyBytes, &d.MaxApplyBytes},
		{&c.MaxRetainedBytes, &d.MaxRetainedBytes},
	} {
		if *f.v == 0 {
			*f.v = *f.d
		}
		if *f.v < 0 {
			return c, errors.New("consensus config: a setting is negative")
		}
	}
	if c.MaxSnapshotBytes == 0 {
		c.MaxSnapshotBytes = d.MaxSnapshotBytes
	}
	if c.HeartbeatTicks >= c.ElectionTicks {
		return c, fmt.Errorf("consensus config: heartbeat of %d ticks, expected fewer than the election timeout of %d", c.HeartbeatTicks, c.ElectionTicks)
	}
	return c, nil
}

// Role is what a replica currently does.
type Role uint8

// Roles of a replica. A learner or a replica outside of the group is a follower.
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

// Core is a replica of the Raft algorithm.
type Core struct {
	cfg    Config
	log    *raftLog
	role   Role
	term   uint64
	vote   ReplicaID
	leader ReplicaID
	err    error
	counts Counts

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	votes            map[ReplicaID]bool // answers to the running election: granted or not

	progress   map[ReplicaID]*progress // set on the leader only
	transferee ReplicaID
	// transferElapsed counts ticks since the transfer began.
	transferElapsed int
	reads           readQueue
	receiving       *receiving
	// answerEpoch is the epoch of the message being handled. A replica that has
	// no membership yet answers with it.
	answerEpoch uint64

	messages        []Message
	pendingSnapshot *Snapshot
	flush           bool // appends may be due
	lastHardState   HardState
	inReady         readyMark
}

// readyMark remembers what the last Ready handed out.
type readyMark struct {
	lastIndex, lastTerm uint64
	open                bool
}

// Counts holds what a core refused or found broken.
type Counts struct {
	ForeignEpoch uint64 // messages of another membership epoch
	Malformed    uint64 // malformed messages
	Misdirected  uint64 // messages for another replica
	Violations   uint64 // broken invariants; the core stops at the first one
	Elections    uint64 // elections started, without pre-votes
	StepDowns    uint64 // times a leader lost contact to its quorum
}

// New returns a core that continues from start.
func New(cfg Config, start Start) (*Core, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	l, err := newLog(start)
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, log: l, term: start.HardState.Term, vote: start.HardState.Vote}
	if c.term < l.lastTerm() {
		return nil, fmt.Errorf("start: term %d is below the last entry's term %d", c.term, l.lastTerm())
	}
	c.lastHardState = c.hardState()
	c.becomeFollower(c.term, 0)
	return c, nil
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
}

// fail stops the core on a broken invariant and returns the error.
func (c *Core) fail(err error) error {
	if err == nil || c.err != nil {
		return c.err
	}
	c.err = err
	c.counts.Violations++
	return err
}

func (c *Core) violated(i Invariant, format string, args ...any) error {
	return c.fail(&InvariantError{i, fmt.Sprintf("replica %x, term %d: ", uint64(c.cfg.ID), c.term) + fmt.Sprintf(format, args...)})
}

// Err returns the broken invariant that stopped the core, or nil.
func (c *Core) Err() error { return c.err }

// Counts returns the counters.
func (c *Core) Counts() Counts { return c.counts }

// HasReady tells whether Ready has something to do.
func (c *Core) HasReady() bool {
	if c.err != nil || c.inReady.open {
		return false
	}
	return len(c.messages) > 0 || c.flush || c.reads.due(c) || len(c.reads.done) > 0 ||
		c.pendingSnapshot != nil || c.log.stable < c.log.lastIndex() ||
		c.log.applied < c.log.commit || c.hardState() != c.lastHardState
}

// Ready returns what has to be done. It is empty once an invariant is broken,
// and between a Ready and its Advance.
func (c *Core) Ready() Ready {
	if c.err != nil || c.inReady.open {
		return Ready{}
	}
	c.startReadRound()
	c.sendAppends()
	if c.checkHardState() != nil {
		return Ready{}
	}
	r := Ready{Snapshot: c.pendingSnapshot, Reads: c.reads.take()}
	if hs := c.hardState(); hs != c.lastHardState {
		r.HardState = &hs
		r.MustSync = hs.Term != c.lastHardState.Term || hs.Vote != c.lastHardState.Vote
	}
	c.splitMessages(&r)
	r.Entries = c.log.slice(c.log.stable+1, c.log.lastIndex())
	r.Committed = c.log.batch(c.log.applied+1, c.log.commit, c.cfg.MaxApplyBytes)
	r.MustSync = r.MustSync || len(r.Entries) > 0 || r.Snapshot != nil
	c.pendingSnapshot = nil
	c.lastHardState = c.hardState()
	c.log.applied += uint64(len(r.Committed))
	c.inReady = readyMark{lastIndex: c.log.lastIndex(), lastTerm: c.log.lastTerm(), open: true}
	return r
}

// checkHardState compares the hard state with the one last handed out.
func (c *Core) checkHardState() error {
	last, hs := c.lastHardState, c.hardState()
	switch {
	case hs.Term < last.Term, hs.Commit < last.Commit:
		return c.violated(CommitMovedBack, "term and commit go from %d, %d to %d, %d", last.Term, last.Commit, hs.Term, hs.Commit)
	case hs.Term == last.Term && last.Vote != 0 && hs.Vote != last.Vote:
		return c.violated(SecondVote, "voted for %x and now for %x", uint64(last.Vote), uint64(hs.Vote))
	}
	return nil
}

// splitMessages separates what a leader may send before the sync. While a new
// term or vote waits to be synced, nothing may be sent early.
func (c *Core) splitMessages(r *Ready) {
	messages := c.messages
	c.messages = nil
	if r.MustSync || c.role != Leader {
		r.Messages = messages
		return
	}
	for _, m := range messages {
		switch m.Kind {
		case MsgAppend, MsgHeartbeat, MsgSnapshotPiece, MsgTimeoutNow:
			r.Early = append(r.Early, m)
		default:
			r.Messages = append(r.Messages, m)
		}
	}
}

// Advance says that the last Ready was synced and handled.
func (c *Core) Advance() {
	if c.err != nil || !c.inReady.open {
		return
	}
	c.inReady.open = false
	// Entries that were replaced since Ready are not synced.
	if term, ok := c.log.term(c.inReady.lastIndex); ok && term == c.inReady.lastTerm {
		c.log.stable = max(c.log.stable, c.inReady.lastIndex)
	}
	if c.role == Leader {
		c.maybeCommit()
	}
}

// MakeSnapshot returns a snapshot of the state machine at an applied index, to
// be saved. After it is durable, it is given to Compact.
func (c *Core) MakeSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.log.applied {
		return Snapshot{}, fmt.Errorf("snapshot at %d: %w", index, ErrCompacted)
	}
	return Snapshot{Index: index, Term: term, Membership: c.log.membershipAt(index), Data: data}, nil
}

// Compact drops the entries up to a durable snapshot, but for the last keep of
// them, which spare a slightly slow follower the snapshot, and those that a
// replica in contact still needs. Otherwise a replica whose snapshot arrives
// after the next compaction would need snapshots forever.
func (c *Core) Compact(s Snapshot, keep uint64) error {
	if c.err != nil {
		return c.err
	}
	term, ok := c.log.term(s.Index)
	if !ok || term != s.Term || s.Index > c.log.applied {
		return fmt.Errorf("compact to %d: %w", s.Index, ErrCompacted)
	}
	c.log.snapshot = &s
	first := s.Index - min(keep, s.Index)
	c.log.compact(max(min(first, c.needed()), c.log.retainable(s.Index, c.cfg.MaxRetainedBytes)))
	return nil
}

// needed returns the highest index below which no replica in contact needs entries.
func (c *Core) needed() uint64 {
	index := c.log.lastIndex()
	for _, p := range c.progress {
		switch {
		case p.sinceContact >= c.cfg.ElectionTicks:
		case p.mode == modeReplicate:
			index = min(index, p.match)
		case p.mode == modeSnapshot:
			index = min(index, p.sending.Index)
		}
	}
	return index
}

// ReplicaStatus is what a leader knows of a replica.
type ReplicaStatus struct {
	ID    ReplicaID
	Match uint64 // highest index known to be synced there
	// SilentTicks counts ticks since its last message.
	SilentTicks int
	Snapshot    bool // a snapshot is being sent
}

// Status describes a core.
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
	// ChangePending tells that the membership is not committed yet.
	ChangePending bool
	Transferee    ReplicaID
	Replicas      []ReplicaStatus // on the leader only, in the order of Membership
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
		s.Replicas = append(s.Replicas, ReplicaStatus{ID: m.ID, Match: p.match, SilentTicks: p.sinceContact, Snapshot: p.mode == modeSnapshot})
	}
	return s
}

// IsLeader tells whether the core believes to be the leader. Only a confirmed
// read proves it.
func (c *Core) IsLeader() bool { return c.role == Leader }

// Leader returns the leader the core knows of, or 0.
func (c *Core) Leader() ReplicaID { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }
