package orchestrator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFenceRisesAfterManyRestarts guards against a delayed start that is carried out by a later
// incarnation: the part of the fence that counts a worker's incarnations has reached its maximum.
func TestFenceRisesAfterManyRestarts(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.awaitOnLoop(func() bool { return s.o.sessions["a"] != nil })
	var before, after uint64
	s.onLoop(func() {
		session := s.o.sessions["a"]
		session.generation = 1<<generationBits - 1
		before = s.o.fence(session)
		session.generation++
		after = s.o.fence(session)
	})
	require.Greater(t, after, before)
}
