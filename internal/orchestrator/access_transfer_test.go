package orchestrator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// fetchAccess fetches the access rules from the leader as a gateway does that has those of base, and
// returns them with the number of bytes that it took.
func (s *system) fetchAccess(base *workload.Topology) (*workload.Topology, int) {
	s.t.Helper()
	request := &TopologyRequest{Access: true}
	if base != nil {
		request.Version = base.Version
	}
	var data []byte
	for {
		var response *TopologyResponse
		s.eventually(func(ctx context.Context) (err error) {
			response, err = s.o.Topology(ctx, request)
			return err
		})
		require.Nil(s.t, response.Topology)
		require.Equal(s.t, len(data), response.Access.Offset)
		data = append(data, response.Access.Data...)
		request.Continues = response.Access.AccessTransfer
		request.Continues.Offset = len(data)
		if len(data) == response.Access.Length {
			break
		}
	}
	update, err := workload.DecodeAccessUpdate(data)
	require.NoError(s.t, err)
	rules, err := update.Apply(base)
	require.NoError(s.t, err)
	return rules, len(data)
}

// manyQueues returns a topology of the test's pool and n queues.
func manyQueues(version uint64, n int) *workload.Topology {
	t := &workload.Topology{Version: version, Pools: []workload.Pool{{Name: "p"}}}
	for i := range n {
		hash := workload.HashKey(fmt.Sprint(i))
		t.Queues = append(t.Queues, workload.Queue{Name: fmt.Sprintf("q%d", i), Host: "h", Prefix: fmt.Sprintf("/%x/", hash[:8]), Pool: "p", Public: true, MaxAttempts: 3})
	}
	t.BuildIndex()
	return t
}

// TestGatewaysFetchWhatHasChanged guards against a change of a large topology that costs each gateway
// the whole of it, also the first one after a change of leader.
func TestGatewaysFetchWhatHasChanged(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.apply(manyQueues(1000, 5000))
	rules, whole := s.fetchAccess(nil)
	require.Equal(t, 5000, len(rules.Queues))
	s.restart()
	s.awaitOnLoop(func() bool { return s.o.leadership != nil })
	require.Eventually(t, func() bool {
		s.o.accessTransfers.mu.Lock()
		defer s.o.accessTransfers.mu.Unlock()
		return s.o.accessTransfers.base(1000) != nil
	}, 20*time.Second, 5*time.Millisecond)
	s.apply(manyQueues(1001, 5100))
	rules, changed := s.fetchAccess(rules)
	require.Equal(t, 5100, len(rules.Queues))
	require.Less(t, changed, whole/20)
}

// TestTransferOutlastsChanges guards against a transfer that never ends, because the topology changes
// while it goes on.
func TestTransferOutlastsChanges(t *testing.T) {
	var served AccessTransfers
	first := manyQueues(1, 5000)
	request := &TopologyRequest{Access: true}
	piece, err := served.Piece(first, request)
	require.NoError(t, err)
	data := append([]byte{}, piece.Data...)
	for version := uint64(2); len(data) < piece.Length; version++ {
		request.Continues = AccessTransfer{Version: piece.Version, Checksum: piece.Checksum, Offset: len(data)}
		next := manyQueues(version, 5000+int(version))
		served.Record(next)
		other, err := served.Piece(next, &TopologyRequest{Version: version - 1, Access: true})
		require.NoError(t, err)
		require.EqualValues(t, version, other.Version)
		more, err := served.Piece(next, request)
		require.NoError(t, err)
		require.Equal(t, len(data), more.Offset)
		data = append(data, more.Data...)
	}
	update, err := workload.DecodeAccessUpdate(data)
	require.NoError(t, err)
	require.EqualValues(t, 1, update.Version)
}

// TestTooLargeTopologyFailsNoOtherChange guards against a topology that no command holds and that
// fails the changes proposed together with it, again and again.
func TestTooLargeTopologyFailsNoOtherChange(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	large := manyQueues(1000, 60_000)
	for i := range large.Queues {
		large.Document = fmt.Appendf(large.Document, "%s %s\n", large.Queues[i].Name, large.Queues[i].Prefix)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.ErrorContains(t, s.o.ApplyTopology(ctx, large), "too large")
	s.submit("j", oneCoreTasks(1))
	s.await("j", workload.Completed)
}
