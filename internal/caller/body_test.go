package caller

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against a buffer of the largest size for a body of which few bytes have arrived.
func TestBufferGrowsWithBody(t *testing.T) {
	for arrived, capacity := range map[int]int{0: 1 << 10, 1: 1 << 10, 1 << 10: 4 << 10, 5_000: 16 << 10, bufferBytes - 1: bufferBytes} {
		stalled := iotest.ErrReader(io.ErrNoProgress)
		b := &requestBody{}
		require.ErrorIs(t, b.fill(io.MultiReader(strings.NewReader(strings.Repeat("b", arrived)), stalled)), io.ErrNoProgress)
		require.Len(t, b.buffered, arrived)
		require.Equal(t, strings.Repeat("b", arrived), string(b.buffered))
		require.Equal(t, capacity, cap(b.buffered))
		b.free()
	}
}
