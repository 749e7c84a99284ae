// Package placement decides where the jobs of pools run. All functions are
// pure: the same input gives the same plan.
package placement

import (
	"math"
	"time"

	"cactusspar/internal/state"
)

// Class groups jobs whose declared sizes are wrong in the same way.
type Class struct {
	Team string
	Kind state.JobKind
}

// Factor is what a class uses over what it declares, as a moving mean with its
// mean deviation.
type Factor struct {
	Mean, Deviation float64
	Samples         int
}

const (
	// learnRate is the weight of a new sample; about ten samples replace an old
	// habit.
	learnRate = 0.1
	// deviations is the margin over the mean, in mean deviations. Four of them
	// cover 99% of a heavy-sided distribution.
	deviations = 4
	// Reservations stay within these factors of the declared size, so that a
	// few odd samples can't starve or flood a worker.
	minFactor = 0.1
	maxFactor = 8
	// trustedSamples is the number of samples from which a reservation may go
	// below the declared size.
	trustedSamples = 5
)

// Learn returns the factor with one more sample of used over declared.
func (f Factor) Learn(used, declared int64) Factor {
	if declared <= 0 {
		return f
	}
	x := float64(used) / float64(declared)
	if f.Samples == 0 {
		return Factor{Mean: x, Deviation: x / 2, Samples: 1}
	}
	// The deviation is taken before the mean moves, as in a round-trip estimator.
	f.Deviation += learnRate * 2 * (math.Abs(x-f.Mean) - f.Deviation)
	f.Mean += learnRate * (x - f.Mean)
	f.Samples++
	return f
}

// Reserve returns what to reserve for a declared amount.
func (f Factor) Reserve(declared int64) int64 {
	if f.Samples == 0 {
		return declared
	}
	factor := f.Mean + deviations*f.Deviation
	if f.Samples < trustedSamples {
		factor = math.Max(1, factor)
	}
	factor = math.Min(maxFactor, math.Max(minFactor, factor))
	return int64(math.Ceil(factor * float64(declared)))
}

// Model holds what was learned of all classes.
type Model struct {
	CPU, Memory map[Class]Factor
}

// NewModel returns a model without samples.
func NewModel() *Model {
	return &Model{CPU: map[Class]Factor{}, Memory: map[Class]Factor{}}
}

// Observe learns from the report of a job's task.
func (m *Model) Observe(job *state.Job, used state.Resources) {
	c := Class{job.Team, job.Kind}
	m.CPU[c] = m.CPU[c].Learn(used.MilliCPU, job.Declared.MilliCPU)
	m.Memory[c] = m.Memory[c].Learn(used.MemoryMB, job.Declared.MemoryMB)
}

// Reserve returns what to reserve for a job. Accelerators are never shared, so
// their declared number stands.
func (m *Model) Reserve(job *state.Job) state.Resources {
	c := Class{job.Team, job.Kind}
	return state.Resources{
		MilliCPU:     m.CPU[c].Reserve(job.Declared.MilliCPU),
		MemoryMB:     m.Memory[c].Reserve(job.Declared.MemoryMB),
		Accelerators: job.Declared.Accelerators,
	}
}

// Health is what is known of an instance as a place for tasks.
type Health struct {
	// Failures counts failed tasks since the last success. Several in a row of
	// one job, which may be to blame itself, count once.
	Failures int
	LastJob  string
	// Until is the time before which no trial task is given.
	Until time.Time
}

const (
	// failuresToEject is the number of different jobs that must fail in a row
	// on an instance: a single bad job must not take out an instance.
	failuresToEject = 3
	firstEjection   = 10 * time.Second
	maxEjection     = 10 * time.Minute
)

// Failed returns the health after a failed task of a job at now.
func (h Health) Failed(now time.Time, job string) Health {
	if job == h.LastJob {
		return h
	}
	h.Failures++
	h.LastJob = job
	if h.Failures >= failuresToEject {
		wait := firstEjection << min(10, h.Failures-failuresToEject)
		h.Until = now.Add(min(wait, maxEjection))
	}
	return h
}

// Ejected tells whether the instance gets at most one trial task at a time.
func (h Health) Ejected() bool { return h.Failures >= failuresToEject }
