// Package caller implements the HTTP interface for callers. It checks a request,
// obtains tickets for it, sends it to endpoints, and reports an outcome that says
// whether the request ran.
package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/endpoint"
)

// Code is a stable, machine-readable identifier of a refusal or failure.
type Code string

// Codes of this package. The refusal codes of package dispatch are passed on
// unchanged.
const (
	CodeNotFound            Code = "not-found"
	CodeMethodNotAllowed    Code = "method-not-allowed"
	CodeHTTPVersion         Code = "http-version"
	CodeUnknownQueue        Code = "unknown-queue"
	CodeKeyMissing          Code = "key-missing"
	CodeKeyInvalid          Code = "key-invalid"
	CodeTeamUnknown         Code = "team-unknown"
	CodeBadHeader           Code = "bad-header"
	CodeBodyTooLarge        Code = "body-too-large"
	CodeBodyIncomplete      Code = "body-incomplete"
	CodeOverload            Code = "entry-overload"
	CodeNoDispatcher        Code = "no-dispatcher"
	CodeEndpointRefused     Code = "endpoint-refused"
	CodeEndpointUnreachable Code = "endpoint-unreachable"
	CodeEndpointFailed      Code = "endpoint-failed"
	CodeEndpointTimeout     Code = "endpoint-timeout"
	CodeInternal            Code = "internal"
)

// defaultRetryAfter is the Retry-After value where no better estimate exists.
const defaultRetryAfter = time.Second

// statusOf maps codes to HTTP statuses. Codes that are not listed have status 503.
var statusOf = map[Code]int{
	CodeNotFound:         http.StatusNotFound,
	CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	CodeHTTPVersion:      http.StatusHTTPVersionNotSupported,
	CodeUnknownQueue:     http.StatusNotFound,
	CodeKeyMissing:       http.StatusUnauthorized,
	CodeKeyInvalid:       http.StatusUnauthorized,
	CodeTeamUnknown:      http.StatusForbidden,
	CodeBadHeader:        http.StatusBadRequest,
	CodeBodyTooLarge:     http.StatusRequestEntityTooLarge,
	CodeBodyIncomplete:   http.StatusBadRequest,
	CodeEndpointFailed:   http.StatusBadGateway,
	CodeEndpointTimeout:  http.StatusGatewayTimeout,
	CodeInternal:         http.StatusInternalServerError,

	dispatch.CodeTeamLimit:         http.StatusTooManyRequests,
	dispatch.CodeDuplicateRunning:  http.StatusConflict,
	dispatch.CodeDuplicateAnswered: http.StatusConflict,
	dispatch.CodeDuplicateUnknown:  http.StatusConflict,
}

// problem is the response body of a failure (RFC 9457).
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   Code   `json:"code"`
	// Outcome has the value of the outcome header.
	Outcome dispatch.Outcome `json:"outcome"`
	// RecordedStatus is the status of the original response to a request that the
	// caller sent again.
	RecordedStatus int `json:"recorded_status,omitempty"`
}

// failure describes a request that ended without a response from an endpoint.
type failure struct {
	code           Code
	outcome        dispatch.Outcome
	detail         string
	retryAfter     time.Duration
	recordedStatus int
	// callerGone is set if the caller has disconnected and gets no response.
	callerGone bool
}

func notRun(code Code, detail string) *failure {
	return &failure{code: code, outcome: dispatch.OutcomeNotRun, detail: detail}
}

func (f *failure) status() int {
	if s, ok := statusOf[f.code]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// write sends the failure as a response.
func (f *failure) write(w http.ResponseWriter) {
	p := problem{
		Type: "about:blank", Status: f.status(), Title: http.StatusText(f.status()),
		Detail: f.detail, Code: f.code, Outcome: f.outcome, RecordedStatus: f.recordedStatus,
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	retryAfter := f.retryAfter
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	seconds := (retryAfter + time.Second - 1) / time.Second
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(endpoint.HeaderOutcome, string(f.outcome))
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // the caller may have disconnected
}
