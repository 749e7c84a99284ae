package maintenance

import (
	"sort"

	"cactusspar/internal/state"
)

// dueShare is the part of a pool's period after which an instance is due. The
// rest of the period is for waves that are paused or stopped.
const dueShare = 0.8

// Due returns the instances whose maintenance is due, sorted by name, leaving
// out those that a running or paused wave already holds.
func Due(in Input) []string {
	held := map[string]bool{}
	for _, w := range in.Waves {
		if w.Status == state.WaveRunning || w.Status == state.WavePaused {
			for _, id := range w.Todo {
				held[id] = true
			}
		}
	}
	var due []string
	for i := range in.Instances {
		inst := &in.Instances[i]
		pool, ok := in.Rules.Pools[inst.Pool]
		if !ok || pool.Period == 0 || held[inst.ID] {
			continue
		}
		age := in.Now.Sub(inst.LastMaintained)
		if float64(age) >= dueShare*float64(pool.Period) {
			due = append(due, inst.ID)
		}
	}
	sort.Strings(due)
	return due
}
