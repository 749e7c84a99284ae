package workload

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// The instance of a worker may be known only when it falls silent a second time. A replica that
// restores a snapshot must see the same instance as one that has applied the commands.
func TestInstanceOfPresumedCrashDoesNotDependOnOrder(t *testing.T) {
	for range 20 { // a snapshot is indexed in the order of a map
		s := crashFixture()
		w := WorkerIncarnation{Worker: "w1", Incarnation: 1}
		for _, c := range []struct{ job, instance string }{{"j", ""}, {"k", "m-w1"}} {
			submitJob(s, c.job, Step{Count: 1})
			next(s, taskOf(c.job, 0), "w1")
			s.Apply(&Command{Crashes: []WorkerCrash{{Worker: "w1", Incarnation: 1, Instance: c.instance, Ran: justStarted, Presumed: true, Suspects: []RunID{{taskOf(c.job, 0), 1}}}}}, start)
		}
		data, err := msgpack.Marshal(s)
		require.NoError(t, err)
		restored := NewState()
		require.NoError(t, msgpack.Unmarshal(data, restored))
		restored.BuildIndex()
		require.Equal(t, "m-w1", s.PresumedCrashes()[w].Instance)
		require.Equal(t, s.PresumedCrashes(), restored.PresumedCrashes())
	}
}
