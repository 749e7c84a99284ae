package scheduling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

func instances(pool string, n, runs int) []MovableInstance {
	var out []MovableInstance
	for i := range n {
		out = append(out, MovableInstance{ID: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Cores: 64, DrainTime: time.Duration(runs) * time.Second})
	}
	return out
}

var testPolicy = MovePolicy{MinDeficit: 0.4, Headroom: 0.2, MinShare: 0.4, TotalCores: 20 * 64}

func movesTo(moves []Move, pool string) int {
	n := 0
	for _, m := range moves {
		if m.To == pool {
			n++
		}
	}
	return n
}

// Queues peak in turn, and one needs twice the capacity of its pool. Its pool must
// get instances that are switched off or idle elsewhere, and a lending pool must keep
// listed returns the function that lists the instances of a pool.
func listed(all []MovableInstance) func(pool string) []MovableInstance {
	return func(pool string) []MovableInstance {
		return slices.DeleteFunc(slices.Clone(all), func(i MovableInstance) bool { return i.Pool != pool })
	}
}

// a minimum for its own peak.
func TestPeakBorrowsFromSpareAndIdlePools(t *testing.T) {
	pools := []PoolLoad{
		{Name: "peak", Capacity: 8 * 64, Need: 16 * 64},
		{Name: "idle", Capacity: 8 * 64, Need: 20},
		{Name: "spare", Spare: true},
	}
	idle := append(instances("idle", 8, 0), instances("spare", 4, 0)...)
	moves := Moves(pools, listed(idle), testPolicy)
	require.Equal(t, 8, movesTo(moves, "peak"))
	for _, m := range moves[:4] {
		require.Equal(t, "spare", m.From, "switched off instances come first")
	}
	pools[0].Need = 100 * 64
	moves = Moves(pools, listed(idle), testPolicy)
	require.Equal(t, 4+4, movesTo(moves, "peak"), "the idle pool keeps its minimum of 4 instances")
}

// The peak of one queue ends and that of another begins. The first pool must lend
// its instances although some of them still run its last tasks.
func TestPoolLendsInstancesAfterItsPeak(t *testing.T) {
	pools := []PoolLoad{{Name: "next", Capacity: 4 * 64, Need: 10 * 64}, {Name: "former", Capacity: 16 * 64, Need: 128}}
	moves := Moves(pools, listed(append(instances("former", 2, 0), instances("former", 10, 3)...)), testPolicy)
	require.Equal(t, 6, movesTo(moves, "next"))
}

// The peak of one queue goes on while that of another begins, and both expect more than the
// fleet has. The second pool must get its part of the fleet at once, and what its tasks need
// now even from instances that the first one only expects to need.
func TestNextPeakIsNotKeptOutByAnExpectedOne(t *testing.T) {
	pools := func(next PoolLoad) []PoolLoad {
		return []PoolLoad{
			{Name: "first", Capacity: 16 * 64, Present: 8 * 64, Need: 20 * 64},
			next,
			{Name: "spare", Spare: true},
		}
	}
	idle := append(instances("first", 6, 0), instances("first", 10, 3)...)
	expects := PoolLoad{Name: "next", Capacity: 4 * 64, Present: 64, Need: 12 * 64}
	require.Equal(t, 6, movesTo(Moves(pools(expects), listed(idle), testPolicy), "next"), "half of 20 instances")
	waits := PoolLoad{Name: "next", Capacity: 4 * 64, Present: 10 * 64, Need: 10 * 64}
	moves := Moves(pools(waits), listed(idle), testPolicy)
	require.Equal(t, 6, movesTo(moves, "next"))
	require.Equal(t, "first-0", moves[0].Instance, "idle instances come first")
	content := PoolLoad{Name: "next", Capacity: 4 * 64, Present: 64, Need: 3 * 64}
	require.Empty(t, Moves(pools(content), listed(idle), testPolicy), "the first pool keeps what nobody else needs")
}

// Two queues peak together while the pool of a third one keeps its minimum. None of the peaks
// must get all the spare instances before the other gets any.
func TestPeaksShareSpareInstances(t *testing.T) {
	pools := []PoolLoad{
		{Name: "a", Capacity: 4 * 64, Present: 30 * 64, Need: 30 * 64},
		{Name: "b", Capacity: 4 * 64, Present: 20 * 64, Need: 20 * 64},
		{Name: "c", Capacity: 4 * 64, Need: 64},
		{Name: "spare", Spare: true},
	}
	moves := Moves(pools, listed(instances("spare", 8, 0)), testPolicy)
	require.Equal(t, 4, movesTo(moves, "a"))
	require.Equal(t, 4, movesTo(moves, "b"))
}

// Instances must not move back and forth: those that are on their way count as
// capacity, and a deficit below MinDeficit causes no move.
func TestIncomingInstancesCount(t *testing.T) {
	pools := []PoolLoad{{Name: "peak", Capacity: 8 * 64, Incoming: 7 * 64, Need: 15*64 + 20}, {Name: "spare", Spare: true}}
	require.Empty(t, Moves(pools, listed(instances("spare", 4, 0)), testPolicy))
}

// After a peak, instances that were not needed for some time must be switched off,
// because they cost money. A short gap between two jobs must not switch any off.
func TestUnneededInstancesAreSwitchedOff(t *testing.T) {
	pools := []PoolLoad{{Name: "quiet", Capacity: 10 * 64, Need: 10, RecentPeak: 20}, {Name: "busy", Capacity: 640, Need: 640}, {Name: "spare", Spare: true}}
	require.Equal(t, 6, movesTo(Moves(pools, listed(instances("quiet", 10, 0)), testPolicy), "spare"))
	require.Empty(t, Moves(pools, listed(instances("quiet", 10, 1)), testPolicy), "their tasks have to end first")
	pools[0].RecentPeak = 500
	require.Empty(t, Moves(pools, listed(instances("quiet", 10, 0)), testPolicy))
}

