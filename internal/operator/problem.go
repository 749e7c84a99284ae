package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"

	"cactusspar/internal/findings"
	"cactusspar/internal/state"
)

// Code identifies the kind of a problem. Codes are stable.
type Code string

// Problem codes. Rejected commands carry the codes of package state.
const (
	CodeBadRequest           Code = "bad-request"
	CodeUnauthenticated      Code = "unauthenticated"
	CodeNotFound             Code = "not-found"
	CodeNoSuchCall           Code = "no-such-call"
	CodeMethodNotAllowed     Code = "method-not-allowed"
	CodeTooLarge             Code = "too-large"
	CodeUnsupportedMediaType Code = "unsupported-media-type"
	CodeInvalidRules         Code = "invalid-rules"
	CodeNotLeader            Code = "not-leader"
	CodeUnknownOutcome       Code = "unknown-outcome"
	CodeUnavailable          Code = "unavailable"
	CodeInternal             Code = "internal"
)

// Problem is the body of every error response (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   Code   `json:"code"`
	// Leader is the leader's administration address; set with CodeNotLeader.
	Leader string `json:"leader,omitempty"`
	// Index is the log index of the rejected command.
	Index uint64 `json:"index,omitempty"`
	// Findings lists the errors in a rules file; set with CodeInvalidRules.
	Findings findings.List `json:"findings,omitempty"`
}

// Error returns the detail, or the title if there is none.
func (p *Problem) Error() string {
	if p.Detail != "" {
		return p.Detail
	}
	return p.Title
}

const problemType = "application/problem+json"

var problemKinds = map[Code]struct {
	status int
	title  string
}{
	CodeBadRequest:           {http.StatusBadRequest, "The request is malformed."},
	CodeUnauthenticated:      {http.StatusUnauthorized, "The operator is not authenticated."},
	CodeNotFound:             {http.StatusNotFound, "The named item does not exist."},
	CodeNoSuchCall:           {http.StatusNotFound, "There is no such call."},
	CodeMethodNotAllowed:     {http.StatusMethodNotAllowed, "The call does not have this method."},
	CodeTooLarge:             {http.StatusRequestEntityTooLarge, "The request body is too large."},
	CodeUnsupportedMediaType: {http.StatusUnsupportedMediaType, "The request body is not JSON."},
	CodeInvalidRules:         {http.StatusUnprocessableEntity, "The rules have findings."},
	CodeNotLeader:            {http.StatusServiceUnavailable, "This replica is not the leader."},
	CodeUnknownOutcome:       {http.StatusGatewayTimeout, "The outcome of the command is unknown."},
	CodeUnavailable:          {http.StatusServiceUnavailable, "The control state is not available."},
	CodeInternal:             {http.StatusInternalServerError, "The server failed."},

	Code(state.CodeInvalid):   {http.StatusUnprocessableEntity, "The command is invalid."},
	Code(state.CodeConflict):  {http.StatusConflict, "The command conflicts with an accepted one."},
	Code(state.CodeBudget):    {http.StatusConflict, "The command would exceed an availability budget."},
	Code(state.CodeInvariant): {http.StatusConflict, "The command would break an invariant."},
	Code(state.CodeStale):     {http.StatusConflict, "The command is based on an older state."},
}

// newProblem returns a problem with the title and status of its code. An unknown
// code gets those of CodeInternal.
func newProblem(code Code, detail string) *Problem {
	kind, known := problemKinds[code]
	if !known {
		kind = problemKinds[CodeInternal]
	}
	return &Problem{Type: "urn:cactusspar:problem:" + string(code), Title: kind.title, Status: kind.status, Detail: detail, Code: code}
}

// problemOf converts an error of the backend or of a handler.
func problemOf(err error) *Problem {
	var problem *Problem
	var notLeader *NotLeaderError
	var list findings.List
	var rejected *state.Error
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &notLeader):
		p := newProblem(CodeNotLeader, notLeader.Error())
		p.Leader = notLeader.Leader
		return p
	case errors.As(err, &list):
		p := newProblem(CodeInvalidRules, list.Error())
		p.Findings = list
		return p
	case errors.As(err, &rejected):
		return newProblem(Code(rejected.Code), rejected.Text)
	case errors.Is(err, ErrUnknownOutcome):
		return newProblem(CodeUnknownOutcome, "resend the command with the same session")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return newProblem(CodeUnavailable, "no answer from the control state in time")
	}
	return newProblem(CodeUnavailable, err.Error())
}

// writeProblem sends a problem as the response. If the leader is known, the response
// is also a temporary redirect to it, which preserves method and body.
func writeProblem(w http.ResponseWriter, r *http.Request, p *Problem) {
	h := w.Header()
	h.Set("Content-Type", problemType)
	switch p.Code {
	case CodeUnauthenticated:
		h.Set("WWW-Authenticate", "Bearer")
	case CodeNotLeader:
		if p.Leader != "" {
			h.Set("Location", leaderURL(r, p.Leader))
			p.Status = http.StatusTemporaryRedirect
		} else {
			h.Set("Retry-After", "1")
		}
	case CodeUnavailable, CodeUnknownOutcome:
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func leaderURL(r *http.Request, leader string) string {
	u := url.URL{Scheme: "http", Host: leader, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	if r.TLS != nil {
		u.Scheme = "https"
	}
	return u.String()
}
