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
	"cactusspar/internal/retry"
)

// ErrOldTicket reports a ticket that was obtained before the instance lost
// contact or before the pool moved. It must not be used; another one may be.
var ErrOldTicket = errors.New("the ticket is no longer valid")

// try sends one caller's request until it is answered or given up.
type try struct {
	server  *Server
	request *http.Request
	call    *call
	body    *requestBody
	acquire dispatch.Acquire
	lease   Lease
	cancel  context.CancelFunc
	// sent counts the attempts that were started, failed those that failed.
	sent, failures int
	// ran tells that an earlier attempt may have run, so that the request can
	// no longer be reported as not run.
	ran bool
	// last is the failure of the last attempt.
	last    *endpoint.Error
	started time.Time
}

func (s *Server) newTry(r *http.Request, c *call, b *requestBody) *try {
	return &try{
		server: s, request: r, call: c, body: b,
		acquire: dispatch.Acquire{
			Request: s.nextRequest(), Pool: c.queue.Pool, Queue: c.queue.Name, Team: c.team,
			Priority: c.priority, Idempotent: c.idempotent, Key: c.idempotencyKey,
			DataCentre: s.opts.DataCentre,
		},
	}
}

// run returns a response of an endpoint, whose lease is then held, or a failure.
func (t *try) run() (*http.Response, *failure) {
	for {
		lease, err := t.server.opts.Tickets.Acquire(t.request.Context(), &t.acquire, t.call.deadline)
		if err != nil {
			return nil, t.refused(err)
		}
		t.lease = lease
		response, err := t.attempt()
		if err == nil {
			return response, nil
		}
		if f := t.after(err); f != nil {
			return nil, f
		}
	}
}

// attempt sends the request once with the lease.
func (t *try) attempt() (*http.Response, error) {
	t.started = time.Now()
	ticket := t.lease.Ticket()
	ctx := t.attemptContext()
	r := &endpoint.Request{
		ID: t.acquire.Request, Method: t.request.Method, Target: t.call.target, Host: t.request.Host,
		Header: t.request.Header, Length: t.body.length, Buffered: t.body.buffered,
		Team: t.call.team, Addr: ticket.Addr, PoolEpoch: ticket.PoolEpoch,
		Deadline: t.lease.Deadline(),
	}
	if r.Deadline.After(t.call.deadline) {
		r.Deadline = t.call.deadline
	}
	if t.sent > 0 {
		r.ID += "-" + strconv.Itoa(t.sent)
	}
	if s := t.body.stream; s != nil {
		r.Stream = io.MultiReader(newReader(t.body.buffered), s)
		r.Unblock = s.unblock
		r.Trailer = t.request.Trailer
	}
	t.sent++
	return t.server.opts.Sender.Send(ctx, r, t.check)
}

// attemptContext ends when the caller goes away or the endpoint is lost, but
// only for idempotent requests: the outcome of others has to be learned.
func (t *try) attemptContext() context.Context {
	if !t.call.idempotent {
		t.cancel = func() {}
		return context.WithoutCancel(t.request.Context())
	}
	ctx, cancel := context.WithCancel(t.request.Context())
	t.cancel = cancel
	t.lease.OnLost(cancel)
	return ctx
}

// check is called before the first byte is sent. Time may have passed since
// the request was admitted, in the queue or because the process was suspended.
func (t *try) check() error {
	if t.request.Context().Err() != nil {
		return &failure{gone: true}
	}
	v := t.server.opts.Views.Current()
	if !v.Fresh() {
		return isolated()
	}
	if t.call.keyID != "" && !v.KeyValid(t.call.keyID) {
		return notRun(CodeKeyInvalid, "the key was withdrawn")
	}
	if !time.Now().Before(t.call.deadline) {
		return notRun(dispatch.CodeExpired, "the deadline passed before the request was sent")
	}
	return t.lease.Check()
}

