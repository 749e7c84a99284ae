package fleet

import (
	"context"
	"sort"
	"time"

	"cactusspar/internal/platform"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

// snapshot is a copy of the state from which a round plans.
type snapshot struct {
	now        time.Time
	signals    Signals
	rules      *rules.Rules
	instances  []state.Instance
	waves      []state.Wave
	jobs       []state.Job // waiting and running
	tasks      []state.Task
	grantsHeld map[string]int // units held for requests, by team
	reported   map[string]platform.TaskInfo
}

func (d *Driver) snapshot(ctx context.Context, signals Signals) (*snapshot, error) {
	s := &snapshot{signals: signals, grantsHeld: map[string]int{}}
	err := d.opts.Control.Read(ctx, func(st *state.State) {
		s.rules = st.Rules() // immutable once parsed
		for _, i := range st.Instances {
			s.instances = append(s.instances, *i)
		}
		for _, w := range st.Waves {
			if !w.Ended() {
				s.waves = append(s.waves, *w)
			}
		}
		for _, j := range st.Jobs {
			if !j.Ended() {
				s.jobs = append(s.jobs, *j)
			}
		}
		for _, t := range st.Tasks {
			s.tasks = append(s.tasks, *t)
		}
		if s.rules != nil {
			for team := range s.rules.Teams {
				s.grantsHeld[team] = st.HeldBy(team)
			}
		}
	})
	// The state's clock is the leader's clock at the last command. Plans compare
	// times in the state with the present time instead.
	s.now = time.Now().UTC()
	sort.Slice(s.instances, func(i, j int) bool { return s.instances[i].ID < s.instances[j].ID })
	sort.Slice(s.jobs, func(i, j int) bool { return s.jobs[i].ID < s.jobs[j].ID })
	sort.Slice(s.tasks, func(i, j int) bool { return s.tasks[i].ID < s.tasks[j].ID })
	return s, err
}

func (s *snapshot) tasksOn(instance string) []state.Task {
	var out []state.Task
	for i := range s.tasks {
		if s.tasks[i].Instance == instance {
			out = append(out, s.tasks[i])
		}
	}
	return out
}

func (s *snapshot) job(id string) *state.Job {
	i := sort.Search(len(s.jobs), func(i int) bool { return s.jobs[i].ID >= id })
	if i < len(s.jobs) && s.jobs[i].ID == id {
		return &s.jobs[i]
	}
	return nil
}
