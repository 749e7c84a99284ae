package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/consensus"
	"cactusspar/internal/operator"
	"cactusspar/internal/peer"
	"cactusspar/internal/state"
	"cactusspar/internal/testutil"
	"cactusspar/internal/view"
	"cactusspar/internal/wal"
)

// Guards against a group that does not bootstrap, commit commands, assign pools,
// grant limits or answer renewals.
func TestEndToEnd(t *testing.T) {
	g := newGroup(t, 3)
	g.applyRules(5, 3)
	var entries []*fakeEntry
	for n := range 3 {
		entries = append(entries, g.fakeEntry(fmt.Sprintf("e%d", n), 1, fmt.Sprintf("d%d", n+1)).run())
	}
	require.Eventually(t, func() bool {
		ok := true
		for _, e := range entries {
			e.withLock(func() {
				sum := 0
				for _, grant := range e.grants {
					sum += grant.Amount
				}
				ok = ok && e.known && len(e.assignments) == 5 && e.configVersion == 1 && sum == 3*60
				for _, a := range e.assignments {
					ok = ok && a.Backup != "" && a.Backup != a.Dispatcher
				}
			})
		}
		return ok
	}, 10*time.Second, 10*time.Millisecond)
	leader := g.leader()
	s := leader.Status()
	require.Equal(t, "leader", s.Role)
	require.Len(t, s.Members, 3)
	for name, r := range g.replicas {
		if r == leader {
			continue
		}
		_, err := r.Propose(context.Background(), state.Command{})
		require.Equal(t, &operator.NotLeaderError{Leader: "operator-of-" + s.Name}, err, name)
	}
}

func giveKeyCommand(client string, sequence uint64) state.Command {
	return state.Command{
		Session: state.Session{Client: client, Sequence: sequence},
		GiveKey: &state.GiveKey{ID: fmt.Sprintf("%s-%d", client, sequence), Team: "t00", Hash: [32]byte{1}},
	}
}

// appliedKeys returns the number of API keys in the applied state of a replica.
func appliedKeys(r *Replica) int {
	n := -1
	_ = r.wait(context.Background(), func(done func(error)) {
		n = len(r.state.Keys)
		done(nil)
	})
	return n
}

// awaitKeys waits until every replica has applied n keys.
func (g *group) awaitKeys(n int) {
	g.t.Helper()
	for name, r := range g.replicas {
		require.Eventually(g.t, func() bool { return appliedKeys(r) == n }, 15*time.Second, 5*time.Millisecond, "replica %s has %d keys, expected %d", name, appliedKeys(r), n)
	}
}

// Guards against a resent command that is applied twice or gets another result,
// across a change of leader, snapshots and a restart of all replicas.
func TestResentCommandsAreDeduplicatedAcrossRestarts(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(1, 1)
	const changes = 300
	first := make([]state.Result, changes+1)
	resend := func() {
		for n := changes - 40; n <= changes; n++ {
			require.Equal(t, first[n], g.commit(giveKeyCommand("op", uint64(n))))
		}
		g.awaitKeys(changes)
	}
	for n := 1; n <= changes; n++ {
		first[n] = g.commit(giveKeyCommand("op", uint64(n)))
		require.Nil(t, first[n].Err)
		if n == changes/2 {
			name := g.leader().options.Self.Name
			g.halt(name)
			require.Nil(t, g.commit(state.Command{WithdrawKey: &state.WithdrawKey{ID: "op-1"}}).Err)
			g.start(g.self(name))
		}
	}
	resend()
	for _, m := range g.members {
		g.halt(m.Name)
	}
	for _, m := range g.members {
		g.start(m)
	}
	resend()
	require.NotZero(t, g.leader().snapshotIndex)
}

// Guards against two rules updates with the same expected version that both
// succeed, and against a conflict error that does not name the other author.
func TestConcurrentRulesUpdates(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(1, 1)
	for version := uint64(1); version <= 10; version++ {
		results := make([]state.Result, 2)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() {
				c := &state.ApplyRules{Expected: version, Text: rulesText(1, 1+i), Author: fmt.Sprintf("operator-%d", i)}
				results[i] = g.commit(state.Command{Session: state.Session{Client: c.Author, Sequence: version}, ApplyRules: c})
			})
		}
		wg.Wait()
		winner, loser := results[0], results[1]
		name := "operator-0"
		if winner.Err != nil {
			winner, loser, name = loser, winner, "operator-1"
		}
		require.Nil(t, winner.Err)
		require.Equal(t, version+1, winner.Version)
		require.Equal(t, state.CodeConflict, loser.Err.Code)
		require.Contains(t, loser.Err.Text, name)
	}
}

