package endpoint

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/rules"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/view"
)

// Bounds of an announcement.
const (
	maxAnnouncementBytes = 16 << 10
	maxNameBytes         = 128
	maxAddrBytes         = 64
	maxSlots             = 10_000
	maxResource          = int64(1) << 40
)

// Bounds of the listener for endpoints.
const (
	announceTimeout    = 5 * time.Second
	announceIdle       = 30 * time.Second
	maxAnnounceHeaders = 8 << 10
)

// Listener is the HTTP interface for announcements.
type Listener struct {
	views   *view.Holder
	keep    *Keeper
	metrics *telemetry.Metrics
}

// NewListener returns the interface that stores announcements in keep.
func NewListener(views *view.Holder, keep *Keeper, metrics *telemetry.Metrics) *Listener {
	return &Listener{views: views, keep: keep, metrics: metrics}
}

// HTTP returns the HTTP server with the listener's bounds.
func (l *Listener) HTTP() *http.Server {
	r := httprouter.New()
	r.PUT("/v1/endpoints/:id", l.put)
	r.DELETE("/v1/endpoints/:id", l.delete)
	return &http.Server{
		Handler: r, MaxHeaderBytes: maxAnnounceHeaders, IdleTimeout: announceIdle,
		ReadHeaderTimeout: announceTimeout, ReadTimeout: announceTimeout, WriteTimeout: announceTimeout,
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// accepted is the answer to an announcement. It tells the endpoint which pool
// it belongs to, so that it follows a move.
type accepted struct {
	Committed bool   `json:"committed"`
	Pool      string `json:"pool,omitempty"`
	PoolEpoch uint64 `json:"pool_epoch,omitempty"`
	Condition string `json:"condition,omitempty"`
	Sequence  uint64 `json:"sequence"`
}

// refusal is the answer to an announcement that was not accepted (RFC 9457).
type refusal struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   string `json:"code"`
}

func (l *Listener) refuse(w http.ResponseWriter, status int, code string, err error) {
	l.metrics.Counter("entry_announcements_total", "result", code).Inc(1)
	writeJSON(w, "application/problem+json", status, refusal{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: err.Error(), Code: code,
	})
}

func writeJSON(w http.ResponseWriter, kind string, status int, v any) {
	w.Header().Set("Content-Type", kind)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the endpoint announces itself again
}

func (l *Listener) put(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	v := l.views.Current()
	if !v.Fresh() {
		w.Header().Set(headerRetryAfter, "1")
		l.refuse(w, http.StatusServiceUnavailable, dispatch.CodeIsolated, errors.New("this instance has no confirmed view"))
		return
	}
	a, err := decode(w, r, p.ByName("id"))
	if err == nil {
		err = check(&a, v.Rules)
	}
	if err != nil {
		l.refuse(w, http.StatusBadRequest, "malformed", err)
		return
	}
	if err := l.keep.Put(r.Context(), a); err != nil {
		l.refuse(w, http.StatusConflict, "stale", err)
		return
	}
	l.metrics.Counter("entry_announcements_total", "result", "accepted").Inc(1)
	l.answer(w, v, a)
}

func (l *Listener) answer(w http.ResponseWriter, v *view.Snapshot, a dispatch.Announcement) {
	answer := accepted{Sequence: a.Sequence}
	if i, ok := v.Instances[a.ID]; ok {
		answer.Committed, answer.Pool, answer.PoolEpoch = true, i.Pool, i.PoolEpoch
		answer.Condition = string(i.Condition)
	}
	writeJSON(w, "application/json", http.StatusOK, answer)
}

// delete deregisters an endpoint. The query may name the incarnation and the
// sequence; without them, what was last announced here is used.
func (l *Listener) delete(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id := p.ByName("id")
	a, known := l.keep.last(id)
	a.ID, a.Leaving = id, true
	a.Sequence++
	for name, field := range map[string]*uint64{"incarnation": &a.Incarnation, "sequence": &a.Sequence} {
		if text := r.URL.Query().Get(name); text != "" {
			n, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				l.refuse(w, http.StatusBadRequest, "malformed", fmt.Errorf("%s: expected a number, got %q", name, text))
				return
			}
			*field = n
		}
	}
	if i, ok := l.views.Current().Instances[id]; ok && !known {
		a.Pool, a.PoolEpoch = i.Pool, i.PoolEpoch
	}
	if a.Pool == "" || a.Incarnation == 0 {
		l.refuse(w, http.StatusNotFound, "unknown", errors.New("the endpoint is not known here: expected incarnation and sequence in the query"))
		return
	}
	if err := l.keep.Put(r.Context(), a); err != nil {
		l.refuse(w, http.StatusConflict, "stale", err)
		return
	}
	l.metrics.Counter("entry_announcements_total", "result", "deregistered").Inc(1)
	w.WriteHeader(http.StatusNoContent)
}

func decode(w http.ResponseWriter, r *http.Request, id string) (dispatch.Announcement, error) {
	a := dispatch.Announcement{ID: id}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		return a, fmt.Errorf("body: expected at most %d bytes: %w", maxAnnouncementBytes, err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, fmt.Errorf("body: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return a, errors.New("body: expected a single JSON object")
	}
	if a.ID != id {
		return a, fmt.Errorf("id: %q in the body, expected %q as in the path", a.ID, id)
	}
	return a, nil
}

// check reports the first field of an announcement that is out of bounds.
func check(a *dispatch.Announcement, r *rules.Rules) error {
	if _, ok := r.Pools[a.Pool]; !ok {
		return fmt.Errorf("pool: %q is not in the rules", a.Pool)
	}
	if _, ok := r.DataCentres[a.DataCentre]; !ok {
		return fmt.Errorf("data_centre: %q is not in the rules", a.DataCentre)
	}
	if _, err := netip.ParseAddrPort(a.Addr); err != nil || len(a.Addr) > maxAddrBytes {
		return fmt.Errorf("addr: %q, expected an IP address and port", a.Addr)
	}
	for _, b := range []struct {
		name      string
		value     int64
		low, high int64
	}{
		{"length of id", int64(len(a.ID)), 1, maxNameBytes},
		{"length of rack", int64(len(a.Rack)), 1, maxNameBytes},
		{"slots", int64(a.Slots), 1, maxSlots},
		{"running", int64(a.Running), 0, maxSlots},
		{"milli_cpu", a.MilliCPU, 0, maxResource},
		{"memory_mb", a.MemoryMB, 0, maxResource},
		{"accelerators", a.Accel, 0, maxResource},
	} {
		if b.value < b.low || b.value > b.high {
			return fmt.Errorf("%s: %d, expected %d to %d", b.name, b.value, b.low, b.high)
		}
	}
	if a.Incarnation == 0 || a.Sequence == 0 {
		return errors.New("incarnation and sequence: expected numbers above 0")
	}
	return nil
}
