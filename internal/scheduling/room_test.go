package scheduling

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// simpleRooms finds the first worker with room for each task by looking at all of them.
type simpleRooms struct {
	workers []*Worker
	away    string
	taken   []taking
}

func (r *simpleRooms) take(d *Demand, n int) int {
	for k := range n {
		found := false
		for i, w := range r.workers {
			free, ofStep := w.Capacity.Minus(w.Lasting), 0
			for _, t := range r.taken {
				if t.worker == i {
					free = free.Minus(OccupiedResources(t.demand.Step))
				}
				if t.worker == i && t.demand.Key == d.Key {
					ofStep++
				}
			}
			if w.ID != r.away && d.Suits(w) && d.places(free, ofStep) > 0 {
				r.taken, found = append(r.taken, taking{i, d}), true
				break
			}
		}
		if !found {
			return k
		}
	}
	return n
}

// TestRoomsPassOverFullWorkersOnly guards against room that is missed or given twice because workers
// were passed over: after takings, after some were undone, and after a worker left and came back.
func TestRoomsPassOverFullWorkersOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []*Worker
		for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
			w := &Worker{ID: fmt.Sprint("w", i), Pool: "p", Capacity: resources.Amount{MilliCPU: 1000 * rapid.Int64Range(1, 6).Draw(t, "cores")}}
			if rapid.Bool().Draw(t, "labelled") {
				w.Labels = []string{"x"}
			}
			workers = append(workers, w)
		}
		var demands []*Demand
		for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
			step := &workload.Step{
				Resources: resources.Amount{MilliCPU: 1000 * rapid.Int64Range(1, 3).Draw(t, "size")}, LongRunning: true,
				MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "most"), Label: rapid.SampledFrom([]string{"", "x"}).Draw(t, "label"),
			}
			demands = append(demands, &Demand{Key: StepKey{Job: "j", Step: i}, Step: step, Pool: "p"})
		}
		rooms, simple := NewRooms(workers), &simpleRooms{workers: workers}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			d, n := rapid.SampledFrom(demands).Draw(t, "demand"), rapid.IntRange(1, 3).Draw(t, "tasks")
			before := len(simple.taken)
			switch rapid.SampledFrom([]string{"take", "undo", "ask", "leave"}).Draw(t, "change") {
			case "take":
				require.Equal(t, simple.take(d, n), rooms.Take(d, n))
			case "undo":
				require.Equal(t, simple.take(d, n), rooms.Take(d, n))
				rooms.undoTo(before)
				simple.taken = simple.taken[:before]
			case "ask":
				require.Equal(t, simple.take(d, 1) > 0, rooms.HasRoom(d))
				simple.taken = simple.taken[:before]
			case "leave":
				i := rapid.IntRange(0, len(workers)-1).Draw(t, "leaving")
				simple.away = workers[i].ID
				rooms.Leave(simple.away)
				for _, moved := range simple.taken[:before:before] {
					if moved.worker == i {
						simple.take(moved.demand, 1)
					}
				}
				require.Equal(t, simple.take(d, n), rooms.Take(d, n))
				rooms.Return()
				simple.away, simple.taken = "", simple.taken[:before]
			}
		}
	})
}