// Guards against an isolated or suspended leader that serves stale reads or
// acknowledges commands, and against one that disturbs its successor.
func TestIsolatedOrSuspendedLeader(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"cut", "suspended"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 3)
			g.applyRules(1, 1)
			old := g.leader()
			name := old.options.Self.Name
			if fault == "cut" {
				g.setIsolated(name, true)
			} else {
				g.suspend(name, 2*time.Second)
			}
			lost := make(chan error, 1)
			go func() {
				_, err := old.Propose(context.Background(), giveKeyCommand("lost", 1))
				lost <- err
			}()
			delete(g.replicas, name)
			require.Nil(t, g.commit(giveKeyCommand("op", 1)).Err)
			var served atomic.Bool
			err := old.Read(context.Background(), func(s *state.State) { served.Store(s.Keys["op-1"] == nil) })
			require.False(t, served.Load(), "the old leader served a stale read")
			if fault == "cut" {
				require.Error(t, err)
				require.ErrorIs(t, <-lost, operator.ErrUnknownOutcome)
			}
			g.setIsolated(name, false)
			g.replicas[name] = old
			require.Nil(t, g.commit(giveKeyCommand("op", 2)).Err)
			if fault == "suspended" {
				// The outcome is open: the old leader may have proposed the command before
				// it learnt of its successor.
				<-lost
			}
			g.awaitKeys(2)
		})
	}
}

// Guards against a replica with an emptied disk that votes before it has caught
// up: once it has a vote again, the loss of a second replica must lose no command.
func TestReplicaWithEmptyDataFolderCatchesUp(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(1, 1)
	for n := uint64(1); n <= 120; n++ {
		require.Nil(t, g.commit(giveKeyCommand("op", n)).Err)
	}
	lost := "c1"
	before := g.replicas[lost].id
	g.halt(lost)
	require.NoError(t, os.RemoveAll(filepath.Join(g.folder, lost)))
	g.start(g.self(lost))
	require.NotEqual(t, before, g.replicas[lost].id)
	require.Eventually(t, func() bool { return g.replicas[lost].Status().Role != "learner" }, 15*time.Second, 10*time.Millisecond)
	require.Len(t, g.leader().Status().Members, 3)
	g.halt("c2")
	require.Nil(t, g.commit(giveKeyCommand("op", 121)).Err)
	g.awaitKeys(121)
}

// Guards against a group that is bootstrapped by a minority or beside an existing
// group.
func TestBootstrapRequiresAllMembersFresh(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 0)
	for n := range 3 {
		g.members = append(g.members, g.address(fmt.Sprintf("c%d", n+1)))
	}
	g.start(g.members[0])
	g.start(g.members[1])
	time.Sleep(time.Second)
	for _, r := range g.replicas {
		require.Equal(t, "learner", r.Status().Role)
	}
	g.start(g.members[2])
	g.applyRules(1, 1)

	// The first member, which bootstraps the group, restarts with an empty disk
	// while another member is still stopped.
	for _, m := range g.members {
		g.halt(m.Name)
	}
	require.NoError(t, os.RemoveAll(filepath.Join(g.folder, "c1")))
	g.start(g.members[0])
	g.start(g.members[1])
	time.Sleep(time.Second)
	require.Equal(t, "learner", g.replicas["c1"].Status().Role)
	c1 := g.replicas["c1"]
	g.onEventLoop(c1, func() {
		c1.maybeBootstrap([]probeResponse{{Self: g.self("c2"), Replica: 2, Fresh: true}, {Self: g.self("c3"), Replica: 3}})
		assert.True(t, c1.fresh(), "a group was bootstrapped although one replica is not fresh")
		c1.maybeBootstrap([]probeResponse{{Self: g.self("c2"), Replica: 2, Fresh: true}})
		assert.True(t, c1.fresh(), "a group was bootstrapped although one replica did not answer")
	})
	g.start(g.members[2])
	require.Equal(t, state.CodeConflict, g.commit(state.Command{ApplyRules: &state.ApplyRules{Text: rulesText(1, 1)}}).Err.Code)
}

// Guards against a recovered group that loses commands of the remaining replica, or
// that accepts messages from replicas of the old epoch.
func TestForcedRecovery(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.applyRules(1, 1)
	require.Nil(t, g.commit(giveKeyCommand("op", 1)).Err)
	g.awaitKeys(1)
	for _, m := range g.members {
		g.halt(m.Name)
	}
	_, err := Recover(filepath.Join(g.folder, "c1"), "test", g.self("c1"))
	require.NoError(t, err)
	g.start(g.self("c1"))
	require.Nil(t, g.commit(giveKeyCommand("op", 2)).Err)
	require.Equal(t, 2, appliedKeys(g.replicas["c1"]))
	g.start(g.self("c2"))
	require.Eventually(t, func() bool {
		return g.replicas["c1"].metrics.Counter("control_refusals_total", "reason", "foreign-epoch").Count() > 0
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, 1, appliedKeys(g.replicas["c2"]))
	require.Nil(t, g.commit(giveKeyCommand("op", 3)).Err)

	// An operator has to add the replica with the emptied disk, because its name is
	// not a member of the recovered group.
	g.halt("c2")
	require.NoError(t, os.RemoveAll(filepath.Join(g.folder, "c2")))
	g.start(g.self("c2"))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, g.replicas["c1"].AddReplica(ctx, "c2", g.self("c2").Peer))
	g.awaitKeys(3)
	require.NoError(t, g.replicas["c1"].RemoveReplica(ctx, "c2"))
	require.Eventually(t, func() bool { return len(g.leader().Status().Members) == 1 }, 5*time.Second, time.Millisecond)
}

