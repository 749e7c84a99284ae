package caller

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/endpoint"
	"cactusspar/internal/intake"
	"cactusspar/internal/retry"
)

// ErrStaleTicket reports a ticket that may no longer be used, because the instance
// was isolated after the ticket was requested or the ticket has passed its deadline.
// The request may be sent with a new ticket.
var ErrStaleTicket = errors.New("the ticket is no longer valid")

// forwarder sends one caller's request to endpoints until one answers or no further
// attempt is allowed.
type forwarder struct {
	server  *Server
	request *http.Request
	parsed  *parsedRequest
	body    *requestBody
	acquire dispatch.AcquireRequest
	lease   Lease
	cancel  context.CancelFunc
	// attempts counts the started attempts, failures the failed ones that may be
	// retried.
	attempts, failures int
	// broken counts the endpoints that broke the connection off while they had the request.
	broken int
	// mayHaveRun is set once an attempt may have run, so that the request can no
	// longer be reported as not run.
	mayHaveRun bool
	// lastErr is the failure of the last attempt, nil before the first one.
	lastErr      *endpoint.Error
	attemptStart time.Time
}

func (s *Server) newForwarder(r *http.Request, p *parsedRequest, b *requestBody) *forwarder {
	return &forwarder{
		server: s, request: r, parsed: p, body: b,
		acquire: dispatch.AcquireRequest{
			Request: s.nextRequestID(), Pool: p.queue.Pool, Queue: p.queue.Name, Team: p.team,
			Priority: p.priority, Idempotent: p.idempotent, Key: p.idempotencyKey,
			DataCentre: s.opts.DataCentre,
		},
	}
}

// run returns the response of an endpoint or a failure. With a response, the lease
// is still held.
func (fw *forwarder) run() (*http.Response, *failure) {
	for {
		lease, err := fw.server.opts.Tickets.Acquire(fw.request.Context(), &fw.acquire, fw.parsed.deadline)
		if err != nil {
			return nil, fw.acquireFailure(err)
		}
		fw.lease = lease
		response, err := fw.attempt()
		if err == nil {
			return response, nil
		}
		if f := fw.handleError(err); f != nil {
			return nil, f
		}
	}
}

// attempt sends the request once, with the current lease.
func (fw *forwarder) attempt() (*http.Response, error) {
	fw.attemptStart = time.Now()
	ticket := fw.lease.Ticket()
	ctx := fw.attemptContext()
	r := &endpoint.Request{
		ID: fw.acquire.Request, Method: fw.request.Method, Target: fw.parsed.target, Host: fw.request.Host,
		Header: fw.request.Header, Length: fw.body.length, Buffered: fw.body.buffered,
		Team: fw.parsed.team, Addr: ticket.Addr, Endpoint: ticket.Endpoint, PoolEpoch: ticket.PoolEpoch,
		Deadline: fw.lease.Deadline(),
	}
	if r.Deadline.After(fw.parsed.deadline) {
		r.Deadline = fw.parsed.deadline
	}
	if fw.attempts > 0 {
		r.ID += "-" + strconv.Itoa(fw.attempts)
	}
	if s := fw.body.stream; s != nil {
		r.Stream = io.MultiReader(fw.body.reader(), s)
		r.Unblock = s.unblock
		r.Trailer = fw.request.Trailer
	}
	fw.attempts++
	return fw.server.opts.Sender.Send(ctx, r, fw.checkBeforeSend)
}

// attemptContext returns a context that ends when the caller disconnects or the
// endpoint is lost. For non-idempotent requests it does not end, because their
// outcome must be determined.
func (fw *forwarder) attemptContext() context.Context {
	if !fw.parsed.idempotent {
		fw.cancel = func() {}
		return context.WithoutCancel(fw.request.Context())
	}
	ctx, cancel := context.WithCancel(fw.request.Context())
	fw.cancel = cancel
	fw.lease.OnLost(cancel)
	return ctx
}

// checkBeforeSend checks, just before the first byte is sent, whether the request may
// still run. Much time may have passed since the request was admitted, because it
// waited in the queue or the process was suspended.
func (fw *forwarder) checkBeforeSend() error {
	if fw.body.gaveWay() {
		return noRoom(fw.outcome(), intake.ErrGaveWay)
	}
	if fw.request.Context().Err() != nil {
		return &failure{callerGone: true}
	}
	v := fw.server.opts.Views.Current()
	if !v.Fresh() {
		return isolatedFailure()
	}
	if fw.parsed.keyID != "" && !v.KeyValid(fw.parsed.keyID) {
		return notRun(CodeKeyInvalid, "the key was withdrawn")
	}
	if !time.Now().Before(fw.parsed.deadline) {
		return notRun(dispatch.CodeExpired, "the deadline passed before the request was sent")
	}
	return fw.lease.Check()
}

