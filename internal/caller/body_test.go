package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cactusspar/internal/intake"
	"cactusspar/internal/telemetry"
)

func newIntake(bytes int64) *intake.Intake {
	return intake.New(intake.Options{BodyBytes: bytes, Log: logr.Discard(), Metrics: telemetry.NewMetrics()})
}

// Guards against a buffer of the largest size for a body of which few bytes have arrived.
func TestMemoryGrowsWithBody(t *testing.T) {
	in := newIntake(1 << 20)
	for arrived, capacity := range map[int]int{0: 1 << 10, 1: 1 << 10, 1 << 10: 4 << 10, 5_000: 8 << 10, bufferBytes - 1: bufferBytes} {
		stalled := iotest.ErrReader(io.ErrNoProgress)
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		b := &requestBody{arrival: in.Arrive(httptest.NewRecorder(), r, time.Now().Add(time.Second))}
		require.ErrorIs(t, b.fill(io.MultiReader(strings.NewReader(strings.Repeat("b", arrived)), stalled)), io.ErrNoProgress)
		got, err := io.ReadAll(b.reader())
		require.NoError(t, err)
		require.Equal(t, strings.Repeat("b", arrived), string(got))
		require.EqualValues(t, arrived, b.size())
		taken := 0
		for _, p := range b.buffered {
			taken += cap(p)
		}
		require.Equal(t, capacity, taken)
		require.EqualValues(t, capacity, in.Held())
		b.free()
		require.Zero(t, in.Held())
	}
}
