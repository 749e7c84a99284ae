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
	// noDispatcherTimeout limits the wait for a pool without a dispatcher. It
	// covers a failover: the lease of 2.15 s, the commit of the new assignment
	// and the recovery.
	noDispatcherTimeout = 4 * time.Second
	// dispatcherPollInterval is the mean delay between two attempts to get a
	// ticket during that wait.
	dispatcherPollInterval = 25 * time.Millisecond
)

// router sends acquires and releases to the dispatcher of their pool. It calls
// the dispatch service of this instance directly. It implements caller.Tickets.
type router struct {
	selfID  string
	views   *view.Publisher
	service *dispatch.Service
	peers   *peerClients
	tickets *ticketRegistry
	outbox  *outbox
}

// acquireResponse is the response to dispatch.acquire. Exactly one field is set.
type acquireResponse struct {
	Ticket  *dispatch.Ticket  `msgpack:"t,omitempty"`
	Refusal *dispatch.Refusal `msgpack:"r,omitempty"`
}

// cancelMessage names one acquire to cancel, in a dispatch.cancel message.
type cancelMessage struct {
	Pool    string `msgpack:"p"`
	Request string `msgpack:"r"`
	Try     uint64 `msgpack:"t"`
}

// Acquire waits for a ticket until the deadline. While the pool has no available
// dispatcher, it retries for up to noDispatcherTimeout.
func (r *router) Acquire(ctx context.Context, a *dispatch.AcquireRequest, deadline time.Time) (caller.Lease, error) {
	var waitingSince time.Time
	for {
		l, err := r.acquireOnce(ctx, a, deadline)
		if err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if !dispatcherUnavailable(err) {
			return nil, err
		}
		now := time.Now()
		if waitingSince.IsZero() {
			waitingSince = now
		}
		pause := time.Duration((0.5 + rand.Float64()) * float64(dispatcherPollInterval))
		if left := min(deadline.Sub(now), noDispatcherTimeout-now.Sub(waitingSince)); left <= pause {
			return nil, noDispatcherRefusal(err)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dispatcherUnavailable reports whether err means that the pool has no
// available dispatcher at the moment, so that the acquire can be retried. Any
// other refusal is final.
func dispatcherUnavailable(err error) bool {
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

func noDispatcherRefusal(err error) error {
	return &dispatch.Refusal{
		Code: string(caller.CodeNoDispatcher), RetryAfter: time.Second,
		Text: "the pool had no dispatcher: " + err.Error(),
	}
}

// acquireOnce requests a ticket from the current dispatcher once.
func (r *router) acquireOnce(ctx context.Context, a *dispatch.AcquireRequest, deadline time.Time) (*lease, error) {
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
	requestedAt := time.Now()
	a.Try++
	a.Epoch, a.Remaining = assignment.Epoch, deadline.Sub(requestedAt)
	if a.Remaining <= 0 {
		return nil, &dispatch.Refusal{Code: dispatch.CodeExpired, RetryAfter: time.Second, Text: "the deadline passed before a ticket was given"}
	}
	ticket, err := r.acquireFrom(ctx, assignment, a, deadline)
	if err != nil {
		return nil, err
	}
	l := &lease{
		router: r, ticket: ticket, team: a.Team, request: a.Request, issuer: assignment.Dispatcher,
		deadline: requestedAt.Add(ticket.Remaining), viewPeriod: v.FreshPeriod,
	}
	if !r.tickets.register(l) {
		return nil, errs.New("the ticket has epoch %d, which is over", ticket.Epoch)
	}
	return l, nil
}

func (r *router) acquireFrom(ctx context.Context, to state.Assignment, a *dispatch.AcquireRequest, deadline time.Time) (dispatch.Ticket, error) {
	if to.Dispatcher == r.selfID {
		return r.service.Acquire(ctx, r.selfID, *a)
	}
	var response acquireResponse
	err := r.callAcquire(ctx, to.Dispatcher, a, deadline, &response)
	switch {
	case err != nil:
		return dispatch.Ticket{}, err
	case response.Ticket != nil:
		return *response.Ticket, nil
	case response.Refusal != nil:
		return dispatch.Ticket{}, response.Refusal
	}
	return dispatch.Ticket{}, errors.New("the dispatcher's answer holds neither a ticket nor a refusal")
}

// acquireMargin extends the call beyond the deadline, so that a refusal that the
// dispatcher sends at the deadline still arrives.
const acquireMargin = 50 * time.Millisecond

func (r *router) callAcquire(ctx context.Context, to string, a *dispatch.AcquireRequest, deadline time.Time, response *acquireResponse) error {
	c, err := r.peers.client(to)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(acquireMargin))
	defer cancel()
	err = c.Call(ctx, dispatch.MethodAcquire, a, response)
	var dialErr *peer.DialError
	var remoteErr *peer.RemoteError
	if err != nil && !errors.As(err, &dialErr) && !errors.As(err, &remoteErr) {
		// The request may still be queued at the dispatcher, or may have been
		// given a ticket in a response that was lost.
		r.outbox.cancel(to, cancelMessage{Pool: a.Pool, Request: a.Request, Try: a.Try})
	}
	return err
}

// release returns a ticket to the dispatcher that issued it, and also to the
// current dispatcher if the pool has moved, because either may count the ticket
// against its slots.
func (r *router) release(rel dispatch.ReleaseRequest, issuer string, deadline time.Time) {
	r.releaseTo(issuer, rel, deadline)
	if current := r.dispatcherOf(rel.Pool); current != issuer {
		r.releaseTo(current, rel, deadline)
	}
}

func (r *router) releaseTo(to string, rel dispatch.ReleaseRequest, deadline time.Time) {
	if to == r.selfID {
		r.service.Release(r.selfID, rel)
		return
	}
	r.outbox.release(to, rel, deadline)
}

// resendRelease resends a release that was not confirmed. It skips an instance
// that is no longer in the view, because the new dispatcher counts the ticket.
func (r *router) resendRelease(to string, rel dispatch.ReleaseRequest, deadline time.Time) {
	if _, live := r.views.Current().Entries[to]; live {
		r.releaseTo(to, rel, deadline)
	}
	if current := r.dispatcherOf(rel.Pool); current != to {
		r.releaseTo(current, rel, deadline)
	}
}

// dispatcherOf returns the dispatcher that counts the tickets of a pool. A new
// dispatcher may have taken them over before the view shows its assignment.
func (r *router) dispatcherOf(pool string) string {
	dispatcher, epoch := r.tickets.successor(pool)
	if a := r.views.Current().Assignments[pool]; a.Epoch >= epoch {
		return a.Dispatcher
	}
	return dispatcher
}
