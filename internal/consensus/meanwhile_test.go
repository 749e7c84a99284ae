package consensus

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a leader that neither sends nor commits anything while its own disk is slow: its
// followers elected another one, although they could have committed without that disk.
func TestLeaderGoesOnBesideItsSave(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	_, err := leader.Propose([]byte("a"))
	require.NoError(t, err)
	held := leader.Ready() // its save does not end
	require.Len(t, held.Entries, 1)
	deliver := func(messages []Message) {
		for _, m := range messages {
			require.NoError(t, g.cores[m.To].Step(m))
		}
		g.deliverAll()
	}
	deliver(held.PreSyncMessages)
	_, err = leader.Propose([]byte("b"))
	require.NoError(t, err)
	require.NoError(t, leader.ReadIndex(7))
	var committed []string
	var reads []ReadState
	for range 3 {
		r := leader.Meanwhile()
		require.Nil(t, r.HardState)
		require.Empty(t, r.Entries)
		for _, e := range r.Committed {
			committed = append(committed, string(e.Data))
		}
		reads = append(reads, r.Reads...)
		deliver(r.PreSyncMessages)
	}
	require.Equal(t, []string{"a", "b"}, committed)
	require.Len(t, reads, 1)
	require.False(t, reads[0].Rejected)

	leader.Advance()
	next := leader.Ready()
	require.Len(t, next.Entries, 1, "the entry that was proposed meanwhile")
	require.Empty(t, next.Committed)
}

// Guards against what a leader must not do before a term or vote of its own is durable.
func TestOnlyVoterWaitsForItsVote(t *testing.T) {
	g := newGroup(t, 1)
	c := g.cores[1]
	for !c.IsLeader() {
		c.Tick()
	}
	r := c.Ready()
	require.True(t, r.MustSync)
	_, err := c.Propose([]byte("a"))
	require.NoError(t, err)
	require.Empty(t, c.Meanwhile())
}

// slowNode is a core whose saves take several steps. A crash loses what is not saved.
type slowNode struct {
	core    *Core
	durable DurableState
	saving  *Ready
	left    int // steps until the save ends
	applied []Entry
}

func (n *slowNode) save(r *Ready) {
	if r.HardState != nil {
		n.durable.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		first := n.durable.Snapshot.Index + 1
		n.durable.Entries = append(slices.Clip(n.durable.Entries[:e.Index-first]), e)
	}
}

// Guards against committed entries that are lost or differ between replicas, and against violated
// invariants, when leaders go on beside their saves and replicas crash in the middle of them.
// SLOW_SAVES_SEEDS is the number of seeds of a longer run.
func TestCommittedEntriesSurviveSlowSavesAndCrashes(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("SLOW_SAVES_SEEDS"), "30"), 10, 32)
	require.NoError(t, err)
	applied, beside := 0, 0
	for seed := range seeds {
		a, b := simulateSlowSaves(t, seed)
		applied, beside = applied+a, beside+b
	}
	t.Logf("%d entries applied, %d of them by a leader beside its save", applied, beside)
	require.Greater(t, applied, 100*int(seeds), "replicas that can commit nothing keep everything") // some seeds have hardly a leader
	require.Greater(t, beside, int(seeds))
}

// simulateSlowSaves returns how many entries were applied, and how many of them by a leader beside its
// save.
func simulateSlowSaves(t *testing.T, seed uint64) (applied, besideSaves int) {
	random := rand.New(rand.NewPCG(seed, 7))
	members := voters(3 + 2*random.IntN(2))
	snapshot, hs := Bootstrap(members, nil)
	nodes := map[ReplicaID]*slowNode{}
	start := func(id ReplicaID, durable DurableState) {
		durable.Entries = slices.Clone(durable.Entries)
		cfg := testConfig(id)
		cfg.Rand = rand.New(rand.NewPCG(seed, random.Uint64()))
		core, err := New(cfg, durable)
		require.NoError(t, err, "seed %d", seed)
		nodes[id] = &slowNode{core: core, durable: durable}
	}
	for _, m := range members {
		start(m.ID, DurableState{HardState: hs, Snapshot: &snapshot})
	}
	var chosen []Entry // by index after the snapshot: what any replica has applied
	apply := func(n *slowNode, entries []Entry) {
		for _, e := range entries {
			at := int(e.Index - snapshot.Index - 1)
			require.Equal(t, len(n.applied), at, "seed %d: entries are applied in order, once", seed)
			n.applied = append(n.applied, e)
			if at == len(chosen) {
				chosen = append(chosen, e)
			}
			require.Equal(t, chosen[at], e, "seed %d: replicas apply different entries at %d", seed, e.Index)
		}
	}
	var network []Message
	proposed := uint64(0)
	beside := 0
	for step := range 1500 {
		slow := ReplicaID(1 + step/300%len(members)) // one disk after another is slow
		for _, m := range members {
			n := nodes[m.ID]
			if step%4 == 0 {
				n.core.Tick()
			}
			if n.core.IsLeader() && random.IntN(3) == 0 {
				proposed++
				_, _ = n.core.Propose(binary.BigEndian.AppendUint64(nil, proposed))
			}
			crash := 500
			if n.saving != nil && n.left > 3 && n.core.IsLeader() {
				crash = 40 // in the middle of a slow save
			}
			if random.IntN(crash) == 0 { // the disk keeps what was saved
				start(m.ID, n.durable)
				continue
			}
			switch {
			case n.saving != nil:
				if n.left--; n.left > 0 {
					if random.IntN(2) == 0 {
						r := n.core.Meanwhile()
						network = append(network, r.PreSyncMessages...)
						apply(n, n.saving.Committed)
						n.saving.Committed = nil
						beside += len(r.Committed)
						apply(n, r.Committed)
					}
					break
				}
				r := n.saving
				n.saving = nil
				n.save(r)
				network = append(network, r.Messages...)
				apply(n, r.Committed)
				n.core.Advance()
			case n.core.HasReady():
				r := n.core.Ready()
				network = append(network, r.PreSyncMessages...)
				n.saving, n.left = &r, 1
				if m.ID == slow {
					n.left = 20 + random.IntN(60)
				}
			}
			require.NoError(t, n.core.Err(), "seed %d", seed)
		}
		cut := ReplicaID(1 + step/100%len(members)) // one replica after another lags behind
		var later []Message
		for _, m := range network {
			switch {
			case random.IntN(50) == 0, m.To == cut && random.IntN(4) > 0: // lost
			case random.IntN(3) == 0:
				later = append(later, m)
			default:
				_ = nodes[m.To].core.Step(m)
			}
		}
		network = later
	}
	return len(chosen), beside
}
