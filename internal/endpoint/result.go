// Package endpoint communicates with endpoints: it receives their
// announcements, sends requests to them, and checks that a response is whole
// and belongs to its request.
package endpoint

import (
	"errors"
	"fmt"
	"time"

	"cactusspar/internal/dispatch"
)

// Reason tells why an attempt got no usable response. Reasons are stable and
// label metrics.
type Reason string

// Reasons of failed attempts.
const (
	// ReasonDial: no connection could be made.
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
	// ReasonMalformed: the response could not be parsed or broke a bound.
	ReasonMalformed Reason = "malformed"
	// ReasonUnbounded: the end of the response could not have been verified.
	ReasonUnbounded Reason = "unbounded"
	// ReasonMismatched: the response may belong to another request.
	ReasonMismatched Reason = "mismatched"
	// ReasonBody: the caller's body ended early or broke a bound.
	ReasonBody Reason = "body"
)

// Error tells how an attempt without a usable response ended.
type Error struct {
	// Grade is NotRun only where it is certain, otherwise Unknown.
	Grade  dispatch.Grade
	Reason Reason
	// Blame tells that the endpoint caused the failure.
	Blame bool
	// RetryAfter is what a refusing endpoint asked for, zero if nothing.
	RetryAfter time.Duration
	Err        error
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("attempt %s (%s): %v", e.Grade, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrCut reports a response body that ended before its end was received.
var ErrCut = errors.New("response body was cut short")

// ErrExcess reports bytes after the declared end of a response body.
var ErrExcess = errors.New("endpoint sent more than the declared length")
