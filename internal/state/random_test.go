package state

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/testutil"
)

func randomCommand(r *rand.Rand, s *State) Command {
	pick := func(names ...string) string { return names[r.Intn(len(names))] }
	c := Command{Time: time.Unix(r.Int63n(1000), 0)}
	if r.Intn(3) == 0 {
		c.Session = Session{pick("p", "q"), uint64(r.Intn(200))}
	}
	pool, team, entry := pick("a", "b", "none"), pick("x", "y"), pick("e1", "e2", "e3")
	epoch := uint64(r.Intn(2))
	if a := s.Assignments[pool]; a != nil {
		epoch += a.Epoch
	}
	switch r.Intn(12) {
	case 0:
		c.ApplyRules = &ApplyRules{Expected: s.Config.Version - uint64(r.Intn(2)), Text: fmt.Sprintf(testRules, 1+r.Intn(20))}
	case 1:
		c.GiveKey = &GiveKey{ID: fmt.Sprint(r.Intn(50)), Team: team, Hash: [32]byte{1}}
	case 2:
		c.WithdrawKey = &WithdrawKey{ID: fmt.Sprint(r.Intn(50))}
	case 3:
		c.RegisterEntry = &RegisterEntry{Entry{ID: entry, Incarnation: uint64(r.Intn(100))}}
	case 4:
		c.ExpireEntry = &ExpireEntry{ID: entry, Incarnation: uint64(r.Intn(100))}
	case 5:
		c.AssignPools = &AssignPools{[]Assignment{{Pool: pool, Epoch: epoch, Dispatcher: entry, Backup: pick("", "e1", "e2")}}}
	case 6:
		c.UpsertInstances = &UpsertInstances{[]Instance{{ID: fmt.Sprint(r.Intn(9)), Pool: pool, Slots: r.Intn(9)}}}
	case 7:
		c.MoveInstance = &MoveInstance{ID: fmt.Sprint(r.Intn(9)), From: "a", To: "b", Epoch: uint64(r.Intn(4))}
	case 8:
		c.SetCondition = &SetCondition{ID: fmt.Sprint(r.Intn(9)), From: Active, To: Condition(pick(string(Draining), string(Lost)))}
	default:
		amount := r.Intn(8)
		c.SetGrants = &SetGrants{[]Grant{{Team: team, Pool: pool, Epoch: epoch, Amount: amount, Held: amount + r.Intn(3)}}}
	}
	return c
}

// replicatedState returns a copy of s without the change log, which differs
// between replicas.
func replicatedState(t *testing.T, s *State) *State {
	t.Helper()
	data, err := s.Encode()
	require.NoError(t, err)
	out, err := Restore(data)
	require.NoError(t, err)
	out.recentChanges = changeLog{}
	return out
}

// TestRandomCommands applies random commands to two replicas. It guards against
// replicas that diverge, also after one was restored from a snapshot, against
// grants above a team's limit, and against changes missing from ChangesSince.
func TestRandomCommands(t *testing.T) {
	seed := testutil.Seed(t)
	r := rand.New(rand.NewSource(seed))
	for range 20 {
		replicaA, replicaB := New(), New()
		mirror := map[GrantID]Grant{}
		since := uint64(0)
		for index := uint64(1); index < 1500; index++ {
			c := randomCommand(r, replicaA)
			data, err := EncodeCommand(&c)
			require.NoError(t, err)
			decoded, err := DecodeCommand(data)
			require.NoError(t, err)
			before := heldSums(replicaA)
			version, clock := replicaA.Config.Version, replicaA.Clock
			require.Equal(t, replicaA.Apply(index, c), replicaB.Apply(index, decoded))
			require.GreaterOrEqual(t, replicaA.Config.Version, version)
			require.False(t, replicaA.Clock.Before(clock))
			require.Nil(t, replicaA.checkHeldSums())
			for team, sum := range heldSums(replicaA) {
				require.True(t, sum <= before[team] || sum <= replicaA.TeamLimit(team), "team %s holds %d", team, sum)
			}
			if r.Intn(200) == 0 {
				data, err := replicaB.Encode()
				require.NoError(t, err)
				replicaB, err = Restore(data)
				require.NoError(t, err)
			}
			if r.Intn(20) == 0 {
				updateMirror(mirror, replicaA, since)
				since = replicaA.Index
				require.Len(t, mirror, len(replicaA.Grants))
			}
		}
		require.Equal(t, replicatedState(t, replicaA), replicatedState(t, replicaB))
	}
}

// heldSums returns the sum of Held over the grants of each team.
func heldSums(s *State) map[string]int {
	sums := map[string]int{}
	for _, g := range s.Grants {
		sums[g.Team] += g.Held
	}
	return sums
}

// updateMirror applies the grant changes after since to mirror, as a view does.
func updateMirror(mirror map[GrantID]Grant, s *State, since uint64) {
	changes := s.ChangesSince(since)
	if changes.Full {
		clear(mirror)
		for id, g := range s.Grants {
			mirror[id] = *g
		}
	}
	for _, id := range changes.Grants {
		if g := s.Grants[id]; g != nil {
			mirror[id] = *g
		} else {
			delete(mirror, id)
		}
	}
}
