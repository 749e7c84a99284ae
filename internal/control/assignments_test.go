package control

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/state"
	"cactusspar/internal/testutil"
)

// newAssignmentInput returns entry instances spread over four data centres, and
// pools without assignments.
func newAssignmentInput(instances, pools int) assignmentInput {
	in := assignmentInput{Entries: map[string]candidate{}, Committed: map[string]*state.Assignment{}, Balance: true}
	in.RegisteredSince = func(id string, _ uint64) bool {
		_, ok := in.Entries[id]
		return ok
	}
	for n := range instances {
		in.Entries[fmt.Sprintf("e%02d", n)] = candidate{DataCentre: fmt.Sprintf("d%d", n%4)}
	}
	for n := range pools {
		in.Pools = append(in.Pools, fmt.Sprintf("p%03d", n))
	}
	return in
}

// applyPlan applies a plan and returns how many pools moved away from a live
// dispatcher.
func (in *assignmentInput) applyPlan(t *testing.T, next []state.Assignment) int {
	moved := 0
	for _, a := range next {
		old := in.Committed[a.Pool]
		if old == nil {
			old = &state.Assignment{}
		}
		require.Equal(t, old.Epoch+1, a.Epoch)
		if _, live := in.Entries[old.Dispatcher]; live && old.Dispatcher != a.Dispatcher {
			moved++
		}
		in.Committed[a.Pool] = &a
	}
	return moved
}

// requireValid checks that all pools have a live dispatcher and a valid backup, that
// the load is balanced, and that the plan is stable.
func (in *assignmentInput) requireValid(t *testing.T) {
	t.Helper()
	centres := map[string]bool{}
	for _, c := range in.Entries {
		centres[c.DataCentre] = true
	}
	load := map[string]int{}
	for _, pool := range in.Pools {
		a := in.Committed[pool]
		require.Contains(t, in.Entries, a.Dispatcher)
		load[a.Dispatcher]++
		if len(in.Entries) == 1 {
			require.Empty(t, a.Backup)
			continue
		}
		require.Contains(t, in.Entries, a.Backup)
		require.NotEqual(t, a.Dispatcher, a.Backup)
		if len(centres) > 1 {
			require.NotEqual(t, in.Entries[a.Dispatcher].DataCentre, in.Entries[a.Backup].DataCentre)
		}
	}
	mean := len(in.Pools) / len(in.Entries)
	for id := range in.Entries {
		require.LessOrEqual(t, load[id], mean+max(1, mean/4)+1)
	}
	require.Empty(t, planAssignments(*in), "the plan changes again after it was applied")
}

// Guards against pools without a dispatcher, backups in the dispatcher's data
// centre, unnecessary moves, and records lost because the backup does not take
// over, while entry instances join and leave at random.
func TestAssignmentsUnderRandomChanges(t *testing.T) {
	t.Parallel()
	seed := testutil.Seed(t)
	r := rand.New(rand.NewSource(seed))
	for range 30 {
		in := newAssignmentInput(1+r.Intn(24), 1+r.Intn(100))
		for range 30 {
			in.applyPlan(t, planAssignments(in))
			in.requireValid(t)
			id := fmt.Sprintf("e%02d", r.Intn(24))
			_, live := in.Entries[id]
			switch {
			case !live:
				in.Entries[id] = candidate{DataCentre: fmt.Sprintf("d%d", r.Intn(4))}
				// Each pool of the new instance takes one move.
				moved := in.applyPlan(t, planAssignments(in))
				require.LessOrEqual(t, moved, len(in.Pools)/len(in.Entries)+1)
			case len(in.Entries) > 1:
				delete(in.Entries, id)
				in.Balance = false
				for _, a := range planAssignments(in) {
					old := in.Committed[a.Pool]
					if _, backupLive := in.Entries[old.Backup]; old.Dispatcher == id && backupLive {
						require.Equal(t, old.Backup, a.Dispatcher)
					}
					if old.Dispatcher != id {
						require.Equal(t, old.Dispatcher, a.Dispatcher, "a pool of a live dispatcher moved")
					}
				}
				in.Balance = true
			}
		}
	}
}

// Guards against an initial placement that is uneven until pools are moved.
func TestPlacementIsEven(t *testing.T) {
	t.Parallel()
	in := newAssignmentInput(10, 100)
	in.Balance = false
	load := map[string]int{}
	for _, a := range planAssignments(in) {
		load[a.Dispatcher]++
	}
	for id := range in.Entries {
		require.Equal(t, 10, load[id])
	}
}

// Guards against pools that stay with a stopping or a restarted instance.
func TestAssignmentsMoveFromStoppingAndRestartedInstances(t *testing.T) {
	t.Parallel()
	in := newAssignmentInput(4, 8)
	in.applyPlan(t, planAssignments(in))
	in.Entries["e00"] = candidate{DataCentre: "d0", Leaving: true}
	in.applyPlan(t, planAssignments(in))
	for _, a := range in.Committed {
		require.NotEqual(t, "e00", a.Dispatcher)
		require.NotEqual(t, "e00", a.Backup)
	}
	registered := in.RegisteredSince
	in.RegisteredSince = func(id string, index uint64) bool { return registered(id, index) && (id != "e01" || index > 0) }
	in.Balance = false
	for _, a := range planAssignments(in) {
		old := in.Committed[a.Pool]
		require.True(t, old.Dispatcher == "e01" || old.Backup == "e01")
		if old.Dispatcher == "e01" {
			require.Equal(t, old.Backup, a.Dispatcher, "the restarted dispatcher has no records")
		}
	}
	planned := map[string]bool{}
	for _, a := range planAssignments(in) {
		planned[a.Pool] = true
	}
	for pool, a := range in.Committed {
		require.Equal(t, a.Dispatcher == "e01" || a.Backup == "e01", planned[pool], "pool %s", pool)
	}
	in.Pools = in.Pools[1:]
	next := planAssignments(in)
	require.Equal(t, state.Assignment{Pool: "p000", Epoch: in.Committed["p000"].Epoch + 1}, next[0])
}
