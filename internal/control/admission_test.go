package control

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/consensus"
	"cactusspar/internal/state"
	"cactusspar/internal/workload"
)

// openGroup is a group that replicas join unattended.
type openGroup struct {
	*group
	seeds  []Address
	voters int
}

func newOpenGroup(t *testing.T, seeds, voters int) *openGroup {
	g := &openGroup{group: newGroup(t, 0), voters: voters}
	for range seeds {
		g.seeds = append(g.seeds, g.newAddress())
	}
	return g
}

func (g *openGroup) newAddress() Address {
	a := g.address("")
	a.Name = a.Peer
	return a
}

// launch starts a replica. Only the first start of the system may form a group.
func (g *openGroup) launch(self Address, first bool) {
	ln, err := net.Listen("tcp", self.Peer)
	require.NoError(g.t, err)
	o := Options{
		Cluster: "test", Self: self, Folder: filepath.Join(g.folder, self.Name), Listener: ln, Log: g.log,
		Admission: &Admission{Voters: g.voters, ReplaceAfter: 600 * time.Millisecond},
	}
	for _, s := range g.seeds {
		o.Seeds = append(o.Seeds, s.Peer)
	}
	if first {
		o.Members = g.seeds
	}
	r, err := Open(o)
	require.NoError(g.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	g.replicas[self.Name] = r
	g.stop[self.Name] = func() {
		cancel()
		require.NoError(g.t, <-ended)
	}
}

// awaitVoters waits until exactly the present disks of these replicas have a vote.
func (g *openGroup) awaitVoters(want ...Address) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		for _, r := range g.replicas {
			var members consensus.Membership
			leads := false
			g.own(r, func() { members, leads = r.group, r.core.IsLeader() })
			if !leads {
				continue
			}
			same := members.Voters() == len(want)
			for _, w := range want {
				present := g.replicas[w.Name]
				same = same && present != nil && members.IsVoter(present.id)
			}
			return same
		}
		return false
	}, 20*time.Second, 20*time.Millisecond)
}

// commit commits a topology version, and read returns the one in force.
func (g *openGroup) commit(version uint64) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := g.leader().Propose(ctx, state.Command{Workload: &workload.Command{Topology: &workload.Topology{Version: version}}})
		return err == nil
	}, 20*time.Second, 20*time.Millisecond)
}

func (g *openGroup) read() uint64 {
	var version uint64
	require.NoError(g.t, g.leader().Read(context.Background(), func(s *state.State) { version = s.Workload.Topology.Version }))
	return version
}

// Guards against a group that never forms because nobody names its size, and
// against replicas that stay without a vote.
func TestGroupFormsFromSeedsAndGrows(t *testing.T) {
	g := newOpenGroup(t, 3, 5)
	all := append([]Address{}, g.seeds...)
	for range 2 {
		all = append(all, g.newAddress())
	}
	for _, a := range all {
		g.launch(a, true)
	}
	g.awaitVoters(all...)
	g.commit(1)
	require.EqualValues(t, 1, g.read())
}

// Guards against a lost replica that keeps its vote after its successor has come
// at another address: the next loss would stop the group.
func TestReplicaAtANewAddressReplacesALostVoter(t *testing.T) {
	g := newOpenGroup(t, 3, 3)
	for _, a := range g.seeds {
		g.launch(a, true)
	}
	g.awaitVoters(g.seeds...)
	g.commit(1)
	g.halt(g.seeds[0].Name)
	next := g.newAddress()
	g.launch(next, false)
	g.awaitVoters(g.seeds[1], g.seeds[2], next)
	g.halt(g.seeds[1].Name)
	require.EqualValues(t, 1, g.read(), "acknowledged before the first loss")
	g.commit(2)
	another := g.newAddress()
	g.launch(another, false)
	g.awaitVoters(g.seeds[2], next, another)
	require.EqualValues(t, 2, g.read())
}

// Guards against an emptied disk that forms a group of its own, or votes before
// it has what its former self acknowledged.
func TestEmptiedDiskJoinsAgain(t *testing.T) {
	g := newOpenGroup(t, 3, 3)
	for _, a := range g.seeds {
		g.launch(a, true)
	}
	g.awaitVoters(g.seeds...)
	g.commit(1)
	for _, lost := range g.seeds {
		g.halt(lost.Name)
		require.NoError(t, os.RemoveAll(filepath.Join(g.folder, lost.Name)))
		g.launch(lost, false)
		g.awaitVoters(g.seeds...)
		require.EqualValues(t, 1, g.read())
	}
}

// Guards against a voter that was replaced while it was away and never finds out.
func TestReplacedVoterReturnsAsALearner(t *testing.T) {
	g := newOpenGroup(t, 3, 3)
	for _, a := range g.seeds {
		g.launch(a, true)
	}
	g.awaitVoters(g.seeds...)
	g.halt(g.seeds[0].Name)
	next := g.newAddress()
	g.launch(next, false)
	g.awaitVoters(g.seeds[1], g.seeds[2], next)
	g.launch(g.seeds[0], false)
	require.Eventually(t, func() bool { return g.replicas[g.seeds[0].Name].Status().Role == "learner" }, 20*time.Second, 20*time.Millisecond)
	g.awaitVoters(g.seeds[1], g.seeds[2], next)
	g.halt(g.seeds[1].Name)
	g.awaitVoters(g.seeds[0], g.seeds[2], next)
}
