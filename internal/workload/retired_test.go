package workload

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"cactusspar/internal/resources"
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

// Guards against accepted jobs that never go on, or are no longer bounded by their queue and team, once
// an operator has removed these.
func TestRetiredQueueAndTeamHoldForTheirJobs(t *testing.T) {
	core := resources.Amount{MilliCPU: 1000}
	pools := []Pool{{Name: "p"}}
	s := NewState()
	s.Apply(&Command{
		Topology: &Topology{Version: 1, Queues: []Queue{{Name: "q", Pool: "p", MaxAttempts: 2}, {Name: "unused"}}, Pools: pools, Teams: []Team{{Name: "t", Cap: core}, {Name: "unused"}}},
		Workers:  []Worker{{ID: "a", Incarnation: 1, Pool: "p", Capacity: core.Times(4)}},
		Submit:   []Job{{ID: "j", Queue: "q", Team: "t", Steps: []Step{{Count: 2, Resources: core}}}},
	}, start)
	s.Apply(&Command{Topology: &Topology{Version: 2, Pools: pools}}, start)
	require.Equal(t, "p", s.Queue("q").Pool)
	require.Len(t, s.RetiredQueues, 1)
	require.Len(t, s.RetiredTeams, 1)
	encoded, err := msgpack.Marshal(s)
	require.NoError(t, err)
	s = NewState()
	require.NoError(t, msgpack.Unmarshal(encoded, s))
	s.BuildIndex()
	s.Apply(&Command{Topology: &Topology{Version: 3, Pools: pools}}, start)

	begin(s, task(0, 0), 1, "a")
	begin(s, task(0, 1), 1, "a")
	require.Len(t, s.RunsOn("a"), 1, "the cap of the team allows one task")
	end(s, 1, task(0, 0), 1, "a", RunFailed)
	begin(s, task(0, 0), 2, "a")
	end(s, 2, task(0, 0), 2, "a", RunFailed)
	require.Equal(t, Failed, s.Jobs["j"].Status, "2 of 2 attempts")

	s.Apply(&Command{RemovedJobs: []string{"j"}}, start)
	s.Apply(&Command{Topology: &Topology{Version: 4, Pools: pools}}, start)
	require.Nil(t, s.Queue("q"))
	require.Empty(t, s.RetiredQueues)
	require.Empty(t, s.RetiredTeams)
}

// Guards against a job that its caller can't reach any more, or that never goes on, because its queue
// and its team were removed for a while and then added under other names.
func TestNamesChangeWhileRetired(t *testing.T) {
	core := resources.Amount{MilliCPU: 1000}
	key := HashKey("k")
	topology := func(version uint64, queue, team string) *Command {
		next := &Topology{Version: version, Pools: []Pool{{Name: "p"}}}
		if queue != "" {
			next.Queues = []Queue{{Name: queue, Host: "h", Prefix: "/q/", Pool: "p"}}
			next.Teams = []Team{{Name: team, Keys: []KeyHash{key}}}
		}
		return &Command{Topology: next}
	}
	s := NewState()
	s.Apply(topology(1, "q", "t"), start)
	s.Apply(&Command{
		Workers: []Worker{{ID: "a", Incarnation: 1, Pool: "p", Capacity: core}}, Submit: []Job{{ID: "j", Queue: "q", Team: "t", Steps: []Step{{Count: 1, Resources: core}}}},
		EarlyCancels: []EarlyCancel{{Job: "early", Queue: "q", Team: "t"}},
	}, start)
	begin(s, task(0, 0), 1, "a")
	s.Apply(topology(2, "", ""), start)
	s.Apply(topology(3, "", ""), start)
	s.Apply(topology(4, "q2", "t2"), start)
	j := s.Jobs["j"]
	require.Equal(t, []string{"q2", "t2"}, []string{j.Queue, j.Team})
	require.Equal(t, []string{"q2", "t2"}, []string{s.EarlyCancels["early"].Queue, s.EarlyCancels["early"].Team})
	require.Equal(t, core, s.UsedByTeam("t2"))
	require.Empty(t, s.RetiredQueues)
	require.Empty(t, s.RetiredTeams)

	s.Apply(topology(5, "", ""), start)
	s.Apply(topology(6, "q2", "t2"), start)
	require.Equal(t, []string{"q2", "t2"}, []string{j.Queue, j.Team}, "the same names")
}
