package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/workload"
)

// hashOf returns the hash of a key, or nil for a call without one.
func hashOf(key string) *workload.KeyHash {
	if key == "" {
		return nil
	}
	hash := workload.HashKey(key)
	return &hash
}

// teamWithKeys returns a team with keys.
func teamWithKeys(name string, keys ...string) workload.Team {
	t := workload.Team{Name: name}
	for _, k := range keys {
		t.Keys = append(t.Keys, workload.HashKey(k))
	}
	return t
}

// publicQueue returns a queue that accepts calls without a key, keyedQueue one that doesn't.
func publicQueue(name, prefix string) workload.Queue {
	return workload.Queue{Name: name, Host: "h", Prefix: prefix, Public: true, Timeout: 3 * time.Second, Pool: "p", MaxAttempts: 3, Stretch: 10, Slack: time.Minute}
}

func keyedQueue(name, prefix string) workload.Queue {
	q := publicQueue(name, prefix)
	q.Public = false
	return q
}

// topologyOf returns a topology with two pools.
func topologyOf(version uint64, teams []workload.Team, queues ...workload.Queue) *workload.Topology {
	return &workload.Topology{Version: version, Pools: []workload.Pool{{Name: "p"}, {Name: "other"}}, Teams: teams, Queues: queues}
}

// topologies are in force one after the other.
type topologies []*workload.Topology

var longRunningStep = workload.Step{Count: 1, Resources: oneCore, LongRunning: true}

func newLongRunningJob() *workload.Job {
	return &workload.Job{Spec: "lasts", Steps: []workload.Step{longRunningStep}}
}

// TestJobStaysAccessibleAfterTopologyChange guards against a caller that is told "no such
// job" after a change of the topology, as the response to a cancel or a status call, while
// the job runs on.
func TestJobStaysAccessibleAfterTopologyChange(t *testing.T) {
	x, y := teamWithKeys("x", "k"), teamWithKeys("y", "l")
	renamedKeyed, moved, otherPool := keyedQueue("renamed", "/q/"), publicQueue("q", "/moved/"), publicQueue("q", "/q/")
	otherPool.Pool = "other"
	for _, c := range []struct {
		name        string
		topologies         // the job is submitted under the first one
		submitted   string // key of the submission
		key, prefix string // of the calls after the changes
	}{
		{"public queue, key withdrawn", topologies{topologyOf(2, []workload.Team{x, y}, publicQueue("q", "/q/")), topologyOf(3, []workload.Team{teamWithKeys("x", "new"), y}, publicQueue("q", "/q/"))}, "k", "k", "/q/"},
		{"public queue, key withdrawn, call without a key", topologies{topologyOf(2, []workload.Team{x, y}, publicQueue("q", "/q/")), topologyOf(3, []workload.Team{teamWithKeys("x", "new"), y}, publicQueue("q", "/q/"))}, "k", "", "/q/"},
		{"public queue, team removed", topologies{topologyOf(2, []workload.Team{x, y}, publicQueue("q", "/q/")), topologyOf(3, []workload.Team{y}, publicQueue("q", "/q/"))}, "k", "k", "/q/"},
		{"public queue, submitted with a key, call without one", topologies{topologyOf(2, []workload.Team{x}, publicQueue("q", "/q/")), topologyOf(3, []workload.Team{x}, publicQueue("q", "/q/"))}, "k", "", "/q/"},
		{"public queue, submitted without a key, call with one", topologies{topologyOf(2, []workload.Team{x}, publicQueue("q", "/q/")), topologyOf(3, []workload.Team{x}, publicQueue("q", "/q/"))}, "", "k", "/q/"},
		{"public queue, key added later", topologies{topologyOf(2, []workload.Team{y}, publicQueue("q", "/q/")), topologyOf(3, []workload.Team{x, y}, publicQueue("q", "/q/"))}, "k", "k", "/q/"},
		{"public queue becomes keyed", topologies{topologyOf(2, []workload.Team{x}, publicQueue("q", "/q/")), topologyOf(3, []workload.Team{x}, keyedQueue("q", "/q/"))}, "", "k", "/q/"},
		{"keyed queue becomes public", topologies{topologyOf(2, []workload.Team{x}, keyedQueue("q", "/q/")), topologyOf(3, []workload.Team{x}, publicQueue("q", "/q/"))}, "k", "", "/q/"},
		{"team renamed", topologies{topologyOf(2, []workload.Team{x}, keyedQueue("q", "/q/")), topologyOf(3, []workload.Team{teamWithKeys("z", "k")}, keyedQueue("q", "/q/"))}, "k", "k", "/q/"},
		{"key moved to another team, call with another key", topologies{topologyOf(2, []workload.Team{teamWithKeys("x", "k", "k2"), y}, keyedQueue("q", "/q/")), topologyOf(3, []workload.Team{teamWithKeys("x", "k2"), teamWithKeys("y", "l", "k")}, keyedQueue("q", "/q/"))}, "k", "k2", "/q/"},
		{"public queue renamed", topologies{topologyOf(2, nil, publicQueue("q", "/q/")), topologyOf(3, nil, publicQueue("renamed", "/q/"))}, "", "", "/q/"},
		{"keyed queue renamed", topologies{topologyOf(2, []workload.Team{x}, keyedQueue("q", "/q/")), topologyOf(3, []workload.Team{x}, renamedKeyed)}, "k", "k", "/q/"},
		{"prefix changed", topologies{topologyOf(2, nil, publicQueue("q", "/q/")), topologyOf(3, nil, moved)}, "", "", "/moved/"},
		{"public queue removed, then replaced", topologies{topologyOf(2, nil, publicQueue("q", "/q/")), topologyOf(3, nil), topologyOf(4, nil, publicQueue("next", "/q/"))}, "", "", "/q/"},
		{"keyed queue removed, then replaced", topologies{topologyOf(2, []workload.Team{x}, keyedQueue("q", "/q/")), topologyOf(3, []workload.Team{x}), topologyOf(4, []workload.Team{x}, keyedQueue("next", "/q/"))}, "k", "k", "/q/"},
		{"pool changed", topologies{topologyOf(2, nil, publicQueue("q", "/q/")), topologyOf(3, nil, otherPool)}, "", "", "/q/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, newFakeFleet(t, "a"))
			s.apply(c.topologies[0])
			require.Equal(t, Accepted, s.call(MethodSubmit, &Call{Path: "/q/" + jobID("j"), Key: hashOf(c.submitted), Job: newLongRunningJob()}).Outcome)
			s.awaitRunning("a", 1)
			for _, next := range c.topologies[1:] {
				s.apply(next)
			}
			path, key := c.prefix+jobID("j"), hashOf(c.key)
			resent := s.call(MethodSubmit, &Call{Path: path, Key: key, Job: newLongRunningJob()}).Outcome
			status := s.call(MethodStatus, &Call{Path: path, Key: key}).Outcome
			cancel := s.call(MethodCancel, &Call{Path: path, Key: key}).Outcome
			require.Equal(t, []CallOutcome{Accepted, Found, Accepted}, []CallOutcome{resent, status, cancel}, "submission sent again, status, cancel")
			s.awaitRunning("a", 0)
		})
	}
}

