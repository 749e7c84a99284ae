package maintenance

import (
	"time"

	"cactusspar/internal/state"
)

// Round is what a forecast expects to happen at a time.
type Round struct {
	After time.Duration `json:"after"`
	Drain []Step        `json:"drain"`
}

// Forecast is the expected course of the running waves if every instance takes
// the same time and nothing fails.
type Forecast struct {
	Rounds []Round       `json:"rounds"`
	Total  time.Duration `json:"total"`
	// Bound is the least time that any plan needs.
	Bound time.Duration `json:"bound"`
	// Blocked holds the waits that never end, for example budgets of 0.
	Blocked []Wait `json:"blocked"`
}

// Expect plays the plan forward, with each instance away for perInstance.
func Expect(in Input, perInstance time.Duration) Forecast {
	in.Instances = append([]state.Instance(nil), in.Instances...)
	in.Waves = cloneWaves(in.Waves)
	in.ReturnLimit, in.DrainLimit = 2*perInstance, 2*perInstance
	var f Forecast
	f.Bound = time.Duration(LowerBound(in.Rules, pending(in))) * perInstance
	start := in.Now
	for {
		p := Make(in)
		if len(p.Drain) == 0 {
			f.Blocked = p.Wait
			f.Total = in.Now.Sub(start)
			return f
		}
		f.Rounds = append(f.Rounds, Round{After: in.Now.Sub(start), Drain: p.Drain})
		finishRound(&in, p.Drain, perInstance)
	}
}

func finishRound(in *Input, steps []Step, perInstance time.Duration) {
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

func pending(in Input) []state.Instance {
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
