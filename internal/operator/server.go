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

	"cactusspar/internal/intake"
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
	// maxCalls limits the number of calls in progress whose body is not awaited.
	maxCalls = 128
	// decodingFactor is the memory for decoding a body, as a multiple of its size: a copy,
	// the buffer of the decoder, which doubles as it grows, and the decoded values.
	decodingFactor    = 4
	maxSessionBytes   = 64
	maxIDBytes        = 128
	maxTextFieldBytes = 500
)

// DecodingBytes is the memory that decoding the bodies of calls may use.
const DecodingBytes = 8 << 20

// Options configures the server. Without Tokens and Certificates every call is
// refused.
type Options struct {
	// Tokens admits operators by bearer token.
	Tokens *Tokens
	// Certificates admits operators by a verified client certificate whose
	// organisational unit is OperatorUnit.
	Certificates bool
	// Intake bounds what the bodies of calls hold, and their decoding. The default has
	// the default budgets.
	Intake  *intake.Intake
	Log     logr.Logger
	Metrics *telemetry.Metrics
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
	if options.Intake == nil {
		options.Intake = intake.New(intake.Options{
			BodyBytes: intake.DefaultBodyBytes, DecodingBytes: DecodingBytes, Log: options.Log, Metrics: options.Metrics,
		})
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

// ServeHTTP serves one call.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

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
	server   *server
	response http.ResponseWriter
	request  *http.Request
	params   httprouter.Params
	operator string
	// inFlight is set while the call counts as one in progress.
	inFlight bool
	// body is held until the call ends, nil if it has not been read.
	body *intake.Body
}

var errTooManyCalls = newProblem(CodeUnavailable, "too many calls in progress")

// enter counts the call as one in progress, unless there are too many.
func (c *call) enter() error {
	select {
	case c.server.inFlight <- struct{}{}:
		c.inFlight = true
		return nil
	default:
		return errTooManyCalls
	}
}

// leave ends the count of the call as one in progress.
func (c *call) leave() {
	if c.inFlight {
		c.inFlight = false
		<-c.server.inFlight
	}
}

// end gives back what the call holds.
func (c *call) end() {
	c.leave()
	if c.body != nil {
		c.body.Close()
	}
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
	c := &call{server: s, response: w, request: r, params: params}
	if err := c.enter(); err != nil {
		s.respondProblem(w, r, problemOf(err))
		return
	}
	defer c.end()
	w.Header().Set("Cache-Control", "no-store")
	operator, ok := s.authenticate(r)
	if !ok {
		s.respondProblem(w, r, newProblem(CodeUnauthenticated, ""))
		return
	}
	c.operator = operator
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	c.ctx = ctx
	body, err := f(c)
	if err != nil {
		s.respondProblem(w, r, problemOf(err))
		return
	}
	limitRest(w, r)
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
	limitRest(w, r)
	writeProblem(w, r, p)
}

// limitRest keeps a response from waiting for a body that the call did not read.
func limitRest(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		intake.LimitRest(w, r)
	}
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
	if err := c.readBody(); err != nil {
		return err
	}
	release, err := c.server.options.Intake.Decode(c.ctx, c.body, decodingFactor*c.body.Size())
	if err != nil {
		return newProblem(CodeUnavailable, err.Error())
	}
	defer release()
	d := json.NewDecoder(bytes.NewReader(c.body.Bytes()))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return badRequest("%v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return badRequest("unexpected text after the JSON value")
	}
	return nil
}

// readBody reads the body. Meanwhile, the call does not count as one in progress, so that
// operators whose body is late don't keep out others.
func (c *call) readBody() error {
	c.leave()
	body, err := c.server.options.Intake.Read(c.response, c.request, maxBodyBytes)
	if err != nil {
		intake.CloseAfterResponse(c.response, c.request)
		if errors.Is(err, intake.ErrTooLarge) {
			return newProblem(CodeTooLarge, fmt.Sprintf("at most %d bytes", maxBodyBytes))
		}
		return newProblem(CodeUnavailable, fmt.Sprintf("read the body: %v", err))
	}
	c.body = body
	return c.enter()
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
