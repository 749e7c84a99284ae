package workload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestEvacuationRefusesStartsUntilRestored guards against a planner that starts a task in an
// evacuated data centre: one with an outdated view, or a new leader. A configuration and a
// snapshot must not change it.
func TestEvacuationRefusesStartsUntilRestored(t *testing.T) {
	s := NewState()
	now := time.Now()
	topology := func(version uint64) *Topology {
		return &Topology{Version: version, Queues: []Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: 2}}, Pools: []Pool{{Name: "p"}}}
	}
	s.Apply(&Command{Topology: topology(1)}, now)
	job := Job{ID: "0000000000000001", Queue: "q", Steps: []Step{{Count: 1}}}
	s.Apply(&Command{Workers: []Worker{{ID: "w", Incarnation: 1, Pool: "p", DataCentre: "dc"}}, Submit: []Job{job}}, now)
	start := RunStart{Task: TaskID{Job: job.ID}, Run: 1, Worker: "w", Incarnation: 1}

	// The evacuation counts for a start of the same command.
	s.Apply(&Command{Evacuations: []EvacuationChange{{DataCentre: "dc", Evacuated: true, By: "ana"}}, Starts: []RunStart{start}}, now)
	require.Empty(t, s.RunsOn("w"))
	s.Apply(&Command{Topology: topology(2)}, now)
	data, err := msgpack.Marshal(s)
	require.NoError(t, err)
	s = NewState()
	require.NoError(t, msgpack.Unmarshal(data, s))
	s.BuildIndex()
	s.Apply(&Command{Starts: []RunStart{start}}, now)
	require.Empty(t, s.RunsOn("w"))
	require.Equal(t, []string{"dc"}, s.EvacuatedDataCentres())
	require.Equal(t, "ana", s.Evacuations["dc"].RequestedBy)

	s.Apply(&Command{Evacuations: []EvacuationChange{{DataCentre: "dc", By: "ben"}}, Starts: []RunStart{start}}, now.Add(time.Second))
	require.Len(t, s.RunsOn("w"), 1)
	require.True(t, s.RestoredAt("dc").Equal(now.Add(time.Second)))
	s.Apply(&Command{Evacuations: []EvacuationChange{{DataCentre: "dc", By: "eve"}}}, now.Add(2*time.Second))
	require.Equal(t, "ben", s.Evacuations["dc"].RequestedBy, "a repetition changes nothing")
}

// TestEvacuationsAreBounded guards against a state that grows with invented names.
func TestEvacuationsAreBounded(t *testing.T) {
	s := NewState()
	for i := range MaxEvacuations + 10 {
		s.Apply(&Command{Evacuations: []EvacuationChange{{DataCentre: fmt.Sprint(i), Evacuated: true}}}, time.Now())
	}
	require.Len(t, s.Evacuations, MaxEvacuations)
	require.False(t, s.EvacuationsFull("0"))
	require.True(t, s.EvacuationsFull("new"))
}
