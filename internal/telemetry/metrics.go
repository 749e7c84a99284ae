package telemetry

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Metrics is the set of metrics of one process.
type Metrics struct {
	registry metrics.Registry

	mu         sync.Mutex
	histograms map[string]*Histogram // kept apart, as the registry accepts only its own types
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), histograms: map[string]*Histogram{}}
}

// Counter returns the counter with the given name and labels, and registers it on
// first use. Labels are pairs of name and value.
func (m *Metrics) Counter(name string, labels ...string) metrics.Counter {
	return metrics.GetOrRegisterCounter(metricKey(name, labels), m.registry)
}

// Gauge returns the gauge with the given name and labels, and registers it on first
// use.
func (m *Metrics) Gauge(name string, labels ...string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(metricKey(name, labels), m.registry)
}

// Histogram returns the duration histogram with the given name and labels, and
// registers it on first use.
func (m *Metrics) Histogram(name string, labels ...string) *Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := metricKey(name, labels)
	h := m.histograms[k]
	if h == nil {
		h = newHistogram()
		m.histograms[k] = h
	}
	return h
}

// metricKey returns the metric name with its labels in the exposition format.
func metricKey(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	b.WriteByte('{')
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", labels[i], labels[i+1])
	}
	b.WriteByte('}')
	return b.String()
}

// ServeHTTP writes all metrics in the Prometheus text exposition format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	var lines []string
	m.registry.Each(func(name string, v any) {
		lines = append(lines, expose(name, v)...)
	})
	lines = append(lines, m.exposeHistograms()...)
	sort.Strings(lines)
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, l)
	}
}

func (m *Metrics) exposeHistograms() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lines []string
	for name, h := range m.histograms {
		lines = append(lines, h.expose(lineFormatter(name))...)
	}
	return lines
}

// lineFormatter returns a function that formats a line of a metric from a suffix of
// its name, additional labels and a value.
func lineFormatter(name string) func(suffix, extra string, value any) string {
	base, labels, _ := strings.Cut(name, "{")
	labels = strings.TrimSuffix(labels, "}")
	return func(suffix, extra string, value any) string {
		all := strings.Trim(labels+","+extra, ",")
		if all != "" {
			all = "{" + all + "}"
		}
		return fmt.Sprintf("%s%s%s %v", base, suffix, all, value)
	}
}

func expose(name string, v any) []string {
	line := lineFormatter(name)
	switch m := v.(type) {
	case metrics.Counter:
		return []string{line("", "", m.Count())}
	case metrics.Gauge:
		return []string{line("", "", m.Value())}
	}
	return nil
}
