package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// Workers become six times slower but still respond and report. Their runs must be
// restarted elsewhere, or one task on such a worker makes its whole job late.
func TestRunsOnASlowWorkerAreRestartedElsewhere(t *testing.T) {
	slow := RunProgress{Elapsed: 300 * ms, Done: 0.04, Predicted: time.Second}
	require.Equal(t, []int{0, 1}, Stragglers([]RunProgress{slow, slow}, 300*ms))
	require.Equal(t, []int{0}, Stragglers([]RunProgress{slow}, 300*ms), "a single run, six times slower")
	young := RunProgress{Elapsed: 100 * ms, Predicted: time.Second}
	require.Equal(t, []int{0, 1}, Stragglers([]RunProgress{slow, slow, young}, 300*ms), "too young to tell")
	nearlyDone := RunProgress{Elapsed: 5500 * ms, Done: 0.9, Predicted: time.Second}
	require.Equal(t, []int{0, 1}, Stragglers([]RunProgress{slow, slow, nearlyDone}, 300*ms), "it ends sooner where it is")
}

// The work of a run must not be discarded because its task is longer than its
// estimate.
func TestLongTasksAreNotRestarted(t *testing.T) {
	long := RunProgress{Elapsed: 500 * ms, Done: 0.1, Predicted: time.Second}
	good := RunProgress{Elapsed: 500 * ms, Done: 0.5, Predicted: time.Second}
	require.Empty(t, Stragglers([]RunProgress{long, good, good}, 300*ms))
	require.Empty(t, Stragglers([]RunProgress{long}, 300*ms))
	require.Empty(t, Stragglers(nil, 300*ms))
}

// Tasks on some workers make no progress although the workers respond. Such runs must
// not keep their job waiting until their worker is lost.
func TestStalledRunsAreRestartedElsewhere(t *testing.T) {
	good := RunProgress{Elapsed: 900 * ms, Done: 0.9, Predicted: time.Second}
	stalled := RunProgress{Elapsed: 900 * ms, Done: 0.99, SinceProgress: 800 * ms, Predicted: time.Second}
	require.Equal(t, []int{1}, Stragglers([]RunProgress{good, stalled}, 300*ms))
	hour := RunProgress{Elapsed: 10 * time.Second, Done: 0, SinceProgress: 5 * time.Second, Predicted: time.Hour}
	require.Empty(t, Stragglers([]RunProgress{hour, good, good}, 300*ms), "one percent of it takes longer")
}
