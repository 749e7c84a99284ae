// Package caller is the HTTP interface for callers: it checks a request,
// obtains tickets for it, sends it to endpoints, and reports a true outcome.
package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/endpoint"
)

// Code is a stable identifier of a refusal or failure, for programs.
type Code string

// Codes besides those of package dispatch, which are passed on unchanged.
const (
	CodeNotFound       Code = "not-found"
	CodeMethod         Code = "method-not-allowed"
	CodeVersion        Code = "http-version"
	CodeUnknownQueue   Code = "unknown-queue"
	CodeKeyMissing     Code = "key-missing"
	CodeKeyInvalid     Code = "key-invalid"
	CodeTeamUnknown    Code = "team-unknown"
	CodeBadHeader      Code = "bad-header"
	CodeBodyTooLarge   Code = "body-too-large"
	CodeBodyIncomplete Code = "body-incomplete"
	CodeOverload       Code = "entry-overload"
	CodeNoDispatcher   Code = "no-dispatcher"
	CodeRefused        Code = "endpoint-refused"
	CodeUnreachable    Code = "endpoint-unreachable"
	CodeFailed         Code = "endpoint-failed"
	CodeTimeout        Code = "endpoint-timeout"
	CodeInternal       Code = "internal"
)

// defaultRetryAfter is given where no better estimate exists.
const defaultRetryAfter = time.Second

// statusOf holds the status of each code; 503 where none is listed.
var statusOf = map[Code]int{
	CodeNotFound:       http.StatusNotFound,
	CodeMethod:         http.StatusMethodNotAllowed,
	CodeVersion:        http.StatusHTTPVersionNotSupported,
	CodeUnknownQueue:   http.StatusNotFound,
	CodeKeyMissing:     http.StatusUnauthorized,
	CodeKeyInvalid:     http.StatusUnauthorized,
	CodeTeamUnknown:    http.StatusForbidden,
	CodeBadHeader:      http.StatusBadRequest,
	CodeBodyTooLarge:   http.StatusRequestEntityTooLarge,
	CodeBodyIncomplete: http.StatusBadRequest,
	CodeFailed:         http.StatusBadGateway,
	CodeTimeout:        http.StatusGatewayTimeout,
	CodeInternal:       http.StatusInternalServerError,

	dispatch.CodeTeamLimit:         http.StatusTooManyRequests,
	dispatch.CodeDuplicateRunning:  http.StatusConflict,
	dispatch.CodeDuplicateAnswered: http.StatusConflict,
	dispatch.CodeDuplicateUnknown:  http.StatusConflict,
}

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   Code   `json:"code"`
	// Outcome repeats the outcome header.
	Outcome dispatch.Grade `json:"outcome"`
	// RecordedStatus is the status of the first response of a resent request.
	RecordedStatus int `json:"recorded_status,omitempty"`
}

// failure is the end of a request that got no response from an endpoint.
type failure struct {
	code       Code
	grade      dispatch.Grade
	detail     string
	retryAfter time.Duration
	recorded   int
	// gone tells that the caller has gone away and gets no response.
	gone bool
}

func notRun(code Code, detail string) *failure {
	return &failure{code: code, grade: dispatch.NotRun, detail: detail}
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
		Detail: f.detail, Code: f.code, Outcome: f.grade, RecordedStatus: f.recorded,
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	after := f.retryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	seconds := (after + time.Second - 1) / time.Second
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(endpoint.HeaderOutcome, string(f.grade))
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // the caller may have gone away
}
