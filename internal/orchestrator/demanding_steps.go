package orchestrator

import (
	"slices"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/scheduling"
	"cactusspar/internal/workload"
)

// demandingStepsInterval is the interval at which the steps of all open jobs are looked through for
// those that ask the most of a worker.
const demandingStepsInterval = 500 * time.Millisecond

// stepSizes are the respects in which steps ask more or less of the workers of a pool.
var stepSizes = [...]func(*workload.Step) int64{
	func(s *workload.Step) int64 { return s.Occupied().MilliCPU },
	func(s *workload.Step) int64 { return s.Occupied().MemoryMB },
	func(s *workload.Step) int64 { return s.Occupied().Accelerators },
	func(s *workload.Step) int64 {
		if !s.Gang {
			return 0
		}
		return int64(s.Count)
	},
}

// stepKind is the steps with a label of which only the one that is the largest in one respect is
// kept.
type stepKind struct {
	pool, label string
	size        int // index in stepSizes
}

// findDemandingSteps finds the steps of open jobs that ask the most of the workers of their pool, for
// each label: in each resource, and by the width of a gang.
func (o *Orchestrator) findDemandingSteps(now boottime.Instant) {
	if now.Sub(o.demandingStepsAt) < demandingStepsInterval {
		return
	}
	o.demandingStepsAt = now
	most := map[stepKind]*scheduling.Demand{}
	s := o.leadership.State()
	for _, j := range s.Open() {
		q := s.Queue(j.Queue)
		if j.Status.Ended() || q == nil {
			continue
		}
		for k := range j.Occurrences {
			for p := range j.Occurrences[k].Steps {
				if progress := &j.Occurrences[k].Steps[p]; progress.Done() < len(progress.Tasks) {
					o.addDemandingStep(most, j, workload.StepID{Job: j.ID, Occurrence: k, Step: p}, q.Pool)
				}
			}
		}
		if next := len(j.Occurrences); next < j.OccurrenceCount {
			for p := range j.Steps {
				o.addDemandingStep(most, j, workload.StepID{Job: j.ID, Occurrence: next, Step: p}, q.Pool)
			}
		}
	}
	o.demandingSteps = map[string][]*scheduling.Demand{}
	for _, d := range most {
		o.demandingSteps[d.Pool] = append(o.demandingSteps[d.Pool], d)
	}
	for _, demands := range o.demandingSteps {
		slices.SortFunc(demands, func(a, b *scheduling.Demand) int { return compareSteps(a.Key, b.Key) })
	}
}

func (o *Orchestrator) addDemandingStep(most map[stepKind]*scheduling.Demand, j *workload.Job, key workload.StepID, pool string) {
	step := &j.Steps[key.Step]
	for i, size := range stepSizes {
		kind := stepKind{pool, step.Label, i}
		if known := most[kind]; size(step) > 0 && (known == nil || size(step) > size(known.Step)) {
			most[kind] = o.demandOf(j, key, pool)
		}
	}
}
