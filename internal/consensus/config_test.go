package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against in-flight messages of tens of megabytes for each replica that
// reconnects: encoding and sending them multiplied the leader's memory use.
func TestInFlightWindowFitsSmallInstance(t *testing.T) {
	const maxWindowBytes = 4 << 20 // 1/64 of the memory of a 256 MB instance
	c := DefaultConfig(1, nil)
	require.LessOrEqual(t, c.MaxInFlight*c.MaxMessageBytes, maxWindowBytes)
}
