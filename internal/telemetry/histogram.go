package telemetry

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram records durations with bounded error and bounded memory.
type Histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
	sum time.Duration
}

const (
	// minMicros and maxMicros are the range of recorded values in microseconds, from
	// less than the duration of a local call to more than every time-out. Values
	// outside the range are recorded as the nearer bound.
	minMicros = 50
	maxMicros = 60_000_000
	// significantDigits is the precision in decimal digits. Two digits keep a
	// histogram within 20 KB.
	significantDigits = 2
)

// bucketBounds holds the upper bounds of the exposed buckets in seconds.
var bucketBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

func newHistogram() *Histogram {
	return &Histogram{hdr: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Record adds a duration to the histogram.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values outside the range.
	_ = h.hdr.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
	h.sum += d
}

// RecordSince adds the time elapsed since start.
func (h *Histogram) RecordSince(start time.Time) { h.Record(time.Since(start)) }

// Quantile returns the duration at quantile q, which is between 0 and 1.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.hdr.ValueAtQuantile(q*100)) * time.Microsecond
}

// expose returns the lines of the histogram in the exposition format: cumulative
// buckets, sum and count.
func (h *Histogram) expose(line func(suffix, extra string, value any) string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make([]int64, len(bucketBounds))
	for _, bar := range h.hdr.Distribution() {
		for i, bound := range bucketBounds {
			if float64(bar.To)/1e6 <= bound {
				counts[i] += bar.Count
			}
		}
	}
	var out []string
	for i, bound := range bucketBounds {
		out = append(out, line("_seconds_bucket", fmt.Sprintf("le=\"%g\"", bound), counts[i]))
	}
	total := h.hdr.TotalCount()
	return append(out, line("_seconds_bucket", "le=\"+Inf\"", total), line("_seconds_sum", "", h.sum.Seconds()), line("_seconds_count", "", total))
}