// failingFiles is a file system whose syncs fail while failing is set.
type failingFiles struct {
	wal.Disk
	failing atomic.Bool
}

type failingFile struct {
	wal.File
	files *failingFiles
}

func (f *failingFiles) Append(name string) (wal.File, error) {
	file, err := f.Disk.Append(name)
	return failingFile{file, f}, err
}

func (f failingFile) Sync() error {
	if f.files.failing.Load() {
		return errors.New("sync: input/output error")
	}
	return f.File.Sync()
}

// Guards against a replica that continues after a failed sync.
func TestFailedSyncStopsReplica(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 0)
	g.members = []Address{g.address("c1")}
	files := &failingFiles{}
	g.files = files
	g.start(g.members[0])
	g.applyRules(1, 1)
	r := g.replicas["c1"]
	files.failing.Store(true)
	_, err := r.Propose(context.Background(), giveKeyCommand("op", 1))
	require.ErrorIs(t, err, operator.ErrUnknownOutcome)
	<-r.done
	require.Error(t, r.alive())
	g.allowFailure = true
}

// Guards against accepting requests that are malformed, name another sender, or
// have an unknown method.
func TestInvalidRequestsAreRefused(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	g.applyRules(1, 1)
	e := g.fakeEntry("e1", 1, "d1")
	defer e.client[g.members[0].Peer].Close()
	call := func(method string, request any) string {
		var remote *peer.RemoteError
		require.ErrorAs(t, e.client[g.members[0].Peer].Call(context.Background(), method, request, nil), &remote)
		return remote.Code
	}
	require.Equal(t, peer.CodeRefused, call("entry.unknown", 1))
	require.Equal(t, peer.CodeRefused, call(view.MethodRenew, "not a renewal"))
	require.Equal(t, peer.CodeRefused, call(view.MethodRenew, &view.RenewRequest{Entry: state.Entry{ID: "e2", Incarnation: 1}}))
	require.Equal(t, codeUnknownName, call(methodJoin, map[string]any{"n": "e1", "i": uint64(1)}))
	require.Equal(t, codeUnknownName, call(methodJoin, map[string]any{"n": "c1", "i": uint64(7)}))
	require.NoError(t, e.client[g.members[0].Peer].Send(context.Background(), methodRaft, "not a batch"))
	require.Eventually(t, func() bool {
		return g.replicas["c1"].metrics.Counter("control_refusals_total", "reason", "unexpected-message").Count() == 1
	}, 5*time.Second, time.Millisecond)
}

// Guards against a proposal that is reported as committed although an entry of
// another term replaced it in the log.
func TestOverwrittenProposalFails(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	r := g.leader()
	g.onEventLoop(r, func() {
		var outcome error
		r.proposals[1000] = &proposal{term: 1, done: func(_ state.Result, err error) { outcome = err }}
		r.resolveProposal(&consensus.Entry{Index: 1000, Term: 2}, state.Result{}, true)
		var other *operator.NotLeaderError
		assert.ErrorAs(t, outcome, &other)
	})
}

// Guards against acknowledged commands that are lost or applied twice while
// replicas are isolated, suspended and restarted and the operator resends commands.
func TestCommandsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	seed := testutil.Seed(t)
	r := rand.New(rand.NewSource(seed))
	g := newGroup(t, 3)
	g.applyRules(1, 1)
	sequence := uint64(0)
	for range 25 {
		name := g.members[r.Intn(3)].Name
		fault := r.Intn(3)
		switch fault {
		case 0:
			g.setIsolated(name, true)
		case 1:
			g.suspend(name, time.Duration(r.Intn(900))*time.Millisecond)
		case 2:
			g.halt(name)
		}
		for range r.Intn(8) {
			sequence++
			require.Nil(t, g.commit(giveKeyCommand("op", sequence)).Err)
		}
		switch fault {
		case 0:
			g.setIsolated(name, false)
		case 2:
			g.start(g.self(name))
		}
	}
	g.awaitKeys(int(sequence))
}
