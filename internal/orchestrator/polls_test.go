package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cactusspar/internal/boottime"
	"cactusspar/internal/workload"
)

// Guards against a second list of the same ends: a poll that was sent before they were committed
// acknowledged nothing, and the worker responded at once. In load peaks, when commits take
// longest, the leader processed two lists for each run.
func TestNextPollAwaitsCommitOfListedEnds(t *testing.T) {
	now := boottime.Instant(time.Hour)
	s := &session{acknowledging: true, lastProposedEnd: 5, listedAt: now}
	require.True(t, s.awaitsCommit(&workload.Worker{Acknowledged: 4}, now.Add(2*minPollInterval)))
	require.False(t, s.awaitsCommit(&workload.Worker{Acknowledged: 5}, now.Add(2*minPollInterval)))
	require.False(t, s.awaitsCommit(&workload.Worker{Acknowledged: 4}, now.Add(commitWait)), "leases are extended in time")
	s.acknowledging = false
	require.False(t, s.awaitsCommit(&workload.Worker{Acknowledged: 4}, now))
}
