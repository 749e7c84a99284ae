package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a leader that holds tens of megabytes in messages for each replica
// that comes back: encoding and sending them multiplied its memory.
func TestWindowOfReplicationFitsASmallInstance(t *testing.T) {
	const most = 4 << 20 // 1/64 of an instance with 256 MB
	c := DefaultConfig(1, nil)
	require.LessOrEqual(t, c.MaxInFlight*c.MaxMessageBytes, most)
}
