// Package placement decides on which instances of a pool its jobs run. All
// functions are pure: equal input gives an equal plan.
package placement

import (
	"math"
	"time"

	"cactusspar/internal/state"
)

// Class identifies jobs whose actual usage is expected to differ from the
// declared size by a similar ratio.
type Class struct {
	Team string
	Kind state.JobKind
}

// UsageRatio estimates the ratio of used to declared resources of a class as an
// exponentially weighted moving mean with its mean deviation.
type UsageRatio struct {
	Mean, Deviation float64
	Samples         int
}

const (
	// smoothingFactor is the weight of a new sample. The estimate follows a change
	// within about ten samples.
	smoothingFactor = 0.1
	// marginDeviations is the margin above the mean, in mean deviations. Four
	// cover 99% of a skewed distribution.
	marginDeviations = 4
	// minRatio and maxRatio bound a reservation relative to the declared size, so
	// that a few outliers neither overcommit an instance nor block it.
	minRatio = 0.1
	maxRatio = 8
	// minTrustedSamples is the number of samples required before a reservation
	// may be smaller than the declared size.
	minTrustedSamples = 5
)

// Observe returns the estimate updated by one sample of used over declared.
func (r UsageRatio) Observe(used, declared int64) UsageRatio {
	if declared <= 0 {
		return r
	}
	x := float64(used) / float64(declared)
	if r.Samples == 0 {
		return UsageRatio{Mean: x, Deviation: x / 2, Samples: 1}
	}
	// The deviation is updated before the mean, as in the TCP round-trip time
	// estimator.
	r.Deviation += smoothingFactor * 2 * (math.Abs(x-r.Mean) - r.Deviation)
	r.Mean += smoothingFactor * (x - r.Mean)
	r.Samples++
	return r
}

// Reserve returns the amount to reserve for a declared amount.
func (r UsageRatio) Reserve(declared int64) int64 {
	if r.Samples == 0 {
		return declared
	}
	factor := r.Mean + marginDeviations*r.Deviation
	if r.Samples < minTrustedSamples {
		factor = math.Max(1, factor)
	}
	factor = math.Min(maxRatio, math.Max(minRatio, factor))
	return int64(math.Ceil(factor * float64(declared)))
}

// UsageModel holds the usage estimates of all classes.
type UsageModel struct {
	CPU, Memory map[Class]UsageRatio
}

// NewUsageModel returns a model without samples.
func NewUsageModel() *UsageModel {
	return &UsageModel{CPU: map[Class]UsageRatio{}, Memory: map[Class]UsageRatio{}}
}

// Observe updates the estimates of a job's class with the usage of its task.
func (m *UsageModel) Observe(job *state.Job, used state.Resources) {
	c := Class{job.Team, job.Kind}
	m.CPU[c] = m.CPU[c].Observe(used.MilliCPU, job.Declared.MilliCPU)
	m.Memory[c] = m.Memory[c].Observe(used.MemoryMB, job.Declared.MemoryMB)
}

// Reserve returns the resources to reserve for a job. Accelerators are never
// shared, so their declared number is reserved.
func (m *UsageModel) Reserve(job *state.Job) state.Resources {
	c := Class{job.Team, job.Kind}
	return state.Resources{
		MilliCPU:     m.CPU[c].Reserve(job.Declared.MilliCPU),
		MemoryMB:     m.Memory[c].Reserve(job.Declared.MemoryMB),
		Accelerators: job.Declared.Accelerators,
	}
}

// Health tracks recent task failures of an instance.
type Health struct {
	// Failures counts failed tasks since the last success. Consecutive failures
	// of the same job count once, because the job itself may be at fault.
	Failures      int
	LastFailedJob string
	// EjectedUntil is the time before which no trial task is placed.
	EjectedUntil time.Time
}

const (
	// failuresToEject is the number of consecutive failures of different jobs
	// that eject an instance. A single faulty job must not eject it.
	failuresToEject = 3
	minEjection     = 10 * time.Second
	maxEjection     = 10 * time.Minute
)

// AfterFailure returns the health after a task of the job failed at now.
func (h Health) AfterFailure(now time.Time, job string) Health {
	if job == h.LastFailedJob {
		return h
	}
	h.Failures++
	h.LastFailedJob = job
	if h.Failures >= failuresToEject {
		wait := minEjection << min(10, h.Failures-failuresToEject)
		h.EjectedUntil = now.Add(min(wait, maxEjection))
	}
	return h
}

// Ejected reports whether the instance is restricted to one trial task at a time.
func (h Health) Ejected() bool { return h.Failures >= failuresToEject }
