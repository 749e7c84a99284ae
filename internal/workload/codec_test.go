package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against entries of earlier versions, which were encoded by reflection, becoming
// unreadable or being read with another meaning.
func TestCodecsReadAndWriteTheFormatOfTheTag(t *testing.T) {
	type taskID struct {
		_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
		Job        string
		Occurrence int
		Step       int
		Index      int
	}
	type runEnd struct {
		_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
		Worker      string
		Incarnation int64
		Sequence    uint64
		Task        taskID
		Run         int
		Outcome     string
		Checkpoint  string
	}
	type runStart struct {
		_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
		Task        taskID
		Run         int
		Worker      string
		Incarnation int64
	}
	end := RunEnd{Worker: "w", Incarnation: 1 << 41, Sequence: 1<<64 - 1, Task: TaskID{Job: "0123456789abcdef", Occurrence: 1, Step: 70_000, Index: -1}, Run: 3, Outcome: RunFailed, Checkpoint: "c"}
	formerEnd := runEnd{Worker: "w", Incarnation: 1 << 41, Sequence: 1<<64 - 1, Task: taskID{Job: "0123456789abcdef", Occurrence: 1, Step: 70_000, Index: -1}, Run: 3, Outcome: "failed", Checkpoint: "c"}
	start := RunStart{Task: end.Task, Run: 3, Worker: "w", Incarnation: -1}
	formerStart := runStart{Task: formerEnd.Task, Run: 3, Worker: "w", Incarnation: -1}

	var readEnd RunEnd
	transcode(t, &formerEnd, &readEnd)
	require.Equal(t, end, readEnd)
	var readStart RunStart
	transcode(t, &formerStart, &readStart)
	require.Equal(t, start, readStart)

	var writtenEnd runEnd
	transcode(t, &end, &writtenEnd)
	require.Equal(t, formerEnd, writtenEnd)
	var writtenStart runStart
	transcode(t, &start, &writtenStart)
	require.Equal(t, formerStart, writtenStart)
}

// Guards against a snapshot or a log entry with a crash that no replica can read after an upgrade
// from a version without presumed crashes.
func TestCrashesOfFormerVersionAreRead(t *testing.T) {
	type crash struct {
		_msgpack                      struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
		Worker                        string
		Incarnation                   int64
		Instance                      string
		Ran                           time.Duration
		Alone, Uncertain, Unconfirmed bool
	}
	type workerCrash struct {
		_msgpack               struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
		Worker                 string
		Incarnation            int64
		Instance               string
		Suspects               []RunID
		Ran                    time.Duration
		Uncertain, Unconfirmed bool
	}
	suspects := []RunID{{Task: TaskID{Job: "j", Index: 3}, Number: 2}}
	read := []Crash{{Presumed: true}}
	transcode(t, []crash{{Worker: "w", Incarnation: 1 << 41, Instance: "m", Ran: StartPhase, Alone: true, Unconfirmed: true}}, &read)
	require.Equal(t, []Crash{{Worker: "w", Incarnation: 1 << 41, Instance: "m", Ran: StartPhase, Alone: true, Unconfirmed: true}}, read)
	var entry WorkerCrash
	transcode(t, &workerCrash{Worker: "w", Incarnation: 2, Instance: "m", Suspects: suspects, Ran: justStarted, Uncertain: true}, &entry)
	require.Equal(t, WorkerCrash{Worker: "w", Incarnation: 2, Instance: "m", Suspects: suspects, Ran: justStarted, Uncertain: true}, entry)
	present := Crash{Worker: "w", Incarnation: 3, Ran: justStarted, Uncertain: true, Presumed: true}
	var again Crash
	transcode(t, &present, &again)
	require.Equal(t, present, again)
}

// Guards against a record with further elements, as a later version may write it, being read as
// the next one's beginning.
func TestCodecsSkipFurtherElements(t *testing.T) {
	var starts []RunStart
	transcode(t, []any{[]any{[]any{"j", 1, 2, 3, "new"}, 4, "w", 5, []any{"new"}}, []any{[]any{"k"}, 6}}, &starts)
	require.Equal(t, []RunStart{{Task: TaskID{Job: "j", Occurrence: 1, Step: 2, Index: 3}, Run: 4, Worker: "w", Incarnation: 5}, {Task: TaskID{Job: "k"}, Run: 6}}, starts)
}

func transcode(t *testing.T, from, into any) {
	data, err := msgpack.Marshal(from)
	require.NoError(t, err)
	require.NoError(t, msgpack.Unmarshal(data, into))
}
