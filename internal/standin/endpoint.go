// Package standin provides stand-ins for the systems around cactusspar: endpoints
// that announce themselves, the platform, and callers that generate load. They are
// used in demos, tests and measurements.
package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"cactusspar/internal/dispatch"
)

// Headers of the protocol between entry instances and endpoints. Standin-Nonce is
// specific to the stand-ins.
const (
	headerOutcome   = "Cactusspar-Outcome"
	headerRequestID = "Cactusspar-Request-Id"
	headerTeam      = "Cactusspar-Team"
	headerDeadline  = "Cactusspar-Deadline-Ms"
	headerPoolEpoch = "Cactusspar-Pool-Epoch"
	headerEndpoint  = "Cactusspar-Endpoint"
	headerNonce     = "Standin-Nonce"
)

// EndpointConfig configures a stand-in endpoint.
type EndpointConfig struct {
	Announcement dispatch.Announcement // identity, pool, slots and resources; StartEndpoint sets Addr
	// Entries holds the base URLs of the entry instances' endpoint listeners.
	Entries []string
	// Listen is the address to listen on; port 0 selects a free port.
	Listen      string
	Connections int
	Faults      *Faults
	Runs        *RunLog
	// AnnounceInterval is the time between announcements; 0 means 1 s.
	AnnounceInterval time.Duration
}

// Endpoint is a stand-in endpoint. It refuses requests beyond its slots with the
// outcome not-run, and closes connections beyond its limit.
type Endpoint struct {
	cfg       EndpointConfig
	ln        net.Listener
	server    *http.Server
	running   atomic.Int64
	conns     atomic.Int64
	maxConns  atomic.Int64
	leaving   atomic.Bool
	resumed   chan struct{} // closed by Thaw; nil unless the endpoint is suspended
	suspendMu sync.Mutex    // protects resumed
	client    *http.Client
	cancel    context.CancelFunc
	wg        conc.WaitGroup
	// membership is the pool that the endpoint is assigned to.
	membership atomic.Pointer[announceResponse]
	sequence   atomic.Uint64
}

const (
	defaultAnnounceInterval = time.Second
	announceTimeout         = 500 * time.Millisecond
	maxWork                 = time.Minute
	maxResponseBytes        = 64 << 20
	chunkBytes              = 16 << 10
)

// StartEndpoint starts an endpoint that serves requests and announces itself.
func StartEndpoint(cfg EndpointConfig) (*Endpoint, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errs.New("start endpoint %s: %w", cfg.Announcement.ID, err)
	}
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = defaultAnnounceInterval
	}
	if cfg.Faults == nil {
		cfg.Faults = NewFaults(0, FaultRates{})
	}
	if cfg.Runs == nil {
		cfg.Runs = &RunLog{}
	}
	cfg.Announcement.Addr = ln.Addr().String()
	if cfg.Announcement.Incarnation == 0 {
		cfg.Announcement.Incarnation = uint64(time.Now().UnixNano())
	}
	e := &Endpoint{cfg: cfg, ln: ln, client: &http.Client{Timeout: announceTimeout}}
	e.membership.Store(&announceResponse{Pool: cfg.Announcement.Pool, PoolEpoch: cfg.Announcement.PoolEpoch})
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, ConnState: e.countConn}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.wg.Go(func() { _ = e.server.Serve(ln) })
	e.wg.Go(func() { e.announceLoop(ctx) })
	return e, nil
}

// Addr returns the address that the endpoint listens on.
func (e *Endpoint) Addr() string { return e.ln.Addr().String() }

// Announced returns the endpoint's announcement with its current pool and without
// an incarnation, to restart the endpoint as a new incarnation.
func (e *Endpoint) Announced() dispatch.Announcement {
	a, m := e.cfg.Announcement, e.membership.Load()
	a.Incarnation, a.Pool, a.PoolEpoch = 0, m.Pool, m.PoolEpoch
	return a
}

// MaxConnections returns the highest number of connections that were open at once.
func (e *Endpoint) MaxConnections() int { return int(e.maxConns.Load()) }

// Runs returns the endpoint's record of the requests that it ran.
func (e *Endpoint) Runs() *RunLog { return e.cfg.Runs }

// Stop deregisters the endpoint, waits for its requests to end and closes it.
func (e *Endpoint) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.cancel()
	err := e.deregister(ctx)
	// Requests with tickets granted just before the deregistration may still arrive.
	select {
	case <-time.After(2 * time.Second):
	case <-ctx.Done():
	}
	err = errors.Join(err, e.server.Shutdown(ctx))
	e.wg.Wait()
	return err
}

// Kill closes the listener and all connections immediately, without deregistering
// the endpoint.
func (e *Endpoint) Kill() {
	e.cancel()
	_ = e.server.Close()
	e.wg.Wait()
}

// Freeze suspends the handling of requests and the sending of announcements until
// Thaw is called.
func (e *Endpoint) Freeze() {
	e.suspendMu.Lock()
	defer e.suspendMu.Unlock()
	if e.resumed == nil {
		e.resumed = make(chan struct{})
	}
}

// Thaw resumes an endpoint that Freeze has suspended.
func (e *Endpoint) Thaw() {
	e.suspendMu.Lock()
	defer e.suspendMu.Unlock()
	if e.resumed != nil {
		close(e.resumed)
		e.resumed = nil
	}
}

