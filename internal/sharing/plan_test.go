package sharing

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/testutil"
)

// simulation applies plans to dispatchers that start work within their amount and
// may report their usage late.
type simulation struct {
	limit       int
	now         time.Time
	holders     []Holder
	running     []int
	waiting     []int
	lastStarted []time.Time
}

func newSimulation(limit, pools int) *simulation {
	s := &simulation{limit: limit, now: time.Unix(0, 0), running: make([]int, pools), waiting: make([]int, pools), lastStarted: make([]time.Time, pools)}
	for i := range pools {
		s.holders = append(s.holders, Holder{Pool: fmt.Sprintf("p%02d", i), MaxInUse: -1})
		s.lastStarted[i] = s.now
	}
	return s
}

// step applies one plan and lets the dispatchers start work. It returns the
// number of units moved.
func (s *simulation) step(t *testing.T, reported func() bool) int {
	t.Helper()
	s.now = s.now.Add(200 * time.Millisecond)
	for i := range s.holders {
		s.holders[i].Demand = s.running[i] + s.waiting[i]
		s.holders[i].MaxInUse = -1
		if reported() {
			s.holders[i].MaxInUse = max(s.running[i], s.holders[i].Amount)
		}
	}
	moved := 0
	for _, c := range Plan(Team{Limit: s.limit, Holders: s.holders}, s.now) {
		for i := range s.holders {
			h := &s.holders[i]
			if h.Pool != c.Pool {
				continue
			}
			require.GreaterOrEqual(t, c.Held, c.Amount)
			require.GreaterOrEqual(t, c.Held, s.running[i], "work in progress is not counted")
			moved += abs(c.Amount - h.Amount)
			if (h.Amount == 0) != (c.Amount == 0) {
				h.Since = s.now
			}
			h.Amount, h.Held = c.Amount, c.Held
		}
	}
	held, running := 0, 0
	for i := range s.holders {
		start := min(s.waiting[i], max(0, s.holders[i].Amount-s.running[i]))
		s.running[i] += start
		s.waiting[i] -= start
		if start > 0 {
			s.lastStarted[i] = s.now
		}
		held += s.holders[i].Held
		running += s.running[i]
	}
	require.LessOrEqual(t, held, s.limit)
	require.LessOrEqual(t, running, s.limit)
	return moved
}

func (s *simulation) totalAmount() int {
	sum := 0
	for _, h := range s.holders {
		sum += h.Amount
	}
	return sum
}

func always() bool { return true }

// Guards against a limit that is exceeded, or not granted completely, under
// random demand, random completion of work and random loss of reports.
func TestLimitIsConservedUnderRandomDemand(t *testing.T) {
	seed := testutil.Seed(t)
	r := rand.New(rand.NewSource(seed))
	for range 200 {
		s := newSimulation(1+r.Intn(80), 1+r.Intn(30))
		for range 300 {
			i := r.Intn(len(s.holders))
			s.waiting[i] += r.Intn(20) * r.Intn(2)
			for j := range s.running {
				s.running[j] -= r.Intn(s.running[j] + 1)
			}
			s.step(t, func() bool { return r.Intn(3) > 0 })
		}
		for i := range s.waiting {
			s.waiting[i], s.running[i] = 0, 0
		}
		for range 20 {
			s.step(t, always)
		}
		require.Equal(t, s.limit, s.totalAmount(), "the whole limit is handed out when idle")
		require.Zero(t, s.step(t, always), "an idle fleet moves nothing")
	}
}

// Guards against starvation of a pool under a limit below the number of pools.
func TestSmallLimitServesAllPoolsInTurn(t *testing.T) {
	for _, limit := range []int{1, 2, 3} {
		s := newSimulation(limit, 12)
		for range 1200 {
			for i := range s.holders {
				s.running[i] = 0 // all work ends within a step
				s.waiting[i] = 5
			}
			s.step(t, always)
			for i, at := range s.lastStarted {
				require.Less(t, s.now.Sub(at), 25*time.Second, "limit %d, pool %d", limit, i)
			}
		}
	}
}

// Guards against a peak that waits although units are unused in other pools, and
// against small differences in demand that move grants back and forth.
func TestGrantsFollowDemandWithoutFlapping(t *testing.T) {
	s := newSimulation(60, 5)
	for range 5 {
		s.step(t, always)
	}
	for i := range s.holders {
		require.Equal(t, 12, s.holders[i].Amount)
	}
	s.waiting[2] = 100
	for range 4 {
		s.step(t, always)
	}
	require.GreaterOrEqual(t, s.running[2], 50)
	require.Positive(t, s.holders[0].Amount, "an idle pool keeps a unit for a new peak")

	s = newSimulation(60, 5)
	r := rand.New(rand.NewSource(1))
	moved := 0
	for range 100 {
		for i := range s.holders {
			s.running[i], s.waiting[i] = 0, 20+r.Intn(4)
		}
		moved += s.step(t, always)
	}
	require.LessOrEqual(t, moved, 60)

	s = newSimulation(60, 5)
	moved = 0
	for n := range 100 {
		s.running[0], s.waiting[0] = 0, 14+2*(n/10%2) // changes as slowly as smoothed demand does
		moved += s.step(t, always)
	}
	require.LessOrEqual(t, moved, 80)
}

// Guards against a dispatcher that keeps a scarce unit while others wait.
func TestScarceUnitsAreSharedFairly(t *testing.T) {
	s := newSimulation(2, 3)
	turns := make([]int, 3)
	for range 1000 {
		for i := range s.holders {
			turns[i] += s.running[i]
			s.running[i], s.waiting[i] = 0, 5
		}
		s.step(t, always)
	}
	for i, n := range turns {
		require.InDelta(t, 2000.0/3, n, 200, "pool %d of %v", i, turns)
	}
}

// Guards against units of lost holders that are granted again too early.
func TestReservedGrantsCountAgainstLimit(t *testing.T) {
	team := Team{Limit: 10, Reserved: 7, Holders: []Holder{{Pool: "a", Demand: 10, MaxInUse: 0}}}
	require.Equal(t, []Change{{Pool: "a", Amount: 3, Held: 3}}, Plan(team, time.Unix(0, 0)))
	team = Team{Limit: 10, Reserved: 7, Holders: []Holder{{Pool: "a", Amount: 3, Held: 3, MaxInUse: -1}, {Pool: "b", Demand: 10, MaxInUse: -1}}}
	require.Equal(t, []Change{{Pool: "a", Amount: 0, Held: 3}}, Plan(team, time.Unix(0, 0)), "nothing is free until it was given back")
	team.Reserved = 12
	team.Holders = team.Holders[1:]
	require.Empty(t, Plan(team, time.Unix(0, 0)))
}
