package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Fault is a way in which a stand-in endpoint misbehaves on a request.
type Fault int

// Faults of a stand-in endpoint.
const (
	FaultNone   Fault = iota
	FaultRefuse       // refuses with not-run
	FaultFail         // runs and answers 500
	FaultReset        // runs, sends half of a body of known length, then resets
	FaultShort        // runs, sends half of a chunked body, then resets
	FaultTwice        // runs, answers twice on the connection
	FaultHang         // runs, never answers
	FaultLate         // runs longer than asked
	faultKinds
)

// lateBy is what FaultLate adds to the work.
const lateBy = 500 * time.Millisecond

// FaultRates gives the probability of each fault, from 0 to 1.
type FaultRates [faultKinds]float64

// Faults picks faults at random from a seed.
type Faults struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rates FaultRates
}

// NewFaults returns a source of faults.
func NewFaults(seed uint64, rates FaultRates) *Faults {
	return &Faults{rng: rand.New(rand.NewPCG(seed, seed)), rates: rates}
}

// Pick returns the fault for the next request.
func (f *Faults) Pick() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.rng.Float64()
	for k, p := range f.rates {
		if x < p {
			return Fault(k)
		}
		x -= p
	}
	return FaultNone
}
