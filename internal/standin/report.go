package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the outcomes and latencies that the callers of a load run observed.
type Report struct {
	Seed     uint64
	Elapsed  time.Duration
	Sent     int
	Unsent   int
	Outcomes map[Outcome]int
	Codes    map[string]int
	// ByQueue and ByTeam count the answered requests by queue and by team.
	ByQueue map[string]int
	ByTeam  map[string]int
	// Latency holds the latencies of answered requests, in microseconds from the
	// scheduled time.
	Latency *hdrhistogram.Histogram
	// Refusal holds the latencies of requests refused as not run, in microseconds
	// from the scheduled time.
	Refusal *hdrhistogram.Histogram
	// Resent counts the requests that were sent more than once.
	Resent int

	mu  sync.Mutex
	log *json.Encoder
}

// maxLatency is the highest latency that the histograms record.
const maxLatency = 2 * time.Minute

func newReport(cfg LoadConfig) *Report {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	return &Report{
		Seed: cfg.Seed, Outcomes: map[Outcome]int{}, Codes: map[string]int{},
		ByQueue: map[string]int{}, ByTeam: map[string]int{},
		Latency: newHistogram(), Refusal: newHistogram(),
	}
}

func (r *Report) addUnsent() {
	r.mu.Lock()
	r.Unsent++
	r.mu.Unlock()
}

func (r *Report) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := c.Outcomes[len(c.Outcomes)-1]
	r.Sent++
	r.Outcomes[last]++
	r.Codes[string(last)+" "+c.Codes[len(c.Codes)-1]]++
	if len(c.Outcomes) > 1 {
		r.Resent++
	}
	took := min((c.End-c.Start)/1000, maxLatency.Microseconds())
	switch last {
	case OutcomeAnswered:
		r.ByQueue[c.Queue]++
		r.ByTeam[c.Team]++
		_ = r.Latency.RecordValue(took) // took is within the range
	case OutcomeNotRun:
		_ = r.Refusal.RecordValue(took) // took is within the range
	}
	if r.log != nil {
		_ = r.log.Encode(c) // a missing line lowers the number of calls that Check reports
	}
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("seed %d, %d requests in %.1f s, %d not sent, %d resent", r.Seed, r.Sent, r.Elapsed.Seconds(), r.Unsent, r.Resent)
	writeCounts(p, "outcome", r.Outcomes)
	writeCounts(p, "code", r.Codes)
	writeCounts(p, "answered in queue", r.ByQueue)
	writeCounts(p, "answered for team", r.ByTeam)
	writeLatency(p, "answered after", r.Latency)
	writeLatency(p, "refused after", r.Refusal)
}

func writeCounts[K ~string](p func(string, ...any), label string, counts map[K]int) {
	keys := make([]string, 0, len(counts))
	for k := range counts {
		keys = append(keys, string(k))
	}
	sort.Strings(keys)
	for _, k := range keys {
		p("%s %s: %d", label, k, counts[K(k)])
	}
}

func writeLatency(p func(string, ...any), label string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	p("%s: p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms", label, ms(50), ms(99), ms(99.9), float64(h.Max())/1000)
}
