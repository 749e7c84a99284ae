package telemetry

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram records durations with a bounded error and a bounded size.
type Histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
	sum time.Duration
}

const (
	// shortest and longest are the range of what is told apart, in microseconds:
	// from below a local call to beyond every time-out. Others count as the bound.
	shortest = 50
	longest  = 60_000_000
	// digits is the precision in decimal digits. Two keep a histogram within 20 KB.
	digits = 2
)

// bounds are the upper bounds of the exported buckets, in seconds.
var bounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

func newHistogram() *Histogram {
	return &Histogram{hdr: hdrhistogram.New(shortest, longest, digits)}
}

// Record adds a duration.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A value within the range is always taken.
	_ = h.hdr.RecordValue(min(max(d.Microseconds(), shortest), longest))
	h.sum += d
}

// RecordSince adds the time since an instant.
func (h *Histogram) RecordSince(begin time.Time) { h.Record(time.Since(begin)) }

// Quantile returns the duration below which a part of those recorded are.
func (h *Histogram) Quantile(part float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.hdr.ValueAtQuantile(part*100)) * time.Microsecond
}

// expose returns the histogram in the exposition format: cumulative buckets, sum
// and count.
func (h *Histogram) expose(line func(suffix, extra string, value any) string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make([]int64, len(bounds))
	for _, bar := range h.hdr.Distribution() {
		for i, bound := range bounds {
			if float64(bar.To)/1e6 <= bound {
				counts[i] += bar.Count
			}
		}
	}
	var out []string
	for i, bound := range bounds {
		out = append(out, line("_seconds_bucket", fmt.Sprintf("le=\"%g\"", bound), counts[i]))
	}
	total := h.hdr.TotalCount()
	return append(out, line("_seconds_bucket", "le=\"+Inf\"", total), line("_seconds_sum", "", h.sum.Seconds()), line("_seconds_count", "", total))
}
