package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/state"
)

// Guards against a message to and from each replica for each read: hundreds of gateways ask
// for the topology several times a second, and took a leader's processor time in load peaks.
func TestReadsShareRoundsOfConfirmation(t *testing.T) {
	g := newGroup(t, 3)
	r := g.leader()
	const reads = 300
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	name := r.options.Self.Name
	frames := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.frames[name]
	}
	before, began := frames(), time.Now()
	var wg sync.WaitGroup
	errs := make(chan error, reads)
	for range reads {
		wg.Go(func() { errs <- r.Read(ctx, func(*state.State) {}) })
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
	// A round, and a heartbeat every three ticks, is a frame to and from each of two replicas.
	const framesPerRound = 4
	elapsed := time.Since(began)
	require.LessOrEqual(t, frames()-before, framesPerRound*(int(elapsed/readInterval)+int(elapsed/(3*tick))+4))
}