// after releases the lease of a failed attempt. It returns nil if the request
// is to be tried again.
func (t *try) after(err error) *failure {
	e := new(endpoint.Error)
	if !errors.As(err, &e) {
		e = &endpoint.Error{Grade: dispatch.Unknown, Reason: endpoint.ReasonBroken, Err: err}
	}
	t.cancel()
	t.release(dispatch.Release{Grade: e.Grade, Failed: e.Blame})
	t.ran = t.ran || e.Grade != dispatch.NotRun
	t.server.opts.Metrics.Counter("entry_attempts_failed_total", "reason", string(e.Reason)).Inc(1)
	var f *failure
	switch {
	case errors.Is(err, ErrOldTicket):
		return nil
	case errors.As(err, &f):
		if t.ran {
			f.grade = dispatch.Unknown
		}
		return f
	case t.request.Context().Err() != nil:
		return &failure{gone: true}
	}
	t.last = e
	if !t.mayRetry(e) {
		return t.failed()
	}
	return t.wait()
}

func (t *try) mayRetry(e *endpoint.Error) bool {
	if e.Reason == endpoint.ReasonBody || !t.body.replayable() {
		return false
	}
	return e.Grade == dispatch.NotRun || t.call.idempotent
}

// wait waits for the backoff before the next attempt, within the deadline.
func (t *try) wait() *failure {
	t.failures++
	t.acquire.Avoid = t.lease.Ticket().Endpoint
	if t.last.Reason != endpoint.ReasonDial && t.last.Reason != endpoint.ReasonUnsent {
		t.acquire.Attempt++ // only what reached an endpoint is charged to the retry budget
	}
	t.server.retries.Inc(1)
	backoff := retry.Backoff(t.failures, rand.Float64())
	if time.Until(t.call.deadline) <= backoff {
		return t.failed()
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-t.request.Context().Done():
		return &failure{gone: true}
	}
}

// release gives the lease back.
func (t *try) release(r dispatch.Release) {
	r.Took = time.Since(t.started)
	t.lease.Release(r)
}

// grade is the outcome of the whole request when it ends without a response.
func (t *try) grade() dispatch.Grade {
	if t.ran {
		return dispatch.Unknown
	}
	return dispatch.NotRun
}

// failed describes the end after the last attempt failed.
func (t *try) failed() *failure {
	f := &failure{grade: t.grade(), detail: t.last.Err.Error(), retryAfter: t.last.RetryAfter}
	switch {
	case t.last.Reason == endpoint.ReasonBody && errors.Is(t.last.Err, errTooLarge):
		f.code = CodeBodyTooLarge
	case t.last.Reason == endpoint.ReasonBody:
		f.code = CodeBodyIncomplete
	case t.last.Reason == endpoint.ReasonRefused:
		f.code = CodeRefused
	case t.last.Reason == endpoint.ReasonTimeout:
		f.code = CodeTimeout
	case t.last.Grade == dispatch.NotRun:
		f.code = CodeUnreachable
	default:
		f.code = CodeFailed
	}
	return f
}

// refused describes the end after no ticket was given.
func (t *try) refused(err error) *failure {
	if t.request.Context().Err() != nil {
		return &failure{gone: true}
	}
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) {
		return &failure{code: CodeInternal, grade: t.grade(), detail: err.Error()}
	}
	if t.last != nil {
		f := t.failed()
		f.retryAfter = max(f.retryAfter, refusal.RetryAfter)
		f.detail += "; not tried again: " + refusal.Code
		return f
	}
	f := &failure{code: Code(refusal.Code), grade: t.grade(), detail: refusal.Text, retryAfter: refusal.RetryAfter}
	switch refusal.Code {
	case dispatch.CodeDuplicateRunning, dispatch.CodeDuplicateUnknown:
		f.grade = dispatch.Unknown
	case dispatch.CodeDuplicateAnswered:
		f.grade, f.recorded = dispatch.Answered, refusal.Status
	}
	return f
}

// Error makes a failure usable as the error of check.
func (f *failure) Error() string { return string(f.code) + ": " + f.detail }