// handleError releases the lease of a failed attempt and waits for the backoff. It
// returns nil if the request should be tried again.
func (fw *forwarder) handleError(err error) *failure {
	e := new(endpoint.Error)
	if !errors.As(err, &e) {
		e = &endpoint.Error{Outcome: dispatch.OutcomeUnknown, Reason: endpoint.ReasonBroken, Err: err}
	}
	fw.cancel()
	fw.release(dispatch.ReleaseRequest{Outcome: e.Outcome, Failed: e.EndpointFault})
	fw.mayHaveRun = fw.mayHaveRun || e.Outcome != dispatch.OutcomeNotRun
	fw.server.opts.Metrics.Counter("entry_attempts_failed_total", "reason", string(e.Reason)).Inc(1)
	var f *failure
	switch {
	case errors.Is(err, ErrStaleTicket):
		return nil
	case errors.As(err, &f):
		if fw.mayHaveRun {
			f.outcome = dispatch.OutcomeUnknown
		}
		return f
	case fw.body.gaveWay():
		// The read that was interrupted has cancelled the context.
		return noRoom(fw.outcome(), intake.ErrGaveWay)
	case fw.request.Context().Err() != nil:
		return &failure{callerGone: true}
	}
	fw.lastErr = e
	if !fw.mayRetry(e) {
		return fw.finalFailure()
	}
	return fw.backOff()
}

// maxBroken is the number of endpoints that may break off a request before it is given up: it
// may be what crashes them.
const maxBroken = 3

func (fw *forwarder) mayRetry(e *endpoint.Error) bool {
	if e.Reason == endpoint.ReasonBroken {
		fw.broken++
	}
	if e.Reason == endpoint.ReasonBody || !fw.body.replayable() || fw.broken >= maxBroken {
		return false
	}
	return e.Outcome == dispatch.OutcomeNotRun || fw.parsed.idempotent
}

// backOff waits before the next attempt. It fails if the deadline would pass before
// that attempt.
func (fw *forwarder) backOff() *failure {
	fw.failures++
	fw.acquire.Avoid = fw.lease.Ticket().Endpoint
	if fw.lastErr.Reason != endpoint.ReasonDial && fw.lastErr.Reason != endpoint.ReasonUnsent {
		fw.acquire.Attempt++ // only attempts that reached an endpoint count against the retry budget
	}
	fw.server.retries.Inc(1)
	backoff := retry.Backoff(fw.failures, rand.Float64())
	if time.Until(fw.parsed.deadline) <= backoff {
		return fw.finalFailure()
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-fw.request.Context().Done():
		return &failure{callerGone: true}
	}
}

// release returns the ticket with the time that the attempt took.
func (fw *forwarder) release(r dispatch.ReleaseRequest) {
	r.Duration = time.Since(fw.attemptStart)
	fw.lease.Release(r)
}

// outcome returns the outcome of the whole request if it ends without a response.
func (fw *forwarder) outcome() dispatch.Outcome {
	if fw.mayHaveRun {
		return dispatch.OutcomeUnknown
	}
	return dispatch.OutcomeNotRun
}

// finalFailure returns the failure of the request after its last attempt failed.
func (fw *forwarder) finalFailure() *failure {
	f := &failure{outcome: fw.outcome(), detail: fw.lastErr.Err.Error(), retryAfter: fw.lastErr.RetryAfter}
	switch {
	case fw.lastErr.Reason == endpoint.ReasonBody && errors.Is(fw.lastErr.Err, errTooLarge):
		f.code = CodeBodyTooLarge
	case fw.lastErr.Reason == endpoint.ReasonBody:
		f.code = CodeBodyIncomplete
	case fw.lastErr.Reason == endpoint.ReasonRefused:
		f.code = CodeEndpointRefused
	case fw.lastErr.Reason == endpoint.ReasonTimeout:
		f.code = CodeEndpointTimeout
	case fw.lastErr.Outcome == dispatch.OutcomeNotRun:
		f.code = CodeEndpointUnreachable
	default:
		f.code = CodeEndpointFailed
	}
	return f
}

// acquireFailure returns the failure of the request after no ticket was issued.
func (fw *forwarder) acquireFailure(err error) *failure {
	if fw.request.Context().Err() != nil {
		return &failure{callerGone: true}
	}
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) {
		return &failure{code: CodeInternal, outcome: fw.outcome(), detail: err.Error()}
	}
	if fw.lastErr != nil && !duplicate(refusal) {
		f := fw.finalFailure()
		f.retryAfter = max(f.retryAfter, refusal.RetryAfter)
		f.detail += "; not tried again: " + refusal.Code
		return f
	}
	f := &failure{code: Code(refusal.Code), outcome: fw.outcome(), detail: refusal.Text, retryAfter: refusal.RetryAfter}
	switch {
	case refusal.Code == dispatch.CodeDuplicateAnswered:
		f.outcome, f.recordedStatus = dispatch.OutcomeAnswered, refusal.Status
	case duplicate(refusal):
		f.outcome = dispatch.OutcomeUnknown
	}
	return f
}

// duplicate reports whether an acquire was refused because of another request with the same
// idempotency key, which decides the outcome for the caller. It may have been sent between two
// attempts of this one.
func duplicate(r *dispatch.Refusal) bool {
	switch r.Code {
	case dispatch.CodeDuplicateRunning, dispatch.CodeDuplicateUnknown, dispatch.CodeDuplicateAnswered:
		return true
	}
	return false
}

// Error describes the failure. A failure is an error so that checkBeforeSend can
// return it.
func (f *failure) Error() string { return string(f.code) + ": " + f.detail }