// A long-running task finds no worker in a pool that has shrunk. The pool must get
// an instance that is idle elsewhere, one at a time, and must not lend any.
func TestShortPoolGetsAnInstance(t *testing.T) {
	pools := []PoolLoad{{Name: "serve", Capacity: 128, Need: 56, NeedsInstance: true}, {Name: "spare", Spare: true}}
	idle := append(instances("serve", 1, 0), instances("spare", 4, 0)...)
	policy := testPolicy
	policy.MinShare = 0
	moves := Moves(pools, listed(idle), policy)
	require.Equal(t, 1, movesTo(moves, "serve"))
	require.Len(t, moves, 1, "the pool lends nothing")
	pools[0].Incoming = 64
	require.Empty(t, Moves(pools, listed(idle), policy))
}

// A queue gets more work than its pool can complete in time. Jobs that would be late
// must be refused, and no job may be refused while there is room.
func TestAdmissionRefusesLateJobs(t *testing.T) {
	j := &workload.Job{Steps: []workload.Step{{Count: 4, Resources: cores(1), Estimate: time.Second}}}
	q := &workload.Queue{Stretch: 1.6, Slack: 600 * time.Millisecond}
	require.True(t, Admit(j, q, Backlog{Work: 60, Cores: 64}, nil, WithinShare, 0).Admitted)
	v := Admit(j, q, Backlog{Work: 200, Cores: 64}, nil, WithinShare, 0)
	require.False(t, v.Admitted)
	require.GreaterOrEqual(t, v.RetryAfter, minRetryAfter)
	require.False(t, Admit(j, q, Backlog{}, nil, WithinShare, 0).Admitted, "a pool without workers")
	// One team sends more than its share while the pool is busy.
	require.Equal(t, "share", Admit(j, q, Backlog{Work: 60, Cores: 64}, nil, OverRate, 0).Reason)
	require.True(t, Admit(j, q, Backlog{Work: 5, Cores: 64}, nil, OverRate, 0).Admitted, "room to spare is used")
	long := &workload.Job{Steps: []workload.Step{{Count: 1, LongRunning: true}}}
	require.True(t, Admit(long, q, Backlog{Work: 1000, Cores: 64}, nil, WithinShare, 0).Admitted)
}

// Best-effort tasks must not keep latency-sensitive tasks above their target, and
// must be sped up again once the target is met.
func TestPaceFollowsResponseTimes(t *testing.T) {
	require.Zero(t, Pace(100, 1.2))
	require.Equal(t, 50, Pace(100, 0.9))
	require.Equal(t, 100, Pace(100, 0.7))
	percent := 0
	for range 5 {
		percent = Pace(percent, 0.3)
	}
	require.Equal(t, 100, percent)
}

// The critical path and the work must follow the dependencies of the steps and the
// predicted run times.
func TestCriticalPath(t *testing.T) {
	steps := []workload.Step{
		{Count: 2, Resources: cores(2), Estimate: time.Second},
		{Count: 1, Resources: cores(1), Estimate: 2 * time.Second, DependsOn: []int{0}},
		{Count: 1, Resources: cores(1), Estimate: time.Second},
	}
	criticalPath, work := CriticalPath(steps, nil, nil)
	require.Equal(t, 3*time.Second, criticalPath)
	require.InDelta(t, 4+2+1, work, 0.001)
	var slow RunTimes
	slow.Observe(time.Second, 2*time.Second)
	criticalPath, work = CriticalPath(steps, nil, &slow)
	require.Equal(t, 6*time.Second, criticalPath)
	require.InDelta(t, 14, work, 0.001)
}

// Instances in a pool that the configuration doesn't name any more must not be lost to the others: they
// are lent first, and the rest is switched off, or used where no pool is spare.
func TestRetiredPoolIsEmptied(t *testing.T) {
	pools := []PoolLoad{
		{Name: "peak", Capacity: 4 * 64, Need: 6 * 64, RecentPeak: 6 * 64},
		{Name: "calm", Capacity: 2 * 64, Need: 64, RecentPeak: 4 * 64},
		{Name: "gone", Retired: true},
		{Name: "off", Retired: true},
		{Name: "spare", Spare: true},
	}
	idle := slices.Concat(instances("gone", 3, 0), instances("off", 2, 0), instances("spare", 4, 0))
	moves := Moves(pools, listed(idle), testPolicy)
	require.Equal(t, 2, movesTo(moves, "peak"))
	require.Equal(t, 3, movesTo(moves, "spare"))
	require.Len(t, moves, 5)
	for _, m := range moves {
		require.Contains(t, []string{"gone", "off"}, m.From)
	}
	moves = Moves(pools[:4], listed(idle[:5]), testPolicy)
	require.Equal(t, 4, movesTo(moves, "peak"))
	require.Equal(t, 1, movesTo(moves, "calm"))
	require.Empty(t, Moves(pools[2:4], listed(idle[:5]), testPolicy), "there is no pool to move them to")
}

// A retired pool must not change what the other pools keep and lend.
func TestRetiredPoolDoesNotCount(t *testing.T) {
	pools := []PoolLoad{{Name: "quiet", Capacity: 10 * 64, Need: 10, RecentPeak: 20}, {Name: "busy", Capacity: 640, Need: 640}, {Name: "spare", Spare: true}}
	idle := instances("quiet", 10, 0)
	want := Moves(pools, listed(idle), testPolicy)
	require.Equal(t, want, Moves(append(pools, PoolLoad{Name: "gone", Retired: true}), listed(idle), testPolicy))
}
