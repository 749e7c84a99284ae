package caller

import (
	"context"
	"io"
	"log"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/endpoint"
	"cactusspar/internal/intake"
	"cactusspar/internal/telemetry"
	"cactusspar/internal/view"
)

// Limits of the listener for callers.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 30 * time.Second
	// Reading a request and writing its response may take the longest deadline
	// plus some time to write the final response.
	readTimeout  = maxTimeout + 2*time.Second
	writeTimeout = maxTimeout + 4*time.Second
)

// Lease is a ticket that this instance holds.
type Lease interface {
	Ticket() *dispatch.Ticket
	// Deadline is the time at which the ticket ends.
	Deadline() time.Time
	// Check returns an error if the ticket may no longer be used to start a request.
	Check() error
	// OnLost sets the function that is called when the endpoint is lost.
	OnLost(f func())
	// Release returns the ticket to its dispatcher. It fills in the identifying
	// fields of r.
	Release(r dispatch.ReleaseRequest)
}

// Tickets obtains tickets from the dispatchers of pools.
type Tickets interface {
	// Acquire waits for a ticket until the deadline. The error is a
	// *dispatch.Refusal, or the error of ctx if ctx ended first.
	Acquire(ctx context.Context, a *dispatch.AcquireRequest, deadline time.Time) (Lease, error)
}

// Options configures a Server.
type Options struct {
	Views   *view.Publisher
	Tickets Tickets
	Sender  *endpoint.Sender
	Metrics *telemetry.Metrics
	Log     logr.Logger
	// DataCentre is the data centre of this instance.
	DataCentre string
	// RequestPrefix starts each request ID. It makes them unique across all
	// instances and their incarnations.
	RequestPrefix string
	// MaxRequests limits the requests in progress whose body has arrived. Further
	// requests are refused.
	MaxRequests int64
	// Intake bounds what request bodies hold. The default has the default budget.
	Intake *intake.Intake
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
}

// Server handles the requests of callers.
type Server struct {
	opts       Options
	answered   counter
	truncated  counter
	callerGone counter
	retries    counter
	running    atomic.Int64
	arrived    atomic.Int64 // the running requests whose body has arrived
	lastID     atomic.Uint64
	phase      atomic.Int32
}

// Phases of a server.
const (
	serving int32 = iota
	draining
	refusing
)

type counter interface{ Inc(n int64) }

const requestsMetric = "entry_requests_total"

// NewServer returns a server for callers.
func NewServer(opts Options) *Server {
	m := opts.Metrics
	if opts.Intake == nil {
		opts.Intake = intake.New(intake.Options{BodyBytes: intake.DefaultBodyBytes, Log: opts.Log, Metrics: m})
	}
	return &Server{
		opts:       opts,
		answered:   m.Counter(requestsMetric, "outcome", "answered", "code", "none"),
		truncated:  m.Counter(requestsMetric, "outcome", "cut", "code", "response-cut"),
		callerGone: m.Counter(requestsMetric, "outcome", "gone", "code", "caller-gone"),
		retries:    m.Counter("entry_retries_total"),
	}
}

// Drain makes each further response ask the caller to close its connection, so that
// few connections are open when the server shuts down.
func (s *Server) Drain() { s.phase.Store(draining) }

// Stop makes the server refuse new requests. Requests in progress continue.
func (s *Server) Stop() { s.phase.Store(refusing) }

// Running returns the number of requests in progress.
func (s *Server) Running() int64 { return s.running.Load() }

// HTTP returns an HTTP server with the limits of the listener for callers.
func (s *Server) HTTP() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           s.router(),
		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

func (s *Server) router() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath, r.HandleOPTIONS = false, false, false
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut,
		http.MethodDelete, http.MethodPost, http.MethodPatch,
	} {
		r.Handle(method, "/q/:queue", s.serve)
		r.Handle(method, "/q/:queue/*path", s.serve)
	}
	r.NotFound = s.refuseWith(notRun(CodeNotFound, "expected a path of the form /q/{queue}/{path}"))
	r.MethodNotAllowed = s.refuseWith(notRun(CodeMethodNotAllowed, "expected GET, HEAD, OPTIONS, PUT, DELETE, POST or PATCH"))
	return r
}

func (s *Server) refuseWith(f *failure) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.fail(w, r, f) })
}

// fail ends a request that got no response from an endpoint.
func (s *Server) fail(w http.ResponseWriter, r *http.Request, f *failure) {
	if f.callerGone {
		s.callerGone.Inc(1)
		panic(http.ErrAbortHandler)
	}
	s.opts.Metrics.Counter(requestsMetric, "outcome", string(f.outcome), "code", string(f.code)).Inc(1)
	if r.ContentLength != 0 {
		intake.LimitRest(w, r)
	}
	f.write(w)
	if r.Close && r.ContentLength != 0 {
		discardBody(w, r)
	}
}

// Limits on the part of a body that is read after a failure response.
const (
	discardTimeout  = 500 * time.Millisecond
	maxDiscardBytes = 16 << 20
)

// discardBody reads the rest of a body after a failure response. Otherwise the
// server would close the connection immediately, and the TCP reset that answers the
// caller's next bytes could discard the response before the caller has read it.
func discardBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	start := time.Now()
	s.running.Add(1)
	defer s.running.Add(-1)
	v := s.opts.Views.Current()
	if f := s.admit(w, v); f != nil {
		s.fail(w, r, f)
		return
	}
	p, f := parse(r, v, start)
	if f != nil {
		s.fail(w, r, f)
		return
	}
	body, f := readBody(w, r, s.opts.Intake, s.opts.MaxBodyBytes, p.deadline)
	defer body.free()
	if f != nil {
		s.fail(w, r, f)
		return
	}
	defer s.arrived.Add(-1)
	if s.arrived.Add(1) > s.opts.MaxRequests {
		s.fail(w, r, notRun(CodeOverload, "too many requests are in progress at this instance"))
		return
	}
	fw := s.newForwarder(r, p, body)
	response, f := fw.run()
	if f != nil {
		s.fail(w, r, f)
		return
	}
	s.deliver(w, response, fw)
}

// admit refuses new requests while the instance is isolated or stopping. While it
// is draining or stopping, it also asks the caller to close the connection.
func (s *Server) admit(w http.ResponseWriter, v *view.Snapshot) *failure {
	phase := s.phase.Load()
	if phase != serving {
		w.Header().Set("Connection", "close")
	}
	if phase == refusing {
		return notRun(dispatch.CodeStopping, "this instance is stopping")
	}
	if !v.Fresh() {
		return isolatedFailure()
	}
	return nil
}

func isolatedFailure() *failure {
	return notRun(dispatch.CodeIsolated, "this instance has no confirmed view of the configuration")
}

func (s *Server) nextRequestID() string {
	return s.opts.RequestPrefix + strconv.FormatUint(s.lastID.Add(1), 36)
}
