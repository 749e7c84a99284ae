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

// admissionGroup is a group that replicas join without an operator.
type admissionGroup struct {
	*group
	seeds  []Address
	voters int
}

func newAdmissionGroup(t *testing.T, seeds, voters int) *admissionGroup {
	g := &admissionGroup{group: newGroup(t, 0), voters: voters}
	for range seeds {
		g.seeds = append(g.seeds, g.newAddress())
	}
	return g
}

func (g *admissionGroup) newAddress() Address {
	a := g.address("")
	a.Name = a.Peer
	return a
}

// launch starts a replica. A group may be bootstrapped only if first is set, at the
// first start of the system.
func (g *admissionGroup) launch(self Address, first bool) {
	ln, err := net.Listen("tcp", self.Peer)
	require.NoError(g.t, err)
	o := Options{
		Cluster: "test", Self: self, DataFolder: filepath.Join(g.folder, self.Name), Listener: ln, Log: g.log,
		Admission: &Admission{Voters: g.voters, ReplaceAfter: 600 * time.Millisecond},
		Blocked: func(other string) bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.isolated[self.Name] || g.isolated[other]
		},
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

// awaitVoters waits until exactly these replicas, with the identities of their
// present disks, are the voters.
func (g *admissionGroup) awaitVoters(want ...Address) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		for _, r := range g.replicas {
			var members consensus.Membership
			leads := false
			g.onEventLoop(r, func() { members, leads = r.membership, r.core.IsLeader() })
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

// votesWithin is how long a replica that has just started may take to get a vote: the
// next loss may come 4 s after a replacement has started.
const votesWithin = 4 * time.Second

// silentAddress returns an address that accepts connections and never responds, as that of
// an instance without power or behind a partition.
func (g *admissionGroup) silentAddress(a Address) Address {
	ln, err := net.Listen("tcp", a.Peer)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = ln.Close() })
	return a
}

// commitTopology commits a topology version.
func (g *admissionGroup) commitTopology(version uint64) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := g.leader().Propose(ctx, state.Command{Workload: &workload.Command{Topology: &workload.Topology{Version: version}}})
		return err == nil
	}, 20*time.Second, 20*time.Millisecond)
}

// committedTopology returns the committed topology version.
func (g *admissionGroup) committedTopology() uint64 {
	var version uint64
	require.NoError(g.t, g.leader().Read(context.Background(), func(s *state.State) { version = s.Workload.Topology.Version }))
	return version
}

// Guards against a group that is never bootstrapped from its seeds, and against
// replicas that join but never get a vote.
func TestGroupBootstrapsFromSeedsAndGrows(t *testing.T) {
	g := newAdmissionGroup(t, 3, 5)
	all := append([]Address{}, g.seeds...)
	for range 2 {
		all = append(all, g.newAddress())
	}
	for _, a := range all {
		g.launch(a, true)
	}
	g.awaitVoters(all...)
	g.commitTopology(1)
	require.EqualValues(t, 1, g.committedTopology())
}

// Guards against a lost replica that keeps its vote after a replacement at another
// address has joined: the next loss would cost the group its quorum.
func TestReplacementReplicaTakesOverLostVote(t *testing.T) {
	g := newAdmissionGroup(t, 3, 3)
	for _, a := range g.seeds {
		g.launch(a, true)
	}
	g.awaitVoters(g.seeds...)
	g.commitTopology(1)
	g.halt(g.seeds[0].Name)
	next := g.newAddress()
	g.launch(next, false)
	g.awaitVoters(g.seeds[1], g.seeds[2], next)
	g.halt(g.seeds[1].Name)
	require.EqualValues(t, 1, g.committedTopology(), "acknowledged before the first loss")
	g.commitTopology(2)
	another := g.newAddress()
	g.launch(another, false)
	g.awaitVoters(g.seeds[2], next, another)
	require.EqualValues(t, 2, g.committedTopology())
}

// Guards against a replica with an emptied disk that bootstraps a group of its own,
// or that votes before it has the entries that it acknowledged before.
func TestReplicaWithEmptyDiskRejoins(t *testing.T) {
	g := newAdmissionGroup(t, 3, 3)
	for _, a := range g.seeds {
		g.launch(a, true)
	}
	g.awaitVoters(g.seeds...)
	g.commitTopology(1)
	for _, lost := range g.seeds {
		g.halt(lost.Name)
		require.NoError(t, os.RemoveAll(filepath.Join(g.folder, lost.Name)))
		g.launch(lost, false)
		g.awaitVoters(g.seeds...)
		require.EqualValues(t, 1, g.committedTopology())
	}
}

