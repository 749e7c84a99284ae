package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"cactusspar/internal/peer"
)

// claim is what the last attempt of a call says, or the gateway itself if it made none. Only
// attempts.result turns it into the result of the call.
type claim Result

// attempts collects the attempts of a call at the replicas and makes the call's result.
type attempts struct {
	method Method
	count  int
	// uncertain is the number of attempts that may have been applied although no response
	// says so.
	uncertain int
	// last is how the last attempt ended, and replica the address of its replica.
	last, replica string
}

// certain holds, for the methods that change state, the kinds of claims that are true whether
// or not an earlier attempt was applied. All others say that nothing was or will be done.
var certain = map[Method][]Kind{Submit: {Accepted, Undecided}, Cancel: {Accepted, NoJob, Undecided}}

// result returns the result of the call. If an attempt may have been applied, it is unknown
// unless the claim is certain nevertheless.
func (a *attempts) result(c claim) Result {
	kinds, changesState := certain[a.method]
	if a.uncertain == 0 || !changesState || slices.Contains(kinds, c.Kind) {
		return Result(c)
	}
	if c.Kind == Unavailable {
		c.Reason = "leader-silent"
	}
	return Result{Kind: Undecided, Reason: c.Reason}
}

// repeatReserve is the time that must be left for a repeated attempt. One that is still in
// progress when the time is over leaves the outcome of the call unknown.
const repeatReserve = 50 * time.Millisecond

// mayAttempt reports whether another attempt may be made before ctx ends.
func (a *attempts) mayAttempt(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (a.count == 0 || !ok || time.Until(deadline) >= repeatReserve)
}

// failed records an attempt without a response.
func (a *attempts) failed(addr string, err error) {
	a.ended(addr, failure(err))
	if !peer.NotHandled(err) {
		a.uncertain++
	}
}

// ended records an attempt.
func (a *attempts) ended(addr, result string) {
	a.count++
	a.last, a.replica = result, addr
}

// failure returns how an attempt without a response ended, for logs and metrics.
func failure(err error) string {
	var remote *peer.RemoteError
	var dial *peer.DialError
	switch {
	case errors.As(err, &remote):
		return "error:" + remote.Code
	case errors.As(err, &dial):
		return "unreachable"
	case peer.NotHandled(err):
		return "not-sent"
	case errors.Is(err, peer.ErrClosed):
		return "connection-closed"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "caller-gone"
	}
	return "malformed-response"
}
