package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"
	"github.com/zeebo/errs"

	"cactusspar/internal/state"
	"cactusspar/internal/telemetry"
)

// Limits of the server.
const (
	// maxBodyBytes has room for a rules file of the maximum size, encoded in JSON.
	maxBodyBytes = 2 << 20
	// callTimeout limits the time that a call waits for the control state. It is
	// longer than an election, so that most elections don't fail calls.
	callTimeout = 5 * time.Second
	// maxCalls limits the number of calls in progress.
	maxCalls          = 128
	maxSessionBytes   = 64
	maxIDBytes        = 128
	maxTextFieldBytes = 500
)

// Options configures the server. Without Tokens and Certificates every call is
// refused.
type Options struct {
	// Tokens admits operators by bearer token.
	Tokens *Tokens
	// Certificates admits operators by a verified client certificate whose
	// organisational unit is OperatorUnit.
	Certificates bool
	Log          logr.Logger
	Metrics      *telemetry.Metrics
}

type server struct {
	backend  Backend
	options  Options
	router   *httprouter.Router
	inFlight chan struct{}
}

// NewServer returns the HTTP handler of a control replica's administration
// interface.
func NewServer(backend Backend, options Options) http.Handler {
	if options.Metrics == nil {
		options.Metrics = telemetry.NewMetrics()
	}
	if options.Log.GetSink() == nil {
		options.Log = logr.Discard()
	}
	s := &server{backend: backend, options: options, router: httprouter.New(), inFlight: make(chan struct{}, maxCalls)}
	s.router.HandleMethodNotAllowed = true
	s.router.RedirectTrailingSlash = false
	s.router.RedirectFixedPath = false
	s.router.NotFound = s.handleFallback(func(*call) (any, error) { return nil, newProblem(CodeNoSuchCall, "") })
	s.router.MethodNotAllowed = s.handleFallback(func(*call) (any, error) { return nil, newProblem(CodeMethodNotAllowed, "") })
	s.router.PanicHandler = s.handlePanic
	s.routes()
	return s
}

// ServeHTTP serves one call, or refuses it if too many are in progress.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	default:
		s.respondProblem(w, r, newProblem(CodeUnavailable, "too many calls in progress"))
		return
	}
	s.router.ServeHTTP(w, r)
}

func (s *server) routes() {
	get := func(path string, f handler) { s.router.GET(path, s.handle(f)) }
	post := func(path string, f handler) { s.router.POST(path, s.handle(f)) }

	get("/v1/status", s.getStatus)

	get("/v1/rules", s.getRules)
	post("/v1/rules", s.applyRules)
	get("/v1/rules/history", s.getHistory)
	get("/v1/rules/version/:version", s.getVersion)
	get("/v1/rules/diff", s.getDiff)
	get("/v1/rules/explain", s.explainRule)

	get("/v1/keys", s.listKeys)
	post("/v1/keys", s.giveKey)
	post("/v1/keys/:id/withdraw", s.withdrawKey)

	get("/v1/teams", s.listTeams)
	get("/v1/teams/:id", s.getTeam)
	get("/v1/pools", s.listPools)
	get("/v1/pools/:id", s.getPool)

	get("/v1/instances", s.listInstances)
	get("/v1/instances/:id", s.getInstance)
	post("/v1/instances/:id/drain", s.drainInstance)
	post("/v1/instances/:id/undrain", s.undrainInstance)
	post("/v1/instances/:id/move", s.moveInstance)

	get("/v1/entries", s.listEntries)
	get("/v1/assignments", s.listAssignments)
	get("/v1/grants", s.listGrants)

	get("/v1/plan", s.getPlan)
	get("/v1/waves", s.listWaves)
	post("/v1/waves", s.startWave)
	get("/v1/waves/:id", s.getWave)
	post("/v1/waves/:id/:action", s.controlWave)

	get("/v1/jobs", s.listJobs)
	post("/v1/jobs", s.submitJobs)
	get("/v1/jobs/:id", s.getJob)
	post("/v1/jobs/cancel", s.cancelJobs)

	get("/v1/queues", s.listQueues)
	get("/v1/work", s.listWork)
	post("/v1/work", s.submitWork)
	get("/v1/work/:id", s.getWork)
	post("/v1/work/:id/cancel", s.cancelWork)
	get("/v1/workspaces/:name", s.getWorkspace)
	get("/v1/datacentres", s.listDataCentres)
	get("/v1/datacentres/:name", s.getDataCentre)
	post("/v1/datacentres/:name/evacuate", s.evacuateDataCentre)
	post("/v1/datacentres/:name/restore", s.restoreDataCentre)
	get("/v1/workers", s.listWorkers)
	get("/v1/workers/:id", s.getWorker)

	post("/v1/replicas", s.addReplica)
	s.router.DELETE("/v1/replicas/:name", s.handle(s.removeReplica))
}

