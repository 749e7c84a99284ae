package workload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func cancelEarly(s *State, at time.Time, c EarlyCancel) {
	s.Apply(&Command{EarlyCancels: []EarlyCancel{c}}, at)
}

func submitAt(s *State, at time.Time, j Job) *Job {
	if j.Queue == "" {
		j.Queue = "q"
	}
	j.Steps = []Step{{Count: 1}}
	s.Apply(&Command{Submit: []Job{j}}, at)
	return s.Jobs[j.ID]
}

// Guards against a job that runs although its cancel was confirmed: the submission arrives
// after the cancel, also on a replica that was restored from a snapshot in between, and also
// once more.
func TestCancelPrecedesSubmission(t *testing.T) {
	s := fixture()
	cancelEarly(s, start, EarlyCancel{Job: "j", Queue: "q", At: start.Add(-time.Hour)})
	require.Nil(t, s.Jobs["j"], "a job that nobody submitted is not shown")
	s = restored(t, s)
	for range 2 {
		require.Equal(t, Cancelled, submitAt(s, start.Add(time.Minute), Job{ID: "j"}).Status)
		begin(s, task(0, 0), 1, "a")
		require.Empty(t, s.RunsOn("a"))
		require.Empty(t, s.Open())
	}
	require.Empty(t, s.EarlyCancels)
}

// Guards against a job that runs although its cancel was confirmed: the submission was
// committed before the cancel, or in the same command, and was not known when the cancel
// arrived.
func TestCancelMeetsSubmissionInProgress(t *testing.T) {
	s := fixture()
	submitAt(s, start, Job{ID: "j"})
	begin(s, task(0, 0), 1, "a")
	cancelEarly(s, start, EarlyCancel{Job: "j", Queue: "q"})
	require.Equal(t, Cancelled, s.Jobs["j"].Status)
	require.NotNil(t, s.FindRun(RunID{task(0, 0), 1}), "the run is kept until it has ended")
	s.Apply(&Command{Submit: []Job{{ID: "k", Queue: "q", Steps: []Step{{Count: 1}}}}, EarlyCancels: []EarlyCancel{{Job: "k", Queue: "q"}}}, start)
	require.Equal(t, Cancelled, s.Jobs["k"].Status)
	require.Empty(t, s.EarlyCancels)
}

// Guards against a team that cancels the future job of another one, and against a cancel
// whose access is lost when its queue or its team is renamed, or its queue is removed.
func TestEarlyCancelNeedsAccess(t *testing.T) {
	key, other := HashKey("key"), HashKey("other")
	topology := func(version uint64, queue, team string, public bool) *Topology {
		return &Topology{
			Version: version, Queues: []Queue{{Name: queue, Host: "h", Prefix: "/q/", Public: public}, {Name: "r", Host: "h", Prefix: "/r/"}},
			Teams: []Team{{Name: team, Keys: []KeyHash{key}}, {Name: "u", Keys: []KeyHash{other}}},
		}
	}
	s := NewState()
	s.Apply(&Command{Topology: topology(1, "q", "t", false)}, start)
	cancelEarly(s, start, EarlyCancel{Job: "1", Queue: "q", Team: "u"})
	require.Equal(t, Queued, submitAt(s, start, Job{ID: "1", Team: "t"}).Status, "the cancel of another team")
	cancelEarly(s, start, EarlyCancel{Job: "1", Queue: "q", Team: "u"})
	require.Equal(t, Queued, s.Jobs["1"].Status)

	cancelEarly(s, start, EarlyCancel{Job: "2", Queue: "q", Team: "t"})
	cancelEarly(s, start, EarlyCancel{Job: "3", Queue: "q"})
	s.Apply(&Command{Topology: topology(2, "q2", "t2", true)}, start)
	require.Equal(t, Cancelled, submitAt(s, start, Job{ID: "2", Queue: "q2", Team: "t2"}).Status)
	require.Equal(t, Cancelled, submitAt(s, start, Job{ID: "3", Queue: "q2", Team: "u"}).Status, "a call to a public queue")

	cancelEarly(s, start, EarlyCancel{Job: "4", Queue: "q2", Team: "t2"})
	cancelEarly(s, start, EarlyCancel{Job: "5", Queue: "q2", Team: "u"})
	s.Apply(&Command{Topology: &Topology{Version: 3, Queues: []Queue{{Name: "r", Host: "h", Prefix: "/r/"}}}}, start)
	require.Equal(t, Cancelled, submitAt(s, start, Job{ID: "4", Queue: "r", Team: "t2"}).Status)
	require.Equal(t, Queued, submitAt(s, start, Job{ID: "5", Queue: "r", Team: "t2"}).Status)
}

// Guards against early cancels without a bound, and against a replica that drops another one
// than the others do.
func TestEarlyCancelsAreBounded(t *testing.T) {
	s, replica := fixture(), fixture()
	for i := range maxEarlyCancels + 3 {
		at := start.Add(time.Duration(i/2) * time.Millisecond) // some at the same time
		for _, each := range []*State{s, replica} {
			cancelEarly(each, at, EarlyCancel{Job: fmt.Sprintf("%05d", i), Queue: "q"})
		}
	}
	require.Len(t, s.EarlyCancels, maxEarlyCancels)
	require.Equal(t, s.EarlyCancels, replica.EarlyCancels)
	require.NotContains(t, s.EarlyCancels, "00002")
	require.Contains(t, s.EarlyCancels, "00003")
	cancelEarly(s, start.Add(time.Hour), EarlyCancel{Job: "00003", Queue: "q"})
	require.Contains(t, s.EarlyCancels, "00004", "a repeated cancel takes no further place")
	require.Equal(t, Cancelled, submitAt(s, start.Add(time.Hour), Job{ID: "00003"}).Status)
	require.Equal(t, Queued, submitAt(s, start.Add(time.Hour), Job{ID: "00004"}).Status, "the cancel has expired")
}
