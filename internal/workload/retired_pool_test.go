package workload

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against instances that are left in a pool because the state forgets that a topology named it:
// after further topologies, in a snapshot, or in a snapshot of an earlier version.
func TestRetiredPoolsAreRemembered(t *testing.T) {
	topology := func(version uint64, pools ...Pool) *Command {
		return &Command{Topology: &Topology{Version: version, Pools: pools}}
	}
	s := NewState()
	s.Apply(topology(1, Pool{Name: "a"}, Pool{Name: "b"}, Pool{Name: "off", Spare: true}), start)
	require.Empty(t, s.RetiredPools)
	s.Apply(topology(2, Pool{Name: "a"}), start)
	s.Apply(topology(3, Pool{Name: "b"}), start)
	want := map[string]RetiredPool{"a": {Since: 3}, "off": {Spare: true, Since: 2}}
	require.Equal(t, want, s.RetiredPools)
	require.True(t, s.SpareInstances("off"))
	require.False(t, s.SpareInstances("a"))

	encoded, err := msgpack.Marshal(s)
	require.NoError(t, err)
	restored := NewState()
	require.NoError(t, msgpack.Unmarshal(encoded, restored))
	restored.BuildIndex()
	require.Equal(t, want, restored.RetiredPools)

	old := &State{}
	old.BuildIndex()
	old.Apply(topology(1, Pool{Name: "a"}), start)
	old.Apply(topology(2), start)
	require.Len(t, old.RetiredPools, 1)
}

// Guards against a state that grows with each name that an operator ever gave to a pool.
func TestRetiredPoolsAreBounded(t *testing.T) {
	s := NewState()
	for version := range uint64(maxRetiredPools + 10) {
		s.Apply(&Command{Topology: &Topology{Version: version + 1, Pools: []Pool{{Name: fmt.Sprint(version)}}}}, start)
	}
	require.Len(t, s.RetiredPools, maxRetiredPools)
	require.NotContains(t, s.RetiredPools, "0")
	require.Contains(t, s.RetiredPools, fmt.Sprint(maxRetiredPools+8))
}
