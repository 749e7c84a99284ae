package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against connections of callers and endpoints that leave no descriptors for
// peers, health checks, files and connections to endpoints.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	const wanted, requests = 8192, 4096
	require.Equal(t, wanted, connectionLimit(wanted, requests, 1<<20))
	require.Equal(t, wanted, connectionLimit(wanted, requests, 1<<63))
	for _, descriptors := range []int{20_000, 4096, 1024, 256, 16} {
		n := connectionLimit(wanted, requests, uint64(descriptors))
		require.Positive(t, n)
		reserve := min(reservedDescriptors, descriptors/reservedFraction)
		require.LessOrEqual(t, 2*n+min(requests, n)+reserve, descriptors)
	}
	require.Equal(t, 100, connectionLimit(100, requests, 1024), "the settings are below what is possible")
}