// Guards against a voter that was replaced while it was stopped and does not join
// again as a learner.
func TestReplacedVoterRejoinsAsLearner(t *testing.T) {
	g := newAdmissionGroup(t, 3, 3)
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

// unresponsive accepts connections at an address and never answers, as a suspended
// instance does.
func (g *admissionGroup) unresponsive(addr string) {
	ln, err := net.Listen("tcp", addr)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = ln.Close() })
}

// Guards against a replacement that gets its vote too late, because its search for the
// group waits for one unresponsive replica after the other. Until then, the next losses
// cost the group its quorum.
func TestReplacementGetsVoteBesideUnresponsiveReplicas(t *testing.T) {
	const catchUp = 4 * time.Second // time for a new instance to take over for a lost one
	g := newAdmissionGroup(t, 3, 3)
	for _, a := range g.seeds {
		g.launch(a, true)
	}
	g.awaitVoters(g.seeds...)
	lost, kept := g.seeds[0], g.seeds[1:]
	g.halt(lost.Name)
	g.unresponsive(lost.Peer)
	former := g.newAddress() // a seed that was replaced before
	g.unresponsive(former.Peer)
	g.seeds = append([]Address{former, lost}, kept...)
	next := g.newAddress()
	began := time.Now()
	g.launch(next, false)
	g.awaitVoters(kept[0], kept[1], next)
	require.Less(t, time.Since(began), catchUp)
}

// Guards against a replacement that gets its vote late because addresses that don't respond
// precede the members among those where it looks for the group.
func TestSilentAddressesDelayNoJoin(t *testing.T) {
	g := newAdmissionGroup(t, 3, 5)
	members := g.seeds
	for _, a := range members {
		g.launch(a, true)
	}
	g.awaitVoters(members...)
	g.seeds = append([]Address{g.silentAddress(g.newAddress()), g.silentAddress(g.newAddress())}, members...)
	next, began := g.newAddress(), time.Now()
	g.launch(next, false)
	g.awaitVoters(append(members, next)...)
	require.Less(t, time.Since(began), votesWithin)
}

// Guards against a lost voter that keeps its vote while two learners wait for one: with two
// more losses the group would have no quorum although three replicas have its entries.
func TestTwoLostVotersAreReplacedAtOnce(t *testing.T) {
	g := newAdmissionGroup(t, 5, 5)
	for _, a := range g.seeds {
		g.launch(a, true)
	}
	g.awaitVoters(g.seeds...)
	gone, emptied := g.seeds[0], g.seeds[1]
	for _, lost := range []Address{gone, emptied} {
		g.halt(lost.Name)
		require.NoError(t, os.RemoveAll(filepath.Join(g.folder, lost.Name)))
	}
	g.silentAddress(gone)
	g.commitTopology(1)
	next, began := g.newAddress(), time.Now()
	g.launch(next, false)
	g.launch(emptied, false)
	g.awaitVoters(append(g.seeds[1:], next)...)
	require.Less(t, time.Since(began), votesWithin)
	require.EqualValues(t, 1, g.committedTopology())
}

// Guards against a voter that was partitioned and replaced, and stays without a vote after
// the partition has healed although another voter is gone for good.
func TestPartitionedVoterReplacesOneThatIsGone(t *testing.T) {
	g := newAdmissionGroup(t, 5, 5)
	for _, a := range g.seeds {
		g.launch(a, true)
	}
	g.awaitVoters(g.seeds...)
	var followers, present []Address
	leader := g.leader()
	for _, a := range g.seeds {
		if g.replicas[a.Name] == leader {
			present = append(present, a)
		} else {
			followers = append(followers, a)
		}
	}
	partitioned, gone := followers[0], followers[1]
	present = append(present, followers[2:]...)
	g.setIsolated(partitioned.Name, true)
	time.Sleep(300 * time.Millisecond) // it is silent for longer than the other
	g.halt(gone.Name)
	g.silentAddress(gone)
	next := g.newAddress()
	g.launch(next, false)
	require.Eventually(t, func() (voter bool) {
		r := g.leader()
		g.onEventLoop(r, func() { voter = r.membership.IsVoter(g.replicas[next.Name].id) })
		return voter
	}, 20*time.Second, 20*time.Millisecond)
	g.setIsolated(partitioned.Name, false)
	healed := time.Now()
	g.awaitVoters(append(present, next, partitioned)...)
	require.Less(t, time.Since(healed), votesWithin)
}
