package maintenance

import (
	"time"

	"cactusspar/internal/state"
)

// Round is a group of drains that a forecast expects to start at the same time.
type Round struct {
	After time.Duration `json:"after"`
	Drain []Step        `json:"drain"`
}

// Forecast is the expected progress of the running waves if every instance takes
// the same time and nothing fails.
type Forecast struct {
	Rounds []Round       `json:"rounds"`
	Total  time.Duration `json:"total"`
	// Bound is the minimum time that any plan needs.
	Bound time.Duration `json:"bound"`
	// Blocked holds the instances that can never be drained, for example because
	// of a budget of 0.
	Blocked []Wait `json:"blocked"`
}

// Simulate simulates the running waves to their end, with each instance
// unavailable for perInstance.
func Simulate(in Input, perInstance time.Duration) Forecast {
	in.Instances = append([]state.Instance(nil), in.Instances...)
	in.Waves = cloneWaves(in.Waves)
	in.ReturnLimit, in.DrainLimit = 2*perInstance, 2*perInstance
	var f Forecast
	f.Bound = time.Duration(LowerBound(in.Rules, pendingInstances(in))) * perInstance
	start := in.Now
	for {
		p := MakePlan(in)
		if len(p.Drain) == 0 {
			f.Blocked = p.Wait
			f.Total = in.Now.Sub(start)
			return f
		}
		f.Rounds = append(f.Rounds, Round{After: in.Now.Sub(start), Drain: p.Drain})
		completeRound(&in, p.Drain, perInstance)
	}
}

func completeRound(in *Input, steps []Step, perInstance time.Duration) {
	in.Now = in.Now.Add(perInstance)
	done := make(map[string]bool, len(steps))
	for _, s := range steps {
		done[s.Instance] = true
	}
	for i := range in.Instances {
		if done[in.Instances[i].ID] {
			in.Instances[i].LastMaintained = in.Now
		}
	}
	for i := range in.Waves {
		w := &in.Waves[i]
		var todo []string
		for _, id := range w.Todo {
			if !done[id] {
				todo = append(todo, id)
			}
		}
		w.Todo = todo
	}
}

func cloneWaves(waves []state.Wave) []state.Wave {
	out := append([]state.Wave(nil), waves...)
	for i := range out {
		out[i].Todo = append([]string(nil), out[i].Todo...)
	}
	return out
}

func pendingInstances(in Input) []state.Instance {
	todo := map[string]bool{}
	for _, w := range in.Waves {
		if w.Status == state.WaveRunning {
			for _, id := range w.Todo {
				todo[id] = true
			}
		}
	}
	var out []state.Instance
	for _, i := range in.Instances {
		if todo[i.ID] {
			out = append(out, i)
		}
	}
	return out
}
