package consensus

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// group connects cores in process. Messages are delivered immediately and in
// order, except those for which drop returns true.
type group struct {
	t         *testing.T
	cores     map[ReplicaID]*Core
	order     []ReplicaID
	drop      func(Message) bool
	committed map[ReplicaID][]Entry
	reads     map[ReplicaID][]ReadState
	snapshots int
}

func testConfig(id ReplicaID) Config {
	c := DefaultConfig(id, rand.New(rand.NewPCG(1, uint64(id))))
	c.SnapshotChunkBytes = 1000
	return c
}

func voters(n int) []Member {
	names := []string{"a", "b", "c", "d", "e"}
	var members []Member
	for i := range n {
		members = append(members, Member{ID: ReplicaID(i + 1), Name: names[i], Voter: true})
	}
	return members
}

func newGroup(t *testing.T, n int) *group {
	g := &group{
		t: t, cores: map[ReplicaID]*Core{}, committed: map[ReplicaID][]Entry{},
		reads: map[ReplicaID][]ReadState{}, drop: func(Message) bool { return false },
	}
	snap, hs := Bootstrap(voters(n), make([]byte, 2500))
	for i := range n {
		g.add(ReplicaID(i+1), DurableState{HardState: hs, Snapshot: &snap})
	}
	return g
}

func (g *group) add(id ReplicaID, durable DurableState) {
	c, err := New(testConfig(id), durable)
	require.NoError(g.t, err)
	g.cores[id] = c
	g.order = append(g.order, id)
}

// deliverAll handles Readys and delivers messages until no core has a Ready.
func (g *group) deliverAll() {
	for progressed := true; progressed; {
		progressed = false
		for _, id := range g.order {
			c := g.cores[id]
			for c.HasReady() {
				progressed = true
				r := c.Ready()
				if r.Snapshot != nil {
					g.snapshots++
				}
				g.committed[id] = append(g.committed[id], r.Committed...)
				g.reads[id] = append(g.reads[id], r.Reads...)
				c.Advance()
				for _, m := range append(r.PreSyncMessages, r.Messages...) {
					if to := g.cores[m.To]; to != nil && !g.drop(m) {
						_ = to.Step(m)
					}
				}
			}
			require.NoError(g.t, c.Err())
		}
	}
}

func (g *group) tick(n int) {
	for range n {
		for _, id := range g.order {
			g.cores[id].Tick()
		}
		g.deliverAll()
	}
}

func (g *group) leader() *Core {
	for range 300 {
		for _, id := range g.order {
			if c := g.cores[id]; c.IsLeader() && c.committedInCurrentTerm() {
				return c
			}
		}
		g.tick(1)
	}
	require.Fail(g.t, "no leader was elected")
	return nil
}

func isolate(id ReplicaID) func(Message) bool {
	return func(m Message) bool { return m.From == id || m.To == id }
}

// Guards against proposals that are not committed on every replica, or in another
// order.
func TestReplication(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	for i := range 200 {
		_, err := l.Propose([]byte{byte(i)})
		require.NoError(t, err)
	}
	g.tick(10)
	for _, id := range g.order {
		var data []byte
		for _, e := range g.committed[id] {
			data = append(data, e.Data...)
		}
		require.Len(t, data, 200)
		require.Equal(t, byte(199), data[199])
	}
}

// Guards against a leader that keeps its role, or confirms reads, without a quorum.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	g.drop = isolate(l.cfg.ID)
	require.NoError(t, l.ReadIndex(7))
	g.tick(2 * l.cfg.ElectionTicks)
	require.False(t, l.IsLeader())
	require.Equal(t, []ReadState{{Request: 7, Rejected: true}}, g.reads[l.cfg.ID])
}

// Guards against a partitioned replica that deposes the leader when the partition
// heals, whether in one direction or in both.
func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	term := l.Term()
	isolated := l.cfg.ID%3 + 1
	g.drop = isolate(isolated)
	g.tick(500)
	g.drop = func(m Message) bool { return m.From == l.cfg.ID && m.To == isolated }
	g.tick(500)
	g.drop = func(Message) bool { return false }
	g.tick(100)
	require.True(t, l.IsLeader())
	require.Equal(t, term, l.Term())
}

