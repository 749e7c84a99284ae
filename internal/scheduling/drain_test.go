package scheduling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cactusspar/internal/resources"
	"cactusspar/internal/workload"
)

// fleetModel is a pool whose long-running tasks are placed and drained in rounds.
type fleetModel struct {
	t       *rapid.T
	workers []*modelWorker
	steps   []*modelStep
	round   int
	// unplaced are the demands of the last round that found no worker.
	unplaced []*Demand
}

type modelWorker struct {
	Worker
	due      bool // for maintenance
	answers  bool // the platform carries out its maintenance
	cordoned bool
	backAt   int // the round in which it is back
	retryAt  int
	progress int // the round in which a task on it was last stopped
	claims   map[StepKey]int
}

type modelStep struct {
	workload.Step
	key    StepKey
	on     []string // the worker of each task, or ""
	ranAt  []int    // the round in which each task last ran
	budget int      // -1 if there is none
}

const (
	modelPatience    = 4 // rounds, see drainPatience in the orchestrator
	modelPause       = 12
	modelMaintenance = 3 // rounds that a worker is away
	modelRounds      = 150
)

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{t: t}
	for i := range rapid.IntRange(2, 6).Draw(t, "workers") {
		w := &modelWorker{due: rapid.Bool().Draw(t, "due"), answers: rapid.Bool().Draw(t, "answers"), claims: map[StepKey]int{}}
		w.ID, w.Pool = fmt.Sprintf("w%d", i), "p"
		w.Capacity = resources.Amount{MilliCPU: 1000 * rapid.Int64Range(3, 12).Draw(t, "cores"), MemoryMB: 1000 * rapid.Int64Range(3, 12).Draw(t, "memory"), Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators")}
		if rapid.Bool().Draw(t, "labelled") {
			w.Labels = []string{"x"}
		}
		m.workers = append(m.workers, w)
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
		s := &modelStep{key: StepKey{Job: fmt.Sprintf("j%d", i)}, budget: rapid.IntRange(-1, 3).Draw(t, "budget")}
		s.Count, s.LongRunning = rapid.IntRange(1, 5).Draw(t, "count"), true
		s.Resources = resources.Amount{MilliCPU: 1000 * rapid.Int64Range(1, 4).Draw(t, "cores"), MemoryMB: 1000 * rapid.Int64Range(1, 4).Draw(t, "memory"), Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators")}
		s.MaxPerWorker = rapid.IntRange(0, 2).Draw(t, "per worker")
		if rapid.Bool().Draw(t, "label") {
			s.Label = "x"
		}
		if s.budget >= 0 {
			s.MaxUnavailable = &s.budget
		}
		s.on, s.ranAt = make([]string, s.Count), make([]int, s.Count)
		m.steps = append(m.steps, s)
	}
	return m
}

func (m *fleetModel) demand(s *modelStep) *Demand {
	d := &Demand{Key: s.key, Step: &s.Step, Pool: "p"}
	for i, w := range s.on {
		if w == "" {
			d.Waiting = append(d.Waiting, i)
		}
	}
	return d
}

// view resets the figures of a worker to what runs on it.
func (m *fleetModel) view(w *modelWorker) *Worker {
	usage := &workload.Usage{ByStep: map[workload.StepID]int{}}
	for _, s := range m.steps {
		n := m.tasksOn(s, w)
		usage.Occupied = usage.Occupied.Plus(s.Occupied().Times(n))
		usage.ByStep[s.key], usage.LongRunning = n, usage.LongRunning+n
	}
	usage.Lasting = usage.Occupied
	w.Reset(usage)
	w.Claims = map[StepKey]int{}
	for _, s := range m.steps {
		if n := min(w.claims[s.key], len(m.demand(s).Waiting)); n > 0 {
			w.Claims[s.key] = n
		} else {
			delete(w.claims, s.key)
		}
	}
	return &w.Worker
}

func (m *fleetModel) tasksOn(s *modelStep, w *modelWorker) int {
	n := 0
	for _, on := range s.on {
		if on == w.ID {
			n++
		}
	}
	return n
}

func (m *fleetModel) up(w *modelWorker) bool { return m.round >= w.backAt }

func (m *fleetModel) usable() []*Worker {
	var out []*Worker
	for _, w := range m.workers {
		if m.up(w) && !w.cordoned {
			out = append(out, m.view(w))
		}
	}
	return out
}

// place starts the tasks that wait.
func (m *fleetModel) place() {
	in := &Input{Now: time.Now(), Workers: m.usable()}
	for _, s := range m.steps {
		if d := m.demand(s); len(d.Waiting) > 0 {
			in.Demands = append(in.Demands, d)
		}
	}
	out := Place(in)
	m.unplaced = out.Unplaced
	for _, p := range out.Placements {
		i := slices.IndexFunc(m.steps, func(s *modelStep) bool { return s.key == p.Task.StepID() })
		m.steps[i].on[p.Task.Index] = p.Worker
	}
	for _, s := range m.steps {
		for i, on := range s.on {
			if on != "" {
				s.ranAt[i] = m.round
			}
		}
	}
}

func (m *fleetModel) groups(w *modelWorker) (groups []DrainGroup, steps []*modelStep) {
	for _, s := range m.steps {
		n := m.tasksOn(s, w)
		if n == 0 {
			continue
		}
		groups = append(groups, DrainGroup{Demand: m.demand(s), Tasks: n, Limited: s.budget >= 0, Budget: max(s.budget, 0), Away: len(m.demand(s).Waiting)})
		steps = append(steps, s)
	}
	return groups, steps
}

// drain advances the drain of a worker as the orchestrator does.
func (m *fleetModel) drain(w *modelWorker) {
	if m.round < w.retryAt && !w.cordoned {
		return
	}
	var usable []*Worker
	for _, u := range m.usable() {
		if u.ID != w.ID {
			usable = append(usable, u)
		}
	}
	rooms := NewRooms(usable)
	for _, s := range m.steps {
		rooms.Take(m.demand(s), len(m.demand(s).Waiting))
	}
	for _, other := range m.workers {
		if other != w && other.cordoned {
			groups, _ := m.groups(other)
			for i := range groups {
				rooms.Take(groups[i].Demand, groups[i].Tasks)
			}
		}
	}
	groups, steps := m.groups(w)
	plan := PlanDrain(groups, true, rooms)
	switch {
	case !w.cordoned && plan.Blocked != "":
		return
	case !w.cordoned:
		w.cordoned, w.progress = true, m.round
	case m.round-w.progress >= modelPatience && Awaited(m.unplaced, m.usable(), []*Worker{&w.Worker})[w.ID]:
		w.cordoned, w.retryAt = false, m.round+modelPause
		return
	}
	if len(groups) == 0 && w.answers {
		w.due, w.cordoned, w.backAt = false, false, m.round+modelMaintenance
		return
	}
	for i, s := range steps {
		for index, on := range s.on {
			if on != w.ID || plan.Stop[i] == 0 {
				continue
			}
			if away := len(m.demand(s).Waiting); s.budget >= 0 && away >= s.budget {
				m.t.Fatalf("round %d: a task of %s is stopped while %d of its step are away", m.round, s.key.Job, away)
			}
			plan.Stop[i]--
			s.on[index], w.progress = "", m.round
			if plan.Together {
				w.claims[s.key]++
			}
		}
	}
}

// TestTasksOfDrainedWorkersRunAgain guards against long-running tasks that are stopped for
// maintenance and then wait for good, because no other worker may run them, because the maintenance
// doesn't begin, or because other drains take the workers that were left.
func TestTasksOfDrainedWorkersRunAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		m.place()
		if len(m.unplaced) > 0 {
			return // the pool is too small
		}
		for m.round = 1; m.round < modelRounds; m.round++ {
			for _, w := range m.workers {
				if w.due && m.up(w) {
					m.drain(w)
				}
			}
			m.place()
			for _, s := range m.steps {
				for i, at := range s.ranAt {
					if away := m.round - at; away > modelPatience+modelMaintenance+2 {
						t.Fatalf("round %d: task %d of %s has waited for %d rounds", m.round, i, s.key.Job, away)
					}
				}
			}
		}
	})
}

