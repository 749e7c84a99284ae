package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cactusspar/internal/boottime"
)

const start = boottime.Instant(100 * time.Second)

// room returns the room of a pool with a number of cores and accepted work in core-seconds.
func room(cores, accepted float64) func(time.Duration) float64 {
	return func(after time.Duration) float64 { return cores*after.Seconds() - accepted }
}

// All callers of a peak are refused in one second. They must be told to return over the seconds
// in which the pool can serve them, and no more than it can serve in each.
func TestRefusedCallersReturnOverTheSecondsInWhichThereIsRoom(t *testing.T) {
	var r Returns
	byTime := map[time.Duration]int{}
	for i := range 300 {
		after, kept := r.Reserve(start, fmt.Sprint("j", i), fmt.Sprint("w", i%20), 60, 5*time.Second, room(3000, 2000))
		if kept {
			byTime[after]++
		}
	}
	require.Equal(t, map[time.Duration]int{time.Second: 16, 2 * time.Second: 50, 3 * time.Second: 50, 4 * time.Second: 50, 5 * time.Second: 50}, byTime)
	require.InDelta(t, 16*60, r.Held(start, time.Second), 1e-6)

	after, kept := r.Reserve(start, "j0", "w0", 60, time.Second, room(0, 0))
	require.True(t, kept, "a caller that comes early keeps its place")
	require.Equal(t, time.Second, after)
	_, kept = r.Reserve(start, "late", "w", 60, 500*time.Millisecond, room(1e6, 0))
	require.False(t, kept, "its caller doesn't wait that long")
}

// Guards against a caller whose place is taken by others before it comes, or that has a place for
// good although it never comes.
func TestPlaceIsKeptUntilItLapses(t *testing.T) {
	var r Returns
	after, kept := r.Reserve(start, "a", "w", 60, 5*time.Second, room(100, 100))
	require.True(t, kept)
	require.Equal(t, 2*time.Second, after)
	_, inTurn := r.Take(start.Add(time.Second), "a")
	require.False(t, inTurn, "it is early")
	p, inTurn := r.Take(start.Add(2*time.Second+300*time.Millisecond), "a")
	require.True(t, inTurn)
	require.Equal(t, "w", p.Workspace)
	require.Zero(t, r.Len())

	r = Returns{}
	_, kept = r.Reserve(start, "b", "w", 60, 5*time.Second, room(100, 0))
	require.True(t, kept)
	_, inTurn = r.Take(start.Add(2*time.Second+time.Millisecond), "b")
	require.False(t, inTurn)
	require.Zero(t, r.Held(start.Add(3*time.Second), time.Second))
	require.Equal(t, 1, r.CountLapsed())
	require.Zero(t, r.CountLapsed())
}

// A flood of invented job IDs never returns. The memory that it takes must be bounded, and places
// must remain for other workspaces.
func TestFloodOfIDsLeavesPlacesForOthers(t *testing.T) {
	var r Returns
	for i := range 10 * maxPlaces {
		r.Reserve(start, fmt.Sprint("flood", i), "flood", 0.001, 5*time.Second, room(1e6, 0))
	}
	require.Equal(t, maxPlacesByWorkspace, r.Len())
	_, kept := r.Reserve(start, "j", "other", 1, 5*time.Second, room(1e6, 0))
	require.True(t, kept)
}

// Guards against promises that together exceed what will be free by their time, with callers that
// are refused at random times and return in their turn, early or never.
func TestPromisesNeverExceedWhatIsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Returns
		now, cores := start, 100.0
		due := map[string]Place{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			accepted := rapid.Float64Range(0, 300).Draw(t, "accepted")
			job := fmt.Sprint(rapid.IntRange(0, step).Draw(t, "job"))
			if rapid.Bool().Draw(t, "returns") {
				if p, inTurn := r.Take(now, job); inTurn {
					require.LessOrEqual(t, p.Due.Add(-earlyBy), now)
					delete(due, job)
				}
				continue
			}
			work := rapid.Float64Range(0.1, 80).Draw(t, "work")
			_, had := r.places[job]
			after, kept := r.Reserve(now, job, "w", work, 5*time.Second, room(cores, accepted))
			if !kept || had {
				continue
			}
			require.LessOrEqual(t, r.Held(now, after), room(cores, accepted)(after)+1e-6)
		}
	})
}
