package workload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReplicaKnowsWhetherOthersOrderedSince guards against a replica that returns as the leader
// and orders instances in turn with its successor.
func TestReplicaKnowsWhetherOthersOrderedSince(t *testing.T) {
	s := NewState()
	hold := func(name string, term uint64) {
		s.Apply(&Command{Holder: &HolderRecord{Name: name, Term: term}}, time.Now())
	}
	require.False(t, s.OthersOrderedSince("a"))
	hold("a", 2)
	require.False(t, s.OthersOrderedSince("a"))
	require.False(t, s.OthersOrderedSince("b"), "it has ordered nothing")
	hold("b", 4)
	require.True(t, s.OthersOrderedSince("a"))
	require.False(t, s.OthersOrderedSince("b"))
	hold("a", 3)
	require.True(t, s.OthersOrderedSince("a"))
	hold("a", 7)
	require.False(t, s.OthersOrderedSince("a"))
	for i := range uint64(2 * maxHolders) {
		hold(fmt.Sprint("r", i), 10+i)
	}
	require.Len(t, s.Holders, maxHolders)
	require.Zero(t, s.Holders["a"])
}