// Guards against a learner that counts towards a commit or an election quorum, or
// starts an election.
func TestLearnerHasNoVote(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	require.NoError(t, l.AddLearner(Member{ID: 9, Name: "x"}))
	g.add(9, DurableState{})
	g.tick(20)
	learner := g.cores[9]
	require.Equal(t, l.Status().Last, learner.Status().Last)
	commit := l.Status().Commit
	g.drop = func(m Message) bool { return m.From+m.To != l.cfg.ID+9 }
	_, err := l.Propose([]byte("x"))
	require.NoError(t, err)
	g.tick(3)
	require.Equal(t, l.Status().Last, learner.Status().Last)
	require.Equal(t, commit, l.Status().Commit)
	g.tick(5 * l.cfg.ElectionTicks)
	require.False(t, l.IsLeader())
	require.Equal(t, uint64(1), l.Counters().StepDowns)
	require.Equal(t, Follower, learner.Status().Role)

	candidate := newGroup(t, 3).cores[1]
	for candidate.role != Candidate {
		candidate.Tick()
		for _, from := range []ReplicaID{2, 3} {
			require.NoError(t, candidate.Step(Message{Kind: MsgPreVoteResponse, From: from, To: 1, Epoch: firstEpoch, Term: candidate.term + 1}))
		}
	}
	require.NoError(t, candidate.Step(Message{Kind: MsgVoteResponse, From: 9, To: 1, Epoch: firstEpoch, Term: candidate.term}))
	require.Equal(t, Candidate, candidate.role)
}

// Guards against committing an entry of an earlier term by counting replicas: a
// later leader that lacks the entry could still replace it.
func TestOnlyCurrentTermIsCommittedByCounting(t *testing.T) {
	g := newGroup(t, 5)
	snap, _ := Bootstrap(voters(5), nil)
	c, err := New(testConfig(1), DurableState{HardState: HardState{Term: 3, Commit: 1}, Snapshot: &snap, Entries: []Entry{{Index: 2, Term: 2}}})
	require.NoError(t, err)
	g.cores[1] = c
	g.drop = func(m Message) bool { return m.Kind == MsgAppend || m.Kind == MsgHeartbeat }
	for c.role != Leader {
		c.Tick()
		g.deliverAll()
	}
	response := Message{Kind: MsgAppendResponse, To: 1, Epoch: firstEpoch, Term: c.term, Match: 2}
	for _, response.From = range []ReplicaID{2, 3, 4} {
		require.NoError(t, c.Step(response))
	}
	require.Equal(t, uint64(1), c.Status().Commit)
	response.Match = 3
	for _, response.From = range []ReplicaID{2, 3} {
		require.NoError(t, c.Step(response))
	}
	require.Equal(t, uint64(3), c.Status().Commit)
}

// Guards against reads that a quorum does not confirm, and against reads that a
// follower accepts.
func TestReadIndex(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	require.NoError(t, l.ReadIndex(1))
	require.NoError(t, l.ReadIndex(2))
	g.deliverAll()
	commit := l.Status().Commit
	require.Equal(t, []ReadState{{Request: 1, Index: commit}, {Request: 2, Index: commit}}, g.reads[l.cfg.ID])
	require.ErrorIs(t, g.cores[l.cfg.ID%3+1].ReadIndex(3), ErrNotLeader)
}

// Guards against a leadership transfer that does not complete or leaves no leader,
// and against proposals accepted during a transfer.
func TestTransferLeadership(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	to := l.cfg.ID%3 + 1
	require.NoError(t, l.TransferLeadership(to))
	_, err := l.Propose(nil)
	require.ErrorIs(t, err, ErrTransferring)
	g.deliverAll()
	require.True(t, g.cores[to].IsLeader())
}

