package entry

import (
	"io"
	"log"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

const (
	healthTimeout        = 5 * time.Second
	maxHealthHeaderBytes = 8 << 10
	maxHealthConnections = 64
)

// healthServer returns the HTTP server for liveness, readiness and metrics.
func (e *Entry) healthServer() *http.Server {
	r := httprouter.New()
	r.HandlerFunc(http.MethodGet, "/livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	r.HandlerFunc(http.MethodGet, "/readyz", func(w http.ResponseWriter, _ *http.Request) {
		switch {
		case e.stopping.Load():
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		case !e.views.Current().Fresh():
			http.Error(w, "isolated", http.StatusServiceUnavailable)
		default:
			_, _ = io.WriteString(w, "ok\n")
		}
	})
	r.HandlerFunc(http.MethodGet, "/metrics", func(w http.ResponseWriter, q *http.Request) {
		e.updateGauges()
		e.metrics.ServeHTTP(w, q)
	})
	return &http.Server{
		Handler: r, MaxHeaderBytes: maxHealthHeaderBytes, ReadHeaderTimeout: healthTimeout,
		ReadTimeout: healthTimeout, WriteTimeout: healthTimeout, IdleTimeout: healthTimeout,
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// updateGauges sets the gauges that are computed only when metrics are scraped.
func (e *Entry) updateGauges() {
	v := e.views.Current()
	for name, value := range map[string]int64{
		"entry_view_index":            int64(v.Index),
		"entry_view_age_ms":           v.Age().Milliseconds(),
		"entry_view_period":           int64(v.FreshPeriod),
		"entry_deltas_refused":        e.views.RefusedDeltas(),
		"entry_requests_running":      e.callers.Running(),
		"entry_tickets_held":          int64(e.tickets.count()),
		"entry_peer_bytes_in":         e.counters.BytesIn.Load(),
		"entry_peer_bytes_out":        e.counters.BytesOut.Load(),
		"entry_peer_malformed_frames": e.counters.Malformed.Load(),
		"entry_peer_silent":           e.counters.Silent.Load(),
		"entry_peer_refused":          e.counters.Refused.Load(),
	} {
		e.metrics.Gauge(name).Update(value)
	}
}
