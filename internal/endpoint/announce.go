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
	"cactusspar/internal/intake"
	"cactusspar/internal/rules"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/view"
)

// Limits of an announcement.
const (
	maxAnnouncementBytes = 16 << 10
	maxNameBytes         = 128
	maxAddrBytes         = 64
	maxSlots             = 10_000
	maxResource          = int64(1) << 40
)

// Limits of the HTTP server for endpoints.
const (
	announceTimeout        = 5 * time.Second
	announceIdleTimeout    = 30 * time.Second
	maxAnnounceHeaderBytes = 8 << 10
)

// AnnouncementHandler serves the HTTP interface for announcements.
type AnnouncementHandler struct {
	views    *view.Publisher
	registry *AnnouncementRegistry
	intake   *intake.Intake
	metrics  *telemetry.Metrics
}

// NewAnnouncementHandler returns a handler that stores announcements in registry. in bounds
// what their bodies hold.
func NewAnnouncementHandler(views *view.Publisher, registry *AnnouncementRegistry, in *intake.Intake, metrics *telemetry.Metrics) *AnnouncementHandler {
	return &AnnouncementHandler{views: views, registry: registry, intake: in, metrics: metrics}
}

// HTTP returns an HTTP server with the routes and limits of the listener.
func (h *AnnouncementHandler) HTTP() *http.Server {
	r := httprouter.New()
	r.PUT("/v1/endpoints/:id", h.put)
	r.DELETE("/v1/endpoints/:id", h.delete)
	return &http.Server{
		Handler: r, MaxHeaderBytes: maxAnnounceHeaderBytes, IdleTimeout: announceIdleTimeout,
		ReadHeaderTimeout: announceTimeout, ReadTimeout: announceTimeout, WriteTimeout: announceTimeout,
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// accepted is the response to an accepted announcement. It names the pool that
// the endpoint belongs to, so that the endpoint follows a move.
type accepted struct {
	Committed bool   `json:"committed"`
	Pool      string `json:"pool,omitempty"`
	PoolEpoch uint64 `json:"pool_epoch,omitempty"`
	Condition string `json:"condition,omitempty"`
	Sequence  uint64 `json:"sequence"`
}

// problem is the response to a rejected announcement, in the problem details
// format (RFC 9457).
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   string `json:"code"`
}

func (h *AnnouncementHandler) writeProblem(w http.ResponseWriter, r *http.Request, status int, code string, err error) {
	h.metrics.Counter("entry_announcements_total", "result", code).Inc(1)
	if r.ContentLength != 0 {
		intake.LimitRest(w, r)
	}
	writeJSON(w, "application/problem+json", status, problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: err.Error(), Code: code,
	})
}

func writeJSON(w http.ResponseWriter, kind string, status int, v any) {
	w.Header().Set("Content-Type", kind)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // on a write error, the endpoint sends its next announcement anyway
}

func (h *AnnouncementHandler) put(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	v := h.views.Current()
	if !v.Fresh() {
		w.Header().Set(headerRetryAfter, "1")
		h.writeProblem(w, r, http.StatusServiceUnavailable, dispatch.CodeIsolated, errors.New("this instance has no confirmed view"))
		return
	}
	a, err := h.decodeAnnouncement(w, r, p.ByName("id"))
	if errors.Is(err, intake.ErrGaveWay) || errors.Is(err, intake.ErrExhausted) {
		w.Header().Set(headerRetryAfter, "1")
		h.writeProblem(w, r, http.StatusServiceUnavailable, "overload", err)
		return
	}
	if err == nil {
		err = validateAnnouncement(&a, v.Rules)
	}
	if err != nil {
		h.writeProblem(w, r, http.StatusBadRequest, "malformed", err)
		return
	}
	if err := h.registry.Register(r.Context(), a); err != nil {
		h.writeProblem(w, r, http.StatusConflict, "stale", err)
		return
	}
	h.metrics.Counter("entry_announcements_total", "result", "accepted").Inc(1)
	h.acknowledge(w, v, a)
}

func (h *AnnouncementHandler) acknowledge(w http.ResponseWriter, v *view.Snapshot, a dispatch.Announcement) {
	response := accepted{Sequence: a.Sequence}
	if i, ok := v.Instances[a.ID]; ok {
		response.Committed, response.Pool, response.PoolEpoch = true, i.Pool, i.PoolEpoch
		response.Condition = string(i.Condition)
	}
	writeJSON(w, "application/json", http.StatusOK, response)
}

// delete deregisters an endpoint. The query may give the incarnation and the
// sequence; without them, the incarnation of the last announcement received here
// and the sequence after it are used.
func (h *AnnouncementHandler) delete(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id := p.ByName("id")
	a, known := h.registry.lookup(id)
	a.ID, a.Leaving = id, true
	a.Sequence++
	for name, field := range map[string]*uint64{"incarnation": &a.Incarnation, "sequence": &a.Sequence} {
		if text := r.URL.Query().Get(name); text != "" {
			n, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				h.writeProblem(w, r, http.StatusBadRequest, "malformed", fmt.Errorf("%s: expected a number, got %q", name, text))
				return
			}
			*field = n
		}
	}
	if i, ok := h.views.Current().Instances[id]; ok && !known {
		a.Pool, a.PoolEpoch = i.Pool, i.PoolEpoch
	}
	if a.Pool == "" || a.Incarnation == 0 {
		h.writeProblem(w, r, http.StatusNotFound, "unknown", errors.New("the endpoint is not known here: expected incarnation and sequence in the query"))
		return
	}
	if err := h.registry.Register(r.Context(), a); err != nil {
		h.writeProblem(w, r, http.StatusConflict, "stale", err)
		return
	}
	h.metrics.Counter("entry_announcements_total", "result", "deregistered").Inc(1)
	w.WriteHeader(http.StatusNoContent)
}

// decodeAnnouncement reads an announcement whose id must match the path.
func (h *AnnouncementHandler) decodeAnnouncement(w http.ResponseWriter, r *http.Request, id string) (dispatch.Announcement, error) {
	a := dispatch.Announcement{ID: id}
	body, err := h.intake.Read(w, r, maxAnnouncementBytes)
	if err != nil {
		intake.CloseAfterResponse(w, r)
		return a, fmt.Errorf("body: expected at most %d bytes: %w", maxAnnouncementBytes, err)
	}
	defer body.Close()
	d := json.NewDecoder(bytes.NewReader(body.Bytes()))
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

// validateAnnouncement reports the first invalid field of an announcement.
func validateAnnouncement(a *dispatch.Announcement, r *rules.Rules) error {
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
