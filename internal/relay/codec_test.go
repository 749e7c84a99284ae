package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// Guards against messages between replicas of different versions being misread: earlier ones
// encode calls and results by the tags of their fields.
func TestCodecsReadAndWriteTheFormatOfTheTags(t *testing.T) {
	type call Call // without the codec
	type result Result
	task := workload.TaskID{Job: "0123456789abcdef", Occurrence: 1, Step: 2, Index: 300}
	target := executor.Target{ID: "w", Address: "10.0.0.1:1"}
	calls := []Call{
		{ID: 1, Target: target, BeginBy: 5, EndBy: 1 << 50, Start: &executor.Start{Task: task, Run: 2, Spec: "s", Lease: 7, Fence: 1 << 60}},
		{ID: 2, Target: target, Start: &executor.Start{Task: task, Checkpoint: "c", Ticket: "k"}},
		{ID: 3, Target: target, Stop: &executor.Stop{Task: task, Run: 2, Fence: 3}},
		{ID: 4, Target: target, Pace: &executor.Pace{Task: task, Run: 2, Fence: 3, Percent: 40}},
		{ID: 5, Target: target, Poll: &executor.Poll{Lease: 1, Fence: 2, Acknowledged: 3, Wait: 4}},
		{ID: 6, Target: target, Poll: &executor.Poll{Wait: 4}, EndsOnly: true},
	}
	for i := range calls {
		former, read, written := call(calls[i]), Call{}, call{}
		transcode(t, &former, &read)
		require.Equal(t, calls[i], read)
		transcode(t, &calls[i], &written)
		require.Equal(t, former, written)
	}
	results := []Result{
		{ID: 1, Clock: 5, ReceivedAt: 1 << 50},
		{ID: 2, Refused: &executor.RefusedError{Reason: executor.NoRoom, Clock: 3}},
		{ID: 3, Failure: "reset", Disconnected: true},
		{ID: 4, Poll: &executor.PollResponse{
			Clock: 1, Incarnation: 1 << 41, Complete: true,
			Running: []executor.Running{{Task: task, Run: 1, Checkpoint: "c", Percent: 50, Load: -1}},
			Ended:   []workload.RunEnd{{Sequence: 9, Task: task, Run: 1, Outcome: workload.Succeeded}},
		}},
		{ID: 5, Poll: &executor.PollResponse{}},
	}
	for i := range results {
		former, read, written := result(results[i]), Result{}, result{}
		transcode(t, &former, &read)
		require.Equal(t, results[i], read)
		transcode(t, &results[i], &written)
		require.Equal(t, former, written)
	}
}

// Guards against a field of a later version making a message unreadable.
func TestCodecsSkipUnknownFields(t *testing.T) {
	var r Result
	transcode(t, map[string]any{"i": 7, "new": []int{1, 2}}, &r)
	require.Equal(t, Result{ID: 7}, r)
	var c Call
	transcode(t, map[string]any{"i": 7, "new": map[string]int{"a": 1}}, &c)
	require.Equal(t, Call{ID: 7}, c)
}

func transcode(t *testing.T, from, into any) {
	data, err := msgpack.Marshal(from)
	require.NoError(t, err)
	require.NoError(t, msgpack.Unmarshal(data, into))
}