// call is one call of an authenticated operator.
type call struct {
	ctx      context.Context
	request  *http.Request
	params   httprouter.Params
	operator string
}

// handler returns the value to encode as the JSON response, or an error.
type handler func(c *call) (any, error)

func (s *server) handle(f handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		s.serve(w, r, params, f)
	}
}

func (s *server) handleFallback(f handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, nil, f) })
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, params httprouter.Params, f handler) {
	w.Header().Set("Cache-Control", "no-store")
	operator, ok := s.authenticate(r)
	if !ok {
		s.respondProblem(w, r, newProblem(CodeUnauthenticated, ""))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	body, err := f(&call{ctx: ctx, request: r, params: params, operator: operator})
	if err != nil {
		s.respondProblem(w, r, problemOf(err))
		return
	}
	s.options.Metrics.Counter("operator_calls_total", "result", "ok").Inc(1)
	if r.Method != http.MethodGet {
		s.options.Log.Info("Accepted a command.", "operator", operator, "method", r.Method, "path", r.URL.Path)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// respondProblem counts and logs a problem and sends it as the response.
func (s *server) respondProblem(w http.ResponseWriter, r *http.Request, p *Problem) {
	s.options.Metrics.Counter("operator_calls_total", "result", string(p.Code)).Inc(1)
	s.options.Log.V(1).Info("Refused a call.", "method", r.Method, "path", r.URL.Path, "peer", r.RemoteAddr, "code", string(p.Code))
	writeProblem(w, r, p)
}

func (s *server) handlePanic(w http.ResponseWriter, r *http.Request, value any) {
	s.options.Log.Error(errs.New("panic: %v", value), "Recovered from a panic in a request handler.", "method", r.Method, "path", r.URL.Path)
	s.respondProblem(w, r, newProblem(CodeInternal, ""))
}

// decode decodes the JSON body strictly: unknown fields and trailing data are errors.
func (c *call) decode(into any) error {
	media, _, err := mime.ParseMediaType(c.request.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		return newProblem(CodeUnsupportedMediaType, "expected Content-Type: application/json")
	}
	body, err := io.ReadAll(c.request.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newProblem(CodeTooLarge, fmt.Sprintf("at most %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return newProblem(CodeUnavailable, fmt.Sprintf("read the body: %v", err))
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return badRequest("%v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return badRequest("unexpected text after the JSON value")
	}
	return nil
}

func badRequest(format string, args ...any) error {
	return newProblem(CodeBadRequest, fmt.Sprintf(format, args...))
}

// propose commits a command under the session of the operator's client. The
// session is scoped to the operator, so that no operator can obtain the result of
// another operator's command.
func (s *server) propose(c *call, session state.Session, command state.Command) (any, error) {
	if !validIdentifier(session.Client, maxSessionBytes) || session.Sequence == 0 {
		return nil, badRequest("session: expected a client of at most %d letters, digits and ._-@: characters, and a sequence from 1", maxSessionBytes)
	}
	command.Session = state.Session{Client: "operator/" + c.operator + "/" + session.Client, Sequence: session.Sequence}
	result, err := s.backend.Propose(c.ctx, command)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		err = ErrUnknownOutcome
	}
	if err != nil {
		return nil, err
	}
	if result.Err != nil {
		p := newProblem(Code(result.Err.Code), result.Err.Text)
		p.Index = result.Index
		return nil, p
	}
	return result, nil
}

// checkID rejects an ID with invalid characters or length.
func checkID(field, id string) error {
	if !validIdentifier(id, maxIDBytes) {
		return badRequest("%s: expected at most %d letters, digits and ._-@: characters", field, maxIDBytes)
	}
	return nil
}