// waitResumed waits until the endpoint is not suspended or ctx is done.
func (e *Endpoint) waitResumed(ctx context.Context) {
	e.suspendMu.Lock()
	resumed := e.resumed
	e.suspendMu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-ctx.Done():
	}
}

func (e *Endpoint) countConn(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		n := e.conns.Add(1)
		for {
			m := e.maxConns.Load()
			if n <= m || e.maxConns.CompareAndSwap(m, n) {
				break
			}
		}
		if e.cfg.Connections > 0 && n > int64(e.cfg.Connections) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		e.conns.Add(-1)
	}
}

// ServeHTTP runs a request. The query parameter work is the duration of the
// request and size the number of bytes of the response. The response echoes the
// nonce and the request id; without the latter, an entry instance does not reuse
// the connection.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(headerRequestID); id != "" {
		w.Header().Set(headerRequestID, id)
	}
	e.waitResumed(r.Context())
	if n := e.running.Add(1); n > int64(e.cfg.Announcement.Slots) {
		e.running.Add(-1)
		refuse(w, "all slots are busy")
		return
	}
	var once sync.Once
	releaseSlot := func() { once.Do(func() { e.running.Add(-1) }) }
	defer releaseSlot()
	if id := r.Header.Get(headerEndpoint); id != "" && id != e.cfg.Announcement.ID {
		refuse(w, "the request is for another endpoint")
		return
	}
	if epoch := r.Header.Get(headerPoolEpoch); epoch != "" && epoch != strconv.FormatUint(e.membership.Load().PoolEpoch, 10) {
		refuse(w, "the request is for another pool epoch")
		return
	}
	deadline := workDeadline(r)
	if !time.Now().Before(deadline) {
		refuse(w, "the deadline has passed")
		return
	}
	fault := e.cfg.Faults.Pick()
	if fault == FaultRefuse {
		refuse(w, "refused by fault injection")
		return
	}
	work, size, err := parseWork(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	nonce := r.Header.Get(headerNonce)
	run := e.cfg.Runs.Begin(Run{
		Nonce: nonce, Team: r.Header.Get(headerTeam), Endpoint: e.cfg.Announcement.ID,
		Request: r.Header.Get(headerRequestID), Idempotent: idempotent(r),
	})
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		e.cfg.Runs.Finish(run)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	w.Header().Set(headerNonce, nonce)
	e.run(ctx, w, fault, work, deadline, func() {
		// The slot and the team's limit are occupied only until the work ends; the
		// response is written afterwards.
		releaseSlot()
		e.cfg.Runs.Finish(run)
		writeBody(w, nonce, size, fault)
	})
}

// workDeadline returns the time by which the work must end.
func workDeadline(r *http.Request) time.Time {
	left := maxWork
	if ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	return time.Now().Add(left)
}

// run simulates the work by waiting, then calls respond. The work continues when
// the caller disconnects, since an endpoint can't undo a side effect, but never
// beyond the deadline.
func (e *Endpoint) run(ctx context.Context, w http.ResponseWriter, fault Fault, work time.Duration, deadline time.Time, respond func()) {
	switch fault {
	case FaultHang:
		<-time.After(work)
		<-ctx.Done()
		respond()
		return
	case FaultFail:
		respond = withServerError(w, respond)
	case FaultLate:
		work += lateDelay
	}
	if left := time.Until(deadline); left < work {
		work = left
		respond = withServerError(w, respond)
	}
	time.Sleep(work)
	e.waitResumed(context.Background())
	respond()
}

func withServerError(w http.ResponseWriter, respond func()) func() {
	return func() {
		w.WriteHeader(http.StatusInternalServerError)
		respond()
	}
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(headerOutcome, "not-run")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func idempotent(r *http.Request) bool {
	switch r.Method {
	case http.MethodPost, http.MethodPatch:
		return r.Header.Get("Cactusspar-Idempotent") == "true"
	}
	return true
}

func parseWork(r *http.Request) (time.Duration, int, error) {
	q := r.URL.Query()
	work, size := time.Duration(0), 0
	if s := q.Get("work"); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 || d > maxWork {
			return 0, 0, errs.New("query parameter work is %q, expected a duration up to %v", s, maxWork)
		}
		work = d
	}
	if s := q.Get("size"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 || n > maxResponseBytes {
			return 0, 0, errs.New("query parameter size is %q, expected 0 to %d", s, maxResponseBytes)
		}
		size = n
	}
	return work, size, nil
}

// ResponseBody returns the expected response body of the given size for a nonce.
func ResponseBody(nonce string, size int) string {
	if size == 0 || nonce == "" {
		return ""
	}
	return strings.Repeat(nonce, size/len(nonce)+1)[:size]
}

// writeBody writes the response body, or the incomplete or duplicate response that
// the fault asks for.
func writeBody(w http.ResponseWriter, nonce string, size int, fault Fault) {
	body := ResponseBody(nonce, size)
	switch fault {
	case FaultReset:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case FaultTruncated:
		// The flush makes the response chunked; the connection closes without the
		// final chunk.
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultDuplicate:
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		for range 2 {
			_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s", len(body), headerNonce, nonce, body)
		}
		_ = buf.Flush()
		_ = conn.Close()
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		if _, err := io.WriteString(w, body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
}
