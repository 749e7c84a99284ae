// Package endpoint communicates with endpoints: it receives their
// announcements, sends requests to them, and verifies that each response is
// complete and belongs to its request.
package endpoint

import (
	"errors"
	"fmt"
	"time"

	"cactusspar/internal/dispatch"
)

// Reason states why an attempt got no usable response. Reasons are used as
// metric labels and do not change.
type Reason string

// Reasons of failed attempts.
const (
	// ReasonDial: no connection could be established.
	ReasonDial Reason = "dial"
	// ReasonUnsent: the connection failed before the first byte was sent.
	ReasonUnsent Reason = "unsent"
	// ReasonRefused: the endpoint stated that it did not run the request.
	ReasonRefused Reason = "refused"
	// ReasonBroken: the connection broke before the response began.
	ReasonBroken Reason = "broken"
	// ReasonTimeout: the deadline passed before the response began.
	ReasonTimeout Reason = "timeout"
	// ReasonCancelled: the attempt was cancelled before the response began.
	ReasonCancelled Reason = "cancelled"
	// ReasonMalformed: the response could not be parsed or exceeded a limit.
	ReasonMalformed Reason = "malformed"
	// ReasonUnbounded: the response has neither a length nor chunks, so that its
	// end can't be verified.
	ReasonUnbounded Reason = "unbounded"
	// ReasonMismatched: the response may belong to another request.
	ReasonMismatched Reason = "mismatched"
	// ReasonBody: the caller's body ended early or exceeded a limit.
	ReasonBody Reason = "body"
)

// Error describes an attempt that ended without a usable response.
type Error struct {
	// Outcome is OutcomeNotRun only if the endpoint certainly did not run the request,
	// otherwise OutcomeUnknown.
	Outcome dispatch.Outcome
	Reason  Reason
	// EndpointFault is set if the endpoint caused the failure.
	EndpointFault bool
	// RetryAfter is the delay requested by an endpoint that refused the request,
	// or zero.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("attempt %s (%s): %v", e.Outcome, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrTruncated reports a response body that was not received completely.
var ErrTruncated = errors.New("response body was truncated")

// ErrExcessBytes reports data after the declared end of a response body.
var ErrExcessBytes = errors.New("endpoint sent more than the declared length")
