package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"cactusspar/internal/caller"
	"cactusspar/internal/dispatch"
	"cactusspar/internal/peer"
	"cactusspar/internal/state"
	"cactusspar/internal/view"
)

const (
	// dispatcherWait bounds the wait for a pool without a dispatcher. It
	// covers a failover: the lease of 2.15 s, the commit and the recovery.
	dispatcherWait = 4 * time.Second
	// dispatcherPoll is the mean time between two questions to the dispatcher
	// meanwhile.
	dispatcherPoll = 25 * time.Millisecond
)

// router passes acquires and releases to the dispatcher of their pool. The
// own dispatch service is called directly. It implements caller.Tickets.
type router struct {
	self    string
	views   *view.Holder
	service *dispatch.Service
	peers   *peers
	tickets *tickets
	outbox  *outbox
}

// acquireAnswer is the answer to dispatch.acquire. Exactly one is set.
type acquireAnswer struct {
	Ticket  *dispatch.Ticket  `msgpack:"t,omitempty"`
	Refusal *dispatch.Refusal `msgpack:"r,omitempty"`
}

// cancelMessage is the content of dispatch.cancel.
type cancelMessage struct {
	Pool    string `msgpack:"p"`
	Request string `msgpack:"r"`
}

// Acquire waits for a ticket until the deadline. While the pool has no
// dispatcher that answers, it waits for one.
func (r *router) Acquire(ctx context.Context, a *dispatch.Acquire, deadline time.Time) (caller.Lease, error) {
	var since time.Time
	for {
		l, err := r.ask(ctx, a, deadline)
		if err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if !waitsForDispatcher(err) {
			return nil, err
		}
		now := time.Now()
		if since.IsZero() {
			since = now
		}
		pause := time.Duration((0.5 + rand.Float64()) * float64(dispatcherPoll))
		if left := min(deadline.Sub(now), dispatcherWait-now.Sub(since)); left <= pause {
			return nil, noDispatcher(err)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// waitsForDispatcher tells whether the pool will have another dispatcher soon.
func waitsForDispatcher(err error) bool {
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) {
		return true
	}
	switch refusal.Code {
	case dispatch.CodeNotDispatcher, dispatch.CodeRecovering, dispatch.CodeStopping:
		return true
	}
	return false
}

func noDispatcher(err error) error {
	return &dispatch.Refusal{
		Code: string(caller.CodeNoDispatcher), RetryAfter: time.Second,
		Text: "the pool had no dispatcher: " + err.Error(),
	}
}

// ask asks the current dispatcher once.
func (r *router) ask(ctx context.Context, a *dispatch.Acquire, deadline time.Time) (*lease, error) {
	v := r.views.Current()
	if !v.Fresh() {
		return nil, &dispatch.Refusal{
			Code: dispatch.CodeIsolated, RetryAfter: time.Second, Text: "this instance has no confirmed view of the configuration",
		}
	}
	assignment, ok := v.Assignments[a.Pool]
	if !ok || assignment.Dispatcher == "" {
		return nil, errs.New("pool %q has no dispatcher", a.Pool)
	}
	asked := time.Now()
	a.Epoch, a.Remaining = assignment.Epoch, deadline.Sub(asked)
	if a.Remaining <= 0 {
		return nil, &dispatch.Refusal{Code: dispatch.CodeExpired, RetryAfter: time.Second, Text: "the deadline passed before a ticket was given"}
	}
	ticket, err := r.acquireFrom(ctx, assignment, a, deadline)
	if err != nil {
		return nil, err
	}
	l := &lease{
		router: r, ticket: ticket, team: a.Team, request: a.Request, from: assignment.Dispatcher,
		deadline: asked.Add(ticket.Remaining), period: v.Period,
	}
	if !r.tickets.hold(l) {
		return nil, errs.New("the ticket has epoch %d, which is over", ticket.Epoch)
	}
	return l, nil
}

func (r *router) acquireFrom(ctx context.Context, to state.Assignment, a *dispatch.Acquire, deadline time.Time) (dispatch.Ticket, error) {
	if to.Dispatcher == r.self {
		return r.service.Acquire(ctx, r.self, *a)
	}
	var answer acquireAnswer
	err := r.callAcquire(ctx, to.Dispatcher, a, deadline, &answer)
	switch {
	case err != nil:
		return dispatch.Ticket{}, err
	case answer.Ticket != nil:
		return *answer.Ticket, nil
	case answer.Refusal != nil:
		return dispatch.Ticket{}, answer.Refusal
	}
	return dispatch.Ticket{}, errors.New("the dispatcher's answer holds neither a ticket nor a refusal")
}

// acquireSlack lets the dispatcher's own refusal at the deadline arrive.
const acquireSlack = 50 * time.Millisecond

func (r *router) callAcquire(ctx context.Context, to string, a *dispatch.Acquire, deadline time.Time, answer *acquireAnswer) error {
	c, err := r.peers.client(to)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(acquireSlack))
	defer cancel()
	err = c.Call(ctx, dispatch.MethodAcquire, a, answer)
	var unreached *peer.DialError
	var remote *peer.RemoteError
	if err != nil && !errors.As(err, &unreached) && !errors.As(err, &remote) {
		// The request may wait there or hold a ticket whose answer was lost.
		r.outbox.cancel(to, cancelMessage{Pool: a.Pool, Request: a.Request})
	}
	return err
}

// release gives a ticket back to the dispatcher that gave it, and to its
// successor if the pool has moved: either may be the one that counts it.
func (r *router) release(rel dispatch.Release, from string, deadline time.Time) {
	r.releaseTo(from, rel, deadline)
	if now := r.dispatcherOf(rel.Pool); now != from {
		r.releaseTo(now, rel, deadline)
	}
}

func (r *router) releaseTo(to string, rel dispatch.Release, deadline time.Time) {
	if to == r.self {
		r.service.Release(r.self, rel)
		return
	}
	r.outbox.release(to, rel, deadline)
}

// releaseAgain repeats a release that wasn't confirmed. An instance that left
// the view is not asked again: its successor counts the ticket.
func (r *router) releaseAgain(to string, rel dispatch.Release, deadline time.Time) {
	if _, live := r.views.Current().Entries[to]; live {
		r.releaseTo(to, rel, deadline)
	}
	if now := r.dispatcherOf(rel.Pool); now != to {
		r.releaseTo(now, rel, deadline)
	}
}

// dispatcherOf returns the dispatcher that counts the tickets of a pool. A new
// dispatcher may have asked for them before the view showed its assignment.
func (r *router) dispatcherOf(pool string) string {
	dispatcher, epoch := r.tickets.successor(pool)
	if a := r.views.Current().Assignments[pool]; a.Epoch >= epoch {
		return a.Dispatcher
	}
	return dispatcher
}