// TestDrainIsNotBegunInVain guards against tasks that are stopped although the worker can't be
// drained because of others on it.
func TestDrainIsNotBegunInVain(t *testing.T) {
	step := func(budget *int) *Demand {
		return &Demand{Key: StepKey{Job: "j"}, Pool: "p", Step: &workload.Step{LongRunning: true, Resources: resources.Amount{MilliCPU: 1000}, MaxUnavailable: budget}}
	}
	none, one := 0, 1
	free := &Worker{ID: "b", Pool: "p", Capacity: resources.Amount{MilliCPU: 1000}}
	movable := DrainGroup{Demand: step(nil), Tasks: 1}
	fixed := DrainGroup{Demand: step(&none), Tasks: 1, Limited: true}
	pair := DrainGroup{Demand: step(&one), Tasks: 2, Limited: true, Budget: 1}
	waiting := pair
	waiting.Tasks, waiting.Away = 1, 1
	for name, groups := range map[string][]DrainGroup{
		"budget of none": {movable, fixed}, "no room for both": {movable, pair}, "no budget now, and none at all": {movable, waiting, fixed},
	} {
		plan := PlanDrain(groups, true, NewRooms([]*Worker{free}))
		require.Equal(t, NoRoomElsewhere, plan.Blocked, name)
		require.Equal(t, make([]int, len(groups)), plan.Stop, name)
	}
	waiting.Tasks = 2
	plan := PlanDrain([]DrainGroup{waiting}, true, NewRooms([]*Worker{{ID: "b", Pool: "p", Capacity: resources.Amount{MilliCPU: 2000}}}))
	require.Equal(t, NoBudget, plan.Blocked)
	require.Equal(t, []int{0}, plan.Stop)
}
