package orchestrator

import (
	"context"
	"errors"
	"time"

	"cactusspar/internal/boottime"
	"cactusspar/internal/executor"
	"cactusspar/internal/workload"
)

// platformOrder is an order to the platform that changes an instance.
type platformOrder struct {
	kind     string // "move" or "maintain"
	instance string
	send     func(context.Context, executor.Authority) error
	// needed reports whether the order is still wanted; nil means that it is. It is asked again when
	// the order has its turn at the platform, on the goroutine of the call.
	needed func() bool
	// done receives the result on the owning goroutine, unless the leadership has ended.
	done func(error)
}

// beginAuthority begins the authority of a new leadership to order moves and maintenance. The
// leader's former orders matter only if another replica may have ordered since: the platform
// associates an instance with the replica that ordered it last.
func (o *Orchestrator) beginAuthority(now boottime.Instant) {
	wait := time.Duration(0)
	if o.leadership.State().OthersOrderedSince(o.ReplicaName) {
		wait = o.Settings.HolderLease
	}
	o.holderProposed, o.holderRecorded = false, false
	o.platformAuthority.begin(now, wait)
	o.Log.Info("Begins to order moves and maintenance.", "term", o.leadership.Term(), "holder_wait_ms", wait.Milliseconds())
}

// confirmAuthority extends the authority by a confirmation of the leadership, once it is
// committed that this replica may order, so that a later leader knows.
func (o *Orchestrator) confirmAuthority(requestedAt boottime.Instant) {
	switch {
	case o.holderRecorded:
		o.platformAuthority.confirmed(requestedAt)
	case !o.holderProposed:
		o.holderProposed = true
		o.pending.Holder = &workload.HolderRecord{Name: o.ReplicaName, Term: o.leadership.Term()}
	}
}

// sendToPlatform sends an order under the leader's authority. It reports whether the
// order is in progress; without authority it sends nothing.
func (o *Orchestrator) sendToPlatform(order platformOrder) bool {
	permit := o.platformAuthority.permit()
	if permit == nil {
		return false
	}
	leadership := o.leadership
	authority := executor.Authority{Holder: o.ReplicaName, Fence: leadership.Term(), Valid: permit.valid}
	if order.needed != nil {
		authority.Valid = func() bool { return order.needed() && permit.valid() }
	}
	decidedAt, confirmedAt := boottime.Now(), o.confirmedAt
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(permit.ctx, platformTimeout)
		defer cancel()
		stop := context.AfterFunc(o.ctx, cancel)
		defer stop()
		err := order.send(ctx, authority)
		permit.release()
		o.logPlatformOrder(&order, authority.Fence, decidedAt, confirmedAt, err)
		leadership.Post(func() {
			now := boottime.Now()
			o.load.platform = max(o.load.platform, now.Sub(decidedAt))
			o.fleet.lastOrderAt[order.instance] = now
			order.done(err)
		})
	})
	return true
}

// logPlatformOrder logs an order with the age of the last confirmation of the
// leadership at the decision and the time until the response.
func (o *Orchestrator) logPlatformOrder(order *platformOrder, term uint64, decidedAt, confirmedAt boottime.Instant, err error) {
	result := platformResult(err)
	o.count("platform_orders_total", order.kind+" "+result)
	o.Log.Info("Sent an order to the platform.", "order", order.kind, "instance", order.instance, "term", term, "result", result,
		"confirmed_ms", decidedAt.Sub(confirmedAt).Milliseconds(), "ms", boottime.Now().Sub(decidedAt).Milliseconds())
}

// platformResult returns the outcome of an order for logs and metrics.
func platformResult(err error) string {
	var declined *executor.DeclinedError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &declined):
		return declined.Reason
	case errors.Is(err, executor.ErrAuthorityEnded):
		return "not-sent"
	}
	return "unanswered"
}
