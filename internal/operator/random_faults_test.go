package operator

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/testutil"
)

const (
	randomClients  = 6
	randomCommands = 300
)

// TestRandomFaults guards against a client that loses a command or has it executed
// twice while responses are lost, outcomes are unknown and leaders change at random.
// CACTUSSPAR_SEED repeats a run.
func TestRandomFaults(t *testing.T) {
	seed := uint64(testutil.Seed(t))
	f := newFakeCluster(t, 3, Options{})
	f.applySampleRules(t)
	var mu sync.Mutex
	var failures []error
	stop := make(chan struct{})
	var faults, clients conc.WaitGroup
	faults.Go(func() { f.injectFaults(rand.New(rand.NewPCG(seed, 0)), stop) })
	for n := range randomClients {
		c := f.client(t, testToken)
		c.options.Timeout = 20 * time.Second
		clients.Go(func() {
			for k := range randomCommands {
				// A second execution would fail with a conflict, because the key exists.
				if _, err := c.GiveKey(ctx, fmt.Sprintf("k-%d-%d", n, k), "shops", NewSecret()); err != nil {
					mu.Lock()
					failures = append(failures, err)
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	close(stop)
	faults.Wait()
	require.Empty(t, failures)
	require.Len(t, f.state.Keys, randomClients*randomCommands)
	require.Equal(t, randomClients*randomCommands+1, f.executedCount(), "commands executed, the rules included")
}

// injectFaults injects random faults until stop is closed. The faults are rare enough
// for a client's retries, whose delay grows with each round, to succeed in between.
func (f *fakeCluster) injectFaults(r *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+r.IntN(40)) * time.Millisecond):
		}
		f.update(func() {
			switch r.IntN(4) {
			case 0:
				f.leader = r.IntN(4) - 1 // -1: no known leader
			case 1:
				f.lostResponses = 1
			case 2:
				f.unknownOutcomes = 1
			case 3:
				f.leader, f.lostResponses, f.unknownOutcomes = r.IntN(3), 0, 0
			}
		})
	}
}
