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
	rounds := func() (n uint64) {
		require.NoError(t, r.wait(ctx, func(done func(error)) { n = r.reads.lastRequest; done(nil) }))
		return n
	}
	before, began := rounds(), time.Now()
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
	require.LessOrEqual(t, rounds()-before, uint64(time.Since(began)/readInterval)+2)
}
