package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Fault is a fault that a stand-in endpoint injects into a request.
type Fault int

// Faults of a stand-in endpoint.
const (
	FaultNone      Fault = iota
	FaultRefuse          // refuses the request with outcome not-run
	FaultFail            // runs the request and responds with status 500
	FaultReset           // runs the request, sends half of a body with Content-Length, then closes the connection
	FaultTruncated       // runs the request, sends half of a chunked body, then closes the connection
	FaultDuplicate       // runs the request and sends two responses on the connection
	FaultHang            // runs the request and sends no response until the deadline passes or the caller disconnects
	FaultLate            // runs the request longer than asked for
	numFaults
)

// lateDelay is the time that FaultLate adds to the work.
const lateDelay = 500 * time.Millisecond

// FaultRates holds the probability of each fault, from 0 to 1.
type FaultRates [numFaults]float64

// Faults picks faults at random, reproducibly for a seed.
type Faults struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rates FaultRates
}

// NewFaults returns a source of faults with the given seed and rates.
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
