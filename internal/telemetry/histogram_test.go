package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against histograms that a collector can't read or that are wrong: buckets
// have to be cumulative, and values beyond the range must not be lost.
func TestHistogramExposesBuckets(t *testing.T) {
	m := NewMetrics()
	h := m.Histogram("gateway_call", "kind", "submit")
	for range 90 {
		h.Record(4 * time.Millisecond)
	}
	for range 9 {
		h.Record(200 * time.Millisecond)
	}
	h.Record(time.Hour)
	require.Same(t, h, m.Histogram("gateway_call", "kind", "submit"))
	require.InEpsilon(t, 4*time.Millisecond, h.Quantile(0.5), 0.02)
	require.InEpsilon(t, 200*time.Millisecond, h.Quantile(0.99), 0.02)
	response := httptest.NewRecorder()
	m.ServeHTTP(response, nil)
	for _, want := range []string{
		`gateway_call_seconds_bucket{kind="submit",le="0.0025"} 0`, `gateway_call_seconds_bucket{kind="submit",le="0.005"} 90`,
		`gateway_call_seconds_bucket{kind="submit",le="0.25"} 99`, `gateway_call_seconds_bucket{kind="submit",le="10"} 99`,
		`gateway_call_seconds_bucket{kind="submit",le="+Inf"} 100`, `gateway_call_seconds_count{kind="submit"} 100`,
	} {
		require.Contains(t, strings.Split(response.Body.String(), "\n"), want)
	}
}