// TestUnresolvedCancelIsNotConfirmed guards against a cancel that counts as confirmed
// although its path leads to no queue, or to no job ID because a longer prefix matches, and
// that can't take effect once the queue is back.
func TestUnresolvedCancelIsNotConfirmed(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("j", longRunningStep)
	s.awaitRunning("a", 1)
	path := "/q/" + jobID("j")
	s.apply(topologyOf(2, nil, publicQueue("other", "/other/")))
	require.Equal(t, Unresolved, s.call(MethodCancel, &Call{Path: path}).Outcome)
	s.apply(topologyOf(3, nil, publicQueue("q", "/q/"), publicQueue("longer", path[:5])))
	require.Equal(t, Malformed, s.call(MethodCancel, &Call{Path: path}).Outcome)
	s.apply(topologyOf(4, nil, publicQueue("q", "/q/")))
	require.Equal(t, Accepted, s.call(MethodCancel, &Call{Path: path}).Outcome)
	s.awaitRunning("a", 0)
}

// TestOtherTeamsHaveNoAccess guards against a team that sees, cancels or takes over a job
// of another one by its ID, also on another queue that is public.
func TestOtherTeamsHaveNoAccess(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.apply(topologyOf(2, []workload.Team{teamWithKeys("x", "k"), teamWithKeys("y", "l")}, keyedQueue("q", "/q/"), publicQueue("public", "/public/")))
	require.Equal(t, Accepted, s.call(MethodSubmit, &Call{Path: "/q/" + jobID("j"), Key: hashOf("k"), Job: newLongRunningJob()}).Outcome)
	s.awaitRunning("a", 1)
	for _, c := range []struct{ path, key string }{{"/q/", "l"}, {"/public/", "l"}, {"/public/", ""}} {
		path, key := c.path+jobID("j"), hashOf(c.key)
		require.Equal(t, Missing, s.call(MethodStatus, &Call{Path: path, Key: key}).Outcome, "%v", c)
		require.Equal(t, Missing, s.call(MethodCancel, &Call{Path: path, Key: key}).Outcome, "%v", c)
	}
	require.Equal(t, 1, s.runningOn("a"))
}

// TestJobIDOfAnotherTeamIsNotAccepted guards against a submission that is acknowledged
// although nothing of it is stored, because another team has a job with its ID.
func TestJobIDOfAnotherTeamIsNotAccepted(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.apply(topologyOf(2, []workload.Team{teamWithKeys("x", "k"), teamWithKeys("y", "l")}, keyedQueue("q", "/q/")))
	path := "/q/" + jobID("j")
	require.Equal(t, Accepted, s.call(MethodSubmit, &Call{Path: path, Key: hashOf("k"), Job: newLongRunningJob()}).Outcome)
	response := &CallResponse{}
	s.eventually(func(ctx context.Context) (err error) {
		response, err = s.o.Call(ctx, MethodSubmit, &Call{Host: "h", Path: path, Key: hashOf("l"), Remaining: 3 * time.Second, Job: newLongRunningJob()})
		return err
	})
	require.NotEqual(t, Accepted, response.Outcome, response.Reason)
}

// TestTasksOfRenamedQueueStartAgain guards against a long-running task that is not started
// again after a crash of its worker, because its queue has another name now.
func TestTasksOfRenamedQueueStartAgain(t *testing.T) {
	s := newSystem(t, newFakeFleet(t, "a"))
	s.submit("j", longRunningStep)
	s.awaitRunning("a", 1)
	s.apply(topologyOf(2, nil, publicQueue("renamed", "/q/")))
	s.withLock(func() { s.workers["a"] = newFakeWorker("a", 2) })
	require.Eventually(t, func() bool { return s.runningOn("a") == 1 }, 6*time.Second, 10*time.Millisecond)
}