// Guards against a learner that is promoted before it has caught up, against
// concurrent membership changes, and against snapshots that do not arrive in
// chunks.
func TestJoinReplacesLostReplica(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	lost := l.cfg.ID%3 + 1
	name := voters(3)[lost-1].Name
	delete(g.cores, lost)
	g.order = []ReplicaID{l.cfg.ID, 6 - l.cfg.ID - lost}
	replacement := Member{ID: 9, Name: name}
	_, err := l.Join(replacement)
	require.ErrorIs(t, err, ErrNameTaken)
	g.tick(2 * l.cfg.ElectionTicks)
	_, err = l.Join(replacement)
	require.NoError(t, err)
	_, err = l.Join(replacement)
	require.ErrorIs(t, err, ErrChangePending)
	g.tick(1)
	require.Equal(t, 2, l.Status().Membership.Voters())
	_, err = l.Join(replacement)
	require.ErrorIs(t, err, ErrNotCaughtUp)
	g.add(9, DurableState{})
	for range 200 {
		g.tick(1)
		done, err := l.Join(replacement)
		if done {
			break
		}
		if err != nil {
			require.ErrorIs(t, err, ErrNotCaughtUp)
		}
	}
	require.Equal(t, 1, g.snapshots)
	require.True(t, g.cores[9].Status().Membership.IsVoter(9))
	require.Equal(t, 3, l.Status().Membership.Voters())
}

// Guards against a replica that needs one snapshot after another, because the log
// is compacted beyond each snapshot by the time the replica has received it.
func TestCompactionWaitsForSnapshotInTransfer(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	slow := l.cfg.ID%3 + 1
	g.drop = isolate(slow)
	compact := func() {
		_, err := l.Propose(make([]byte, 100))
		require.NoError(t, err)
		g.tick(1)
		snap, err := l.MakeSnapshot(l.Status().Applied, make([]byte, 2500))
		require.NoError(t, err)
		require.NoError(t, l.Compact(snap, 0))
	}
	for range 2 * l.cfg.ElectionTicks {
		compact()
	}
	chunks := 0
	g.drop = func(m Message) bool {
		if m.Kind == MsgSnapshotChunk {
			chunks++
			return chunks%2 == 1
		}
		return false
	}
	for range 5 * l.cfg.ElectionTicks {
		compact()
	}
	require.Equal(t, 1, g.snapshots)
	require.Equal(t, l.Status().Last, g.cores[slow].Status().Last)
	require.Equal(t, l.Status().Last+1, l.Status().First, "entries are retained although the replica has caught up")
}

// Guards against a replica of the old group that interferes with the recovered
// group.
func TestRecoverRejectsOldEpoch(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	_, err := l.Propose([]byte("kept"))
	require.NoError(t, err)
	g.tick(5)
	durable := DurableState{HardState: l.hardState(), Snapshot: l.log.snapshot, Entries: l.log.entries}
	r, err := Recover(durable, voters(1)[0], 77)
	require.NoError(t, err)
	require.Greater(t, r.Membership.Epoch, uint64(firstEpoch))
	durable.HardState, durable.Entries = r.HardState, append(durable.Entries, r.Entry)
	recovered := newGroup(t, 0)
	recovered.add(1, durable)
	require.Equal(t, r.Membership, recovered.leader().Status().Membership)
	var foreign *EpochError
	m := Message{Kind: MsgHeartbeat, From: 2, To: 1, Epoch: firstEpoch, Term: 99}
	require.ErrorAs(t, recovered.cores[1].Step(m), &foreign)
	require.Equal(t, uint64(1), recovered.cores[1].Counters().EpochMismatches)
}

// Guards against a core that continues after a leader replaces a committed entry.
func TestCommittedEntryIsNotReplaced(t *testing.T) {
	g := newGroup(t, 3)
	l := g.leader()
	f := g.cores[l.cfg.ID%3+1]
	g.tick(10)
	commit := f.Status().Commit
	m := Message{
		Kind: MsgAppend, From: l.cfg.ID, To: f.cfg.ID, Epoch: firstEpoch, Term: f.Term() + 1, PrevIndex: commit - 1, PrevTerm: 1,
		Entries: []Entry{{Index: commit, Term: f.Term() + 1}},
	}
	var violation *InvariantError
	require.ErrorAs(t, f.Step(m), &violation)
	require.Equal(t, CommittedEntryReplaced, violation.Invariant)
	require.Equal(t, uint64(1), f.Counters().Violations)
	require.False(t, f.HasReady())
}
