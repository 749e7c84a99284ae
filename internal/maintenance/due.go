package maintenance

import (
	"sort"

	"cactusspar/internal/state"
)

// dueFraction is the fraction of a pool's period after which an instance is due.
// The rest of the period is a reserve for waves that are paused or stopped.
const dueFraction = 0.8

// Due returns the ids of the instances whose maintenance is due, sorted, except
// those that a running or paused wave already includes.
func Due(in Input) []string {
	inWave := map[string]bool{}
	for _, w := range in.Waves {
		if w.Status == state.WaveRunning || w.Status == state.WavePaused {
			for _, id := range w.Todo {
				inWave[id] = true
			}
		}
	}
	var due []string
	for i := range in.Instances {
		inst := &in.Instances[i]
		pool, ok := in.Rules.Pools[inst.Pool]
		if !ok || pool.Period == 0 || inWave[inst.ID] {
			continue
		}
		age := in.Now.Sub(inst.LastMaintained)
		if float64(age) >= dueFraction*float64(pool.Period) {
			due = append(due, inst.ID)
		}
	}
	sort.Strings(due)
	return due
}
